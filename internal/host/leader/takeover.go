package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/platform/store"
)

// takeOver waits for larger hosts to take over the leadership. If none does, it tries to
// acquire the leader row and leads until the term ends. If the row cannot be acquired, it
// sleeps before it returns.
func (e *Election) takeOver(ctx context.Context) {
	if !e.deferToLargerHosts(ctx) {
		return
	}
	e.mu.Lock()
	before, version, earlier := e.row, e.version, e.row.afterTakeover(e.contact)
	e.mu.Unlock()
	switch {
	case version == 0 && before == Row{}: // unless the write fails, there was never a row
		earlier = Predecessors{}
	case before.vacant(e.own):
		earlier = before.afterResignation(e.clock())
	}
	if t, next, version, err := e.acquire(ctx, before, version, earlier); err == nil {
		e.serveTerm(ctx, t, next, version, earlier)
		return
	}
	e.sleepJittered(ctx, ReadInterval/4)
}

// acquire replaces the given row by one that names this host, with the next term. If that
// succeeds, this host leads: OwnTerm returns the new term from then on.
func (e *Election) acquire(ctx context.Context, before Row, version int64, earlier Predecessors) (*Term, Row, int64, error) {
	sent := e.clock()
	t := NewTerm(before.Term+1, sent)
	t.acting, t.earlierEnd = e.acting, earlier.LeasesEnd(e.lease)
	next := e.own
	next.Term, next.Heartbeat, next.Limited, next.Leases = t.number, 1, before.Limited || version == 0, t.leases(sent)
	version, err := e.write(ctx, next, version)
	if err != nil {
		e.log.Info("leader row not acquired", "term", next.Term, "error", err.Error())
		return nil, Row{}, 0, err
	}
	e.setOwnRow(next, version, t)
	e.log.Info("leading", "term", next.Term, "before", before.Holder, "power", e.cores)
	return t, next, version, nil
}

// AcceptTransfer takes the row over at the request of a leader that has ceased to send
// orders, and reports whether that succeeded. It refuses if this host leads, is taking the
// row over already, or knows a newer term.
func (e *Election) AcceptTransfer(ctx context.Context, r Row, version int64) bool {
	e.mu.Lock()
	accepted := e.term == nil && e.following && r.Term >= e.row.Term
	e.mu.Unlock()
	if !accepted {
		return false
	}
	earlier := r.afterResignation(e.clock())
	t, next, version, err := e.acquire(ctx, r, version, earlier)
	if err != nil {
		return false
	}
	select {
	case e.transfers <- transfer{t, next, version, earlier}:
		return true
	case <-time.After(storeTimeout): // Run ended, or this host took the row over without a transfer
		return false
	}
}

// transfer is a term that a leader transferred to this host.
type transfer struct {
	term    *Term
	row     Row
	version int64
	earlier Predecessors
}

// setOwnRow records that this host wrote the row for its term.
func (e *Election) setOwnRow(r Row, version int64, t *Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.row, e.version, e.term, e.changedAt = r, version, t, e.clock()
	e.contact.seenAt = e.changedAt
}

// write replaces the row at the given version and returns its new version. After a conflict
// or an unknown outcome it reads the row back: if the row is r, this write or an earlier one of
// the same content has succeeded, else the row is recorded as last known.
func (e *Election) write(ctx context.Context, r Row, version int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	writing, stop := context.WithTimeout(ctx, max(minWriteTimeout, writeTimeoutFactor*e.latency()))
	defer stop()
	res, err := e.store.Commit(writing, store.Tx{
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
	stored, decodeErr := DecodeRow(found.Value)
	if decodeErr == nil && stored == r {
		return found.Version, nil
	}
	e.observe(stored, found.Version)
	return 0, err
}
