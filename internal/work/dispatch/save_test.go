package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// storeRowBytes is the size of the largest row that the store takes in current deployments.
const storeRowBytes = 64 << 10

// The store refuses a row that is too large, and its job is never saved again. The row of the
// largest job that is accepted must fit, also if all its tasks have checkpoints.
func TestRowOfLargestJobFitsIntoTheStore(t *testing.T) {
	s := newFixture()
	j := testJob("00000000000000ba", graph.MaxTasks)
	j.Steps[0].Checkpointing = true
	s.Accept(j, s.now)
	for _, x := range s.jobs[j.ID].steps[0].tasks {
		x.highestRun, x.savedCheckpoint = 1, "00000bb87a21d94b"
	}
	if n := len(s.jobs[j.ID].row().Value); n > storeRowBytes {
		t.Errorf("%d bytes", n)
	}
}

// The store refuses each save that holds a certain job's row, such as one that is too large. Other jobs
// of the partition must be saved nevertheless.
func TestRefusedRowDoesNotHoldBackOtherJobs(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	s.report(order.Report{})
	s.EnablePlacement(s.now, s.now)
	refused, other := testJob("00000000000000aa", 1), graph.JobID("")
	s.Accept(refused, s.now)
	for n := 0; PartitionOf(other, s.bounds.Partitions) != PartitionOf(refused.ID, s.bounds.Partitions) || other == ""; n++ {
		other = graph.JobID("00000000000000b" + string("0123456789abcdef"[n]))
	}
	s.Accept(testJob(other, 1), s.now)
	saved := false
	for range 50 {
		for _, c := range s.Decide(s.now) {
			save, ok := c.(Save)
			if !ok {
				continue
			}
			holdsRefused := false
			for _, r := range save.Rows {
				holdsRefused = holdsRefused || r.Job == refused.ID
			}
			if holdsRefused {
				s.SaveFailed(save.Partition, s.now)
				continue
			}
			saved = true
			s.Saved(save.Partition, 1, s.now)
		}
		s.now = s.now.Add(saveRetryPause)
		s.Tick(s.now)
	}
	is.True(saved)
}
