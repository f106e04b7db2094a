package queue

import (
	"container/heap"
	"errors"
	"fmt"
	"sort"
	"time"

	"guavaglade.example/guavaglade/internal/work/job"
)

// DefaultPerAccount is how many jobs of one account may wait in a zone.
const DefaultPerAccount = 10000

// ErrFull says that an account has as many jobs waiting as it may.
var ErrFull = errors.New("queue of the account is full")

// Queue holds the jobs of a zone that wait. Make it with New. It is not safe
// for use by several goroutines.
type Queue struct {
	perAccount int // bound on the jobs of one account
	items      map[job.ID]*Item
	buckets    map[Class]*Bucket // none is empty after Buckets
	order      []*Bucket         // those of buckets, in the order they came up
	waiting    map[string]int    // jobs by account
	deadlines  deadlines
}

// New returns an empty queue that takes at most perAccount jobs of one account.
// A bound of 0 or less means DefaultPerAccount.
func New(perAccount int) *Queue {
	if perAccount <= 0 {
		perAccount = DefaultPerAccount
	}
	return &Queue{
		perAccount: perAccount, items: map[job.ID]*Item{},
		buckets: map[Class]*Bucket{}, waiting: map[string]int{},
	}
}

// Push queues a new job. It returns ErrFull if the account's bound is reached,
// so that one caller's burst costs neither memory nor others' time. A job that
// waits already changes nothing.
func (q *Queue) Push(it Item) error {
	account := it.Job.Account()
	if !q.Has(it.Job.ID()) && q.waiting[account] >= q.perAccount {
		return fmt.Errorf("queue %s: %d jobs of account %s wait: %w", it.Job.ID(), q.waiting[account], account, ErrFull)
	}
	q.Restore(it)
	return nil
}

// Restore queues a job again that had been taken out, whatever the bound says:
// it was accepted once. Its place is that of its Since.
func (q *Queue) Restore(it Item) {
	if q.Has(it.Job.ID()) {
		return
	}
	c := ClassOf(it.Job)
	b, ok := q.buckets[c]
	if !ok {
		b = &Bucket{class: c}
		q.buckets[c] = b
		q.order = append(q.order, b)
	}
	p := &Item{Job: it.Job, Since: it.Since, NotBefore: it.NotBefore}
	b.insert(p)
	q.items[it.Job.ID()] = p
	q.waiting[it.Job.Account()]++
	if !it.Job.Deadline().IsZero() {
		heap.Push(&q.deadlines, p)
	}
}

// Has reports whether the job waits.
func (q *Queue) Has(id job.ID) bool {
	_, ok := q.items[id]
	return ok
}

// Len returns how many jobs wait.
func (q *Queue) Len() int { return len(q.items) }

// Remove takes a job out, in constant time; ok is false if it does not wait.
func (q *Queue) Remove(id job.ID) (it Item, ok bool) {
	p, ok := q.items[id]
	if !ok {
		return Item{}, false
	}
	delete(q.items, id)
	q.waiting[p.Job.Account()]--
	if q.waiting[p.Job.Account()] == 0 {
		delete(q.waiting, p.Job.Account())
	}
	p.bucket.remove(p)
	q.sweepDeadlines()
	return *p, true
}

// sweepDeadlines forgets the deadlines of jobs that are gone once they are more
// than those that wait, so that cancelled jobs are not kept in memory.
func (q *Queue) sweepDeadlines() {
	if len(q.deadlines) <= 2*len(q.items)+sweepAt {
		return
	}
	kept := make(deadlines, 0, len(q.items))
	for _, p := range q.deadlines {
		if !p.gone {
			kept = append(kept, p)
		}
	}
	heap.Init(&kept)
	q.deadlines = kept
}

// Expired takes out and returns the jobs whose deadline has come.
func (q *Queue) Expired(now time.Time) []Item {
	var expired []Item
	for len(q.deadlines) > 0 && (q.deadlines[0].gone || !q.deadlines[0].Job.Deadline().After(now)) {
		p, _ := heap.Pop(&q.deadlines).(*Item)
		if p.gone {
			continue
		}
		it, _ := q.Remove(p.Job.ID())
		expired = append(expired, it)
	}
	return expired
}

// NextDeadline returns the earliest deadline of a job that waits, the zero time
// for none.
func (q *Queue) NextDeadline() time.Time {
	for len(q.deadlines) > 0 && q.deadlines[0].gone {
		heap.Pop(&q.deadlines)
	}
	if len(q.deadlines) == 0 {
		return time.Time{}
	}
	return q.deadlines[0].Job.Deadline()
}

// Buckets returns the buckets in which jobs wait, in the order they came up. It
// forgets the empty ones.
func (q *Queue) Buckets() []*Bucket {
	kept := q.order[:0]
	for _, b := range q.order {
		if b.live == 0 {
			delete(q.buckets, b.class)
			continue
		}
		kept = append(kept, b)
	}
	clear(q.order[len(kept):])
	q.order = kept
	return kept
}

// Items returns what waits, the earliest first.
func (q *Queue) Items() []Item {
	items := make([]Item, 0, len(q.items))
	for _, p := range q.items {
		items = append(items, *p)
	}
	sort.Slice(items, func(i, j int) bool {
		a, b := items[i], items[j]
		if !a.Since.Equal(b.Since) {
			return a.Since.Before(b.Since)
		}
		return a.Job.ID() < b.Job.ID()
	})
	return items
}

// deadlines is a heap of items, the earliest deadline first.
type deadlines []*Item

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].Job.Deadline().Before(d[j].Job.Deadline()) }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push is for package heap.
func (d *deadlines) Push(x any) {
	if it, ok := x.(*Item); ok {
		*d = append(*d, it)
	}
}

// Pop is for package heap.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	it := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return it
}
