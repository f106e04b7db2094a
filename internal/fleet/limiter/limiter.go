package limiter

import (
	"context"
	"sync"
	"time"
)

// Class is the order in which waiting orders go.
type Class int

// The classes, the first ones first. Starts are of one class: a gang whose first
// members have begun must not wait for other work.
const (
	Stop        Class = iota // frees room, and ends what must not go on
	UrgentStart              // starts that must come in time, since that is guaranteed
	Report                   // first reports and acknowledgements
	Start                    //
	Probe                    // orders to targets that do not answer
	classes
)

// Times of a gate.
const (
	// waitTarget is how long starts may be expected to wait: a small part of the time
	// in which urgent work must begin.
	waitTarget = 300 * time.Millisecond
	// leastAhead is how many starts may wait in any case: what is placed together is
	// also saved together.
	leastAhead = 32
	// slotDelays is how many times the usual delay an order keeps its place among
	// those in flight, and leastSlot how long at least. A target that does not answer
	// would else keep it until its time-out, and a zone that is cut off all places.
	slotDelays = 4
	// fairEvery: of so many places one goes to the order that has waited longest.
	fairEvery = 4
	leastSlot = 40 * time.Millisecond
)

// Limiter lets orders pass, so many at once. It is safe for several goroutines.
type Limiter struct {
	clock   func() time.Time
	mu      sync.Mutex
	limit   limit
	delays  delays
	spent   delays // from when orders came to when they were answered
	rate    rate
	busy    int // places in use, at most the limit but for what it lost since
	waiting [classes][]*waiter
	// admitted counts the orders that waited and were given a place.
	admitted int
}

// waiter is an order that waits for a place.
type waiter struct {
	since time.Time
	ready chan struct{} // closed when it has its place
}

// NewLimiter returns a gate that measures delays by the clock.
func NewLimiter(clock func() time.Time) *Limiter {
	return &Limiter{clock: clock, limit: newLimit(), rate: rate{perSecond: firstRate}}
}

// Acquire waits for a place. The caller calls the pass's Done when the order was
// answered or given up. An error means that the context ended.
func (g *Limiter) Acquire(ctx context.Context, c Class) (*InFlight, error) {
	g.mu.Lock()
	if g.busy < int(g.limit.size) && g.queued(c) == 0 {
		defer g.mu.Unlock()
		g.busy++
		return g.newPass(g.clock()), nil
	}
	w := &waiter{since: g.clock(), ready: make(chan struct{})}
	g.waiting[c] = append(g.waiting[c], w)
	g.mu.Unlock()
	select {
	case <-w.ready:
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.newPass(w.since), nil
	case <-ctx.Done():
		g.leave(c, w)
		return nil, ctx.Err()
	}
}

// leave takes out an order that waits no longer.
func (g *Limiter) leave(c Class, w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, o := range g.waiting[c] {
		if o == w {
			g.waiting[c] = append(g.waiting[c][:i], g.waiting[c][i+1:]...)
			return
		}
	}
	g.busy-- // it was given its place meanwhile
	g.admit()
}

// queued returns how many orders of a class and those before it wait.
func (g *Limiter) queued(c Class) int {
	n := 0
	for i := range c + 1 {
		n += len(g.waiting[i])
	}
	return n
}

// admit gives free places to those that wait: in the order of their classes, but
// each so many times to the one that has waited longest, so that no class starves.
func (g *Limiter) admit() {
	for g.busy < int(g.limit.size) && g.queued(classes-1) > 0 {
		g.admitted++
		c := g.first()
		if g.admitted%fairEvery == 0 {
			c = g.longest()
		}
		w := g.waiting[c][0]
		g.waiting[c] = g.waiting[c][1:]
		g.busy++
		close(w.ready)
	}
}

// first returns the first class in which an order waits; one must.
func (g *Limiter) first() Class {
	c := Class(0)
	for len(g.waiting[c]) == 0 {
		c++
	}
	return c
}

// longest returns the class of the order that has waited longest; one must wait.
func (g *Limiter) longest() Class {
	best := g.first()
	for c, list := range g.waiting {
		if len(list) > 0 && list[0].since.Before(g.waiting[best][0].since) {
			best = Class(c)
		}
	}
	return best
}

// Timeout returns how long an answer should be waited for.
func (g *Limiter) Timeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.delays.patience()
}

// MeanLatency returns how long an order usually takes, its wait in the gate counted in.
func (g *Limiter) MeanLatency() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.spent.mean
}

// MaxPendingStarts returns how many starts may be on their way or wait, so that the last of them
// waits no longer than it should.
func (g *Limiter) MaxPendingStarts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(leastAhead, int(g.rate.perSecond*waitTarget.Seconds()))
}

// Stats is what a gate shows of itself.
type Stats struct {
	Limit       int
	Waiting     int
	LongestWait time.Duration // that an order has waited so far
	Delay       time.Duration // usual, of answers
	Rate        float64       // orders a second that the host carries
}

// Stats returns the gate's load.
func (g *Limiter) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := Stats{Limit: int(g.limit.size), Waiting: g.queued(classes - 1), Delay: g.delays.mean, Rate: g.rate.perSecond}
	now := g.clock()
	for _, list := range g.waiting {
		if len(list) > 0 {
			l.LongestWait = max(l.LongestWait, now.Sub(list[0].since))
		}
	}
	return l
}

// InFlight is an order's place among those in flight.
type InFlight struct {
	gate  *Limiter
	came  time.Time // when the order came to the gate
	began time.Time // when it was sent
	timer *time.Timer
	freed bool
}

// newPass returns a pass for an order that came at a time and is sent now.
func (g *Limiter) newPass(came time.Time) *InFlight {
	p := &InFlight{gate: g, came: came, began: g.clock()}
	p.timer = time.AfterFunc(max(slotDelays*g.delays.mean, leastSlot), p.expire)
	return p
}

// expire gives the place to others though the order has not been answered.
func (p *InFlight) expire() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.free()
}

func (p *InFlight) free() {
	if p.freed {
		return
	}
	p.freed = true
	p.gate.busy--
	p.gate.admit()
}

// Done ends the order. Only answers tell of delays: one that does not come may be
// the target's fault.
func (p *InFlight) Done(answered bool) {
	g := p.gate
	p.timer.Stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	if answered {
		now := g.clock()
		waiting := g.queued(classes-1) > 0
		g.delays.note(now.Sub(p.began))
		g.spent.note(now.Sub(p.came))
		g.limit.answered(now.Sub(p.began), waiting || g.busy >= int(g.limit.size), now)
		g.rate.note(waiting, now)
	}
	p.free()
}
