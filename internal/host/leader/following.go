package leader

import (
	"context"
	"time"

	"guavaglade.example/guavaglade/internal/platform/store"
)

// follow watches the leader once, and reports whether its row may be taken over. If no leader
// is known, or it does not answer, or its row has not changed for Lease, follow reads the row,
// and sleeps before it returns false, unless the row names another leader now.
func (e *Election) follow(ctx context.Context) bool {
	row := e.Leader()
	if row.Holder != "" && row.Address != e.own.Address {
		next, err := e.watch(ctx, row)
		if err == nil {
			e.observe(next, 0)
			if !e.leaseExpired() {
				return false
			}
		} else {
			e.log.V(1).Info("leader did not answer", "leader", row.Holder, "term", row.Term, "error", err.Error())
		}
	}
	if ctx.Err() != nil {
		return false
	}
	if err := e.ReadRow(ctx); err != nil {
		e.log.V(1).Info("leader row not read", "error", err.Error())
		// Time in which the store does not answer does not count against the
		// leader, which cannot write its row either.
		e.resetLease()
		e.sleepJittered(ctx, ReadInterval)
		return false
	}
	if e.mayTakeOver() {
		return true
	}
	if now := e.Leader(); now.Term == row.Term && now.Holder == row.Holder {
		e.sleepJittered(ctx, ReadInterval)
	}
	return false
}

// watch watches the leader that a row names, and returns the row that it knows.
func (e *Election) watch(ctx context.Context, row Row) (Row, error) {
	e.mu.Lock()
	sent, w := e.clock(), Watch{Term: row.Term, Mark: e.markOf(row.Term)}
	e.mu.Unlock()
	a, err := e.peers.Watch(ctx, row.Address, w)
	if err != nil {
		return Row{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.Mark > 0 { // it may be that of another leader by now
		e.contact.answeredAt = e.clock()
	}
	if sameTerm(a.Row, row) && sameTerm(e.row, row) { // another row may have been read meanwhile
		e.contact.watchedAt, e.mark, e.markTerm = sent, a.Mark, row.Term
	}
	return a.Row, nil
}

// sameTerm reports whether two rows are of the same term of the same holder.
func sameTerm(a, b Row) bool { return a.Term == b.Term && a.Holder == b.Holder }

// markOf returns the mark in the last answer of the leader of a term; 0: there is none. The caller holds e.mu.
func (e *Election) markOf(term int64) int64 {
	if e.markTerm != term {
		return 0
	}
	return e.mark
}

// sleepJittered sleeps for 0.5 to 1.5 times d, so that hosts that lost the leader
// together do not keep reading the row at the same time.
func (e *Election) sleepJittered(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d/2 + time.Duration(e.randN(int64(d)))):
	}
}

// ReadRow reads the leader row and records it as last known. A malformed row is logged, and
// counts as one of term 0 without a holder.
func (e *Election) ReadRow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := e.clock()
	found, err := store.Get(ctx, e.store, RowKey)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.readTime = e.clock().Sub(began)
	e.mu.Unlock()
	row, err := DecodeRow(found.Value)
	if err != nil {
		e.log.Error(err, "leader row malformed", "step", "read", "version", found.Version)
	}
	e.observe(row, found.Version)
	return nil
}

// observe records the row as last known, unless its term is older. A changed row restarts
// the lease. Version 0 means that a peer reported the row.
func (e *Election) observe(r Row, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Term < e.row.Term {
		return
	}
	if !sameTerm(r, e.row) {
		e.contact.watchedAt = time.Time{}
		e.log.Info("leader changed", "holder", r.Holder, "term", r.Term, "address", r.Address)
	}
	if r != e.row {
		e.changedAt = e.clock()
		e.contact.seenAt = e.changedAt
	}
	e.row, e.version = r, version
}

// leaseExpired reports whether the row has not changed for Lease.
func (e *Election) leaseExpired() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock().Sub(e.changedAt) >= Lease
}

// resetLease restarts the time for which the row must be unchanged.
func (e *Election) resetLease() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changedAt = e.clock()
}

// minOutage is the shortest time without the store that counts as an outage. A host whose
// writes were done but not answered also sees the store as down, until the next answer.
const minOutage = 300 * time.Millisecond

// StoreChanged records whether the store is available to this host. The time of an
// outage does not count against the leader, which may have been without the store as
// well: a healthy leader would otherwise be replaced as soon as the store is back. A
// leader that alone cannot reach the store transfers the leadership itself.
func (e *Election) StoreChanged(up bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock()
	switch {
	case !up:
		e.storeDownAt = now
	case now.Sub(e.storeDownAt) >= minOutage:
		e.changedAt = now
	}
}

// readTimeFactor is how many times the duration of a read of the row is added to the
// lease: a renewal is a transaction, which takes up to three times as long as a read.
const readTimeFactor = 4

// mayTakeOver reports whether the row may be taken over: it is vacant, or has not changed
// for Lease, plus a time for a slow store, plus a time if another host is much larger.
func (e *Election) mayTakeOver() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	// If the store is slow for this host, the leader's writes are slow as well.
	timeout := Lease + readTimeFactor*e.readTime
	if _, muchLarger := e.peers.Rank(transferRatio); muchLarger {
		timeout += smallHostDelay
	}
	return e.row.vacant(e.own) || e.clock().Sub(e.changedAt) >= timeout
}

// Precedence among hosts with different numbers of cores.
const (
	// rankDelay is how long a host waits for each larger one before it takes the row
	// over: to take the row takes at most two round trips to the store.
	rankDelay = 60 * time.Millisecond
	// maxRank bounds the wait where many larger hosts are lost together.
	maxRank = 10
	// smallHostDelay is added to the timeout of a host if another one is much larger:
	// that one reads the row as often as this one.
	smallHostDelay = time.Second
	// transferRatio is how many times the leader's cores another host must have for
	// the leader to transfer the leadership to it, which costs 0.1 s without orders.
	transferRatio = 1.5
	// transferCheckInterval is the time between two checks for such a host.
	transferCheckInterval = 2 * time.Second
)

// deferToLargerHosts waits for larger hosts to take the row over, reads the row, and reports
// whether this host may still take it over. The largest host does not wait.
func (e *Election) deferToLargerHosts(ctx context.Context) bool {
	rank, _ := e.peers.Rank(transferRatio)
	rank = min(rank, maxRank)
	if rank == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(rank) * rankDelay):
	}
	return e.ReadRow(ctx) == nil && e.mayTakeOver()
}
