package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/work/crashloop"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// A task is a suspect if a target was lost just after a run of it had begun: it may crash
// the targets that start it. Its next run is not begun beside one of another job that has
// just begun, so that the next loss tells it from its neighbours; they may be suspects, too.
// From the second loss at a start on, whatever its cause, it is isolated: no other job's run
// is begun beside it, either, until it has lasted for crashloop.Window. A gang needs many
// targets at once, and is only isolated.

// isolationLosses is the number of losses at starts from which a task is isolated.
const isolationLosses = 2

// suspicion returns the number of suspicious losses under the task, or under the member of
// its gang that has the most.
func (x *task) suspicion() int {
	if x.step.spec.Gang {
		return x.step.gangSuspicion
	}
	return x.losses.Suspicious()
}

// isolated reports whether no other job's run may begin beside the task.
func (x *task) isolated() bool {
	if x.step.spec.Gang {
		return x.step.gangIsolated
	}
	return x.losses.AtStart() >= isolationLosses
}

// choosesQuietTarget reports whether the task must not begin beside a run of another job that
// has just begun.
func (x *task) choosesQuietTarget(now time.Time) bool {
	suspect := x.isolated() || x.suspicion() > 0 && !x.step.spec.Gang
	return suspect && now.Sub(x.step.lostAt) < isolationWait
}

// lossesChanged registers a task that has losses now, or unregisters it.
func (m *Machine) lossesChanged(x *task) {
	if m.tasksWithLosses == nil {
		m.tasksWithLosses = map[*task]bool{}
	}
	if x.losses.Empty() {
		delete(m.tasksWithLosses, x)
	} else {
		m.tasksWithLosses[x] = true
	}
	x.step.gangSuspicion, x.step.gangIsolated = 0, false
	for _, o := range x.step.tasks {
		x.step.gangSuspicion = max(x.step.gangSuspicion, o.losses.Suspicious())
		x.step.gangIsolated = x.step.gangIsolated || o.losses.AtStart() >= isolationLosses
	}
}

// observeLasting removes the losses under a task that are not its fault, since a run of it
// has lasted.
func (m *Machine) observeLasting(r *run, now time.Time) {
	x := r.task
	if x.losses.Empty() || x.step.job.finished() || !x.losses.Lasted(r.ageAt(now)) {
		return
	}
	m.markDirty(x.step.job)
	m.lossesChanged(x)
}

// withdrawLosses removes the losses of a target that has answered after it seemed lost.
func (m *Machine) withdrawLosses(t *target) {
	if !t.lossRecorded && t.reported {
		return
	}
	t.lossRecorded = false
	name := t.incarnationName()
	m.recentLosses = slices.DeleteFunc(m.recentLosses, func(l recentLoss) bool { return l.incarnation == name })
	m.changeLosses(func(x *task) bool { return x.losses.Withdraw(name) })
}

// changeLosses applies a change to all tasks with losses; change reports whether it has
// changed the task's.
func (m *Machine) changeLosses(change func(x *task) bool) {
	for _, x := range m.tasksWithLossesWhere(change) {
		m.markDirty(x.step.job)
		m.lossesChanged(x)
	}
}

// tasksWithLossesWhere returns the tasks with losses that match, in a fixed order.
func (m *Machine) tasksWithLossesWhere(matches func(x *task) bool) []*task {
	var list []*task
	for x := range m.tasksWithLosses {
		if matches(x) {
			list = append(list, x)
		}
	}
	slices.SortFunc(list, func(a, b *task) int { return strings.Compare(a.id().String(), b.id().String()) })
	return list
}

// failCrashing fails the jobs whose tasks are known to crash their targets, if losses have
// changed or a tick has passed since it was last called. It must not be called during a
// pass, which the end of a job would disturb.
func (m *Machine) failCrashing(now time.Time) {
	if !m.verdictsDue {
		return
	}
	m.verdictsDue = false
	for _, x := range m.tasksWithLossesWhere(func(x *task) bool { return x.losses.Verdict(now) == crashloop.Guilty }) {
		if j := x.step.job; !x.done && !j.finished() {
			m.log.Decided("job failed: a task crashes its targets", "job", j.spec.ID, "task", x.id(), "losses", x.losses.String())
			m.failJob(j, progress.CrashLoop, fmt.Sprintf("task %s was given up: %d targets were lost under it: %s", x.id(), len(x.losses.Losses()), x.losses.Targets()), now)
		}
	}
}

// awaitsVerdict reports whether the task must not be started before it is known whether a
// target that does not answer was lost: that may have been one too many.
func (x *task) awaitsVerdict(now time.Time) bool {
	return !x.losses.Empty() && x.losses.Verdict(now) != crashloop.Clear
}

// isolationWait bounds how long after a loss a suspect waits for a target on which nothing
// else has just begun. On a busy fleet it might otherwise find none.
const isolationWait = 3 * time.Second

// startsTooClose reports whether a run of a task would begin on a target just after, or just
// before, one of another job, and one of the two tasks is a suspect that rules this out.
// Guaranteed work that is due is placed nevertheless.
func (m *Machine) startsTooClose(x *task, t *target, now time.Time) bool {
	quiet := x.choosesQuietTarget(now)
	if !quiet && len(t.isolatedRuns) == 0 {
		return false
	}
	j := x.step.job
	return (quiet && t.hasNewRunOfOther(j, now) || t.hasNewIsolatedRunOfOther(j, now)) && !m.guaranteeDue(x.step, now)
}

// hasNewIsolatedRunOfOther reports whether an isolated run of another job has just begun on
// the target, or is about to.
func (t *target) hasNewIsolatedRunOfOther(j *job, now time.Time) bool {
	t.isolatedRuns = slices.DeleteFunc(t.isolatedRuns, func(r *run) bool { return t.runs[r.Run] != r || !r.isNew(now) })
	return slices.ContainsFunc(t.isolatedRuns, func(r *run) bool { return r.task.step.job != j })
}

// hasNewRunOfOther reports whether a run of another job has just begun on the target, or is
// about to.
func (t *target) hasNewRunOfOther(j *job, now time.Time) bool {
	for _, r := range t.runs {
		if r.task.step.job != j && r.isNew(now) {
			return true
		}
	}
	return false
}

// isNew reports whether the run has just begun, or is about to.
func (r *run) isNew(now time.Time) bool {
	return r.phase != stopping && r.phase != unconfirmed && r.newAt(now)
}

// incarnationSettleTime is how long a suspect prefers other targets to a new incarnation:
// one that has just come back may go again by itself.
const incarnationSettleTime = 10 * time.Second

// settled reports whether the target's incarnation is known for some time.
func (t *target) settled(now time.Time) bool { return now.Sub(t.addedAt) >= incarnationSettleTime }
