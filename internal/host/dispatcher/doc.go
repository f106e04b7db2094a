// Package dispatcher carries a term of leadership out: it gives a
// dispatch.Machine its events, and carries out its commands over the lines to
// the targets and the store.
//
// One goroutine owns the machine. Everything that waits runs in a goroutine of
// its own and gives its result back. A term begins with the fences of all parts,
// then reads all rows, then asks all targets: what an earlier leader wrote or
// acknowledged before the fence is in the rows, and what it started is in the
// targets' reports.
package dispatcher
