package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/platform/budget"
	"guavaglade.example/guavaglade/internal/platform/table"
)

// Defaults of a group.
const (
	Linger    = 3 * time.Millisecond // for which a write waits for others
	MaxWrites = 64                   // sent at once
	MaxQueue  = 1024                 // writes that wait, beyond which they are refused
	MaxSends  = 4                    // groups on their way at once
	sendTime  = 10 * time.Second     // for callers without a deadline
)

// ErrOverloaded says that a call was refused before anything was sent, because
// this host asks more of the platform than its share.
var ErrOverloaded = errors.New("overloaded")

// OverloadedError is an ErrOverloaded with the time to come back. It is also a
// table.ErrUnavailable: the write did not take effect.
type OverloadedError struct {
	RetryAt time.Time
	Cause   string
}

// Error gives the cause and the time.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("%v: %s, come back at %s", ErrOverloaded, e.Cause, e.RetryAt.Format(time.RFC3339Nano))
}

// Unwrap returns ErrOverloaded and table.ErrUnavailable.
func (e *OverloadedError) Unwrap() []error { return []error{ErrOverloaded, table.ErrUnavailable} }

// Group is a table that gathers the writes of many callers for a few
// milliseconds, or until there are enough, and sends them as one. It keeps this
// host within its share of the platform's writes and reads. Its queue is
// bounded: what does not fit is refused at once. A Group is safe for use by
// several goroutines.
type Group struct {
	table  table.Table
	linger time.Duration
	writes *budget.Bucket // nil: no bound
	reads  *budget.Bucket // nil: no bound
	max    int            // writes sent at once
	queue  int            // writes that may wait

	mu      sync.Mutex
	waiting []*call // in the order of arrival
	queued  int     // writes in waiting
	sends   int     // groups on their way, at most MaxSends
	timed   bool    // a timer will send what waits
	held    bool    // what waits has lingered and is sent as soon as a group is back
}

// call is one caller's writes. Its fields are guarded by the group's mutex
// until done is closed.
type call struct {
	writes   []table.Write
	deadline time.Time // zero for none
	sent     bool      // on its way: may take effect
	results  []table.Result
	err      error
	done     chan struct{}
}

// GroupOption sets a property of a new group.
type GroupOption func(*Group)

// WithLinger sets for how long a write waits for others, by default Linger.
func WithLinger(d time.Duration) GroupOption { return func(g *Group) { g.linger = d } }

// WithMaxWrites sets how many writes are sent at once, by default MaxWrites.
func WithMaxWrites(n int) GroupOption { return func(g *Group) { g.max = n } }

// WithQueue sets how many writes may wait, by default MaxQueue.
func WithQueue(n int) GroupOption { return func(g *Group) { g.queue = n } }

// WithBudgets sets this host's shares of the platform's writes and reads, nil
// for no bound.
func WithBudgets(writes, reads *budget.Bucket) GroupOption {
	return func(g *Group) { g.writes, g.reads = writes, reads }
}

// NewGroup returns a group in front of a table.
func NewGroup(t table.Table, opts ...GroupOption) *Group {
	g := &Group{table: t, linger: Linger, max: MaxWrites, queue: MaxQueue}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Get implements table.Table.
func (g *Group) Get(ctx context.Context, key string) (table.Row, error) {
	if err := take(g.reads, 1); err != nil {
		return table.Row{}, fmt.Errorf("read %s: %w", key, err)
	}
	return g.table.Get(ctx, key)
}

// List implements table.Table.
func (g *Group) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := take(g.reads, 1); err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	return g.table.List(ctx, prefix, after, limit)
}

func take(b *budget.Bucket, n int) error {
	if b == nil {
		return nil
	}
	err := b.Take(n, time.Now())
	if err == nil {
		return nil
	}
	over := &OverloadedError{Cause: err.Error(), RetryAt: time.Now().Add(time.Second)}
	var spent *budget.SpentError
	if errors.As(err, &spent) {
		over.RetryAt = spent.RetryAt
	}
	return over
}

// Apply implements table.Table. The caller keeps its deadline: one that leaves
// before its writes are sent is told that they did not take effect, one that
// leaves later that it is not known.
func (g *Group) Apply(ctx context.Context, writes []table.Write) ([]table.Result, error) {
	if ctx.Err() != nil {
		return nil, fmt.Errorf("apply: %w: %w", table.ErrUnavailable, ctx.Err())
	}
	if err := take(g.writes, len(writes)); err != nil {
		return nil, fmt.Errorf("apply: %w", err)
	}
	c := &call{writes: writes, done: make(chan struct{})}
	c.deadline, _ = ctx.Deadline()
	if err := g.enqueue(c); err != nil {
		return nil, fmt.Errorf("apply: %w", err)
	}
	select {
	case <-c.done:
		return c.results, c.err
	case <-ctx.Done():
		return g.leave(c, ctx.Err())
	}
}

func (g *Group) enqueue(c *call) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queued+len(c.writes) > g.queue {
		return &OverloadedError{Cause: "write queue is full", RetryAt: time.Now().Add(time.Second)}
	}
	g.waiting = append(g.waiting, c)
	g.queued += len(c.writes)
	switch {
	case g.queued >= g.max:
		g.send()
	case !g.timed:
		g.timed = true
		time.AfterFunc(g.linger, g.lingered)
	}
	return nil
}

func (g *Group) lingered() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.timed = false
	g.send()
}

// leave takes out a call whose caller gives up.
func (g *Group) leave(c *call, cause error) ([]table.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-c.done:
		return c.results, c.err
	default:
	}
	if c.sent {
		return nil, fmt.Errorf("apply: %w: %w", table.ErrUnknown, cause)
	}
	for i, w := range g.waiting {
		if w == c {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			g.queued -= len(c.writes)
			break
		}
	}
	return nil, fmt.Errorf("apply: %w: %w", table.ErrUnavailable, cause)
}

// send starts groups for what waits, as many as may be on their way. The caller
// holds the mutex.
func (g *Group) send() {
	for len(g.waiting) > 0 && g.sends < MaxSends {
		group := g.next()
		g.sends++
		go g.carry(group)
	}
	g.held = len(g.waiting) > 0
}

// next takes out the first calls, up to max writes but at least one call.
func (g *Group) next() []*call {
	n, writes := 0, 0
	for n < len(g.waiting) && (n == 0 || writes+len(g.waiting[n].writes) <= g.max) {
		writes += len(g.waiting[n].writes)
		g.waiting[n].sent = true
		n++
	}
	group := append([]*call(nil), g.waiting[:n]...)
	g.waiting = append(g.waiting[:0], g.waiting[n:]...)
	g.queued -= writes
	return group
}

// carry sends a group and hands each call its part of the answer. The group may
// take as long as the last deadline of its callers allows; none waits for it
// beyond its own.
func (g *Group) carry(group []*call) {
	var all []table.Write
	var until time.Time
	for _, c := range group {
		all = append(all, c.writes...)
		deadline := c.deadline
		if deadline.IsZero() {
			deadline = time.Now().Add(sendTime)
		}
		if deadline.After(until) {
			until = deadline
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	results, err := g.table.Apply(ctx, all)
	cancel()
	if err == nil && len(results) != len(all) {
		err = fmt.Errorf("apply: %d results for %d writes: %w", len(results), len(all), table.ErrUnknown)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range group {
		c.err = err
		if err == nil {
			c.results, results = results[:len(c.writes):len(c.writes)], results[len(c.writes):]
		}
		close(c.done)
	}
	g.sends--
	if g.held {
		g.send()
	}
}
