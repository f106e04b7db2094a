package schedule

import (
	"container/heap"
	"fmt"
	"math"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/queue"
)

// The order among borrowers.
const (
	shortestRun = 10 * time.Second // is added to estimates, so that none counts as nothing
	longestRun  = 30 * time.Minute // estimates count up to this, so that long jobs age too
	middleShare = 0.5              // quantile of an expected run time
	safeShare   = 0.9              // quantile of a run time that is to be kept
)

// attempt is when a class last found no room.
type attempt struct {
	epoch int64
	at    time.Time
}

// Decide returns what to do now. A job it starts has its room taken; a job it
// refuses is forgotten.
func (s *Scheduler) Decide(now time.Time) []Decision {
	s.barIll()
	ds := append(s.answers, s.expire(now)...)
	s.answers = nil
	ds = append(ds, s.ripen(now)...)
	ds = append(ds, s.round(now)...)
	ds = append(ds, s.tidy(now)...)
	s.releaseReserved()
	return ds
}

// expire refuses the jobs whose deadline has come.
func (s *Scheduler) expire(now time.Time) []Decision {
	var ds []Decision
	for _, it := range s.queue.Expired(now) {
		s.forget(it.Job.ID())
		ds = append(ds, Decision{Action: Refuse, Job: it.Job, Reason: "not started by its deadline"})
	}
	return ds
}

// round tries the buckets in order, each until its head finds no room.
func (s *Scheduler) round(now time.Time) []Decision {
	r := s.newRound(now)
	for r.Len() > 0 {
		e, _ := heap.Pop(r).(entry)
		it, ok := e.bucket.Head(now)
		if !ok {
			continue
		}
		if score := s.score(e.bucket.Class(), it, now); score > e.score {
			heap.Push(r, entry{e.bucket, score})
			continue
		}
		if s.try(e.bucket.Class(), *it, r) {
			r.push(s, e.bucket)
		}
	}
	return r.decisions
}

// round is the state of one Decide.
type round struct {
	now       time.Time
	entries   []entry
	full      map[room]bool // requests that found no room in this round
	decisions []Decision
}

type entry struct {
	bucket *queue.Bucket
	score  float64
}

// room is what decides whether a request finds room, whoever asks.
type room struct {
	class queue.Class // without what does not matter
	long  bool        // it would outlast the planned start of the head
}

func (s *Scheduler) newRound(now time.Time) *round {
	r := &round{now: now, full: map[room]bool{}}
	s.shares.measure(s.zone.Inventory(), now)
	for _, b := range s.queue.Buckets() {
		if a, ok := s.blocked[b.Class()]; ok && a.epoch == s.epoch && now.Before(a.at.Add(retryIdle)) {
			continue
		}
		delete(s.blocked, b.Class())
		r.push(s, b)
	}
	return r
}

func (r *round) push(s *Scheduler, b *queue.Bucket) {
	if it, ok := b.Head(r.now); ok {
		heap.Push(r, entry{b, s.score(b.Class(), it, r.now)})
	}
}

// score orders the buckets: by lane, and in it by arrival; but among borrowers by
// dominant share against weight, less the time waited against the work asked
// for. So small work goes first, and whatever waits overtakes all in the end.
func (s *Scheduler) score(c queue.Class, it *queue.Item, now time.Time) float64 {
	waited := now.Sub(it.Since).Seconds()
	if s.without[Order] {
		return -waited
	}
	lane := float64(c.Lane) * laneStep
	if c.Lane != queue.Borrowed {
		return lane - min(waited, laneStep/4)
	}
	service, _ := s.config.Service(c.Service)
	completion, _ := service.Weights(it.Job.Kind())
	run := min(s.estimated(it.Job, middleShare), longestRun) + shortestRun
	work := run.Seconds() * math.Pow(float64(max(c.Shape.Total(), 1)), completion)
	return lane + s.shares.dominant(c.Account)/s.weight(c.Account) - min(waited/work, laneStep/4)
}

// laneStep is more than any share, run or waiting time that is scored.
const laneStep = 1e6

func (s *Scheduler) weight(account string) float64 {
	if a, ok := s.config.Account(account); ok && a.Weight() > 0 {
		return a.Weight()
	}
	return 1
}

// try starts, refuses or reclaims for the head of a bucket. It returns false if
// the head finds no room, so that the rest of the bucket need not be tried.
func (s *Scheduler) try(c queue.Class, it queue.Item, r *round) bool {
	request := s.request(it.Job)
	if reason := s.never(c, request); reason != nil {
		s.queue.Remove(it.Job.ID())
		s.forget(it.Job.ID())
		r.decisions = append(r.decisions, Decision{Action: Refuse, Job: it.Job, Reason: reason.Error()})
		return true
	}
	if s.start(c, it, request, r) {
		return true
	}
	if c.Lane != queue.Borrowed && !s.without[Reclaim] {
		if ds, ok := s.reclaim(it, request, r.now); ok {
			s.queue.Remove(it.Job.ID())
			r.decisions = append(r.decisions, ds...)
			r.decisions = append(r.decisions, s.ripen(r.now)...)
			return true
		}
	}
	s.reserve(it, r.now)
	ds, ok := s.compact(it, request, r.now)
	if !ok {
		ds, ok = s.shift(it, request, r.now)
	}
	if ok {
		s.queue.Remove(it.Job.ID())
		r.decisions = append(r.decisions, ds...)
		return true
	}
	if len(s.blocked) > mostClasses {
		clear(s.blocked) // of classes that may be long gone; they are only tried sooner
	}
	s.blocked[c] = attempt{epoch: s.epoch, at: r.now}
	return false
}

