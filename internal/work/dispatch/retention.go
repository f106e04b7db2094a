package dispatch

import (
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

const (
	// forgetSlack extends the retention that clients were promised, since clocks differ.
	forgetSlack = 30 * time.Second
	// maxForgetJobs bounds the jobs of one Forget: with three rows each it stays under the
	// store's limit of 100 entries.
	maxForgetJobs = 30
	// forgetInterval is the time between two passes: rows are many and small, and nothing
	// waits for their removal.
	forgetInterval = 5 * time.Second
)

// forgetEnded issues a Forget for jobs whose retention is over. They stay known until
// their rows are removed, so a removal that failed is tried again in a later pass.
func (m *Machine) forgetEnded(now time.Time) {
	if now.Before(m.nextForgetAt) {
		return
	}
	m.nextForgetAt = now.Add(forgetInterval)
	cutoff := now.Add(m.wallOffset - m.bounds.Retention - forgetSlack).UnixMilli()
	byPartition := map[int][]graph.JobID{}
	for id, j := range m.jobs {
		if j.published.Final() && j.endedAt < cutoff && len(j.liveRuns) == 0 && !j.dirty && j.savedRev == j.rev {
			byPartition[j.partition] = append(byPartition[j.partition], id)
		}
	}
	for partition := range m.partitions {
		if ids := byPartition[partition]; len(ids) > 0 {
			slices.Sort(ids)
			m.commands = append(m.commands, Forget{Partition: partition, Jobs: ids[:min(len(ids), maxForgetJobs)]})
		}
	}
}

// Forgotten removes jobs after their rows were removed from the store.
func (m *Machine) Forgotten(f Forget) {
	for _, id := range f.Jobs {
		delete(m.jobs, id)
	}
}
