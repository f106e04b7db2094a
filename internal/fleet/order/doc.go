// Package order is the way to the targets: start and stop runs of tasks, renew
// their leases and read what runs and what ended.
//
// Every order carries the term of the leader that gives it as a fencing token;
// a target does nothing for a lower token than the highest it has seen. All
// that runs on a target is covered by one lease, a deadline on the target's own
// clock that only moves on. An order without an answer may have been carried
// out, or may be carried out seconds later.
package order
