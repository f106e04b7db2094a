// Package intake is the decision logic of an entry host as a pure state
// machine: Step takes an event and the time and returns commands.
//
// An entry remembers each job that it accepted until the outcome is known, and
// gives it to the current placer of its zone again whenever that changes or the
// placer is silent. Giving is idempotent: the placer knows jobs by their id. A
// job that the home zone can never run is passed on to another zone, one hop at
// the most and only while it was not started.
//
// A Machine has no goroutine, clock, input or output of its own.
package intake
