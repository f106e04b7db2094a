package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// restartTime is from the end of an incarnation to the start of the next in these tests.
const restartTime = 200 * time.Millisecond

// A target starts again under its id while a task runs there. The task must be started again
// as soon as the new incarnation shows, not only after the lease of the earlier one.
func TestRunsAreLostWithTheirIncarnation(t *testing.T) {
	for name, list := range map[string]bool{"shown by its report": false, "shown by the list": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newSimulation(t, 1, 1, DefaultBounds())
			id := d.submit(1, 4*time.Second, small(1))
			d.run(2500 * time.Millisecond) // it has been reported
			if list {                      // only the list shows it: the target does not answer
				d.dropCommand = func(Command) bool { return true }
			}
			d.p.Restart("r0-0#1", restartTime, d.now)
			d.run(500 * time.Millisecond)
			d.listTargets()
			is.Equal(len(d.m.targets["r0-0#1"].runsWhere(func(r *run) bool { return r.Number == 1 })), 0)
			d.dropCommand = nil
			d.runWithListing(6)
			is.Equal(d.state(id), progress.Completed)
			is.Equal(d.p.StartsOf(id), 2)
			d.check()
		})
	}
}

// A target has listed many ends and starts again under its id. The new incarnation numbers its
// ends anew: they must not be taken for those that were processed, and no acknowledgement of
// the earlier incarnation's ends must have it forget its own.
func TestEndsOfNewIncarnationAreProcessed(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	first := d.submit(1, 300*time.Millisecond, small(8))
	d.runWithListing(3)
	is.Equal(d.state(first), progress.Completed)
	d.p.Restart("r0-0#1", restartTime, d.now)
	d.runWithListing(1)
	var acked []int64
	d.dropCommand = func(c Command) bool {
		if p, ok := c.(Poll); ok {
			acked = append(acked, p.Order.Acked)
		}
		return false
	}
	second := d.submit(1, 300*time.Millisecond, small(3))
	d.runWithListing(3)
	is.Equal(d.state(second), progress.Completed)
	is.Equal(d.p.StartsOf(second), 3)
	for _, n := range acked {
		is.True(n <= 3) // the new incarnation has had three ends
	}
	d.check()
}

// A poll that acknowledges ends of one incarnation is answered by the next. It must not count
// as an acknowledgement of ends that the new incarnation has yet to list.
func TestAcknowledgementIsOfOneIncarnation(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	target := d.m.targets["r0-0#1"]
	p := Poll{Order: order.Poll{Acked: 57}, Sent: d.now, Incarnation: target.incarnation}
	d.m.Polled(target.ID, p, order.Report{Clock: 1000, StartedAt: target.incarnation + 1}, d.now)
	is.Equal(target.confirmedAck, int64(0))
}

// An idle target starts again under its id, and work is sent there before anything shows that.
// The new incarnation executes the starts, and they must not be repeated elsewhere.
func TestStartReachesUnknownIncarnation(t *testing.T) {
	d := newSimulation(t, 1, 2, DefaultBounds())
	for _, target := range []string{"r0-0#1", "r0-1#1"} {
		d.p.Restart(target, 0, d.now)
	}
	d.run(50 * time.Millisecond)
	id := d.submit(1, 2*time.Second, small(12))
	d.runWithListing(5)
	is.New(t).Equal(d.p.StartsOf(id), 12)
	d.check()
}

// The answer to a start is lost, and the target starts again under its id. The start may still
// be executed by the new incarnation: the task must not run elsewhere before a stop has ruled
// that out.
func TestUnansweredStartMayReachNewIncarnation(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	var late []Start
	d.dropCommand = func(c Command) bool {
		s, ok := c.(Start)
		if ok {
			late = append(late, s)
		}
		return ok
	}
	id := d.submit(1, 2*time.Second, small(1))
	d.run(100 * time.Millisecond)
	is.Equal(len(late), 1)
	d.p.Restart(late[0].Target.ID, restartTime, d.now)
	d.dropCommand = nil
	d.run(300 * time.Millisecond)
	_, _ = d.p.Start(late[0].Target, late[0].Order, d.now) // its order arrives
	d.runWithListing(6)
	is.Equal(d.state(id), progress.Completed)
	d.check()
}

