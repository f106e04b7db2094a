package order

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/report/metrics"
)

// outcomes maps the values of the outcome label to the errors they count. ErrWithheld has
// none, since such an order does not reach the transport.
var outcomes = map[string]error{
	"fenced": ErrFenced, "staleRun": ErrStaleRun, "late": ErrLate, "noRoom": ErrNoCapacity, "noTicket": ErrNoTicket, "invalid": ErrInvalid,
	"unhealthy": ErrUnhealthy, "otherLife": ErrOtherIncarnation, "unreached": ErrUnreached, "unanswered": ErrUnanswered,
}

// Instrumented wraps a transport. It counts orders by outcome and records their latency.
type Instrumented struct {
	Transport
	orders map[string]*orderMetrics
}

// orderMetrics holds the metrics of one kind of order.
type orderMetrics struct {
	ok      tally.Counter
	failed  map[string]tally.Counter // by the value of the outcome label
	latency tally.Histogram
}

// NewInstrumented returns a transport that reports metrics to a scope. The metrics of polls
// have the order label hold.
func NewInstrumented(t Transport, scope tally.Scope) *Instrumented {
	i := &Instrumented{Transport: t, orders: map[string]*orderMetrics{}}
	for _, order := range []string{"start", "stop", "hold", "pace"} {
		tagged := scope.Tagged(map[string]string{"order": order})
		m := &orderMetrics{
			ok:     tagged.Tagged(map[string]string{"outcome": "ok"}).Counter("orders_total"),
			failed: map[string]tally.Counter{}, latency: tagged.Histogram("order_seconds", metrics.LatencyBuckets),
		}
		for name := range outcomes {
			m.failed[name] = tagged.Tagged(map[string]string{"outcome": name}).Counter("orders_total")
		}
		i.orders[order] = m
	}
	return i
}

// observe records the latency of an order that began at a time, and counts its outcome. An
// error that is none of outcomes is not counted.
func (m *orderMetrics) observe(began time.Time, err error) {
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

// Start implements Transport.
func (i *Instrumented) Start(ctx context.Context, to Address, s Start) (int64, error) {
	began := time.Now()
	clock, err := i.Transport.Start(ctx, to, s)
	i.orders["start"].observe(began, err)
	return clock, err
}

// Stop implements Transport.
func (i *Instrumented) Stop(ctx context.Context, to Address, r Run, term int64) (int64, error) {
	began := time.Now()
	clock, err := i.Transport.Stop(ctx, to, r, term)
	i.orders["stop"].observe(began, err)
	return clock, err
}

// Poll implements Transport.
func (i *Instrumented) Poll(ctx context.Context, to Address, p Poll) (Report, error) {
	began := time.Now()
	rep, err := i.Transport.Poll(ctx, to, p)
	i.orders["hold"].observe(began, err)
	return rep, err
}

// Pace implements Transport.
func (i *Instrumented) Pace(ctx context.Context, to Address, r Run, percent int, term int64) (int64, error) {
	began := time.Now()
	clock, err := i.Transport.Pace(ctx, to, r, percent, term)
	i.orders["pace"].observe(began, err)
	return clock, err
}
