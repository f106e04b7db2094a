package stages

import (
	"strconv"
	"time"
)

// Stage is a part of the time of a job. Of a job with several steps, the stages are those
// of the chain of steps that were done last, and of the tasks that were done last in them.
type Stage int

// The stages, in the order in which a job of one step passes through them.
const (
	Learn    Stage = iota // from acceptance until the leader knows the job
	Takeover              // until a new leader has restored the job, and has a report of its runs
	Capacity              // until the task is placed
	Preempt               // until the capacity is free
	Save                  // until the placement is saved and the start can be sent
	Start                 // until the target has begun the run
	Rerun                 // from the first start to the placement of the run that ended as done
	Run                   // until the end of the run is read
	Publish               // until the end of the job is saved and visible
	count
)

var stageNames = [count]string{"learn", "takeover", "capacity", "preempt", "save", "start", "rerun", "run", "publish"}

// String returns the name of the stage as it stands in metrics, log lines and views.
func (s Stage) String() string {
	if s < 0 || s >= count {
		return strconv.Itoa(int(s))
	}
	return stageNames[s]
}

// All returns all stages in their order.
func All() []Stage {
	list := make([]Stage, count)
	for i := range list {
		list[i] = Stage(i)
	}
	return list
}

// Timeline is the time of a job, divided into stages, from its begin to the last boundary.
type Timeline struct {
	at    time.Time // the last boundary
	spent [count]time.Duration
}

// Begin returns an empty timeline that begins at a time.
func Begin(at time.Time) *Timeline { return &Timeline{at: at} }

// Clone returns a copy.
func (t *Timeline) Clone() *Timeline {
	c := *t
	return &c
}

// Until adds the time from the last boundary to a new one to a stage. A zero time, or one
// that is not after the last boundary, adds nothing.
func (t *Timeline) Until(s Stage, at time.Time) {
	if at.IsZero() || !at.After(t.at) {
		return
	}
	t.spent[s] += at.Sub(t.at)
	t.at = at
}

// Of returns the time spent in a stage.
func (t *Timeline) Of(s Stage) time.Duration { return t.spent[s] }

// Whole returns the time from the begin to the last boundary: the sum of all stages.
func (t *Timeline) Whole() time.Duration {
	var sum time.Duration
	for _, d := range t.spent {
		sum += d
	}
	return sum
}

// Longest returns the stage to which a late job is attributed: the longest other than Run,
// or Run if none exceeds the slack, which is the time that the job may take besides its
// critical path.
func (t *Timeline) Longest(slack time.Duration) Stage {
	longest, most := Run, max(slack, 0)
	for s, d := range t.spent {
		if Stage(s) != Run && d > most {
			longest, most = Stage(s), d
		}
	}
	return longest
}
