// Package estimate says how long a job will run and what it will use, from what
// jobs of its kind did before.
//
// Declared run times are wrong by up to ten times either way, so they only
// serve until enough ends have been seen. Run times and usage are kept per
// service and kind in HDR histograms of fixed size.
package estimate
