// Package linelog writes log lines without blocking the program.
//
// Lines are buffered in memory and written by one goroutine. If the output is slower than
// the program, or the program exceeds the maximum rate, lines are dropped and counted; the
// count is logged as a line of its own.
package linelog
