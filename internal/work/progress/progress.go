package progress

import (
	"encoding/json"
	"fmt"
	"math/big"
)

// State is what a client is shown of a job.
type State string

// The states. The last four are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	NotRun    State = "notRun" // given up before anything was started
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled || s == NotRun }

// Step is what is known of a step of one occurrence.
type Step struct {
	Done     *big.Int       `json:"done,omitempty"`     // bit i: task i is done
	Failures map[int][]int  `json:"failures,omitempty"` // numbers of the runs that failed, by task; of a gang under 0
	Saved    map[int]string `json:"saved,omitempty"`    // checkpoint by task; of a gang under 0
	Runs     map[int]int    `json:"runs,omitempty"`     // highest number of a run, by task that is not done; of a gang under 0
	Placed   map[int]Place  `json:"placed,omitempty"`   // runs that may exist, by task
}

// Place is where a run may exist.
type Place struct {
	Target string `json:"target"` // incarnation
	Run    int    `json:"run"`
}

// Job is the durable progress of a job.
type Job struct {
	State   State            `json:"state"`
	Ended   int64            `json:"ended,omitempty"` // of a final state: milliseconds since 1970 on the leader's clock
	Started bool             `json:"started,omitempty"`
	Steps   map[string]*Step `json:"steps,omitempty"` // by OCCURRENCE.STEP; a step without any end is left out
}

// Encode returns the progress as a row's value.
func (j *Job) Encode() ([]byte, error) {
	b, err := json.Marshal(j)
	if err != nil {
		return nil, fmt.Errorf("encode progress: %w", err)
	}
	return b, nil
}

// Decode reads a row's value. It refuses a state that is not known.
func Decode(value []byte) (*Job, error) {
	j := &Job{}
	if err := json.Unmarshal(value, j); err != nil {
		return nil, fmt.Errorf("decode progress: %w", err)
	}
	switch j.State {
	case Queued, Running, Completed, Failed, Cancelled, NotRun:
		return j, nil
	}
	return nil, fmt.Errorf("decode progress: state %q", j.State)
}
