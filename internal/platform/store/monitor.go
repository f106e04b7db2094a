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
	// quietTime is how long a host does without a word from the store before it
	// asks whether it is there: a store that does not answer is found out by that
	// question, and not by the requests of clients.
	quietTime = 900 * time.Millisecond
	// downTime is the time between two such questions while the store counts as
	// down: clients are refused for no longer.
	downTime = 250 * time.Millisecond
	// probeTime bounds such a question: three times what one takes on a store that
	// is fifty times as slow as on an ordinary day.
	probeTime = 700 * time.Millisecond
	// usualWeight is the weight of the newest call in what calls usually take: a
	// store that turns slow is known for it after a few calls.
	usualWeight = 0.3
)

// Monitor passes calls on to a store and watches how they go, so that a host
// knows at once that the store does not serve it, and does not have each of its
// clients wait for the same time-out.
type Monitor struct {
	Store
	probe   Key // that is read to see whether the store answers
	mu      sync.Mutex
	fails   int           // calls that failed since one went well
	served  time.Time     // when a call went well last
	usual   time.Duration // what calls took lately that went well
	lost    chan struct{} // holds a word that the store has just gone down
	back    chan struct{} // closed when the store comes up next
	changed func(up bool, err error)
}

// NewMonitor returns a gauge over a store that counts as up. The key is read to see
// whether the store answers. changed is told when it goes down or comes up; it must
// not block.
func NewMonitor(s Store, probe Key, changed func(up bool, err error)) *Monitor {
	return &Monitor{Store: s, probe: probe, lost: make(chan struct{}, 1), back: make(chan struct{}), changed: changed}
}

// Up reports whether the store serves this host, as far as is known.
func (g *Monitor) Up() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fails < gaugeFails
}

// LastSuccess returns when a call went well last.
func (g *Monitor) LastSuccess() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.served
}

// Recovered returns a channel that is closed when the store comes up next. A call that
// was on its way through an outage may hang until its time-out; what waits for it does
// well to ask anew.
func (g *Monitor) Recovered() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.back
}

// TypicalLatency returns what calls took lately that went well; 0 if there was none.
func (g *Monitor) TypicalLatency() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usual
}

// Run asks the store whether it is there when nothing was heard of it for a
// while, and at once when it seems to have gone down: of a store that only loses
// answers that is not so. It ends with the context.
func (g *Monitor) Run(ctx context.Context) {
	for wait := quietTime; ; wait = g.rest() {
		select {
		case <-ctx.Done():
			return
		case <-g.lost:
		case <-time.After(wait):
		}
		if g.due() {
			g.ask(ctx)
		}
	}
}

// ask asks once, and a second time at once if that fails.
func (g *Monitor) ask(ctx context.Context) {
	for range gaugeFails {
		try, cancel := context.WithTimeout(ctx, probeTime)
		_, err := Get(try, g, g.probe)
		cancel()
		if err == nil {
			return
		}
	}
}

// due reports whether the store was not heard of for long.
func (g *Monitor) due() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fails > 0 || time.Since(g.served) >= quietTime
}

// rest returns how long to wait until the next question may be due.
func (g *Monitor) rest() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fails > 0 {
		return downTime
	}
	return max(quietTime-time.Since(g.served), downTime)
}

// note takes in how a call went. Conflicts and a lost history are answers; a
// call that its own caller gave up on says nothing. A call that waits for changes
// has no beginning: how long it takes is not up to the store.
func (g *Monitor) note(ctx context.Context, began time.Time, err error) {
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrOutcomeUnknown)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	g.mu.Lock()
	was := g.fails < gaugeFails
	if failed {
		g.fails++
	} else {
		g.fails, g.served = 0, time.Now()
		if !began.IsZero() {
			g.usual += time.Duration(usualWeight * float64(time.Since(began)-g.usual))
		}
	}
	up := g.fails < gaugeFails
	if up && !was {
		close(g.back)
		g.back = make(chan struct{})
	}
	g.mu.Unlock()
	if was && !up {
		select {
		case g.lost <- struct{}{}:
		default: // a word is there already
		}
	}
	if up != was {
		g.changed(up, err)
	}
}

// Commit implements Store.
func (g *Monitor) Commit(ctx context.Context, tx Tx) (Result, error) {
	began := time.Now()
	res, err := g.Store.Commit(ctx, tx)
	g.note(ctx, began, err)
	return res, err
}

// Read implements Store.
func (g *Monitor) Read(ctx context.Context, r Range) (Page, error) {
	began := time.Now()
	page, err := g.Store.Read(ctx, r)
	g.note(ctx, began, err)
	return page, err
}

// Changes implements Store.
func (g *Monitor) Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	page, err := g.Store.Changes(ctx, table, after, wait)
	g.note(ctx, time.Time{}, err)
	return page, err
}
