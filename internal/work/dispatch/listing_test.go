package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const shortListAge = 1800 * time.Millisecond

func boundsWithListAge() Bounds {
	b := DefaultBounds()
	b.MaxListAge = shortListAge
	return b
}

// The store answers a leader slowly, or the leader is overloaded, so it has not read the
// list of targets for seconds, and a target has begun to drain since. Nothing is started
// on a stale list, and placement continues with the next one.
func TestNothingIsPlacedOnStaleTargetList(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, boundsWithListAge())
	d.run(3 * time.Second)
	id := d.submit(2, 500*time.Millisecond, small(4))
	d.run(time.Second)
	is.Equal(d.p.Starts(), 0)
	d.p.Drain("r0-0#1")
	d.listTargets()
	d.run(1500 * time.Millisecond)
	is.Equal(d.p.StartsOn("r0-0#1"), 0)
	is.Equal(d.p.StartsOn("r0-1#1"), 4)
	is.True(d.duration(id) > 0)
	d.check()
}

// A start is being saved, which takes the slow store a second, and its target begins to
// drain: the start is not sent, and the task goes to another target.
func TestTargetDrainsWhileStartIsSaved(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, boundsWithListAge())
	d.listTargets()
	d.slowSaveTime = time.Second
	id := d.submit(2, 500*time.Millisecond, small(4))
	d.run(500 * time.Millisecond)
	d.p.Drain("r0-0#1")
	d.listTargets()
	d.runWithListing(5)
	is.Equal(d.p.StartsOn("r0-0#1"), 0)
	is.Equal(d.p.StartsOn("r0-1#1"), 4)
	is.True(d.duration(id) > 0)
	d.check()
}

// The starts of a gang on several targets are being saved, which takes the slow store a
// second, and one of the targets begins to drain: no member starts, not even those that come after
// the one on that target, and the whole gang is started elsewhere.
func TestTargetDrainsWhileGangIsSaved(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, boundsWithListAge())
	d.listTargets()
	d.slowSaveTime = time.Second
	gang := small(3)
	gang.Gang, gang.Needs.Accelerators = true, 8
	id := d.submit(2, 500*time.Millisecond, gang)
	d.run(500 * time.Millisecond)
	d.p.Drain("r0-0#1")
	d.listTargets()
	d.runWithListing(8)
	is.Equal(d.p.StartsOn("r0-0#1"), 0)
	is.Equal(d.p.Starts(), 3)
	is.True(d.duration(id) > 0)
	d.check()
}

// The store takes a second to save a start, which is not sent before. If it were, and the
// leader then lost power, a next leader that cannot reach the target would not know of the
// run and would start the task a second time.
func TestStartIsSentAfterItIsSaved(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	d.slowSaveTime = time.Second
	id := d.submit(0, 300*time.Millisecond, small(3))
	d.run(900 * time.Millisecond)
	is.Equal(d.p.Starts(), 0)
	d.run(400 * time.Millisecond)
	is.Equal(d.p.Starts(), 3)
	d.run(3 * time.Second)
	is.True(d.duration(id) > 0)
	d.check()
}

// As above, but another task of the job was recorded just before: that save does not
// cover a start that was decided later.
func TestStartWaitsForItsOwnSave(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	d.slowSaveTime = time.Second
	whole := small(2)
	whole.Needs.Accelerators = 8
	d.submit(2, 10*time.Second, whole)
	d.run(500 * time.Millisecond)
	list := d.p.Roster()
	more := list[0]
	more.ID, more.Address = "r0-1#1", "r0-1"
	d.p.Add(more, 1, d.now)
	d.listTargets()
	d.run(900 * time.Millisecond)
	is.Equal(d.p.Starts(), 1)
	is.Equal(d.p.StartsOn("r0-1#1"), 0)
	d.run(1200 * time.Millisecond)
	is.Equal(d.p.StartsOn("r0-1#1"), 1)
	d.run(20 * time.Second)
	d.check()
}
