package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/health"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// sortedRuns returns the target's runs in a fixed order.
func (t *target) sortedRuns() []*run { return t.runsWhere(func(*run) bool { return true }) }

// runsWhere returns the target's runs that match, in a fixed order.
func (t *target) runsWhere(matches func(*run) bool) []*run {
	var runs []*run
	for _, r := range t.runs {
		if matches(r) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

// compareRuns orders runs by task and number.
func compareRuns(a, b *run) int {
	x, y := a.Task, b.Task
	return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.Step, y.Step),
		cmp.Compare(x.Index, y.Index), cmp.Compare(a.Number, b.Number))
}

// removeFrom removes all elements equal to v in place and returns the shortened list.
func removeFrom[T comparable](list []T, v T) []T {
	return slices.DeleteFunc(list, func(o T) bool { return o == v })
}

// release removes a run that can no longer exist. Its step is enqueued again unless it is
// done.
func (m *Machine) release(r *run, now time.Time) {
	if t := r.target; t.runs[r.Run] == r && r.startOutstanding() {
		m.log.Decided("run released, not known to have begun", "target", t.ID, "task", r.Task, "run", r.Number, "phase", int(r.phase), "unanswered", r.unanswered, "leaseLeftMS", t.leaseEnd.Sub(now).Milliseconds())
	}
	if r.target.runs[r.Run] == r {
		m.runInterrupted(r, stages.Lost, now)
		m.recordReleaseLoss(r)
	}
	m.removeRun(r, now)
}

// removeRun is release without a log line, for a run whose end is listed.
func (m *Machine) removeRun(r *run, now time.Time) {
	t := r.target
	if t.runs[r.Run] != r {
		return
	}
	outstanding := r.startOutstanding()
	t.removeRun(r)
	if r.phase == awaitingCapacity {
		t.waitingCharge = t.waitingCharge.Minus(r.charge)
	} else {
		t.used = t.used.Minus(r.charge)
	}
	r.task.removeRun(r)
	m.placementDue, m.recheckWaiting = true, true
	m.enqueueStep(r.task.step, now)
	if outstanding {
		m.startSettled(r.task.step.job, now)
	}
	r.task.step.job.closeIfDone(r.task.step)
}

// mayHaveRun records that a run that may have begun has ended without completing its task.
// It fails an at-most-once job, which must not be started again.
func (m *Machine) mayHaveRun(r *run, now time.Time) {
	j := r.task.step.job
	if !r.mayBeOnTarget() {
		return
	}
	j.mayHaveStarted = true
	if !j.spec.AtMostOnce || r.task.done || j.finished() {
		return
	}
	m.log.Decided("at-most-once job failed: it may have run", "job", j.spec.ID, "task", r.Task, "run", r.Number)
	m.failJob(j, progress.OutcomeUnknown, fmt.Sprintf("task %s may have run on %s, and must not run twice", r.Task, r.target.ID), now)
}

// runEnded applies an end that a target lists for the first time.
func (m *Machine) runEnded(t *target, e order.Ended, now time.Time) {
	r := t.runs[e.Run]
	if r != nil {
		m.removeRun(r, now)
	}
	j := m.jobs[e.Run.Task.Job]
	if j == nil {
		m.log.Decided("run of an unknown job ended", "target", t.ID, "task", e.Run.Task, "run", e.Run.Number, "how", e.Reason)
		t.unsavedEnds = append(t.unsavedEnds, unsavedEnd{number: e.Number})
		return
	}
	m.log.Decided("run ended", "target", t.ID, "task", e.Run.Task, "run", e.Run.Number, "how", e.Reason, "number", e.Number, "checkpoint", e.Checkpoint)
	m.settleEnd(j, t, r, e, now)
	// Even an end that changes nothing is acknowledged only after the job's unsaved
	// changes are saved: another member's end may just have ended the whole gang, and
	// must not be the only remaining record of that if the save fails.
	end := unsavedEnd{number: e.Number, job: j, rev: j.rev, listed: e}
	if x := j.findTask(e.Run.Task); x != nil && (x.done || j.finished()) && x.outstandingStart(e.Run.Number) != nil {
		end.task, end.run = x, e.Run.Number
		j.withheldEnds = append(j.withheldEnds, t)
	}
	t.unsavedEnds = append(t.unsavedEnds, end)
}

