package dispatch

import "time"

// targetLost releases the runs of a target whose incarnation has ended, or whose leases have
// lapsed while it did not answer.
func (m *Machine) targetLost(t *target, now time.Time) {
	lostAt := t.lossTime(now)
	sent := t.runsWhere((*run).mayBeOnTarget)
	for _, r := range t.sortedRuns() {
		if r.mayBeOnTarget() {
			m.log.Decided("run lost with its target", "target", t.ID, "task", r.Task, "run", r.Number, "beganMSBefore", r.ageAt(lostAt).Milliseconds(), "lost", len(sent))
		}
		m.release(r, now)
		m.failIfAtMostOnce(r, now)
	}
	if len(sent) > 0 {
		m.commands = append(m.commands, TargetLost{Runs: len(sent)})
	}
}

// lossTime estimates when an unreachable target was lost: when it first missed an order or
// a poll.
func (t *target) lossTime(now time.Time) time.Time {
	if t.unansweredSince.IsZero() {
		return now
	}
	return t.unansweredSince
}

// mayBeOnTarget reports whether the run may be on its target: its start was sent, in this
// term or an earlier one.
func (r *run) mayBeOnTarget() bool { return r.phase != awaitingCapacity && r.phase != recorded }

// ageAt returns for how long the run had been known to be on its target at a time; 0 if it
// was not known.
func (r *run) ageAt(at time.Time) time.Duration {
	if r.beganAt.IsZero() {
		return 0
	}
	return max(at.Sub(r.beganAt), 0)
}
