package leader

import (
	"sync"
	"time"
)

// Term is one time of leadership of this host.
type Term struct {
	number int64
	over   chan struct{} // closed when it ends
	mu     sync.Mutex
	wrote  time.Time // when the last write that took effect was sent
}

// NewTerm returns a term that was begun by a write of the leader row that was sent
// at a time.
func NewTerm(number int64, sent time.Time) *Term {
	return &Term{number: number, wrote: sent, over: make(chan struct{})}
}

// Number returns the term, the fencing token of its orders.
func (t *Term) Number() int64 { return t.number }

// Over returns a channel that is closed when the term ends.
func (t *Term) Over() <-chan struct{} { return t.over }

// Valid reports whether the leader may still give orders.
func (t *Term) Valid(now time.Time) bool { return now.Sub(t.written()) < Grace }

// Fresh reports whether the row was written so lately that nobody can have
// taken it over.
func (t *Term) Fresh(now time.Time) bool { return now.Sub(t.written()) < Lease }

func (t *Term) written() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wrote
}

func (t *Term) write(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrote = at
}
