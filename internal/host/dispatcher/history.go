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

// Bounds of the decisions that are kept: some kilobytes for each of the jobs of a few
// minutes.
const (
	maxDecisionsPerJob = 60
	maxJobs            = 2000
)

// histories logs the decisions of a machine, and keeps those about each job for its
// history. It is safe for concurrent use.
type histories struct {
	log      logr.Logger
	mu       sync.Mutex
	byJob    map[graph.JobID][]decision
	jobOrder []graph.JobID // oldest first
}

// decision is a logged decision. It is formatted only on request: few histories are ever
// read.
type decision struct {
	at      time.Time
	message string
	pairs   []any // alternating keys and values, not modified
}

func newHistories(log logr.Logger) *histories {
	return &histories{log: log, byJob: map[graph.JobID][]decision{}}
}

// Decided implements dispatch.Log. The decision is kept for the first job, task or step that
// kv names.
func (h *histories) Decided(message string, kv ...any) {
	h.log.Info(message, kv...)
	h.Recorded(message, kv...)
}

// Recorded implements dispatch.Log. It keeps a decision like Decided, without logging it.
func (h *histories) Recorded(message string, kv ...any) {
	id, ok := jobOf(kv)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	decisions, known := h.byJob[id]
	if !known {
		h.evictOldest()
		h.jobOrder = append(h.jobOrder, id)
	}
	if len(decisions) == maxDecisionsPerJob { // the first half shows how the job was admitted: the oldest of the second half goes
		decisions = append(decisions[:maxDecisionsPerJob/2], decisions[maxDecisionsPerJob/2+1:]...)
	}
	h.byJob[id] = append(decisions, decision{at: time.Now(), message: message, pairs: kv})
}

// evictOldest drops the job whose first decision is the oldest, if maxJobs are kept.
func (h *histories) evictOldest() {
	if len(h.jobOrder) < maxJobs {
		return
	}
	delete(h.byJob, h.jobOrder[0])
	h.jobOrder = h.jobOrder[1:]
}

// jobOf returns the first job that the pairs of a decision name, by itself or in a task or
// step, and whether there is one.
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

// formatPairs formats keys and values as a log line does.
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

// ofJob returns the decisions about a job, oldest first.
func (h *histories) ofJob(id graph.JobID) []view.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]view.Decision, 0, len(h.byJob[id]))
	for _, d := range h.byJob[id] {
		list = append(list, view.Decision{At: d.at.UTC(), Message: d.message, Inputs: formatPairs(d.pairs)})
	}
	return list
}
