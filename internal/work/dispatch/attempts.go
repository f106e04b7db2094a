package dispatch

import (
	"slices"
	"time"
)

// attempts is what became of the runs of a task or, of a gang, of its step. The zero
// value is that of one that was never started.
type attempts struct {
	failed  []int                // numbers of the runs that failed
	avoid   map[string]time.Time // targets on which it had better not run: when it failed there; zero: it only stood still or was slow
	unsure  map[int]time.Time    // runs that ended in a way that is not known: until when their targets may still tell
	earlyAt time.Time            // when a run failed last so early that it speaks against its target; zero: none did
}

// tried returns the attempts that count for a task: its own, or its gang's.
func (x *task) tried() *attempts {
	if x.step.spec.Gang {
		return &x.step.tried
	}
	return &x.own
}

// fail notes that a run failed on a target. It reports whether that is new: an end is
// listed again to a new leader, and a gang's run may fail in several members.
func (a *attempts) fail(run int, t *target, now time.Time) bool {
	if slices.Contains(a.failed, run) {
		return false
	}
	a.failed = append(a.failed, run)
	a.shun(t)
	a.avoid[t.ID] = now
	return true
}

// doubt notes that a run has ended, and that it may turn out until a time that it failed.
func (a *attempts) doubt(run int, until time.Time) {
	if a.unsure == nil {
		a.unsure = map[int]time.Time{}
	}
	a.unsure[run] = until
}

// mostFailed returns how many runs may have failed: a start after the last attempt
// failed would be one too many, also if that end is listed only later.
func (a *attempts) mostFailed(now time.Time) int {
	n := len(a.failed)
	for run, until := range a.unsure {
		if now.Before(until) && !slices.Contains(a.failed, run) {
			n++
		}
	}
	return n
}

// shun notes that it had better not run on a target again.
func (a *attempts) shun(t *target) {
	if a.avoid == nil {
		a.avoid = map[string]time.Time{}
	}
	if _, ok := a.avoid[t.ID]; !ok {
		a.avoid[t.ID] = time.Time{}
	}
}

// shuns reports whether it had better not run on a target.
func (a *attempts) shuns(t *target) bool {
	_, ok := a.avoid[t.ID]
	return ok
}

// Figures of targets on which a task may spend its next attempt.
const (
	// barFor is how long a task is kept from a target on which it failed, unless
	// something that began there since has gone well: troubles of targets pass within
	// some seconds, and a task that has nowhere else to go must run at last.
	barFor = 15 * time.Second
	// provenFor is how long a target counts as sound after the begin of a run that
	// went well: shorter than the troubles of targets last, and about as long as a run
	// takes, so that a busy target stays proven.
	provenFor = 4 * time.Second
	// proveWait is how long a last attempt waits for a target on which something has
	// gone well that began since the task failed early. By then each target that got
	// work has reported: a hold takes two seconds at most.
	proveWait = holdWait + 200*time.Millisecond
)

// last reports whether a task that failed before has one attempt left of so many.
func (a *attempts) last(most int) bool { return len(a.failed) > 0 && len(a.failed) == most-1 }

// barred reports whether a task must not run on a target yet. One that failed there a
// moment ago would spend its next attempt in the same way. When several targets begin
// to fail what they start, none of the others is known by then: so a last attempt
// waits for one that has been proven since.
func (x *task) barred(t *target, now time.Time) bool {
	a := x.tried()
	if failed := a.avoid[t.ID]; !failed.IsZero() && now.Sub(failed) < barFor && !t.health.ProvenSince(failed) {
		return true
	}
	return x.lastAttempt() && !a.earlyAt.IsZero() && now.Sub(a.earlyAt) < proveWait && !t.health.ProvenSince(a.earlyAt)
}

// lastAttempt reports whether the job ends if the task fails once more, having failed
// before.
func (x *task) lastAttempt() bool { return x.tried().last(x.step.job.spec.MaxAttempts) }
