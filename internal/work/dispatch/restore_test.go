package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// testJob returns a job of one step of single tasks, which have two attempts each.
func testJob(id graph.JobID, tasks int) *graph.Job {
	return &graph.Job{ID: id, Queue: "q", Service: "s", MaxAttempts: 2, Steps: []graph.Step{small(tasks)}, AcceptedAt: 1000000}
}

// fixture is a machine whose events the test supplies, with the time that it gets with them.
type fixture struct {
	*Machine
	now time.Time
}

// newFixture returns a machine with one target, t1, that has not reported. Placement is not
// enabled.
func newFixture() *fixture {
	s := &fixture{Machine: New(7, DefaultBounds()), now: time.Unix(1000, 0)}
	s.UpdateTargets([]roster.Target{{
		ID: "t1", Address: "t1", Service: "s", Capacity: graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8},
	}}, s.now, s.now)
	return s
}

// report passes the machine a report of target t1, with its clock set to the current time.
func (s *fixture) report(rep order.Report) {
	rep.Clock = s.now.UnixMilli()
	s.Polled("t1", Poll{Sent: s.now}, rep, s.now)
}

// saves has the machine decide, confirms its saves and returns their rows. It drops all other
// commands.
func (s *fixture) saves() []SaveRow {
	var rows []SaveRow
	s.now = s.now.Add(time.Millisecond) // there is a pause between passes
	for _, c := range s.Decide(s.now) {
		if c, ok := c.(Save); ok {
			rows = append(rows, c.Rows...)
			s.Saved(c.Partition, 1, s.now)
		}
	}
	return rows
}

// testRun returns a run of a task in the job's first step.
func testRun(id graph.JobID, index, number int) order.Run {
	return order.Run{Task: graph.StepID{Job: id}.Task(index), Number: number}
}

// A target lists an end of a job that was completed, then cancelled, to a new leader.
// Saving the job again under the condition that it was not cancelled would be refused
// forever, and block the saves of all jobs of its partition.
func TestEndOfCompletedJobIsNotSaved(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	id := graph.JobID("00000000000000aa")
	s.Restore(testJob(id, 2), &progress.Job{State: progress.Completed, Ended: 1}, 5, true, s.now)
	s.EnablePlacement(s.now, s.now)
	s.report(order.Report{Ended: []order.Ended{{Number: 1, Run: testRun(id, 0, 1), Reason: order.Done}}})
	is.Equal(len(s.saves()), 0)
	state, known := s.State(id)
	is.True(known)
	is.Equal(state, progress.Completed)
}

// A leader saved that a run failed and was lost before it acknowledged the end, so the end
// is listed to the next leader again. Counted twice, it would exhaust the two attempts and
// fail the job.
func TestFailureReportedToTwoLeadersCountsOnce(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	id := graph.JobID("00000000000000ab")
	failed := &progress.Step{FailedRuns: map[int][]int{0: {1}}, LastRuns: map[int]int{0: 1}}
	s.Restore(testJob(id, 1), &progress.Job{State: progress.Queued, Steps: map[string]*progress.Step{"0.0": failed}}, 5, false, s.now)
	s.EnablePlacement(s.now, s.now)
	s.report(order.Report{Ended: []order.Ended{{Number: 1, Run: testRun(id, 0, 1), Reason: order.Failed}}})
	state, _ := s.State(id)
	is.Equal(state, progress.Running)
	s.saves()
	s.report(order.Report{Ended: []order.Ended{{Number: 2, Run: testRun(id, 0, 2), Reason: order.Failed}}})
	s.saves()
	state, _ = s.State(id)
	is.Equal(state, progress.Failed) // the second failure does count
}

// The members of a gang end, as a rule on several targets. The first end that is listed
// completes the job. The other ends must not be acknowledged before that is saved: if the
// leader is lost and the first target dies, they are the only record that the gang is done.
func TestEndIsAcknowledgedAfterSave(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	id := graph.JobID("00000000000000ac")
	j := testJob(id, 2)
	j.Steps[0].Gang = true
	s.Restore(j, nil, 0, false, s.now)
	s.EnablePlacement(s.now, s.now)
	s.report(order.Report{Ended: []order.Ended{
		{Number: 1, Run: testRun(id, 0, 1), Reason: order.Done}, {Number: 2, Run: testRun(id, 1, 1), Reason: order.Done},
	}})
	is.Equal(s.targets["t1"].acked, int64(0))
	is.Equal(len(s.saves()), 1)
	is.Equal(s.targets["t1"].acked, int64(2))
}

// A new leader reads in the rows where a run was placed, and that target reports without
// it: the recorded start was never executed, and cannot be any more, since the target has
// seen the new term. The task must be started again.
func TestRecordedRunThatNeverStarted(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	id := graph.JobID("00000000000000ad")
	placed := &progress.Step{Placements: []progress.Placement{{Target: "t1", Run: 1}}, LastRuns: map[int]int{0: 1}}
	s.Restore(testJob(id, 1), &progress.Job{State: progress.Queued, Steps: map[string]*progress.Step{"0.0": placed}}, 5, false, s.now)
	s.EnablePlacement(s.now.Add(6*time.Second), s.now)
	is.Equal(len(s.saves()), 0) // nothing is placed before the report
	s.now = s.now.Add(time.Millisecond)
	s.report(order.Report{})
	is.Equal(len(s.saves()), 1)
	var started []Start
	for _, c := range s.Decide(s.now) {
		if c, ok := c.(Start); ok {
			started = append(started, c)
		}
	}
	is.Equal(len(started), 1)
	is.Equal(started[0].Order.Run.Number, 2)
}

