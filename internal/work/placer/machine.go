package placer

import (
	"math/rand/v2"
	"time"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/work/gang"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/schedule"
)

// Times and bounds of a placer.
const (
	LeaseTime  = gang.LeaseTime   // from a renewal to the lapse
	RenewEvery = 3 * time.Second  // from a renewal to the next
	GivenFor   = 30 * time.Second // a queued job that no entry gave again for so long is dropped
	// OrphanAfter is when a running job that is not durable is stopped because
	// no entry has asked for it.
	OrphanAfter = 60 * time.Second
	// ElsewhereFor is how long a job whose claim another placer won is looked
	// for, on the workers and in the platform's record, before it is given up as
	// lost; a long one for ElsewhereLong. The winner may be of another zone,
	// where an entry was asked for the same request.
	ElsewhereFor   = 30 * time.Second
	ElsewhereLong  = 10 * time.Minute
	elsewhereEvery = 2 * time.Second  // between two askings
	settledEvery   = 10 * time.Second // the same for a job with an outcome
	// UnlistedFor is how long a new placer waits for the platform's list before
	// it refuses a job whose deadline has passed.
	UnlistedFor = 5 * time.Second
	SilentAfter = 8 * time.Second  // a worker that was not heard for so long gets no new work
	TakenFor    = 30 * time.Second // an outcome is kept for entries that ask late
	UntakenFor  = 10 * time.Minute // an outcome that no entry takes is forgotten then
	MaxOutcomes = 10000            // outcomes kept; the oldest go first
	MaxCrashes  = 6                // attempts of a repeatable job that may fail, if the scheduler finds no culprit
	MaxEntries  = 4                // entries that one job is answered to
	// TakeoverWait is how long a new placer waits for the workers' lists before
	// it queues what it is given. A job that it does not know may run already.
	TakeoverWait = 1500 * time.Millisecond
	pauseAfter   = 2 * time.Second // between two steps: the machine was paused
)

// Machine is the state of one zone's placer. Make it with New. It is not safe
// for use by several goroutines.
type Machine struct {
	zone      string
	salt      int
	random    *rand.Rand
	scheduler *schedule.Scheduler
	config    *text.Config
	keeper    *keeper
	workers   map[string]*worker
	records   map[job.ID]*record
	order     []job.ID              // of records, oldest first
	found     map[job.ID]*gang.Gang // reported, not adopted: the newest attempt of each job
	foundAt   map[job.ID]time.Time  // when it was found
	heard     map[job.ID]heardOf    // the newest attempts that workers told of
	settled   int                   // records with an outcome
	stepped   time.Time             // when the last step was
	listed    bool                  // the platform's list has come: the zone's workers are known
	since     time.Time             // when the first list came
	taken     bool                  // the workers' lists were heard, or waited for long enough
	draining  bool                  // begins nothing more
	hop       time.Duration         // by which a renewal may be later at its worker; 0: sent from here
	dirty     bool                  // something that the scheduler decides about has changed
}

type heardOf struct {
	round int
	at    time.Time
}

// New returns the machine of a zone. If p is nil, placement.Cells is used.
func New(zone string, p placement.Policy, opts ...Option) *Machine {
	m := &Machine{
		zone:      zone,
		random:    rand.New(rand.NewPCG(1, 1)),
		scheduler: schedule.New(placement.NewZone(p)),
		keeper:    newKeeper(),
		workers:   map[string]*worker{},
		records:   map[job.ID]*record{},
		found:     map[job.ID]*gang.Gang{},
		foundAt:   map[job.ID]time.Time{},
		heard:     map[job.ID]heardOf{},
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Scheduler returns the queue and the room that the machine decides with, to be
// read only.
func (m *Machine) Scheduler() *schedule.Scheduler { return m.scheduler }

// Step takes an event at a time and returns what is to be done about it, in
// order.
//
// A host that was paused may believe in leases that are over. The first step
// after a pause therefore checks every stored deadline before the event is
// looked at and before anything is decided.
func (m *Machine) Step(ev Event, now time.Time) []Command {
	var cs []Command
	if !m.stepped.IsZero() && now.Sub(m.stepped) > pauseAfter {
		cs = m.ticked(now)
	}
	m.stepped = now
	cs = append(cs, m.handle(ev, now)...)
	return append(cs, m.decide(now)...)
}

func (m *Machine) handle(ev Event, now time.Time) []Command {
	switch e := ev.(type) {
	case Submitted:
		return m.submitted(e, now)
	case CancelAsked:
		return m.cancelAsked(e, now)
	case HoldAnswered:
		return m.holdAnswered(e, now)
	case ClaimAnswered:
		return m.claimAnswered(e, now)
	case StartAnswered:
		return m.startAnswered(e, now)
	case StopAnswered:
		return m.stopAnswered(e, now)
	case Reported:
		return m.reported(e, now)
	case TargetsListed:
		m.targetsListed(e, now)
	case Configured:
		return m.configured(e)
	case OutcomeTaken:
		m.outcomeTaken(e, now)
	case Ticked:
		return m.ticked(now)
	}
	return nil
}

func (m *Machine) configured(e Configured) []Command {
	m.config, m.dirty = e.Config, true
	if err := m.scheduler.Configure(e.Config, m.zone); err != nil {
		return []Command{Tell{Step: "configured", Text: err.Error()}}
	}
	return nil
}

func (m *Machine) ticked(now time.Time) []Command {
	var cs []Command
	for _, id := range append([]job.ID(nil), m.order...) {
		if r, ok := m.records[id]; ok {
			cs = append(cs, m.tickRecord(r, now)...)
		}
	}
	cs = append(cs, m.tickFound(now)...)
	for _, w := range m.keeper.due(now) {
		cs = append(cs, m.renew(w, now))
	}
	m.forget(now)
	m.dirty = true
	return cs
}

func (m *Machine) decide(now time.Time) []Command {
	wake := m.scheduler.NextWake(now)
	if m.draining || !m.dirty && (wake.IsZero() || now.Before(wake)) {
		return nil
	}
	// A new placer that does not know the zone's workers yet would refuse every
	// job as one that can never run.
	if !m.listed {
		return nil
	}
	m.dirty = false
	m.bar(now)
	var cs []Command
	for _, d := range m.scheduler.Decide(now) {
		r, ok := m.records[d.Job.ID()]
		if !ok {
			m.scheduler.Ended(d.Job.ID(), schedule.Done, "", now)
			continue
		}
		switch d.Action {
		case schedule.Start:
			if !r.mayBegin() {
				m.scheduler.Ended(d.Job.ID(), schedule.Dropped, "", now)
				continue
			}
			cs = append(cs, m.begin(r, d, now)...)
		case schedule.Refuse:
			cs = append(cs, m.refuse(r, d, now)...)
		case schedule.Stop:
			cs = append(cs, m.reclaim(r, d, now)...)
		case schedule.Throttle:
			cs = append(cs, m.throttle(r, d)...)
		case schedule.Fail:
			o := job.Outcome{State: job.Failed, Attempt: r.attempt(), Reason: d.Reason}
			cs = append(cs, m.settle(r, o, now)...)
		}
	}
	return cs
}
