package member

import (
	"fmt"
	"time"
)

// State is how alive a host is taken to be.
type State int

// The states of a host.
const (
	Alive   State = iota // its heartbeats come
	Suspect              // silent: gets no duty, may still act
	Dead                 // silent for long, or its silence is confirmed
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	default:
		return fmt.Sprintf("State(%d)", int(s))
	}
}

// windows returns the silences after which a host is suspect, dead, and dead if
// a second source confirms the silence.
func (t *Table) windows(e *entry) (suspect, dead, confirmed time.Duration) {
	if e.Zone == t.self.Zone {
		return SuspectAfter, DeadAfter, 2 * BeatEvery
	}
	return ForeignSuspectAfter, ForeignDeadAfter, RefreshEvery + CrossEvery
}

// state returns how alive a peer is taken to be. A second source, the platform's
// list or a failed send, hastens the end of a host that is silent already. It
// never ends one whose heartbeats come, for the list lags, and it never revives
// one, for the list shows a killed host as live for a while.
func (t *Table) state(e *entry, now time.Time) State {
	silent := now.Sub(e.heard)
	suspect, dead, confirmed := t.windows(e)
	if e.unreachable && e.Zone != t.self.Zone {
		return Dead
	}
	if (e.unreachable || e.listedGone) && silent >= confirmed {
		return Dead
	}
	switch {
	case silent < suspect:
		return Alive
	case silent < dead:
		return Suspect
	default:
		return Dead
	}
}

// State returns how alive the host at an address is taken to be; ok is false
// if nothing is known of it.
func (t *Table) State(address string, now time.Time) (s State, ok bool) {
	if address == t.self.Address {
		return Alive, true
	}
	e, ok := t.peers[address]
	if !ok {
		return Dead, false
	}
	return t.state(e, now), true
}

// Unreachable notes that a host refused or broke a connection. A host of
// another zone is passed over from then on, until it is sighted again; one of
// the own zone is dead as soon as two of its heartbeats are missing.
func (t *Table) Unreachable(address string) {
	if e, ok := t.peers[address]; ok {
		e.unreachable = true
		t.forgetPicks()
	}
}

// Listed is a host of the system in the platform's lagging list.
type Listed struct {
	Address string
	Leaving bool
}

// List takes in the platform's list of the system's hosts. A list older than
// one taken before is dropped. A host is gone by the list if it is there as
// leaving, or was there and is no more; one that was never listed is not.
func (t *Table) List(hosts []Listed, asOf time.Time) {
	if asOf.Before(t.asOf) {
		return
	}
	t.asOf = asOf
	now := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		now[h.Address] = !h.Leaving
		t.listed[h.Address] = true
	}
	for address, e := range t.peers {
		e.listedGone = t.listed[address] && !now[address]
	}
	for address := range t.listed {
		if _, known := t.peers[address]; !known && !now[address] {
			delete(t.listed, address)
		}
	}
	t.forgetPicks()
}

// Stale reports whether the view must not be acted upon. After the own host was
// paused, its peers look silent only because it did not listen, and it would
// take every duty for its own; messages that waited in its sockets may tell of
// hosts that have died since. So from the first gap between two calls of
// Targets that is longer than SuspectAfter until heartbeats have had time to
// come again, the view is stale. So it is after the start if there are seeds.
func (t *Table) Stale(now time.Time) bool {
	if t.ticked.IsZero() {
		return len(t.seeds) > 0
	}
	return now.Before(t.staleUntil) || now.Sub(t.ticked) > SuspectAfter
}

// tick notes that the host is not paused.
func (t *Table) tick(now time.Time) {
	started := t.ticked.IsZero() && len(t.seeds) > 0
	paused := !t.ticked.IsZero() && now.Sub(t.ticked) > SuspectAfter
	if started || paused {
		t.staleUntil = now.Add(SuspectAfter + BeatEvery)
	}
	t.ticked = now
}

// forget drops what is known of hosts that have long been silent.
func (t *Table) forget(now time.Time) {
	for address, e := range t.peers {
		if now.Sub(e.heard) >= ForgetAfter {
			delete(t.peers, address)
			delete(t.tries, address)
			t.forgetPicks()
		}
	}
}
