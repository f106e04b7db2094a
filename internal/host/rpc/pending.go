package rpc

import (
	"context"
	"time"
)

// Ages of cached counts. Clients accept a count that is two seconds old.
const (
	// countFresh is the age up to which a cached count is returned: a host asks the leader
	// at most four times a second for a queue, however many clients ask the host.
	countFresh = 250 * time.Millisecond
	// countStale is the age up to which a cached count is returned while the leader does
	// not answer. Most leaders are replaced within it.
	countStale = 1500 * time.Millisecond
)

// pendingCount is the number of jobs of a queue that had not started.
type pendingCount struct {
	jobs int
	at   time.Time // when the leader was asked
}

// Pending returns how many jobs of a queue have not started, as the leader reported at
// most countStale ago.
func (e *Endpoint) Pending(ctx context.Context, queue string) (int, error) {
	cached := e.cachedCount(queue)
	if !cached.at.IsZero() && time.Since(cached.at) < countFresh {
		return cached.jobs, nil
	}
	asked := time.Now()
	n, err := callLeader(ctx, e, methodPending, queue, func() (int, error) { return e.dispatcher.Pending(ctx, queue) })
	switch {
	case err == nil:
		e.cacheCount(queue, pendingCount{jobs: n, at: asked})
		return n, nil
	case !cached.at.IsZero() && time.Since(cached.at) < countStale:
		e.log.V(1).Info("stale count returned", "queue", queue, "ageMS", time.Since(cached.at).Milliseconds(), "error", err.Error())
		return cached.jobs, nil
	}
	return 0, err
}

func (e *Endpoint) cachedCount(queue string) pendingCount {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pendingCounts[queue]
}

func (e *Endpoint) cacheCount(queue string, c pendingCount) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingCounts[queue] = c
}
