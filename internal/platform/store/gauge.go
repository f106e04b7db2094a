package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Figures of a gauge.
const (
	// gaugeFails is how many calls in a row fail before the store counts as
	// down: one may be a connection that was reset.
	gaugeFails = 2
	// gaugeProbe is the time between two calls that are let through while the
	// store counts as down.
	gaugeProbe = 250 * time.Millisecond
)

// Gauge passes calls on to a store and watches how they go, so that a host
// knows at once that the store does not serve it, and does not have each of its
// clients wait for the same time-out.
type Gauge struct {
	Store
	mu      sync.Mutex
	fails   int       // calls that failed since one went well
	probed  time.Time // when a call was let through last while down
	changed func(up bool, err error)
}

// NewGauge returns a gauge over a store that counts as up. changed is told when
// it goes down or comes up; it must not block.
func NewGauge(s Store, changed func(up bool, err error)) *Gauge {
	return &Gauge{Store: s, changed: changed}
}

// Up reports whether the store serves this host, as far as is known.
func (g *Gauge) Up() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fails < gaugeFails
}

// Try reports whether a call is worth making now: always while the store is up,
// and now and then while it is down.
func (g *Gauge) Try(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fails < gaugeFails {
		return true
	}
	if now.Sub(g.probed) < gaugeProbe {
		return false
	}
	g.probed = now
	return true
}

// note takes in how a call went. Conflicts and a lost history are answers; a
// call that its own caller gave up on says nothing.
func (g *Gauge) note(ctx context.Context, err error) {
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUnknown)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	g.mu.Lock()
	was := g.fails < gaugeFails
	if failed {
		g.fails++
	} else {
		g.fails = 0
	}
	up := g.fails < gaugeFails
	g.mu.Unlock()
	if up != was {
		g.changed(up, err)
	}
}

// Commit implements Store.
func (g *Gauge) Commit(ctx context.Context, tx Tx) (Result, error) {
	res, err := g.Store.Commit(ctx, tx)
	g.note(ctx, err)
	return res, err
}

// Read implements Store.
func (g *Gauge) Read(ctx context.Context, r Range) (Page, error) {
	page, err := g.Store.Read(ctx, r)
	g.note(ctx, err)
	return page, err
}

// Changes implements Store.
func (g *Gauge) Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	page, err := g.Store.Changes(ctx, table, after, wait)
	g.note(ctx, err)
	return page, err
}
