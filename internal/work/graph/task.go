package graph

import (
	"fmt"
	"strconv"
	"strings"
)

// JobID identifies a job. It is given by the client or derived from the client's request,
// so that submission is idempotent.
type JobID string

// Valid reports whether the id is 16 hexadecimal digits.
func (id JobID) Valid() bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// StepID names a step of one occurrence of a job.
type StepID struct {
	Job        JobID
	Occurrence int // from 0; 0 for a job that does not recur
	Step       int // from 0
}

// String returns the id as JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// Task returns the id of the task at an index of the step.
func (s StepID) Task(index int) TaskID { return TaskID{StepID: s, Index: index} }

// TaskID names a task of a step.
type TaskID struct {
	StepID
	Index int // from 0
}

// String returns the id as JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID parses the form that TaskID.String returns. It rejects every other
// spelling, so that two texts never name the same task.
func ParseTaskID(text string) (TaskID, error) {
	fields := strings.Split(text, ".")
	if len(fields) != 4 || !JobID(fields[0]).Valid() {
		return TaskID{}, fmt.Errorf("task id %q: want JOB.OCCURRENCE.STEP.INDEX", text)
	}
	var n [3]int
	for i, f := range fields[1:] {
		v, err := strconv.Atoi(f)
		if err != nil || v < 0 || strconv.Itoa(v) != f {
			return TaskID{}, fmt.Errorf("task id %q: invalid number %q", text, f)
		}
		n[i] = v
	}
	return StepID{JobID(fields[0]), n[0], n[1]}.Task(n[2]), nil
}
