package dispatcher

import (
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// endedJob returns the report of a job that waited for capacity and then ran for a second.
func endedJob(waited time.Duration) dispatch.JobEnded {
	begin := time.Unix(1000, 0)
	line := stages.Begin(begin)
	line.Until(stages.Capacity, begin.Add(waited))
	line.Until(stages.Run, begin.Add(waited+time.Second))
	return dispatch.JobEnded{
		Job: &graph.Job{
			ID: someJob, Queue: "q.kind", Account: "norte", Priority: 0, SlackFactor: 2,
			Steps: []graph.Step{{Count: 3, Needs: graph.Resources{Accelerators: 4}, Estimate: time.Second}},
		},
		State: progress.Completed, Took: waited + time.Second, Stages: line, Starts: 6,
		Interruption: stages.Preempted, InterruptedOn: "t9", LastRun: dispatch.LastRun{Target: "t1", OfEstimate: 1},
	}
}

// A job is late, another is not. Guards against late jobs of which neither log nor metrics show why,
// against lines about jobs that met their objective, and against accounts in labels.
func TestLateJobIsRecorded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	scope := tally.NewTestScope("", nil)
	l := newLeadership(rows.New(0), &orderCounter{}, now, now)
	l.metrics, l.histories = scope, newHistories(logr.Discard())
	reported := 0
	l.onJobEnded = func(dispatch.JobEnded) { reported++ }
	l.execute(endedJob(500*time.Millisecond), now)
	is.Equal(len(l.histories.ofJob(someJob)), 0)
	l.execute(endedJob(4*time.Second), now)
	failed := endedJob(9 * time.Second)
	failed.State, failed.Stages = progress.Failed, nil
	l.execute(failed, now)
	is.Equal(reported, 3)
	decisions := l.histories.ofJob(someJob)
	is.Equal(len(decisions), 1)
	is.Equal(decisions[0].Message, "job late")
	is.Equal(decisions[0].Inputs, "job="+string(someJob)+" queue=q.kind account=norte priority=0 objectiveMS=2000 wholeMS=5000 stage=capacity cause=preempted causeTarget=t9"+
		" learnMS=0 takeoverMS=0 capacityMS=4000 preemptMS=0 saveMS=0 startMS=0 rerunMS=0 runMS=1000 publishMS=0 starts=6 tasks=3 accelerators=4 lastTarget=t1 ofEstimate=1.00")
	late := scope.Snapshot().Counters()["jobs_late_total+cause=preempted,priority=0,stage=capacity"]
	is.True(late != nil)
	is.Equal(late.Value(), int64(1))
	for _, c := range scope.Snapshot().Counters() {
		is.True(!strings.Contains(strings.Join(labelValues(c.Tags()), " "), "norte"))
	}
	is.Equal(len(scope.Snapshot().Histograms()), len(stages.All()))
}

func labelValues(tags map[string]string) []string {
	var list []string
	for _, v := range tags {
		list = append(list, v)
	}
	return list
}

// A platform's rows may have any priority. Guards against label sets that grow with it.
func TestPriorityLabelIsBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(dispatch.MetricPriority(-3), 0)
	is.Equal(dispatch.MetricPriority(2), 2)
	is.Equal(dispatch.MetricPriority(1000), dispatch.Priorities-1)
}
