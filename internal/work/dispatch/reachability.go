package dispatch

import "time"

// A target that is cut off is known to be silent only when its poll has timed out,
// seconds later; an idle one has none. What is placed there meanwhile waits until the
// cut is over, or until every lease has lapsed, since the order may have been carried
// out. So one order without an answer closes a target until it answers anything; and
// where several targets of a zone have missed orders, the zone is taken to be cut off:
// its other targets are asked, and get work when they have answered.

// minUnansweredTargets is how many targets of a zone must have missed an order, with nothing
// heard from the zone since, for it to be taken as cut off: one may have crashed.
const minUnansweredTargets = 2

// minZoneSilence is how long a zone is silent at least if it is cut off: of a busy zone
// something is heard every few milliseconds, also while several of its targets crash.
const minZoneSilence = 300 * time.Millisecond

// responsive reports whether the target answers, as far as is known.
func (t *target) responsive() bool { return t.unansweredSince.IsZero() && !t.zoneUnreachable }

// targetAnswered notes that a target answered.
func (m *Machine) targetAnswered(t *target, now time.Time) {
	t.answeredAt = now
	if t.responsive() {
		return
	}
	t.unansweredSince, t.zoneUnreachable = time.Time{}, false
	m.checkZoneReachable(t.Zone, now)
	m.placementDue = true
}

// targetMissed notes that a target did not answer what was sent at a time.
func (m *Machine) targetMissed(t *target, sent, now time.Time) {
	if !t.unansweredSince.IsZero() || !t.answeredAt.Before(sent) {
		return
	}
	t.unansweredSince = sent
	m.checkZoneReachable(t.Zone, now)
}

// checkZonesReachable decides on the zones that may have been silent for long enough by now.
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

// checkZoneReachable decides whether a zone seems to be cut off. What was missed before something
// was heard of the zone tells nothing of it.
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
	unreachable := unanswered >= minUnansweredTargets && now.Sub(lastAnswerAt) >= minZoneSilence
	for _, t := range m.sortedTargets {
		if t.Zone == zone && t.unansweredSince.IsZero() {
			t.zoneUnreachable = unreachable // the next tick asks it
		}
	}
}
