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
	if m.placementEnabled && m.placementDue && !m.deposed && !m.awaitingReports(now) && m.stateIsCurrent(now) {
		m.recordWaiting(now)
		if now.Before(m.nextPassAt) {
			m.placeNewSteps(now)
		} else {
			m.placementDue = false
			m.schedule(now)
		}
	}
	for _, t := range m.pollCandidates {
		t.pollCandidate = false
		m.pollIfDue(t, now)
	}
	m.pollCandidates = m.pollCandidates[:0]
	m.sendSaves(now)
	out := m.commands
	m.commands = nil
	if m.deposed {
		return nil
	}
	return out
}

// NextDecision returns when Decide has something to do though nothing more happens, and
// whether it has. It has not while what it knows of targets or zones is too old.
func (m *Machine) NextDecision(now time.Time) (time.Time, bool) {
	at := m.nextPassAt
	if ready := m.placementEnabledAt.Add(reportWait); at.Before(ready) {
		at = ready
	}
	return at, m.placementEnabled && m.placementDue && !m.deposed && m.stateIsCurrent(now)
}

// considerPoll has a poll considered for a target of which something has changed.
func (m *Machine) considerPoll(t *target) {
	if !t.pollCandidate {
		t.pollCandidate = true
		m.pollCandidates = append(m.pollCandidates, t)
	}
}

// passPausePerTarget is the pause after a pass for each target that was considered for a
// step. A full backlog on many targets would otherwise take the whole processor:
// each end frees some room, and each pass tries all that wait. At about 50 ns for
// a target, passes take a tenth of the processor at most.
const passPausePerTarget = 500 * time.Nanosecond

// pass is what is worked out once for all steps of a pass.
type pass struct {
	victims map[*target][]victim // that may be stopped for work of priority 0
	losses  map[*step]float64    // of gangs
	wanted  map[string]int       // accelerators that accounts want for priority 0
	// preemptibleCapacity is the room of targets if all that may be stopped there is.
	preemptibleCapacity map[*target]graph.Resources
	unplaceable         []unplaceable // gangs that found no room as it is
}

// invalidate forgets what was worked out of a target.
func (p *pass) invalidate(t *target) {
	delete(p.victims, t)
	delete(p.preemptibleCapacity, t)
}

// newPass begins a pass.
func (m *Machine) newPass(now time.Time) {
	m.pass = pass{victims: map[*target][]victim{}, losses: map[*step]float64{}, preemptibleCapacity: map[*target]graph.Resources{}}
	m.targetsConsidered = 0
	m.countBacklog(now)
}

// placeNewSteps places steps that came up since the last pass, so that urgent work
// need not wait for the next one.
func (m *Machine) placeNewSteps(now time.Time) {
	steps := m.newSteps
	m.newSteps = nil
	if len(steps) == 0 {
		return
	}
	m.newPass(now)
	for _, s := range steps {
		if s.queued && !s.done && !s.job.finished() && s.job.spec.Priority == 0 && !m.throttled(s, now) && m.placeStep(s, now) {
			m.requestAdvice(s, now)
		}
	}
}

// schedule gives the open steps targets, the most urgent first.
func (m *Machine) schedule(now time.Time) {
	m.newPass(now)
	m.newSteps = nil
	nowMS := m.wallMS(now)
	for _, s := range m.openSteps {
		s.rank = s.rankAt(nowMS)
	}
	slices.SortStableFunc(m.openSteps, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.releaseTime(), b.releaseTime()))
	})
	m.reserved = nil
	startsPending := false // for starts that are on their way
	remaining := m.openSteps[:0]
	for _, s := range m.openSteps {
		if s.done || s.job.finished() {
			s.queued = false
			continue
		}
		if m.expireUnstarted(s.job, nowMS) {
			s.queued = false
			continue
		}
		more := true
		if m.throttled(s, now) {
			startsPending = true
		} else if more = m.placeStep(s, now); more {
			m.requestAdvice(s, now)
		}
		if more {
			remaining = append(remaining, s)
		} else {
			s.queued = false
		}
	}
	clear(m.openSteps[len(remaining):])
	m.openSteps = remaining
	m.nextPassAt = now.Add(time.Duration(m.targetsConsidered) * passPausePerTarget)
	if startsPending {
		m.placementDue = true
		m.nextPassAt = now.Add(max(backlogPause, time.Duration(m.targetsConsidered)*passPausePerTarget))
	}
}

// expireUnstarted ends a job that was to have started by now and has not.
func (m *Machine) expireUnstarted(j *job, nowMS int64) bool {
	if j.spec.StartBy == 0 || nowMS < j.spec.StartBy || j.started || len(j.liveRuns) > 0 {
		return false
	}
	m.log.Decided("job given up before it started", "job", j.spec.ID, "startBy", j.spec.StartBy)
	j.state, j.endedAt = progress.NotRun, nowMS
	m.markDirty(j)
	return true
}

// reportWait is how long a new leader waits for the first reports of all targets
// before it places anything: most come within a few round trips, and what is
// placed on the first few is placed badly.
const reportWait = 150 * time.Millisecond

// awaitingReports reports whether the first reports are still awaited.
func (m *Machine) awaitingReports(now time.Time) bool {
	if now.Sub(m.placementEnabledAt) >= reportWait {
		return false
	}
	return slices.ContainsFunc(m.sortedTargets, func(t *target) bool { return t.listed && t.reach == notPolled })
}

// lateFactor is how many times the objective a job may take and still earn: the
// users' rule for late jobs.
const lateFactor = 3

// worthlessRank puts steps of jobs that cannot earn any more behind all others:
// they are still finished.
const worthlessRank = math.MaxInt64 / 2

// rankAt orders steps: urgent ones of priority 0 first, then by the next moment
// at which a start comes too late for something: the objective, or the last
// moment at which the job still earns. A job whose objective has passed so makes
// way for those that can still meet theirs.
func (s *step) rankAt(nowMS int64) int64 {
	latest, last := s.latestStartForObjective(), s.latestStartForValue()
	switch {
	case nowMS > last:
		return worthlessRank + s.releaseTime()/1000
	case s.job.spec.Priority == 0:
		return math.MinInt64/2 + latest
	case nowMS > latest:
		return last
	}
	return latest
}

// latestStartForObjective returns the latest start that meets the objective of the step's
// job, in milliseconds since 1970.
func (s *step) latestStartForObjective() int64 {
	return s.releaseTime() + s.job.objective.Milliseconds() - s.criticalPath.Milliseconds()
}

// latestStartForValue returns the latest start after which the job still earns.
func (s *step) latestStartForValue() int64 {
	return s.releaseTime() + lateFactor*s.job.objective.Milliseconds() - s.criticalPath.Milliseconds()
}

// placeStep places what it can of a step and reports whether something is left
// to place.
func (m *Machine) placeStep(s *step, now time.Time) bool {
	if s.spec.Gang {
		return m.placeGang(s, now)
	}
	more, skipRest := false, false
	for _, x := range s.tasks {
		if x.done || len(x.runs) > 0 {
			continue
		}
		skipRest = skipRest || m.throttled(s, now)
		if skipRest || now.Before(x.pausedUntil) {
			more = true
			continue
		}
		t := m.chooseTarget(x, now)
		if t == nil && s.job.spec.Priority == 0 {
			t = m.preemptFor(x, now)
		}
		if t == nil {
			more = true
			skipRest = len(x.attempts().avoidedTargets) == 0 // the other tasks are alike
			continue
		}
		m.recordIfFits([]*run{m.place(x, t, x.highestRun+1, now)})
	}
	return more
}
