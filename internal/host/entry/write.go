package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/platform/store"
)

// Figures of writing a row that is written once.
const (
	// minOverdue is after how long a call without an answer counts as overdue at the
	// least: ten times what one takes on an ordinary day.
	minOverdue = 120 * time.Millisecond
	// overdueFactor is how many times what calls take lately that is.
	overdueFactor = 3
	// retryDelay is the time between a call that failed and the next.
	retryDelay = 100 * time.Millisecond
	// slowStoreLatency is what calls take to a store that is slow: writes wait for each
	// other there, and one that is made again keeps others from being made at all.
	slowStoreLatency = 60 * time.Millisecond
)

// overdue returns after how long a call without an answer counts as overdue.
func (e *Entry) overdue() time.Duration {
	return max(minOverdue, overdueFactor*e.store.TypicalLatency())
}

// pendingWrite is a transaction that can take effect only once, on its way.
type pendingWrite struct {
	entry          *Entry
	tx             store.Tx
	answers        chan error
	outstanding    int  // calls without an answer yet
	mayHaveApplied bool // a call may have taken effect, or still take it
	lastErr        error
}

// commitOnce makes a transaction that can take effect only once, until it is known
// whether it did. again tells that an earlier one has.
//
// A store that takes writes and loses their answers would have each client wait for
// a time-out. While a call is overdue, its row is looked for; if it is not there, the
// call is made again, unless the store is slow: as the rows must not be there yet,
// only one of them takes effect, and a conflict says that one has.
func (e *Entry) commitOnce(ctx context.Context, tx store.Tx) (again bool, err error) {
	if !e.store.Up() {
		return false, fmt.Errorf("%w: %w", ErrNotAccepted, errStoreDown)
	}
	if !e.storeSlow() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, storeCallTimeout)
		defer cancel()
	}
	w := &pendingWrite{entry: e, tx: tx, answers: make(chan error)}
	w.commit(ctx)
	next := time.After(e.overdue())
	for {
		select {
		case err := <-w.answers:
			if over, again, err := w.handleAnswer(err); over {
				return again, err
			}
			next = time.After(retryDelay)
		case <-next:
			if w.outstanding > 0 {
				w.mayHaveApplied = true
				w.checkRow(ctx)
			} else {
				w.commit(ctx)
			}
			next = time.After(e.overdue())
		case <-ctx.Done():
			return false, fmt.Errorf("%w: %w", ErrOutcomeUnknown, errors.Join(w.lastErr, ctx.Err()))
		}
	}
}

// commit makes the transaction once more.
func (w *pendingWrite) commit(ctx context.Context) {
	w.outstanding++
	go func() {
		_, err := w.entry.store.Commit(ctx, w.tx)
		w.answer(ctx, err)
	}()
}

// checkRow looks for the row of a call that is overdue, and makes the call once more if
// it is not there.
func (w *pendingWrite) checkRow(ctx context.Context) {
	w.outstanding++
	go func() {
		row, err := store.Get(ctx, w.entry.store, w.tx.Put[0].Key)
		switch {
		case err == nil && row.Version > 0:
			err = store.ErrConflict
		case err == nil && !w.entry.storeSlow():
			_, err = w.entry.store.Commit(ctx, w.tx)
		case err == nil:
			err = fmt.Errorf("%w: overdue, and not there yet", store.ErrOutcomeUnknown)
		}
		w.answer(ctx, err)
	}()
}

func (w *pendingWrite) answer(ctx context.Context, err error) {
	select {
	case w.answers <- err:
	case <-ctx.Done(): // nobody waits any more
	}
}

// handleAnswer takes in an answer, and tells whether it settles the matter.
func (w *pendingWrite) handleAnswer(err error) (over, again bool, result error) {
	w.outstanding--
	w.lastErr = err
	switch {
	case err == nil:
		return true, false, nil
	case errors.Is(err, store.ErrConflict):
		return true, !w.mayHaveApplied, nil
	case errors.Is(err, store.ErrUnavailable) && !w.mayHaveApplied:
		return true, false, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	w.mayHaveApplied = true
	return false, false, nil
}
