// Package metrics sets up the counters and histograms of a process, and shows
// them as text in the Prometheus format.
package metrics
