package dispatch

import "time"

// A target that is cut off is known to be silent only when its hold has timed out,
// seconds later; an idle one has none. What is placed there meanwhile waits until the
// cut is over, or until every lease has lapsed, since the order may have been carried
// out. So one order without an answer closes a target until it answers anything; and
// where several targets of a zone have missed orders, the zone is taken to be cut off:
// its other targets are asked, and get work when they have answered.

// zoneMisses is how many targets of a zone must have missed an order, with nothing
// heard from the zone since, for it to be taken as cut off: one may have crashed.
const zoneMisses = 2

// zoneQuiet is how long a zone is silent at least if it is cut off: of a busy zone
// something is heard every few milliseconds, also while several of its targets crash.
const zoneQuiet = 300 * time.Millisecond

// inTouch reports whether the target answers, as far as is known.
func (t *target) inTouch() bool { return t.missedAt.IsZero() && !t.cutOff }

// answers notes that a target answered.
func (m *Machine) answers(t *target, now time.Time) {
	t.answeredAt = now
	if t.inTouch() {
		return
	}
	t.missedAt, t.cutOff = time.Time{}, false
	m.judgeZone(t.Zone, now)
	m.changed = true
}

// misses notes that a target did not answer what was sent at a time.
func (m *Machine) misses(t *target, sent, now time.Time) {
	if !t.missedAt.IsZero() || !t.answeredAt.Before(sent) {
		return
	}
	t.missedAt = sent
	m.judgeZone(t.Zone, now)
}

// judgeZones decides on the zones that may have been silent for long enough by now.
func (m *Machine) judgeZones(now time.Time) {
	missing := map[string]bool{}
	for _, t := range m.byID {
		if !t.missedAt.IsZero() && t.listed {
			missing[t.Zone] = true
		}
	}
	for zone := range missing {
		m.judgeZone(zone, now)
	}
}

// judgeZone decides whether a zone seems to be cut off. What was missed before something
// was heard of the zone tells nothing of it.
func (m *Machine) judgeZone(zone string, now time.Time) {
	var missed []time.Time
	var answered time.Time
	for _, t := range m.byID {
		if t.Zone != zone || !t.listed {
			continue
		}
		if !t.missedAt.IsZero() {
			missed = append(missed, t.missedAt)
		}
		if t.answeredAt.After(answered) {
			answered = t.answeredAt
		}
	}
	since := 0
	for _, at := range missed {
		if answered.Before(at) {
			since++
		}
	}
	away := since >= zoneMisses && now.Sub(answered) >= zoneQuiet
	for _, t := range m.byID {
		if t.Zone == zone && t.missedAt.IsZero() {
			t.cutOff = away // the next tick asks it
		}
	}
}
