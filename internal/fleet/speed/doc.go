// Package speed estimates how fast targets are for good, from the runs on them.
//
// Targets of one service may be of several kinds that their labels do not show. Estimates of
// run time are too rough to show it either, so only runs of the same step on different targets
// are compared:
//
//	log(run time / estimate) = factor of the step + slowness of the target + noise
//
// The noise is heavy-tailed. Factors and slownesses are fitted together by iteratively
// reweighted least squares with weights of Student's t distribution (Lange, Little and Taylor,
// Robust Statistical Modeling Using the t Distribution, JASA 84, 1989). The slownesses have a t
// distribution, too, whose scale is estimated from the products of residuals of one target in
// different steps: these are positive on average only if targets differ. While the average is
// not significantly above zero, every target counts as alike, and its slowness is exactly 1.
//
// Slowness 1 is the median of the fleet; a target with slowness 0.5 needs half the time. Faults
// that make a target slow for some seconds are the matter of package health.
package speed
