package dispatch

import (
	"errors"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/limiter"
	"guavaglade.example/guavaglade/internal/fleet/order"
)

// maxAckDelay bounds how long an end that is saved stays unacknowledged: the
// acknowledgement rides on the next poll, which a target without work would not
// need otherwise.
const maxAckDelay = time.Second

// unsavedPause is the pause before a target is asked again that lists ends whose
// progress is not saved yet: it would answer at once, with the same ends. It is
// asked when they are saved, and after the pause in any case, so that its lease
// is renewed while the store is away.
const unsavedPause = time.Second

// tickTarget asks the target for a report if one is due, and gives up what
// cannot exist any more on a target that does not answer.
func (m *Machine) tickTarget(t *target, now time.Time) {
	if t.reach != reachable && !now.Before(t.leaseEnd) && len(t.runs) > 0 {
		m.log.Decided("target silent until its leases lapsed", "target", t.ID, "runs", len(t.runs), "silentMS", now.Sub(t.unreachableSince).Milliseconds())
		m.releaseAll(t, now)
	}
	for _, r := range t.runsWhere((*run).awaitsAnswer) {
		m.retryOrder(r, now)
	}
	m.pollIfDue(t, now)
	m.extraPollIfDue(t, now)
}

// Figures of extra polls.
const (
	// pollOverdue is how long after its time a poll counts as lost.
	pollOverdue = 300 * time.Millisecond
	// endOverdueAfter is how long after a stop was answered its end is missed. A stop
	// takes up to 400 ms, and most take half of it.
	endOverdueAfter = 450 * time.Millisecond
	// extraPollInterval is the time between two extra polls of one target.
	extraPollInterval = 400 * time.Millisecond
)

// extraPollIfDue asks for a report beside the poll that is outstanding, if that may
// have been lost: its time is over, another order was not answered, or a stop was
// answered and its end is not listed. Without it a lost poll blinds the leader until
// its time-out, and room that was cleared for urgent work goes unused for as long.
func (m *Machine) extraPollIfDue(t *target, now time.Time) {
	if !t.pollPending || t.extraPollPending || t.reach != reachable || now.Sub(t.extraPollSentAt) < extraPollInterval {
		return
	}
	if now.Sub(t.pollSentAt) < maxPollWait+pollOverdue && t.responsive() && !t.endOverdue(now) {
		return
	}
	m.sendExtraPoll(t, now)
}

// sendExtraPoll asks for a report beside the poll that is outstanding.
func (m *Machine) sendExtraPoll(t *target, now time.Time) {
	t.extraPollPending, t.extraPollSentAt = true, now
	m.commands = append(m.commands, Poll{Target: t.address(), Order: order.Poll{Term: m.term, Acked: t.acked}, Class: t.class(limiter.Report), Extra: true, Sent: now})
}

// pollZone asks the targets of a zone that have missed something for a report, now that
// one of them answers again: a cut may be over. Their polls were sent into it, and would be
// waited for until their time-outs, with all that has ended there. A new leader's first
// polls are on their way to all targets; those are not to be asked twice.
func (m *Machine) pollZone(zone string, now time.Time) {
	for _, t := range m.sortedTargets {
		if t.Zone == zone && t.reach != reachable && !t.responsive() && t.pollPending && !t.extraPollPending && now.Sub(t.extraPollSentAt) >= extraPollInterval {
			m.sendExtraPoll(t, now)
		}
	}
}

// endOverdue reports whether a stop was answered long ago and its end was not
// listed since.
func (t *target) endOverdue(now time.Time) bool {
	for _, r := range t.runs {
		if r.phase == stopping && !r.orderAnsweredAt.IsZero() && now.Sub(r.orderAnsweredAt) >= endOverdueAfter {
			return true
		}
	}
	return false
}

// pollIfDue asks for a report: the first one of this term at once; later ones
// while something may run there or an acknowledgement is due.
func (m *Machine) pollIfDue(t *target, now time.Time) {
	if t.pollPending || now.Before(t.nextPollAt) || (len(t.unsavedEnds) > 0 && now.Before(t.unsavedPollAt)) {
		return
	}
	ackDue := t.acked > t.confirmedAck && !now.Before(t.ackDue)
	switch {
	case t.reach == notPolled && t.listed:
		m.sendPoll(t, 0, now)
	case t.reach == unreachable && (t.listed || len(t.runs) > 0):
		m.sendPoll(t, 0, now)
	case t.reach == reachable && (t.clockMS == 0 || !t.responsive()):
		m.sendPoll(t, 0, now)
	case t.reach == reachable && t.hasOrderedRuns():
		m.sendPoll(t, t.pollWait(), now)
	case t.reach == reachable && ackDue:
		m.sendPoll(t, 0, now)
	}
}

// pollWait returns how long a report of the target waits for an end.
func (t *target) pollWait() time.Duration {
	if t.mixesServingAndBestEffort() {
		return paceWait
	}
	return maxPollWait
}

// hasOrderedRuns reports whether an order was sent for anything that may run there.
func (t *target) hasOrderedRuns() bool {
	for _, r := range t.runs {
		if r.phase != awaitingCapacity && r.phase != recorded {
			return true
		}
	}
	return false
}

func (m *Machine) sendPoll(t *target, wait time.Duration, now time.Time) {
	h := order.Poll{Term: m.term, Acked: t.acked}
	if t.reach == reachable { // a silent target's lease must come to an end
		h.Wait = wait
		if t.clockMS != 0 {
			h.Deadline = t.grantLease(now, m.bounds.Lease)
		}
	}
	t.pollPending, t.pollSentAt = true, now
	m.commands = append(m.commands, Poll{Target: t.address(), Order: h, Class: t.class(limiter.Report), Sent: now})
}

