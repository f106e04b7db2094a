package dispatcher

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// Bounds of what is kept of decisions: some kilobytes for each of the jobs of a
// few minutes.
const (
	maxLinesPerJob = 60
	maxJobs        = 2000
)

// histories logs what a machine decides, and keeps the newest lines about each job,
// so that its story can be told. It is safe for several goroutines.
type histories struct {
	log      logr.Logger
	mu       sync.Mutex
	byJob    map[graph.JobID][]decision
	jobOrder []graph.JobID // in which the jobs came
}

// decision is a decision as it was decision. It is put into words only when somebody asks:
// few stories are ever read.
type decision struct {
	at   time.Time
	what string
	with []any // keys and values in turn, that nobody changes
}

func newHistories(log logr.Logger) *histories {
	return &histories{log: log, byJob: map[graph.JobID][]decision{}}
}

// Decided implements dispatch.Log.
func (s *histories) Decided(what string, kv ...any) {
	s.log.Info(what, kv...)
	id, ok := jobOf(kv)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, known := s.byJob[id]
	if !known {
		s.evictOldest()
		s.jobOrder = append(s.jobOrder, id)
	}
	if len(lines) == maxLinesPerJob { // the first lines say how it came in: the second half goes on
		lines = append(lines[:maxLinesPerJob/2], lines[maxLinesPerJob/2+1:]...)
	}
	s.byJob[id] = append(lines, decision{at: time.Now(), what: what, with: kv})
}

func (s *histories) evictOldest() {
	if len(s.jobOrder) < maxJobs {
		return
	}
	delete(s.byJob, s.jobOrder[0])
	s.jobOrder = s.jobOrder[1:]
}

// jobOf finds the job that a decision is about.
func jobOf(kv []any) (graph.JobID, bool) {
	for i := 0; i+1 < len(kv); i += 2 {
		switch v := kv[i+1].(type) {
		case graph.JobID:
			return v, true
		case graph.TaskID:
			return v.Job, true
		case graph.StepID:
			return v.Job, true
		}
	}
	return "", false
}

// formatPairs writes keys and values as a log line does.
func formatPairs(kv []any) string {
	var b strings.Builder
	for i := 0; i+1 < len(kv); i += 2 {
		if i > 0 {
			b.WriteByte(' ')
		}
		_, _ = fmt.Fprintf(&b, "%v=%v", kv[i], kv[i+1])
	}
	return b.String()
}

// of returns the lines about a job.
func (s *histories) of(id graph.JobID) []view.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := make([]view.Decision, 0, len(s.byJob[id]))
	for _, l := range s.byJob[id] {
		lines = append(lines, view.Decision{At: l.at.UTC(), What: l.what, With: formatPairs(l.with)})
	}
	return lines
}
