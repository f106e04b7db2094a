package scheduler

import (
	"context"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/host/boottime"
)

const (
	// freshSlack is how long, beyond the wait of the feed, a configuration counts as the
	// newest after the store confirmed it. A slow store does so within 400 ms of the wait.
	freshSlack = 900 * time.Millisecond
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
	validFor    time.Duration // how long a configuration counts as the newest
	mu          sync.Mutex
	confirmedAt time.Time     // when the store last confirmed it
	confirmed   chan struct{} // closed at the next confirmation
}

// newFreshness returns a freshness that counts as just confirmed.
func newFreshness(c boottime.Clock, feedWait time.Duration) *freshness {
	return &freshness{clock: c, validFor: feedWait + freshSlack, confirmedAt: c(), confirmed: make(chan struct{})}
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
	fresh, confirmed := f.clock().Sub(f.confirmedAt) < f.validFor, f.confirmed
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
