package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// cutZone loses what is sent to a zone's targets from now on.
func (d *drive) cutZone(zone string) {
	away := map[string]bool{}
	for _, t := range d.m.byID {
		away[t.ID] = t.Zone == zone
	}
	d.lose = func(c Command) bool { return away[targetOf(c)] }
}

// A zone is cut off while some of its targets are idle: no hold is outstanding there
// that could time out. Urgent gangs come one after another. Users would see each of
// them take an idle rack of that zone and wait until the cut is over, since an order
// without an answer may have been carried out. Once two targets have missed an order
// the zone gets nothing more, and when it is back it gets work again.
func TestNothingGoesToAZoneThatIsCutOff(t *testing.T) {
	is := is.New(t)
	d := newDrive(t, 3, 4, DefaultBounds())
	zone := d.m.byID[0].Zone // its rack is tried first
	d.cutZone(zone)
	first := d.submit(0, 2*time.Second, urgent(2, 8))
	d.run(500 * time.Millisecond)
	var ids []graph.JobID
	for range 4 {
		ids = append(ids, d.submit(0, 2*time.Second, urgent(2, 8)))
		d.run(300 * time.Millisecond)
	}
	d.run(3 * time.Second)
	for _, id := range ids {
		is.True(d.took(id) > 0 && d.took(id) < 3*time.Second)
	}
	is.Equal(d.took(first), time.Duration(0)) // it may run there
	d.lose = nil
	d.run(8 * time.Second)
	is.True(d.took(first) > 0)
	for _, x := range d.m.byID {
		is.True(x.inTouch())
	}
	d.check()
}

// A zone is cut off with resets: the reports that wait at its busy targets fail at once. They
// were asked for before the zone was last heard of, so they counted for nothing, and kept
// the misses that came after them from counting: for five seconds its idle targets got
// urgent gangs, and each waited until the cut was over.
func TestReportsThatBreakShowThatAZoneIsCutOff(t *testing.T) {
	is := is.New(t)
	d := newDrive(t, 3, 8, DefaultBounds())
	zone := d.m.byID[0].Zone
	d.submit(2, 8*time.Second, urgent(3, 8)) // on three targets of the zone
	d.run(1500 * time.Millisecond)
	d.cutZone(zone)
	broken := 0
	for _, x := range d.m.byID {
		if x.Zone == zone && x.holding {
			broken++
			d.m.HoldFailed(x.ID, Hold{Sent: x.heldAt, Order: order.Poll{Wait: holdWait}}, order.ErrUnanswered, d.now)
		}
	}
	is.Equal(broken, 3)
	var ids []graph.JobID
	for range 3 {
		ids = append(ids, d.submit(0, time.Second, urgent(2, 8)))
		d.run(100 * time.Millisecond)
	}
	d.run(2 * time.Second)
	for _, id := range ids {
		is.True(d.took(id) > 0)
	}
	d.lose = nil
	d.run(20 * time.Second)
	d.check()
}

// Two busy targets of a zone crash at once, and another of it was heard of a moment ago: the
// zone is not closed, and a gang that is placed just then starts there.
func TestCrashesDoNotCloseABusyZone(t *testing.T) {
	is := is.New(t)
	d := newDrive(t, 1, 8, DefaultBounds())
	d.submit(2, 8*time.Second, urgent(2, 8))
	d.submit(2, time.Second, small(1)) // ends in the moment of the crash
	d.run(1100 * time.Millisecond)
	bad := map[string]bool{}
	for _, x := range d.m.byID {
		if x.holding && len(x.runs) > 0 && len(bad) < 2 {
			bad[x.ID] = true
			d.p.Kill(x.ID, d.now)
			d.m.HoldFailed(x.ID, Hold{Sent: x.heldAt, Order: order.Poll{Wait: holdWait}}, order.ErrUnanswered, d.now)
		}
	}
	is.Equal(len(bad), 2)
	d.lose = func(c Command) bool { return bad[targetOf(c)] }
	id := d.submit(0, time.Second, urgent(5, 8))
	d.run(1500 * time.Millisecond)
	is.True(d.took(id) > 0)
	d.lose = nil
	d.run(15 * time.Second)
	d.check()
}

