package leader

import (
	"maps"
	"sync"
	"time"
)

// Term is a term of leadership that this host holds or held.
type Term struct {
	number      int64
	done        chan struct{} // closed when the term ends
	beganAt     time.Time
	acting      time.Duration // for which it may act without the store or a word from its watchers
	earlierEnd  time.Time     // when the leases of earlier leaders end
	mu          sync.Mutex
	renewedAt   time.Time           // when the last successful write of the row was sent
	renewedBeat int64               // heartbeat of that write
	attempts    map[int64]time.Time // when each later write was sent, by its heartbeat
	watchers    map[string]watcher  // by address
	answeredAt  time.Time           // an answer that was sent then or later has arrived at each watcher
}

// watcher is what a leader knows of a host that watches it.
type watcher struct {
	heardAt    time.Time
	answeredAt time.Time // an answer that was sent then has arrived there; zero: none is known to have
}

// watchMemory is for how much longer than it may act without the store a leader remembers a host. A host
// whose watch it has answered within that time knows that the leader awaits it.
const watchMemory = 2 * time.Second

// newTermBeats is the heartbeat up to which a row is that of a new term, which not all hosts may watch yet. Its
// leader does not act for longer on their word.
const newTermBeats = 4

// NewTerm returns a term that began with a write of the leader row sent at the
// given time. Its leader may act for Grace without the store.
func NewTerm(number int64, sent time.Time) *Term {
	return &Term{
		number: number, beganAt: sent, renewedAt: sent, acting: Grace, done: make(chan struct{}), attempts: map[int64]time.Time{},
		watchers: map[string]watcher{},
	}
}

// Number returns the number of the term, which is the fencing token of its orders.
func (t *Term) Number() int64 { return t.number }

// Done returns a channel that is closed when the term ends.
func (t *Term) Done() <-chan struct{} { return t.done }

// Deadline returns when the leader must cease to send orders unless it renews the row before. The
// leases that it grants end by then as well. Any host may have taken the row over, and awaits leases for as
// long as they last after it last saw a renewal, or after an answer of this leader has arrived. So this is as long
// after the last renewal, or after an answer that is known to have arrived at each watcher, but at most
// Grace after the renewal.
func (t *Term) Deadline() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.deadline()
}

// deadline is Deadline for callers that hold t.mu.
func (t *Term) deadline() time.Time {
	end, latest := later(t.renewedAt, t.answeredAt).Add(t.acting), t.renewedAt.Add(Grace)
	if end.After(latest) {
		return latest
	}
	return end
}

// watched records that a host watches the leader, and that an answer which was sent at a time has arrived there;
// zero: none is known to have.
func (t *Term) watched(host string, answeredAt, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watchers[host] = watcher{heardAt: now, answeredAt: later(t.watchers[host].answeredAt, answeredAt)}
	switch {
	case now.Sub(t.renewedAt) < 2*RenewInterval: // the row is renewed, nothing else matters
		return
	case t.renewedBeat <= newTermBeats || !now.Before(t.deadline()): // after its end others may act
		return
	}
	t.forgetSilent(now)
	oldest := now
	for _, w := range t.watchers {
		if w.answeredAt.Before(oldest) {
			oldest = w.answeredAt
		}
	}
	t.answeredAt = later(t.answeredAt, oldest)
}

// forgetSilent forgets hosts that the leader need not await any more. The caller holds t.mu.
func (t *Term) forgetSilent(now time.Time) {
	maps.DeleteFunc(t.watchers, func(_ string, w watcher) bool { return now.Sub(w.heardAt) > t.acting+watchMemory })
}

// leases returns Row.Leases of a row that is written at a time.
func (t *Term) leases(now time.Time) int64 {
	return max(t.acting, t.earlierEnd.Sub(now)).Milliseconds() + 1 // rounded up
}

// Valid reports whether the leader may still send orders.
func (t *Term) Valid(now time.Time) bool { return now.Before(t.Deadline()) }

// LeaseHeld reports whether the row was written recently enough that no other host
// can have taken it over.
func (t *Term) LeaseHeld(now time.Time) bool { return now.Sub(t.lastRenewal()) < Lease }

func (t *Term) lastRenewal() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.renewedAt
}

// attempted records that a write of the row with a heartbeat is sent.
func (t *Term) attempted(heartbeat int64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts[heartbeat] = at
}

// renewed records that the row holds what was written with a heartbeat. It does nothing if that is
// known already.
func (t *Term) renewed(heartbeat int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, ok := t.attempts[heartbeat]
	if !ok {
		return
	}
	t.renewedAt, t.renewedBeat = sent, heartbeat
	maps.DeleteFunc(t.attempts, func(h int64, _ time.Time) bool { return h <= heartbeat })
	t.forgetSilent(sent)
}

// olderThan reports whether the term began more than a time ago.
func (t *Term) olderThan(d time.Duration, now time.Time) bool { return now.Sub(t.beganAt) > d }
