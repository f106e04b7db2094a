package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// scripted plays a drawn script of jobs of all kinds and of faults, and returns all commands.
func scripted(t *rapid.T, tb testing.TB, learns bool, script []int) []string {
	d := newSimulation(tb, 3, 4, DefaultBounds())
	if learns {
		WithSpeeds()(d.m)
	}
	var commands []string
	d.dropCommand = func(c Command) bool {
		if e, ok := c.(JobEnded); ok { // it has a pointer
			commands = append(commands, fmt.Sprintf("%v %T %s %v %v", d.now.UnixMilli(), c, e.Job.ID, e.State, e.Took))
			return false
		}
		commands = append(commands, fmt.Sprintf("%v %T %+v", d.now.UnixMilli(), c, c))
		return false
	}
	for i, action := range script {
		x := d.m.sortedTargets[(i*5+action)%12].ID
		work := time.Duration(1+action%4) * time.Second
		switch action % 9 {
		case 0, 1:
			d.submit(0, work, urgentGang(5, 1+i%3))
		case 2:
			d.submit(0, work, small(3))
		case 3:
			d.submit(1, 2*work, largeGang(4, 4))
		case 4:
			d.submitJob(&graph.Job{Priority: 2, SlackFactor: 3, Allowance: 3 * time.Second, Steps: []graph.Step{checkpointed(39)}}, varied(2*work))
		case 5:
			d.p.SetSpeed(x, 0.2)
			d.afterAnyLeader(6*time.Second, func() { d.p.SetSpeed(x, 1) })
		case 6:
			s := urgentGang(4, 8)
			s.DataRack = "r1-1"
			d.submit(0, work, s)
		default:
		}
		d.run(time.Duration(action) * 100 * time.Millisecond)
	}
	d.run(10 * time.Second)
	if learns && d.m.Speeds()["s"] != (SpeedCounts{}) {
		t.Fatalf("targets that are alike are told apart: %+v", d.m.Speeds())
	}
	return commands
}

// Deployments whose targets are alike must be served by the same decisions as without the model, also
// while a target is slow for some seconds.
func TestAlikeTargetsGetTheSameCommands(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.IntRange(0, 17), 8, 16).Draw(rt, "script")
		off, on := scripted(rt, t, false, script), scripted(rt, t, true, script)
		if !slices.Equal(off, on) {
			rt.Fatalf("%d commands without and %d with speeds differ", len(off), len(on))
		}
	})
}

// fastOnes returns how many live runs of a job are on fast targets, and how many on others.
func (d *simulation) fastOnes(id graph.JobID) (fast, others int) {
	for _, x := range d.m.sortedTargets {
		for r := range x.runs {
			switch {
			case r.Task.Job != id:
			case isFast(x):
				fast++
			default:
				others++
			}
		}
	}
	return fast, others
}

// An urgent gang is as slow as its slowest member, so it was late with one member on a usual target
// though the fast ones of a rack could have held it.
func TestUrgentGangsTakeFastTargets(t *testing.T) {
	is := is.New(t)
	d := newTwoKinds(t, true)
	d.learnSpeeds()
	id := d.submit(0, 2*time.Second, urgentGang(5, 2))
	d.run(100 * time.Millisecond)
	fast, others := d.fastOnes(id)
	is.Equal(fast, 5) // of one rack, with 16 accelerators
	is.Equal(others, 0)
	d.run(10 * time.Second)
	d.check()
}

// A gang that does not fit on the fast targets of a rack gains nothing by some members there: they would
// wait for the others, and the fast targets would be lost to other urgent work.
func TestGangsDoNotMixSpeeds(t *testing.T) {
	for priority := range 2 {
		is := is.New(t)
		d := newTwoKinds(t, true)
		d.learnSpeeds()
		id := d.submit(priority, 2*time.Second, urgentGang(5, 8))
		d.run(100 * time.Millisecond)
		fast, others := d.fastOnes(id)
		is.Equal(fast, 0)
		is.Equal(others, 5)
	}
}

// Work that is not urgent took the fast targets as soon as they were free, and urgent gangs found them
// in use.
func TestOtherWorkLeavesFastTargets(t *testing.T) {
	is := is.New(t)
	d := newTwoKinds(t, true)
	d.learnSpeeds()
	single := d.submit(2, 2*time.Second, small(60)) // the other targets have 96 accelerators
	d.run(100 * time.Millisecond)
	fast, others := d.fastOnes(single)
	is.Equal(fast, 0)
	is.Equal(others, 60)
	gang := d.submit(1, 2*time.Second, largeGang(4, 8))
	d.run(100 * time.Millisecond)
	fast, others = d.fastOnes(gang)
	is.Equal(fast, 0)
	is.Equal(others, 4)
	rest := d.submit(2, 2*time.Second, small(12)) // capacity must not be left idle
	d.run(100 * time.Millisecond)
	fast, others = d.fastOnes(rest)
	is.Equal(fast+others, 12)
	d.run(15 * time.Second)
	d.check()
}

// An urgent task on a usual target takes twice as long as on a fast one that is free.
func TestUrgentTasksTakeFastTargets(t *testing.T) {
	is := is.New(t)
	d := newTwoKinds(t, true)
	d.learnSpeeds()
	id := d.submit(0, 2*time.Second, small(20))
	d.run(100 * time.Millisecond)
	fast, others := d.fastOnes(id)
	is.Equal(fast, 20)
	is.Equal(others, 0)
}

// All targets are full of like work, so that any victims lose about the same: an urgent gang and an
// urgent task must then preempt on fast targets.
func TestPreemptionPrefersFastTargets(t *testing.T) {
	is := is.New(t)
	d := newTwoKinds(t, true)
	d.learnSpeeds()
	d.submit(2, 20*time.Second, small(128))
	d.run(500 * time.Millisecond)
	gang := d.submit(0, 2*time.Second, urgentGang(5, 2))
	d.run(time.Second)
	fast, others := d.fastOnes(gang)
	is.Equal(fast, 5)
	is.Equal(others, 0)
	task := d.submit(0, 6*time.Second, small(1))
	d.run(time.Second)
	fast, others = d.fastOnes(task)
	is.Equal(fast, 1)
	is.Equal(others, 0)
	d.run(60 * time.Second)
	d.check()
}
