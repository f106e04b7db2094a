package dispatch

import (
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

const (
	// forgetSlack is kept beyond the retention that clients were promised, for
	// clocks that differ.
	forgetSlack = 30 * time.Second
	// maxForgetJobs bounds the jobs of one Forget: three rows each stay under the
	// store's 100 entries.
	maxForgetJobs = 30
	// forgetInterval is the time between two passes: rows are many and small, and
	// nothing waits for them to go.
	forgetInterval = 5 * time.Second
)

// forgetEnded asks to take out jobs whose state need not be told any more. They
// stay known until that has happened, so a pass that failed is made again.
func (m *Machine) forgetEnded(now time.Time) {
	if now.Before(m.nextForgetAt) {
		return
	}
	m.nextForgetAt = now.Add(forgetInterval)
	limit := now.Add(m.wallOffset - m.bounds.Retention - forgetSlack).UnixMilli()
	byPart := map[int][]graph.JobID{}
	for id, j := range m.jobs {
		if j.published.Final() && j.endedAt < limit && len(j.liveRuns) == 0 && !j.dirty && j.savedRev == j.rev {
			byPart[j.part] = append(byPart[j.part], id)
		}
	}
	for part := range m.parts {
		if ids := byPart[part]; len(ids) > 0 {
			slices.Sort(ids)
			m.commands = append(m.commands, Forget{Part: part, Jobs: ids[:min(len(ids), maxForgetJobs)]})
		}
	}
}

// Forgotten takes in that the rows of jobs were taken out.
func (m *Machine) Forgotten(f Forget) {
	for _, id := range f.Jobs {
		delete(m.jobs, id)
	}
}
