package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// Steps that need whole targets find none, and go on asking for advice on all of them. Guards
// against a step behind them that fits everywhere, and is not asked for.
func TestStepsWithoutRoomDoNotUseUpAdvice(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 40, 8, DefaultBounds())
	d.advise = func(c Advise) ([]string, time.Duration, error) {
		return c.Targets, 5*time.Millisecond + 2*time.Millisecond*time.Duration(len(c.Targets)), nil
	}
	everywhere := small(320)
	everywhere.LongRunning, everywhere.PerTarget = true, 1
	d.submit(2, time.Second, everywhere)
	d.run(2 * time.Second)
	submit := func(step graph.Step) graph.JobID {
		j := &graph.Job{Priority: 2, SlackFactor: 3, Allowance: time.Second, Steps: []graph.Step{step}, Advised: true, AdviceValid: ticketTime}
		return d.submitJob(j, pool.Behaviour{Work: func(graph.TaskID) time.Duration { return time.Second }})
	}
	whole := wholeTarget()
	whole.Estimate = 8 * time.Second
	for range 6 {
		submit(whole)
	}
	d.run(5 * time.Second)
	id := submit(small(17))
	d.runWithListing(3)
	is.True(d.p.StartsOf(id) > 0)
}
