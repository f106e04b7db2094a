package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// Prefix is the prefix of all metric names.
const Prefix = "guavaglade"

// reportInterval is the interval at which recorded values are passed to the handler. It
// is shorter than any scrape interval.
const reportInterval = 2 * time.Second

// LatencyBuckets are the bucket bounds of latency histograms. They range from the
// latency of a call within a zone to the longest timeout.
var LatencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// New returns a scope for recording metrics, a handler that serves them, and a closer
// that stops both.
func New() (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: Prefix, CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}
