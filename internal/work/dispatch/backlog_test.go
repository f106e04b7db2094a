package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/limiter"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// makeJob returns a job of one step, accepted now.
func (d *simulation) makeJob(n, priority int, step graph.Step) *graph.Job {
	step.Estimate = 5 * time.Second
	j := &graph.Job{
		ID: graph.JobID(fmt.Sprintf("%016x", n)), Queue: "q", Service: "s", Account: "a", Priority: priority, MaxAttempts: 3,
		SlackFactor: 3, Allowance: time.Second, AcceptedAt: d.now.UnixMilli(), Steps: []graph.Step{step},
	}
	d.p.Submit(j, pool.Behaviour{Work: func(graph.TaskID) time.Duration { return 5 * time.Second }})
	return j
}

// savedStarts returns the starts that a decision asks for once its runs are saved.
func savedStarts(d *simulation) (starts []Start) {
	for _, c := range d.m.Decide(d.now) {
		switch c := c.(type) {
		case Start:
			starts = append(starts, c)
		case Save:
			d.version++
			d.m.Saved(c.Part, d.version, d.now)
			starts = append(starts, savedStarts(d)...)
		}
	}
	return starts
}

// startAll has the machine start what it would, and has all starts answered.
func (d *simulation) startAll() {
	d.m.nextPassAt = time.Time{} // no pause since the last pass
	for _, c := range savedStarts(d) {
		d.m.StartAnswered(c.Target.ID, c.Order.Run, 1, nil, d.now)
	}
}

// A step of 200 tasks comes to a host that can order 40 starts in a short time. It
// placed and sent them all: what came next, however urgent, waited behind them. Now the
// rest is placed as answers come, and urgent work goes between.
func TestPendingStartsAreLimited(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 6, 8, DefaultBounds())
	d.m.SetMaxPendingStarts(40)
	wide := small(200)
	d.m.Accept(d.makeJob(1, 2, wide), d.now)
	first := savedStarts(d)
	is.Equal(len(first), 40)
	d.now = d.now.Add(backlogPause)
	is.Equal(len(savedStarts(d)), 0) // none was answered
	d.m.Accept(d.makeJob(2, 0, urgentGang(4, 1)), d.now)
	is.Equal(len(savedStarts(d)), 4)
	for _, c := range first {
		d.m.StartAnswered(c.Target.ID, c.Order.Run, 1, nil, d.now)
	}
	d.now = d.now.Add(backlogPause)
	is.Equal(len(savedStarts(d)), 36) // beside the four urgent ones
}

// Starts that a target does not answer are not the host's: they hold up nothing once
// their first try is over.
func TestUnansweredStartsDoNotCountAsPending(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 6, 8, DefaultBounds())
	d.m.SetMaxPendingStarts(40)
	d.m.Accept(d.makeJob(1, 2, small(60)), d.now)
	first := savedStarts(d)
	is.Equal(len(first), 40)
	for _, c := range first {
		d.m.StartAnswered(c.Target.ID, c.Order.Run, 0, order.ErrUnanswered, d.now)
	}
	d.now = d.now.Add(backlogPause)
	is.Equal(len(savedStarts(d)), 20)
}

// What an account is guaranteed must begin in time, however much else is on its way.
func TestGuaranteedWorkIgnoresPendingStartLimit(t *testing.T) {
	is := is.New(t)
	b := DefaultBounds()
	d := newSimulation(t, 6, 8, b)
	d.m.SetGuarantees(map[string]int{"a": 100})
	d.m.SetMaxPendingStarts(4)
	d.m.Accept(d.makeJob(1, 0, urgentGang(4, 1)), d.now)
	is.Equal(len(savedStarts(d)), 4)
	d.m.Accept(d.makeJob(2, 0, urgentGang(4, 1)), d.now)
	is.Equal(len(savedStarts(d)), 0)
	d.now = d.now.Add(b.ReclaimTime - b.MaxStopTime - reclaimMargin + 10*time.Millisecond)
	d.m.UpdateTargets(d.p.Roster(), d.now, d.now)
	is.Equal(len(savedStarts(d)), 4)
}

// A leader whose orders take a second clears room for guaranteed work so much earlier,
// and its starts go before others. Cleared at the usual time, the work began a second
// after it had to.
func TestGuaranteedWorkPreemptsEarlierOnSlowHost(t *testing.T) {
	is := is.New(t)
	b := DefaultBounds()
	d := newSimulation(t, 1, 8, b)
	d.m.SetGuarantees(map[string]int{"a": 100})
	d.m.Accept(d.makeJob(1, 2, small(64)), d.now)
	d.startAll()
	d.now = d.now.Add(30 * time.Second) // all that runs is too dear to stop for less
	const slow = 500 * time.Millisecond
	d.m.SetOrderTime(slow)
	d.m.Accept(d.makeJob(2, 0, urgentGang(4, 8)), d.now)
	s := d.m.openSteps[len(d.m.openSteps)-1]
	usual := b.ReclaimTime - b.MaxStopTime - reclaimMargin
	is.True(!d.m.guaranteeDue(s, d.now.Add(usual-2*slow-10*time.Millisecond)))
	is.True(d.m.guaranteeDue(s, d.now.Add(usual-2*slow+10*time.Millisecond)))
	is.Equal(d.m.startClass(s, d.now.Add(usual)), limiter.UrgentStart)
	is.Equal(d.m.startClass(s, d.now), limiter.Start)
}

// A gang of 16 ends. Each of its other members was told to stop, though it had ended
// with the one that was listed first: a third of all orders of a leader were such.
func TestEndedGangIsNotStopped(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 2, 8, DefaultBounds())
	stops := 0
	d.dropCommand = func(c Command) bool {
		if _, ok := c.(Stop); ok {
			stops++
		}
		return false
	}
	id := d.submit(1, time.Second, urgentGang(16, 4))
	d.run(3 * time.Second)
	is.True(d.duration(id) > 0)
	is.Equal(stops, 0)
	is.Equal(d.m.Counts().Runs, 0)
	d.check()
}
