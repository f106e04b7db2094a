// Package retry tries calls to peers again without making a failure worse.
//
// A Caller waits between tries with exponential backoff and jitter. It carries
// the caller's deadline along: a try that could not start before the deadline
// is not waited for, and the caller gets its final answer at once. Retries to a
// peer are a bounded share of the traffic to it, so that a peer that is down or
// overloaded is not buried under repeats. A peer that keeps failing is not
// called at all for a while (circuit), and the answer says when to come back.
//
// Only calls that are idempotent may be tried again; what must not be is marked
// with Permanent by the operation.
package retry
