package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartRack restarts the targets of a rack, which are cold for a while.
func (d *simulation) restartRack(rack string, cold time.Duration) {
	list := d.p.Roster()
	for i := range list {
		if list[i].Rack == rack {
			list[i].ColdRemainingMS = cold.Milliseconds()
		}
	}
	d.m.UpdateTargets(list, d.now, d.now)
	d.decide()
}

// All targets have just restarted and are cold. Filled at once, they would slow all
// pending work down; they get more as they warm up, and their whole capacity when they
// are warm.
func TestColdTargetsFillAsTheyWarmUp(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	d.restartRack("r1-0", 4*time.Second)
	d.submit(2, 20*time.Second, small(16))
	d.run(time.Second)
	after1 := d.p.Starts()
	is.True(after1 >= 2 && after1 <= 6) // of 16 accelerators
	d.run(2 * time.Second)
	after3 := d.p.Starts()
	is.True(after3 > after1 && after3 <= 13)
	d.run(1500 * time.Millisecond)
	is.Equal(d.p.Starts(), 16)
}

// The targets of one rack have just restarted and are cold. Those of the other rack are
// warm and have capacity for the whole job, so nothing starts on the cold ones.
func TestWarmTargetsArePreferred(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 2, 2, DefaultBounds())
	d.restartRack("r1-0", 10*time.Second)
	d.submit(2, time.Second, small(16))
	d.run(500 * time.Millisecond)
	is.Equal(d.p.StartsOn("r0-0#1")+d.p.StartsOn("r0-1#1"), 0)
	is.Equal(d.p.Starts(), 16)
	d.run(3 * time.Second)
	d.check()
}