// settleEnd applies an end to its job. r is nil for a run that was not known; the caller has
// removed any other from its target.
func (m *Machine) settleEnd(j *job, t *target, r *run, e order.Ended, now time.Time) {
	if r != nil && e.Reason != order.Done {
		m.runInterrupted(r, causeOf(e.Reason), now)
		m.recordEndLoss(r, e, now)
	}
	if x := j.findTask(e.Run.Task); x != nil {
		m.jobStarted(j) // also if the start was not answered
		m.logOutstandingStart(x, e, now)
		x.highestRun = max(x.highestRun, e.Run.Number)
		x.step.highestGangRun = max(x.step.highestGangRun, e.Run.Number)
		if m.applyEnd(x, t, r, e, now) {
			m.markDirty(j)
		}
	}
	if r != nil {
		m.mayHaveRun(r, now)
		if e.Reason == order.GangBroken {
			m.recordBrokenMember(r, now)
		}
	}
}

// logOutstandingStart logs that a run has ended as done or failed while another run of its task
// may still begin.
func (m *Machine) logOutstandingStart(x *task, e order.Ended, now time.Time) {
	if e.Reason != order.Done && e.Reason != order.Failed {
		return
	}
	if o := x.outstandingStart(e.Run.Number); o != nil {
		m.log.Decided("run ended while a start is outstanding", "task", e.Run.Task, "run", e.Run.Number, "other", o.Number, "target", o.target.ID, "phase", int(o.phase), "sentMSBefore", now.Sub(o.sentAt).Milliseconds(), "leaseLeftMS", o.target.leaseEnd.Sub(now).Milliseconds())
	}
}

// applyEnd applies an end to its task and reports whether the job's progress has
// changed. Ends of finished jobs and done tasks change nothing. r is nil for a run that
// was not known.
func (m *Machine) applyEnd(x *task, t *target, r *run, e order.Ended, now time.Time) bool {
	s := x.step
	if s.job.finished() || x.done {
		return false
	}
	if e.Reason == order.Done && !s.spec.LongRunning {
		if r != nil {
			t.health.ObserveSuccess(r.beganAt, now)
			m.learnFromEnd(r, now)
		}
		x.recordDone(r, now)
		m.taskDone(x, e.Run.Number, now)
		return true
	}
	saved := x.saveCheckpoint(e.Checkpoint)
	if e.Reason == order.Failed && !s.spec.LongRunning {
		m.runFailed(x, t, r, e.Run.Number, now)
		return true
	}
	if e.Reason == order.Failed {
		x.pausedUntil = now.Add(longRunningPause)
	}
	return saved
}

// longRunningPause is the pause before a failed long-running task is started again, so
// that one that cannot run does not use up the host's orders. It is half the time after
// which a missing task counts against the service; the other half is left for the start.
const longRunningPause = 500 * time.Millisecond

// saveCheckpoint sets the checkpoint from which the task, or its gang, resumes, and
// reports whether it is a new one.
func (x *task) saveCheckpoint(checkpoint string) bool {
	if checkpoint == "" || !x.step.spec.Checkpointing {
		return false
	}
	if x.step.spec.Gang {
		if x.step.savedCheckpoint == checkpoint {
			return false
		}
		x.step.savedCheckpoint = checkpoint
		return true
	}
	if x.savedCheckpoint == checkpoint {
		return false
	}
	x.savedCheckpoint = checkpoint
	return true
}

