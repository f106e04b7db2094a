package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// recordReport records the report of a job that ended. In every simulation the stages of each job
// that completed must add up to the time from its submission until its end was visible: whatever
// happened in between, no time may be counted twice or left out.
func (d *simulation) recordReport(c JobEnded) {
	d.reports[c.Job.ID] = c
	if d.m.lostWork[stages.None] != [Priorities]float64{} {
		d.t.Errorf("job %s: work was lost without a cause", c.Job.ID)
	}
	if c.State != progress.Completed {
		return
	}
	sum := time.Duration(0)
	for _, s := range stages.All() {
		if c.Stages.Of(s) < 0 {
			d.t.Errorf("job %s: stage %s takes %s", c.Job.ID, s, c.Stages.Of(s))
		}
		sum += c.Stages.Of(s)
	}
	if whole := d.now.Sub(d.submittedAt[c.Job.ID]); sum != whole {
		d.t.Errorf("job %s: stages add up to %s, whole %s", c.Job.ID, sum, whole)
	}
}

// about reports whether a duration is within 50 ms of another one.
func about(got, want time.Duration) bool { return (got - want).Abs() <= 50*time.Millisecond }

// Two steps, one after the other, on an idle fleet. Guards against time of the second step that is
// missing, and time of the first that is counted for the second.
func TestStagesOfIdleFleet(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	second := small(2)
	second.After = []int{0}
	id := d.submit(2, 2*time.Second, small(3), second)
	d.run(10 * time.Second)
	r := d.reports[id]
	is.True(about(r.Stages.Of(stages.Run), 4*time.Second))
	is.True(about(r.Stages.Of(stages.Save), 2*saveTime))
	is.Equal(r.Stages.Of(stages.Takeover), time.Duration(0))
	is.Equal(r.Stages.Of(stages.Rerun), time.Duration(0))
	is.Equal(r.Stages.Of(stages.Preempt), time.Duration(0))
	is.True(r.Stages.Of(stages.Publish) >= saveTime)
	is.Equal(r.Starts, 5)
	is.Equal(r.Interruption, stages.None)
	is.True(!r.Late())
	d.check()
}

// An urgent gang preempts small tasks on a full rack. Guards against a wait for victims that shows
// as one for capacity, and against victims that do not tell why they took so long.
func TestStagesOfPreemption(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	victim := d.submit(2, 6*time.Second, small(32))
	d.run(time.Second)
	urgent := d.submit(0, 2500*time.Millisecond, urgentGang(2, 8))
	d.run(25 * time.Second)
	r := d.reports[urgent]
	is.True(about(r.Stages.Of(stages.Preempt), pool.DefaultBounds().StopTime/2))
	is.True(about(r.Stages.Of(stages.Run), 2500*time.Millisecond))
	is.Equal(r.Stages.Of(stages.Rerun), time.Duration(0))
	r = d.reports[victim]
	is.Equal(r.Interruption, stages.Preempted)
	is.True(r.Stages.Of(stages.Rerun) > time.Second)
	is.True(about(r.Stages.Of(stages.Run), 6*time.Second))
	is.Equal(r.Starts, 48)
	is.True(r.LastRun.OfEstimate > 0.95)
	d.check()
}

// A run resumes from a checkpoint. Guards against a run that did a part of the work only and seems to
// have been faster than estimated.
func TestResumedRunIsNotComparedWithEstimate(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	s := small(32)
	s.Checkpointing = true
	id := d.submit(2, 6*time.Second, s)
	d.run(3 * time.Second)
	d.submit(0, 2500*time.Millisecond, urgentGang(2, 8))
	d.run(25 * time.Second)
	r := d.reports[id]
	is.Equal(r.Interruption, stages.Preempted)
	is.True(r.Stages.Of(stages.Run) < 4*time.Second)
	is.Equal(r.LastRun.OfEstimate, 0.0)
	d.check()
}

