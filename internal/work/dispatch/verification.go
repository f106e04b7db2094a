package dispatch

import (
	"slices"
	"time"
)

// A target without work is not polled, so nothing shows that it has ceased to answer until a
// start that is sent to it is lost. That start may have been executed: until all leases there
// have lapsed its task must not run elsewhere, and its gang waits with it. So if a member of a
// gang is placed on a target that has not answered lately, the target is polled while the
// placement is being saved, and the gang is sent once all its targets have answered. If one
// does not, the gang is placed again. The same holds for a task that was lost with a
// target: it may be one of a zone that is cut off, and the task must not be lost with the next of them.

// recentAnswerTime is how long ago a target may have answered for a run to be sent to it
// without another answer.
const recentAnswerTime = time.Second

// maxClockAge is how long ago a target may have reported its clock for a start to be sent
// without another report. The deadline of the start is 2 s early by then.
const maxClockAge = 100 * time.Second

// needsVerification reports whether the run is sent only once its target has answered lately. A single
// task that was not lost before is sent at once: nobody else waits for it.
func (r *run) needsVerification() bool { return r.task.step.spec.Gang || r.task.lostBefore }

// verify polls the target of a run that is being recorded, if its clock was reported long ago or
// the run needs verification and the target has not answered lately.
func (m *Machine) verify(r *run, now time.Time) {
	t := r.target
	r.recordedAt = now
	unverified := r.needsVerification() && !r.verified()
	if !unverified && now.Sub(t.clockAt) < maxClockAge {
		return
	}
	t.unverifiedRuns = t.unverifiedRuns || unverified
	switch {
	case !t.pollPending:
		m.sendPoll(t, 0, now)
	case !t.extraPollPending:
		m.sendExtraPoll(t, 0, now)
	}
}

// verified reports whether the target of a recorded run has answered lately.
func (r *run) verified() bool {
	return !r.target.answeredAt.Before(r.recordedAt.Add(-recentAnswerTime))
}

// mayBeCutOff reports whether a target may be cut off like the one with which the task was lost: it is in
// the same zone and has not answered lately. Trying the idle targets of a zone one after the other would
// take a timeout for each.
func (x *task) mayBeCutOff(t *target, now time.Time) bool {
	return x.lostBefore && t.Zone == x.lostInZone && now.Sub(t.answeredAt) > recentAnswerTime
}

// mayBeSent reports whether the target of a run, or those of all members of its gang, have answered
// lately, or the run needs no verification.
func (r *run) mayBeSent() bool {
	if !r.task.step.spec.Gang {
		return !r.needsVerification() || r.verified()
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

// dropUnverified drops the recorded runs that need verification on a target of which a poll has failed,
// with the other members of their gangs. It is the poll that must have failed: a leader that is short of processor
// time handles answers late, and would drop all that it places.
func (m *Machine) dropUnverified(t *target, now time.Time) {
	if !t.unverifiedRuns {
		return
	}
	t.unverifiedRuns = false
	for _, r := range t.runsWhere(func(r *run) bool { return r.phase == recorded && r.needsVerification() && !r.verified() }) {
		if t.runs[r.Run] != r {
			continue // dropped with another member
		}
		m.log.Decided("target did not answer before a start", "target", t.ID, "task", r.Task, "run", r.Number, "waitedMS", now.Sub(r.recordedAt).Milliseconds())
		m.dropUnsent(r, stopFor(stopSilent), now)
	}
}