// taskDone marks a task, or all tasks of its gang, as done by a run. The run's number is
// 0 if it is not known.
func (m *Machine) taskDone(x *task, run int, now time.Time) {
	s := x.step
	s.doneRun, s.doneAt = run, now
	if !s.spec.Gang {
		m.markTaskDone(x, now)
	} else {
		for _, y := range s.tasks {
			m.markTaskDone(y, now)
		}
		m.settleGangRuns(s, run, now)
	}
	if s.tasksLeft > 0 || s.done {
		return
	}
	s.done = true
	s.job.stepsLeft--
	for _, n := range s.dependents {
		if n.blockedBy--; n.blockedBy == 0 {
			m.stepUnblocked(n, now)
		}
	}
	m.completeIfDone(s.job, now)
	s.job.closeIfDone(s)
}

// markTaskDone marks a task as done, unless it is already, and stops its other runs. Those of
// a gang are left to settleGangRuns.
func (m *Machine) markTaskDone(x *task, now time.Time) {
	if x.done {
		return
	}
	x.done = true
	x.step.tasksLeft--
	if x.step.spec.Gang {
		return // the other members' runs are listed as done, too
	}
	for _, r := range slices.Clone(x.runs) {
		if r.phase != unconfirmed { // its target's first report decides
			m.stop(r, stopFor(stopTaskDone), now)
		}
	}
}

// settleGangRuns settles the runs of a gang that is done by one of them. All members of that
// run have begun. Another run exists if that one was presumed lost: its members are stopped.
func (m *Machine) settleGangRuns(s *step, done int, now time.Time) {
	for _, x := range s.tasks {
		for _, r := range slices.Clone(x.runs) {
			switch {
			case r.Number == done:
				m.startExecuted(r, now)
				if r.phase == starting || r.phase == unconfirmed {
					r.orderAnsweredAt = now
					m.runBegan(r, now)
				}
			case r.phase != unconfirmed: // its target's first report decides
				m.stop(r, stopFor(stopGangDone), now)
			}
		}
	}
}

// completeIfDone completes a job whose occurrences are all done, and of which no run may
// begin any more.
func (m *Machine) completeIfDone(j *job, now time.Time) {
	if j.stepsLeft > 0 || j.opened < j.spec.Occurrences() || j.finished() || j.startOutstanding() {
		return
	}
	m.endJob(j, progress.Completed, now)
}

// failJob ends a job as failed. The reason names for its client what led to that.
func (m *Machine) failJob(j *job, cause progress.Cause, reason string, now time.Time) {
	j.cause, j.reason = cause, reason
	m.endJob(j, progress.Failed, now)
}

// endJob sets a job's final state and stops its runs.
func (m *Machine) endJob(j *job, s progress.State, now time.Time) {
	j.state, j.endedAt = s, m.wallMS(now)
	m.markDirty(j)
	for x := range m.tasksWithLosses {
		if x.step.job == j {
			delete(m.tasksWithLosses, x)
		}
	}
	for _, r := range j.sortedLiveRuns() {
		if !r.endedWithGang(s) {
			m.stop(r, stopFor(stopJobEnded), now)
		}
	}
	m.pendingSteps = slices.DeleteFunc(m.pendingSteps, func(s *step) bool { return s.job == j })
}

// endedWithGang reports whether a run of a job in a final state has ended on its target
// although that is not listed yet: the members of a gang are done together. Stops
// for all of them would be a third of all orders, each answered with that end.
// runReported stops a member that runs on nevertheless.
func (r *run) endedWithGang(s progress.State) bool {
	step := r.task.step
	return s == progress.Completed && step.spec.Gang && r.phase == running && r.Number == step.doneRun
}