// start takes room for the job if there is any that it may have.
func (s *Scheduler) start(c queue.Class, it queue.Item, request placement.Request, r *round) bool {
	key := s.roomFor(c, it, r.now)
	if r.full[key] {
		return false
	}
	s.holdReserved(key.long, r.now)
	s.openProbes(it.Job, r.now)
	a, ok := s.takeElsewhere(request, r.now)
	if !ok {
		a, ok = s.take(request, r.now)
	}
	if !ok {
		r.full[key] = true
		return false
	}
	s.queue.Remove(it.Job.ID())
	s.run(it, request, a, r.now)
	s.reserved.startedBy(it.Job.ID())
	r.decisions = append(r.decisions, Decision{Action: Start, Job: it.Job, Assignment: a, Reason: describe(it, r.now)})
	return true
}

func (s *Scheduler) take(r placement.Request, now time.Time) (cell.Assignment, bool) {
	a, ok := s.zone.Place(r)
	return a, ok && s.zone.Take(r, a, now) == nil
}

// takeElsewhere takes room away from the workers that the job failed on; ok is
// false if it failed on none, or there is no other room.
func (s *Scheduler) takeElsewhere(r placement.Request, now time.Time) (a cell.Assignment, ok bool) {
	var shut []string
	for _, w := range s.watch.FailedOn(r.Owner) {
		if !s.zone.Inventory().Barred(w) {
			shut = append(shut, w)
			s.bar(w, true)
		}
	}
	if len(shut) == 0 {
		return nil, false
	}
	a, ok = s.take(r, now)
	for _, w := range shut {
		s.bar(w, false)
	}
	return a, ok
}

// roomFor returns what decides whether the job finds room. Borrowers find the
// same room whatever their account; a claim is on the account's own.
func (s *Scheduler) roomFor(c queue.Class, it queue.Item, now time.Time) room {
	long := c.Lane == queue.Borrowed && !c.Stoppable && s.outlasts(it.Job, now)
	if c.Lane == queue.Borrowed {
		c.Account = ""
	}
	c.Kind = ""
	return room{class: c, long: long}
}

// never returns why a job can never run, nil if it may: it fits nowhere, or only
// where guarantees in force keep it out even of an idle zone. What could run
// once under the configuration in force is not refused when workers are lost:
// they may come back. A zone that knows no workers yet refuses nothing.
func (s *Scheduler) never(c queue.Class, r placement.Request) error {
	c.Kind, c.Service = "", ""
	if s.possible[c] || s.shares.workers == 0 {
		return nil
	}
	if err := s.zone.CanEver(r.Shape); err != nil {
		return err
	}
	if !s.without[Reclaim] && !s.fitsIdle(r) {
		return fmt.Errorf("shape %s: it fits only where guarantees of others keep out work that cannot be stopped", r.Shape)
	}
	s.possible[c] = true
	return nil
}

// fitsIdle reports whether the request finds room in a zone with the same
// workers and guarantees and nothing running.
func (s *Scheduler) fitsIdle(r placement.Request) bool {
	idle := placement.NewZone(placement.Cells{})
	for _, w := range s.zone.Inventory().Workers() {
		idle.AddWorker(w)
	}
	idle.ImposeGuarantees(s.guarantees)
	a, ok := idle.Place(r)
	return ok && idle.Take(r, a, time.Time{}) == nil
}

// probePatience is how long a job waits for others to probe the workers that it
// needs. After that it may be the probe itself: without that a gang that needs a
// worker that is out waits for ever when no small job comes. Work that may not
// be repeated waits longer, since a failed probe would be its end.
const (
	probePatience = time.Minute
	probeOnce     = 10 * time.Minute
)

// openProbes lets a small repeatable job, or one that waited long, onto workers
// that are out and due for a probe, and shuts them for everything else.
func (s *Scheduler) openProbes(j job.Job, now time.Time) {
	patience := probePatience
	switch {
	case !j.Repeatable():
		patience = probeOnce
	case !j.Guaranteed() && j.Shape().Members() == 1:
		patience = 0
	}
	fit := now.Sub(j.Submitted()) >= patience
	for w := range s.ill {
		s.bar(w, s.leaving[w] || !fit || !s.watch.MayProbe(w, now))
	}
}

// bar sets a worker's bar in the zone if it is not so already.
func (s *Scheduler) bar(worker string, barred bool) {
	if s.zone.Inventory().Barred(worker) != barred {
		s.zone.Bar(worker, barred)
	}
}

// Len, Less, Swap, Push and Pop are for package heap.
func (r *round) Len() int           { return len(r.entries) }
func (r *round) Less(i, j int) bool { return r.entries[i].score < r.entries[j].score }
func (r *round) Swap(i, j int)      { r.entries[i], r.entries[j] = r.entries[j], r.entries[i] }

// Push is for package heap.
func (r *round) Push(x any) {
	if e, ok := x.(entry); ok {
		r.entries = append(r.entries, e)
	}
}

// Pop is for package heap.
func (r *round) Pop() any {
	last := len(r.entries) - 1
	e := r.entries[last]
	r.entries = r.entries[:last]
	return e
}
