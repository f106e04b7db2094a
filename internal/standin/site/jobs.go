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

// StoredJobs finds jobs where the system stores them. What their tasks do stands
// in the job's spec: {"runMillis": 200, "fail": true}; a task of which nothing is
// said runs for its estimate.
func StoredJobs(t *rows.Table) pool.Lookup {
	return func(id graph.JobID) (*graph.Job, pool.Behaviour) {
		row := t.Get(dispatcher.JobKey(dispatch.PartOf(id, dispatcher.Partitions), id))
		if row.Version == 0 {
			return nil, pool.Behaviour{}
		}
		j, err := dispatcher.DecodeJob(row.Value)
		if err != nil {
			return nil, pool.Behaviour{}
		}
		return j, behaviour(j)
	}
}

// usualWork is how long a task runs of which nothing is said.
const usualWork = time.Second

func behaviour(j *graph.Job) pool.Behaviour {
	var said struct {
		RunMillis int64 `json:"runMillis"`
		Fail      bool  `json:"fail"`
	}
	_ = json.Unmarshal([]byte(j.Spec), &said) // a spec of another form says nothing
	return pool.Behaviour{
		Work: func(t graph.TaskID) time.Duration {
			if said.RunMillis > 0 {
				return time.Duration(said.RunMillis) * time.Millisecond
			}
			if e := j.Steps[t.Step].Estimate; e > 0 {
				return e
			}
			return usualWork
		},
		Fails: func(graph.TaskID, int) bool { return said.Fail },
	}
}
