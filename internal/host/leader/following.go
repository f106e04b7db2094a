package leader

import (
	"context"
	"time"

	"guavaglade.example/guavaglade/internal/platform/store"
)

// follow watches the leader, and reports whether its row may be taken over.
func (e *Election) follow(ctx context.Context) bool {
	row := e.Leader()
	if row.Holder != "" && row.Address != e.own.Address {
		next, err := e.peer.Watch(ctx, row.Address, row.Term)
		if err == nil {
			e.note(next, 0)
			if !e.stands() {
				return false
			}
		} else {
			e.log.V(1).Info("leader does not answer", "leader", row.Holder, "term", row.Term, "error", err.Error())
		}
	}
	if ctx.Err() != nil {
		return false
	}
	if err := e.Look(ctx); err != nil {
		e.log.V(1).Info("leader row not read", "error", err.Error())
		// Time during which the store does not answer does not count against
		// the leader: it cannot write its row either.
		e.restart()
		e.pause(ctx, Look)
		return false
	}
	if e.ripe() {
		return true
	}
	if now := e.Leader(); now.Term == row.Term && now.Holder == row.Holder {
		e.pause(ctx, Look)
	}
	return false
}

// pause waits between half and one and a half of d, so that hosts which lost the
// leader together do not ask together again and again.
func (e *Election) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d/2 + time.Duration(e.draw(int64(d)))):
	}
}

// Look reads the leader row.
func (e *Election) Look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	began := e.clock()
	found, err := store.Get(ctx, e.store, RowKey)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.lookTook = e.clock().Sub(began)
	e.mu.Unlock()
	row, err := DecodeRow(found.Value)
	if err != nil {
		e.log.Error(err, "leader row", "step", "read", "version", found.Version)
	}
	e.note(row, found.Version)
	return nil
}

// note takes in the row as seen; version 0 stands for one told by the leader.
func (e *Election) note(r Row, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Term < e.seen.Term {
		return
	}
	if r.Term > e.seen.Term || r.Holder != e.seen.Holder {
		e.log.Info("leader", "holder", r.Holder, "term", r.Term, "address", r.Address)
	}
	if r != e.seen {
		e.changed = e.clock()
	}
	e.seen, e.version = r, version
}

// stands reports whether the row has not changed for Lease.
func (e *Election) stands() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock().Sub(e.changed) >= Lease
}

// restart begins to count anew how long the row stands still.
func (e *Election) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changed = e.clock()
}

// briefly is how long the store may seem away without having been: a client's
// writes whose answers were lost look the same, and end with the next answer.
const briefly = 300 * time.Millisecond

// StoreChanged takes in that the store ceased to serve this host, or does so again.
// The time in between does not count against the leader, who may have had no store
// either: it would be succeeded, though well, in the moment in which the store is
// back. One that alone cannot reach the store hands over by itself.
func (e *Election) StoreChanged(up bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	switch {
	case !up:
		e.lostAt = now
	case now.Sub(e.lostAt) >= briefly:
		e.changed = now
	}
}

// slowFactor is how many times what a look takes is added to the lease: a
// renewal is a transaction, which takes up to three times as long as a look.
const slowFactor = 4

// ripe reports whether the row may be taken over.
func (e *Election) ripe() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	// A store that is slow for this host is slow for the leader's writes, too.
	patience := Lease + slowFactor*e.lookTook
	if _, outpowered := e.peer.Rank(muchMore); outpowered {
		patience += outpoweredWait
	}
	return e.seen.over(e.own) || e.clock().Sub(e.changed) >= patience
}

// Figures of choosing among hosts of unlike power.
const (
	// rankDelay is how long a host lets each more powerful one go first: a row is
	// taken within two round trips to the store.
	rankDelay = 60 * time.Millisecond
	// mostRank bounds the wait where many more powerful hosts are lost together.
	mostRank = 10
	// outpoweredWait is how much longer a host waits that is much weaker than
	// another one: that one looks at the row as often as this.
	outpoweredWait = time.Second
	// muchMore is how many times more powerful another host must be for a leader
	// to hand over to it: that costs a tenth of a second without orders.
	muchMore = 1.5
	// yieldEvery is the time between two looks for such a host.
	yieldEvery = 2 * time.Second
)

// letFirst lets more powerful hosts go first, and reports whether the row may
// still be taken over then.
func (e *Election) letFirst(ctx context.Context) bool {
	rank, _ := e.peer.Rank(muchMore)
	rank = min(rank, mostRank)
	if rank == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(rank) * rankDelay):
	}
	return e.Look(ctx) == nil && e.ripe()
}
