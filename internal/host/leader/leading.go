package leader

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// serveTerm calls lead and renews the row until one of them ends the term, waits for the
// other, then resigns.
func (e *Election) serveTerm(ctx context.Context, t *Term, r Row, version int64, earlier Predecessors) {
	leading, end := context.WithCancel(ctx)
	lost := make(chan error, 1)
	go func() {
		var err error
		version, err = e.renewUntilEnd(leading, t, &r, version)
		lost <- err
	}()
	done := make(chan error, 1)
	go func() { done <- e.lead(leading, t, earlier) }()
	var err error
	select {
	case err = <-done:
		end()
		<-lost
	case err = <-lost:
		end()
		<-done
	}
	e.mu.Lock()
	e.term = nil
	e.mu.Unlock()
	close(t.done)
	e.log.Info("no longer leading", "term", t.number, "reason", fmt.Sprint(err))
	e.resign(ctx, t, r, version)
}

// errLargerHost ends a term in favor of a host with many more cores.
var errLargerHost = errors.New("a host with many more cores can lead")

// renewUntilEnd renews the row until the context or the term ends. It updates r and
// returns the version of the row as last written.
func (e *Election) renewUntilEnd(ctx context.Context, t *Term, r *Row, version int64) (int64, error) {
	tick := time.NewTicker(RenewInterval)
	defer tick.Stop()
	largerHost := e.findLargerHost(ctx)
	for {
		select {
		case <-ctx.Done():
			return version, ctx.Err()
		case <-largerHost:
			return version, errLargerHost
		case <-tick.C:
			now, err := e.renew(ctx, t, r, version)
			if err != nil {
				return version, err
			}
			version = now
		}
	}
}

// findLargerHost checks for a much larger host until the context ends, and closes the
// channel when there is one. If the cores of this host are not known, it does not check.
// The check runs beside the renewals and must not delay them:
// hosts may be slow to answer just when a leader is needed most.
func (e *Election) findLargerHost(ctx context.Context) <-chan struct{} {
	found := make(chan struct{})
	if e.cores <= 0 {
		return found
	}
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(transferCheckInterval):
			}
			if len(e.peers.Candidates(ctx, e.cores*transferRatio)) > 0 {
				close(found)
				return
			}
		}
	}()
	return found
}

// renew writes the row r again and returns the version for the next write. It returns an error
// if the term has ended, or must end since the store is unavailable to this host only. Any
// other failure is only logged.
func (e *Election) renew(ctx context.Context, t *Term, r *Row, version int64) (int64, error) {
	r.Heartbeat++ // also after a failure: what another host sees was written by one attempt only
	r.Limited = r.Limited || t.olderThan(Grace, e.clock())
	r.Leases = t.leases(e.clock())
	t.attempted(r.Heartbeat, e.clock())
	v, err := e.write(ctx, *r, version)
	if err == nil {
		t.renewed(r.Heartbeat)
		e.setOwnRow(*r, v, t)
		return v, nil
	}
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	if _, superseded := e.ownVersion(*r); superseded != nil {
		return 0, fmt.Errorf("%w: %w", superseded, err)
	}
	if !t.Valid(e.clock()) {
		return 0, fmt.Errorf("leader row not written since %s ago: %w", e.clock().Sub(t.lastRenewal()), err)
	}
	if e.clock().Sub(t.lastRenewal()) > RenewInterval+RenewInterval/2 && e.disconnected(ctx) {
		return version, fmt.Errorf("store unavailable to this host only: %w", err)
	}
	found, superseded := e.ownVersion(*r) // the check above may have read a newer row
	if superseded != nil {
		return 0, fmt.Errorf("%w: %w", superseded, err)
	}
	t.renewed(e.Leader().Heartbeat) // by an earlier attempt that was written late
	e.log.V(1).Info("leader row not renewed", "term", t.number, "error", err.Error())
	return max(version, found), nil
}

// errSuperseded means that another host leads now.
var errSuperseded = errors.New("superseded by another leader")

// ownVersion returns the version of this leader's row as last read: an earlier write
// whose answer was lost may have taken effect. It fails if the row was found to be that
// of another leader. Overwriting that row would give two leaders the same term.
func (e *Election) ownVersion(own Row) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.row.Term > own.Term || e.row.Holder != own.Holder {
		return 0, fmt.Errorf("term %d of %q: %w", e.row.Term, e.row.Holder, errSuperseded)
	}
	return e.version, nil
}

// storeCheckTimeout bounds the read by which a leader checks whether the store is
// available to it again. A slow store takes a third of it. A leader whose calls to the
// store are not answered resigns that much later.
const storeCheckTimeout = 300 * time.Millisecond

// disconnected reports whether the store is available to other hosts and not to this one.
// The write that failed may have been sent during an outage for all hosts, and by the
// time that the store is available to others it is to this host as well. So this host
// reads the row after the others did, whose reads may have waited for the outage to end.
func (e *Election) disconnected(ctx context.Context) bool {
	if len(e.peers.Candidates(ctx, 0)) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeCheckTimeout)
	defer cancel()
	return e.ReadRow(ctx) != nil
}

// resign transfers the leadership to a peer, or else clears the row's holder, so that
// another host leads at once. It does nothing if a newer term is known, and is not
// interrupted by the end of the context.
func (e *Election) resign(ctx context.Context, t *Term, r Row, version int64) {
	if known := e.Leader(); known.Term > r.Term {
		return
	}
	ctx = context.WithoutCancel(ctx)
	for _, address := range e.peers.Candidates(ctx, 0) {
		if e.peers.TransferLeadership(ctx, address, r, version) {
			e.log.Info("leadership transferred", "term", r.Term, "to", address)
			e.observe(Row{Term: r.Term + 1, Holder: address, Address: address}, 0) // until it or the store reports the row itself
			return
		}
	}
	resigned := Row{Term: r.Term, Heartbeat: r.Heartbeat + 1, Limited: r.Limited, Leases: t.leases(e.clock())}
	if _, err := e.write(ctx, resigned, version); err != nil {
		e.log.V(1).Info("leader row not released", "term", r.Term, "error", err.Error())
	}
	e.observe(resigned, 0)
}
