// Package command implements the command line of guavaglade.
//
// Exit codes: 0 done, 1 refused or failed, 2 usage error. Errors go to standard error,
// prefixed with the program's name, and say what to do where that is known.
package command
