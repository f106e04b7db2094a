// Package headroom decides how much capacity to keep free for urgent jobs that would be
// late if they had to wait until preempted runs have stopped.
//
// Arrivals of the last seconds give the rate of such jobs. Headroom is what they are
// expected to need during one stop time, plus two standard deviations, since they come as
// gangs of different sizes. It is bounded by a share of the usable capacity, so that other
// work makes progress, and one job counts as at most a part of that bound.
//
// A Tracker has no lock, clock, goroutine or random source. An arrival costs constant time
// and memory.
package headroom
