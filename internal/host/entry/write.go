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
	// maxWriteTime bounds the time in which a request makes calls, however long its client waits
	// and its host was suspended. It is less than half of the time for which the cancellation of a
	// job that is not stored holds: no request outlives a cancellation that it has to meet.
	maxWriteTime = time.Minute
)

// overdue returns the time after which a call without an answer is overdue.
func (e *Entry) overdue() time.Duration {
	return max(minOverdue, overdueFactor*e.store.TypicalLatency())
}

// write is what a request has to store. Its methods may be called concurrently.
type write interface {
	// key names the row that shows whether the write has taken effect.
	key() store.Key
	// prepare returns the transaction of the next call, by what is known of the store by then.
	prepare(ctx context.Context) (store.Tx, error)
	// found reports whether the row of key, as the store has returned it, shows that the write has
	// taken effect.
	found(row store.Row) bool
	// conflict is found for the rows that a conflict has returned. The next call is made by them,
	// unless there is an error.
	conflict(rows []store.Row) (found bool, err error)
}

// settles reports whether an error settles a write: it has not taken effect, and no call for it that
// was made still can.
func settles(err error) bool {
	return errors.Is(err, ErrCancelled) || errors.Is(err, errJobChanged)
}

// errWriteTimeout is returned in place of a call that would be made maxWriteTime after the first.
var errWriteTimeout = fmt.Errorf("given up after %v", maxWriteTime)

// pendingWrite is a write that can take effect only once and whose outcome is not known yet.
type pendingWrite struct {
	entry          *Entry
	write          write
	deadline       time.Time // on the entry's clock; no call is made after it
	answers        chan callAnswer
	outstanding    int  // calls without an answer yet
	mayHaveApplied bool // a call may have taken effect, or may still do so
	lastErr        error
}

// callAnswer is what a call has shown.
type callAnswer struct {
	found bool  // the write has taken effect, by this call or another
	retry bool  // what the call expected is out of date; the next may be made at once
	err   error // nil if the call itself took effect, or with found or retry
}

// commit makes a write and repeats it until its outcome is known. again reports that the row was
// certainly there before. The error wraps ErrNotAccepted, at once if the store is down, or
// ErrOutcomeUnknown after the context's time, or after storeCallTimeout if the store is not slow and
// maxWriteTime if it is, or it is one of which settles is true.
//
// With a store that applies writes and loses the answers, each client would wait for a
// timeout. So the row of an overdue call is read; if it is not there, the call is
// repeated, unless the store is slow. As each transaction expects that no earlier one has taken
// effect, only one call does, and a conflict shows that one has.
func (e *Entry) commit(ctx context.Context, x write) (again bool, err error) {
	if !e.store.Up() {
		return false, fmt.Errorf("%w: %w", ErrNotAccepted, errStoreDown)
	}
	limit := storeCallTimeout
	if e.storeSlow() {
		limit = maxWriteTime
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	w := &pendingWrite{entry: e, write: x, deadline: e.clock().Add(maxWriteTime), answers: make(chan callAnswer)}
	w.start(ctx, w.call)
	next := time.After(e.overdue())
	for {
		select {
		case a := <-w.answers:
			if settled, again, err := w.handleAnswer(a); settled {
				return again, err
			}
			next = time.After(retryDelay)
			if a.retry {
				w.start(ctx, w.call)
				next = time.After(e.overdue())
			}
		case <-next:
			if w.outstanding > 0 {
				w.mayHaveApplied = true
				w.start(ctx, w.checkRow)
			} else {
				w.start(ctx, w.call)
			}
			next = time.After(e.overdue())
		case <-ctx.Done():
			return false, fmt.Errorf("%w: %w", ErrOutcomeUnknown, errors.Join(w.lastErr, ctx.Err()))
		}
	}
}

// start runs a call in the background and passes its answer on, unless the outcome is waited for no
// longer.
func (w *pendingWrite) start(ctx context.Context, call func(ctx context.Context) callAnswer) {
	w.outstanding++
	go func() {
		a := call(ctx)
		select {
		case w.answers <- a:
		case <-ctx.Done():
		}
	}()
}

// call commits the transaction of the write.
func (w *pendingWrite) call(ctx context.Context) callAnswer {
	if err := ctx.Err(); err != nil {
		return callAnswer{err: err}
	}
	if w.entry.clock().After(w.deadline) {
		return callAnswer{err: errWriteTimeout}
	}
	tx, err := w.write.prepare(ctx)
	if err != nil {
		return callAnswer{err: err}
	}
	res, err := w.entry.store.Commit(ctx, tx)
	if err == nil {
		w.entry.cancelled.observePut(tx, res.Version)
	}
	if !errors.Is(err, store.ErrConflict) {
		return callAnswer{err: err}
	}
	found, err := w.write.conflict(res.Rows)
	return callAnswer{found: found, retry: !found && err == nil, err: err}
}

// checkRow reads the row of an overdue call, and repeats the call if the row does not show the write
// and the store is not slow.
func (w *pendingWrite) checkRow(ctx context.Context) callAnswer {
	row, err := store.Get(ctx, w.entry.store, w.write.key())
	switch {
	case err != nil:
		return callAnswer{err: err}
	case row.Version > 0 && w.write.found(row):
		return callAnswer{found: true}
	case w.entry.storeSlow():
		return callAnswer{err: fmt.Errorf("%w: commit overdue, row not there yet", store.ErrOutcomeUnknown)}
	}
	return w.call(ctx)
}

// handleAnswer records the answer of a call, and reports whether the outcome is settled. If
// so, again and result are those of commit.
func (w *pendingWrite) handleAnswer(a callAnswer) (settled, again bool, result error) {
	w.outstanding--
	if a.retry {
		return false, false, nil
	}
	w.lastErr = a.err
	switch {
	case a.found:
		return true, !w.mayHaveApplied, nil
	case a.err == nil:
		return true, false, nil
	case settles(a.err):
		return true, false, a.err
	case errors.Is(a.err, ErrTooManyCancellations) && !w.mayHaveApplied:
		return true, false, a.err
	case errors.Is(a.err, errWriteTimeout) && w.mayHaveApplied:
		return true, false, fmt.Errorf("%w: %w", ErrOutcomeUnknown, a.err)
	case errors.Is(a.err, errWriteTimeout):
		return true, false, fmt.Errorf("%w: %w", ErrNotAccepted, a.err)
	case errors.Is(a.err, store.ErrUnavailable) && !w.mayHaveApplied:
		return true, false, fmt.Errorf("%w: %w", ErrNotAccepted, a.err)
	}
	w.mayHaveApplied = true
	return false, false, nil
}
