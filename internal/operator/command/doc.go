// Package command is the command line of guavaglade.
//
// Exit codes: 0 done, 1 refused or failed, 2 usage. Errors go to standard
// error, one line that says what to do.
package command
