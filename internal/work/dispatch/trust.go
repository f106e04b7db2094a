package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// A target may fail all that it starts, and each failure costs a task one of its
// few attempts: one that does so within 40 ms ends any number of jobs in a second
// if it is given work as soon as it is free again. So a target that was condemned
// is tried with one run at a time, until one that began since has gone well.

// worked returns how long a run has worked, as far as it can be told: a gang works
// from the moment when all members are there, and a run that resumes when it has
// restored its checkpoint. Of a run that is not known it is all of its time.
func (m *Machine) worked(r *run, now time.Time) time.Duration {
	if r == nil || r.beganAt.IsZero() {
		return maxWork
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
	if r.resumedAt != "" {
		worked -= m.bounds.RestoreTime
	}
	return max(worked, 0)
}

// maxWork stands for the time that a run has worked of which nothing is known: its
// failure is no sign of haste.
const maxWork = 1<<63 - 1

// vouch takes in that a run which goes on speaks for its target.
func (m *Machine) vouch(r *run, now time.Time) {
	if r.vouched || r.phase != running || r.task.step.spec.LongRunning || !r.works() {
		return
	}
	r.vouched = r.target.health.ObserveProgress(r.beganAt, m.worked(r, now), r.task.step.spec.Estimate, now)
}

// barredByTrial reports whether a target on trial may not have a task of the step: it
// has its one run already, or the step is a gang, which fails whole with one member.
func (t *target) barredByTrial(s *step, now time.Time) bool {
	if !t.health.OnProbation(now) {
		return false
	}
	if s.spec.Gang {
		return true
	}
	for _, r := range t.runs {
		if !r.vouched && r.phase != stopping && r.phase != inherited {
			return true
		}
	}
	return false
}

// blameMost is on how many targets a step may fail and still speak against each:
// one that fails on more is itself at fault, and must not have sound targets
// condemned one after the other.
const blameMost = 3

// failedOn notes that a task of the step failed on a target.
func (s *step) failedOn(t *target) {
	if s.failedAt == nil {
		s.failedAt = map[string]bool{}
	}
	s.failedAt[t.ID] = true
}

// blames reports whether the step's failures tell something of targets.
func (s *step) blames() bool { return len(s.failedAt) <= blameMost }

// suspect tells of a target that was condemned by a sign that was just taken in.
func (m *Machine) suspect(t *target, was bool, why string, id graph.TaskID, now time.Time) {
	if !was && t.health.Quarantined(now) {
		m.log.Decided("target condemned", "target", t.ID, "reason", why, "task", id, "runs", len(t.runs))
	}
}
