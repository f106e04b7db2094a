// Package metrics sets up the counters and histograms of a process and serves them in
// the Prometheus text format.
package metrics
