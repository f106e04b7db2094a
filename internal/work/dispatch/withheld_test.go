package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// fullFleet is a simulation of 24 targets with 192 accelerators whose stops take 900 ms. Urgent
// gangs with less slack than that have just arrived, so that 24 accelerators are kept free.
type fullFleet struct {
	*simulation
}

func newFullFleet(t testing.TB, opts ...Option) *fullFleet {
	bounds, targets := slowStops()
	f := &fullFleet{newSimulationOf(t, 3, 8, bounds, targets, opts...)}
	for range 12 {
		g := shortUrgentGang(2, 8)
		f.submit(0, 300*time.Millisecond, g)
		f.run(100 * time.Millisecond)
	}
	return f
}

// occupy submits a step of long single tasks that is not withheld, since it has no slack, and runs
// until it has started. It leaves a number of the accelerators free.
func (f *fullFleet) occupy(free int) {
	f.run(time.Second) // the urgent gangs have ended
	s := small(192 - free)
	s.Estimate = 20 * time.Second
	f.submitJob(&graph.Job{Priority: 1, SlackFactor: 1, Steps: []graph.Step{s}}, fixedWork(s.Estimate))
	f.run(500 * time.Millisecond)
}

func fixedWork(d time.Duration) pool.Behaviour {
	return pool.Behaviour{Work: func(graph.TaskID) time.Duration { return d }}
}

// keepArriving submits one urgent gang of a task each 200 ms for some time.
func (f *fullFleet) keepArriving(span time.Duration) {
	for until := f.now.Add(span); f.now.Before(until); {
		f.submit(0, 100*time.Millisecond, shortUrgentGang(1, 8))
		f.run(200 * time.Millisecond)
	}
}

// linesWith returns the logged and recorded lines that contain a text.
func (d *simulation) linesWith(text string) (list []string) {
	for _, l := range d.log {
		if strings.Contains(l, text) {
			list = append(list, l)
		}
	}
	return list
}

// started reports whether a job has started.
func (d *simulation) started(id graph.JobID) bool { return d.m.jobs[id].started }

// Work with much slack is kept from the last free capacity, and urgent work is not; without
// headroom neither is.
func TestHeadroomIsKeptFromOtherWork(t *testing.T) {
	for _, on := range []bool{false, true} {
		is := is.New(t)
		f := newFullFleet(t)
		f.m.SetHeadroom(map[string]bool{"s": on, "other": !on})
		f.occupy(24)
		tasks := f.submit(2, time.Second, small(4))
		f.run(200 * time.Millisecond)
		is.Equal(f.started(tasks), !on)
		gang := f.submit(0, 300*time.Millisecond, shortUrgentGang(2, 8))
		f.run(300 * time.Millisecond)
		is.True(f.started(gang))
		is.Equal(len(f.linesWith("runs preempted")), 0)
	}
}

// A gang counts whole: it is placed beside the headroom with all members, or not at all.
func TestGangIsPlacedBesideHeadroomAsAWhole(t *testing.T) {
	is := is.New(t)
	f := newFullFleet(t, WithHeadroom())
	f.occupy(40)
	is.Equal(f.m.HeadroomAccelerators(f.now), 24)
	g := small(17)
	g.Gang = true
	tooLarge := f.submit(1, time.Second, g)
	g.Count = 16
	f.run(200 * time.Millisecond)
	fits := f.submit(1, time.Second, g)
	f.run(200 * time.Millisecond)
	is.True(!f.started(tooLarge))
	is.True(f.started(fits))
}

// While most capacity is free, nothing is withheld, however large: what is free serves urgent work
// as well.
func TestNothingIsWithheldOnIdleFleet(t *testing.T) {
	is := is.New(t)
	f := newFullFleet(t, WithHeadroom())
	f.run(time.Second)
	g := small(184)
	g.Gang = true
	id := f.submit(1, time.Second, g)
	f.run(200 * time.Millisecond)
	is.True(f.started(id))
}

