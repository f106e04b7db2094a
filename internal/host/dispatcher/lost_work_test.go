package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// A run of half a core is stopped after 3 s since its job was cancelled. Guards against parts of a core-second
// that are lost at each count, and against work that is counted again at the next one.
func TestLostWorkIsCountedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	scope := tally.NewTestScope("", nil)
	l := newLeadership(rows.New(0), &orderCounter{}, now, now)
	l.metrics, l.machine = scope, dispatch.New(7, dispatch.DefaultBounds())
	l.machine.UpdateTargets([]roster.Target{{ID: "t1", Address: "t1", Capacity: graph.Resources{CPU: 64000}}}, now, now)
	run := order.Run{Task: graph.StepID{Job: someJob}.Task(0), Number: 1}
	j := &graph.Job{ID: someJob, Priority: 2, MaxAttempts: 1, Steps: []graph.Step{{Count: 1, Needs: graph.Resources{CPU: 500}}}}
	l.machine.Restore(j, &progress.Job{State: progress.Running}, 1, false, now)
	l.machine.Polled("t1", dispatch.Poll{Sent: now}, order.Report{Clock: 1, Running: []order.Running{{Run: run}}}, now)
	l.machine.Cancel(someJob, now)
	now = now.Add(3 * time.Second)
	l.machine.Polled("t1", dispatch.Poll{Sent: now}, order.Report{Clock: 3001, Ended: []order.Ended{{Number: 1, Run: run, Reason: order.Stopped}}}, now)
	l.recordLostWork()
	l.recordLostWork()
	counters := scope.Snapshot().Counters()
	is.Equal(len(counters), 1)
	is.Equal(counters["work_lost_core_seconds_total+cause=jobEnded,priority=2"].Value(), int64(1)) // of 1.5
	is.Equal(l.lostCounted[stages.JobEnded][2], int64(1))
}
