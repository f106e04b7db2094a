package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// maxCrashesOfTask is the largest number of targets that a task may take down: the stand-in
// targets report the start after the fifth as a breach.
const maxCrashesOfTask = 5

// submitCrashing submits a job of which the first task of the first step crashes each target
// that starts it. The other tasks take three seconds.
func (d *simulation) submitCrashing(priority int, steps ...graph.Step) graph.JobID {
	j := &graph.Job{Priority: priority, SlackFactor: 3, Allowance: time.Second, Steps: steps}
	return d.submitJob(j, pool.Behaviour{
		Work:    func(graph.TaskID) time.Duration { return 3 * time.Second },
		Crashes: func(id graph.TaskID, _ int) bool { return id.Step == 0 && id.Index == 0 },
	})
}

// checkCrashes runs check, and checks that the crashing jobs are shown as failed with the
// cause, and that all others were completed.
func (d *simulation) checkCrashes(crashing ...graph.JobID) {
	d.t.Helper()
	d.check()
	failed := map[graph.JobID]bool{}
	for _, id := range crashing {
		failed[id] = true
		v, _ := d.m.Job(id)
		if v.State != progress.Failed || !strings.Contains(v.Reason, "targets were lost under it") {
			d.t.Errorf("job %s is %s: %q", id, v.State, v.Reason)
		}
	}
	for id := range d.submittedAt {
		if v, ok := d.m.Job(id); ok && !failed[id] && v.State != progress.Completed {
			d.t.Errorf("job %s is %s: %q", id, v.State, v.Reason)
		}
	}
	if n := d.p.Crashes(); n > maxCrashesOfTask*len(crashing) {
		d.t.Errorf("%d targets crashed under %d tasks", n, len(crashing))
	}
}

// A task crashes each target that starts it. It must be given up, and its job shown as
// failed, instead of taking down one target after the other for as long as the job lives.
func TestTaskThatCrashesTargetsIsGivenUp(t *testing.T) {
	d := newSimulation(t, 2, 4, DefaultBounds())
	crashing := d.submitCrashing(2, small(1))
	for range 8 {
		d.submit(2, 3*time.Second, small(2))
		d.runWithListing(1)
	}
	d.runWithListing(40)
	d.checkCrashes(crashing)
}

// The same for the kinds of steps that are started again by other rules: a gang, which does
// not wait for the lost target; a step with speculative runs; and a long-running one, which
// has no limit of attempts.
func TestCrashingStepsOfAllKindsAreGivenUp(t *testing.T) {
	gang, urgent, speculative, lasting := small(3), urgentGang(3, 4), small(2), small(2)
	gang.Gang, speculative.Speculative, lasting.LongRunning = true, true, true
	for name, step := range map[string]graph.Step{"gang": gang, "urgent gang": urgent, "speculative": speculative, "long-running": lasting} {
		t.Run(name, func(t *testing.T) {
			d := newSimulation(t, 2, 4, DefaultBounds())
			crashing := d.submitCrashing(0, step)
			d.submit(2, 3*time.Second, small(20))
			d.runWithListing(40)
			d.checkCrashes(crashing)
		})
	}
}

// A recurring job crashes targets in each occurrence. Its first occurrence ends it, and the
// later ones are not started.
func TestCrashingRecurringJobIsGivenUp(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 2, 4, DefaultBounds())
	j := &graph.Job{Priority: 1, SlackFactor: 3, Allowance: time.Second, Steps: []graph.Step{small(1)}, Repeat: 20, FirstAt: d.now.UnixMilli(), Every: 20 * time.Second}
	crashing := d.submitJob(j, pool.Behaviour{
		Work:    func(graph.TaskID) time.Duration { return time.Second },
		Crashes: func(graph.TaskID, int) bool { return true },
	})
	d.runWithListing(60)
	is.Equal(d.state(crashing), progress.Failed)
	d.checkCrashes(crashing)
}

// The leader changes after each crash. If losses were forgotten with it, the task would be
// started by each new leader anew.
func TestLossesSurviveLeader(t *testing.T) {
	for _, wait := range []time.Duration{50 * time.Millisecond, time.Second, 4 * time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			d := newSimulation(t, 2, 4, DefaultBounds())
			crashing := d.submitCrashing(2, small(1))
			d.submit(2, 3*time.Second, small(20))
			crashes := 0
			for range 100 {
				d.run(10 * time.Millisecond)
				for range 50 {
					if d.p.Crashes() > crashes {
						break
					}
					d.run(10 * time.Millisecond)
				}
				if d.p.Crashes() > crashes {
					crashes = d.p.Crashes()
					d.run(wait)
					d.changeLeader()
				}
				d.listTargets()
			}
			d.checkCrashes(crashing)
		})
	}
}

