package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// recordedRun returns the saved progress of a job of which a start on a target was recorded.
func recordedRun(target string) *progress.Job {
	placed := &progress.Step{Placements: []progress.Placement{{Target: target, Run: 1}}}
	return &progress.Job{State: progress.Queued, Steps: map[string]*progress.Step{"0.0": placed}}
}

// succeed returns the fixture of the next leader, which has restored a job from the row that the
// present one saves of it, with the leases of its predecessors ending after a time.
func (s *fixture) succeed(is *is.I, j *graph.Job, leases time.Duration) *fixture {
	is.Helper()
	p, err := progress.Decode(s.jobs[j.ID].row().Value)
	is.NoErr(err)
	next := newFixture()
	next.now = s.now
	next.Restore(j, p, 5, false, next.now)
	next.EnablePlacement(next.now.Add(leases), next.now)
	return next
}

// Guards against a job that leaves the pending jobs by a takeover, since its start was recorded, although no
// target has begun it, and against a next takeover that takes this from the row.
func TestJobIsPendingUntilATargetHasBegunIt(t *testing.T) {
	is := is.New(t)
	j := testJob("00000000000000e0", 1)
	s := newFixture()
	s.Restore(j, recordedRun("gone"), 5, false, s.now)
	s.EnablePlacement(s.now.Add(6*time.Second), s.now)
	for range 3 {
		is.Equal(s.Pending("q"), 1)
		state, _ := s.State(j.ID)
		is.Equal(state, progress.Queued)
		s = s.succeed(is, j, 6*time.Second)
	}
	s.now = s.now.Add(6 * time.Second)
	s.Tick(s.now)
	s.report(order.Report{})
	started := commands[Start](s)
	is.Equal(len(started), 1)
	s.StartAnswered(started[0], s.now.UnixMilli(), nil, s.now)
	is.Equal(s.Pending("q"), 0)
	is.Equal(s.succeed(is, j, 6*time.Second).Pending("q"), 0)
}

// As above, but the target reports the run, or its end.
func TestJobIsNotPendingOnceATargetHasReportedIt(t *testing.T) {
	for name, rep := range map[string]order.Report{
		"running": {Running: []order.Running{{Run: testRun("00000000000000e1", 0, 1)}}},
		"done":    {Ended: []order.Ended{{Number: 1, Run: testRun("00000000000000e1", 0, 1), Reason: order.Done}}},
		"failed":  {Ended: []order.Ended{{Number: 1, Run: testRun("00000000000000e1", 0, 1), Reason: order.Failed}}},
		"lapsed":  {Ended: []order.Ended{{Number: 1, Run: testRun("00000000000000e1", 0, 1), Reason: order.Lapsed}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			j := testJob("00000000000000e1", 2)
			s := newFixture()
			s.Restore(j, recordedRun("t1"), 5, false, s.now)
			s.EnablePlacement(s.now.Add(6*time.Second), s.now)
			is.Equal(s.Pending("q"), 1)
			s.report(rep)
			is.Equal(s.Pending("q"), 0)
			is.Equal(s.succeed(is, j, 6*time.Second).Pending("q"), 0)
		})
	}
}

// A recorded run is lost with its target, which may have begun it. Guards against a job that is given up as one
// that has not run, also by a later leader, after its latest start.
func TestJobThatMayHaveStartedDoesNotExpire(t *testing.T) {
	is := is.New(t)
	j := testJob("00000000000000e2", 1)
	s := newFixture()
	j.StartBy = s.now.Add(time.Second).UnixMilli()
	s.Restore(j, recordedRun("gone"), 5, false, s.now)
	s.EnablePlacement(s.now.Add(6*time.Second), s.now)
	s.now = s.now.Add(6 * time.Second)
	s.Tick(s.now)
	is.Equal(len(s.jobs[j.ID].liveRuns), 0)
	next := s.succeed(is, j, 0)
	for _, s := range []*fixture{s, next} {
		s.report(order.Report{})
		s.saves()
		is.Equal(s.jobs[j.ID].state, progress.Queued)
		is.Equal(len(s.jobs[j.ID].liveRuns), 1)
	}
}

// Guards against a job that never expires since a start of it was recorded, but was never sent.
func TestJobExpiresAfterAStartThatWasNotSent(t *testing.T) {
	is := is.New(t)
	j := testJob("00000000000000e3", 1)
	s := newFixture()
	j.StartBy = s.now.Add(time.Second).UnixMilli()
	s.Accept(j, s.now)
	s.EnablePlacement(s.now, s.now)
	s.report(order.Report{})
	s.Decide(s.now)
	is.Equal(len(s.jobs[j.ID].liveRuns), 1) // recorded, not saved
	s.now = s.now.Add(2 * time.Second)
	for r := range s.jobs[j.ID].liveRuns {
		s.dropUnsent(r, stopFor(stopRowRefused), s.now)
	}
	s.saves()
	is.Equal(s.jobs[j.ID].state, progress.NotRun)
}

// The row that records a start is saved before a target begins it. Guards against a job that runs and is pending again
// after a takeover, since nothing of it has ended yet.
func TestRowShowsStartWithNextSaveOfItsPartition(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	s.EnablePlacement(s.now, s.now)
	j := testJob("00000000000000e4", 1)
	s.Accept(j, s.now)
	s.report(order.Report{})
	started := commands[Start](s)
	is.Equal(len(started), 1)
	s.StartAnswered(started[0], s.now.UnixMilli(), nil, s.now)
	is.Equal(len(commands[Save](s)), 0) // no call for it alone
	other := graph.JobID("")
	for n := 0; other == "" || PartitionOf(other, s.bounds.Partitions) != PartitionOf(j.ID, s.bounds.Partitions); n++ {
		other = graph.JobID("00000000000000f" + string("0123456789abcdef"[n]))
	}
	s.Accept(testJob(other, 1), s.now)
	rows := s.saves()
	is.Equal(len(rows), 2)
	for _, r := range rows {
		p, err := progress.Decode(r.Value)
		is.NoErr(err)
		is.Equal(p.HasStarted(), r.Job == j.ID)
	}
	is.Equal(len(s.partitions[PartitionOf(j.ID, s.bounds.Partitions)].started), 0)
}
