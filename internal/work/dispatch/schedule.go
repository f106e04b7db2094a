package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// Decide places work if that is due and returns all commands issued since the last call:
// starts, stops, polls and saves among them. The caller calls it after it has passed in
// new events, and when NextDecision says so.
func (m *Machine) Decide(now time.Time) []Command {
	m.failCrashing(now)
	if m.placementEnabled && m.placementDue && !m.superseded && !m.awaitingReports(now) && m.stateIsCurrent(now) {
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
	if m.superseded {
		return nil
	}
	return out
}

// NextDecision returns when Decide must be called next if no event comes before, and
// whether it must be called at all without one. It need not be while the list of targets
// or the evacuation status is too old.
func (m *Machine) NextDecision(now time.Time) (time.Time, bool) {
	at := m.nextPassAt
	if ready := m.placementEnabledAt.Add(reportWait); at.Before(ready) {
		at = ready
	}
	return at, m.placementEnabled && m.placementDue && !m.superseded && m.stateIsCurrent(now)
}

// considerPoll has the next Decide check whether a target is due for a poll.
func (m *Machine) considerPoll(t *target) {
	if !t.pollCandidate {
		t.pollCandidate = true
		m.pollCandidates = append(m.pollCandidates, t)
	}
}

// passPausePerTarget is the pause after a pass for each target that was considered for a
// step. Without it, a full queue on many targets takes the whole processor, since each
// end frees capacity and each pass tries all pending steps. Considering a target takes
// about 50 ns, so passes take at most a tenth of the processor.
const passPausePerTarget = 500 * time.Nanosecond

// pass caches what all steps of a scheduling pass share.
type pass struct {
	victims map[*target][]victim // runs that may be stopped for work of priority 0
	losses  map[*step]float64    // losses of gangs if they are stopped
	wanted  map[string]int       // accelerators wanted for jobs of priority 0, by account
	// preemptibleCapacity is the capacity of targets that is free if all preemptible runs
	// stop.
	preemptibleCapacity map[*target]graph.Resources
	unplaceable         []unplaceableGang // gangs that do not fit without preemption
	idle                map[string]bool   // services of which most accelerators are free
	earlyAdvice         *Advise           // for the first step that needs advice and could not be placed now
	// kept is the capacity that is kept free for urgent work, by service.
	kept map[string]keptFree
}

// invalidate drops the cached values of a target.
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

// placeNewSteps places the steps of priority 0 that were enqueued since the last pass, so
// that urgent work does not wait for the next pass.
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

// schedule places the pending steps, the most urgent first.
func (m *Machine) schedule(now time.Time) {
	m.newPass(now)
	m.newSteps = nil
	nowMS := m.wallMS(now)
	for _, s := range m.pendingSteps {
		s.rank = s.rankAt(nowMS)
	}
	slices.SortStableFunc(m.pendingSteps, func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.releaseTime(), b.releaseTime()))
	})
	m.reserved = nil
	startsPending := false // a step waits until pending starts are answered
	remaining := m.pendingSteps[:0]
	for _, s := range m.pendingSteps {
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
	m.requestEarlyAdvice()
	clear(m.pendingSteps[len(remaining):])
	m.pendingSteps = remaining
	m.nextPassAt = now.Add(time.Duration(m.targetsConsidered) * passPausePerTarget)
	if startsPending {
		m.placementDue = true
		m.nextPassAt = now.Add(max(backlogPause, time.Duration(m.targetsConsidered)*passPausePerTarget))
	}
}

// expireUnstarted ends a job whose latest start time has passed before it started, and
// reports whether it did. A job that may have started goes on: its client would be told that
// nothing of it has run.
func (m *Machine) expireUnstarted(j *job, nowMS int64) bool {
	if j.spec.StartBy == 0 || nowMS < j.spec.StartBy || j.started || j.mayHaveStarted || len(j.liveRuns) > 0 {
		return false
	}
	m.log.Decided("job expired before it started", "job", j.spec.ID, "startBy", j.spec.StartBy)
	j.state, j.endedAt = progress.NotRun, nowMS
	m.markDirty(j)
	return true
}

// reportWait is how long a new leader waits for the first reports of all targets before
// it places anything. Most reports arrive within a few round trips, and placement on the
// first few targets alone would be poor.
const reportWait = 150 * time.Millisecond

// awaitingReports reports whether first reports are outstanding and reportWait is not over.
func (m *Machine) awaitingReports(now time.Time) bool {
	if now.Sub(m.placementEnabledAt) >= reportWait {
		return false
	}
	if t := m.awaited; t != nil && t.awaitsFirstReport() {
		return true
	}
	i := slices.IndexFunc(m.sortedTargets, (*target).awaitsFirstReport)
	if i < 0 {
		return false
	}
	m.awaited = m.sortedTargets[i]
	return true
}

// awaitsFirstReport reports whether a target of the list has not reported in this term.
func (t *target) awaitsFirstReport() bool { return t.listed && t.reach == notPolled }

// lateFactor is the multiple of its objective within which a late job still earns value.
const lateFactor = 3

// worthlessRank ranks steps of jobs that can earn no value any more behind all others.
// They are still completed.
const worthlessRank = math.MaxInt64 / 2

// rankAt returns the rank of a step, lowest first: steps of priority 0 by the latest start
// that meets their objective, then the others by the same or, once it has passed, by the
// latest start that still earns value. A job that has missed its objective thus yields to
// those that can still meet theirs.
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

// latestStartForObjective returns the latest start of the step that meets the objective of
// its job, in milliseconds since 1970.
func (s *step) latestStartForObjective() int64 {
	return s.releaseTime() + s.job.objective.Milliseconds() - s.criticalPath.Milliseconds()
}

// latestStartForValue returns the latest start of the step with which its job still earns
// value, in milliseconds since 1970.
func (s *step) latestStartForValue() int64 {
	return s.releaseTime() + lateFactor*s.job.objective.Milliseconds() - s.criticalPath.Milliseconds()
}

// placeStep places as many tasks of a step as possible and reports whether some are left
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
			skipRest = len(x.attempts().avoidedTargets) == 0 && x.suspicion() == 0 && !x.isolated() // the other tasks are alike
			continue
		}
		m.recordIfFits([]*run{m.place(x, t, x.highestRun+1, now)}, now)
	}
	return more
}
