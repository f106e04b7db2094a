package dispatcher

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// jobInPartition returns a valid job whose rows are in a partition.
func jobInPartition(partition int) *graph.Job {
	j := &graph.Job{Queue: "q", Service: "s", MaxAttempts: 1, Steps: []graph.Step{{Count: 1}}}
	for n := 0; j.ID == "" || dispatch.PartitionOf(j.ID, Partitions) != partition; n++ {
		j.ID = graph.JobID("00000000000000" + string("0123456789abcdef"[n/16]) + string("0123456789abcdef"[n%16]))
	}
	return j
}

// The store is slow, 150 ms for each call, its history was compacted, and the leader was not
// notified of a job. All partitions must be read, however long that takes: otherwise the job is not
// found until the store is fast again.
func TestAllJobsAreFoundOnSlowStoreAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows.New(150 * time.Millisecond)
		l := newLeadership(table, &orderCounter{}, time.Now(), time.Now())
		l.machine = dispatch.New(7, dispatch.DefaultBounds())
		j := jobInPartition(Partitions - 1)
		value, err := EncodeJob(j)
		is.NoErr(err)
		table.Put(JobKey(Partitions-1, j.ID), value)
		table.Compact()
		for range 10 {
			_ = l.scan(t.Context())
			l.drainEvents()
		}
		_, known := l.machine.State(j.ID)
		is.True(known)
	})
}
