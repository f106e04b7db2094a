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

// testJob returns a job of single tasks.
func testJob(id graph.JobID, tasks int) *graph.Job {
	return &graph.Job{ID: id, Queue: "q", Service: "s", MaxAttempts: 2, Steps: []graph.Step{small(tasks)}, AcceptedAt: 1000000}
}

// fixture is a machine that is told by hand what happens.
type fixture struct {
	*Machine
	now time.Time
}

func newFixture() *fixture {
	s := &fixture{Machine: New(7, DefaultBounds()), now: time.Unix(1000, 0)}
	s.UpdateTargets([]roster.Target{{
		ID: "t1", Address: "t1", Service: "s", Capacity: graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8},
	}}, s.now, s.now)
	return s
}

// report has the target report.
func (s *fixture) report(rep order.Report) {
	rep.Clock = s.now.UnixMilli()
	s.Polled("t1", Poll{Sent: s.now}, rep, s.now)
}

// saves returns the saves that the machine asks for, and takes them as done.
func (s *fixture) saves() []SaveRow {
	var rows []SaveRow
	s.now = s.now.Add(time.Millisecond) // a pass rests a little after the one before
	for _, c := range s.Decide(s.now) {
		if c, ok := c.(Save); ok {
			rows = append(rows, c.Rows...)
			s.Saved(c.Part, 1, s.now)
		}
	}
	return rows
}

func testRun(id graph.JobID, index, number int) order.Run {
	return order.Run{Task: graph.StepID{Job: id}.Task(index), Number: number}
}

// A job was completed, then cancelled. A new leader is listed an end of it. To
// save the job again under the condition that it was not cancelled would be
// refused for ever, and hold up the progress of all jobs of its part.
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

// A leader saved that a run failed, and was lost before it could acknowledge the
// end. Its successor is listed the same end. Counted again, it would be the
// second failure of two that are allowed, and the job be shown as failed.
func TestFailureReportedToTwoLeadersCountsOnce(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	id := graph.JobID("00000000000000ab")
	failed := &progress.Step{FailedRuns: map[int][]int{0: {1}}, LastRuns: map[int]int{0: 1}}
	s.Restore(testJob(id, 1), &progress.Job{State: progress.Queued, Steps: map[string]*progress.Step{"0.0": failed}}, 5, false, s.now)
	s.EnablePlacement(s.now, s.now)
	s.report(order.Report{Ended: []order.Ended{{Number: 1, Run: testRun(id, 0, 1), Reason: order.Failed}}})
	state, _ := s.State(id)
	is.Equal(state, progress.Queued)
	s.saves()
	s.report(order.Report{Ended: []order.Ended{{Number: 2, Run: testRun(id, 0, 2), Reason: order.Failed}}})
	s.saves()
	state, _ = s.State(id)
	is.Equal(state, progress.Failed) // the second failure does count
}

// A gang ends on two targets. The end that was listed first made the job
// complete; that is not saved yet. The other end must not be acknowledged before
// it is: if the leader is lost and the first target dies, nothing else tells that
// the gang is done.
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

// A new leader finds in the rows where a run was placed. Its target reports
// without it: the order that was recorded was never carried out, and cannot be any
// more, since the target has seen the new term. The task is started again.
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

// A recorded run's target does not report. Its task waits until all leases have
// lapsed that the earlier leader can have granted, and is started elsewhere then.
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
