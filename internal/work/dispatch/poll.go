package dispatch

import (
	"cmp"
	"errors"
	"math"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/limiter"
	"guavaglade.example/guavaglade/internal/fleet/order"
)

// maxAckDelay bounds how long a saved end stays unacknowledged. Polls carry
// acknowledgements, and a target without work is not polled for any other reason.
const maxAckDelay = time.Second

// unsavedPause is the pause between polls of a target that has listed ends whose progress
// is not saved yet: it would answer at once, with the same ends. The target is polled
// when they are saved, and after the pause at the latest, so that its lease is renewed
// while the store is unavailable.
const unsavedPause = time.Second

// drainingUnsavedPause is unsavedPause for a draining target. It may leave soon, and ends that
// nobody has read by then are lost.
const drainingUnsavedPause = 50 * time.Millisecond

// tickTarget sends the polls and order retries that are due for a target, and releases
// the runs of an unreachable target whose leases have lapsed.
func (m *Machine) tickTarget(t *target, now time.Time) {
	if m.leasesLapsed(t, now) && len(t.runs) > 0 {
		m.log.Decided("target unreachable until its leases lapsed", "target", t.ID, "runs", len(t.runs), "reported", t.reported, "silentMS", now.Sub(t.silentSince(m.placementEnabledAt)).Milliseconds())
		m.recordLapsed(t, now)
		m.targetLost(t, now)
	}
	for _, r := range t.runsWhere((*run).awaitsAnswer) {
		m.expireStarts(r, now)
		m.retryOrder(r, now)
	}
	m.pollIfDue(t, now)
	m.extraPollIfDue(t, now)
}

// Timing of extra polls.
const (
	// pollOverdue is how long after the end of its wait a poll counts as lost.
	pollOverdue = 300 * time.Millisecond
	// endOverdueAfter is how long after a stop was answered the end of its run is
	// overdue. A stop takes up to 400 ms, and most take half of that.
	endOverdueAfter = 450 * time.Millisecond
	// extraPollInterval is the shortest time between two extra polls of a target.
	extraPollInterval = 400 * time.Millisecond
)

// extraPollIfDue sends an extra poll if the outstanding one may have been lost: it is
// overdue, another order was not answered, or the end of a stopped run is overdue.
// Otherwise the leader would get no report of the target until the lost poll times out,
// and preempted capacity would stay unused for as long.
func (m *Machine) extraPollIfDue(t *target, now time.Time) {
	if !t.pollPending || t.extraPollPending || t.reach != reachable || now.Sub(t.extraPollSentAt) < extraPollInterval {
		return
	}
	if now.Sub(t.pollSentAt) < maxPollWait+pollOverdue && t.responsive() && !t.endOverdue(now) {
		return
	}
	m.sendExtraPoll(t, 0, now)
}

// sendExtraPoll sends a poll beside the outstanding one. It renews the lease to the deadline; 0: it
// does not.
func (m *Machine) sendExtraPoll(t *target, deadline int64, now time.Time) {
	t.extraPollPending, t.extraPollSentAt = true, now
	m.commands = append(m.commands, Poll{Target: t.address(), Order: order.Poll{Term: m.term, Acked: t.dueAck(), Deadline: deadline}, Class: t.class(limiter.Report), Extra: true, Sent: now, Incarnation: t.incarnation})
}

// dueAck returns the number up to which a poll acknowledges ends; 0: it acknowledges none. An
// acknowledgement that was delivered is not repeated, and a target that does not answer gets
// none: a new incarnation, which numbers its ends anew, would forget ends by it that it has
// never listed.
func (t *target) dueAck() int64 {
	if t.reach != reachable || t.acked == t.confirmedAck {
		return 0
	}
	return t.acked
}

// pollZone sends extra polls to the unresponsive targets of a zone after one of its
// targets has answered: the zone may be reachable again. The outstanding polls were sent
// while it was not, and the ends there would be reported only after their timeouts.
// Targets that have missed nothing are left out: a new leader's first polls are still
// under way to all targets, and must not be sent twice.
func (m *Machine) pollZone(zone string, now time.Time) {
	for _, t := range m.sortedTargets {
		if t.Zone == zone && t.reach != reachable && !t.responsive() && t.pollPending && !t.extraPollPending && now.Sub(t.extraPollSentAt) >= extraPollInterval {
			m.sendExtraPoll(t, 0, now)
		}
	}
}

// endOverdue reports whether a stop was answered at least endOverdueAfter ago and no
// report has listed the end of its run since.
func (t *target) endOverdue(now time.Time) bool {
	for _, r := range t.runs {
		if r.phase == stopping && !r.orderAnsweredAt.IsZero() && now.Sub(r.orderAnsweredAt) >= endOverdueAfter {
			return true
		}
	}
	return false
}

// pollIfDue polls the target if that is due: once at the start of the term, and later
// while runs may exist there, an acknowledgement is due or it does not answer.
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

// pollWait returns how long a poll of the target waits for an end.
func (t *target) pollWait() time.Duration {
	if t.mixesServingAndBestEffort() {
		return pacedPollWait
	}
	return maxPollWait
}

