package retry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Defaults of a caller.
const (
	FirstWait   = 50 * time.Millisecond // mean wait before the first retry
	LongestWait = 5 * time.Second       // mean wait that is not exceeded
	MaxTries    = 8                     // of one call, the first one included
)

// Errors of a call that was given up. They are wrapped with the peer, together
// with the error of the last try.
var (
	// ErrBudget says that the retries to the peer are used up for now.
	ErrBudget = errors.New("retry budget is spent")
	// ErrDeadline says that the next try would begin after the deadline.
	ErrDeadline = errors.New("no time left for another try")
	// ErrTries says that the call was tried as often as it may be.
	ErrTries = errors.New("tried too often")
	// ErrOpen says that the peer keeps failing and was not called.
	ErrOpen = errors.New("circuit is open")
)

// Permanent marks an error that another try would not mend.
func Permanent(err error) error {
	if err == nil {
		return nil
	}
	return backoff.Permanent(err)
}

// LaterError is a peer's refusal that says when to come back.
type LaterError struct {
	At  time.Time
	Err error
}

// Error gives the refusal and the time.
func (e *LaterError) Error() string {
	return fmt.Sprintf("%v, come back at %s", e.Err, e.At.Format(time.RFC3339Nano))
}

// Unwrap returns the refusal.
func (e *LaterError) Unwrap() error { return e.Err }

// Caller tries calls again. It is safe for use by several goroutines.
type Caller struct {
	first, longest time.Duration
	tries          int
	share          float64 // retries per first try
	burst          float64 // retries that may be saved up
	trip           uint32  // failures in a row that open a circuit
	rest           time.Duration

	mu    sync.Mutex
	peers map[string]*peer
}

// Option sets a property of a new caller.
type Option func(*Caller)

// WithWaits sets the mean wait before the first retry and the longest one.
func WithWaits(first, longest time.Duration) Option {
	return func(c *Caller) { c.first, c.longest = first, longest }
}

// WithTries sets how often one call is tried at most.
func WithTries(n int) Option { return func(c *Caller) { c.tries = n } }

// WithBudget sets how many retries there may be per first try, and how many may
// be saved up for a peer.
func WithBudget(share, burst float64) Option {
	return func(c *Caller) { c.share, c.burst = share, burst }
}

// WithCircuit sets how many failures in a row open a peer's circuit and how
// long it stays open before one call is let through.
func WithCircuit(failures int, rest time.Duration) Option {
	return func(c *Caller) { c.trip, c.rest = uint32(failures), rest }
}

// New returns a caller.
func New(opts ...Option) *Caller {
	c := &Caller{
		first: FirstWait, longest: LongestWait, tries: MaxTries, share: Share, burst: Burst,
		trip: Failures, rest: Rest, peers: map[string]*peer{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Do calls op until it succeeds, fails for good, or is given up. The error then
// wraps the reason (ErrBudget, ErrDeadline, ErrTries, ErrOpen or the context's)
// and the error of the last try. Op must be idempotent, and is given the
// caller's context with its deadline.
func (c *Caller) Do(ctx context.Context, peer string, op func(ctx context.Context) error) error {
	p := c.peer(peer)
	p.firstTry()
	plan := &plan{ctx: ctx, caller: c, peer: p, waits: c.waits()}
	try := func() (struct{}, error) {
		plan.tries++
		plan.last = p.call(func() error { return op(ctx) })
		return struct{}{}, plan.last
	}
	_, err := backoff.Retry(ctx, try, backoff.WithBackOff(plan), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return nil
	}
	var permanent *backoff.PermanentError
	if errors.As(plan.last, &permanent) {
		return fmt.Errorf("call %s: %w", peer, permanent.Unwrap())
	}
	reason := plan.reason
	if reason == nil {
		reason = err // the context ended
	}
	if errors.Is(plan.last, reason) {
		return fmt.Errorf("call %s, try %d: %w", peer, plan.tries, plan.last)
	}
	return fmt.Errorf("call %s, try %d: %w: %w", peer, plan.tries, reason, plan.last)
}

func (c *Caller) waits() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval, b.Multiplier = c.first, c.longest, 2
	return b
}

// plan decides after each failed try whether there is another and when.
type plan struct {
	ctx    context.Context
	caller *Caller
	peer   *peer
	waits  *backoff.ExponentialBackOff
	tries  int
	last   error // of the newest try
	reason error // why there is no other try
}

// Reset implements backoff.BackOff.
func (p *plan) Reset() { p.waits.Reset() }

// NextBackOff implements backoff.BackOff. Giving up before the wait instead of
// after it is what gives the caller its final answer at once.
func (p *plan) NextBackOff() time.Duration {
	if errors.Is(p.last, ErrOpen) {
		return p.giveUp(ErrOpen)
	}
	if p.tries >= p.caller.tries {
		return p.giveUp(ErrTries)
	}
	wait := p.waits.NextBackOff()
	var later *LaterError
	if errors.As(p.last, &later) {
		wait = max(wait, time.Until(later.At))
	}
	if until, ok := p.ctx.Deadline(); ok && time.Until(until) <= wait {
		return p.giveUp(ErrDeadline)
	}
	if !p.peer.retry() {
		return p.giveUp(ErrBudget)
	}
	return wait
}

func (p *plan) giveUp(reason error) time.Duration {
	p.reason = reason
	return backoff.Stop
}
