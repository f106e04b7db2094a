package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// longListAge is the greatest age of the list of targets in a deployment whose targets drain for three seconds.
const longListAge = 2800 * time.Millisecond

// boundsWithLongListAge returns bounds under which an entry is stale when it is older than 3.75 s, and
// the list that holds it is used for 2.8 s.
func boundsWithLongListAge() Bounds {
	b := boundsWithHeartbeat()
	b.MaxListAge = longListAge
	return b
}

// shrinkAfterEntry halves the capacity of target r0-0 just after it has written its entry, which the list shows
// until it is deleted from unwritten.
func (d *simulation) shrinkAfterEntry() {
	d.listTargets()
	d.run(100 * time.Millisecond)
	d.holdEntries("r0-0")
	d.p.SetCapacity("r0-0#1", halfCapacity, d.now)
}

// A target's capacity shrinks just after it has written its entry, and the store is away for three
// seconds. Guards against a start by that entry 4.8 s after the shrinking: neither the entry nor the list
// that holds it was too old by itself.
func TestNoStartReliesOnEntryOfMoreThanThreeHeartbeats(t *testing.T) {
	for name, takeover := range map[string]bool{"one leader": false, "a new leader": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newSimulation(t, 1, 2, boundsWithLongListAge())
			d.shrinkAfterEntry()
			d.run(3600 * time.Millisecond)
			if takeover {
				d.changeLeader()
			} else {
				d.listTargets()
			}
			d.run(1200 * time.Millisecond)
			id := d.submit(2, 3*time.Second, small(16))
			d.run(100 * time.Millisecond)
			is.Equal(d.logged("start run [target r0-0#1"), 0)
			is.Equal(d.p.StartsOn("r0-1#1"), 8)
			d.unwritten = nil
			d.runWithListing(20)
			d.check()
			is.Equal(d.state(id), progress.Completed)
		})
	}
}

// The list is read at its usual interval and then not for a while. Guards against a start by an entry that
// a read has shown to be recent, when that read is 2.8 s old, and against one whose lease would end before
// the poll that renews it.
func TestNoStartReliesOnRecentEntryInOldList(t *testing.T) {
	for name, listAge := range map[string]time.Duration{"too old": 2700 * time.Millisecond, "about to be": 2200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newSimulation(t, 1, 2, boundsWithLongListAge())
			d.shrinkAfterEntry()
			d.run(2 * time.Second)
			d.listTargets()
			d.run(listAge)
			id := d.submit(2, 3*time.Second, small(16))
			d.run(50 * time.Millisecond)
			is.Equal(d.logged("start run [target r0-0#1"), 0)
			d.unwritten = nil
			d.runWithListing(20)
			d.check()
			is.Equal(d.state(id), progress.Completed)
		})
	}
}

// A target executes starts 2.5 s late and stops later still, and its capacity shrinks just after it has
// written the entry by which the starts were decided. Guards against starts that the target may execute
// once that entry is too old.
func TestLateStartIsRefusedOnceItsEntryIsOld(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, boundsWithLongListAge())
	d.shrinkAfterEntry()
	d.run(1400 * time.Millisecond)
	d.listTargets()
	d.run(1300 * time.Millisecond)
	d.lateBy = func(c Command) time.Duration {
		switch c.(type) {
		case Start:
			return 2500 * time.Millisecond
		case Stop:
			return 5 * time.Second
		}
		return 0
	}
	id := d.submit(2, 3*time.Second, small(8))
	d.run(3 * time.Second)
	d.lateBy, d.unwritten = nil, nil
	d.runWithListing(30)
	d.check()
	is.Equal(d.state(id), progress.Completed)
}

// startsInQueue submits a job whose starts wait in the host, and returns it.
func (d *simulation) startsInQueue() graph.JobID {
	d.run(time.Second)
	d.orderRate = 1
	id := d.submit(2, 3*time.Second, small(8))
	d.run(100 * time.Millisecond)
	return id
}

