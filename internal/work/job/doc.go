// Package job holds what callers ask for and what becomes of it.
//
// A Job is one request of a client account: a whole gang of tasks of one
// service. It is identified by an ID that is a function of the account and the
// caller's request id, so that submitting it twice is idempotent. An Outcome
// is its final state, with the answer.
//
// The final states: succeeded; failed (it ran and failed); cancelled; notRun
// (it did not run and will not run); lost (it may have run and will not run
// again).
package job
