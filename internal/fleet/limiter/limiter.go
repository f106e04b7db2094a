package limiter

import (
	"context"
	"sync"
	"time"
)

// Class is the priority class of an order.
type Class int

// The classes, in descending priority. All starts of a gang are of one class: once its
// first members have started, the others must not wait behind other work.
const (
	Stop        Class = iota // frees capacity and ends runs that must not continue
	UrgentStart              // starts that a guarantee requires in time
	Report                   // polls that do not wait for an end, of targets where runs may exist
	Start                    // other starts
	Survey                   // first polls of the other targets, which are most of what a new leader sends
	Probe                    // orders to targets that do not answer
	classes                  // number of classes
)

// Parameters of the queue of orders.
const (
	// targetStartWait is the wait that starts should not exceed: a small part of the time
	// within which urgent work must start.
	targetStartWait = 300 * time.Millisecond
	// minPendingStarts is how many starts may be pending in any case, so that starts
	// placed together are also saved together.
	minPendingStarts = 32
	// An order counts against the limit for at most expiryDelays mean delays, but at
	// least minExpiry. Without that bound, orders to targets that do not answer would
	// count until their timeouts, and an unreachable zone would use up the whole limit.
	expiryDelays = 4
	// fairnessInterval is the number of admissions of which one goes to the order that has
	// waited longest.
	fairnessInterval = 4
	minExpiry        = 40 * time.Millisecond
)

// Limiter limits the number of orders in flight. It is safe for concurrent use.
type Limiter struct {
	clock    func() time.Time
	mu       sync.Mutex // held by the callers of queuedThrough, admit, newInFlight and release
	limit    limit
	delays   delayEstimate
	latency  delayEstimate // from the arrival of orders to their answers
	rate     rate
	inFlight int // exceeds the limit only after the limit has shrunk
	waiting  [classes][]*waiter
	// admitted counts the orders that were admitted after a wait.
	admitted int
}

// waiter is an order that waits to be admitted.
type waiter struct {
	enqueuedAt time.Time
	ready      chan struct{} // closed when it is admitted
}

// New returns a limiter that measures delays by the clock.
func New(clock func() time.Time) *Limiter {
	return &Limiter{clock: clock, limit: newLimit(), rate: rate{perSecond: initialRate}}
}

// Acquire waits until an order of the class may be sent: until the limit is not reached and
// no order of the class or a higher one waits, or until admit selects it. The caller must
// call Done when the order was answered or given up. Acquire fails only if ctx ends.
func (l *Limiter) Acquire(ctx context.Context, c Class) (*InFlight, error) {
	l.mu.Lock()
	if l.inFlight < int(l.limit.size) && l.queuedThrough(c) == 0 {
		defer l.mu.Unlock()
		l.inFlight++
		return l.newInFlight(l.clock()), nil
	}
	w := &waiter{enqueuedAt: l.clock(), ready: make(chan struct{})}
	l.waiting[c] = append(l.waiting[c], w)
	l.mu.Unlock()
	select {
	case <-w.ready:
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.newInFlight(w.enqueuedAt), nil
	case <-ctx.Done():
		l.cancel(c, w)
		return nil, ctx.Err()
	}
}

// cancel removes a waiter whose context has ended. If it was admitted in the meantime, its
// place goes to another.
func (l *Limiter) cancel(c Class, w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, o := range l.waiting[c] {
		if o == w {
			l.waiting[c] = append(l.waiting[c][:i], l.waiting[c][i+1:]...)
			return
		}
	}
	l.inFlight-- // it was admitted in the meantime
	l.admit()
}

// queuedThrough returns how many orders of the class and of higher classes wait.
func (l *Limiter) queuedThrough(c Class) int {
	n := 0
	for i := range c + 1 {
		n += len(l.waiting[i])
	}
	return n
}

