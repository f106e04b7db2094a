package dispatch

import "time"

// A leader that places more than its host can order lets starts wait, on its own
// machine or in its link, until they time out; they are sent again and given up, gangs
// begin in part, room is cleared for work that then does not start, and it never
// catches up. So nothing is placed while as many starts are on their way as the host
// can order in a short time. What waits is placed later, by the order that holds then.

// aheadRest is the pause before placing is tried again while starts are on their way.
const aheadRest = 20 * time.Millisecond

// backlog is the starts that are on their way: decided, and not answered.
type backlog struct {
	most        int // 0: no bound
	urgent, all int
}

// SetAhead tells how many starts may be on their way before nothing more is placed; 0
// stands for any number.
func (m *Machine) SetAhead(most int) { m.backlog.most = most }

// noteTime is how long a start may be held up by its note in the store before that is
// the store's matter: on a slow store many wait, and the host has nothing to do.
const noteTime = 150 * time.Millisecond

// onItsWay reports whether a run waits for this host to send its start. One that its
// target did not answer is the target's matter.
func (r *run) onItsWay(now time.Time) bool {
	switch r.phase {
	case noted:
		return now.Sub(r.placedAt) < noteTime
	case starting:
		return r.tries == 1 && r.pending
	}
	return false
}

// SetOrderTime tells how long an order usually takes, its wait in the host counted in.
func (m *Machine) SetOrderTime(d time.Duration) { m.orderTime = d }

// countBacklog counts the starts that are on their way.
func (m *Machine) countBacklog(now time.Time) {
	m.backlog.urgent, m.backlog.all = 0, 0
	if m.backlog.most == 0 {
		return
	}
	for _, t := range m.byID {
		for _, r := range t.runs {
			if r.onItsWay(now) {
				m.backlog.add(r)
			}
		}
	}
}

func (b *backlog) add(r *run) {
	b.all++
	if r.task.step.job.spec.Priority == 0 {
		b.urgent++
	}
}

// full reports whether nothing more may be placed of a job. Urgent starts go first,
// so others do not count against them.
func (b *backlog) full(j *job) bool {
	if b.most == 0 {
		return false
	}
	if j.spec.Priority == 0 {
		return b.urgent >= b.most
	}
	return b.all >= b.most
}

// mustWait reports whether a step waits for starts that are on their way. One that must
// begin now, since that is guaranteed to its account, waits for nothing.
func (m *Machine) mustWait(s *step, now time.Time) bool {
	return m.backlog.full(s.job) && !m.mustBegin(s, now)
}
