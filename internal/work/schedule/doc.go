// Package schedule decides which jobs of a zone start, which are reclaimed,
// throttled or stopped, and which are refused.
//
// A Scheduler is told what arrived, ended, was cancelled or was lost, and what
// time it is; Decide returns what to do about it. It is pure: no clock, no
// goroutine, no input or output of its own, and the same calls give the same
// decisions.
//
// The order of a round: what is out of time or can never run is answered at
// once; claims whose victims are gone start; then guaranteed jobs, urgent ones
// and borrowers are tried, each lane in its own order. The first borrower that
// finds no room holds a reservation, and others pass it only where they do not
// move its planned start.
package schedule
