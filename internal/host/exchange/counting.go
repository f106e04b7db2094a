package exchange

import (
	"context"
	"time"
)

// Figures of counts that are told again. Clients accept one that is two seconds
// old.
const (
	// countFor is how long a count is told to all that ask: the leader is asked four
	// times a second for a queue at the most, however many clients ask a host.
	countFor = 250 * time.Millisecond
	// countLast is how long a count is told while the leader does not answer: most
	// leaders are succeeded within it.
	countLast = 1500 * time.Millisecond
)

// count is how many jobs of a queue had not started.
type count struct {
	jobs int
	at   time.Time // when the leader was asked
}

// Pending returns how many jobs of a queue have not started, as the leader told it
// at most countLast ago.
func (x *Exchange) Pending(ctx context.Context, queue string) (int, error) {
	known := x.lastCount(queue)
	if !known.at.IsZero() && time.Since(known.at) < countFor {
		return known.jobs, nil
	}
	asked := time.Now()
	n, err := ask(ctx, x, methodPending, queue, func() (int, error) { return x.desk.Pending(ctx, queue) })
	switch {
	case err == nil:
		x.keepCount(queue, count{jobs: n, at: asked})
		return n, nil
	case !known.at.IsZero() && time.Since(known.at) < countLast:
		x.log.V(1).Info("count told again", "queue", queue, "ageMS", time.Since(known.at).Milliseconds(), "error", err.Error())
		return known.jobs, nil
	}
	return 0, err
}

func (x *Exchange) lastCount(queue string) count {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.counts[queue]
}

func (x *Exchange) keepCount(queue string, c count) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.counts[queue] = c
}
