// Package entry serves requests of clients: it stores jobs before it accepts them,
// stores cancellations, and returns the states of jobs.
//
// A request whose outcome cannot be determined before its deadline fails with
// ErrOutcomeUnknown: the client repeats it with the same id. It fails with
// ErrNotAccepted only if nothing can have been stored.
package entry
