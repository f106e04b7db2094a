package schedule_test

import (
	"container/heap"
	"fmt"
	"math/bits"
	"os"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/schedule"
)

// Times of the bench.
const (
	startWithin     = 2100 * time.Millisecond // of a guaranteed request within its account's room
	checkpointEvery = time.Minute             // of stoppable work, beside the one at a stop
	gangOf          = 16                      // accelerators, from which a gang's wait is reported
)

// bench replays a stream through a scheduler in virtual time.
type bench struct {
	*schedule.Scheduler
	stream  *stream
	events  events
	now     time.Duration
	lives   map[job.ID]*life
	waiting map[cell.Shape]int
	claimed map[string]int // guaranteed requests under way, by account and shape
	wake    time.Duration
	result
}

type life struct {
	request
	started, done bool
	first, since  time.Duration // of the first and the newest start
	left          time.Duration
	attempt       int
	place         cell.Assignment
	within        bool // it came within its account's unclaimed guarantee
}

var oneOf, _ = cell.NewShape(1, 1, 2, 8<<10, cell.Any)

type result struct {
	smallWait, smallFree, smallN float64
	completions, waits           []float64 // s; waits of gangs
	breaches                     int
	lost, fragmented, worstWait  float64 // lost in accelerator seconds, fragmented in seconds
}

type event struct {
	at time.Duration
	do func()
}

func (b *bench) at(t time.Duration, do func()) { heap.Push(&b.events, event{t, do}) }

func replay(s *stream, sched *schedule.Scheduler) (*bench, error) {
	b := &bench{Scheduler: sched, stream: s, lives: map[job.ID]*life{}, waiting: map[cell.Shape]int{}, claimed: map[string]int{}}
	for _, w := range s.workers {
		b.Zone().AddWorker(w)
	}
	if err := b.Configure(s.config, "z"); err != nil {
		return nil, err
	}
	for _, r := range s.requests {
		b.at(r.at, func() { b.arrive(r) })
		if r.cancel > 0 {
			b.at(r.cancel, func() { b.cancel(r.job.ID()) })
		}
	}
	for _, l := range s.losses {
		b.at(l.at, func() { b.lose(l.worker.ID()) })
		b.at(l.back, func() { b.Zone().AddWorker(l.worker) })
	}
	for len(b.events) > 0 {
		e, _ := heap.Pop(&b.events).(event)
		b.pass(e.at)
		e.do()
		if len(b.events) == 0 || b.events[0].at > b.now {
			b.decide()
		}
	}
	return b, nil
}

// pass adds up the fragmentation until the time.
func (b *bench) pass(until time.Duration) {
	if span := min(until, arrivals) - b.now; span > 0 {
		if n := b.waiting[oneOf]; n > 0 {
			free := 0
			for _, w := range b.stream.workers {
				m, _, _, _ := b.Zone().Inventory().Free(w.ID())
				free += bits.OnesCount64(m)
			}
			b.smallWait += span.Seconds()
			b.smallFree += span.Seconds() * float64(free)
			b.smallN += span.Seconds() * float64(n)
		}
		b.fragmented += span.Seconds() * b.Zone().Fragmentation(b.largest())
	}
	b.now = until
}

func (b *bench) largest() cell.Shape {
	var largest cell.Shape
	for _, g := range b.stream.config.Guarantees("z") {
		if g.Shape().Total() > largest.Total() {
			largest = g.Shape()
		}
	}
	for s, n := range b.waiting {
		if n > 0 && (s.Total() > largest.Total() || s.Total() == largest.Total() && s.String() > largest.String()) {
			largest = s
		}
	}
	return largest
}

func (b *bench) arrive(r request) {
	l := &life{request: r, left: r.run}
	b.lives[r.job.ID()] = l
	b.waiting[r.job.Shape()]++
	if r.job.Guaranteed() {
		for _, g := range b.stream.config.Guarantees("z") {
			if g.Account() == r.job.Account() && g.Shape() == r.job.Shape() {
				l.within = b.claimed[claimKey(r.job)] < g.Count()
			}
		}
		b.claimed[claimKey(r.job)]++
		b.at(r.at+startWithin+1, func() {
			if l.within && !l.started && !l.done {
				b.breaches++
			}
		})
	}
	b.Submit(r.job, epoch.Add(b.now))
}

func claimKey(j job.Job) string { return j.Account() + " " + j.Shape().String() }

func (b *bench) decide() {
	now := epoch.Add(b.now)
	for _, d := range b.Decide(now) {
		l := b.lives[d.Job.ID()]
		switch d.Action {
		case schedule.Start:
			b.start(l, d.Assignment)
		case schedule.Stop:
			attempt, after := l.attempt, b.now+time.Duration(200+len(d.Job.ID())*l.attempt*97%1100)*time.Millisecond
			graceful := len(d.Job.ID())*7%5 > 0 // one in five takes longer than any grace
			if end := d.Deadline.Sub(epoch); !graceful || after > end {
				after, graceful = end, false
			}
			b.at(after, func() { b.stop(l, attempt, graceful, schedule.Reclaimed) })
		case schedule.Refuse, schedule.Fail:
			l.done = true
			b.waiting[d.Job.Shape()]--
		}
	}
	if next := b.NextWake(now); !next.IsZero() && (b.wake <= b.now || next.Sub(epoch) < b.wake) {
		b.wake = max(next.Sub(epoch), b.now+time.Millisecond)
		b.at(b.wake, func() {})
	}
}

