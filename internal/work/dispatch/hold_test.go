package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/crashloop"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// The only start of a task is lost, and its target answers polls but no stop. The run must be
// given up once its start is refused as late and the target still does not list it. Guards
// against a task that is never started again while another target is idle.
func TestTaskIsStartedAgainOnceOutstandingStartHasExpired(t *testing.T) {
	for name, refused := range map[string]bool{"stops are lost": false, "stops are refused": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newSimulation(t, 1, 2, DefaultBounds())
			first := ""
			d.dropCommand = func(c Command) bool {
				switch c := c.(type) {
				case Start:
					if first == "" {
						first = c.Target.ID
					}
					return c.Order.Run.Number == 1
				case Stop:
					return !refused
				}
				return false
			}
			d.refuse = func(c Command) error {
				if _, ok := c.(Stop); ok && refused {
					return order.ErrUnhealthy
				}
				return nil
			}
			id := d.submit(2, time.Second, small(1))
			d.runWithListing(60)
			is.Equal(d.m.targets[first].reach, reachable)
			is.True(d.duration(id) > 0) // a minute after its start was lost
			d.check()
		})
	}
}

// The answer to a start is lost, a report shows that the run has begun, and its end is forgotten by
// its target before the leader has read it. Guards against a task that has a run for ever, or for
// some seconds, that no report lists.
func TestRunThatOnlyAReportHasShownIsReleased(t *testing.T) {
	for _, longRunning := range []bool{false, true} {
		t.Run(fmt.Sprintf("long-running %t", longRunning), func(t *testing.T) {
			is := is.New(t)
			d := newSimulation(t, 1, 2, DefaultBounds())
			d.dropAnswer = func(c Command) bool { _, ok := c.(Start); return ok }
			step := small(1)
			step.LongRunning = longRunning
			j := &graph.Job{Priority: 2, SlackFactor: 3, Steps: []graph.Step{step}}
			id := d.submitJob(j, pool.Behaviour{
				Work:  func(graph.TaskID) time.Duration { return 2 * time.Second },
				Fails: func(_ graph.TaskID, run int) bool { return run == 1 }, // after a second
			})
			d.run(700 * time.Millisecond)
			r := d.m.jobs[id].steps[0].tasks[0].runs[0]
			is.Equal(r.phase, running) // as reported
			d.dropAnswer = nil
			d.disconnected[r.target.Address] = true
			d.run(700 * time.Millisecond)
			_, _ = d.p.Poll(r.target.address(), order.Poll{Term: 1, Acked: 57}, d.now) // an acknowledgement for its earlier incarnation arrives
			delete(d.disconnected, r.target.Address)
			d.runWithListing(6)
			is.Equal(r.target.reach, reachable)
			is.Equal(d.p.StartsOf(id), 2) // six seconds after the target has answered again without the run
		})
	}
}

// A target answers polls and stops, and loses all starts. Guards against a task that is placed there
// again and again while another target is idle.
func TestTargetThatLosesStartsIsAvoided(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	losing := ""
	d.dropCommand = func(c Command) bool {
		s, ok := c.(Start)
		if ok && losing == "" {
			losing = s.Target.ID
		}
		return ok && s.Target.ID == losing
	}
	id := d.submit(2, time.Second, small(1))
	d.runWithListing(30)
	is.True(d.duration(id) > 0) // half a minute, and eight starts or more
	d.check()
}

// Members of an urgent gang await capacity on two targets, of which one crashes. Guards against the
// others being sent without it: they would wait in vain for as long as a gang's members do.
func TestAwaitingGangIsNotSentWithoutALostMember(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 3, DefaultBounds())
	d.submit(2, 20*time.Second, small(24))
	d.run(time.Second)
	d.refuse = func(c Command) error { // what is preempted ends later
		if _, ok := c.(Stop); ok {
			return order.ErrUnhealthy
		}
		return nil
	}
	id := d.submit(0, time.Second, urgentGang(2, 8))
	d.run(200 * time.Millisecond)
	tasks := d.m.jobs[id].steps[0].tasks
	is.Equal(len(tasks[0].runs), 1)
	is.Equal(tasks[0].runs[0].phase, awaitingCapacity)
	d.p.Crash(tasks[0].runs[0].target.ID, d.now)
	d.m.PollFailed(tasks[0].runs[0].target.ID, Poll{Target: tasks[0].runs[0].target.address(), Sent: d.now}, order.ErrOtherIncarnation, d.now) // as its next incarnation answers
	d.refuse = nil
	d.run(1500 * time.Millisecond)
	sent := 0
	for _, x := range tasks {
		for _, r := range x.runs {
			if r.phase != awaitingCapacity {
				sent++
			}
		}
	}
	is.True(sent == 0 || sent == len(tasks))
	d.runWithListing(60)
	d.check()
}

