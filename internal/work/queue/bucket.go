package queue

import (
	"sort"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Lane ranks jobs: those of a lower lane are tried first.
type Lane int

// The lanes.
const (
	UrgentGuaranteed Lane = iota
	Guaranteed
	Urgent
	Borrowed
)

// LaneOf returns the lane that the job waits in.
func LaneOf(j job.Job) Lane {
	switch {
	case j.Guaranteed() && j.Urgent():
		return UrgentGuaranteed
	case j.Guaranteed():
		return Guaranteed
	case j.Urgent():
		return Urgent
	default:
		return Borrowed
	}
}

// Class is what the jobs of one bucket have in common: one of them finds room
// where any of them does.
type Class struct {
	Lane      Lane
	Account   string
	Service   string
	Kind      string
	Shape     cell.Shape
	Stoppable bool
}

// ClassOf returns the class of a job.
func ClassOf(j job.Job) Class {
	return Class{
		Lane: LaneOf(j), Account: j.Account(), Service: j.Service(), Kind: j.Kind(),
		Shape: j.Shape(), Stoppable: j.Stoppable(),
	}
}

// Item is a job that waits. Its fields do not change while it waits.
type Item struct {
	Job       job.Job
	Since     time.Time // when it first came: kept when it is queued again
	NotBefore time.Time // not tried earlier, after a refused start; zero for at once
	gone      bool      // cancelled, expired or started
	bucket    *Bucket
}

// Bucket is the jobs of one class, the earliest first.
type Bucket struct {
	class Class
	items []*Item // sorted by Since; gone ones are swept later
	live  int     // items that are not gone
}

// Class returns what the bucket's jobs have in common.
func (b *Bucket) Class() Class { return b.class }

// Len returns how many jobs wait in the bucket.
func (b *Bucket) Len() int { return b.live }

// Head returns the earliest job that may be tried at the time; ok is false if
// there is none.
func (b *Bucket) Head(now time.Time) (it *Item, ok bool) {
	b.trim()
	for _, it := range b.items {
		if !it.gone && !it.NotBefore.After(now) {
			return it, true
		}
	}
	return nil, false
}

func (b *Bucket) insert(it *Item) {
	it.bucket = b
	b.live++
	at := len(b.items)
	if at > 0 && it.Since.Before(b.items[at-1].Since) {
		at = sort.Search(len(b.items), func(i int) bool { return it.Since.Before(b.items[i].Since) })
	}
	b.items = append(b.items, nil)
	copy(b.items[at+1:], b.items[at:])
	b.items[at] = it
}

func (b *Bucket) remove(it *Item) {
	it.gone = true
	b.live--
	if len(b.items) > 2*b.live+sweepAt {
		b.sweep()
	}
}

// sweepAt is how many gone items a bucket may keep beside as many as it has live.
const sweepAt = 16

func (b *Bucket) sweep() {
	kept := make([]*Item, 0, b.live)
	for _, it := range b.items {
		if !it.gone {
			kept = append(kept, it)
		}
	}
	b.items = kept
}

func (b *Bucket) trim() {
	for len(b.items) > 0 && b.items[0].gone {
		b.items[0] = nil
		b.items = b.items[1:]
	}
}
