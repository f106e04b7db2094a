package dispatch

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/health"
	"guavaglade.example/guavaglade/internal/fleet/order"
)

// A target may start again under its id. Its new incarnation has none of the earlier one's
// runs, ends and tickets, has accepted no term, may have other capacity and labels, and counts
// its ends and its clock anew. Only the time of its start tells the two apart. It is in the
// target's entry in the list and in its reports, and either may show a new incarnation first.

// incarnationName identifies the target's incarnation in records that outlive it.
func (t *target) incarnationName() string { return incarnationName(t.ID, t.incarnation) }

// incarnationName identifies the incarnation on which the run is, or with which it was lost.
func (r *run) incarnationName() string {
	if r.sentTo == 0 {
		return r.target.incarnationName()
	}
	return incarnationName(r.target.ID, r.sentTo)
}

// incarnationName returns the name of an incarnation in rows: ID@START, with the start in
// base 36, or the id alone if the start is not known.
func incarnationName(id string, startedAt int64) string {
	if startedAt == 0 {
		return id
	}
	return id + "@" + strconv.FormatInt(startedAt, 36)
}

// parseIncarnation parses what incarnationName returns.
func parseIncarnation(name string) (id string, startedAt int64) {
	at := strings.LastIndexByte(name, '@')
	if at < 0 {
		return name, 0
	}
	startedAt, err := strconv.ParseInt(name[at+1:], 36, 64)
	if err != nil {
		return name, 0
	}
	return name[:at], startedAt
}

// entryIsCurrent reports whether the target's entry in the list is not known to be that of an
// earlier incarnation, whose capacity and labels it has.
func (t *target) entryIsCurrent() bool {
	return t.Target.StartedAt == 0 || t.Target.StartedAt == t.incarnation
}

// isOutdated reports whether the time of a start is that of an earlier incarnation.
func (t *target) isOutdated(startedAt int64) bool { return startedAt != 0 && startedAt < t.incarnation }

// observeStart applies the time of a start that the target's entry or report has shown. If it
// is that of a new incarnation, what is known of the earlier one is dropped, and runs that the
// earlier one has reported are lost. Others may have been sent to the new one: settleSent
// decides on them by its first report.
func (m *Machine) observeStart(t *target, startedAt int64, now time.Time) {
	known := t.incarnation
	if startedAt <= known {
		return
	}
	if known == 0 {
		t.incarnation = startedAt
		return
	}
	t.endedIn = t.endOfIncarnation(now)
	m.log.Decided("target started again", "target", t.ID, "started", startedAt, "before", known, "runs", len(t.runs))
	lost := t.runsWhere(func(r *run) bool { return r.reported })
	m.recordRunsLost(t, lost, now)
	m.forgetSpeed(t)
	t.incarnation = startedAt
	t.resetIncarnation(now)
	t.leaseEnd = later(t.leaseEnd, t.earlierLeasesEnd) // it may accept orders of earlier leaders
	for _, r := range t.runs {
		r.renewOutstandingStart(now.Add(longestLease(m.bounds.Lease)))
	}
	m.settleRunsLost(t, lost, now)
	if t.reach == reachable {
		t.reach, t.unreachableSince = unreachable, now // until its first report
	}
	if t.pollPending && !t.extraPollPending {
		m.sendExtraPoll(t, 0, now) // the earlier incarnation does not answer the outstanding one
	}
	m.considerPoll(t)
	m.withdrawStarts(t, now)
	m.placementDue = true
}

// endOfIncarnation returns when the incarnation ended of which the next one has just shown. If
// that one has answered orders already, it was in the outage before, unless the earlier
// incarnation has reported since.
func (t *target) endOfIncarnation(now time.Time) lossSpan {
	if t.unansweredSince.IsZero() && t.lastOutage.to.After(t.reportedAt) {
		return t.lastOutage
	}
	return t.lossSpan(now)
}