// The target of a gang's member starts again under a new id before the member's start reached it.
// Guards against the other members waiting for it as long as a gang's members do.
func TestGangDoesNotWaitForAMemberThatIsLost(t *testing.T) {
	is := is.New(t)
	bounds := pool.DefaultBounds()
	bounds.RestartTime = 200 * time.Millisecond
	d := newSimulationOf(t, 1, 3, DefaultBounds(), bounds)
	lost := ""
	d.dropCommand = func(c Command) bool {
		s, ok := c.(Start)
		if ok && lost == "" {
			lost = s.Target.ID
			d.p.Crash(lost, d.now)
		}
		return ok && s.Target.ID == lost
	}
	id := d.submit(2, time.Second, largeGang(2, 8))
	d.run(50 * time.Millisecond)
	d.run(1500 * time.Millisecond)
	is.Equal(d.m.jobs[id].steps[0].highestGangRun, 2) // the loss was known after half a second
}

// A target's report of a run arrives after a newer one that listed its end. Guards against the run
// being taken for one that goes on, for which the rest of its gang waits.
func TestOvertakenReportDoesNotReviveARun(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 3, DefaultBounds())
	j := &graph.Job{Priority: 2, SlackFactor: 3, Steps: []graph.Step{urgentGang(2, 8)}}
	id := d.submitJob(j, pool.Behaviour{
		Work:  func(graph.TaskID) time.Duration { return 3 * time.Second },
		Fails: func(x graph.TaskID, run int) bool { return run == 1 && x.Index == 0 }, // after 1.5 s
	})
	d.run(1500 * time.Millisecond)
	s := d.m.jobs[id].steps[0]
	failing, asked := s.tasks[0].runs[0].target, d.now
	late, err := d.p.Poll(failing.address(), order.Poll{Term: 1}, d.now)
	is.NoErr(err)
	is.Equal(len(late.Running), 1)
	endedAt := time.Time{}
	d.m.log = logHook(func(message string) {
		if message == "run ended" && endedAt.IsZero() { // before that of the other member is listed
			endedAt = d.now
			p := Poll{Target: failing.address(), Extra: true, Sent: asked, Incarnation: failing.incarnation}
			d.events = slices.Insert(d.events, 0, event{at: d.now, do: func() { d.m.Polled(failing.ID, p, late, d.now) }})
		}
	})
	for s.highestGangRun == 1 && d.now.Sub(d.submittedAt[id]) < 20*time.Second {
		d.run(simulationStep)
	}
	is.True(!endedAt.IsZero())
	is.True(d.now.Sub(endedAt) < time.Second) // until the gang is started again
}

// logHook calls a function for each decision that is logged.
type logHook func(message string)

// Decided implements Log.
func (h logHook) Decided(message string, _ ...any) { h(message) }

// Recorded implements Log.
func (logHook) Recorded(string, ...any) {}

// A task of a step is isolated after targets were lost together under it, and no target is quiet.
// Guards against the step's other tasks, which may begin anywhere, waiting for it.
func TestTasksBesideAnIsolatedOneAreStarted(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	j := &graph.Job{Priority: 2, SlackFactor: 3, Steps: []graph.Step{small(1), small(3)}}
	j.Steps[1].After = []int{0}
	id := d.submitJob(j, pool.Behaviour{Work: func(graph.TaskID) time.Duration { return time.Second }})
	s := d.m.jobs[id].steps[1]
	for _, lost := range []string{"a", "b"} { // two targets of a rack that lost power
		s.tasks[0].losses.Add(crashloop.Loss{Target: lost, Kind: crashloop.Together}, time.Time{})
	}
	d.m.lossesChanged(s.tasks[0])
	is.True(s.tasks[0].isolated())
	noise := small(2)
	noise.PerTarget = 1
	for range 30 { // a short task begins on each target, again and again
		s.lostAt = d.submittedAt[id].Add(500 * time.Millisecond)
		d.submit(2, 150*time.Millisecond, noise)
		d.run(100 * time.Millisecond)
	}
	is.True(s.blockedBy == 0)
	is.True(len(s.tasks[1].runs) > 0 || s.tasks[1].done) // two seconds after its turn has come
}

// A task ends on a draining target shortly after another one, whose end is not saved yet, and the
// target leaves. Guards against the second end not being read, for which the task's leases would have
// to lapse.
func TestEndsOfADrainingTargetAreReadWhileOthersAreUnsaved(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	work := func(x graph.TaskID) time.Duration { return time.Second + time.Duration(x.Index)*50*time.Millisecond }
	id := d.submitJob(&graph.Job{Priority: 2, SlackFactor: 3, Steps: []graph.Step{small(2)}}, pool.Behaviour{Work: work})
	d.run(900 * time.Millisecond)
	leaving := d.m.jobs[id].steps[0].tasks[0].runs[0].target
	is.Equal(d.m.jobs[id].steps[0].tasks[1].runs[0].target, leaving)
	d.p.Drain(leaving.ID)
	d.listTargets()
	d.slowSaveTime = 300 * time.Millisecond
	d.run(300 * time.Millisecond) // the second task has ended 40 ms ago
	is.Equal(d.p.TasksDone(id), 2)
	d.p.Kill(leaving.ID, d.now)
	d.runWithListing(3)
	is.True(d.duration(id) > 0)
}

