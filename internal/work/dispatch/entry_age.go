package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/roster"
)

// A target writes its entry in the list once per heartbeat. While the store is away it cannot, and the
// first list after an outage holds entries from before it. Since then the target's capacity may have
// shrunk, its labels may have changed, and it may have begun to drain. So a target whose entry is stale
// gets no starts until a newer entry was read. Everything else goes on: it is polled, and its runs
// continue. Runs placed there that were not sent are placed elsewhere, as for a target that left the
// list, and a start without an answer is not repeated.
//
// The age of an entry is that on the target's own clock when the list was read, so it is known to a new
// leader as well, from the target's first report on. It is a lower bound: the clock may be slow, and its
// last reading old. An entry without a clock, or on a target whose clock is not known, has no age; the
// latter gets no starts anyway. An entry of an earlier incarnation, with another clock, is not compared
// (entryIsCurrent).
//
// An entry that is recent when it is read ages in the list: starts may rely on it until entryExpiry, which
// is judged when a start is decided, so that the ages of entry and list do not add up.
//
// In a store that delays all writes, every entry is old. Healthy targets must not be left without work
// for as long as that lasts: an entry is not stale while the list is read at its usual interval and
// shows that it was stored since the read before. Across an outage, reads lie further apart. If any entry
// is recent, the store is not what delays the others: one that is stored late was held up on its way, as
// behind a cut, and may name a capacity of long ago.

const (
	// staleAfter is the age in heartbeats above which an entry is stale. The store drops the entry of a
	// silent target after three, and the list is used for some time after it was read.
	staleAfter = 2.5
	// maxEntryAge is the age in heartbeats up to which starts may rely on an entry. The store drops the
	// entry of a silent target then.
	maxEntryAge = 3
	// minStartValidity is how long before an entry's expiry starts are decided at the latest. Their deadline is
	// no later than that, and the poll that renews the lease must have arrived by then.
	minStartValidity = 500 * time.Millisecond
	// maxReadGap is how many heartbeats two reads lie apart at most that show when an entry was stored.
	maxReadGap = 2
)

// entryReads holds when the list was read that showed a target's entry.
type entryReads struct {
	heartbeat time.Duration // interval at which the target writes it; 0: not known, and it is never stale
	first     time.Time     // first read that showed the entry
	latest    time.Time     // latest read that showed it
	before    time.Time     // read before the first, which the entry was stored after; zero: none in this term
	list      *entryAges    // of the list that showed it; nil: none has
}

// entryAges counts the entries of a list whose age when it was read is known.
type entryAges struct {
	known  int // entries whose age is known
	recent int // of them, those that are no older than a heartbeat
}

// allLate reports whether no entry is recent: the store delays all writes.
func (a *entryAges) allLate() bool { return a != nil && a.known > 0 && a.recent == 0 }

// add counts a target's entry, if its age is known.
func (a *entryAges) add(t *target) {
	if !t.listed || t.ClockMS <= 0 || t.clockMS == 0 || !t.entryIsCurrent() {
		return
	}
	a.known++
	if t.entryAge(t.entry.latest) <= t.entry.heartbeat {
		a.recent++
	}
}

// countEntryAges counts the entries of the current list by age.
func (m *Machine) countEntryAges() {
	m.entryAges = entryAges{}
	for _, t := range m.sortedTargets {
		m.entryAges.add(t)
	}
}

// entryRead records that the list showed an entry of the target. The list was read as of a time, and the
// one before it as of another.
func (m *Machine) entryRead(t *target, l roster.Target, asOf, before time.Time) {
	if t.entry.first.IsZero() || l.ClockMS != t.ClockMS || l.StartedAt != t.Target.StartedAt {
		t.entry.first, t.entry.before = asOf, before
	}
	t.entry.latest, t.entry.heartbeat, t.entry.list = asOf, m.bounds.Heartbeat, &m.entryAges
}

// entryIsStale reports whether the target's entry is too old for starts.
func (t *target) entryIsStale() bool {
	e := t.entry
	if e.heartbeat == 0 || t.ClockMS <= 0 {
		return false
	}
	if e.list.allLate() && e.latest.Sub(e.before) <= maxReadGap*e.heartbeat {
		return false
	}
	limit := time.Duration(staleAfter * float64(e.heartbeat))
	return max(e.latest.Sub(e.first), t.entryAge(e.latest)) > limit
}

// entryAge returns how old the target's entry is at least at a time, by the target's clock; 0: not known.
func (t *target) entryAge(at time.Time) time.Duration {
	if t.ClockMS <= 0 || t.clockMS == 0 || !t.entryIsCurrent() {
		return 0
	}
	shown := t.estimatedClock(at)
	if at.Before(t.clockAt) { // a slow clock has advanced less since
		shown = t.clockMS - t.clockAt.Sub(at).Milliseconds()
	}
	return max(time.Duration(shown-t.ClockMS)*time.Millisecond, 0)
}

// entryExpiry returns when the target's entry is too old for starts; zero: never. It is not newer than the
// first read that showed it, and its clock tells how much older. In a store that delays all writes, it counts
// from the read before.
func (t *target) entryExpiry() time.Time {
	e := t.entry
	if e.heartbeat == 0 || t.ClockMS <= 0 {
		return time.Time{}
	}
	written := e.latest.Add(-t.entryAge(e.latest))
	if written.After(e.first) {
		written = e.first
	}
	if e.list.allLate() {
		written = later(written, e.before)
	}
	return written.Add(maxEntryAge * e.heartbeat)
}

// entryExpired reports whether the target's entry is too old for starts by now, or is about to be.
func (t *target) entryExpired(now time.Time) bool {
	expiry := t.entryExpiry()
	return !expiry.IsZero() && expiry.Sub(now) < minStartValidity
}

// countStale counts the listed targets whose entries are stale, and logs the number if it has changed.
func (m *Machine) countStale() {
	stale, listed := 0, 0
	for _, t := range m.sortedTargets {
		if t.listed {
			listed++
			if t.entryIsStale() {
				stale++
			}
		}
	}
	if stale != m.staleTargets {
		m.log.Decided("targets with stale entries", "targets", stale, "before", m.staleTargets, "listed", listed)
	}
	m.staleTargets = stale
}