// A target has started again under its id with other labels and less capacity, which only its
// new entry shows. Nothing may be placed there by the entry of the earlier incarnation.
func TestEntryOfEarlierIncarnationIsNotUsed(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	before := d.p.Roster()
	d.submit(1, 3*time.Second, small(1))
	d.run(time.Second)
	d.p.Restart("r0-0#1", restartTime, d.now)
	d.run(300 * time.Millisecond)
	d.p.SetCapacity("r0-0#1", graph.Resources{CPU: 11200, MemoryMB: 58000, Accelerators: 2}, d.now.Add(-time.Minute))
	d.run(time.Second) // it has reported
	wide := d.submit(1, time.Second, small(6))
	d.m.UpdateTargets(before, d.now, d.now) // the list is late
	d.decide()
	d.run(500 * time.Millisecond)
	is.Equal(d.p.StartsOf(wide), 0)
	d.runWithListing(12)
	d.check()
}

// A target starts again under its id. Tickets that the advice service issued for its earlier
// incarnation are not valid for the new one, which would refuse starts that carry them.
func TestTicketsEndWithTheIncarnation(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	target := d.m.targets["r0-0#1"]
	j := &graph.Job{Advised: true, AdviceValid: time.Minute, SlackFactor: 3, Steps: []graph.Step{small(1)}}
	id := d.submitJob(j, pool.Behaviour{Work: func(graph.TaskID) time.Duration { return time.Second }})
	s := d.m.jobs[id].steps[0]
	d.m.Advised(Advise{Step: s.id, Targets: []string{target.ID}}, []order.Permit{{Target: target.ID, Ticket: "k"}}, 0, d.now, nil, d.now)
	is.True(s.permitted(target, d.now))
	d.m.observeStart(target, target.incarnation+1, d.now)
	is.True(!s.permitted(target, d.now))
}

// The targets that a task crashes return under their ids. Each loss must count, although the
// same target is lost more than once.
func TestCrashingTaskIsGivenUpWhereTargetsKeepTheirIDs(t *testing.T) {
	bounds := pool.DefaultBounds()
	bounds.KeepIDs = true
	d := newSimulationOf(t, 1, 2, DefaultBounds(), bounds)
	crashing := d.submitCrashing(2, small(1))
	d.submit(2, 2*time.Second, small(4))
	d.runWithListing(60)
	d.checkCrashes(crashing)
}

// A report that an earlier incarnation sent arrives after one of the present incarnation. What
// it lists does not exist any more.
func TestReportOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	target := d.m.targets["r0-0#1"]
	earlier := target.incarnation
	d.p.Restart(target.ID, 0, d.now)
	d.run(50 * time.Millisecond)
	d.listTargets()
	d.run(200 * time.Millisecond)
	ghost := order.Running{Run: order.Run{Task: graph.TaskID{StepID: graph.StepID{Job: "0123456789abcdef"}}, Number: 1}}
	d.m.Polled(target.ID, Poll{Sent: d.now}, order.Report{Clock: 90000, StartedAt: earlier, Running: []order.Running{ghost}}, d.now)
	is.Equal(len(target.runs), 0)
	is.Equal(target.reach, reachable)
}

// A start is repeated to a target that has started again under its id and has not reported. By a
// clock that is not known, its deadline would never pass.
func TestNoStartWhileTheClockIsUnknown(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	d.runWithListing(30)
	var latest int64
	d.dropCommand = func(c Command) bool {
		if s, ok := c.(Start); ok {
			latest = max(latest, s.Order.Deadline)
		}
		return true
	}
	d.submit(1, 2*time.Second, wholeTarget())
	d.run(50 * time.Millisecond)
	d.p.Restart("r0-0#1", 0, d.now)
	d.run(50 * time.Millisecond)
	d.listTargets()
	d.run(time.Second)
	is.True(latest > 0)
	is.True(latest < 100000) // no clock has reached that
}