// admit admits waiting orders up to the limit, by class. Every fairnessInterval-th time it
// admits the one that has waited longest, so that no class starves.
func (l *Limiter) admit() {
	for l.inFlight < int(l.limit.size) && l.queuedThrough(classes-1) > 0 {
		l.admitted++
		c := l.firstWaiting()
		if l.admitted%fairnessInterval == 0 {
			c = l.longestWaiting()
		}
		w := l.waiting[c][0]
		l.waiting[c] = l.waiting[c][1:]
		l.inFlight++
		close(w.ready)
	}
}

// firstWaiting returns the highest class in which an order waits. At least one must wait.
func (l *Limiter) firstWaiting() Class {
	c := Class(0)
	for len(l.waiting[c]) == 0 {
		c++
	}
	return c
}

// longestWaiting returns the class of the order that has waited longest. At least one
// must wait.
func (l *Limiter) longestWaiting() Class {
	best := l.firstWaiting()
	for c, list := range l.waiting {
		if len(list) > 0 && list[0].enqueuedAt.Before(l.waiting[best][0].enqueuedAt) {
			best = Class(c)
		}
	}
	return best
}

// Timeout returns how long to wait for the answer to an order, by the delays measured so
// far.
func (l *Limiter) Timeout() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.delays.timeout()
}

// MeanLatency returns the smoothed time from the call of Acquire to the answer, of the
// orders that were answered; 0 before the first.
func (l *Limiter) MeanLatency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.latency.mean
}

// MaxPendingStarts returns how many starts may be in flight or waiting without the last
// of them waiting longer than targetStartWait.
func (l *Limiter) MaxPendingStarts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(minPendingStarts, int(l.rate.perSecond*targetStartWait.Seconds()))
}

// Stats describes the state of a limiter.
type Stats struct {
	Limit       int
	Waiting     int
	LongestWait time.Duration // so far, of the orders that wait
	Delay       time.Duration // mean, of answers
	Rate        float64       // throughput of the host in orders per second
}

// Stats returns the current state.
func (l *Limiter) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Stats{Limit: int(l.limit.size), Waiting: l.queuedThrough(classes - 1), Delay: l.delays.mean, Rate: l.rate.perSecond}
	now := l.clock()
	for _, list := range l.waiting {
		if len(list) > 0 {
			s.LongestWait = max(s.LongestWait, now.Sub(list[0].enqueuedAt))
		}
	}
	return s
}

// InFlight is an order in flight.
type InFlight struct {
	limiter   *Limiter
	arrivedAt time.Time // when Acquire was called
	sentAt    time.Time
	timer     *time.Timer
	released  bool // no longer counts against the limit
}

// newInFlight returns an order that arrived at the given time and is sent now, and starts
// the timer of its expiry. The order has been counted in inFlight already.
func (l *Limiter) newInFlight(arrivedAt time.Time) *InFlight {
	f := &InFlight{limiter: l, arrivedAt: arrivedAt, sentAt: l.clock()}
	f.timer = time.AfterFunc(max(expiryDelays*l.delays.mean, minExpiry), f.expire)
	return f
}

// expire releases an order that has not been answered within its expiry. Its answer may
// still come and be measured.
func (f *InFlight) expire() {
	f.limiter.mu.Lock()
	defer f.limiter.mu.Unlock()
	f.release()
}

// release stops counting the order against the limit and admits waiting orders. It does
// nothing if the order was released before.
func (f *InFlight) release() {
	if f.released {
		return
	}
	f.released = true
	f.limiter.inFlight--
	f.limiter.admit()
}

// Done ends the order and admits waiting ones, unless it had expired before. Only an
// answered order counts as a measurement of delay: a missing answer may be the target's
// fault.
func (f *InFlight) Done(answered bool) {
	l := f.limiter
	f.timer.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		now := l.clock()
		waiting := l.queuedThrough(classes-1) > 0
		l.delays.observe(now.Sub(f.sentAt))
		l.latency.observe(now.Sub(f.arrivedAt))
		l.limit.observe(now.Sub(f.sentAt), waiting || l.inFlight >= int(l.limit.size), now)
		l.rate.observe(waiting, now)
	}
	f.release()
}