// A zone is back after a cut. The holds of its targets were sent into the cut and are
// waited for until their time-outs, which a leader that takes its orders' delays into
// account makes long; what has ended there was told that much later. The first target that
// answers has all others asked at once.
func TestZoneIsAskedAtOnceWhenItIsBack(t *testing.T) {
	is := is.New(t)
	d := newDrive(t, 3, 4, DefaultBounds())
	id := d.submit(2, 2*time.Second, small(80)) // on all targets
	d.run(500 * time.Millisecond)
	zone := d.m.byID[0].Zone
	lost := map[string]bool{}
	for _, x := range d.m.byID {
		lost[x.ID] = x.Zone == zone
	}
	first := d.m.byID[0].ID
	d.lose = func(c Command) bool {
		h, hold := c.(Hold)
		return lost[targetOf(c)] && (!hold || !h.Look) // what was sent into the cut is lost
	}
	d.run(4 * time.Second)
	is.Equal(d.m.targets[first].reach, silent)
	back := d.now
	lost[first] = false
	d.run(900 * time.Millisecond)
	for _, x := range d.m.byID {
		if x.Zone == zone {
			is.Equal(x.reach, held)
			is.True(x.heardAt.Sub(back) < 900*time.Millisecond)
		}
	}
	d.lose = nil
	d.run(10 * time.Second)
	is.True(d.took(id) > 0)
	d.check()
}

// One target of a zone crashes, and the others there are idle. They are not taken for
// cut off: a job that needs the whole zone's rack, less the one, starts at once.
func TestOneSilentTargetIsNotAZone(t *testing.T) {
	is := is.New(t)
	d := newDrive(t, 1, 4, DefaultBounds())
	bad := d.m.byID[0].ID
	d.lose = func(c Command) bool { return targetOf(c) == bad }
	d.submit(2, time.Second, small(1))
	d.run(500 * time.Millisecond)
	is.True(!d.m.byID[0].inTouch())
	id := d.submit(0, 2*time.Second, urgent(3, 8))
	d.run(3 * time.Second)
	is.True(d.took(id) > 0)
	d.lose = nil
	d.run(12 * time.Second)
	d.check()
}

// Two targets of a zone crash at once while the others there are idle. The zone seems to
// be cut off; its other targets are asked, and get work as soon as they have answered.
func TestIdleTargetsAreAskedWhenTheirZoneSeemsCutOff(t *testing.T) {
	is := is.New(t)
	d := newDrive(t, 1, 5, DefaultBounds())
	bad := map[string]bool{d.m.byID[0].ID: true, d.m.byID[1].ID: true}
	d.lose = func(c Command) bool { return bad[targetOf(c)] }
	d.submit(2, 6*time.Second, small(9)) // on both
	d.run(500 * time.Millisecond)
	is.True(!d.m.byID[1].inTouch())
	id := d.submit(0, 2*time.Second, urgent(3, 8))
	d.run(3 * time.Second)
	is.True(d.took(id) > 0)
	d.lose = nil
	d.run(20 * time.Second)
	d.check()
}

// The answer to one start is lost. The target gets nothing more until it has answered
// something, which a look beside the hold asks for at once.
func TestTargetIsLookedAtAfterALostAnswer(t *testing.T) {
	is := is.New(t)
	d := newDrive(t, 1, 1, DefaultBounds())
	d.submit(2, 6*time.Second, small(1))
	d.run(2500 * time.Millisecond)
	d.mute = func(c Command) bool { _, ok := c.(Start); return ok }
	d.submit(2, 6*time.Second, small(1))
	d.run(370 * time.Millisecond)
	is.True(!d.m.byID[0].inTouch())
	d.run(150 * time.Millisecond) // before the start is sent again
	is.True(d.m.byID[0].inTouch())
	d.mute = nil
	d.run(8 * time.Second)
	d.check()
}

// A new leader's first holds are on their way to all targets of a zone when the first answer
// comes. Asked a second time, with as many new connections, they kept a leader of thousands
// of targets busy just when it had to catch up.
func TestNewLeaderAsksEachTargetOnce(t *testing.T) {
	is := is.New(t)
	m, now := New(2, DefaultBounds()), time.Unix(1000, 0)
	m.Listed([]roster.Target{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}, {ID: "c", Zone: "z"}}, now, now)
	m.Begin(now, now)
	holds := func() (n int) {
		for _, c := range m.Decide(now) {
			if _, ok := c.(Hold); ok {
				n++
			}
		}
		return n
	}
	is.Equal(holds(), 3)
	now = now.Add(500 * time.Millisecond)
	m.Held("a", Hold{Sent: now}, order.Report{Clock: 1}, now)
	is.Equal(holds(), 0)
}
