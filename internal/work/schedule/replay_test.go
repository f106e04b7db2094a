package schedule_test

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/schedule"
)

// bench replays a stream through a scheduler in virtual time.
type bench struct {
	*schedule.Scheduler
	stream  *stream
	events  []event // the latest first
	now     time.Duration
	lives   map[job.ID]*life
	waiting map[cell.Shape]int
	claimed map[string]int // requests under way, by account and shape
	wake    time.Duration
	rng     *rand.Rand
	crash   func(cell.Assignment) string // the worker on which a start fails, empty for none
	result
}

type life struct {
	request
	started, done bool
	since         time.Duration // of the newest start
	left          time.Duration
	attempt       int
	place         cell.Assignment
	within        bool          // it came within its account's unclaimed guarantee
	completed     time.Duration // from its arrival to its end, 0 if it did not complete
}

func (b *bench) at(t time.Duration, do func()) {
	i := sort.Search(len(b.events), func(i int) bool { return b.events[i].at <= t })
	b.events = slices.Insert(b.events, i, event{t, do})
}

func replay(s *stream, sched *schedule.Scheduler, crash func(cell.Assignment) string) (*bench, error) {
	b := &bench{Scheduler: sched, stream: s, lives: map[job.ID]*life{}, waiting: map[cell.Shape]int{}, claimed: map[string]int{}, crash: crash, rng: rand.New(rand.NewPCG(uint64(len(s.requests)), 1))}
	for _, w := range s.workers {
		b.Zone().AddWorker(w)
	}
	if err := b.Configure(s.config, "z"); err != nil {
		return nil, err
	}
	for _, r := range slices.Backward(s.requests) {
		b.at(r.at, func() { b.arrive(r) })
		if r.cancel > 0 {
			b.at(r.cancel, func() { b.cancel(r.job.ID()) })
		}
	}
	for _, l := range s.losses {
		b.at(l.at, func() { b.lose(l.worker.ID()) })
		b.at(l.back, func() { b.Zone().AddWorker(l.worker) })
	}
	for len(b.events) > 0 && b.now < longest {
		last := len(b.events) - 1
		e := b.events[last]
		b.events = b.events[:last]
		b.pass(e.at)
		e.do()
		if last == 0 || b.events[len(b.events)-1].at > b.now {
			b.decide()
		}
	}
	return b, nil
}

// pass adds up the fragmentation until the time.
func (b *bench) pass(until time.Duration) {
	if span := min(until, arrivals) - b.now; span > 0 {
		b.fragmented += span.Seconds() * b.Zone().Fragmentation(b.largest())
	}
	b.now = until
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
		b.at(r.at+startWithin+1, func() {
			if l.within && !l.started && !l.done {
				b.breaches++
			}
		})
	}
	b.claimed[claimKey(r.job)]++
	b.Submit(r.job, epoch.Add(b.now))
}

func (b *bench) decide() {
	now := epoch.Add(b.now)
	for _, d := range b.Decide(now) {
		l := b.lives[d.Job.ID()]
		switch d.Action {
		case schedule.Start:
			b.start(l, d.Assignment)
		case schedule.Stop:
			attempt := l.attempt
			end := b.now + 200*time.Millisecond + time.Duration(b.rng.Int64N(int64(1600*time.Millisecond)))
			graceful := !epoch.Add(end).After(d.Deadline)
			b.at(min(end, d.Deadline.Sub(epoch)), func() { b.stop(l, attempt, graceful, schedule.Reclaimed, "") })
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
	if wait := (b.now - l.at).Seconds(); !l.started && l.job.Shape().Total() >= gangOf {
		b.waits = append(b.waits, wait)
		b.worstWait = max(b.worstWait, wait)
	}
	l.attempt++
	l.started, l.since, l.place = true, b.now, a
	attempt := l.attempt
	if w := b.crash(a); w != "" {
		b.crashes++
		b.at(b.now+time.Second, func() { b.stop(l, attempt, false, schedule.Crashed, w) })
		return
	}
	b.at(b.now+l.left, func() {
		if l.attempt == attempt && l.place != nil {
			l.completed = b.now - l.at
			b.completions = append(b.completions, l.completed.Seconds())
			b.finish(l, schedule.Done)
		}
	})
}

func (b *bench) finish(l *life, end schedule.End) {
	l.done, l.place = true, nil
	b.claimed[claimKey(l.job)]--
	b.Ended(l.job.ID(), end, "", epoch.Add(b.now))
}

// stop ends a start early; what it did since its newest checkpoint is lost if
// it is not graceful or cannot checkpoint.
func (b *bench) stop(l *life, attempt int, graceful bool, end schedule.End, worker string) {
	if l.place == nil || l.attempt != attempt {
		return
	}
	ran, lost := b.now-l.since, time.Duration(0)
	switch {
	case !l.job.Stoppable():
		lost = ran
	case !graceful:
		lost = ran % checkpointEvery
	}
	if end == schedule.Reclaimed {
		b.lost += lost.Seconds() * float64(l.job.Shape().Total())
	}
	l.left, l.place = l.left-ran+lost, nil
	b.waiting[l.job.Shape()]++
	b.Ended(l.job.ID(), end, worker, epoch.Add(b.now))
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

// lose ends what stands on a worker that is gone.
func (b *bench) lose(worker string) {
	b.Zone().RemoveWorker(worker)
	for _, r := range b.stream.requests {
		if l := b.lives[r.job.ID()]; l != nil && len(l.place.On(worker)) > 0 {
			b.stop(l, l.attempt, false, schedule.WorkerGone, worker)
		}
	}
}