// hasOrderedRuns reports whether an order was sent for any run that may exist on the
// target.
func (t *target) hasOrderedRuns() bool {
	for _, r := range t.runs {
		if r.phase != awaitingCapacity && r.phase != recorded {
			return true
		}
	}
	return false
}

// minLimitedWait is the shortest wait of a poll whose lease is cut short by the end of the term.
const minLimitedWait = 200 * time.Millisecond

// sendPoll polls a target. A reachable one gets its lease renewed, and waits up to the
// given time for an end before it answers. If the lease is cut short by the end of the term,
// the next poll is sent well before it lapses, since the term may have been renewed by then.
func (m *Machine) sendPoll(t *target, wait time.Duration, now time.Time) {
	o := order.Poll{Term: m.term, Acked: t.dueAck()}
	if t.reach == reachable { // the lease of an unreachable target must lapse
		o.Wait = wait
		if t.clockMS != 0 {
			deadline, lease := m.grantLease(t, now)
			o.Deadline, o.Wait = deadline, min(wait, max(lease/2, minLimitedWait))
		}
	}
	t.pollPending, t.pollSentAt = true, now
	m.commands = append(m.commands, Poll{Target: t.address(), Order: o, Class: t.class(t.reportClass()), Sent: now, Incarnation: t.incarnation})
}

// reportClass returns the limiter class of a poll that does not wait.
func (t *target) reportClass() limiter.Class {
	if t.reach == notPolled && len(t.runs) == 0 {
		return limiter.Survey
	}
	return limiter.Report
}

// orderFirstPolls has the next Decide send the first polls of a term to targets on which runs
// may exist, the most urgent first, and then to whole racks, one after the other. A gang that
// wants one rack can be placed once a rack has reported, long before all targets have.
func (m *Machine) orderFirstPolls() {
	busy, idle := []*target(nil), []*target(nil)
	for _, rack := range m.targetsByRack() {
		for _, t := range rack {
			t.pollCandidate = true
			if len(t.runs) > 0 {
				busy = append(busy, t)
			} else {
				idle = append(idle, t)
			}
		}
	}
	slices.SortStableFunc(busy, func(a, b *target) int { return cmp.Compare(a.mostUrgentPriority(), b.mostUrgentPriority()) })
	m.pollCandidates = append(busy, idle...)
}

// mostUrgentPriority returns the lowest priority of the jobs with runs on the target, of which
// there must be one.
func (t *target) mostUrgentPriority() int {
	lowest := math.MaxInt
	for _, r := range t.runs {
		lowest = min(lowest, r.task.step.job.spec.Priority)
	}
	return lowest
}

// Polled applies a target's report; the caller calls it when a poll was answered.
func (m *Machine) Polled(id string, p Poll, rep order.Report, now time.Time) {
	t := m.targets[id]
	if t == nil {
		return
	}
	t.pollEnded(p)
	m.considerPoll(t)
	if t.isOutdated(rep.StartedAt) {
		return // an earlier incarnation answered before it ended
	}
	m.observeStart(t, rep.StartedAt, now)
	t.reportedAt = now
	wasUnresponsive := !t.responsive()
	m.targetAnswered(t, now)
	clockKnown := t.clockMS != 0
	t.updateClock(rep.Clock, now)
	if !clockKnown {
		m.entryAges.add(t)
	}
	if p.Incarnation == 0 || p.Incarnation == t.incarnation {
		t.confirmedAck = max(t.confirmedAck, p.Order.Acked)
	}
	if t.reach != reachable {
		if t.reported || len(rep.Running) > 0 || len(rep.Ended) > 0 {
			m.log.Decided("target reachable", "target", t.ID, "running", len(rep.Running), "ended", len(rep.Ended), "first", !t.reported)
		}
		m.limitEarlierLeases(t, now)
		t.reach = reachable
		m.withdrawLosses(t)
		m.withdrawLapsed(t)
		if wasUnresponsive {
			m.pollZone(t.Zone, now)
		}
	}
	if rep.Clock > 0 && rep.Clock < t.latestReport {
		return // a newer report has overtaken it
	}
	t.latestReport = rep.Clock
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
	m.settleSent(t, listed, p.Sent, now)
	m.checkProgress(t, now)
	m.pace(t, now)
	m.moveLongRunning(t, now)
	if len(rep.Ended) < maxListedEnds {
		m.releaseMissing(t, listed, p.Sent, now)
	}
	t.reported = true
	t.advanceAcked(now)
	switch {
	case len(t.unsavedEnds) > 0 && t.Draining:
		t.unsavedPollAt = now.Add(drainingUnsavedPause)
	case len(t.unsavedEnds) > 0:
		t.unsavedPollAt = now.Add(unsavedPause)
	}
	if len(rep.Running) > 0 && p.Order.Deadline == 0 {
		m.renewLease(t, now)
	}
	m.startVerified(t, now)
	m.placementDue = true
}

