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
// the targets that start it. Until its next run has lasted for crashloop.Window, no run of
// another job is begun beside it. So the next loss tells a task that crashes targets from
// its neighbours, and takes down no work that has just begun.

// suspected reports whether the task, or a member of its gang, is a suspect.
func (x *task) suspected() bool {
	if x.step.spec.Gang {
		return x.step.gangSuspected
	}
	return x.losses.Suspicious()
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
	x.step.gangSuspected = slices.ContainsFunc(x.step.tasks, func(o *task) bool { return o.losses.Suspicious() })
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
func (m *Machine) withdrawLosses(id string) {
	for x := range m.tasksWithLosses {
		if !x.losses.Withdraw(id) {
			continue
		}
		m.markDirty(x.step.job)
		m.lossesChanged(x)
	}
}

// failCrashing fails the jobs whose tasks are known to crash their targets. It must not be
// called during a pass, which the end of a job would disturb.
func (m *Machine) failCrashing(now time.Time) {
	var guilty []*task
	for x := range m.tasksWithLosses {
		if x.losses.Verdict(now) == crashloop.Guilty {
			guilty = append(guilty, x)
		}
	}
	slices.SortFunc(guilty, func(a, b *task) int { return strings.Compare(a.id().String(), b.id().String()) })
	for _, x := range guilty {
		if j := x.step.job; !j.finished() {
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
// else has just begun. On a busy fleet a gang might otherwise find none.
const isolationWait = 3 * time.Second

// startsTooClose reports whether a run of a task would begin on a target just after, or just
// before, one of another job, and one of the two tasks is a suspect. Guaranteed work that
// is due is placed nevertheless.
func (m *Machine) startsTooClose(x *task, t *target, now time.Time) bool {
	waits := x.suspected() && now.Sub(x.step.lostAt) < isolationWait
	if !waits && len(t.suspectRuns) == 0 {
		return false
	}
	j := x.step.job
	return (waits && t.hasNewRunOfOther(j, now) || t.hasNewSuspectOfOther(j, now)) && !m.guaranteeDue(x.step, now)
}

// hasNewSuspectOfOther reports whether a run of another job's suspect has just begun on the
// target, or is about to.
func (t *target) hasNewSuspectOfOther(j *job, now time.Time) bool {
	t.suspectRuns = slices.DeleteFunc(t.suspectRuns, func(r *run) bool { return t.runs[r.Run] != r || !r.isNew(now) })
	return slices.ContainsFunc(t.suspectRuns, func(r *run) bool { return r.task.step.job != j })
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
