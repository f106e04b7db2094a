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

// Step is how finely a Shared pool lets time pass.
const Step = 20 * time.Millisecond

// Shared is a pool that several goroutines use. Its time is that of package
// time, so tests run it in a synctest bubble.
type Shared struct {
	mu   sync.Mutex
	pool *Pool
}

// Share returns a shared pool and lets time pass for it until the context ends.
func Share(ctx context.Context, p *Pool) *Shared {
	s := &Shared{pool: p}
	go func() {
		tick := time.NewTicker(Step)
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

// Do calls f with the pool while nobody else uses it.
func (s *Shared) Do(f func(p *Pool, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.pool, time.Now())
}

// Targets implements the leader's roster.
func (s *Shared) Targets(context.Context) (list []roster.Target, err error) {
	s.Do(func(p *Pool, _ time.Time) { list = p.Roster() })
	return list, nil
}

// Fault is what is wrong with a line.
type Fault struct {
	Cut    map[string]bool // ids of targets that are not reached, silently
	Lose   float64         // share of the orders that are carried out and not answered
	Late   float64         // share of the orders that are not answered and carried out later
	LateBy time.Duration
}

// Line is one host's way to the targets of a shared pool.
type Line struct {
	shared *Shared
	delay  time.Duration // one way
	rnd    *rand.Rand
	mu     sync.Mutex
	wrong  Fault
	holds  int
}

// NewLine returns a line without faults. rnd is used under the line's lock.
func NewLine(s *Shared, delay time.Duration, rnd *rand.Rand) *Line {
	return &Line{shared: s, delay: delay, rnd: rnd}
}

// Set changes what is wrong with the line.
func (l *Line) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong = f
}

// Holds returns how many reports were asked for.
func (l *Line) Holds() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holds
}

func (l *Line) draw() (Fault, float64, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wrong, l.rnd.Float64(), l.rnd.Float64()
}

// give carries out an order with what is wrong with the line.
func (l *Line) give(ctx context.Context, to order.Address, do func(p *Pool, now time.Time) (int64, error)) (clock int64, err error) {
	f, lose, late := l.draw()
	if f.Cut[to.ID] {
		<-ctx.Done()
		return 0, fmt.Errorf("stand-in: %w: %w", order.ErrUnanswered, ctx.Err())
	}
	if late < f.Late {
		time.AfterFunc(f.LateBy, func() { l.shared.Do(func(p *Pool, now time.Time) { _, _ = do(p, now) }) }) // nobody waits for its answer
		<-ctx.Done()
		return 0, fmt.Errorf("stand-in: %w: %w", order.ErrUnanswered, ctx.Err())
	}
	time.Sleep(l.delay)
	l.shared.Do(func(p *Pool, now time.Time) { clock, err = do(p, now) })
	if lose < f.Lose {
		<-ctx.Done()
		return 0, fmt.Errorf("stand-in: %w: %w", order.ErrUnanswered, ctx.Err())
	}
	time.Sleep(l.delay)
	if err != nil {
		err = fmt.Errorf("stand-in: target %s: %w", to.ID, err)
	}
	return clock, err
}

// Start implements order.Transport.
func (l *Line) Start(ctx context.Context, to order.Address, s order.Start) (int64, error) {
	return l.give(ctx, to, func(p *Pool, now time.Time) (int64, error) { return p.Start(to, s, now) })
}

// Stop implements order.Transport.
func (l *Line) Stop(ctx context.Context, to order.Address, r order.Run, term int64) (int64, error) {
	return l.give(ctx, to, func(p *Pool, now time.Time) (int64, error) { return p.Stop(to, r, term, now) })
}

// Pace implements order.Transport. The stand-in's tasks do not disturb each other.
func (l *Line) Pace(ctx context.Context, to order.Address, _ order.Run, _ int, _ int64) (int64, error) {
	return l.give(ctx, to, func(*Pool, time.Time) (int64, error) { return 0, nil })
}

// Poll implements order.Transport.
func (l *Line) Poll(ctx context.Context, to order.Address, h order.Poll) (order.Report, error) {
	l.mu.Lock()
	l.holds++
	l.mu.Unlock()
	until := time.Now().Add(h.Wait)
	for {
		rep, err := l.hold(ctx, to, h)
		if err != nil || len(rep.Ended) > 0 || !time.Now().Before(until) {
			return rep, err
		}
		time.Sleep(Step)
		h.Deadline = 0 // granted already
	}
}

// hold asks once. An order that is late may be carried out after hold has
// returned: its report goes to a variable that nobody reads by then, so it is
// read only when the order was answered.
func (l *Line) hold(ctx context.Context, to order.Address, h order.Poll) (order.Report, error) {
	var rep order.Report
	_, err := l.give(ctx, to, func(p *Pool, now time.Time) (int64, error) {
		r, err := p.Hold(to, h, now)
		rep = r
		return r.Clock, err
	})
	if err != nil {
		return order.Report{}, err
	}
	return rep, nil
}
