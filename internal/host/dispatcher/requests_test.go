package dispatcher

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// Guards against a job that runs when its rows are removed: the notification of it was held up for minutes.
func TestOldNoticeOfJobIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLeadership(rows.New(0), &orderCounter{}, time.Now(), time.Now())
		l.machine = dispatch.New(1, dispatch.DefaultBounds())
		l.setServing(l)
		is.NoErr(l.Submitted(t.Context(), &graph.Job{ID: someJob, AcceptedAt: time.Now().Add(-2 * time.Minute).UnixMilli()}))
		is.Equal(len(l.events), 0)
		done := make(chan error)
		go func() {
			done <- l.Submitted(t.Context(), &graph.Job{ID: someJob, Steps: []graph.Step{{Count: 1}}, AcceptedAt: time.Now().UnixMilli()})
		}()
		(<-l.events)(time.Now())
		is.NoErr(<-done)
	})
}
