package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// smallTask is what a task of small counts for, in cores.
const smallTask = 5.6 + acceleratorCores

// lostSeconds returns the work lost by a cause and priority, divided by the cores of one task.
func (d *simulation) lostSeconds(c stages.Cause, priority int, cores float64) float64 {
	return d.m.LostWork()[c][priority] / cores
}

// near reports whether a number of seconds is within a share of another one.
func near(got, want, share float64) bool { return math.Abs(got-want) <= share*want }

// totalLost returns the work lost by all causes.
func (d *simulation) totalLost() float64 {
	sum := 0.0
	for _, byPriority := range d.m.LostWork() {
		for _, lost := range byPriority {
			sum += lost
		}
	}
	return sum
}

// Small tasks are preempted after a second. Guards against preemption whose cost does not show, or
// shows under another cause or the priority of the work that it was done for.
func TestWorkLostByPreemption(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	d.submit(2, 6*time.Second, small(32))
	d.run(time.Second)
	d.submit(0, 2500*time.Millisecond, urgentGang(2, 8))
	d.run(25 * time.Second)
	perRun := 1 + pool.DefaultBounds().StopTime.Seconds()/2 + restartLoss
	is.True(near(d.lostSeconds(stages.Preempted, 2, smallTask), 16*perRun, 0.05))
	is.True(near(d.totalLost(), 16*perRun*smallTask, 0.05))
	is.Equal(d.m.Fleet(d.now).LostWork[0].Cause, "preempted")
	d.check()
}

// The same tasks save a checkpoint when they are stopped. Guards against saved work that counts as lost.
func TestCheckpointIsNotLost(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	s := small(32)
	s.Checkpointing = true
	d.submit(2, 6*time.Second, s)
	d.run(time.Second)
	d.submit(0, 2500*time.Millisecond, urgentGang(2, 8))
	d.run(25 * time.Second)
	is.True(near(d.lostSeconds(stages.Preempted, 2, smallTask), 16*restartLoss, 0.01))
	d.check()
}

// Two targets are lost with a run each, one of which has reported a checkpoint. Guards against runs whose
// loss counts as nothing since no end is listed, and against checkpoints that do not save what they cover.
func TestWorkLostWithTarget(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	s := small(1)
	plain := d.submit(2, 6*time.Second, s)
	s.Checkpointing = true
	saving := d.submit(1, 6*time.Second, s)
	d.run(5 * time.Second)
	for _, id := range []graph.JobID{plain, saving} {
		d.p.Kill(d.targetOfJob(string(id)), d.now)
	}
	d.listTargets()
	d.run(25 * time.Second)
	lost, saved := d.lostSeconds(stages.Lost, 2, smallTask), d.lostSeconds(stages.Lost, 1, smallTask)
	is.True(lost > 2.5 && lost < 5.6) // reports come every 2 s
	is.True(saved >= restartLoss && saved < 2.6)
	d.check()
}

// A member of a gang fails half way. Guards against the other members, of which nothing was wrong, counting
// as failed.
func TestWorkLostByGangMember(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	d.submitJob(&graph.Job{Priority: 1, Steps: []graph.Step{urgentGang(3, 6)}}, pool.Behaviour{
		Work:  func(graph.TaskID) time.Duration { return 2 * time.Second },
		Fails: func(x graph.TaskID, run int) bool { return x.Index == 1 && run == 1 },
	})
	d.run(15 * time.Second)
	const cores = 7.5 + 6*acceleratorCores
	is.True(near(d.lostSeconds(stages.Failed, 1, cores), 1+restartLoss, 0.05))
	is.True(near(d.lostSeconds(stages.Gang, 1, cores), 2*(1+restartLoss), 0.05))
	d.check()
}

// A job is cancelled after a second. Guards against a loss that counts as one of the scheduler's, and against
// the cost of another start, which there is none of.
func TestWorkLostByCancellation(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	id := d.submit(2, 6*time.Second, small(2))
	d.run(time.Second)
	d.m.Cancel(id, d.now)
	d.run(5 * time.Second)
	is.True(near(d.lostSeconds(stages.JobEnded, 2, smallTask), 2*(1+pool.DefaultBounds().StopTime.Seconds()/2), 0.05))
	is.True(near(d.totalLost(), d.lostSeconds(stages.JobEnded, 2, smallTask)*smallTask, 0.001))
	d.check()
}

// Gangs and single tasks all end as done. Guards against members that are done with their gang counting as
// lost, since their ends are listed after it.
func TestNothingIsLostWhereAllIsDone(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 2, 4, DefaultBounds())
	d.submit(1, 2*time.Second, largeGang(4, 8))
	d.submit(2, 2*time.Second, small(20))
	d.run(10 * time.Second)
	is.Equal(d.totalLost(), 0.0)
	is.Equal(d.m.Fleet(d.now).LostWork, []view.LostWork(nil))
	d.check()
}
