package scheduler

import (
	"context"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/host/boottime"
)

const (
	// freshFor is how long a configuration counts as the newest after the store
	// confirmed it. The store usually does so every 600 ms, a slow one within a second.
	freshFor = 1500 * time.Millisecond
	// maxConfirmWait bounds how long a request waits for the store to confirm the
	// configuration: a process that resumes reads it within a few milliseconds, or
	// within feedRetryPause and a round trip.
	maxConfirmWait = 250 * time.Millisecond
)

// freshness tracks when the configuration was last confirmed to be the newest. A process
// that was paused for seconds does not know what changed since. Without waiting, it
// would serve some of the requests that arrived during the pause by the old
// configuration, with keys and queues that were removed, and others by the new one.
type freshness struct {
	clock       boottime.Clock
	mu          sync.Mutex
	confirmedAt time.Time     // when the store last confirmed it
	confirmed   chan struct{} // closed at the next confirmation
}

// newFreshness returns a freshness that counts as just confirmed.
func newFreshness(c boottime.Clock) *freshness {
	return &freshness{clock: c, confirmedAt: c(), confirmed: make(chan struct{})}
}

// confirm records that the store has just returned all changes.
func (f *freshness) confirm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = f.clock()
	close(f.confirmed)
	f.confirmed = make(chan struct{})
}

// await waits until the configuration is confirmed if it is no longer fresh, for at most
// maxConfirmWait. After that a request is served by the configuration in force.
func (f *freshness) await(ctx context.Context) {
	f.mu.Lock()
	fresh, confirmed := f.clock().Sub(f.confirmedAt) < freshFor, f.confirmed
	f.mu.Unlock()
	if fresh {
		return
	}
	select {
	case <-confirmed:
	case <-ctx.Done():
	case <-time.After(maxConfirmWait):
	}
}