// Many tasks that crash their targets are submitted at once, among others that share the
// targets with them. Only those that crash targets are given up.
func TestNeighboursOfCrashingTasksAreCompleted(t *testing.T) {
	d := newSimulation(t, 6, 8, DefaultBounds())
	var crashing []graph.JobID
	for i := range 10 {
		d.submit(2, 6*time.Second, small(12))
		d.submit(0, 2500*time.Millisecond, urgentGang(3, 2))
		crashing = append(crashing, d.submitCrashing(i%3, small(1+i%4)))
		d.runWithListing(1)
	}
	d.runWithListing(60)
	d.checkCrashes(crashing...)
}

// Racks lose power one after the other, each four times, under a wide job: no task of it is to
// blame, however often its targets were lost.
func TestLossOfRacksIsNotBlamedOnTasks(t *testing.T) {
	d := newSimulation(t, 3, 8, DefaultBounds())
	d.submit(2, 6*time.Second, small(80))
	lasting := small(12)
	lasting.LongRunning = true
	service := d.submit(1, time.Second, lasting)
	for i := range 12 {
		d.runWithListing(4)
		for _, x := range d.p.Roster() {
			if x.Rack == fmt.Sprintf("r1-%d", i%3) {
				d.p.Crash(x.ID, d.now)
			}
		}
	}
	d.runWithListing(20)
	d.m.Cancel(service, d.now)
	d.runWithListing(2)
	delete(d.submittedAt, service)
	d.checkCrashes()
}

// Four targets in ten are lost within a second and a half, one after the other in all racks and
// zones. A task that is started again meets the next loss, three times, with nothing new beside
// it. It is not to blame.
func TestScatteredLossOfManyTargetsIsNotBlamedOnTasks(t *testing.T) {
	bounds := pool.DefaultBounds()
	bounds.RestartTime = 50 * time.Millisecond
	d := newSimulationOf(t, 24, 8, DefaultBounds(), bounds)
	d.submit(2, 6*time.Second, small(400))
	d.runWithListing(2)
	targets := d.p.Roster()
	victim := d.submit(1, 3*time.Second, graph.Step{Count: 1, Needs: graph.Resources{CPU: 20000, Accelerators: 3}, Estimate: 3 * time.Second})
	met := 0
	for i := range 77 {
		d.p.Crash(targets[i*73%len(targets)].ID, d.now)
		for _, r := range d.m.jobs[victim].steps[0].tasks[0].runs {
			if i >= 25 && met < 3 && r.Number > met && r.phase == running {
				d.p.Crash(r.target.ID, d.now)
				met++
			}
		}
		d.run(20 * time.Millisecond)
		if i%4 == 3 {
			d.listTargets()
		}
	}
	d.runWithListing(30)
	d.checkCrashes()
	if n := d.p.StartsOf(victim); n != 4 {
		t.Errorf("the task was started %d times", n)
	}
}

// Single targets break down and come back, one each half second, under short jobs that
// crash nothing.
func TestSingleLossesAreNotBlamedOnTasks(t *testing.T) {
	d := newSimulation(t, 3, 8, DefaultBounds())
	for i := range 120 {
		d.submit(i%3, 2*time.Second, small(1+i%12))
		d.run(500 * time.Millisecond)
		d.listTargets()
		list := d.p.Roster()
		d.p.Crash(list[i*7%len(list)].ID, d.now)
	}
	d.runWithListing(40)
	d.checkCrashes()
}

// The link to a target fails, again and again, for longer than its leases: its tasks are
// started elsewhere, but it was not lost. It says so when it answers again.
func TestUnreachableTargetIsNoLossOnceItAnswers(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	id := d.submit(2, 200*time.Second, small(1))
	d.run(200 * time.Millisecond)
	for range 8 {
		cut := d.targetOfJob(string(id))
		d.dropCommand = func(c Command) bool { return targetOf(c) == cut }
		d.runWithListing(11)
		x := d.m.jobs[id].steps[0].tasks[0]
		is.True(!x.losses.Empty())
		d.dropCommand = nil
		d.runWithListing(3)
		is.True(x.losses.Empty())
	}
	is.Equal(d.state(id), progress.Running)
}

