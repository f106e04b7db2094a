// Package linelog writes log lines without ever making the program wait.
//
// Lines are gathered in memory and written by one goroutine. If the output is
// slower than the program, or the program writes more than its rate, lines are
// left out and counted; the count is written as a line of its own.
package linelog
