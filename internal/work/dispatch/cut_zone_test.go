package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// newCutZone returns a simulation of three zones of four targets. One zone is cut off while it is
// idle, except for a target that has work and answers if answers is set.
func newCutZone(t *testing.T, answers bool) *simulation {
	d := newSimulation(t, 3, 4, DefaultBounds())
	if answers {
		d.submit(2, time.Minute, graph.Step{Count: 1, Needs: wholeTarget().Needs, Estimate: time.Minute})
		d.run(500 * time.Millisecond)
	}
	for _, x := range d.p.Roster() {
		if x.Zone == "z0" && d.p.UsedOn(x.ID).Accelerators == 0 {
			d.disconnected[x.Address] = true
		}
	}
	return d
}

// Idle targets of a zone are cut off, and a start is lost on one of them. Guards against a task that
// is sent to the next silent target, without asking it first, when the leases of the one before have
// lapsed.
func TestLostTaskIsNotSentToNextSilentTarget(t *testing.T) {
	for name, answers := range map[string]bool{"whole zone": false, "one target answers": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newCutZone(t, answers)
			id := d.submit(2, time.Second, small(1))
			d.runWithListing(10) // the leases of the first target have lapsed after 7.2 s
			is.True(d.p.StartsOf(id) > 0)
		})
	}
}

// A task's starts are lost on three targets of a zone, one after the other, each of which was cut off
// before the start was sent. Guards against a job that is given up as one that crashes its targets.
func TestTaskIsNotBlamedForTargetsThatWereSilentBefore(t *testing.T) {
	is := is.New(t)
	d := newCutZone(t, true)
	id := d.submit(2, time.Second, small(1))
	d.runWithListing(40)
	is.Equal(d.state(id), progress.Completed)
}

// A new leader takes over while a task is lost on a target of a zone that was cut off, and sends it to the
// others only if they answer. Guards against the rule being forgotten with the leader that lost the task.
func TestTaskLostUnderEarlierLeaderIsNotSentToSilentTarget(t *testing.T) {
	is := is.New(t)
	d := newCutZone(t, true)
	id := d.submit(2, time.Second, small(1))
	d.run(time.Second)
	is.Equal(d.p.StartsOf(id), 0)
	silent := map[string]bool{}
	for _, x := range d.p.Roster() {
		silent[x.ID] = d.disconnected[x.Address]
	}
	d.disconnected = map[string]bool{}
	lost := d.m.jobs[id].steps[0].tasks[0].runs[0].target
	d.disconnected[lost.Address] = true
	d.changeLeader()
	d.run(2 * time.Second) // the other targets have reported, and are cut off again
	for _, x := range d.p.Roster() {
		if silent[x.ID] {
			d.disconnected[x.Address] = true
		}
	}
	d.runWithListing(8) // the leases of the first target have lapsed after 6.4 s
	is.True(d.p.StartsOf(id) > 0)
	d.disconnected = map[string]bool{}
	d.runWithListing(10)
	is.Equal(len(d.p.Breaches()), 0)
}

// A task is lost on one of many idle targets of a zone that are cut off, while one of them answers. Guards
// against a task that is tried on each of them, one timeout after the other, while other zones are idle.
func TestLostTaskPrefersOtherZones(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 3, 30, DefaultBounds())
	d.submit(2, time.Minute, graph.Step{Count: 1, Needs: wholeTarget().Needs, Estimate: time.Minute})
	d.run(500 * time.Millisecond)
	for _, x := range d.p.Roster() {
		d.disconnected[x.Address] = x.Zone == "z0" && d.p.UsedOn(x.ID).Accelerators == 0
	}
	id := d.submit(2, time.Second, small(1))
	d.runWithListing(8) // the leases of the first target have lapsed after 7.2 s
	is.True(d.p.StartsOf(id) > 0)
}
