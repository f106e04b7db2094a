package progress

import (
	"encoding/json"
	"fmt"
	"math/big"
)

// State is the state of a job that clients see.
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

// Cause is the kind of reason for which a job failed.
type Cause string

// The causes.
const (
	AttemptsExhausted Cause = "attempts"  // a task failed as often as it may
	CrashLoop         Cause = "crashLoop" // a task crashes the targets that start it
	OutcomeUnknown    Cause = "outcome"   // an at-most-once task may have run
)

// Job is the durable progress of a job.
type Job struct {
	State   State `json:"state"`
	Ended   int64 `json:"ended,omitempty"`   // when a final state was reached: milliseconds since 1970 on the leader's clock
	Started bool  `json:"started,omitempty"` // a task is known to have started
	// MayHaveStarted is set if a run has ended that may have begun, whether or not it is known to have.
	MayHaveStarted bool `json:"mayHaveStarted,omitempty"`
	// ClosedOccurrences has a bit for each occurrence that is done. Such occurrences have no steps here.
	ClosedOccurrences *big.Int         `json:"closed,omitempty"`
	Cause             Cause            `json:"cause,omitempty"`  // why it failed; rows of earlier versions have none
	Reason            string           `json:"reason,omitempty"` // the same for its client
	Steps             map[string]*Step `json:"steps,omitempty"`  // by OCCURRENCE.STEP; a step about which nothing is known is left out
}

// HasStarted reports whether a task is known to have started. A placement does not show it: it is saved
// before the start is sent.
func (j *Job) HasStarted() bool {
	if j.Started || j.ClosedOccurrences != nil && j.ClosedOccurrences.Sign() > 0 {
		return true
	}
	for _, s := range j.Steps {
		if s != nil && (s.Done != nil && s.Done.Sign() > 0 || len(s.FailedRuns) > 0 || len(s.Checkpoints) > 0) {
			return true
		}
	}
	return false
}

// Encode encodes the progress as the value of a row, in the dense form if the plain one would be large.
func (j *Job) Encode() ([]byte, error) {
	b, err := json.Marshal(j)
	if err == nil && len(b) > maxPlainBytes {
		b, err = j.encodeDense()
	}
	if err != nil {
		return nil, fmt.Errorf("encode progress: %w", err)
	}
	return b, nil
}

// Decode decodes the value of a row in either form. An unknown state is an error.
func Decode(value []byte) (*Job, error) {
	j, err := decodeForm(value)
	if err != nil {
		return nil, fmt.Errorf("decode progress: %w", err)
	}
	switch j.State {
	case Queued, Running, Completed, Failed, Cancelled, NotRun:
		return j, nil
	}
	return nil, fmt.Errorf("decode progress: unknown state %q", j.State)
}

// decodeForm decodes the value of a row by its form.
func decodeForm(value []byte) (*Job, error) {
	if len(value) > 0 && value[0] == denseMark {
		return decodeDense(value[1:])
	}
	j := &Job{}
	err := json.Unmarshal(value, j)
	return j, err
}
