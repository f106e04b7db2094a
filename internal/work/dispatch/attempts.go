package dispatch

import (
	"slices"
	"time"
)

// attempts is what became of the runs of a task or, of a gang, of its step. The zero
// value is that of one that was never started.
type attempts struct {
	failed         []int                // numbers of the runs that failed
	avoidedTargets map[string]time.Time // targets on which it had better not run: when it failed there; zero: it only stood still or was slow
	uncertain      map[int]time.Time    // runs that ended in a way that is not known: until when their targets may still tell
	earlyFailureAt time.Time            // when a run failed last so early that it speaks against its target; zero: none did
}

// attempts returns the attempts that count for a task: its own, or its gang's.
func (x *task) attempts() *attempts {
	if x.step.spec.Gang {
		return &x.step.gangAttempts
	}
	return &x.ownAttempts
}

// recordFailure notes that a run failed on a target. It reports whether that is new: an end is
// listed again to a new leader, and a gang's run may fail in several members.
func (a *attempts) recordFailure(run int, t *target, now time.Time) bool {
	if slices.Contains(a.failed, run) {
		return false
	}
	a.failed = append(a.failed, run)
	a.avoid(t)
	a.avoidedTargets[t.ID] = now
	return true
}

// recordUncertain notes that a run has ended, and that it may turn out until a time that it failed.
func (a *attempts) recordUncertain(run int, until time.Time) {
	if a.uncertain == nil {
		a.uncertain = map[int]time.Time{}
	}
	a.uncertain[run] = until
}

// maxFailed returns how many runs may have failed: a start after the last attempt
// failed would be one too many, also if that end is listed only later.
func (a *attempts) maxFailed(now time.Time) int {
	n := len(a.failed)
	for run, until := range a.uncertain {
		if now.Before(until) && !slices.Contains(a.failed, run) {
			n++
		}
	}
	return n
}

// avoid notes that it had better not run on a target again.
func (a *attempts) avoid(t *target) {
	if a.avoidedTargets == nil {
		a.avoidedTargets = map[string]time.Time{}
	}
	if _, ok := a.avoidedTargets[t.ID]; !ok {
		a.avoidedTargets[t.ID] = time.Time{}
	}
}

// avoids reports whether it had better not run on a target.
func (a *attempts) avoids(t *target) bool {
	_, ok := a.avoidedTargets[t.ID]
	return ok
}

// Figures of targets on which a task may spend its next attempt.
const (
	// excludeTime is how long a task is kept from a target on which it failed, unless
	// something that began there since has gone well: troubles of targets pass within
	// some seconds, and a task that has nowhere else to go must run at last.
	excludeTime = 15 * time.Second
	// provenTime is how long a target counts as sound after the begin of a run that
	// went well: shorter than the troubles of targets last, and about as long as a run
	// takes, so that a busy target stays proven.
	provenTime = 4 * time.Second
	// lastAttemptWait is how long a last attempt waits for a target on which something has
	// gone well that began since the task failed early. By then each target that got
	// work has reported: a poll takes two seconds at most.
	lastAttemptWait = maxPollWait + 200*time.Millisecond
)

// isLast reports whether a task that failed before has one attempt left of so many.
func (a *attempts) isLast(maxAttempts int) bool {
	return len(a.failed) > 0 && len(a.failed) == maxAttempts-1
}

// excludes reports whether a task must not run on a target yet. One that failed there a
// moment ago would spend its next attempt in the same way. When several targets begin
// to fail what they start, none of the others is known by then: so a last attempt
// waits for one that has been proven since.
func (x *task) excludes(t *target, now time.Time) bool {
	a := x.attempts()
	if failed := a.avoidedTargets[t.ID]; !failed.IsZero() && now.Sub(failed) < excludeTime && !t.health.ProvenSince(failed) {
		return true
	}
	return x.onLastAttempt() && !a.earlyFailureAt.IsZero() && now.Sub(a.earlyFailureAt) < lastAttemptWait && !t.health.ProvenSince(a.earlyFailureAt)
}

// onLastAttempt reports whether the job ends if the task fails once more, having failed
// before.
func (x *task) onLastAttempt() bool { return x.attempts().isLast(x.step.job.spec.MaxAttempts) }
