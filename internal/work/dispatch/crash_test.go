package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// submitCrashing submits a job of priority 2 with the steps, of which the first task of the
// first step crashes each target that starts it. The other tasks take three seconds.
func (d *simulation) submitCrashing(steps ...graph.Step) graph.JobID {
	d.nextID++
	j := &graph.Job{
		ID: graph.JobID(fmtID(d.nextID)), Queue: "q", Service: "s", Account: "a", Priority: 2,
		MaxAttempts: 3, SlackFactor: 3, Allowance: time.Second, Steps: steps, AcceptedAt: d.now.UnixMilli(),
	}
	d.p.Submit(j, pool.Behaviour{
		Work:    func(graph.TaskID) time.Duration { return 3 * time.Second },
		Crashes: func(id graph.TaskID, _ int) bool { return id.Step == 0 && id.Index == 0 },
	})
	d.submittedAt[j.ID] = d.now
	d.m.Accept(j, d.now)
	d.decide()
	return j.ID
}

// A task crashes each target that starts it. It must be given up, and its job shown as
// failed, instead of taking down one target after the other for as long as the job lives.
func TestTaskThatCrashesTargetsIsGivenUp(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 2, 4, DefaultBounds())
	crashing := d.submitCrashing(small(1))
	for range 8 {
		d.submit(2, 3*time.Second, small(2))
		d.runWithListing(1)
	}
	d.runWithListing(40)
	d.check()
	is.Equal(d.state(crashing), progress.Failed)
	is.True(d.p.Crashes() <= 5)
	for id := range d.submittedAt {
		if id != crashing {
			is.Equal(d.state(id), progress.Completed)
		}
	}
}
