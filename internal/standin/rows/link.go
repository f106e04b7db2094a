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

// Trouble is what is wrong with a link.
type Trouble struct {
	Refuse bool          // every call is refused; nothing is done
	Silent bool          // no call is answered; nothing is done
	Slow   time.Duration // added to each call
	Lose   float64       // share of the writes that are done and not answered
	Late   float64       // share of the writes that are not answered and done later
	LateBy time.Duration // how much later
}

// Link is one host's way to a table.
type Link struct {
	table *Table
	rnd   *rand.Rand
	mu    sync.Mutex
	wrong Trouble
	calls int
}

// NewLink returns a link without trouble. rnd is used under the link's lock.
func NewLink(t *Table, rnd *rand.Rand) *Link { return &Link{table: t, rnd: rnd} }

// Set changes what is wrong with the link.
func (l *Link) Set(t Trouble) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong = t
}

// Calls returns how many calls were made.
func (l *Link) Calls() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// draw returns what is wrong, and two draws between 0 and 1.
func (l *Link) draw() (Trouble, float64, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	return l.wrong, l.rnd.Float64(), l.rnd.Float64()
}

// pass waits as the link's trouble wants and returns its error, if any.
func (l *Link) pass(ctx context.Context, t Trouble) error {
	if t.Refuse {
		return fmt.Errorf("stand-in link: %w", store.ErrUnavailable)
	}
	if t.Silent {
		<-ctx.Done()
		return fmt.Errorf("stand-in link: %w: %w", store.ErrOutcomeUnknown, ctx.Err())
	}
	if err := sleep(ctx, t.Slow); err != nil {
		return fmt.Errorf("stand-in link: %w: %w", store.ErrOutcomeUnknown, err)
	}
	return nil
}

var errLost = errors.New("connection lost")

// Commit implements store.Store.
func (l *Link) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	t, lose, late := l.draw()
	if err := l.pass(ctx, t); err != nil {
		return store.Result{}, err
	}
	if late < t.Late {
		time.AfterFunc(t.LateBy, func() { _, _ = l.table.commit(tx) }) // its answer is lost
		return store.Result{}, fmt.Errorf("stand-in link: %w: %w", store.ErrOutcomeUnknown, errLost)
	}
	res, err := l.table.Commit(ctx, tx)
	if lose < t.Lose && !errors.Is(err, store.ErrUnavailable) {
		return store.Result{}, fmt.Errorf("stand-in link: %w: %w", store.ErrOutcomeUnknown, errLost)
	}
	return res, err
}

// Read implements store.Store.
func (l *Link) Read(ctx context.Context, r store.Range) (store.Page, error) {
	t, _, _ := l.draw()
	if err := l.pass(ctx, t); err != nil {
		return store.Page{}, err
	}
	return l.table.Read(ctx, r)
}

// Changes implements store.Store.
func (l *Link) Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	t, _, _ := l.draw()
	if err := l.pass(ctx, t); err != nil {
		return store.Page{}, err
	}
	return l.table.Changes(ctx, table, after, wait)
}
