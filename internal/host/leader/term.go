package leader

import (
	"maps"
	"sync"
	"time"
)

// Term is a term of leadership that this host holds or held.
type Term struct {
	number    int64
	done      chan struct{} // closed when the term ends
	beganAt   time.Time
	mu        sync.Mutex
	renewedAt time.Time           // when the last successful write of the row was sent
	attempts  map[int64]time.Time // when each later write was sent, by its heartbeat
}

// NewTerm returns a term that began with a write of the leader row sent at the
// given time.
func NewTerm(number int64, sent time.Time) *Term {
	return &Term{number: number, beganAt: sent, renewedAt: sent, done: make(chan struct{}), attempts: map[int64]time.Time{}}
}

// Number returns the number of the term, which is the fencing token of its orders.
func (t *Term) Number() int64 { return t.number }

// Done returns a channel that is closed when the term ends.
func (t *Term) Done() <-chan struct{} { return t.done }

// Deadline returns when the leader must cease to send orders unless it renews the row before:
// Grace after the last renewal. The leases that it grants end by then as well.
func (t *Term) Deadline() time.Time { return t.lastRenewal().Add(Grace) }

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
	t.renewedAt = sent
	maps.DeleteFunc(t.attempts, func(h int64, _ time.Time) bool { return h <= heartbeat })
}

// olderThan reports whether the term began more than a time ago.
func (t *Term) olderThan(d time.Duration, now time.Time) bool { return now.Sub(t.beganAt) > d }
