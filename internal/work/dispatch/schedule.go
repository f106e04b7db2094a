package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Decide returns the commands that follow from what the machine was told since
// the last call: starts, stops, reports to ask for and progress to save.
func (m *Machine) Decide(now time.Time) []Command {
	if m.begun && m.changed && !m.deposed && !m.gathers(now) {
		m.changed = false
		m.startWaiting(now)
		m.schedule(now)
	}
	for _, t := range m.byID {
		m.holdIfDue(t, now)
	}
	m.flush(now)
	out := m.out
	m.out = nil
	if m.deposed {
		return nil
	}
	return out
}

// schedule gives the open steps targets, the most urgent first.
func (m *Machine) schedule(now time.Time) {
	wall := m.wallMS(now)
	for _, s := range m.open {
		s.rank = s.rankAt(wall)
	}
	slices.SortStableFunc(m.open, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.anchor(), b.anchor()))
	})
	blocked := m.heirsUnknown(now)
	m.heldBack = nil
	kept := m.open[:0]
	for _, s := range m.open {
		if s.done || s.job.over() {
			s.listedOpen = false
			continue
		}
		more := true
		if !blocked || !s.job.restored {
			more = m.placeStep(s, now)
		}
		if more {
			m.seekAdvice(s, now)
		}
		if more {
			kept = append(kept, s)
		} else {
			s.listedOpen = false
		}
	}
	clear(m.open[len(kept):])
	m.open = kept
}

// gatherTime is how long a new leader waits for the first reports of all targets
// before it places anything: most come within a few round trips, and what is
// placed on the first few is placed badly.
const gatherTime = 150 * time.Millisecond

// gathers reports whether the first reports are still awaited.
func (m *Machine) gathers(now time.Time) bool {
	if now.Sub(m.begunAt) >= gatherTime {
		return false
	}
	return slices.ContainsFunc(m.byID, func(t *target) bool { return t.listed && t.reach == unheld })
}

// heirsUnknown reports whether a target may still run something that an earlier
// leader started and that has not been reported.
func (m *Machine) heirsUnknown(now time.Time) bool {
	if !m.blind || !now.Before(m.heirEnd) {
		return false
	}
	for _, t := range m.byID {
		if t.reach == unheld {
			return true
		}
	}
	return false
}

// lateFactor is how many times the objective a job may take and still earn: the
// users' rule for late jobs.
const lateFactor = 3

// hopelessRank puts steps of jobs that cannot earn any more behind all others:
// they are still finished.
const hopelessRank = math.MaxInt64 / 2

// rankAt orders steps: urgent ones of priority 0 first, then by the next moment
// at which a start comes too late for something: the objective, or the last
// moment at which the job still earns. A job whose objective has passed so makes
// way for those that can still meet theirs.
func (s *step) rankAt(wall int64) int64 {
	latest, last := s.latestStart(), s.lastStart()
	switch {
	case wall > last:
		return hopelessRank + s.anchor()/1000
	case s.job.spec.Priority == 0:
		return math.MinInt64/2 + latest
	case wall > latest:
		return last
	}
	return latest
}

// latestStart returns the latest start that meets the objective of the step's
// job, in milliseconds since 1970.
func (s *step) latestStart() int64 {
	return s.anchor() + s.job.objective.Milliseconds() - s.tail.Milliseconds()
}

// lastStart returns the latest start after which the job still earns.
func (s *step) lastStart() int64 {
	return s.anchor() + lateFactor*s.job.objective.Milliseconds() - s.tail.Milliseconds()
}

// placeStep places what it can of a step and reports whether something is left
// to place.
func (m *Machine) placeStep(s *step, now time.Time) bool {
	if s.spec.Gang {
		return m.placeGang(s, now)
	}
	left, full := false, false
	for _, x := range s.tasks {
		if x.done || len(x.runs) > 0 {
			continue
		}
		if full || now.Before(x.pausedTo) {
			left = true
			continue
		}
		t := m.choose(x, now)
		if t == nil && s.job.spec.Priority == 0 {
			t = m.clearFor(x, now)
		}
		if t == nil {
			left = true
			full = len(x.avoid) == 0 // the other tasks are alike
			continue
		}
		m.startIfFits([]*run{m.place(x, t, x.highest+1, now)})
	}
	return left
}
