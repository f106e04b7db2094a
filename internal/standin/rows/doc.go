// Package rows is an in-memory stand-in for the platform's store of rows.
//
// A Table is linearizable and loses nothing. A Link is one host's connection to it,
// with injected faults: refused or unanswered calls, latency, answers lost after a
// write took effect, and unanswered writes that take effect later. Time is that of
// package time, so tests run it in a synctest bubble.
package rows
