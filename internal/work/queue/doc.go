// Package queue holds the jobs of a zone that wait, in the order in which they
// are to be tried.
//
// Jobs that ask for the same thing stand in one Bucket, the earliest first: if
// the first of a bucket finds no room, the others need not be tried. A Lane
// ranks the buckets: guaranteed before borrowed, urgent before the rest. The
// order among buckets of one lane is the scheduler's: it knows the shares.
//
// Cancelling takes constant time: the job is marked, and the mark is swept when
// the job would have been next, or when half of its bucket is marked.
package queue
