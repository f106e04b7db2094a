package store

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/report/metrics"
)

// Instrumented wraps a store. It counts calls by outcome and records their latency, which
// for Changes includes the wait for a change.
type Instrumented struct {
	Store
	calls map[string]*callMetrics
}

// callMetrics holds the metrics of one kind of call.
type callMetrics struct {
	ok, conflict, unavailable, unknown tally.Counter
	latency                            tally.Histogram
}

// NewInstrumented returns a store that reports metrics to a scope.
func NewInstrumented(s Store, scope tally.Scope) *Instrumented {
	i := &Instrumented{Store: s, calls: map[string]*callMetrics{}}
	for _, call := range []string{"commit", "read", "changes"} {
		tagged := scope.Tagged(map[string]string{"call": call})
		outcome := func(name string) tally.Counter {
			return tagged.Tagged(map[string]string{"outcome": name}).Counter("store_calls_total")
		}
		i.calls[call] = &callMetrics{
			ok: outcome("ok"), conflict: outcome("conflict"), unavailable: outcome("unavailable"), unknown: outcome("unknown"),
			latency: tagged.Histogram("store_seconds", metrics.LatencyBuckets),
		}
	}
	return i
}

// observe records the latency of a call that began at start, and counts its outcome. A
// conflict includes ErrCompacted; every error without an outcome of its own is unknown.
func (m *callMetrics) observe(start time.Time, err error) {
	m.latency.RecordDuration(time.Since(start))
	switch {
	case err == nil:
		m.ok.Inc(1)
	case errors.Is(err, ErrConflict), errors.Is(err, ErrCompacted):
		m.conflict.Inc(1)
	case errors.Is(err, ErrUnavailable):
		m.unavailable.Inc(1)
	default:
		m.unknown.Inc(1)
	}
}

// Commit implements Store.
func (i *Instrumented) Commit(ctx context.Context, tx Tx) (Result, error) {
	start := time.Now()
	res, err := i.Store.Commit(ctx, tx)
	i.calls["commit"].observe(start, err)
	return res, err
}

// Read implements Store.
func (i *Instrumented) Read(ctx context.Context, r Range) (Page, error) {
	start := time.Now()
	page, err := i.Store.Read(ctx, r)
	i.calls["read"].observe(start, err)
	return page, err
}

// Changes implements Store.
func (i *Instrumented) Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	start := time.Now()
	page, err := i.Store.Changes(ctx, table, after, wait)
	i.calls["changes"].observe(start, err)
	return page, err
}
