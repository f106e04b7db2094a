package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
)

// idleSimulation is a simulation whose targets have been idle for some seconds.
func idleSimulation(t *testing.T, racks, perRack int) *simulation {
	d := newSimulation(t, racks, perRack, DefaultBounds())
	d.runWithListing(3)
	return d
}

// dropOrdersTo loses all orders to some targets from now on, without an answer.
func (d *simulation) dropOrdersTo(ids map[string]bool) {
	d.dropCommand = func(c Command) bool {
		switch c := c.(type) {
		case Start:
			return ids[c.Target.ID]
		case Stop:
			return ids[c.Target.ID]
		case Poll:
			return ids[c.Target.ID]
		}
		return false
	}
}

// Idle targets cease to answer, which nothing shows. Starts that are lost there may have been
// executed, so their gang would wait until all leases have lapsed. Nothing may be sent there.
func TestNothingIsSentToTargetsThatCeasedToAnswer(t *testing.T) {
	is := is.New(t)
	d := idleSimulation(t, 4, 4)
	silent := map[string]bool{}
	for r, rack := range d.m.targetsByRack() {
		if r < 2 {
			silent[rack[r].ID] = true
		}
	}
	starts := 0
	d.dropOrdersTo(silent)
	lost := d.dropCommand
	d.dropCommand = func(c Command) bool {
		if _, ok := c.(Start); ok && lost(c) {
			starts++
		}
		return lost(c)
	}
	id := d.submit(0, 2*time.Second, urgentGang(4, 8))
	d.run(4 * time.Second)
	is.True(d.duration(id) > 0)
	is.True(d.duration(id) < 3500*time.Millisecond)
	is.Equal(starts, 0)
	d.check()
}

// A leader is short of processor time, so that it handles the answers of targets a second after
// they came. It must not take them for targets that do not answer: it would place all gangs
// again and again, with a poll for each member, and start none.
func TestGangIsSentByLeaderThatHandlesAnswersLate(t *testing.T) {
	is := is.New(t)
	d := idleSimulation(t, 2, 4)
	var answers []func()
	d.dropCommand = func(c Command) bool {
		p, ok := c.(Poll)
		if ok {
			answers = append(answers, func() {
				d.m.Polled(p.Target.ID, p, order.Report{Clock: 5000, StartedAt: p.Incarnation}, d.now)
				d.decide()
			})
		}
		return ok
	}
	id := d.submit(0, 5*time.Second, urgentGang(4, 4))
	for range 5 {
		d.run(100 * time.Millisecond)
	}
	is.Equal(d.p.StartsOf(id), 0)
	for _, f := range answers {
		f()
	}
	d.dropCommand = nil
	d.run(100 * time.Millisecond)
	is.Equal(d.p.StartsOf(id), 4)
	for _, x := range d.m.jobs[id].steps[0].tasks {
		is.Equal(x.highestRun, 1) // it was placed once
	}
}

// A zone is cut off while its targets are idle. Work that is placed there must be placed
// elsewhere before anything is sent.
func TestWorkIsPlacedOutsideOfZoneThatWasCutOff(t *testing.T) {
	is := is.New(t)
	d := idleSimulation(t, 3, 4)
	cut := map[string]bool{}
	for _, x := range d.m.sortedTargets {
		cut[x.ID] = x.Zone == "z0"
	}
	d.dropOrdersTo(cut)
	for range 4 {
		id := d.submit(0, 2*time.Second, urgentGang(3, 4))
		d.run(300 * time.Millisecond)
		defer func() { is.True(d.duration(id) > 0 && d.duration(id) < 4*time.Second) }()
	}
	d.run(5 * time.Second)
	d.check()
}

// Verification must not cost a poll for each start: a target that has answered lately gets its
// starts at once, and one poll serves all that are placed on it together.
func TestVerificationIsSharedAndSparing(t *testing.T) {
	is := is.New(t)
	d := idleSimulation(t, 1, 2)
	polls := 0
	d.dropCommand = func(c Command) bool {
		if p, ok := c.(Poll); ok && p.Order.Wait == 0 {
			polls++
		}
		return false
	}
	gang := urgentGang(8, 1)
	d.submit(1, 300*time.Millisecond, gang)
	d.run(400 * time.Millisecond)
	is.True(polls <= 2+2) // one for each target before its starts, one to acknowledge the ends
	polls = 0
	id := d.submit(1, 300*time.Millisecond, gang)
	d.run(100 * time.Millisecond)
	is.Equal(d.p.StartsOf(id), 8)
	is.Equal(polls, 0)
	d.run(time.Second)
	d.check()
}

// The answer arrives before the placement is saved, or after: the start is sent when both are
// there.
func TestStartAwaitsBothAnswerAndSave(t *testing.T) {
	for name, slow := range map[string]bool{"save is slower": true, "answer is slower": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := idleSimulation(t, 1, 1)
			if slow {
				d.slowSaveTime = 200 * time.Millisecond
			}
			var held []Poll
			d.dropCommand = func(c Command) bool {
				p, ok := c.(Poll)
				if ok && !slow {
					held = append(held, p)
				}
				return ok && !slow
			}
			id := d.submit(1, time.Second, urgentGang(1, 1))
			d.run(100 * time.Millisecond)
			is.Equal(d.p.StartsOf(id), 0)
			d.dropCommand = nil
			for _, p := range held {
				d.m.Polled(p.Target.ID, p, order.Report{Clock: 5000, StartedAt: p.Incarnation}, d.now)
				d.decide()
			}
			d.run(150 * time.Millisecond)
			is.Equal(d.p.StartsOf(id), 1)
		})
	}
}