// renewLease renews the lease of a target that has answered a poll which did not. An outstanding
// poll has renewed it, unless that was lost: then the lease of runs that have just begun is about to
// lapse.
func (m *Machine) renewLease(t *target, now time.Time) {
	switch {
	case !t.pollPending:
		m.sendPoll(t, 0, now)
	case !t.extraPollPending && now.Sub(t.pollSentAt) >= maxPollWait+pollOverdue:
		deadline, _ := m.grantLease(t, now)
		m.sendExtraPoll(t, deadline, now)
	}
}

// pollEnded records that a poll is no longer outstanding.
func (t *target) pollEnded(p Poll) {
	if p.Extra {
		t.extraPollPending = false
	} else {
		t.pollPending = false
	}
}

// maxListedEnds is the number of ends from which a report may be incomplete.
const maxListedEnds = 500

// releaseMissing releases runs that the target does not have and that can no longer begin there:
// the report lists neither the run nor its end.
func (m *Machine) releaseMissing(t *target, listed map[order.Run]bool, polledAt, now time.Time) {
	gone := t.runsWhere(func(r *run) bool { return !listed[r.Run] && r.wouldBeListed(polledAt) })
	for _, r := range gone {
		m.log.Decided("run not on its target", "target", t.ID, "task", r.Task, "run", r.Number, "phase", int(r.phase))
		m.release(r, now)
		if !r.startsExpired || !r.beganAt.IsZero() { // else it has not run
			m.mayHaveRun(r, now)
		}
		m.stopGang(r, stopFor(stopMemberMissing), now)
	}
}

// wouldBeListed reports whether a report that was asked for at a time would list the run or its end,
// unless the run has ended or can no longer begin. That is so once its start or stop was answered, once its target has
// reported it, and once all its starts are refused as late.
func (r *run) wouldBeListed(asked time.Time) bool {
	if !r.orderAnsweredAt.IsZero() {
		return r.orderAnsweredAt.Before(asked)
	}
	if r.sentTo != r.target.incarnation {
		return false // it may have been sent to either incarnation
	}
	if r.ofEarlierLeader() {
		return true // the incarnation refuses its start from its first report on
	}
	return r.reported && r.reportedAt.Before(asked) || r.startsExpired && r.startsExpireAt.Before(asked)
}

// PollFailed records that a poll failed; the caller calls it with the error of the poll.
func (m *Machine) PollFailed(id string, p Poll, err error, now time.Time) {
	t := m.targets[id]
	if t == nil {
		return
	}
	t.pollEnded(p)
	m.considerPoll(t)
	switch {
	case errors.Is(err, order.ErrFenced):
		m.fenced(t, "hold")
		return
	case t.isOutdatedOrder(p.Target, p.Incarnation): // the present one is polled next
	case errors.Is(err, order.ErrOtherIncarnation):
		m.incarnationEnded(t, now)
	case t.reportedAt.After(p.Sent):
		// The target has answered another poll since: only this one was lost.
	default:
		if t.unansweredSince.IsZero() {
			t.connectionBroke = !p.Sent.Add(p.Order.Wait).Before(now)
		}
		m.targetMissed(t, p.missedSince(now), now)
		m.markUnreachable(t, err, now)
		m.dropUnverified(t, now)
	}
	m.placementDue = true
}

// markUnreachable marks a target that did not answer as unreachable and delays its next
// poll.
func (m *Machine) markUnreachable(t *target, err error, now time.Time) {
	t.nextPollAt = now.Add(pollRetryPause)
	if t.reach == reachable {
		t.reach, t.unreachableSince = unreachable, now
		m.log.Decided("target unreachable", "target", t.ID, "runs", len(t.runs), "error", err.Error())
		for _, r := range t.sortedRuns() {
			m.releaseFirstEnded(r, now)
		}
	}
}

// fenced ends the term: the target has accepted orders of another leader with a higher
// fencing token.
func (m *Machine) fenced(t *target, step string) {
	if !m.superseded {
		m.log.Decided("deposed", "step", step, "target", t.ID, "term", m.term)
	}
	m.superseded = true
}

// incarnationEnded removes a target whose incarnation has ended: nothing runs there any
// more.
func (m *Machine) incarnationEnded(t *target, now time.Time) {
	m.log.Decided("target incarnation ended", "target", t.ID, "runs", len(t.runs))
	m.targetLost(t, now)
	t.listed = false
	delete(m.targets, t.ID)
	m.sortedTargets = removeFrom(m.sortedTargets, t)
	m.racks = nil
}

// advanceAcked moves acked to the last end before the first that may not be acknowledged,
// and drops the ends up to it from unsavedEnds. If acked moves, the acknowledgement is due
// maxAckDelay from now.
func (t *target) advanceAcked(now time.Time) {
	n := 0
	for n < len(t.unsavedEnds) && t.unsavedEnds[n].acknowledgeable() {
		t.acked = t.unsavedEnds[n].number
		n++
	}
	if n > 0 {
		t.unsavedEnds = t.unsavedEnds[n:]
		t.ackDue = now.Add(maxAckDelay)
	}
}
