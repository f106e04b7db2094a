// Package dispatch implements the leader's decisions as a deterministic state
// machine. Its inputs are jobs, answers of targets and of the store, and the time;
// its outputs are commands that the caller executes.
//
// A Machine serves one term. It gets all accepted jobs and all registered targets
// at the start of the term. It places work on a target only after the target's first
// report, which lists the runs that an earlier leader started there.
//
// Invariants:
//
//   - The runs that may exist on a target never need more than its capacity. A
//     run may exist from the moment its start is commanded until its end is
//     listed, a stop was answered and a later report does not list it, the
//     target's incarnation has ended, or every lease that it may hold has lapsed.
//   - A task has at most one run that may exist, unless its step allows speculative
//     runs.
//   - An end is acknowledged only after the progress that contains it is saved.
//   - A job is published as completed or failed only after that state is saved.
//
// A Machine has no lock, clock, goroutine or random source: the same calls return
// the same commands.
package dispatch
