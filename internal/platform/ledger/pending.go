package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Defaults of what is kept in memory while the platform is down.
const (
	MaxPending      = 8192     // jobs and outcomes
	MaxPendingBytes = 32 << 20 // of their inputs and answers
	pendingTime     = 5 * time.Second
)

// Pending keeps the jobs and outcomes that could not be written yet, in the
// order in which they came. It is bounded: what does not fit is refused, and
// its caller is told. It is safe for use by several goroutines.
type Pending struct {
	ledger   *Ledger
	maxItems int
	maxBytes int
	dropped  func(j job.Job, err error)

	catching sync.Mutex // held by the one that catches up
	mu       sync.Mutex
	items    []item
	bytes    int
	admits   map[job.ID]bool // jobs that wait to be admitted
}

// item is a job to be admitted or, with an outcome, to be recorded.
type item struct {
	job     job.Job
	outcome *job.Outcome
}

func (i item) size() int {
	n := len(i.job.Input())
	if i.outcome != nil {
		n += i.outcome.Answer.Length()
	}
	return n
}

// PendingOption sets a property of a new Pending.
type PendingOption func(*Pending)

// WithPendingLimits sets the bounds, by default MaxPending and MaxPendingBytes.
func WithPendingLimits(items, bytes int) PendingOption {
	return func(p *Pending) { p.maxItems, p.maxBytes = items, bytes }
}

// WithDropped is told of each item that the ledger refused for good, such as an
// outcome that a newer attempt has fenced.
func WithDropped(dropped func(j job.Job, err error)) PendingOption {
	return func(p *Pending) { p.dropped = dropped }
}

// NewPending returns an empty Pending in front of a ledger.
func NewPending(l *Ledger, opts ...PendingOption) *Pending {
	p := &Pending{
		ledger: l, maxItems: MaxPending, maxBytes: MaxPendingBytes,
		dropped: func(job.Job, error) {}, admits: map[job.ID]bool{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Len returns how many items wait.
func (p *Pending) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.items)
}

// Admit keeps a job to be admitted. The same job again is no error. The error
// is an *OverloadedError if there is no room.
func (p *Pending) Admit(j job.Job) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.admits[j.ID()] {
		return nil
	}
	if err := p.add(item{job: j}); err != nil {
		return fmt.Errorf("keep job %s: %w", j.ID(), err)
	}
	p.admits[j.ID()] = true
	return nil
}

// Record keeps an outcome to be recorded. The error is an *OverloadedError if
// there is no room; the caller then keeps the outcome itself.
func (p *Pending) Record(j job.Job, o job.Outcome) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.add(item{job: j, outcome: &o}); err != nil {
		return fmt.Errorf("keep outcome of %s: %w", j.ID(), err)
	}
	return nil
}

func (p *Pending) add(i item) error {
	if len(p.items) >= p.maxItems || p.bytes+i.size() > p.maxBytes {
		return &OverloadedError{Cause: "too much waits for the platform", RetryAt: p.ledger.now().Add(pendingTime)}
	}
	p.items = append(p.items, i)
	p.bytes += i.size()
	return nil
}

// CatchUp writes what waits, in order, and returns how many items are done. It
// stops at the first one that the platform does not take, which then still
// waits, at the end of the context, or if another call is catching up. While
// this host's share of the writes is spent it waits for it.
func (p *Pending) CatchUp(ctx context.Context) (done int, err error) {
	if !p.catching.TryLock() {
		return 0, nil
	}
	defer p.catching.Unlock()
	for {
		i, ok := p.first()
		if !ok {
			return done, nil
		}
		err := p.write(ctx, i)
		var over *OverloadedError
		if errors.As(err, &over) && sleep(ctx, time.Until(over.RetryAt)) == nil {
			continue
		}
		if err != nil && !final(err) {
			return done, fmt.Errorf("catch up: %w", err)
		}
		if err != nil {
			p.dropped(i.job, err)
		}
		p.removeFirst()
		done++
	}
}

// final reports whether an error stays the same however often it is tried. All
// others leave the item where it is, so that nothing is lost to a failure that
// this package does not know.
func final(err error) bool {
	if errors.Is(err, table.ErrUnavailable) || errors.Is(err, table.ErrUnknown) {
		return false
	}
	var elsewhere *OtherZoneError
	for _, known := range []error{ErrFenced, ErrEnded, ErrOtherRequest, ErrDigest, ErrRow} {
		if errors.Is(err, known) {
			return true
		}
	}
	return errors.As(err, &elsewhere)
}

func (p *Pending) write(ctx context.Context, i item) error {
	ctx, cancel := context.WithTimeout(ctx, pendingTime)
	defer cancel()
	if i.outcome == nil {
		return p.ledger.Admit(ctx, i.job)
	}
	return p.ledger.Record(ctx, i.job, *i.outcome)
}

func (p *Pending) first() (item, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.items) == 0 {
		return item{}, false
	}
	return p.items[0], true
}

func (p *Pending) removeFirst() {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.items[0]
	p.items[0] = item{}
	p.items = p.items[1:]
	p.bytes -= i.size()
	if i.outcome == nil {
		delete(p.admits, i.job.ID())
	}
}
