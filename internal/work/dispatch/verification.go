package dispatch

import (
	"slices"
	"time"
)

// A target without work is not polled, so nothing shows that it has ceased to answer until a
// start that is sent to it is lost. That start may have been executed: until all leases there
// have lapsed its task must not run elsewhere, and its gang waits with it. So a target that has
// not answered lately is polled while the placement of a run there is being saved, and the
// start is sent once it has answered. A run whose target does not answer is placed elsewhere.

const (
	// recentAnswerTime is how long ago a target may have answered for a run to be sent to it
	// without another answer.
	recentAnswerTime = time.Second
	// verificationTime is how long the answer of a target is waited for, beyond
	// verificationDelays times the usual duration of an order.
	verificationTime   = 250 * time.Millisecond
	verificationDelays = 4
)

// verify polls the target of a run that is being recorded, unless it has answered lately.
func (m *Machine) verify(r *run, now time.Time) {
	t := r.target
	r.recordedAt = now
	if r.verified() {
		return
	}
	t.unverifiedRuns = true
	switch {
	case !t.pollPending:
		m.sendPoll(t, 0, now)
	case !t.extraPollPending:
		m.sendExtraPoll(t, now)
	}
}

// verified reports whether the target of a recorded run has answered lately.
func (r *run) verified() bool { return !r.target.answeredAt.Before(r.recordedAt.Add(-recentAnswerTime)) }

// gangVerified reports whether the targets of a run and of the other members of its gang have
// answered lately. A gang is sent together: a member that has to be placed elsewhere costs
// nothing until then.
func (r *run) gangVerified() bool {
	if !r.task.step.spec.Gang {
		return r.verified()
	}
	for _, x := range r.task.step.tasks {
		if slices.ContainsFunc(x.runs, func(o *run) bool { return o.Number == r.Number && o.phase == recorded && !o.verified() }) {
			return false
		}
	}
	return true
}

// startVerified sends the recorded runs of a target that has just answered.
func (m *Machine) startVerified(t *target, now time.Time) {
	if !t.unverifiedRuns {
		return
	}
	t.unverifiedRuns = false
	for _, r := range t.runsWhere(func(r *run) bool { return r.phase == recorded }) {
		if r.phase == recorded && r.recordRev <= r.task.step.job.savedRev {
			m.startRecorded(r.task.step.job, now)
		}
	}
}

// dropUnverified drops the recorded runs of a target that has not answered in time, with the
// other members of their gangs.
func (m *Machine) dropUnverified(t *target, now time.Time) {
	if !t.unverifiedRuns {
		return
	}
	allowed := verificationTime + verificationDelays*m.orderTime
	for _, r := range t.runsWhere(func(r *run) bool { return r.phase == recorded && !r.verified() }) {
		if now.Sub(r.recordedAt) < allowed || t.runs[r.Run] != r {
			continue
		}
		m.log.Decided("target did not answer before a start", "target", t.ID, "task", r.Task, "run", r.Number, "waitedMS", now.Sub(r.recordedAt).Milliseconds())
		m.targetMissed(t, r.recordedAt, now)
		m.dropUnsent(r, "its target does not answer", now)
	}
}
