// Package seeded runs rapid's property tests from a fixed seed, so that every run of
// CI gets the same result. A seed given on the command line with -rapid.seed takes
// precedence.
package seeded