// resetIncarnation drops what was known of the earlier incarnation, except for its entry in the
// list and the runs that may have been sent to the new one.
func (t *target) resetIncarnation(now time.Time) {
	t.clockMS, t.clockAt, t.latestReport = 0, time.Time{}, 0
	t.highestEnd, t.acked, t.confirmedAck = 0, 0, 0
	t.unsavedEnds, t.unsavedPollAt, t.ackDue = nil, time.Time{}, time.Time{}
	t.nextPollAt, t.suspendedUntil = time.Time{}, time.Time{}
	t.health = health.Record{}
	t.lossRecorded = false
	t.addedAt = now
}

// settleSent decides on runs that were sent while an earlier incarnation was known, by a report
// of the present one that does not list them. It was asked for at a time: a run whose start was
// answered since may have begun after the report was made.
func (m *Machine) settleSent(t *target, listed map[order.Run]bool, asked, now time.Time) {
	lost := t.runsWhere(func(r *run) bool {
		earlier := r.mayBeOnTarget() && r.sentTo != 0 && r.sentTo != t.incarnation
		return earlier && !listed[r.Run] && r.sentAt.Before(asked) && r.orderAnsweredAt.Before(asked)
	})
	m.recordRunsLost(t, lost, now)
	m.settleRunsLost(t, lost, now)
	t.lossRecorded = false // the present incarnation has answered
}

// recordRunsLost records the loss of runs with an incarnation of a target that has started again.
func (m *Machine) recordRunsLost(t *target, lost []*run, now time.Time) {
	if len(lost) == 0 {
		return
	}
	m.changeLosses(t.settleLoss)
	span := t.endedIn
	if span.to.IsZero() { // it ended before this term
		span = t.lossSpan(now)
	}
	m.recordLosses(t, lost, span, time.Time{}, now)
	m.commands = append(m.commands, TargetLost{Runs: len(lost)})
}

// settleRunsLost decides on runs that were lost with an earlier incarnation of a target. One of
// which a start was not answered may still begin on the present incarnation: it is stopped, and
// released only once that stop was answered.
func (m *Machine) settleRunsLost(t *target, lost []*run, now time.Time) {
	for _, r := range lost {
		reported := r.reported
		switch {
		case t.runs[r.Run] != r: // released with another member of its gang
		case r.hasUnansweredStart():
			r.sentTo, r.reported, r.blamed = t.incarnation, false, true
			m.repeatStop(r, stopFor(stopRestartedUnanswered), now)
		default:
			m.release(r, now)
			m.mayHaveRun(r, now)
		}
		if !reported { // its gang may wait for it
			m.stopGang(r, stopFor(stopMemberRestarted), now)
		}
	}
}

// The outcome of an order that was issued before the present incarnation or its address was known
// may be that of an earlier one. It proves neither that the present one has or has stopped a run nor
// that it answers or has ended, and its clock is another. The order is repeated, if it is still due.

// isOutdatedOrder reports whether an order was issued to an address while an incarnation was known,
// and one of the two is known to be that of an earlier incarnation.
func (t *target) isOutdatedOrder(to order.Address, incarnation int64) bool {
	return t.isOutdated(incarnation) || to.Host != t.Address
}

// outdatedStartAnswered applies the outcome of a start that may be that of an earlier incarnation.
// If it was accepted, the run may be on either: the start still counts as unanswered.
func (t *target) outdatedStartAnswered(id order.Run, err error) {
	r := t.runs[id]
	if r == nil {
		return
	}
	r.orderPending = false
	if err != nil && !errors.Is(err, order.ErrUnanswered) {
		r.unanswered = max(r.unanswered-1, 0)
	}
}

// outdatedStopAnswered applies the outcome of a stop that may be that of an earlier incarnation.
func (t *target) outdatedStopAnswered(id order.Run) {
	if r := t.runs[id]; r != nil {
		r.orderPending = false
	}
}

// repeatStop stops a run, also if the earlier incarnation of its target has answered a stop.
func (m *Machine) repeatStop(r *run, reason stopReason, now time.Time) {
	if r.phase != stopping {
		m.stop(r, reason, now)
		return
	}
	r.orderAnsweredAt, r.endDueAt = time.Time{}, time.Time{}
	m.sendStop(r, now)
}