// Starts wait in the leader's queue while the list shows that their target has less capacity. Guards
// against starts that are sent by a capacity that the leader knows to be gone.
func TestQueuedStartsAreNotSentToShrunkTarget(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	id := d.startsInQueue()
	is.Equal(d.p.Starts(), 0)
	d.p.SetCapacity("r0-0#1", halfCapacity, d.now.Add(-5*time.Second))
	d.listTargets()
	d.orderRate = 0
	d.sendAllQueued()
	d.runWithListing(30)
	d.check()
	is.Equal(d.state(id), progress.Completed)
}

// Starts wait in the leader's queue while the list shows that their target drains. Guards against work
// that is started on a target which is about to leave.
func TestQueuedStartsAreNotSentToDrainingTarget(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	id := d.startsInQueue()
	drains := d.m.jobs[id].steps[0].tasks[0].runs[0].target.ID
	is.Equal(d.p.Starts(), 0)
	d.p.Drain(drains)
	d.listTargets()
	d.orderRate = 0
	d.sendAllQueued()
	d.run(50 * time.Millisecond)
	is.Equal(d.p.StartsOn(drains), 0)
	d.runWithListing(20)
	d.check()
	is.Equal(d.state(id), progress.Completed)
}

// Starts wait in the leader's queue while the list, or a report, shows that their target has started again under
// its id, with less capacity. Guards against starts by the capacity of the earlier incarnation.
func TestQueuedStartsAreNotSentToNextIncarnation(t *testing.T) {
	for name, show := range map[string]func(d *simulation){
		"listed":   (*simulation).listTargets,
		"reported": func(d *simulation) { d.run(3 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newSimulation(t, 1, 1, DefaultBounds())
			id := d.startsInQueue()
			d.p.Restart("r0-0#1", 0, d.now)
			d.run(50 * time.Millisecond)
			d.p.SetCapacity("r0-0#1", halfCapacity, d.now.Add(-5*time.Second))
			show(d)
			is.Equal(d.logged("target started again"), 1)
			d.orderRate = 0
			d.sendAllQueued()
			d.runWithListing(30)
			d.check()
			is.Equal(d.state(id), progress.Completed)
		})
	}
}

// sendAllQueued sends all orders that wait in the host.
func (d *simulation) sendAllQueued() {
	for class := range d.unsent {
		for _, c := range d.unsent[class] {
			d.execute(c)
		}
		d.unsent[class] = nil
	}
}

// A target was idle for a minute, so its clock may show 1.2 s more than is estimated, and shrinks just after it
// has written its entry, before an outage of the store. Guards against a start by an entry that seems younger
// than it is: the deadline is on the target's own clock, so that the target refuses it.
func TestStartOnIdleTargetIsRefusedOnceItsEntryIsOld(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, boundsWithLongListAge())
	d.runWithListing(60)
	d.shrinkAfterEntry()
	d.run(3600 * time.Millisecond)
	d.listTargets()
	d.run(1200 * time.Millisecond)
	id := d.submit(2, 3*time.Second, small(16))
	d.run(100 * time.Millisecond)
	d.unwritten = nil
	d.runWithListing(20)
	d.check()
	is.Equal(d.state(id), progress.Completed)
}

// A target cannot reach the store, its capacity shrinks, and the entry that it wrote before is stored when it
// reaches the store again, six seconds late. Guards against starts by an entry that is new in the list only.
func TestNoStartReliesOnEntryThatWasStoredLate(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, boundsWithLongListAge())
	d.runWithListing(1)
	d.run(100 * time.Millisecond)
	d.holdEntries("r0-0")
	d.hidden = map[string]bool{"r0-0": true}
	d.run(400 * time.Millisecond)
	d.p.SetCapacity("r0-0#1", halfCapacity, d.now)
	d.runWithListing(6)
	id := d.submit(2, 3*time.Second, small(16))
	d.hidden = nil
	d.listTargets()
	d.run(100 * time.Millisecond)
	is.Equal(d.p.StartsOn("r0-1#1"), 8)
	d.unwritten = nil
	d.runWithListing(20)
	d.check()
	is.Equal(d.state(id), progress.Completed)
}