// Polled takes in a target's report.
func (m *Machine) Polled(id string, p Poll, rep order.Report, now time.Time) {
	t := m.targets[id]
	if t == nil {
		return
	}
	t.pollAnswered(p)
	m.considerPoll(t)
	t.reportedAt = now
	wasUnresponsive := !t.responsive()
	m.targetAnswered(t, now)
	t.updateClock(rep.Clock, now)
	t.confirmedAck = max(t.confirmedAck, p.Order.Acked)
	if t.reach != reachable {
		m.log.Decided("target reports", "target", t.ID, "running", len(rep.Running), "ended", len(rep.Ended), "first", !t.reported)
		t.reach = reachable
		if wasUnresponsive {
			m.pollZone(t.Zone, now)
		}
	}
	listed := map[order.Run]bool{}
	for _, e := range rep.Ended {
		if e.Number > t.highestEnd {
			t.highestEnd = e.Number
			m.runEnded(t, e, now)
		}
		listed[e.Run] = true
	}
	for _, r := range rep.Running {
		listed[r.Run] = true
		m.runReported(t, r, p.Sent, now)
	}
	m.checkProgress(t, now)
	m.pace(t, now)
	m.moveLongRunning(t, now)
	if len(rep.Ended) < maxListedEnds {
		m.releaseMissing(t, listed, p.Sent, now)
	}
	t.reported = true
	t.advanceAcked(now)
	if len(t.unsavedEnds) > 0 {
		t.unsavedPollAt = now.Add(unsavedPause)
	}
	if len(rep.Running) > 0 && p.Order.Deadline == 0 && !t.pollPending {
		m.sendPoll(t, 0, now) // its clock was not known: renew the lease at once
	}
	m.placementDue = true
}

// pollAnswered notes that a poll is no longer outstanding.
func (t *target) pollAnswered(p Poll) {
	if p.Extra {
		t.extraPollPending = false
	} else {
		t.pollPending = false
	}
}

// maxListedEnds is the number of ends at which a report may have left some out.
const maxListedEnds = 500

// releaseMissing gives up runs that the target was asked about and does not have: the
// start or the stop was answered before the report was asked for, and it lists
// neither the run nor its end.
func (m *Machine) releaseMissing(t *target, listed map[order.Run]bool, asked, now time.Time) {
	gone := t.runsWhere(func(r *run) bool {
		return !listed[r.Run] && !r.orderAnsweredAt.IsZero() && r.orderAnsweredAt.Before(asked)
	})
	for _, r := range gone {
		m.log.Decided("run not on its target", "target", t.ID, "task", r.Task, "run", r.Number, "phase", int(r.phase))
		m.release(r, now)
		m.failIfAtMostOnce(r, now)
		m.stopGang(r, "a member is gone", now)
	}
}

// PollFailed takes in that a target did not report.
func (m *Machine) PollFailed(id string, p Poll, err error, now time.Time) {
	t := m.targets[id]
	if t == nil {
		return
	}
	t.pollAnswered(p)
	m.considerPoll(t)
	switch {
	case errors.Is(err, order.ErrFenced):
		m.fenced(t, "hold")
		return
	case errors.Is(err, order.ErrOtherIncarnation):
		m.incarnationEnded(t, now)
	case t.reportedAt.After(p.Sent):
		// It answered another one since: only this one was lost.
	default:
		m.targetMissed(t, p.missedSince(now), now)
		m.markUnreachable(t, err, now)
	}
	m.placementDue = true
}

// markUnreachable notes that a target does not answer.
func (m *Machine) markUnreachable(t *target, err error, now time.Time) {
	t.nextPollAt = now.Add(pollRetryPause)
	if t.reach == reachable {
		t.reach, t.unreachableSince = unreachable, now
		m.log.Decided("target silent", "target", t.ID, "runs", len(t.runs), "error", err.Error())
		for _, r := range t.sortedRuns() {
			m.releaseFirstEnded(r, now)
		}
	}
}

// fenced ends the term: another leader has given orders there with a higher
// token.
func (m *Machine) fenced(t *target, step string) {
	if !m.deposed {
		m.log.Decided("deposed", "step", step, "target", t.ID, "term", m.term)
	}
	m.deposed = true
}

// incarnationEnded takes in that an incarnation has ended: nothing runs there any more.
func (m *Machine) incarnationEnded(t *target, now time.Time) {
	m.log.Decided("target's life is over", "target", t.ID, "runs", len(t.runs))
	m.releaseAll(t, now)
	t.listed = false
	delete(m.targets, t.ID)
	m.sortedTargets = removeFrom(m.sortedTargets, t)
	m.racks = nil
}

// releaseAll releases all runs of a target.
func (m *Machine) releaseAll(t *target, now time.Time) {
	for _, r := range t.sortedRuns() {
		m.release(r, now)
		m.failIfAtMostOnce(r, now)
	}
}

// advanceAcked moves on what may be acknowledged: ends in their order, up to the
// first whose progress is not saved.
func (t *target) advanceAcked(now time.Time) {
	n := 0
	for n < len(t.unsavedEnds) && t.unsavedEnds[n].saved() {
		t.acked = t.unsavedEnds[n].number
		n++
	}
	if n > 0 {
		t.unsavedEnds = t.unsavedEnds[n:]
		t.ackDue = now.Add(maxAckDelay)
	}
}
