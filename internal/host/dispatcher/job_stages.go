package dispatcher

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// stageBuckets are the bucket bounds of job_stage_seconds. They range from a save on a fast store
// to jobs that have lost all their value.
var stageBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second, 60 * time.Second,
}

// jobEnded records the stages of a job that has ended and, if it missed its objective, what it was
// late for.
func (l *leadership) jobEnded(e dispatch.JobEnded) {
	l.onJobEnded(e)
	if e.Stages == nil {
		return
	}
	priority := strconv.Itoa(dispatch.MetricPriority(e.Job.Priority))
	for _, s := range stages.All() {
		l.metrics.Tagged(map[string]string{"priority": priority, "stage": s.String()}).Histogram("job_stage_seconds", stageBuckets).RecordDuration(e.Stages.Of(s))
	}
	if e.Late() {
		l.metrics.Tagged(map[string]string{"priority": priority, "stage": e.LateStage().String(), "cause": e.Interruption.String()}).Counter("jobs_late_total").Inc(1)
		l.histories.Decided("job late", lateJob(e)...)
	}
}

// lateJob returns the keys and values of the line about a late job. Those that are not known are
// left out.
func lateJob(e dispatch.JobEnded) []any {
	first := e.Job.Steps[0]
	kv := []any{
		"job", e.Job.ID, "queue", e.Job.Queue, "account", e.Job.Account, "priority", e.Job.Priority, "objectiveMS", e.Job.Objective().Milliseconds(),
		"wholeMS", e.Stages.Whole().Milliseconds(), "stage", e.LateStage().String(), "cause", e.Interruption.String(),
	}
	if e.Interruption != stages.None {
		kv = append(kv, "causeTarget", e.InterruptedOn)
	}
	for _, s := range stages.All() {
		kv = append(kv, s.String()+"MS", e.Stages.Of(s).Milliseconds())
	}
	kv = append(kv, "starts", e.Starts, "tasks", first.Count, "accelerators", first.Needs.Accelerators)
	if e.LastRun.Target != "" {
		kv = append(kv, "lastTarget", e.LastRun.Target)
	}
	if e.LastRun.OfEstimate > 0 {
		kv = append(kv, "ofEstimate", formatRatio(e.LastRun.OfEstimate))
	}
	if e.LastRun.OfMedian > 0 {
		kv = append(kv, "ofMedian", formatRatio(e.LastRun.OfMedian), "slowest", e.LastRun.Slowest)
	}
	return kv
}

func formatRatio(r float64) string { return strconv.FormatFloat(r, 'f', 2, 64) }

// viewStages returns the stages of a job that has completed, as operators see them; nil: they are
// not known.
func viewStages(m *dispatch.Machine, id graph.JobID) []view.Stage {
	line, known := m.Stages(id)
	if !known {
		return nil
	}
	var list []view.Stage
	for _, s := range stages.All() {
		list = append(list, view.Stage{Name: s.String(), MS: line.Of(s).Milliseconds()})
	}
	return list
}
