package pool

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
)

// TickInterval is how often a Shared pool advances its time.
const TickInterval = 20 * time.Millisecond

// Shared is a pool for concurrent use. Its time is that of package time, so tests run
// it in a synctest bubble.
type Shared struct {
	mu   sync.Mutex
	pool *Pool
}

// Share returns a shared pool and advances its time until the context ends.
func Share(ctx context.Context, p *Pool) *Shared {
	s := &Shared{pool: p}
	go func() {
		tick := time.NewTicker(TickInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
				s.Do(func(p *Pool, now time.Time) { p.Advance(now) })
			}
		}
	}()
	return s
}

// Do calls f with exclusive access to the pool and the current time. It does not advance
// the pool's time. f must not call methods of Shared.
func (s *Shared) Do(f func(p *Pool, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.pool, time.Now())
}

// Targets returns the live targets, as the leader's roster.
func (s *Shared) Targets(context.Context) (list []roster.Target, err error) {
	s.Do(func(p *Pool, _ time.Time) { list = p.Roster() })
	return list, nil
}

// Faults are the faults that a transport injects.
type Faults struct {
	Unreachable map[string]bool // ids of targets that get no order and give no answer
	LostAnswers float64         // share of the orders that are executed and not answered
	LateOrders  float64         // share of the orders that are not answered and executed LateBy later
	LateBy      time.Duration
}

// Transport is one host's connection to the targets of a shared pool.
type Transport struct {
	shared *Shared
	delay  time.Duration // one way
	rnd    *rand.Rand
	mu     sync.Mutex
	faults Faults
	polls  int
}

// NewTransport returns a transport without faults. rnd is used under the transport's lock.
func NewTransport(s *Shared, delay time.Duration, rnd *rand.Rand) *Transport {
	return &Transport{shared: s, delay: delay, rnd: rnd}
}

// SetFaults replaces the injected faults.
func (t *Transport) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Polls returns the number of calls of Poll.
func (t *Transport) Polls() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.polls
}

// draw returns the faults and two random numbers in [0, 1).
func (t *Transport) draw() (Faults, float64, float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.rnd.Float64(), t.rnd.Float64()
}

// send has an order executed, with the delay and the injected faults. An order that is
// not answered returns order.ErrUnanswered when the context ends, whether it was
// executed or not. The delay does not end with the context.
func (t *Transport) send(ctx context.Context, to order.Address, do func(p *Pool, now time.Time) (int64, error)) (clock int64, err error) {
	f, lose, late := t.draw()
	if f.Unreachable[to.ID] {
		<-ctx.Done()
		return 0, fmt.Errorf("stand-in: %w: %w", order.ErrUnanswered, ctx.Err())
	}
	if late < f.LateOrders {
		time.AfterFunc(f.LateBy, func() { t.shared.Do(func(p *Pool, now time.Time) { _, _ = do(p, now) }) }) // the answer is lost
		<-ctx.Done()
		return 0, fmt.Errorf("stand-in: %w: %w", order.ErrUnanswered, ctx.Err())
	}
	time.Sleep(t.delay)
	t.shared.Do(func(p *Pool, now time.Time) { clock, err = do(p, now) })
	if lose < f.LostAnswers {
		<-ctx.Done()
		return 0, fmt.Errorf("stand-in: %w: %w", order.ErrUnanswered, ctx.Err())
	}
	time.Sleep(t.delay)
	if err != nil {
		err = fmt.Errorf("stand-in: target %s: %w", to.ID, err)
	}
	return clock, err
}

// Start implements order.Transport.
func (t *Transport) Start(ctx context.Context, to order.Address, s order.Start) (int64, error) {
	return t.send(ctx, to, func(p *Pool, now time.Time) (int64, error) { return p.Start(to, s, now) })
}

// Stop implements order.Transport.
func (t *Transport) Stop(ctx context.Context, to order.Address, r order.Run, term int64) (int64, error) {
	return t.send(ctx, to, func(p *Pool, now time.Time) (int64, error) { return p.Stop(to, r, term, now) })
}

// Pace implements order.Transport.
func (t *Transport) Pace(ctx context.Context, to order.Address, _ order.Run, _ int, term int64) (int64, error) {
	return t.send(ctx, to, func(p *Pool, now time.Time) (int64, error) { return p.Pace(to, term, now) })
}

// Poll implements order.Transport. It polls the pool every TickInterval, each time with
// the delay and the faults, until the target lists an end, a poll fails or poll.Wait has
// passed. Only the first of these polls renews the lease and acknowledges ends.
func (t *Transport) Poll(ctx context.Context, to order.Address, poll order.Poll) (order.Report, error) {
	t.mu.Lock()
	t.polls++
	t.mu.Unlock()
	until := time.Now().Add(poll.Wait)
	for {
		rep, err := t.pollOnce(ctx, to, poll)
		if err != nil || len(rep.Ended) > 0 || !time.Now().Before(until) {
			return rep, err
		}
		time.Sleep(TickInterval)
		poll.Deadline, poll.Acked = 0, 0 // already granted, and already forgotten
	}
}

// pollOnce polls without waiting for an end. A late order may be executed after
// pollOnce has returned, so the report that it writes is read only if the order was
// answered.
func (t *Transport) pollOnce(ctx context.Context, to order.Address, poll order.Poll) (order.Report, error) {
	var rep order.Report
	_, err := t.send(ctx, to, func(p *Pool, now time.Time) (int64, error) {
		r, err := p.Poll(to, poll, now)
		rep = r
		return r.Clock, err
	})
	if err != nil {
		return order.Report{}, err
	}
	return rep, nil
}
