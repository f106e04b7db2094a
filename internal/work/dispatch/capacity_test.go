package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// Capacities of the targets of a simulation, as they are and halved.
var (
	fullCapacity = graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8}
	halfCapacity = graph.Resources{CPU: 32000, MemoryMB: 131072, Accelerators: 4}
)

// Starts wait to be saved while the store is slow, and their target's capacity shrinks in
// the meantime. They must not be sent any more once that is known.
func TestSavedStartsAreNotSentToShrunkTarget(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	d.slowSaveTime = 6 * time.Second
	id := d.submit(2, 3*time.Second, small(16))
	d.run(500 * time.Millisecond)
	d.p.SetCapacity("r0-0#1", halfCapacity, d.now)
	d.runWithListing(5)
	is.Equal(d.p.Starts(), 0)
	d.slowSaveTime = 0
	d.runWithListing(20)
	d.check()
	is.Equal(d.state(id), progress.Completed)
}

// A gang waits for preempted work to end on a target whose capacity shrinks below what the
// gang needs there. It must be placed elsewhere instead of waiting for ever.
func TestGangDoesNotAwaitCapacityThatIsGone(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	d.submit(2, 30*time.Second, small(16))
	d.run(time.Second)
	d.dropCommand = func(c Command) bool {
		_, stop := c.(Stop)
		return stop
	}
	urgent := d.submit(0, time.Second, urgentGang(1, 8))
	d.run(3 * time.Second)
	waits := d.m.jobs[urgent].steps[0].tasks[0].runs[0]
	is.Equal(waits.phase, awaitingCapacity)
	d.p.SetCapacity(waits.target.ID, halfCapacity, d.now)
	d.listTargets()
	d.dropCommand = nil
	d.runWithListing(8)
	is.Equal(d.state(urgent), progress.Completed)
	d.runWithListing(80)
	d.check()
}

// A start is not answered, and the target's capacity shrinks before it is sent again. The
// first one may never have arrived, so the second would bring the target over its capacity.
func TestStartIsNotRepeatedOnShrunkTarget(t *testing.T) {
	d := newSimulation(t, 1, 2, DefaultBounds())
	d.submit(2, 20*time.Second, small(8))
	d.run(time.Second)
	d.dropCommand = func(c Command) bool {
		s, start := c.(Start)
		return start && s.Order.Run.Number == 1
	}
	d.submit(2, 3*time.Second, small(8))
	d.run(100 * time.Millisecond)
	for _, x := range d.p.Roster() {
		d.p.SetCapacity(x.ID, halfCapacity, d.now.Add(-5*time.Second))
	}
	d.listTargets()
	d.dropCommand = nil
	d.runWithListing(60)
	d.check()
}

// Starts wait to be saved while the store is away. It returns without the entry of their target, which
// has lapsed, and the target's capacity has shrunk since it was last listed. Nothing may be sent there
// until it is listed again: what it has now is not known.
func TestSavedStartsAreNotSentToTargetThatLeftTheList(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, boundsWithListAge())
	d.listTargets()
	d.slowSaveTime = 6 * time.Second
	id := d.submit(2, 3*time.Second, small(16))
	d.run(500 * time.Millisecond)
	d.p.SetCapacity("r0-0#1", halfCapacity, d.now)
	d.run(5400 * time.Millisecond)
	d.slowSaveTime = 0
	listed := slices.DeleteFunc(d.p.Roster(), func(x roster.Target) bool { return x.ID == "r0-0#1" })
	d.m.UpdateTargets(listed, d.now, d.now)
	d.run(500 * time.Millisecond)
	is.Equal(d.p.StartsOn("r0-0#1"), 0)
	is.Equal(d.p.StartsOn("r0-1#1"), 8)
	d.runWithListing(20)
	d.check()
	is.Equal(d.state(id), progress.Completed)
}

// A start is not answered, and its target leaves the list before it is sent again. The first one may
// never have arrived, so the second would bring the target over a capacity that nobody knows.
func TestStartIsNotRepeatedOnTargetThatLeftTheList(t *testing.T) {
	d := newSimulation(t, 1, 2, DefaultBounds())
	d.submit(2, 20*time.Second, small(8))
	d.run(time.Second)
	d.dropCommand = func(c Command) bool {
		s, start := c.(Start)
		return start && s.Order.Run.Number == 1
	}
	d.submit(2, 3*time.Second, small(8))
	d.run(100 * time.Millisecond)
	for _, x := range d.p.Roster() {
		d.p.SetCapacity(x.ID, halfCapacity, d.now.Add(-5*time.Second))
	}
	d.m.UpdateTargets(nil, d.now, d.now)
	d.dropCommand = nil
	d.run(time.Second)
	d.runWithListing(60)
	d.check()
}

// A target's capacity shrinks below what runs there need. Without a line, operators could not tell a start by
// the capacity of before from one beside runs that nobody knew of.
func TestCapacityChangeIsLogged(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	d.submit(2, 3*time.Second, small(8))
	d.run(time.Second)
	d.p.SetCapacity("r0-0#1", halfCapacity, d.now)
	d.listTargets()
	is.Equal(d.logged("target capacity changed [target r0-0#1 before 64000/262144/8 now 32000/131072/4 inUse 44800/232000/8 runs 8"), 1)
	is.Equal(d.m.Counts().OverCapacity, 1)
	d.runWithListing(10)
	is.Equal(d.logged("target capacity changed"), 1)
	is.Equal(d.m.Counts().OverCapacity, 0)
	d.check()
}