// sortedLiveRuns returns the job's runs that may exist, in a fixed order.
func (j *job) sortedLiveRuns() []*run {
	runs := make([]*run, 0, len(j.liveRuns))
	for r := range j.liveRuns {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

// runFailed counts a failed run against its task, or its gang, and the target. A run
// counts once. r is nil for a run that was not known.
func (m *Machine) runFailed(x *task, t *target, r *run, number int, now time.Time) {
	s, a := x.step, x.attempts()
	if !a.recordFailure(number, t, now) {
		return
	}
	s.recordFailedTarget(t)
	worked := m.timeWorked(r, now)
	early := health.EarlyFailure(worked, s.spec.Estimate)
	if early {
		a.earlyFailureAt = now
	}
	first := len(a.failed) == 1 // a task that failed before may itself be at fault
	if s.implicatesTargets() && (first || early) {
		wasQuarantined := t.health.Quarantined(now)
		t.health.ObserveFailure(worked, s.spec.Estimate, now)
		m.logIfQuarantined(t, wasQuarantined, "a run failed there after "+worked.String(), x.id(), now)
	}
	if len(a.failed) >= s.job.spec.MaxAttempts {
		m.log.Decided("job failed", "job", s.job.spec.ID, "task", x.id(), "failures", len(a.failed), "target", t.ID)
		m.failJob(s.job, progress.AttemptsExhausted, fmt.Sprintf("task %s failed in %d of %d attempts, last on %s", x.id(), len(a.failed), s.job.spec.MaxAttempts, t.ID), now)
	}
}

// runReported applies a target's report of a run. asked is when the report was asked for.
func (m *Machine) runReported(t *target, reported order.Running, asked, now time.Time) {
	r := t.runs[reported.Run]
	if r == nil {
		r = m.adopt(t, reported, now)
	}
	r.sentTo, r.reported = t.incarnation, true
	m.startExecuted(r, now)
	if r.phase == starting || r.phase == unconfirmed {
		m.runBegan(r, now)
		if r.task.step.job.finished() || r.task.done {
			m.stop(r, stopFor(stopJobEnded), now)
		}
	}
	if s := r.task.step; r.phase == running && s.spec.Gang && r.task.done && asked.After(s.doneAt) {
		m.stop(r, stopFor(stopGangEnded), now)
	}
	if r.phase == running && reported.Checkpoint != "" {
		r.noteCheckpoint(reported.Checkpoint, now)
		r.task.saveCheckpoint(reported.Checkpoint)
	}
	m.observeLasting(r, now)
	r.gauge = reported.Gauge
	r.updateProgress(reported.Percent, now)
	m.learnFromProgress(r, now)
}

// adopt adds a run that was not started in this term, or that was believed to have
// ended. It is stopped if it must not go on: its job is unknown or finished, its task is
// done or runs elsewhere, or an earlier step is not done.
func (m *Machine) adopt(t *target, reported order.Running, now time.Time) *run {
	r := &run{Run: reported.Run, target: t, phase: running, placedAt: now, beganAt: now, orderAnsweredAt: now}
	j := m.jobs[reported.Run.Task.Job]
	var x *task
	if j != nil {
		if x = j.findTask(reported.Run.Task); x == nil {
			x = j.closedTask(reported.Run.Task)
		}
	}
	unknown := x == nil
	reason := stopFor(stopNone)
	switch {
	case unknown:
		x = &task{step: unknownStep(reported.Run), index: reported.Run.Task.Index}
		reason = stopFor(stopUnknown)
	case j.finished():
		reason = stopFor(stopJobEnded)
	case x.done:
		reason = stopFor(stopDoneBefore)
	case len(x.runs) > 0 && !x.step.spec.Speculative:
		reason = stopFor(stopElsewhere)
	case x.step.blockedBy > 0:
		reason = stopFor(stopNotDue)
	}
	r.task = x
	r.charge, r.paceShare = x.step.spec.Charge(), initialShare(x.step)
	if unknown {
		r.charge = graph.Resources{} // its needs are not known: no other work is placed beside it
		if !t.overCapacity() {
			r.charge = t.Capacity.Minus(t.used)
		}
	}
	x.highestRun = max(x.highestRun, reported.Run.Number)
	x.step.highestGangRun = max(x.step.highestGangRun, reported.Run.Number)
	x.addRun(r)
	t.addRun(r)
	t.used = t.used.Plus(r.charge)
	m.log.Decided("run found", "target", t.ID, "task", reported.Run.Task, "run", reported.Run.Number, "stop", reason.String())
	if reason.kind != stopNone {
		m.stop(r, reason, now)
		return r
	}
	m.jobStarted(j)
	return r
}