func (b *bench) start(l *life, a cell.Assignment) {
	b.waiting[l.job.Shape()]--
	if !l.started {
		l.first = b.now - l.at
		if l.job.Shape().Total() >= gangOf {
			b.waits = append(b.waits, l.first.Seconds())
			b.worstWait = max(b.worstWait, l.first.Seconds())
		}
	}
	l.started, l.since, l.place = true, b.now, a
	l.attempt++
	attempt := l.attempt
	b.at(b.now+l.left, func() {
		if l.attempt == attempt && l.place != nil {
			b.completions = append(b.completions, (b.now - l.at).Seconds())
			b.finish(l, schedule.Done)
		}
	})
}

func (b *bench) finish(l *life, end schedule.End) {
	l.done, l.place = true, nil
	if l.job.Guaranteed() {
		b.claimed[claimKey(l.job)]--
	}
	b.Ended(l.job.ID(), end, "", epoch.Add(b.now))
}

// stop ends a start early; what it did since its newest checkpoint is lost if
// it is not graceful or cannot checkpoint.
func (b *bench) stop(l *life, attempt int, graceful bool, end schedule.End) {
	if l.place == nil || l.attempt != attempt {
		return
	}
	ran := b.now - l.since
	lost := time.Duration(0)
	if !l.job.Stoppable() {
		lost = ran
	} else if !graceful {
		lost = ran % checkpointEvery
	}
	if end == schedule.Reclaimed {
		b.lost += lost.Seconds() * float64(l.job.Shape().Total())
	}
	l.left -= ran - lost
	l.place = nil
	b.waiting[l.job.Shape()]++
	b.Ended(l.job.ID(), end, "", epoch.Add(b.now))
}

func (b *bench) cancel(id job.ID) {
	l := b.lives[id]
	switch {
	case l.done:
	case l.place != nil:
		b.finish(l, schedule.Dropped)
	case b.Cancel(id):
		b.waiting[l.job.Shape()]--
		b.finish(l, schedule.Dropped)
	}
}

func (b *bench) lose(worker string) {
	b.Zone().RemoveWorker(worker)
	for _, r := range b.stream.requests {
		if l := b.lives[r.job.ID()]; l != nil && len(l.place.On(worker)) > 0 {
			b.stop(l, l.attempt, false, schedule.WorkerGone)
		}
	}
}

var policies = map[string]func() *schedule.Scheduler{
	"firstFit": func() *schedule.Scheduler {
		return schedule.New(placement.NewZone(placement.FirstFit{}, placement.WithoutPlan()), schedule.Plain())
	},
	"bestFit": func() *schedule.Scheduler {
		return schedule.New(placement.NewZone(placement.BestFit{}, placement.WithoutPlan()), schedule.Plain())
	},
	"cells": func() *schedule.Scheduler { return schedule.New(placement.NewZone(placement.Cells{})) },
}

// BenchmarkPolicy replays the users' streams through first fit, best fit and
// the product's decisions. POLICY_SEEDS gives other seeds than 1 to 5.
func BenchmarkPolicy(b *testing.B) {
	seeds := os.Getenv("POLICY_SEEDS")
	if seeds == "" {
		seeds = "1 2 3 4 5"
	}
	for _, user := range []string{"recargaBella", "spf"} {
		for _, policy := range []string{"firstFit", "bestFit", "cells"} {
			for _, load := range []float64{0.6, 0.8, 0.95} {
				for _, seed := range strings.FieldsFunc(seeds, func(r rune) bool { return r == ' ' || r == ',' }) {
					n, err := strconv.ParseUint(seed, 10, 64)
					if err != nil {
						b.Fatalf("POLICY_SEEDS: %v", err)
					}
					b.Run(fmt.Sprintf("user=%s/policy=%s/load=%.2f/seed=%d", user, policy, load, n), func(b *testing.B) {
						for range b.N {
							r, err := replay(newStream(b, user, load, n), policies[policy]())
							if err != nil {
								b.Fatal(err)
							}
							r.report(b)
						}
					})
				}
			}
		}
	}
}

func (r *result) report(b *testing.B) {
	sort.Float64s(r.completions)
	b.ReportMetric(mean(r.completions), "completion-mean-s")
	b.ReportMetric(r.completions[len(r.completions)*99/100], "completion-p99-s")
	b.ReportMetric(r.fragmented/arrivals.Seconds(), "fragmentation")
	b.ReportMetric(mean(r.waits), "gangWait-mean-s")
	b.ReportMetric(r.worstWait, "gangWait-max-s")
	b.ReportMetric(float64(r.breaches), "breaches")
	b.ReportMetric(r.lost, "lostWork-s")
}

func mean(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(max(len(xs), 1))
}

// events is a heap, the earliest first.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
