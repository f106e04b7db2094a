package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/platform/store"
)

// Delays and thresholds of writing a row.
const (
	// minOverdue is the shortest time after which a call without an answer is overdue: ten
	// times the usual latency.
	minOverdue = 120 * time.Millisecond
	// overdueFactor is how many times the current latency a call takes until it is overdue,
	// if that is longer than minOverdue.
	overdueFactor = 3
	// retryDelay is the time between a failed call and the next.
	retryDelay = 100 * time.Millisecond
	// slowStoreLatency is the latency from which the store counts as slow: writes queue
	// there, and a repeated write would keep others from being made at all.
	slowStoreLatency = 60 * time.Millisecond
)

// overdue returns the time after which a call without an answer is overdue.
func (e *Entry) overdue() time.Duration {
	return max(minOverdue, overdueFactor*e.store.TypicalLatency())
}

// pendingWrite is a transaction that can take effect only once and whose outcome is not
// known yet.
type pendingWrite struct {
	entry          *Entry
	tx             store.Tx
	answers        chan error
	outstanding    int  // calls without an answer yet
	mayHaveApplied bool // a call may have taken effect, or may still do so
	lastErr        error
}

// commitOnce commits a transaction that puts one row and expects it to be missing, and
// repeats it until the outcome is known. again reports that the row was certainly there
// before. The error wraps ErrNotAccepted, at once if the store is down, or ErrOutcomeUnknown
// after the context's time, or after storeCallTimeout if the store is not slow.
//
// With a store that applies writes and loses the answers, each client would wait for a
// timeout. So the row of an overdue call is read; if it is not there, the call is
// repeated, unless the store is slow. As the transaction expects no row, only one call
// takes effect, and a conflict shows that one has.
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
			if settled, again, err := w.handleAnswer(err); settled {
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

// commit starts a call that commits the transaction.
func (w *pendingWrite) commit(ctx context.Context) {
	w.outstanding++
	go func() {
		_, err := w.entry.store.Commit(ctx, w.tx)
		w.answer(ctx, err)
	}()
}

// checkRow reads the row of an overdue call, and repeats the call if the row is not there
// and the store is not slow.
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
			err = fmt.Errorf("%w: commit overdue, row not there yet", store.ErrOutcomeUnknown)
		}
		w.answer(ctx, err)
	}()
}

func (w *pendingWrite) answer(ctx context.Context, err error) {
	select {
	case w.answers <- err:
	case <-ctx.Done(): // the outcome is waited for no longer
	}
}

// handleAnswer records the answer of a call, and reports whether the outcome is settled. If
// so, again and result are those of commitOnce.
func (w *pendingWrite) handleAnswer(err error) (settled, again bool, result error) {
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
