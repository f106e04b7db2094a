// Package dispatch is the leader's decision logic as a pure state machine: it is
// told what arrived, what targets and the store answered and what time it is,
// and returns the commands to carry out.
//
// A Machine lives for one term. It is told all accepted jobs and all registered
// targets at its start, learns from each target's first report what an earlier
// leader left running there, and only then places work there.
//
// What it keeps to, at every moment:
//
//   - The runs that may exist on a target never need more than its capacity. A
//     run may exist from the moment its start is commanded until its end is
//     listed, a stop was answered and a later report does not show it, the
//     target's life is over, or every lease that it may hold has lapsed.
//   - A task has one run that may exist, unless its step allows copies.
//   - An end is acknowledged only after the progress that contains it is saved.
//   - A job is shown as completed or failed only after that was saved.
//
// It holds no lock, clock, goroutine or random source: the same calls give the
// same commands.
package dispatch
