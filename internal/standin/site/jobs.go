package site

import (
	"encoding/json"
	"time"

	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// StoredJobs looks up jobs in the table in which the system stores them; a row that is
// missing or malformed is no job. The job's spec says how its tasks run:
//
//	{"runMillis": 200, "fail": true, "crash": true}
//
// Without runMillis a task runs for its estimate. With crash each run crashes its target.
func StoredJobs(t *rows.Table) pool.Lookup {
	return func(id graph.JobID) (*graph.Job, pool.Behaviour) {
		row := t.Get(dispatcher.JobKey(dispatch.PartitionOf(id, dispatcher.Partitions), id))
		if row.Version == 0 {
			return nil, pool.Behaviour{}
		}
		j, err := dispatcher.DecodeJob(row.Value)
		if err != nil {
			return nil, pool.Behaviour{}
		}
		return j, specBehaviour(j)
	}
}

// defaultWork is how long a task runs that has neither runMillis nor an estimate.
const defaultWork = time.Second

// specBehaviour returns how the tasks of a job run according to its spec, as StoredJobs
// describes.
func specBehaviour(j *graph.Job) pool.Behaviour {
	var spec struct {
		RunMillis int64 `json:"runMillis"`
		Fail      bool  `json:"fail"`
		Crash     bool  `json:"crash"`
	}
	_ = json.Unmarshal([]byte(j.Spec), &spec) // other specs have no effect
	return pool.Behaviour{
		Work: func(t graph.TaskID) time.Duration {
			if spec.RunMillis > 0 {
				return time.Duration(spec.RunMillis) * time.Millisecond
			}
			if e := j.Steps[t.Step].Estimate; e > 0 {
				return e
			}
			return defaultWork
		},
		Fails:   func(graph.TaskID, int) bool { return spec.Fail },
		Crashes: func(graph.TaskID, int) bool { return spec.Crash },
	}
}
