package dispatch

import "time"

// When the network to a target fails, its poll shows that only by its timeout, seconds
// later, and an idle target has no poll outstanding. Work that is placed there in that time
// waits until the target is reachable again or every lease has lapsed, since the orders
// may have been executed. So a single unanswered order suspends placement on a target
// until it answers anything. If several targets of a zone have missed orders, the zone is
// considered unreachable: its other targets are polled, and get work after they have
// answered.

// minUnansweredTargets is how many targets of a zone must have missed an order since the
// zone's last answer for it to be considered unreachable: a single one may have crashed.
const minUnansweredTargets = 2

// zoneAnswerTimeout is how long no target of a zone must have answered for it to be
// considered unreachable. Some target of a busy zone answers every few milliseconds, even
// while several of them crash.
const zoneAnswerTimeout = 300 * time.Millisecond

// responsive reports whether the target is not known to have missed an order since its last
// answer, and its zone is not considered unreachable.
func (t *target) responsive() bool { return t.unansweredSince.IsZero() && !t.zoneUnreachable }

// silentSince returns since when the target has been unreachable: since the term began if it has
// not reported in this term.
func (t *target) silentSince(termBegan time.Time) time.Time {
	if t.reach == notPolled {
		return termBegan
	}
	return t.unreachableSince
}

// targetAnswered records that a target has answered.
func (m *Machine) targetAnswered(t *target, now time.Time) {
	if t.responsive() {
		t.answeredAt = now
		return
	}
	if !t.unansweredSince.IsZero() {
		t.lastOutage = t.lossSpan(now)
	}
	t.answeredAt = now
	t.unansweredSince, t.zoneUnreachable, t.connectionBroke = time.Time{}, false, false
	m.checkZoneReachable(t.Zone, now)
	m.placementDue = true
}

// targetMissed records that a target did not answer what was sent at a time.
func (m *Machine) targetMissed(t *target, sent, now time.Time) {
	if !t.unansweredSince.IsZero() || !t.answeredAt.Before(sent) {
		return
	}
	t.unansweredSince = sent
	m.checkZoneReachable(t.Zone, now)
}

// checkZonesReachable checks the zones with unanswered orders, for which
// zoneAnswerTimeout may have passed by now.
func (m *Machine) checkZonesReachable(now time.Time) {
	zones := map[string]bool{}
	for _, t := range m.sortedTargets {
		if !t.unansweredSince.IsZero() && t.listed {
			zones[t.Zone] = true
		}
	}
	for zone := range zones {
		m.checkZoneReachable(zone, now)
	}
}

// checkZoneReachable decides whether a zone is considered unreachable. Orders that were
// missed before the last answer from the zone do not count.
func (m *Machine) checkZoneReachable(zone string, now time.Time) {
	var unansweredSince []time.Time
	var lastAnswerAt time.Time
	for _, t := range m.sortedTargets {
		if t.Zone != zone || !t.listed {
			continue
		}
		if !t.unansweredSince.IsZero() {
			unansweredSince = append(unansweredSince, t.unansweredSince)
		}
		if t.answeredAt.After(lastAnswerAt) {
			lastAnswerAt = t.answeredAt
		}
	}
	unanswered := 0
	for _, at := range unansweredSince {
		if lastAnswerAt.Before(at) {
			unanswered++
		}
	}
	unreachable := unanswered >= minUnansweredTargets && now.Sub(lastAnswerAt) >= zoneAnswerTimeout
	for _, t := range m.sortedTargets {
		if t.Zone == zone && t.unansweredSince.IsZero() {
			t.zoneUnreachable = unreachable // the next tick polls it
		}
	}
}
