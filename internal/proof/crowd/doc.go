// Package crowd opens many connections to a process that stall or never end what they send,
// and measures what the process and its sockets hold meanwhile.
//
// It is used by tests only. The processes are those of the program itself, built without the
// race detector, which multiplies the memory of what it observes.
package crowd