// The leader learns that a target has started again while the placement of a run is being saved.
// By a clock that is not known, the deadline of the start would never pass.
func TestRecordedRunIsNotSentWhileTheClockIsUnknown(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	d.slowSaveTime = 100 * time.Millisecond
	var latest int64
	d.dropCommand = func(c Command) bool {
		if s, ok := c.(Start); ok {
			latest = max(latest, s.Order.Deadline)
		}
		return true
	}
	d.submit(1, 2*time.Second, wholeTarget())
	d.run(20 * time.Millisecond)
	d.p.Restart("r0-0#1", 0, d.now)
	d.run(10 * time.Millisecond)
	d.listTargets()
	d.run(200 * time.Millisecond)
	is.Equal(latest, int64(0)) // nothing was sent
	d.dropCommand = nil
	d.runWithListing(5)
	d.check()
}

// A run is stopped while the answer to its start is outstanding, and its target starts again under
// its id. The start may still be executed by the new incarnation.
func TestStoppedRunWhoseStartIsOutstandingReachesNewIncarnation(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	d.runWithListing(30)
	copies := 0
	d.dropCommand = func(c Command) bool {
		switch c := c.(type) {
		case Start:
			if c.Order.Run.Number != 1 {
				return false
			}
			if copies++; copies == 1 {
				d.executeLate(c, 1200*time.Millisecond)
			}
			return true
		case Stop:
			return true
		}
		return false
	}
	id := d.submit(1, 8*time.Second, wholeTarget())
	d.run(50 * time.Millisecond)
	r := d.m.jobs[id].steps[0].tasks[0].runs[0]
	is.Equal(r.phase, starting)
	d.m.stop(r, preemptedFor(r.task.step.id), d.now)
	d.p.Restart(r.target.ID, 0, d.now)
	d.run(30 * time.Millisecond)
	d.listTargets()
	d.run(2 * time.Second)
	d.dropCommand = nil
	d.runWithListing(20)
	d.check()
}

// The first copy of a start is slow to arrive, the second is answered, and the target starts again
// under its id. The first copy may be executed by the new incarnation, beside the task's next run.
func TestSlowCopyOfAnAnsweredStartReachesNewIncarnation(t *testing.T) {
	d := newSimulation(t, 1, 2, DefaultBounds())
	d.runWithListing(30)
	copies := 0
	d.dropCommand = func(c Command) bool {
		s, ok := c.(Start)
		if !ok || s.Order.Run.Number != 1 {
			return false
		}
		if copies++; copies == 1 {
			d.executeLate(s, 4*time.Second)
		}
		return copies == 1
	}
	d.submit(1, 8*time.Second, wholeTarget())
	d.run(time.Second)
	var on string
	for _, x := range d.m.sortedTargets {
		if len(x.runs) > 0 {
			on = x.ID
		}
	}
	d.p.Restart(on, restartTime, d.now)
	d.runWithListing(20)
	d.check()
}

// The answer of an earlier incarnation arrives after the target has started again. Its clock is not
// that of the new incarnation.
func TestClockOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	x := d.m.targets["r0-0#1"]
	c := Start{Target: x.address(), Incarnation: x.incarnation}
	d.m.observeStart(x, x.incarnation+1, d.now)
	d.m.StartAnswered(c, 300000, nil, d.now)
	d.m.StopAnswered(Stop{Target: c.Target, Incarnation: c.Incarnation}, 300000, nil, d.now)
	d.m.PaceAnswered(Pace{Target: c.Target, Incarnation: c.Incarnation}, 300000, nil, d.now)
	is.Equal(x.clockMS, int64(0))
}