// An earlier leader recorded a gang whose starts were lost. One member is known to be missing, and
// the other is stopped before its target has reported; that target answers polls but no stop. Guards
// against a task that has a run for ever, although its target has reported without it to this leader
// and thus accepts no start of an earlier one.
func TestRunOfEarlierLeaderIsReleasedByAReport(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	d.dropCommand = func(c Command) bool { _, ok := c.(Start); return ok }
	id := d.submit(2, time.Second, largeGang(2, 8))
	d.run(50 * time.Millisecond)
	other := d.m.jobs[id].steps[0].tasks[1].runs[0].target.ID
	changedAt := d.now
	d.dropCommand = func(c Command) bool {
		switch c.(type) {
		case Stop:
			return true
		case Poll:
			return targetOf(c) == other && d.now.Sub(changedAt) < 300*time.Millisecond
		}
		return false
	}
	d.changeLeader()
	d.runWithListing(30)
	is.Equal(d.m.targets[other].reach, reachable)
	is.True(d.duration(id) > 0) // half a minute
	d.check()
}

// The only start of a job that must run at most once is lost, and its target answers no stop. It was not
// executed, which is known once the run is given up: the job must be placed again, not shown as failed.
func TestAtMostOnceJobIsStartedAgainOnceOutstandingStartHasExpired(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	d.dropCommand = func(c Command) bool {
		start, ok := c.(Start)
		_, stop := c.(Stop)
		return stop || ok && start.Order.Run.Number == 1
	}
	j := &graph.Job{Priority: 2, SlackFactor: 3, AtMostOnce: true, Steps: []graph.Step{small(1)}}
	id := d.submitJob(j, pool.Behaviour{Work: func(graph.TaskID) time.Duration { return time.Second }})
	d.runWithListing(30)
	is.Equal(d.state(id), progress.Completed)
	is.Equal(d.p.StartsOf(id), 1)
}

// An urgent task awaits the capacity of a run that is being stopped, on a target that answers polls
// but refuses stops. Other targets have work that may be preempted, too. Guards against an urgent
// task that waits for that one target for as long as it refuses.
func TestUrgentTaskDoesNotAwaitARefusedStop(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	step := wholeTarget()
	step.Count, step.Estimate = 4, 20*time.Second
	d.submit(2, 20*time.Second, step)
	d.run(time.Second)
	refusing := ""
	d.refuse = func(c Command) error {
		if s, ok := c.(Stop); ok {
			if refusing == "" {
				refusing = s.Target.ID
			}
			if s.Target.ID == refusing {
				return order.ErrUnhealthy
			}
		}
		return nil
	}
	urgent := wholeTarget()
	id := d.submit(0, time.Second, urgent)
	d.runWithListing(10)
	is.True(refusing != "")
	is.True(d.duration(id) > 0) // ten seconds after it was submitted, with three other targets to preempt
	d.refuse = nil
	d.runWithListing(60)
	d.check()
}

// A gang without checkpoints stalls since one of its targets does, and all its members report no
// progress. Guards against the healthy targets being kept from other work for seconds.
func TestStalledGangDoesNotQuarantineItsHealthyTargets(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	step := largeGang(4, 2)
	step.PerTarget = 1
	d.submit(1, 8*time.Second, step)
	d.run(time.Second)
	for _, x := range d.p.Roster() { // the pool does the work of each member by itself, unlike targets
		d.p.SetStalled(x.ID, true)
	}
	d.run(7200 * time.Millisecond)
	id := d.submit(2, time.Second, small(1))
	d.run(3 * time.Second)
	is.Equal(d.p.StartsOf(id), 1) // three of four targets are healthy and have most of their capacity free
}

// Targets would grant leases of 10 s. Guards against work of a target that is lost without a sign which waits for
// as long.
func TestWorkOfLostTargetAwaitsNoLongerLeaseThanIsGranted(t *testing.T) {
	is := is.New(t)
	bounds, targets := DefaultBounds(), pool.DefaultBounds()
	bounds.Lease, targets.Lease = 10*time.Second, 10*time.Second
	d := newSimulationOf(t, 2, 4, bounds, targets)
	id := d.submit(2, 20*time.Second, small(1))
	d.run(3 * time.Second)
	d.disconnected[d.m.jobs[id].steps[0].tasks[0].runs[0].target.Address] = true
	d.run(maxGrantedLease + time.Second)
	runs := d.m.jobs[id].steps[0].tasks[0].runs
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Number, 2)
	d.run(25 * time.Second)
	d.check()
}