// All capacity is taken when a job arrives. Guards against a wait for capacity that shows as
// anything else, and against a late job that is attributed to its run.
func TestStagesOfWaitForCapacity(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	d.submit(1, 8*time.Second, largeGang(1, 8))
	d.run(time.Second)
	s := small(8)
	s.Estimate = 500 * time.Millisecond
	id := d.submit(2, 500*time.Millisecond, s)
	d.run(20 * time.Second)
	r := d.reports[id]
	is.True(about(r.Stages.Of(stages.Capacity), 7*time.Second))
	is.True(r.Late())
	is.Equal(r.LateStage(), stages.Capacity)
	d.check()
}

// The leader changes while a job runs. Guards against stages that the next leader guesses for the
// time before, which it has not seen.
func TestStagesOfRestoredJob(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	id := d.submit(2, 4*time.Second, small(2))
	d.run(2 * time.Second)
	d.changeLeader()
	d.run(10 * time.Second)
	r := d.reports[id]
	is.True(about(r.Stages.Of(stages.Takeover), 2*time.Second))
	is.Equal(r.Stages.Of(stages.Learn), time.Duration(0))
	is.Equal(r.Stages.Of(stages.Capacity), time.Duration(0))
	is.True(about(r.Stages.Of(stages.Run), 2*time.Second))
	is.Equal(r.Starts, 0)
	is.Equal(r.LastRun.OfEstimate, 0.0) // it is not known when the run began
	d.check()
}

// A member of a gang fails. Guards against the other members, which end with it, being taken for
// the cause.
func TestInterruptionOfGangNamesFailedMember(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	failing := 1
	j := &graph.Job{Priority: 1, SlackFactor: 1, Steps: []graph.Step{urgentGang(3, 6)}}
	id := d.submitJob(j, pool.Behaviour{
		Work:  func(graph.TaskID) time.Duration { return 2 * time.Second },
		Fails: func(x graph.TaskID, run int) bool { return x.Index == failing && run == 1 },
	})
	d.run(500 * time.Millisecond)
	bad := d.findStep(graph.StepID{Job: id}).tasks[failing].runs[0].target.ID
	d.run(15 * time.Second)
	r := d.reports[id]
	is.Equal(r.Interruption, stages.Failed)
	is.Equal(r.InterruptedOn, bad)
	is.True(r.Stages.Of(stages.Rerun) >= time.Second)
	is.True(about(r.Stages.Of(stages.Run), 2*time.Second))
	is.Equal(r.Starts, 6)
	d.check()
}

// A target is lost with a run on it. Guards against a wait for its leases that does not show as that.
func TestInterruptionByLoss(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	id := d.submit(2, 2*time.Second, small(1))
	d.run(time.Second)
	lost := d.targetOfJob(string(id))
	d.p.Kill(lost, d.now)
	d.listTargets()
	d.run(20 * time.Second)
	r := d.reports[id]
	is.Equal(r.Interruption, stages.Lost)
	is.Equal(r.InterruptedOn, lost)
	is.True(r.Stages.Of(stages.Rerun) > time.Second)
	d.check()
}

// A run is ten times slower than estimated, and nothing else is to blame. Guards against a late job
// that does not tell where and by how much its run was slower.
func TestLateByItsRun(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	s := small(1)
	s.Estimate = 500 * time.Millisecond
	id := d.submit(2, 5*time.Second, s)
	d.run(10 * time.Second)
	r := d.reports[id]
	is.True(r.Late())
	is.Equal(r.LateStage(), stages.Run)
	is.Equal(r.LastRun.Target, d.p.Roster()[0].ID)
	is.True(r.LastRun.OfEstimate > 9.9 && r.LastRun.OfEstimate < 10.3)
	line, known := d.m.Stages(id)
	is.True(known)
	is.Equal(line.Whole(), r.Stages.Whole())
	d.check()
}

// One member of a gang runs on a slow target. Guards against the target not being named that the
// whole gang waited for.
func TestSlowestMemberIsNamed(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 3, DefaultBounds())
	id := d.submit(1, 6*time.Second, largeGang(3, 8))
	d.run(200 * time.Millisecond)
	slow := d.p.Roster()[1].ID
	d.p.SetSpeed(slow, 0.5)
	d.run(20 * time.Second)
	r := d.reports[id]
	is.Equal(r.LastRun.Slowest, slow)
	is.True(r.LastRun.OfMedian > 1.5)
	d.check()
}
