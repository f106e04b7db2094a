package order

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/report/metrics"
)

// outcomes are the outcomes by which orders are counted.
var outcomes = map[string]error{
	"fenced": ErrFenced, "staleRun": ErrStaleRun, "late": ErrLate, "noRoom": ErrNoCapacity, "noTicket": ErrNoTicket, "invalid": ErrInvalid,
	"unhealthy": ErrUnhealthy, "otherLife": ErrOtherIncarnation, "unreached": ErrUnreached, "unanswered": ErrUnanswered,
}

// Counted passes orders on to a line, counts them by outcome and times them.
type Counted struct {
	Transport
	orders map[string]*orderMetrics
}

type orderMetrics struct {
	ok      tally.Counter
	failed  map[string]tally.Counter
	latency tally.Histogram
}

// NewCounted returns a line that counts in the scope.
func NewCounted(l Transport, scope tally.Scope) *Counted {
	c := &Counted{Transport: l, orders: map[string]*orderMetrics{}}
	for _, order := range []string{"start", "stop", "hold", "pace"} {
		tagged := scope.Tagged(map[string]string{"order": order})
		m := &orderMetrics{
			ok:     tagged.Tagged(map[string]string{"outcome": "ok"}).Counter("orders_total"),
			failed: map[string]tally.Counter{}, latency: tagged.Histogram("order_seconds", metrics.Latencies),
		}
		for name := range outcomes {
			m.failed[name] = tagged.Tagged(map[string]string{"outcome": name}).Counter("orders_total")
		}
		c.orders[order] = m
	}
	return c
}

func (m *orderMetrics) note(began time.Time, err error) {
	m.latency.RecordDuration(time.Since(began))
	if err == nil {
		m.ok.Inc(1)
		return
	}
	for name, is := range outcomes {
		if errors.Is(err, is) {
			m.failed[name].Inc(1)
			return
		}
	}
}

// Start implements Line.
func (c *Counted) Start(ctx context.Context, to Address, s Start) (int64, error) {
	began := time.Now()
	clock, err := c.Transport.Start(ctx, to, s)
	c.orders["start"].note(began, err)
	return clock, err
}

// Stop implements Line.
func (c *Counted) Stop(ctx context.Context, to Address, r Run, term int64) (int64, error) {
	began := time.Now()
	clock, err := c.Transport.Stop(ctx, to, r, term)
	c.orders["stop"].note(began, err)
	return clock, err
}

// Hold implements Line.
func (c *Counted) Hold(ctx context.Context, to Address, h Poll) (Report, error) {
	began := time.Now()
	rep, err := c.Transport.Poll(ctx, to, h)
	c.orders["hold"].note(began, err)
	return rep, err
}

// Pace implements Line.
func (c *Counted) Pace(ctx context.Context, to Address, r Run, percent int, term int64) (int64, error) {
	began := time.Now()
	clock, err := c.Transport.Pace(ctx, to, r, percent, term)
	c.orders["pace"].note(began, err)
	return clock, err
}
