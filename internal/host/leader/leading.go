package leader

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// serve leads and renews the row until the term ends.
func (e *Election) serve(ctx context.Context, t *Term, r Row, version int64, clean bool) {
	leading, end := context.WithCancel(ctx)
	lost := make(chan error, 1)
	go func() {
		var err error
		version, err = e.keep(leading, t, &r, version)
		lost <- err
	}()
	done := make(chan error, 1)
	go func() { done <- e.lead(leading, t, clean) }()
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
	close(t.over)
	e.log.Info("no longer leading", "term", t.number, "reason", fmt.Sprint(err))
	e.resign(ctx, r, version)
}

// errYield ends a term for the sake of a more powerful host.
var errYield = errors.New("a much more powerful host could lead")

// keep renews the row until the context or the term ends. It changes the row
// and returns its version as last written.
func (e *Election) keep(ctx context.Context, t *Term, r *Row, version int64) (int64, error) {
	tick := time.NewTicker(Renew)
	defer tick.Stop()
	outpowered := e.findPowerful(ctx)
	for {
		select {
		case <-ctx.Done():
			return version, ctx.Err()
		case <-outpowered:
			return version, errYield
		case <-tick.C:
			now, err := e.renew(ctx, t, r, version)
			if err != nil {
				return version, err
			}
			version = now
		}
	}
}

// findPowerful looks for a host that is much more powerful than this one until the
// context ends, and closes the channel when there is one. It must not wait for the
// answers between two renewals: hosts may be slow to answer when a leader is needed
// most.
func (e *Election) findPowerful(ctx context.Context) <-chan struct{} {
	found := make(chan struct{})
	if e.power <= 0 {
		return found
	}
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
				return
			case <-time.After(yieldEvery):
			}
			if len(e.peer.Successors(ctx, e.power*muchMore)) > 0 {
				close(found)
				return
			}
		}
	}()
	return found
}

// renew writes the row again. An error says that the term has ended.
func (e *Election) renew(ctx context.Context, t *Term, r *Row, version int64) (int64, error) {
	sent := e.clock()
	next := *r
	next.Beat++
	v, err := e.write(ctx, next, version)
	if err == nil {
		*r = next
		t.write(sent)
		e.begin(next, v, t)
		return v, nil
	}
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	if _, gone := e.found(*r); gone != nil {
		return 0, fmt.Errorf("%w: %w", gone, err)
	}
	if !t.Valid(e.clock()) {
		return 0, fmt.Errorf("row not written for %s: %w", Grace, err)
	}
	if e.clock().Sub(t.written()) > Renew+Renew/2 && e.alone(ctx) {
		return version, fmt.Errorf("the store turns this host away and serves others: %w", err)
	}
	found, gone := e.found(*r) // that may have shown another leader
	if gone != nil {
		return 0, fmt.Errorf("%w: %w", gone, err)
	}
	e.log.V(1).Info("leader row not renewed", "term", t.number, "error", err.Error())
	return max(version, found), nil
}

// errSucceeded says that another host leads by now.
var errSucceeded = errors.New("another term has begun")

// found returns the version of this leader's row as it was last read: an earlier
// write whose answer was lost may have taken effect. It is an error if the row was
// found to be another leader's; to write over that would give two leaders one term.
func (e *Election) found(own Row) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.seen.Term > own.Term || e.seen.Holder != own.Holder {
		return 0, fmt.Errorf("term %d of %q: %w", e.seen.Term, e.seen.Holder, errSucceeded)
	}
	return e.version, nil
}

// aloneTime bounds the look by which a leader tells whether the store serves it
// again: a slow store takes a third of it, and a host that is turned away silently
// hands over so much later.
const aloneTime = 300 * time.Millisecond

// alone reports whether the store serves other hosts and not this one. The write
// that failed may have been sent while the store was away for all: by the time that
// others are served again, so is this host. It looks after they did, since they may
// have waited for the store until it was back.
func (e *Election) alone(ctx context.Context) bool {
	if len(e.peer.Successors(ctx, 0)) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, aloneTime)
	defer cancel()
	return e.Look(ctx) != nil
}

// resign has a peer take the row over, or gives it back, so that another host
// leads at once.
func (e *Election) resign(ctx context.Context, r Row, version int64) {
	if seen := e.Leader(); seen.Term > r.Term {
		return
	}
	ctx = context.WithoutCancel(ctx)
	for _, address := range e.peer.Successors(ctx, 0) {
		if e.peer.HandOver(ctx, address, r, version) {
			e.log.Info("handed over", "term", r.Term, "to", address)
			e.note(Row{Term: r.Term + 1, Holder: address, Address: address}, 0) // until it or the store says more
			return
		}
	}
	gone := Row{Term: r.Term, Beat: r.Beat + 1}
	if _, err := e.write(ctx, gone, version); err != nil {
		e.log.V(1).Info("leader row not given back", "term", r.Term, "error", err.Error())
	}
	e.note(gone, 0)
}
