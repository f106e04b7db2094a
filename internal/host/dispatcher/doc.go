// Package dispatcher serves a term of leadership: it feeds events to a
// dispatch.Machine and executes the machine's commands by calls to the targets and
// the store.
//
// One goroutine owns the machine. Calls that may block run in goroutines of their own
// and post their results to it. A term begins by writing the fence rows of all
// partitions, then reads all rows, then polls all targets: what an earlier leader wrote
// or acknowledged before the fence is in the rows, and what it started is in the
// targets' reports.
package dispatcher
