package dispatch

import "time"

// A leader that places more than its host can order lets starts wait, on its own
// machine or in its link, until they time out; they are sent again and given up, gangs
// begin in part, room is cleared for work that then does not start, and it never
// catches up. So nothing is placed while as many starts are on their way as the host
// can order in a short time. What waits is placed later, by the order that holds then.

// backlogPause is the pause before placing is tried again while starts are on their way.
const backlogPause = 20 * time.Millisecond

// backlog is the starts that are on their way: decided, and not answered.
type backlog struct {
	limit         int // 0: no bound
	urgent, total int
}

// SetMaxPendingStarts tells how many starts may be on their way before nothing more is placed; 0
// stands for any number.
func (m *Machine) SetMaxPendingStarts(limit int) { m.backlog.limit = limit }

// recordTimeLimit is how long a start may be held up by its note in the store before that is
// the store's matter: on a slow store many wait, and the host has nothing to do.
const recordTimeLimit = 150 * time.Millisecond

// startPending reports whether a run waits for this host to send its start. One that its
// target did not answer is the target's matter.
func (r *run) startPending(now time.Time) bool {
	switch r.phase {
	case recorded:
		return now.Sub(r.placedAt) < recordTimeLimit
	case starting:
		return r.startsSent == 1 && r.orderPending
	}
	return false
}

// SetOrderTime tells how long an order usually takes, its wait in the host counted in.
func (m *Machine) SetOrderTime(d time.Duration) { m.orderTime = d }

// countBacklog counts the starts that are on their way.
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

func (b *backlog) add(r *run) {
	b.total++
	if r.task.step.job.spec.Priority == 0 {
		b.urgent++
	}
}

// full reports whether nothing more may be placed of a job. Urgent starts go first,
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

// throttled reports whether a step waits for starts that are on their way. One that must
// begin now, since that is guaranteed to its account, waits for nothing.
func (m *Machine) throttled(s *step, now time.Time) bool {
	return m.backlog.full(s.job) && !m.guaranteeDue(s, now)
}
