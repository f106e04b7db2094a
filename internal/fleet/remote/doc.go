// Package remote is a worker over HTTP, as target.Worker.
//
// An error before anything was sent wraps target.ErrUnreached, a worker's
// refusal target.ErrRefused, a lapsed lease target.ErrLapsed, and an answer
// that did not come target.ErrUnknown.
package remote
