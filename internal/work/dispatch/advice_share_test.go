package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// newAdvisedFleet returns a simulation of 40 racks of eight targets, of which perRack in each rack have a
// long-running task with that many accelerators, and an advice service that permits all targets. It takes
// 65 ms for a call of the largest size.
func newAdvisedFleet(t *testing.T, accelerators, perRack int) *simulation {
	d := newSimulation(t, 40, 8, DefaultBounds())
	d.advise = func(c Advise) ([]string, time.Duration, error) {
		return c.Targets, 5*time.Millisecond + 2*time.Millisecond*time.Duration(len(c.Targets)), nil
	}
	for r := range 40 {
		long := small(perRack)
		long.Needs.Accelerators, long.LongRunning, long.PerTarget = accelerators, true, 1
		long.Gang, long.DataRack = true, fmt.Sprintf("r1-%d", r)
		d.submit(2, time.Second, long)
	}
	d.run(2 * time.Second)
	return d
}

// submitPermitted submits a job of one step that needs advice.
func (d *simulation) submitPermitted(priority int, step graph.Step) graph.JobID {
	j := &graph.Job{Priority: priority, SlackFactor: 3, Allowance: time.Second, Steps: []graph.Step{step}, Advised: true, AdviceValid: ticketTime}
	return d.submitJob(j, pool.Behaviour{Work: func(graph.TaskID) time.Duration { return time.Second }})
}

// Gangs need more targets than are free. Guards against gangs that go on asking for advice on all targets,
// and a step behind them that fits on the free ones and is not asked for.
func TestGangsWithoutRoomDoNotUseUpAdvice(t *testing.T) {
	is := is.New(t)
	d := newAdvisedFleet(t, 8, 7)
	whole := wholeTarget()
	whole.Count, whole.Gang, whole.Estimate = 64, true, 5*time.Second // 40 targets are free
	for range 6 {
		d.submitPermitted(2, whole)
	}
	d.run(5 * time.Second)
	id := d.submitPermitted(2, small(17))
	d.runWithListing(3)
	is.True(d.p.StartsOf(id) > 0)
}

// Urgent tasks need whole targets, and may preempt nothing. Guards against urgent work that has a step of
// less urgency wait for advice although it cannot be placed itself.
func TestUrgentStepsWithoutRoomDoNotUseUpAdvice(t *testing.T) {
	is := is.New(t)
	d := newAdvisedFleet(t, 1, 8)
	for range 6 {
		d.submitPermitted(0, wholeTarget())
	}
	d.run(5 * time.Second)
	id := d.submitPermitted(2, small(17))
	d.runWithListing(3)
	is.True(d.p.StartsOf(id) > 0)
}

// An urgent task needs a whole target, and must preempt. Guards against advice that is asked only for
// steps that fit in free capacity, while one without room asks for itself.
func TestAdviceIsRequestedForTaskThatMustPreempt(t *testing.T) {
	is := is.New(t)
	d := newAdvisedFleet(t, 1, 4) // the other targets are filled below
	filling := wholeTarget()
	filling.Count, filling.Estimate = 160, 20*time.Second
	d.submit(2, 20*time.Second, filling)
	d.run(2 * time.Second)
	waiting := wholeTarget()
	waiting.Estimate = 20 * time.Second
	for range 6 {
		d.submitPermitted(2, waiting)
	}
	d.run(2 * time.Second)
	id := d.submitPermitted(0, wholeTarget())
	d.runWithListing(6)
	is.True(d.p.StartsOf(id) > 0)
}

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
