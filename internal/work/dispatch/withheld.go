package dispatch

import (
	"maps"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/headroom"
)

// withheldShare is the part of a job's slack for which headroom may withhold its steps. The
// rest is left for the wait for capacity: a step that were withheld to the end of its slack
// would be late unless capacity for it is free at that very moment.
const withheldShare = 0.5

// canWait reports whether the step may be withheld at a time, in milliseconds since 1970. A
// step may if half of its job's slack, and of the time until its job would be given up, is
// still left. A long-running task that has to start again is not available until it does, and
// may not.
func (s *step) canWait(nowMS int64) bool {
	if s.spec.LongRunning {
		return false
	}
	slack := (s.job.objective - s.job.spec.CriticalPath()).Milliseconds()
	until := s.latestStartForObjective() - slack + int64(withheldShare*float64(slack))
	if last := s.job.spec.StartBy; last != 0 {
		until = min(until, s.releaseTime()+int64(withheldShare*float64(last-s.releaseTime())))
	}
	return nowMS < until
}

// PlacementWithheld reports that a step was withheld for the first time since headroom is kept
// free for urgent work. There is no answer.
type PlacementWithheld struct {
	Reason WithheldReason
}

func (PlacementWithheld) command() {}

// WithheldReason is the resource of the headroom into which a withheld step would have gone.
type WithheldReason string

// Reasons to withhold a step.
const (
	WithheldAccelerators WithheldReason = "accelerators"
	WithheldCores        WithheldReason = "cores"
	WithheldMemory       WithheldReason = "memory"
)

// withholding is a span in which work is withheld on a service.
type withholding struct {
	from, last time.Time // when a step was first and last withheld
	steps      int       // number of steps that were
}

// recordWithheld records that a step was not placed only since capacity is kept free. free is the
// free capacity beside it of a target that could have taken a task.
func (m *Machine) recordWithheld(s *step, free graph.Resources, now time.Time) {
	service := s.job.spec.Service
	w := m.headroom.withholding[service]
	if w == nil {
		w = &withholding{from: now}
		m.headroom.withholding = put(m.headroom.withholding, service, w)
		want := m.expectedUrgent(service, now)
		m.log.Decided("headroom withholds work", "service", service, "accelerators", want.Accelerators, "cores", want.CPU/1000, "memoryMB", want.MemoryMB)
	}
	w.last = now
	if s.withheld {
		return
	}
	s.withheld = true
	w.steps++
	reason := withheldReason(s.spec.Charge(), free)
	m.log.Recorded("withheld for headroom", "step", s.id, "reason", reason, "headroom", m.expectedUrgent(service, now).Accelerators, "latestStart", s.latestStartForObjective())
	m.commands = append(m.commands, PlacementWithheld{Reason: reason})
}

// recordIfWithheld records that a gang fits on none of some sets only since capacity is kept free,
// if that is so.
func (m *Machine) recordIfWithheld(s *step, sets []targetSet, now time.Time) {
	kept := m.keptFrom(s, now)
	if w := m.headroom.withholding[s.job.spec.Service]; kept == nil || s.withheld && w != nil && w.last.Equal(now) {
		return
	}
	charge := s.spec.Charge()
	for _, set := range sets {
		m.targetsConsidered += len(set.targets)
		fitting, blocked := 0, (*target)(nil)
		for _, t := range set.targets {
			if m.reservedForOther(t, s) {
				continue
			}
			n := min(tasksThatFit(charge, t.freeCapacity()), max(s.perTargetLeft(t), 0))
			if fitting += n; n > tasksThatFit(charge, kept.besides(t)) {
				blocked = t
			}
		}
		if fitting >= len(s.tasks) && blocked != nil {
			free := kept.besides(blocked)
			m.recordWithheld(s, free.Minus(charge.Times(tasksThatFit(charge, free))), now)
			return
		}
	}
}

// withheldReason returns the first resource in which a charge does not fit.
func withheldReason(charge, free graph.Resources) WithheldReason {
	switch {
	case charge.Accelerators > free.Accelerators:
		return WithheldAccelerators
	case charge.CPU > free.CPU:
		return WithheldCores
	}
	return WithheldMemory
}

// checkWithholding logs when headroom has ceased to withhold work of a service: none was withheld
// for headroom.Window, so that a short gap does not count as an end.
func (m *Machine) checkWithholding(now time.Time) {
	for _, service := range slices.Sorted(maps.Keys(m.headroom.withholding)) {
		w := m.headroom.withholding[service]
		if now.Sub(w.last) >= headroom.Window {
			delete(m.headroom.withholding, service)
			m.log.Decided("headroom withholds no work any more", "service", service, "steps", w.steps, "forMS", w.last.Sub(w.from).Milliseconds())
		}
	}
}
