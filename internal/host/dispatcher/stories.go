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
	storyLines = 60
	storyJobs  = 2000
)

// stories logs what a machine decides, and keeps the newest lines about each job,
// so that its story can be told. It is safe for several goroutines.
type stories struct {
	log   logr.Logger
	mu    sync.Mutex
	byJob map[graph.JobID][]told
	order []graph.JobID // in which the jobs came
}

// told is a decision as it was told. It is put into words only when somebody asks:
// few stories are ever read.
type told struct {
	at   time.Time
	what string
	with []any // keys and values in turn, that nobody changes
}

func newStories(log logr.Logger) *stories {
	return &stories{log: log, byJob: map[graph.JobID][]told{}}
}

// Decided implements dispatch.Log.
func (s *stories) Decided(what string, kv ...any) {
	s.log.Info(what, kv...)
	id, ok := jobOf(kv)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, known := s.byJob[id]
	if !known {
		s.makeRoom()
		s.order = append(s.order, id)
	}
	if len(lines) == storyLines { // the first lines say how it came in: the second half goes on
		lines = append(lines[:storyLines/2], lines[storyLines/2+1:]...)
	}
	s.byJob[id] = append(lines, told{at: time.Now(), what: what, with: kv})
}

func (s *stories) makeRoom() {
	if len(s.order) < storyJobs {
		return
	}
	delete(s.byJob, s.order[0])
	s.order = s.order[1:]
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

// join writes keys and values as a log line does.
func join(kv []any) string {
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
func (s *stories) of(id graph.JobID) []view.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := make([]view.Decision, 0, len(s.byJob[id]))
	for _, l := range s.byJob[id] {
		lines = append(lines, view.Decision{At: l.at.UTC(), What: l.what, With: join(l.with)})
	}
	return lines
}