// A stop is answered by a target, the answer is slow to arrive, and the target starts again under
// its id in between. That answer does not rule out a start on the new incarnation.
func TestAnswerOfEarlierIncarnationDoesNotRuleOutAStart(t *testing.T) {
	d := newSimulation(t, 1, 2, DefaultBounds())
	d.runWithListing(30)
	var on string
	restarted := false
	d.dropCommand = func(c Command) bool {
		switch c := c.(type) {
		case Start:
			if c.Order.Run.Number != 1 {
				return false
			}
			if on == "" {
				d.executeLate(c, 4*time.Second)
			}
			on = c.Target.ID
			return true
		case Stop:
			if c.Run.Number == 1 && !restarted {
				restarted = true
				d.after(2*oneWay, func() {
					d.p.Restart(on, 0, d.now)
					d.after(20*time.Millisecond, func() { d.listTargets() })
				})
				return false
			}
			return c.Run.Number == 1
		}
		return false
	}
	d.slowAnswer = func(c Command) time.Duration {
		if s, ok := c.(Stop); ok && s.Run.Number == 1 {
			return 300 * time.Millisecond
		}
		return 0
	}
	d.submit(1, 8*time.Second, wholeTarget())
	d.run(7 * time.Second)
	d.dropCommand, d.slowAnswer = nil, nil
	d.runWithListing(20)
	d.check()
}

// A start is sent before it is known that its target has started again, and accepted after. The
// answer may be that of the new incarnation, of which an older report does not list the run: the
// task must not be started elsewhere on the strength of that.
func TestAcceptedStartMayBeOnNewIncarnation(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	var sent []Start
	d.dropCommand = func(c Command) bool {
		if s, ok := c.(Start); ok {
			sent = append(sent, s)
		}
		_, stop := c.(Stop)
		return !stop
	}
	d.submit(1, 2*time.Second, wholeTarget())
	d.run(50 * time.Millisecond)
	is.Equal(len(sent), 1)
	x := d.m.targets[sent[0].Target.ID]
	d.p.Restart(x.ID, 0, d.now)
	d.run(10 * time.Millisecond)
	d.listTargets()
	p := Poll{Target: x.address(), Sent: d.now, Incarnation: x.incarnation}
	d.run(10 * time.Millisecond)
	rep, err := d.p.Poll(p.Target, p.Order, d.now)
	is.NoErr(err)
	clock, err := d.p.Start(sent[0].Target, sent[0].Order, d.now)
	d.m.StartAnswered(sent[0], clock, err, d.now)
	d.m.Polled(x.ID, p, rep, d.now)
	d.dropCommand = nil
	d.runWithListing(10)
	d.check()
}

// A target has started again under its id at another address, and another one has started where it
// was. That one's answers to orders for the earlier incarnation must not remove the present one.
func TestPresentIncarnationIsNotRemovedByAnswersFromItsEarlierAddress(t *testing.T) {
	for name, startKnown := range map[string]bool{"start is shown": true, "only the address is shown": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newSimulation(t, 1, 1, DefaultBounds())
			x := d.m.targets["r0-0#1"]
			if !startKnown {
				x.incarnation = 0
			}
			moved := x.Target
			moved.Address, moved.StartedAt = "elsewhere", x.incarnation
			if startKnown {
				moved.StartedAt++
			}
			poll := Poll{Target: x.address(), Sent: d.now, Incarnation: x.incarnation}
			start := Start{Target: x.address(), Incarnation: x.incarnation}
			stop := Stop{Target: x.address(), Incarnation: x.incarnation}
			d.m.UpdateTargets([]roster.Target{moved}, d.now, d.now)
			d.m.PollFailed(x.ID, poll, order.ErrOtherIncarnation, d.now)
			is.Equal(d.m.targets[x.ID], x)
			d.m.StopAnswered(stop, 0, order.ErrOtherIncarnation, d.now)
			is.Equal(d.m.targets[x.ID], x)
			d.m.StartAnswered(start, 0, order.ErrOtherIncarnation, d.now)
			is.Equal(d.m.targets[x.ID], x)
			poll.Target = x.address()
			poll.Incarnation = x.incarnation
			d.m.PollFailed(x.ID, poll, order.ErrOtherIncarnation, d.now)
			is.Equal(d.m.targets[x.ID], nil)
		})
	}
}

