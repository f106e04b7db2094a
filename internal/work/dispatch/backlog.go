package dispatch

import "time"

// Placing more than the host can order makes starts wait, on the host or in its network
// link, until they time out. They are repeated and given up, gangs begin in part, runs
// are preempted for work that then does not start, and the leader never catches up. So
// nothing is placed while as many starts are pending as the host can order in a short
// time. The rest is placed later, in the order that applies then.

// backlogPause is the pause before placement is tried again while it is throttled.
const backlogPause = 20 * time.Millisecond

// backlog counts the pending starts: decided and not answered.
type backlog struct {
	limit         int // number from which nothing more is placed; 0: none
	urgent, total int // of jobs of priority 0, and of all jobs
}

// SetMaxPendingStarts sets how many starts may be pending before nothing more is placed;
// 0 means no limit. The caller sets it before each decision.
func (m *Machine) SetMaxPendingStarts(limit int) { m.backlog.limit = limit }

// maxPendingSaveWait is how long a run that waits to be saved counts as pending. A longer
// wait is due to the store: if it is slow, many runs wait and the host has nothing to do.
const maxPendingSaveWait = 150 * time.Millisecond

// startPending reports whether a run waits for this host to send its start. A start that
// its target did not answer is not due to the host and does not count.
func (r *run) startPending(now time.Time) bool {
	switch r.phase {
	case recorded:
		return now.Sub(r.placedAt) < maxPendingSaveWait
	case starting:
		return r.startsSent == 1 && r.orderPending
	}
	return false
}

// SetOrderTime sets how long an order usually takes, including its wait on the host. The
// caller sets it before each decision.
func (m *Machine) SetOrderTime(d time.Duration) { m.orderTime = d }

// countBacklog counts the pending starts.
func (m *Machine) countBacklog(now time.Time) {
	m.backlog.urgent, m.backlog.total = 0, 0
	if m.backlog.limit == 0 {
		return
	}
	for _, t := range m.sortedTargets {
		for _, r := range t.runs {
			if r.startPending(now) {
				m.backlog.add(r)
			}
		}
	}
}

// add counts a pending start.
func (b *backlog) add(r *run) {
	b.total++
	if r.task.step.job.spec.Priority == 0 {
		b.urgent++
	}
}

// full reports whether nothing more of a job may be placed. Urgent starts are sent first,
// so others do not count against them.
func (b *backlog) full(j *job) bool {
	if b.limit == 0 {
		return false
	}
	if j.spec.Priority == 0 {
		return b.urgent >= b.limit
	}
	return b.total >= b.limit
}

// throttled reports whether no task of a step may be placed now because too many starts
// are pending. A step that must begin now to meet its account's guarantee is not throttled.
func (m *Machine) throttled(s *step, now time.Time) bool {
	return m.backlog.full(s.job) && !m.guaranteeDue(s, now)
}
