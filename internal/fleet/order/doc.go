// Package order defines the orders that a leader sends to targets: start, stop and pace
// runs of tasks, renew leases, and poll for what runs and what has ended.
//
// Every order carries the leader's term as a fencing token; a target rejects a token
// lower than the highest it has seen. One lease covers everything that runs on a target:
// a deadline on the target's own clock that only moves forward. An order without an
// answer may have been executed, or may be executed seconds later.
package order
