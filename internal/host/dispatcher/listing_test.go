package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
)

// slowRoster takes latency for each list, and records when it was called.
type slowRoster struct {
	latency time.Duration
	calls   []time.Time
}

func (r *slowRoster) Targets(ctx context.Context) ([]roster.Target, error) {
	r.calls = append(r.calls, time.Now())
	sleep(ctx, r.latency)
	return nil, ctx.Err()
}

// Reading the list of targets takes 0.6 s. If the interval counted from the end of the
// last read, the list would get up to 2.2 s old, past MaxListAge, and nothing would start
// for a part of each interval.
func TestListIntervalCountsFromStartOfLastRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &slowRoster{latency: 600 * time.Millisecond}
		d := New(rows.New(0), &orderCounter{}, r, dispatch.DefaultBounds(), logr.Discard(), WithClock(time.Now))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_ = d.Lead(ctx, leader.NewTerm(1, time.Now()), leader.Predecessors{}) // ends with the context
		is.True(len(r.calls) > 5)
		for i := range r.calls[1:] {
			oldest := r.calls[i+1].Sub(r.calls[i]) + r.latency
			is.True(oldest <= d.bounds.MaxListAge) // age of the list that is in use when the next one arrives
		}
	})
}