// Targets leave as they announced, each with a run of the same task. That is no crash.
func TestPlannedLeaveIsNoLoss(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 8, DefaultBounds())
	id := d.submit(2, 40*time.Second, small(1))
	d.run(200 * time.Millisecond)
	for range 6 {
		leaving := d.targetOfJob(string(id))
		d.p.Drain(leaving)
		d.listTargets()
		d.run(500 * time.Millisecond)
		d.p.Crash(leaving, d.now)
		d.runWithListing(5)
		is.True(d.m.jobs[id].steps[0].tasks[0].losses.Empty())
	}
	is.Equal(d.state(id), progress.Running)
}

// Targets are lost under a gang that does not wait for them, and never return. Whether they
// were lost is known only when their leases have lapsed: the gang waits for that from the
// third on, and its job fails then.
func TestGangAwaitsVerdict(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 8, DefaultBounds())
	nowhere := small(1)
	nowhere.Label, nowhere.Estimate = "no target has it", time.Minute
	for priority := range 3 { // the steps that still wait are left alone by the end of the job
		d.submit(priority, time.Second, nowhere)
	}
	j := &graph.Job{Priority: 1, MaxAttempts: 10, SlackFactor: 3, Allowance: time.Second, Steps: []graph.Step{urgentGang(2, 8)}}
	id := d.submitJob(j, pool.Behaviour{Work: func(graph.TaskID) time.Duration { return 20 * time.Second }})
	dead := map[string]bool{}
	d.dropCommand = func(c Command) bool { return dead[targetOf(c)] }
	for range 3 {
		d.run(200 * time.Millisecond)
		lost := d.m.jobs[id].steps[0].tasks[0].runs[0].target.ID
		dead[lost] = true
		d.p.Kill(lost, d.now)
		d.run(400 * time.Millisecond)
	}
	starts := d.p.Starts()
	is.Equal(starts, 6)
	is.Equal(d.state(id), progress.Running)
	d.run(8 * time.Second)
	is.Equal(d.p.Starts(), starts)
	is.Equal(d.state(id), progress.Failed)
}

// A task takes down its target so that no connection breaks: the loss shows only when a poll
// times out, seconds later. That must not look as if the task had run for so long.
func TestTaskThatSilencesTargetsIsGivenUp(t *testing.T) {
	d := newSimulation(t, 2, 4, DefaultBounds())
	d.silentCrashes = true
	crashing := d.submitCrashing(2, small(1))
	for range 8 {
		d.submit(2, 3*time.Second, small(2))
		d.runWithListing(1)
	}
	d.runWithListing(60)
	d.checkCrashes(crashing)
}

// The same without other work, so that nothing but a late poll shows the loss: the task is
// given up after the third target all the same.
func TestLossThatShowsLateIsJudgedByLastAnswer(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 2, 4, DefaultBounds())
	d.silentCrashes = true
	crashing := d.submitCrashing(2, small(1))
	d.runWithListing(60)
	d.checkCrashes(crashing)
	is.Equal(d.p.Crashes(), 3)
}

// The answers to some starts are lost, a later one crashes the target before its answer, and
// no connection breaks. The first missed answer is no sign that the target was down by then.
func TestStartAfterLostAnswerIsBlamed(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	d.silentCrashes = true
	d.dropAnswer = func(Command) bool { return d.p.Crashes() == 0 }
	d.submit(2, 3*time.Second, small(6)) // their repetitions leave no room for others
	d.run(100 * time.Millisecond)
	crashing := d.submitCrashing(2, small(1))
	d.runWithListing(9)
	is.Equal(len(d.m.jobs[crashing].steps[0].tasks[0].losses.Losses()), 1)
}

// A run lasts for more than two seconds after two that lost their targets at their start.
// Whether a report shows that before its target is lost, or not, the task is cleared.
func TestRunThatLastedClearsItsTask(t *testing.T) {
	for _, lasts := range []time.Duration{2100 * time.Millisecond, 2400 * time.Millisecond, 3 * time.Second, 3600 * time.Millisecond} {
		t.Run(lasts.String(), func(t *testing.T) {
			is := is.New(t)
			d := newSimulation(t, 1, 8, DefaultBounds())
			others := small(56) // so that polls are not sent just when the task begins
			others.PerTarget = 7
			d.submit(2, 2*time.Minute, others)
			d.run(700 * time.Millisecond)
			id := d.submit(2, 20*time.Second, small(1))
			x := d.m.jobs[id].steps[0].tasks[0]
			for _, age := range []time.Duration{300 * time.Millisecond, 300 * time.Millisecond, lasts} {
				for len(x.runs) == 0 || x.runs[0].phase != running {
					d.run(simulationStep)
				}
				d.run(age)
				d.p.Crash(x.runs[0].target.ID, d.now)
				d.runWithListing(4)
			}
			is.Equal(d.state(id), progress.Running)
			is.Equal(x.losses.Suspicious(), 0)
		})
	}
}

