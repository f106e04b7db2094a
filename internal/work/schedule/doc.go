// Package schedule decides which jobs of a zone start, which are reclaimed and
// which are refused.
//
// A Scheduler is told what arrived, ended, was cancelled or was lost, and what
// time it is; Decide returns what to do about it. It is pure: no clock, no
// goroutine, no input or output of its own.
package schedule
