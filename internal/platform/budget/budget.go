package budget

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// ErrSpent says that the host's share is used up for now; nothing was sent.
var ErrSpent = errors.New("share of the platform's budget is spent")

// SpentError is an ErrSpent with the time to come back.
type SpentError struct {
	Of      string    // what the budget is of, such as writes
	RetryAt time.Time // when the same request would pass if nobody else asks
}

// Error names the budget and the time.
func (e *SpentError) Error() string {
	return fmt.Sprintf("%s: %v, come back at %s", e.Of, ErrSpent, e.RetryAt.Format(time.RFC3339Nano))
}

// Unwrap returns ErrSpent.
func (e *SpentError) Unwrap() error { return ErrSpent }

// MinBurst is the least burst of a share, so that a group of a few writes can
// pass however many hosts share the budget.
const MinBurst = 8

// Bucket is one host's share of a budget. It is safe for use by several
// goroutines.
type Bucket struct {
	of    string
	total float64 // tokens a second, of all hosts together
	burst float64 // seconds' worth of the share that may be taken at once

	mu     sync.Mutex
	hosts  int // that share the budget
	bucket *rate.Limiter
}

// New returns the bucket of a host that has the whole budget for itself until
// Share is called. It refuses a rate that is not above 0 and a burst that is
// not above 0; the burst is in seconds' worth of the share.
func New(of string, total, burst float64) (*Bucket, error) {
	if !(total > 0) || !(burst > 0) || math.IsInf(total, 0) || math.IsInf(burst, 0) {
		return nil, fmt.Errorf("budget of %s: %g a second, burst of %g s: both must be above 0", of, total, burst)
	}
	b := &Bucket{of: of, total: total, burst: burst, hosts: 1}
	b.bucket = rate.NewLimiter(rate.Limit(total), b.burstOf(total))
	return b, nil
}

func (b *Bucket) burstOf(share float64) int {
	return max(MinBurst, int(share*b.burst))
}

// Share divides the budget by the hosts that may be using the platform; fewer
// than 1 counts as 1.
func (b *Bucket) Share(hosts int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hosts = max(hosts, 1)
	if hosts == b.hosts {
		return
	}
	b.hosts = hosts
	share := b.total / float64(hosts)
	b.bucket.SetLimitAt(now, rate.Limit(share))
	b.bucket.SetBurstAt(now, b.burstOf(share))
}

// Rate returns the host's share in tokens a second.
func (b *Bucket) Rate() float64 { return float64(b.bucket.Limit()) }

// Burst returns how many tokens can be taken at once.
func (b *Bucket) Burst() int { return b.bucket.Burst() }

// Take takes n tokens, all or none. The error is a *SpentError if there are too
// few now; n above Burst can never pass, and the error then wraps ErrSpent only.
func (b *Bucket) Take(n int, now time.Time) error {
	r := b.bucket.ReserveN(now, n)
	if !r.OK() {
		return fmt.Errorf("%s: %d at once, at most %d: %w", b.of, n, b.Burst(), ErrSpent)
	}
	wait := r.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	r.CancelAt(now)
	return &SpentError{Of: b.of, RetryAt: now.Add(wait)}
}

// Wait takes n tokens as soon as there are enough, for work that is in no
// hurry. If the context's deadline comes first it returns at once with an error
// that wraps ErrSpent.
func (b *Bucket) Wait(ctx context.Context, n int) error {
	if err := b.bucket.WaitN(ctx, n); err != nil {
		return fmt.Errorf("%s: %w: %w", b.of, ErrSpent, err)
	}
	return nil
}
