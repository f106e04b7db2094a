package dispatch

import (
	"cmp"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/health"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// sortedRuns returns the target's runs in a fixed order.
func (t *target) sortedRuns() []*run { return t.runsThat(func(*run) bool { return true }) }

// runsThat returns those of the target's runs that a condition holds for, in a fixed
// order.
func (t *target) runsThat(holds func(*run) bool) []*run {
	var runs []*run
	for _, r := range t.runs {
		if holds(r) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

func compareRuns(a, b *run) int {
	x, y := a.Task, b.Task
	return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.Step, y.Step),
		cmp.Compare(x.Index, y.Index), cmp.Compare(a.Number, b.Number))
}

func without[T comparable](list []T, v T) []T {
	return slices.DeleteFunc(list, func(o T) bool { return o == v })
}

// release takes out a run that cannot exist any more. Its task waits again,
// unless it is done.
func (m *Machine) release(r *run, now time.Time) {
	t := r.target
	if t.runs[r.Run] != r {
		return
	}
	delete(t.runs, r.Run)
	if r.phase == waiting {
		t.promised = t.promised.Minus(r.charge)
	} else {
		t.used = t.used.Minus(r.charge)
	}
	r.task.runs = without(r.task.runs, r)
	delete(r.task.step.job.live, r)
	m.changed, m.recheck = true, true
	m.wake(r.task.step, now)
}

// endOnce ends a job that may be run only once, after one of its runs that may
// have begun is over and its task is not done: it must not be started again.
func (m *Machine) endOnce(r *run, now time.Time) {
	j := r.task.step.job
	if !j.spec.AtMostOnce || r.task.done || j.over() || r.phase == waiting || r.phase == noted {
		return
	}
	m.log.Decided("job may have run, and is not started again", "job", j.spec.ID, "task", r.Task, "run", r.Number)
	m.end(j, progress.Failed, now)
}

// ended takes in an end that a target lists for the first time.
func (m *Machine) ended(t *target, e order.Ended, now time.Time) {
	r := t.runs[e.Run]
	if r != nil {
		m.release(r, now)
	}
	j := m.jobs[e.Run.Task.Job]
	if j == nil {
		m.log.Decided("end of an unknown job", "target", t.ID, "task", e.Run.Task, "run", e.Run.Number, "how", e.Reason)
		t.ends = append(t.ends, mark{number: e.Number})
		return
	}
	m.log.Decided("run ended", "target", t.ID, "task", e.Run.Task, "run", e.Run.Number, "how", e.Reason, "number", e.Number, "checkpoint", e.Checkpoint)
	if x := j.find(e.Run.Task); x != nil {
		x.highest = max(x.highest, e.Run.Number)
		x.step.gangRun = max(x.step.gangRun, e.Run.Number)
		if m.takeEnd(x, t, r, e, now) {
			m.touch(j)
		}
	}
	if r != nil {
		m.endOnce(r, now)
		if e.Reason == order.GangBroken {
			m.memberBroken(r, now)
		}
	}
	// Also an end that changes nothing waits for what is not saved yet: another
	// member's end may have ended the whole gang a moment ago, and must not be
	// the only one that is left if that save fails.
	t.ends = append(t.ends, mark{number: e.Number, job: j, rev: j.rev})
}

// takeEnd applies an end to its task and reports whether the job's progress has
// changed. Ends of a job that is over change nothing; but what they tell of the
// target counts. r is nil for a run that was not known.
func (m *Machine) takeEnd(x *task, t *target, r *run, e order.Ended, now time.Time) bool {
	s := x.step
	if s.job.over() || x.done {
		return false
	}
	if e.Reason == order.Done && !s.spec.LongRunning {
		if r != nil {
			t.health.ObserveSuccess(r.beganAt, now)
		}
		m.done(x, e.Run.Number, now)
		return true
	}
	saved := x.keep(e.Checkpoint)
	if e.Reason == order.Failed && !s.spec.LongRunning {
		m.failure(x, t, r, e.Run.Number, now)
		return true
	}
	if e.Reason == order.Failed {
		x.pausedTo = now.Add(lastingPause)
	}
	return saved
}

// lastingPause is the pause before a lasting task that failed is started again,
// so that one that cannot run does not take all orders. Half the time after
// which a missing task counts against us is left for the start.
const lastingPause = 500 * time.Millisecond

// keep takes a checkpoint over and reports whether it is a new one.
func (x *task) keep(checkpoint string) bool {
	if checkpoint == "" || !x.step.spec.Checkpointing {
		return false
	}
	if x.step.spec.Gang {
		if x.step.saved == checkpoint {
			return false
		}
		x.step.saved = checkpoint
		return true
	}
	if x.saved == checkpoint {
		return false
	}
	x.saved = checkpoint
	return true
}

// done takes in that a run of a task is done; of a gang, all its tasks are. The
// number is 0 where it is not known.
func (m *Machine) done(x *task, run int, now time.Time) {
	s := x.step
	s.doneRun, s.doneAt = run, now
	if !s.spec.Gang {
		m.doneOne(x, now)
	} else {
		for _, y := range s.tasks {
			m.doneOne(y, now)
		}
	}
	if s.undone > 0 || s.done {
		return
	}
	s.done = true
	s.job.undone--
	for _, n := range s.next {
		if n.blocked--; n.blocked == 0 {
			m.ready(n, now)
		}
	}
	m.endIfDone(s.job, now)
}

func (m *Machine) doneOne(x *task, now time.Time) {
	if x.done {
		return
	}
	x.done = true
	x.step.undone--
	if x.step.spec.Gang {
		return // the others are listed as done, too
	}
	for _, r := range slices.Clone(x.runs) {
		m.stop(r, "another run is done", now)
	}
}

// endIfDone ends a job whose occurrences are all done.
func (m *Machine) endIfDone(j *job, now time.Time) {
	if j.undone > 0 || j.opened < j.spec.Occurrences() || j.over() {
		return
	}
	m.end(j, progress.Completed, now)
}

// end gives a job its final state.
func (m *Machine) end(j *job, s progress.State, now time.Time) {
	j.state, j.endedAt = s, m.wallMS(now)
	m.touch(j)
	for _, r := range j.sortedLive() {
		if !r.endedWithGang(s) {
			m.stop(r, "its job has ended", now)
		}
	}
	m.open = slices.DeleteFunc(m.open, func(s *step) bool { return s.job == j })
}

// endedWithGang reports whether a run of a job in a final state has ended on its
// target, though that is not listed yet: the members of a gang end done together. A
// stop for each would be a third of all orders, and be answered with that end.
// seenRunning stops one that goes on all the same.
func (r *run) endedWithGang(s progress.State) bool {
	step := r.task.step
	return s == progress.Completed && step.spec.Gang && r.phase == running && r.Number == step.doneRun
}

// sortedLive returns the job's runs that may exist, in a fixed order.
func (j *job) sortedLive() []*run {
	runs := make([]*run, 0, len(j.live))
	for r := range j.live {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

// failure counts a failed run against its task, or its gang, and the target. A
// run counts once. r is nil for a run that was not known.
func (m *Machine) failure(x *task, t *target, r *run, number int, now time.Time) {
	s, a := x.step, x.tried()
	if !a.fail(number, t, now) {
		return
	}
	s.failedOn(t)
	worked := m.worked(r, now)
	early := health.EarlyFailure(worked, s.spec.Estimate)
	if early {
		a.earlyAt = now
	}
	first := len(a.failed) == 1 // one that failed before is perhaps itself at fault
	if s.blames() && (first || early) {
		was := t.health.Quarantined(now)
		t.health.ObserveFailure(worked, s.spec.Estimate, now)
		m.suspect(t, was, "a run failed there after "+worked.String(), x.id(), now)
	}
	if len(a.failed) >= s.job.spec.MaxAttempts {
		m.log.Decided("job failed", "job", s.job.spec.ID, "task", x.id(), "failures", len(a.failed), "target", t.ID)
		m.end(s.job, progress.Failed, now)
	}
}

// seenRunning takes in a run that a target has.
func (m *Machine) seenRunning(t *target, seen order.Running, asked, now time.Time) {
	r := t.runs[seen.Run]
	if r == nil {
		r = m.adopt(t, seen, now)
	}
	if r.phase == starting || r.phase == inherited {
		m.began(r, now)
		if r.task.step.job.over() || r.task.done {
			m.stop(r, "its job has ended", now)
		}
	}
	if s := r.task.step; r.phase == running && s.spec.Gang && r.task.done && asked.After(s.doneAt) {
		m.stop(r, "its gang has ended", now)
	}
	if r.phase == running && seen.Checkpoint != "" {
		r.checkpoint = seen.Checkpoint
		r.task.keep(seen.Checkpoint)
	}
	r.gauge = seen.Gauge
	r.progressed(seen.Percent, now)
}

// adopt takes over a run that was not started in this term, or whose life was
// believed over. It is stopped if it must not go on: its job is not known or
// over, its task is done or runs elsewhere.
func (m *Machine) adopt(t *target, seen order.Running, now time.Time) *run {
	r := &run{Run: seen.Run, target: t, phase: running, placedAt: now, beganAt: now, settledAt: now}
	j := m.jobs[seen.Run.Task.Job]
	var x *task
	if j != nil {
		x = j.find(seen.Run.Task)
	}
	reason := ""
	switch {
	case x == nil:
		x = &task{step: orphan(seen.Run), index: seen.Run.Task.Index}
		reason = "its job is not known"
	case j.over():
		reason = "its job has ended"
	case x.done:
		reason = "its task is done"
	case len(x.runs) > 0 && !x.step.spec.Speculative:
		reason = "its task runs elsewhere"
	case x.step.blocked > 0:
		reason = "its step is not due"
	}
	r.task = x
	r.charge, r.share = x.step.spec.Charge(), shareOf(x.step)
	if j == nil || j.find(seen.Run.Task) == nil {
		r.charge = t.Capacity.Minus(t.used) // not known what it takes: no other work beside it
	}
	x.highest = max(x.highest, seen.Run.Number)
	x.step.gangRun = max(x.step.gangRun, seen.Run.Number)
	x.runs = append(x.runs, r)
	x.step.job.live[r] = true
	t.runs[r.Run] = r
	t.used = t.used.Plus(r.charge)
	m.log.Decided("run found", "target", t.ID, "task", seen.Run.Task, "run", seen.Run.Number, "stop", reason)
	if reason != "" {
		m.stop(r, reason, now)
		return r
	}
	j.started = true
	return r
}
