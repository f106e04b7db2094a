package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// An urgent gang arrives while small tasks fill its rack. It meets its objective only if it
// preempts some of them. Those run again, and all jobs end.
func TestUrgentGangPreempts(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	d.submit(2, 6*time.Second, small(32))
	d.run(time.Second)
	id := d.submit(0, 2500*time.Millisecond, urgentGang(2, 8))
	d.run(4 * time.Second)
	is.True(d.duration(id) > 0)
	is.True(d.duration(id) < 4*time.Second) // its objective
	d.run(20 * time.Second)
	d.check()
}

// An urgent job of one small task arrives while a large gang fills the fleet. Preempting
// the gang would lose far more work than the job is worth, so the job waits and the gang
// goes on.
func TestCostlyPreemptionIsAvoided(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	gang := d.submit(1, 8*time.Second, largeGang(4, 8))
	d.run(5 * time.Second)
	d.submit(0, 2500*time.Millisecond, urgentGang(1, 1))
	d.run(3500 * time.Millisecond)
	is.True(d.duration(gang) > 0) // not stopped
	d.run(20 * time.Second)
	d.check()
}

// The same urgent job, but its account is guaranteed accelerators: it begins within
// ReclaimTime, whatever the gang loses.
func TestGuaranteedWorkPreemptsAtAnyCost(t *testing.T) {
	is := is.New(t)
	b := DefaultBounds()
	d := newSimulation(t, 1, 4, b)
	d.m.SetGuarantees(map[string]int{"a": 8})
	d.submit(1, 8*time.Second, largeGang(4, 8))
	d.run(time.Second)
	id := d.submit(0, 2500*time.Millisecond, urgentGang(1, 1))
	d.run(b.ReclaimTime)
	is.Equal(d.state(id), progress.Running)
	d.run(40 * time.Second)
	d.check()
}

// Tasks are preempted for an urgent gang, and the polls that would list their ends are
// lost. An extra poll of each target lists them, so the gang waits some tenths of a
// second and not until the polls time out.
func TestPreemptedCapacityIsFoundThoughPollsAreLost(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	d.submit(2, 6*time.Second, small(32))
	d.run(1500 * time.Millisecond)
	d.dropCommand = func(c Command) bool {
		poll, ok := c.(Poll)
		return ok && !poll.Extra
	}
	d.run(1500 * time.Millisecond) // the answered polls are followed by new ones, which are lost
	id := d.submit(0, 2500*time.Millisecond, urgentGang(2, 8))
	d.run(1500 * time.Millisecond)
	is.Equal(d.state(id), progress.Running)
	d.dropCommand = nil
	d.run(25 * time.Second)
	d.check()
}

// An urgent gang waits for capacity that it may not preempt yet. Targets are reserved for
// it, so that small tasks that arrive later do not take the capacity that is freed.
func TestTargetsAreReserved(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	d.submit(1, 3*time.Second, graph.Step{Count: 2, Needs: graph.Resources{CPU: 26000, Accelerators: 8}, Estimate: 8 * time.Second, Gang: true})
	d.run(2500 * time.Millisecond)
	id := d.submit(0, 2500*time.Millisecond, urgentGang(2, 4))
	d.submit(2, 6*time.Second, small(16))
	d.run(time.Second) // the large gang ends
	is.Equal(d.state(id), progress.Running)
	d.run(30 * time.Second)
	d.check()
}
