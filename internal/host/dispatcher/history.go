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
	maxDecisionsPerJob = 60
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
	message string
	pairs []any // keys and values in turn, that nobody changes
}

func newHistories(log logr.Logger) *histories {
	return &histories{log: log, byJob: map[graph.JobID][]decision{}}
}

// Decided implements dispatch.Log.
func (h *histories) Decided(what string, kv ...any) {
	h.log.Info(what, kv...)
	id, ok := jobOf(kv)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	lines, known := h.byJob[id]
	if !known {
		h.evictOldest()
		h.jobOrder = append(h.jobOrder, id)
	}
	if len(lines) == maxDecisionsPerJob { // the first lines say how it came in: the second half goes on
		lines = append(lines[:maxDecisionsPerJob/2], lines[maxDecisionsPerJob/2+1:]...)
	}
	h.byJob[id] = append(lines, decision{at: time.Now(), message: what, pairs: kv})
}

func (h *histories) evictOldest() {
	if len(h.jobOrder) < maxJobs {
		return
	}
	delete(h.byJob, h.jobOrder[0])
	h.jobOrder = h.jobOrder[1:]
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

// ofJob returns the lines about a job.
func (h *histories) ofJob(id graph.JobID) []view.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	lines := make([]view.Decision, 0, len(h.byJob[id]))
	for _, l := range h.byJob[id] {
		lines = append(lines, view.Decision{At: l.at.UTC(), What: l.message, With: formatPairs(l.pairs)})
	}
	return lines
}
