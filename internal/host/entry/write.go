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
	// leastOverdue is after how long a call without an answer counts as overdue at the
	// least: ten times what one takes on an ordinary day.
	leastOverdue = 120 * time.Millisecond
	// overdueFactor is how many times what calls take lately that is.
	overdueFactor = 3
	// retryWait is the time between a call that failed and the next.
	retryWait = 100 * time.Millisecond
	// slowStore is what calls take to a store that is slow: writes wait for each
	// other there, and one that is made again keeps others from being made at all.
	slowStore = 60 * time.Millisecond
)

// overdue returns after how long a call without an answer counts as overdue.
func (e *Entry) overdue() time.Duration {
	return max(leastOverdue, overdueFactor*e.store.Usual())
}

// writing is a transaction that can take effect only once, on its way.
type writing struct {
	entry     *Entry
	tx        store.Tx
	answers   chan error
	awaited   int  // calls without an answer yet
	unsettled bool // a call may have taken effect, or still take it
	last      error
}

// putNew makes a transaction that can take effect only once, until it is known
// whether it did. again tells that an earlier one has.
//
// A store that takes writes and loses their answers would have each client wait for
// a time-out. While a call is overdue, its row is looked for; if it is not there, the
// call is made again, unless the store is slow: as the rows must not be there yet,
// only one of them takes effect, and a conflict says that one has.
func (e *Entry) putNew(ctx context.Context, tx store.Tx) (again bool, err error) {
	if !e.store.Up() {
		return false, fmt.Errorf("%w: %w", ErrNotAccepted, errDown)
	}
	if !e.storeSlow() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, callTime)
		defer cancel()
	}
	w := &writing{entry: e, tx: tx, answers: make(chan error)}
	w.call(ctx)
	next := time.After(e.overdue())
	for {
		select {
		case err := <-w.answers:
			if over, again, err := w.take(err); over {
				return again, err
			}
			next = time.After(retryWait)
		case <-next:
			if w.awaited > 0 {
				w.unsettled = true
				w.look(ctx)
			} else {
				w.call(ctx)
			}
			next = time.After(e.overdue())
		case <-ctx.Done():
			return false, fmt.Errorf("%w: %w", ErrNotKnown, errors.Join(w.last, ctx.Err()))
		}
	}
}

// call makes the transaction once more.
func (w *writing) call(ctx context.Context) {
	w.awaited++
	go func() {
		_, err := w.entry.store.Commit(ctx, w.tx)
		w.answer(ctx, err)
	}()
}

// look looks for the row of a call that is overdue, and makes the call once more if
// it is not there.
func (w *writing) look(ctx context.Context) {
	w.awaited++
	go func() {
		row, err := store.Get(ctx, w.entry.store, w.tx.Put[0].Key)
		switch {
		case err == nil && row.Version > 0:
			err = store.ErrConflict
		case err == nil && !w.entry.storeSlow():
			_, err = w.entry.store.Commit(ctx, w.tx)
		case err == nil:
			err = fmt.Errorf("%w: overdue, and not there yet", store.ErrUnknown)
		}
		w.answer(ctx, err)
	}()
}

func (w *writing) answer(ctx context.Context, err error) {
	select {
	case w.answers <- err:
	case <-ctx.Done(): // nobody waits any more
	}
}

// take takes in an answer, and tells whether it settles the matter.
func (w *writing) take(err error) (over, again bool, result error) {
	w.awaited--
	w.last = err
	switch {
	case err == nil:
		return true, false, nil
	case errors.Is(err, store.ErrConflict):
		return true, !w.unsettled, nil
	case errors.Is(err, store.ErrUnavailable) && !w.unsettled:
		return true, false, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	w.unsettled = true
	return false, false, nil
}
