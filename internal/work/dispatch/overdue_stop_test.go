package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// refuseStopsOfFirst has the target that gets the first stop refuse all of them, and returns a
// function that tells its id.
func (d *simulation) refuseStopsOfFirst() func() string {
	refusing := ""
	d.refuse = func(c Command) error {
		s, ok := c.(Stop)
		if ok && refusing == "" {
			refusing = s.Target.ID
		}
		if ok && s.Target.ID == refusing {
			return order.ErrUnhealthy
		}
		return nil
	}
	return func() string { return refusing }
}

// Members of an urgent gang await capacity on several targets, of which one refuses stops. Guards
// against a gang that waits for that one as long as it refuses, and holds the capacity that the other
// targets have freed.
func TestUrgentGangDoesNotAwaitARefusedStop(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	d.submit(2, 20*time.Second, small(32))
	d.run(time.Second)
	refusing := d.refuseStopsOfFirst()
	id := d.submit(0, time.Second, urgentGang(3, 8))
	d.runWithListing(5)
	is.True(refusing() != "")
	is.True(d.duration(id) > 0) // five seconds after it was submitted, with three other targets to preempt
	d.refuse = nil
	d.runWithListing(60)
	d.check()
}

// A target accepts a stop, and the run that it is for goes on. Other targets have work that may be
// preempted. Guards against an urgent task that waits for that target until the run is done.
func TestUrgentTaskDoesNotAwaitAStopWithoutEffect(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	step := wholeTarget()
	step.Count, step.Estimate = 4, 20*time.Second
	d.submit(2, 20*time.Second, step)
	d.run(time.Second)
	first := order.Run{}
	d.dropCommand = func(c Command) bool {
		s, ok := c.(Stop)
		if ok && first == (order.Run{}) {
			first = s.Run
			d.after(2*oneWay, func() { d.m.StopAnswered(s, 0, nil, d.now) })
		}
		return ok && s.Run == first
	}
	id := d.submit(0, time.Second, wholeTarget())
	d.runWithListing(5)
	is.True(first != order.Run{})
	is.True(d.duration(id) > 0) // five seconds after it was submitted, with three other targets to preempt
	d.dropCommand = nil
	d.runWithListing(60)
	d.check()
}

// A target that refuses stops has several runs, whose loss would be the smallest. Guards against
// stopping one after the other for a task that cannot begin there.
func TestTargetThatRefusesStopsIsNotPreempted(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	d.submit(2, 20*time.Second, small(16))
	d.run(time.Second)
	refusing := d.refuseStopsOfFirst()
	stopped := map[order.Run]bool{}
	refuse := d.refuse
	d.refuse = func(c Command) error {
		err := refuse(c)
		if s, ok := c.(Stop); ok && err != nil {
			stopped[s.Run] = true
		}
		return err
	}
	id := d.submit(0, time.Second, graph.Step{Count: 1, Needs: small(1).Needs, Estimate: time.Second})
	d.runWithListing(5)
	is.True(refusing() != "")
	is.True(d.duration(id) > 0)
	is.Equal(len(stopped), 1)
	d.refuse = nil
	d.runWithListing(60)
	d.check()
}
