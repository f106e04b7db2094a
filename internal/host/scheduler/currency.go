package scheduler

import (
	"context"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/host/boottime"
)

// Figures of a configuration whose age is not known.
const (
	// knownFor is how long after the store confirmed it a configuration counts as
	// the newest. On a calm day the store does so every 600 ms, a slow one within a
	// second.
	knownFor = 1500 * time.Millisecond
	// confirmTime is how long a request waits at the most for the store to confirm
	// the configuration: a host that wakes reads it within a few milliseconds, or
	// within feedPause and a round trip.
	confirmTime = 250 * time.Millisecond
)

// currency knows when the configuration was last confirmed to be the newest. A host
// whose process stood still for seconds does not know what changed meanwhile: of the
// requests that waited for it, those that it handled before it had read the new
// configuration were served by the old one, with keys and queues that are gone, and
// others already by the new one.
type currency struct {
	clock boottime.Clock
	mu    sync.Mutex
	at    time.Time     // when the store answered last
	again chan struct{} // closed when it answers next
}

func newCurrency(c boottime.Clock) *currency {
	return &currency{clock: c, at: c(), again: make(chan struct{})}
}

// confirm notes that the store has just told of every change.
func (c *currency) confirm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.clock()
	close(c.again)
	c.again = make(chan struct{})
}

// await waits until the configuration is confirmed, if that was long ago, but not
// longer than confirmTime: a request is then served by what is known.
func (c *currency) await(ctx context.Context) {
	c.mu.Lock()
	known, again := c.clock().Sub(c.at) < knownFor, c.again
	c.mu.Unlock()
	if known {
		return
	}
	select {
	case <-again:
	case <-ctx.Done():
	case <-time.After(confirmTime):
	}
}
