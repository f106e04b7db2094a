package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// Prefix begins the name of every metric.
const Prefix = "guavaglade"

// passEvery is the time between two passings of the counts to what is shown: less
// than any scrape interval.
const passEvery = 2 * time.Second

// Latencies are the bounds of latency histograms: from what a call takes within a
// zone to the longest time-out.
var Latencies = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
}

// New returns a scope to count in, a handler that shows what was counted, and
// what ends both.
func New() (tally.Scope, http.Handler, io.Closer) {
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: Prefix, CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, passEvery)
	return scope, reporter.HTTPHandler(), closer
}
