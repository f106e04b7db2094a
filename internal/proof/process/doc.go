// Package process proves promises over separate processes: stand-ins and hosts
// are started from the built binary on loopback, are killed, stopped and
// replaced while callers ask, and what callers were told is held against what
// the workers counted. It has test files only.
package process