// Tasks that crash their target come to the only one there is, where a long run goes on. It
// had begun before each of them, and must not be blamed for nine losses.
func TestOldRunIsNotBlamedForNewOnes(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	long := small(1)
	long.Checkpointing = true
	victim := d.submit(2, 30*time.Second, long)
	var crashing []graph.JobID
	for range 3 {
		d.runWithListing(8)
		crashing = append(crashing, d.submitCrashing(2, small(1)))
	}
	d.runWithListing(100)
	is.True(d.p.Crashes() >= 9)
	is.Equal(d.state(victim), progress.Completed)
	d.checkCrashes(crashing...)
}

// A task that crashes its target takes down the run of another job that began beside it. If
// both were started together again, that job would lose one target after the other.
func TestSuspectsAreStartedApart(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 8, DefaultBounds())
	neighbour := d.submit(2, 6*time.Second, small(1))
	crashing := d.submitCrashing(2, small(1))
	d.run(20 * time.Millisecond)
	is.Equal(d.targetOfJob(string(crashing)), d.targetOfJob(string(neighbour)))
	d.runWithListing(40)
	is.Equal(d.p.StartsOf(neighbour), 2)
	d.checkCrashes(crashing)
}

// An isolated task is started, and more work is submitted at once. None of it may begin beside
// the task: it would be lost with the next target.
func TestNothingBeginsBesideIsolatedTask(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	crashing := d.submitCrashing(2, small(1))
	x := d.m.jobs[crashing].steps[0].tasks[0]
	for !x.isolated() || len(x.runs) == 0 {
		d.run(simulationStep)
		if d.now.UnixMilli()%500 == 0 {
			d.listTargets()
		}
	}
	others := d.submit(2, 3*time.Second, small(4))
	d.run(5 * time.Millisecond)
	for _, o := range d.m.jobs[others].steps[0].tasks {
		for _, r := range o.runs {
			is.True(r.target != x.runs[0].target)
		}
	}
	d.runWithListing(40)
	d.checkCrashes(crashing)
}

// BenchmarkLostZone measures the loss of a third of all targets at once, with eight runs on
// each, and the decision after it.
func BenchmarkLostZone(b *testing.B) {
	for _, racks := range []int{6, 45, 138} {
		b.Run(fmt.Sprint(racks*8), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				d := newSimulation(b, racks, 8, DefaultBounds())
				for range racks {
					d.submit(2, time.Minute, small(64))
				}
				d.run(2 * time.Second)
				b.StartTimer()
				for _, t := range d.m.sortedTargets {
					if t.Zone == "z0" {
						d.m.targetLost(t, d.now)
					}
				}
				d.m.Decide(d.now)
			}
		})
	}
}

// A task crashes idle targets before they answer its start, and no connection breaks. Guards against a
// task that is never blamed, since each of its targets may have been lost before it was sent.
func TestTaskThatSilencesIdleTargetsIsGivenUp(t *testing.T) {
	for name, keepIDs := range map[string]bool{"targets return under other ids": false, "targets return under their ids": true} {
		t.Run(name, func(t *testing.T) {
			bounds := pool.DefaultBounds()
			bounds.KeepIDs = keepIDs
			d := newSimulationOf(t, 2, 4, DefaultBounds(), bounds)
			d.silentCrashes = true
			d.dropAnswer = func(Command) bool { return true }
			d.runWithListing(5)
			crashing := d.submitCrashing(2, small(1))
			d.runWithListing(60)
			d.checkCrashes(crashing)
		})
	}
}

// An idle target is cut off, and a task is sent there. Guards against a loss that is recorded under the
// task, which would isolate it and count towards giving it up, although its target was silent before.
func TestStartToSilentTargetIsNoSuspect(t *testing.T) {
	for name, restarts := range map[string]bool{"until its leases have lapsed": false, "until it has started again": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newSimulation(t, 1, 2, DefaultBounds())
			d.runWithListing(5)
			for _, x := range d.p.Roster() {
				d.disconnected[x.Address] = true
			}
			id := d.submit(2, time.Second, small(1))
			d.run(time.Second)
			x := d.m.jobs[id].steps[0].tasks[0]
			is.Equal(len(x.runs), 1)
			if restarts {
				d.p.Restart(x.runs[0].target.ID, time.Second, d.now)
				d.run(1500 * time.Millisecond)
				d.disconnected = map[string]bool{}
			}
			d.runWithListing(8)
			is.True(x.lostBefore || restarts)
			is.True(x.losses.Empty())
			d.disconnected = map[string]bool{}
			d.runWithListing(20)
			d.check()
		})
	}
}
