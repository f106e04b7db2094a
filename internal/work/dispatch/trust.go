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
	if r.vouched || r.phase != running || r.task.step.spec.Lasting || !r.works() {
		return
	}
	r.vouched = r.target.health.Survived(r.beganAt, m.worked(r, now), r.task.step.spec.Estimate, now)
}

// barredByTrial reports whether a target on trial may not have a task of the step: it
// has its one run already, or the step is a gang, which fails whole with one member.
func (t *target) barredByTrial(s *step, now time.Time) bool {
	if !t.health.OnTrial(now) {
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

// aversions says on which targets a task, or a gang, had better not run again: from
// when a run failed there, or the zero time if it only stood still or was slow.
type aversions map[string]time.Time

// averse returns the aversions that hold for a task.
func (x *task) averse() *aversions {
	if x.step.spec.Gang {
		return &x.step.avoid
	}
	return &x.avoid
}

// shun has a task, or its whole gang, rather not run on a target again.
func (x *task) shun(t *target) { x.averse().add(t, time.Time{}) }

// failedOn notes that a run of a task, or of its gang, failed on a target.
func (x *task) failedOn(t *target, now time.Time) {
	x.averse().add(t, now)
	s := x.step
	if s.failedAt == nil {
		s.failedAt = map[string]bool{}
	}
	s.failedAt[t.ID] = true
}

func (a *aversions) add(t *target, failed time.Time) {
	if *a == nil {
		*a = aversions{}
	}
	if failed.After((*a)[t.ID]) {
		(*a)[t.ID] = failed
	} else if _, ok := (*a)[t.ID]; !ok {
		(*a)[t.ID] = time.Time{}
	}
}

// shuns reports whether a task would rather not run on a target.
func (x *task) shuns(t *target) bool {
	_, ok := (*x.averse())[t.ID]
	return ok
}

// barFor is how long a task is kept from a target on which it failed, unless
// something that began there since has gone well: troubles of targets pass within
// some seconds, and a task that has nowhere else to go must run at last.
const barFor = 15 * time.Second

// barred reports whether a task must not go back to a target yet: one that failed
// there a moment ago would spend its next attempt in the same way.
func (x *task) barred(t *target, now time.Time) bool {
	failed := (*x.averse())[t.ID]
	return !failed.IsZero() && now.Sub(failed) < barFor && !t.health.ProvenSince(failed)
}

// blameMost is on how many targets a step may fail and still speak against each:
// one that fails on more is itself at fault, and must not have sound targets
// condemned one after the other.
const blameMost = 3

// blames reports whether the step's failures tell something of targets.
func (s *step) blames() bool { return len(s.failedAt) <= blameMost }

// provenFor is how long a target counts as sound after the begin of a run that went
// well: shorter than the troubles of targets last, and about as long as a run takes,
// so that a busy target stays proven.
const provenFor = 4 * time.Second

// lastAttempt reports whether the job ends if the task fails once more, having
// failed before.
func (x *task) lastAttempt() bool {
	failures := len(x.failures)
	if x.step.spec.Gang {
		failures = len(x.step.failures)
	}
	return failures > 0 && failures == x.step.job.spec.MaxAttempts-1
}

// suspect tells of a target that was condemned by a sign that was just taken in.
func (m *Machine) suspect(t *target, was bool, why string, id graph.TaskID, now time.Time) {
	if !was && t.health.Condemned(now) {
		m.log.Decided("target condemned", "target", t.ID, "reason", why, "task", id, "runs", len(t.runs))
	}
}
