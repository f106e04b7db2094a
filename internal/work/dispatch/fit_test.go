package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// Large tasks with one accelerator each take 26 of a target's 64 cores. Two on one target
// would leave 12 cores for six accelerators, so that four could not be used. They are
// spread, one per target, and small tasks use the capacity beside them.
func TestLargeTasksAreSpread(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 8, DefaultBounds())
	d.submit(2, 6*time.Second, small(1))
	d.run(100 * time.Millisecond)
	d.submit(1, 8*time.Second, largeGang(4, 1))
	d.run(100 * time.Millisecond)
	maxLarge := 0
	for _, x := range d.m.sortedTargets {
		n := 0
		for r := range x.runs {
			if d.m.jobs[r.Task.Job].spec.Priority == 1 {
				n++
			}
		}
		maxLarge = max(maxLarge, n)
	}
	is.Equal(maxLarge, 1)
	d.submit(2, 6*time.Second, small(48))
	d.run(100 * time.Millisecond)
	is.True(d.m.Counts().Runs >= 52) // nearly all accelerators are in use
	d.run(20 * time.Second)
	d.check()
}

// Small tasks fill targets that have runs before empty ones, so that whole targets stay
// free for gangs of large tasks.
func TestSmallTasksArePackedOnUsedTargets(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 2, 4, DefaultBounds())
	for range 8 {
		d.submit(2, 5*time.Second, small(2))
		d.run(50 * time.Millisecond)
	}
	empty := 0
	for _, x := range d.m.sortedTargets {
		if len(x.runs) == 0 {
			empty++
		}
	}
	is.Equal(empty, 6)
	d.run(20 * time.Second)
	d.check()
}

// A gang that wants one rack but is larger than any rack runs on two, though slower, and ends.
func TestGangLargerThanARack(t *testing.T) {
	d := newSimulation(t, 2, 2, DefaultBounds())
	d.submit(1, 2*time.Second, largeGang(4, 8))
	d.run(10 * time.Second)
	d.check()
}

// A task runs on the rack that holds its data if that has free capacity.
func TestDataRack(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 2, 2, DefaultBounds())
	s := small(1)
	s.DataRack = "r1-1"
	d.submit(2, 2*time.Second, s)
	d.run(100 * time.Millisecond)
	for _, x := range d.m.sortedTargets {
		if x.Rack != "r1-1" {
			is.Equal(len(x.runs), 0)
		}
	}
	d.run(10 * time.Second)
	d.check()
}

// A target never has more tasks of a step than the step's limit per target. The stand-in
// targets check this at each start.
func TestPerTargetLimit(t *testing.T) {
	d := newSimulation(t, 1, 4, DefaultBounds())
	s := small(8)
	s.PerTarget = 2
	d.submit(2, time.Second, s)
	d.run(5 * time.Second)
	d.check()
}

// The scarcest resource decides how many tasks fit; none fits if a resource is overcommitted.
func TestTasksThatFit(t *testing.T) {
	is := is.New(t)
	free := graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8}
	is.Equal(tasksThatFit(graph.Resources{CPU: 26000, MemoryMB: 75000, Accelerators: 1}, free), 2)
	is.Equal(tasksThatFit(graph.Resources{Accelerators: 8}, free), 1)
	is.Equal(tasksThatFit(graph.Resources{MemoryMB: 300000}, free), 0)
	is.Equal(tasksThatFit(graph.Resources{CPU: 1}, graph.Resources{CPU: -5}), 0)
}
