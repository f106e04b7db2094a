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

// slowRoster takes its time for each list, and notes when it was asked.
type slowRoster struct {
	takes time.Duration
	asked []time.Time
}

func (r *slowRoster) Targets(ctx context.Context) ([]roster.Target, error) {
	r.asked = append(r.asked, time.Now())
	sleep(ctx, r.takes)
	return nil, ctx.Err()
}

// A store takes six tenths of a second for the list of targets. The leader asked
// for the next one a second after it had got the last, which was then up to 2.2 s
// old, and for part of each round nothing was started for that.
func TestListIsReadFromTheBeginningOfTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &slowRoster{takes: 600 * time.Millisecond}
		d := New(rows.New(0), &sends{}, r, dispatch.DefaultBounds(), logr.Discard(), WithClock(time.Now))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_ = d.Lead(ctx, leader.NewTerm(1, time.Now()), true) // ends with the context
		is.True(len(r.asked) > 5)
		for i := range r.asked[1:] {
			oldest := r.asked[i+1].Sub(r.asked[i]) + r.takes
			is.True(oldest <= d.bounds.ListAge) // the list that is known when the next one comes
		}
	})
}