// A recorded run's target does not report. The task must wait until all leases that the
// earlier leader can have granted have lapsed, and then start elsewhere.
func TestRecordedRunOnUnreachableTarget(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	id := graph.JobID("00000000000000ae")
	placed := &progress.Step{Placements: []progress.Placement{{Target: "gone", Run: 3}}, LastRuns: map[int]int{0: 3}}
	s.Restore(testJob(id, 1), &progress.Job{State: progress.Queued, Steps: map[string]*progress.Step{"0.0": placed}}, 5, false, s.now)
	end := s.now.Add(6 * time.Second)
	s.EnablePlacement(end, s.now)
	s.report(order.Report{})
	is.Equal(len(s.saves()), 0)
	s.now = end.Add(-time.Millisecond)
	s.Tick(s.now)
	is.Equal(len(s.saves()), 0)
	s.now = end
	s.Tick(s.now)
	is.Equal(len(s.saves()), 1)
}

// A target reports to a new leader and then ceases to answer. From its report on it has refused the
// orders of earlier leaders, so no lease there lasts for longer than a whole one from then. Guards against
// work that is withheld until the earlier leader may act nowhere any more.
func TestRunIsNotWithheldForLeaderThatItsTargetRefuses(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	id := graph.JobID("00000000000000bc")
	placed := &progress.Step{Placements: []progress.Placement{{Target: "t1", Run: 1}}, LastRuns: map[int]int{0: 1}}
	s.Restore(testJob(id, 1), &progress.Job{State: progress.Queued, Steps: map[string]*progress.Step{"0.0": placed}}, 5, false, s.now)
	s.EnablePlacement(s.now.Add(10*time.Second), s.now)
	s.report(order.Report{Running: []order.Running{{Run: testRun(id, 0, 1)}}})
	s.saves()
	s.PollFailed("t1", Poll{Target: s.targets["t1"].address(), Sent: s.now}, order.ErrUnanswered, s.now)
	s.now = s.now.Add(longestLease(s.bounds.Lease) + 100*time.Millisecond)
	s.Tick(s.now)
	is.Equal(len(s.targets["t1"].runs), 0)
}

// As above, but the target's start is known: it may start again under its id, and its next incarnation
// executes orders of the earlier leader. Guards against a second run of a task beside one that begins there, also
// if a list that was read since shows no other incarnation: one that cannot reach the store is not listed.
func TestRunIsWithheldForLeaderThatANextIncarnationObeys(t *testing.T) {
	for name, listed := range map[string]bool{"no list since": false, "listed since": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture()
			list := []roster.Target{s.targets["t1"].Target}
			list[0].StartedAt = 500
			s.UpdateTargets(list, s.now, s.now)
			id := graph.JobID("00000000000000be")
			placed := &progress.Step{Placements: []progress.Placement{{Target: incarnationName("t1", 500), Run: 1}}, LastRuns: map[int]int{0: 1}}
			s.Restore(testJob(id, 1), &progress.Job{State: progress.Queued, Steps: map[string]*progress.Step{"0.0": placed}}, 5, false, s.now)
			end := s.now.Add(10 * time.Second)
			s.EnablePlacement(end, s.now)
			s.report(order.Report{StartedAt: 500, Running: []order.Running{{Run: testRun(id, 0, 1)}}})
			s.saves()
			s.PollFailed("t1", Poll{Target: s.targets["t1"].address(), Sent: s.now, Incarnation: 500}, order.ErrUnanswered, s.now)
			s.now = s.now.Add(longestLease(s.bounds.Lease) + 100*time.Millisecond)
			if listed {
				s.UpdateTargets(list, s.now, s.now)
			}
			s.Tick(s.now)
			is.Equal(len(s.targets["t1"].runs), 1)
			s.now = end
			s.Tick(s.now)
			is.Equal(len(s.targets["t1"].runs), 0)
		})
	}
}

// A target has reported, and its list entry shows that it has started again. Guards against the wait for the
// leases of earlier leaders being as short on the new incarnation, which has not refused any of them yet.
func TestNextIncarnationHasAllLeasesOfEarlierLeaders(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	list := []roster.Target{s.targets["t1"].Target}
	list[0].StartedAt = 500
	s.UpdateTargets(list, s.now, s.now)
	end := s.now.Add(10 * time.Second)
	s.EnablePlacement(end, s.now)
	s.report(order.Report{StartedAt: 500})
	is.True(s.targets["t1"].leaseEnd.Before(end))
	list[0].StartedAt = 600
	s.UpdateTargets(list, s.now, s.now)
	is.Equal(s.targets["t1"].leaseEnd, end)
	s.report(order.Report{StartedAt: 600})
	is.True(s.targets["t1"].leaseEnd.Before(end))
}
