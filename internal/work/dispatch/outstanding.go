package dispatch

import (
	"slices"
	"time"
)

// A start without an answer may be executed until a stop of its run is answered, its deadline has
// passed or its target's incarnation ends. While that is so, an end by which the task must not be
// started again is not acknowledged, and its job is not completed.

// startOutstanding reports whether the run is not known to have begun, and an order that was
// sent may still begin it.
func (r *run) startOutstanding() bool {
	if !r.beganAt.IsZero() || !r.mayBeOnTarget() || r.startsExpired {
		return false
	}
	return r.phase != stopping || r.orderAnsweredAt.IsZero()
}

// hasUnansweredStart reports whether a start of the run was sent and not answered. That the run has
// begun by another one, or was stopped, rules it out only on the incarnation that has answered:
// for the next one it is outstanding again.
func (r *run) hasUnansweredStart() bool { return r.unanswered > 0 }

// ofEarlierLeader reports whether the run was started by an earlier leader, as far as this term has shown.
func (r *run) ofEarlierLeader() bool { return r.startsSent == 0 && r.mayBeOnTarget() }

// assumeUnansweredStarts has a start of each run of earlier leaders count as not answered, since the list
// shows that the target has started again. This leader does not know whether it was answered, and the new
// incarnation refuses it only after it has reported to this leader.
func (t *target) assumeUnansweredStarts(now time.Time) {
	if !now.Before(t.earlierLeasesEnd) {
		return
	}
	for _, r := range t.runs {
		if r.ofEarlierLeader() {
			r.unanswered = max(r.unanswered, 1)
		}
	}
}

// renewOutstandingStart has a start that was not answered count as outstanding again until a time,
// after the run's target has started again. The new incarnation has neither the run nor its stop.
func (r *run) renewOutstandingStart(until time.Time) {
	if !r.hasUnansweredStart() {
		return
	}
	r.beganAt, r.startsExpireAt, r.startsExpired = time.Time{}, until, false
	if r.phase == stopping {
		r.orderAnsweredAt = time.Time{}
	}
}

// expireStarts records that the starts of a run that is being stopped are refused as late by now. A
// target that answers polls but no stop would have its task wait for ever otherwise.
func (m *Machine) expireStarts(r *run, now time.Time) {
	if r.phase != stopping || !r.startOutstanding() || r.startsExpireAt.IsZero() || now.Before(r.startsExpireAt) {
		return
	}
	r.startsExpired = true
	m.startSettled(r.task.step.job, now)
}

// outstandingStart returns a run of the task, or of its gang, other than the one with this
// number, that may still begin; nil: there is none.
func (x *task) outstandingStart(number int) *run {
	tasks := []*task{x}
	if x.step.spec.Gang {
		tasks = x.step.tasks
	}
	for _, y := range tasks {
		for _, r := range y.runs {
			if r.Number != number && r.startOutstanding() {
				return r
			}
		}
	}
	return nil
}

// startOutstanding reports whether a run of the step may still begin.
func (s *step) startOutstanding() bool {
	return slices.ContainsFunc(s.tasks, func(x *task) bool { return slices.ContainsFunc(x.runs, (*run).startOutstanding) })
}

// startOutstanding reports whether a run of the job may still begin.
func (j *job) startOutstanding() bool {
	for r := range j.liveRuns {
		if r.startOutstanding() {
			return true
		}
	}
	return false
}

// startExecuted records that a run is or was on its target.
func (m *Machine) startExecuted(r *run, now time.Time) {
	outstanding := r.startOutstanding()
	if r.beganAt.IsZero() {
		r.beganAt = now
	}
	if outstanding {
		m.startSettled(r.task.step.job, now)
	}
}

// startSettled completes the job and has its withheld ends acknowledged, if a run that was
// outstanding was what that waited for.
func (m *Machine) startSettled(j *job, now time.Time) {
	m.completeIfDone(j, now)
	for _, t := range j.withheldEnds {
		t.advanceAcked(now)
		m.considerPoll(t)
	}
	if !j.startOutstanding() {
		j.withheldEnds = nil
	}
}
