package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// Decide returns the commands that follow from what the machine was told since
// the last call: starts, stops, reports to ask for and progress to save.
func (m *Machine) Decide(now time.Time) []Command {
	if m.begun && m.changed && !m.deposed && !m.gathers(now) && m.informed(now) {
		m.startWaiting(now)
		if now.Before(m.passAt) {
			m.placeFresh(now)
		} else {
			m.changed = false
			m.schedule(now)
		}
	}
	for _, t := range m.touched {
		t.touched = false
		m.holdIfDue(t, now)
	}
	m.touched = m.touched[:0]
	m.flush(now)
	out := m.out
	m.out = nil
	if m.deposed {
		return nil
	}
	return out
}

// Due returns when Decide has something to do though nothing more happens, and
// whether it has. It has not while what it knows of targets or zones is too old.
func (m *Machine) Due(now time.Time) (time.Time, bool) {
	at := m.passAt
	if ready := m.begunAt.Add(gatherTime); at.Before(ready) {
		at = ready
	}
	return at, m.begun && m.changed && !m.deposed && m.informed(now)
}

// touchTarget has a hold considered for a target of which something has changed.
func (m *Machine) touchTarget(t *target) {
	if !t.touched {
		t.touched = true
		m.touched = append(m.touched, t)
	}
}

// passRest is the pause after a pass for each target that was considered for a
// step. A full backlog on many targets would otherwise take the whole processor:
// each end frees some room, and each pass tries all that wait. At about 50 ns for
// a target, passes take a tenth of the processor at most.
const passRest = 500 * time.Nanosecond

// pass is what is worked out once for all steps of a pass.
type pass struct {
	victims map[*target][]victim // that may be stopped for work of priority 0
	losses  map[*step]float64    // of gangs
	wanted  map[string]int       // accelerators that accounts want for priority 0
	// clearable is the room of targets if all that may be stopped there is.
	clearable map[*target]graph.Resources
	full      []noRoom // gangs that found no room as it is
}

// changed forgets what was worked out of a target.
func (p *pass) changed(t *target) {
	delete(p.victims, t)
	delete(p.clearable, t)
}

// newPass begins a pass.
func (m *Machine) newPass(now time.Time) {
	m.pass = pass{victims: map[*target][]victim{}, losses: map[*step]float64{}, clearable: map[*target]graph.Resources{}}
	m.considered = 0
	m.countBacklog(now)
}

// placeFresh places steps that came up since the last pass, so that urgent work
// need not wait for the next one.
func (m *Machine) placeFresh(now time.Time) {
	fresh := m.fresh
	m.fresh = nil
	if len(fresh) == 0 {
		return
	}
	m.newPass(now)
	for _, s := range fresh {
		if s.listedOpen && !s.done && !s.job.over() && s.job.spec.Priority == 0 && !m.mustWait(s, now) && m.placeStep(s, now) {
			m.seekAdvice(s, now)
		}
	}
}

// schedule gives the open steps targets, the most urgent first.
func (m *Machine) schedule(now time.Time) {
	m.newPass(now)
	m.fresh = nil
	wall := m.wallMS(now)
	for _, s := range m.open {
		s.rank = s.rankAt(wall)
	}
	slices.SortStableFunc(m.open, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.anchor(), b.anchor()))
	})
	m.heldBack = nil
	waits := false // for starts that are on their way
	kept := m.open[:0]
	for _, s := range m.open {
		if s.done || s.job.over() {
			s.listedOpen = false
			continue
		}
		if m.giveUp(s.job, wall) {
			s.listedOpen = false
			continue
		}
		more := true
		if m.mustWait(s, now) {
			waits = true
		} else if more = m.placeStep(s, now); more {
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
	m.passAt = now.Add(time.Duration(m.considered) * passRest)
	if waits {
		m.changed = true
		m.passAt = now.Add(max(aheadRest, time.Duration(m.considered)*passRest))
	}
}

// giveUp ends a job that was to have started by now and has not.
func (m *Machine) giveUp(j *job, wall int64) bool {
	if j.spec.StartBy == 0 || wall < j.spec.StartBy || j.started || len(j.live) > 0 {
		return false
	}
	m.log.Decided("job given up before it started", "job", j.spec.ID, "startBy", j.spec.StartBy)
	j.state, j.endedAt = progress.NotRun, wall
	m.touch(j)
	return true
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
		full = full || m.mustWait(s, now)
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
			full = len(x.tried().avoid) == 0 // the other tasks are alike
			continue
		}
		m.startIfFits([]*run{m.place(x, t, x.highest+1, now)})
	}
	return left
}
