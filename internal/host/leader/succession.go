package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/platform/store"
)

// takeOver tries to take the row, and leads if that succeeds.
func (e *Election) takeOver(ctx context.Context) {
	if !e.letFirst(ctx) {
		return
	}
	e.mu.Lock()
	before, version := e.seen, e.version
	e.mu.Unlock()
	if t, next, version, err := e.take(ctx, before, version); err == nil {
		e.serve(ctx, t, next, version, before.over(next))
		return
	}
	e.pause(ctx, Look/4)
}

// take raises the term of a row as it was seen and puts this host into it.
func (e *Election) take(ctx context.Context, before Row, version int64) (*Term, Row, int64, error) {
	next := e.own
	next.Term, next.Beat = before.Term+1, 1
	sent := e.clock()
	version, err := e.write(ctx, next, version)
	if err != nil {
		e.log.Info("leader row not taken", "term", next.Term, "error", err.Error())
		return nil, Row{}, 0, err
	}
	t := NewTerm(next.Term, sent)
	e.begin(next, version, t)
	e.log.Info("leading", "term", next.Term, "before", before.Holder, "power", e.power)
	return t, next, version, nil
}

// Succeed takes the row over from a leader that has ceased to give orders and
// asks for it. It reports whether that succeeded.
func (e *Election) Succeed(ctx context.Context, r Row, version int64) bool {
	e.mu.Lock()
	wanted := e.term == nil && e.following && r.Term >= e.seen.Term
	e.mu.Unlock()
	if !wanted {
		return false
	}
	t, next, version, err := e.take(ctx, r, version)
	if err != nil {
		return false
	}
	select {
	case e.handed <- handed{t, next, version}:
		return true
	case <-time.After(callTime): // it ends, or took the row over by itself meanwhile
		return false
	}
}

// handed is a term that a leader handed over to this host.
type handed struct {
	term    *Term
	row     Row
	version int64
}

func (e *Election) begin(r Row, version int64, t *Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen, e.version, e.term, e.changed = r, version, t, e.clock()
}

// write writes the row over the version and settles a lost answer by reading it
// back. It returns the row's version.
func (e *Election) write(ctx context.Context, r Row, version int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	res, err := e.store.Commit(ctx, store.Tx{
		Expect: []store.Expect{{Key: RowKey, Version: version}},
		Put:    []store.Put{{Key: RowKey, Value: r.encode()}},
	})
	if err == nil {
		return res.Version, nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrOutcomeUnknown) {
		return 0, err
	}
	found, readErr := store.Get(ctx, e.store, RowKey)
	if readErr != nil {
		return 0, fmt.Errorf("%w; read back: %w", err, readErr)
	}
	there, decodeErr := DecodeRow(found.Value)
	if decodeErr == nil && there == r {
		return found.Version, nil
	}
	e.note(there, found.Version)
	return 0, err
}
