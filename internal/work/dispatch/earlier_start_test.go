package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The first copy of a start is executed late, the leader changes, and the target of the run starts again
// under its id, out of reach of the new leader, which knows it from the list. Guards against a second run
// beside the one that the start of the earlier leader begins on the new incarnation.
func TestStartOfEarlierLeaderMayReachNewIncarnation(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	starts := 0
	d.lateBy = func(c Command) time.Duration {
		if _, ok := c.(Start); ok {
			if starts++; starts == 1 {
				return 4 * time.Second
			}
		}
		return 0
	}
	id := d.submit(2, 8*time.Second, small(1))
	d.run(800 * time.Millisecond)
	first := d.m.jobs[id].steps[0].tasks[0].runs[0].target
	is.Equal(d.p.RunningOf(id), 1) // by the second copy
	d.changeLeader()
	d.run(300 * time.Millisecond)
	d.disconnected[first.Address] = true
	d.p.Restart(first.ID, 100*time.Millisecond, d.now)
	d.runWithListing(9)
	is.True(d.p.StartsOf(id) > 1) // also elsewhere, once the earlier leader's leases are over
	delete(d.disconnected, first.Address)
	d.runWithListing(30)
	d.check()
}

// The same while the new leader reaches the target. Guards against a task that waits for the leases of the
// earlier leader, or for the answer to a stop, although the new incarnation has reported without its run.
func TestRunOfEarlierLeaderIsStartedAgainOnceNewIncarnationReports(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	id := d.submit(2, 8*time.Second, small(1))
	d.run(800 * time.Millisecond)
	first := d.m.jobs[id].steps[0].tasks[0].runs[0].target.ID
	d.changeLeader()
	d.run(300 * time.Millisecond)
	d.dropCommand = func(c Command) bool { _, ok := c.(Stop); return ok }
	d.p.Restart(first, simulationStep, d.now)
	d.run(2 * simulationStep)
	d.listTargets()
	d.run(200 * time.Millisecond)
	is.Equal(d.p.StartsOf(id), 2)
	d.dropCommand = nil
	d.runWithListing(20)
	d.check()
}