// A gang's target starts again under its id and does not answer, which breaks the gang. The first
// copy of the start of the member there, of which the second was answered, is slow to arrive and may
// be executed by the new incarnation: the member must not be presumed ended with the gang.
func TestMemberWhoseStartMayReachNewIncarnationIsNotPresumedEnded(t *testing.T) {
	for name, listed := range map[string]bool{"listed": true, "not known": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newSimulation(t, 1, 4, DefaultBounds())
			d.runWithListing(30)
			var held *Start
			restarted := false
			d.dropCommand = func(c Command) bool {
				if s, ok := c.(Start); ok && held == nil {
					held = &s
					d.executeLate(s, 3*time.Second)
					return true
				}
				return restarted && targetOf(c) == held.Target.ID
			}
			d.submit(0, 6*time.Second, urgentGang(2, 8))
			d.run(time.Second)
			is.True(held != nil)
			restarted = true
			if listed {
				d.p.Restart(held.Target.ID, 0, d.now)
				d.run(50 * time.Millisecond)
				d.listTargets()
			} else {
				d.p.Restart(held.Target.ID, restartTime, d.now)
			}
			d.run(3 * time.Second)
			d.dropCommand = nil
			d.runWithListing(20)
			d.check()
		})
	}
}

// A target starts again several times while the stop of a run whose start was not answered gets no
// answer. Each of its ends counts as a loss by that one run, and the job is given up.
func TestRunIsBlamedForOneLossOnly(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	d.runWithListing(30)
	d.dropCommand = func(c Command) bool {
		_, poll := c.(Poll)
		return !poll && targetOf(c) != ""
	}
	id := d.submit(1, time.Second, small(1))
	for range 4 {
		d.run(500 * time.Millisecond)
		d.p.Restart("r0-0#1", 100*time.Millisecond, d.now)
		d.runWithListing(2)
	}
	is.True(d.state(id) != progress.Failed)
	d.dropCommand = nil
	d.runWithListing(5)
	is.Equal(d.state(id), progress.Completed)
}

// The second copy of a start was answered, and its target starts again under its id. The first copy
// no longer counts as outstanding, and an end of its task is acknowledged that must be withheld.
func TestUnansweredCopyIsOutstandingAgainAfterRestart(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 1, DefaultBounds())
	d.runWithListing(30)
	copies := 0
	d.dropCommand = func(c Command) bool {
		_, ok := c.(Start)
		if ok {
			copies++
		}
		return ok && copies == 1
	}
	id := d.submit(1, 8*time.Second, wholeTarget())
	d.run(time.Second)
	r := d.m.jobs[id].steps[0].tasks[0].runs[0]
	is.True(!r.startOutstanding())
	d.dropCommand = func(c Command) bool { return targetOf(c) != "" }
	d.p.Restart(r.target.ID, 0, d.now)
	d.run(50 * time.Millisecond)
	d.listTargets()
	is.True(r.startOutstanding())
}

// A placement is being saved, and its target starts again under its id without the label that the task
// requires, and reports. The start must not be sent there.
func TestRecordedRunIsNotSentToIncarnationWithoutItsLabel(t *testing.T) {
	is := is.New(t)
	s := &fixture{Machine: New(7, DefaultBounds()), now: time.Unix(1000, 0)}
	listed := roster.Target{ID: "t1", Address: "t1", Service: "s", Labels: []string{"a"}, StartedAt: 1000, Capacity: graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8}}
	s.UpdateTargets([]roster.Target{listed}, s.now, s.now)
	s.Polled("t1", Poll{Sent: s.now}, order.Report{Clock: 5000, StartedAt: 1000}, s.now)
	s.EnablePlacement(s.now, s.now)
	j := testJob("00000000000000ba", 1)
	j.Steps[0].Label = "a"
	s.Accept(j, s.now)
	var save Save
	for _, c := range s.Decide(s.now) {
		if c, ok := c.(Save); ok {
			save = c
		}
	}
	is.Equal(len(save.Rows), 1)
	s.now = s.now.Add(time.Second)
	listed.Labels, listed.StartedAt = []string{"b"}, 2000
	s.UpdateTargets([]roster.Target{listed}, s.now, s.now)
	s.Polled("t1", Poll{Sent: s.now}, order.Report{Clock: 100, StartedAt: 2000}, s.now)
	s.Saved(save.Partition, 1, s.now)
	for _, c := range s.Decide(s.now) {
		_, start := c.(Start)
		is.True(!start)
	}
}
