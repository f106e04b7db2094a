package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// targetOfJob returns the first target on which a job has a run, empty if it has none.
func (d *simulation) targetOfJob(id string) string {
	for _, x := range d.m.sortedTargets {
		for r := range x.runs {
			if string(r.Task.Job) == id {
				return x.ID
			}
		}
	}
	return ""
}

// The runs on a target stall while it reports itself healthy. A run with checkpoints is
// moved after some reports without progress, and the target gets no new work.
func TestStalledRunIsMoved(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	s := small(1)
	s.Checkpointing = true
	id := d.submit(2, 6*time.Second, s)
	d.run(3 * time.Second)
	bad := d.targetOfJob(string(id))
	d.p.SetStalled(bad, true)
	d.run(5 * time.Second)
	is.True(d.targetOfJob(string(id)) != bad)
	next := d.submit(2, time.Second, small(1))
	d.run(100 * time.Millisecond)
	is.True(d.targetOfJob(string(next)) != bad)
	d.run(10 * time.Second)
	d.check()
}

// A stalled run without checkpoints is left for some seconds, since most stalls pass, and
// is given up if the stall lasts.
func TestLongStallIsGivenUp(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	id := d.submit(2, 6*time.Second, small(1))
	d.run(3 * time.Second)
	bad := d.targetOfJob(string(id))
	d.p.SetStalled(bad, true)
	d.run(5 * time.Second)
	is.Equal(d.targetOfJob(string(id)), bad)
	d.run(9 * time.Second)
	is.True(d.targetOfJob(string(id)) != bad)
	d.run(10 * time.Second)
	d.check()
}

// A target slows its runs down ten times. A run with checkpoints is moved, and ends long
// before it would have there.
func TestStragglerIsMoved(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	s := small(1)
	s.Checkpointing = true
	id := d.submit(2, 6*time.Second, s)
	d.run(500 * time.Millisecond)
	d.p.SetSpeed(d.targetOfJob(string(id)), 0.1)
	d.run(25 * time.Second)
	is.True(d.duration(id) > 0 && d.duration(id) < 20*time.Second)
	d.check()
}

// Jobs of one task come to a target that fails every run. Once some have lost a run there,
// it gets none any more, and all jobs end.
func TestFailingTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 3, DefaultBounds())
	bad := d.m.sortedTargets[0].ID // gets the first tasks
	d.p.SetFailing(bad, true)
	for range 12 {
		d.submit(2, time.Second, small(1))
	}
	d.run(4 * time.Second)
	is.True(d.p.StartsOn(bad) >= 2)
	before := d.p.StartsOn(bad)
	d.submit(2, time.Second, small(4))
	d.run(500 * time.Millisecond)
	is.Equal(d.p.StartsOn(bad), before)
	d.run(10 * time.Second)
	d.check()
}

// A target will leave before a long run there would end. A run with checkpoints is moved
// at once.
func TestRunIsMovedOffDrainingTarget(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	s := small(1)
	s.Checkpointing = true
	id := d.submit(2, 8*time.Second, s)
	d.run(time.Second)
	old := d.targetOfJob(string(id))
	d.p.Drain(old)
	list := d.p.Roster()
	for i := range list {
		if list[i].ID == old {
			list[i].RemainingMS = 2000
		}
	}
	d.m.UpdateTargets(list, d.now, d.now)
	d.run(3 * time.Second)
	is.True(d.targetOfJob(string(id)) != old)
	d.run(10 * time.Second)
	d.check()
}