// A step is withheld for half of its job's slack at most, though urgent jobs go on arriving: then
// it takes what is free. A gang that comes first in the pass and is still withheld must not count as
// proof that the gang does not fit.
func TestStepIsWithheldForHalfOfItsSlack(t *testing.T) {
	is := is.New(t)
	f := newFullFleet(t, WithHeadroom())
	f.occupy(24)
	gang := small(10)
	gang.Gang = true
	submit := func(allowance time.Duration) graph.JobID {
		return f.submitJob(&graph.Job{Priority: 1, SlackFactor: 1, Allowance: allowance, Steps: []graph.Step{gang}}, fixedWork(time.Second))
	}
	long := submit(8 * time.Second)
	f.keepArriving(3 * time.Second)
	short := submit(4 * time.Second) // its latest start is before that of the other
	f.keepArriving(800 * time.Millisecond)
	is.True(!f.started(long))
	f.keepArriving(600 * time.Millisecond)
	is.True(f.started(long))
	is.True(!f.started(short))
}

// A job that is given up if it has not started by a time is withheld for half of that time at
// most. Otherwise headroom would have it given up.
func TestWithheldJobIsNotGivenUp(t *testing.T) {
	is := is.New(t)
	f := newFullFleet(t, WithHeadroom())
	f.occupy(24)
	id := f.submitJob(&graph.Job{
		Priority: 2, SlackFactor: 3, Allowance: time.Minute, StartBy: f.now.Add(2 * time.Second).UnixMilli(), Steps: []graph.Step{small(2)},
	}, fixedWork(time.Second))
	f.keepArriving(900 * time.Millisecond)
	is.True(!f.started(id))
	f.keepArriving(400 * time.Millisecond)
	is.True(f.started(id))
}

// A long-running task is not withheld: it would be unavailable until it starts.
func TestLongRunningTaskIsNotWithheld(t *testing.T) {
	is := is.New(t)
	f := newFullFleet(t, WithHeadroom())
	f.occupy(24)
	s := small(2)
	s.LongRunning = true
	id := f.submit(1, time.Minute, s)
	f.run(200 * time.Millisecond)
	is.True(f.started(id))
}

// A new leader keeps headroom from its first pass on: it counts the jobs that it restores, those
// that have ended included, by their acceptance.
func TestNewLeaderKeepsHeadroom(t *testing.T) {
	is := is.New(t)
	f := newFullFleet(t, WithHeadroom())
	f.occupy(24)
	before := f.m.HeadroomAccelerators(f.now)
	is.Equal(before, 24)
	f.changeLeader()
	is.Equal(f.m.HeadroomAccelerators(f.now), before)
	id := f.submit(2, time.Second, small(4))
	f.run(400 * time.Millisecond)
	is.True(!f.started(id))
}

// Each withheld step is recorded once, for its job's history and a counter; the log has one line
// when headroom begins to withhold work and one when it has ceased to.
func TestWithheldStepsAreRecordedOnce(t *testing.T) {
	is := is.New(t)
	f := newFullFleet(t, WithHeadroom())
	var counted []WithheldReason
	f.dropCommand = func(c Command) bool {
		if w, ok := c.(PlacementWithheld); ok {
			counted = append(counted, w.Reason)
		}
		return false
	}
	f.occupy(24)
	first, second := f.submit(2, time.Second, small(4)), f.submit(2, time.Second, small(4))
	f.keepArriving(2 * time.Second)
	for _, id := range []graph.JobID{first, second} {
		is.Equal(len(f.linesWith(fmt.Sprintf("withheld for headroom [step %s.0.0 reason accelerators", id))), 1)
	}
	is.Equal(counted, []WithheldReason{WithheldAccelerators, WithheldAccelerators})
	is.Equal(len(f.linesWith("headroom withholds work")), 1)
	is.Equal(len(f.linesWith("withholds no work any more")), 0)
	f.run(10 * time.Second)
	is.Equal(len(f.linesWith("headroom withholds work")), 1)
	is.Equal(len(f.linesWith("headroom withholds no work any more [service s steps 2 ")), 1)
	is.True(f.started(first))
	is.True(f.started(second))
}

// Urgent work needs cores and memory beside its accelerators: work without accelerators is kept
// from those.
func TestCoresAreKeptWithAccelerators(t *testing.T) {
	is := is.New(t)
	f := newFullFleet(t, WithHeadroom())
	f.occupy(24)
	s := graph.Step{Count: 24, Needs: graph.Resources{CPU: 60000}, Estimate: 6 * time.Second}
	id := f.submit(2, time.Second, s)
	f.run(200 * time.Millisecond)
	is.True(!f.started(id))
	is.Equal(len(f.linesWith("reason cores")), 1)
}
