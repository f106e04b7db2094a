package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// A target may fail all that it starts, and each failure costs a task one of its
// few attempts: one that does so within 40 ms ends any number of jobs in a second
// if it is given work as soon as it is free again. So a target that was condemned
// is tried with one run at a time, until one that began since has gone well.

// timeWorked returns how long a run has worked, as far as it can be told: a gang works
// from the moment when all members are there, and a run that resumes when it has
// restored its checkpoint. Of a run that is not known it is all of its time.
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

// unknownWork stands for the time that a run has worked of which nothing is known: its
// failure is no sign of haste.
const unknownWork = 1<<63 - 1

// recordHealthyRun takes in that a run which goes on speaks for its target.
func (m *Machine) recordHealthyRun(r *run, now time.Time) {
	if r.provedHealthy || r.phase != running || r.task.step.spec.LongRunning || !r.allMembersRunning() {
		return
	}
	r.provedHealthy = r.target.health.ObserveProgress(r.beganAt, m.timeWorked(r, now), r.task.step.spec.Estimate, now)
}

// excludedByProbation reports whether a target on trial may not have a task of the step: it
// has its one run already, or the step is a gang, which fails whole with one member.
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

// maxFailedTargets is on how many targets a step may fail and still speak against each:
// one that fails on more is itself at fault, and must not have sound targets
// condemned one after the other.
const maxFailedTargets = 3

// recordFailedTarget notes that a task of the step failed on a target.
func (s *step) recordFailedTarget(t *target) {
	if s.failedTargets == nil {
		s.failedTargets = map[string]bool{}
	}
	s.failedTargets[t.ID] = true
}

// implicatesTargets reports whether the step's failures tell something of targets.
func (s *step) implicatesTargets() bool { return len(s.failedTargets) <= maxFailedTargets }

// logIfQuarantined tells of a target that was condemned by a sign that was just taken in.
func (m *Machine) logIfQuarantined(t *target, wasQuarantined bool, reason string, id graph.TaskID, now time.Time) {
	if !wasQuarantined && t.health.Quarantined(now) {
		m.log.Decided("target condemned", "target", t.ID, "reason", reason, "task", id, "runs", len(t.runs))
	}
}
