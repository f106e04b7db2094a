package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// A target may fail every run that it starts, and each failure costs a task one of its
// few attempts. A target that fails them within 40 ms would end any number of jobs in a
// second if it got work whenever it is free. So a target that was quarantined gets one
// run at a time, until one that began after the quarantine has succeeded.

// timeWorked returns how long a run is known to have worked: a gang works once all
// its members have begun, and a run that resumes once its checkpoint is restored. For a
// run that was not reported as begun it returns unknownWork.
func (m *Machine) timeWorked(r *run, now time.Time) time.Duration {
	if r == nil || r.beganAt.IsZero() {
		return unknownWork
	}
	began := r.beganAt
	if r.task.step.spec.Gang {
		for _, x := range r.task.step.tasks {
			for _, o := range x.runs {
				if o.Number == r.Number && o.beganAt.After(began) {
					began = o.beganAt
				}
			}
		}
	}
	worked := now.Sub(began)
	if r.resumedFrom != "" {
		worked -= m.bounds.RestoreTime
	}
	return max(worked, 0)
}

// unknownWork is the time worked that is assumed for a run that was not reported as begun:
// its failure must not count as early.
const unknownWork = 1<<63 - 1

// recordHealthyRun counts a run that makes progress as evidence that its target is
// healthy.
func (m *Machine) recordHealthyRun(r *run, now time.Time) {
	if r.provedHealthy || r.phase != running || r.task.step.spec.LongRunning || !r.allMembersRunning() {
		return
	}
	r.provedHealthy = r.target.health.ObserveProgress(r.beganAt, m.timeWorked(r, now), r.task.step.spec.Estimate, now)
}

// excludedByProbation reports whether a target on probation may not get a task of the
// step: it has its one run already, or the step is a gang, which fails as a whole if one
// member fails.
func (t *target) excludedByProbation(s *step, now time.Time) bool {
	if !t.health.OnProbation(now) {
		return false
	}
	if s.spec.Gang {
		return true
	}
	for _, r := range t.runs {
		if !r.provedHealthy && r.phase != stopping && r.phase != unconfirmed {
			return true
		}
	}
	return false
}

// maxFailedTargets is on how many targets a step may fail and still count as evidence
// against each: a step that fails on more is itself at fault, and must not get healthy
// targets quarantined one after the other.
const maxFailedTargets = 3

// recordFailedTarget records that a task of the step failed on a target.
func (s *step) recordFailedTarget(t *target) {
	if s.failedTargets == nil {
		s.failedTargets = map[string]bool{}
	}
	s.failedTargets[t.ID] = true
}

// implicatesTargets reports whether the step's failures are evidence against its targets.
func (s *step) implicatesTargets() bool { return len(s.failedTargets) <= maxFailedTargets }

// logIfQuarantined logs that the evidence just recorded has quarantined a target.
func (m *Machine) logIfQuarantined(t *target, wasQuarantined bool, reason string, id graph.TaskID, now time.Time) {
	if !wasQuarantined && t.health.Quarantined(now) {
		m.log.Decided("target quarantined", "target", t.ID, "reason", reason, "task", id, "runs", len(t.runs))
	}
}
