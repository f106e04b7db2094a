package leader

import (
	"sync"
	"time"
)

// Term is a term of leadership that this host holds or held.
type Term struct {
	number    int64
	done      chan struct{} // closed when the term ends
	mu        sync.Mutex
	renewedAt time.Time // when the last successful write of the row was sent
}

// NewTerm returns a term that began with a write of the leader row sent at the
// given time.
func NewTerm(number int64, sent time.Time) *Term {
	return &Term{number: number, renewedAt: sent, done: make(chan struct{})}
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

// renewed records a successful renewal of the row that was sent at the given time.
func (t *Term) renewed(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.renewedAt = at
}
