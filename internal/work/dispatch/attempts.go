package dispatch

import (
	"slices"
	"time"
)

// attempts records the outcomes of the runs of a task or, for a gang, of its step. The
// zero value is that of a task that was never started.
type attempts struct {
	failed         []int                // numbers of the runs that failed
	avoidedTargets map[string]time.Time // targets to avoid, and when a run failed there; zero: it only stalled, was slow or had to move
	uncertain      map[int]time.Time    // runs that ended with unknown outcome, and until when it may still be reported
	earlyFailureAt time.Time            // last failure so early that it is evidence against the target; zero: none
}

// attempts returns the attempts that count for a task: its own, or those of its gang.
func (x *task) attempts() *attempts {
	if x.step.spec.Gang {
		return &x.step.gangAttempts
	}
	return &x.ownAttempts
}

// recordFailure records that a run failed on a target and reports whether that is new.
// Ends are listed again to a new leader, and a gang's run may fail in several members.
func (a *attempts) recordFailure(run int, t *target, now time.Time) bool {
	if slices.Contains(a.failed, run) {
		return false
	}
	a.failed = append(a.failed, run)
	a.avoid(t)
	a.avoidedTargets[t.ID] = now
	return true
}

// recordUncertain records that a run has ended, and that a failure of it may still be
// reported until a time.
func (a *attempts) recordUncertain(run int, until time.Time) {
	if a.uncertain == nil {
		a.uncertain = map[int]time.Time{}
	}
	a.uncertain[run] = until
}

// maxFailed returns how many runs may have failed. It includes those whose failure may be
// reported only later: if that was the last attempt, another start would be one too many.
func (a *attempts) maxFailed(now time.Time) int {
	n := len(a.failed)
	for run, until := range a.uncertain {
		if now.Before(until) && !slices.Contains(a.failed, run) {
			n++
		}
	}
	return n
}

// avoid marks a target as one to avoid for further runs: they go there only if no other
// target fits.
func (a *attempts) avoid(t *target) {
	if a.avoidedTargets == nil {
		a.avoidedTargets = map[string]time.Time{}
	}
	if _, ok := a.avoidedTargets[t.ID]; !ok {
		a.avoidedTargets[t.ID] = time.Time{}
	}
}

// avoids reports whether further runs are to avoid a target.
func (a *attempts) avoids(t *target) bool {
	_, ok := a.avoidedTargets[t.ID]
	return ok
}

// Rules for where a task may spend its next attempt.
const (
	// excludeTime is how long a task is kept from a target on which it failed, unless a
	// run that began there since has succeeded. Faults of targets pass within some
	// seconds, and a task that no other target can take must run eventually.
	excludeTime = 15 * time.Second
	// provenTime is how long a target counts as healthy after the start of a run that
	// succeeded. It is shorter than faults of targets last, and about as long as a run
	// takes, so that a busy target stays proven.
	provenTime = 4 * time.Second
	// lastAttemptWait is how long after an early failure a last attempt waits for a target
	// to be proven: a run that began there since then has succeeded. Each target that got
	// work has reported by the end of the wait, since a poll takes two seconds at most.
	lastAttemptWait = maxPollWait + 200*time.Millisecond
)

// oneLeft reports whether a task that failed before has one attempt left of maxAttempts.
func (a *attempts) oneLeft(maxAttempts int) bool {
	return len(a.failed) > 0 && len(a.failed) == maxAttempts-1
}

// excludes reports whether a task must not run on a target yet. On a target where it
// failed recently it would probably fail again. When several targets begin to fail
// their runs, it is not known at first which others do, too: so a last attempt waits for
// a target that has been proven since.
func (x *task) excludes(t *target, now time.Time) bool {
	a := x.attempts()
	if failed := a.avoidedTargets[t.ID]; !failed.IsZero() && now.Sub(failed) < excludeTime && !t.health.ProvenSince(failed) {
		return true
	}
	return x.onLastAttempt() && !a.earlyFailureAt.IsZero() && now.Sub(a.earlyFailureAt) < lastAttemptWait && !t.health.ProvenSince(a.earlyFailureAt)
}

// onLastAttempt reports whether the task has failed before and another failure ends its
// job.
func (x *task) onLastAttempt() bool { return x.attempts().oneLeft(x.step.job.spec.MaxAttempts) }
