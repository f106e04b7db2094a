package rows

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/platform/store"
)

// Faults are the faults that a link injects.
type Faults struct {
	Refuse       bool          // every call is refused and has no effect
	Unresponsive bool          // no call is answered or has an effect
	SilentWrites bool          // no write is answered or has an effect
	Latency      time.Duration // added to each call
	LostAnswers  float64       // share of the writes that take effect and are not answered
	LateWrites   float64       // share of the writes that are not answered and take effect LateBy later
	LateBy       time.Duration
}

// Link is one host's connection to a table.
type Link struct {
	table  *Table
	rnd    *rand.Rand
	mu     sync.Mutex
	faults Faults
	calls  int
}

// NewLink returns a link without faults. rnd is used under the link's lock.
func NewLink(t *Table, rnd *rand.Rand) *Link { return &Link{table: t, rnd: rnd} }

// SetFaults replaces the injected faults.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Calls returns the number of calls made.
func (l *Link) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// draw counts a call and returns the faults and two random numbers in [0, 1).
func (l *Link) draw() (Faults, float64, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	return l.faults, l.rnd.Float64(), l.rnd.Float64()
}

// applyFaults waits for the latency and returns the error that the faults cause, if any.
// On an unresponsive link it waits until the context ends.
func (l *Link) applyFaults(ctx context.Context, f Faults) error {
	if f.Refuse {
		return fmt.Errorf("stand-in link: %w", store.ErrUnavailable)
	}
	if f.Unresponsive {
		<-ctx.Done()
		return fmt.Errorf("stand-in link: %w: %w", store.ErrOutcomeUnknown, ctx.Err())
	}
	if err := sleep(ctx, f.Latency); err != nil {
		return fmt.Errorf("stand-in link: %w: %w", store.ErrOutcomeUnknown, err)
	}
	return nil
}

var errLost = errors.New("connection lost")

// Commit implements store.Store.
func (l *Link) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	f, lose, late := l.draw()
	if err := l.applyFaults(ctx, f); err != nil {
		return store.Result{}, err
	}
	if f.SilentWrites {
		<-ctx.Done()
		return store.Result{}, fmt.Errorf("stand-in link: %w: %w", store.ErrOutcomeUnknown, ctx.Err())
	}
	if late < f.LateWrites {
		time.AfterFunc(f.LateBy, func() { _, _ = l.table.commit(tx) }) // the answer is lost
		return store.Result{}, fmt.Errorf("stand-in link: %w: %w", store.ErrOutcomeUnknown, errLost)
	}
	res, err := l.table.Commit(ctx, tx)
	if lose < f.LostAnswers && !errors.Is(err, store.ErrUnavailable) {
		return store.Result{}, fmt.Errorf("stand-in link: %w: %w", store.ErrOutcomeUnknown, errLost)
	}
	return res, err
}

// Read implements store.Store.
func (l *Link) Read(ctx context.Context, r store.Range) (store.Page, error) {
	f, _, _ := l.draw()
	if err := l.applyFaults(ctx, f); err != nil {
		return store.Page{}, err
	}
	return l.table.Read(ctx, r)
}

// Changes implements store.Store.
func (l *Link) Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	f, _, _ := l.draw()
	if err := l.applyFaults(ctx, f); err != nil {
		return store.Page{}, err
	}
	return l.table.Changes(ctx, table, after, wait)
}
