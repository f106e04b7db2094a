package graph

import (
	"errors"
	"fmt"
	"time"
)

// Bounds of what is accepted. They keep one job's rows within the platform's
// row size and one request within a host's memory.
const (
	MaxSpecBytes   = 4000  // bytes of a job's spec, as the interface says
	MaxSteps       = 64    // steps of a job
	MaxTasks       = 4096  // tasks of one occurrence; its progress row stays under 64 KB
	MaxOccurrences = 10000 // times that a job may recur
)

// ErrInvalid is wrapped by the refusal of a job that can never be run as it is
// written.
var ErrInvalid = errors.New("invalid job")

// Resources is what a task takes of a target, or what a target has.
type Resources struct {
	CPU          int `json:"cpu,omitempty"`          // thousandths of a core
	MemoryMB     int `json:"memoryMB,omitempty"`     // megabytes
	Accelerators int `json:"accelerators,omitempty"` // whole accelerators
}

// Plus returns r and o together.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r without o. Its parts may be below 0.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns n of r.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// FitsIn reports whether r fits into room.
func (r Resources) FitsIn(room Resources) bool {
	return r.CPU <= room.CPU && r.MemoryMB <= room.MemoryMB && r.Accelerators <= room.Accelerators
}

// Step is a number of alike tasks.
type Step struct {
	Count          int           `json:"count"`
	Needs          Resources     `json:"needs"`
	Estimate       time.Duration `json:"estimate,omitempty"`       // of one task's run; rough, 0 for none
	After          []int         `json:"after,omitempty"`          // steps whose tasks must all be done first
	Checkpointing  bool          `json:"checkpointing,omitempty"`  // a run that was stopped can be resumed
	Gang           bool          `json:"gang,omitempty"`           // the tasks run together or not at all
	SameRack       bool          `json:"sameRack,omitempty"`       // slower on more than one rack
	Label          string        `json:"label,omitempty"`          // that the target must have
	DataRack       string        `json:"dataRack,omitempty"`       // slower on any other rack
	PerTarget      int           `json:"perTarget,omitempty"`      // most tasks on one target; 0: no limit
	Speculative    bool          `json:"copies,omitempty"`         // a task may run twice at once
	LongRunning    bool          `json:"lasting,omitempty"`        // runs until the job is cancelled
	Image          string        `json:"image,omitempty"`          // tasks of one image behave alike
	TailLimit      time.Duration `json:"tailLimit,omitempty"`      // of a lasting task's response times; 0: none
	BestEffortCPU  bool          `json:"filling,omitempty"`        // uses the processor time that others leave
	MaxUnavailable int           `json:"maxUnavailable,omitempty"` // tasks that may be away at once by our doing
}

// Charge returns what a task takes of a target's room: the processor time of a
// filling task is not counted.
func (s Step) Charge() Resources {
	if s.BestEffortCPU {
		return Resources{MemoryMB: s.Needs.MemoryMB, Accelerators: s.Needs.Accelerators}
	}
	return s.Needs
}

// Job is a job as it was accepted, with what its queue said then.
type Job struct {
	ID          JobID         `json:"id"`
	Queue       string        `json:"queue"`
	Service     string        `json:"service"`
	Account     string        `json:"account,omitempty"` // empty on a public queue
	Priority    int           `json:"priority,omitempty"`
	MaxAttempts int           `json:"maxAttempts"`           // failures of a task until the job has failed
	SlackFactor float64       `json:"slack,omitempty"`       // objective: so many times its longest chain of work
	Allowance   time.Duration `json:"allowance,omitempty"`   // and so much besides
	Spec        string        `json:"spec,omitempty"`        // handed to each task as it is
	Steps       []Step        `json:"steps"`                 //
	FirstAt     int64         `json:"firstAt,omitempty"`     // time of occurrence 0, in milliseconds since 1970
	Every       time.Duration `json:"every,omitempty"`       // between occurrences
	Repeat      int           `json:"repeat,omitempty"`      // occurrences; 0 for a job that does not recur
	AcceptedAt  int64         `json:"acceptedAt,omitempty"`  // milliseconds since 1970 on the accepting host's clock
	AtMostOnce  bool          `json:"once,omitempty"`        // a task whose run may have begun is never started again
	StartBy     int64         `json:"startBy,omitempty"`     // given up if nothing has started by then, in milliseconds since 1970; 0: never
	Advised     bool          `json:"advised,omitempty"`     // the queue's policy names the targets that may run a step
	AdviceValid time.Duration `json:"adviceValid,omitempty"` // how long a ticket holds
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// Tasks returns how many tasks the steps have together.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// LongRunning reports whether a step of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Due returns when an occurrence is due, in milliseconds since 1970, or 0 for
// at once.
func (j *Job) Due(occurrence int) int64 {
	if j.Repeat == 0 {
		return 0
	}
	return j.FirstAt + int64(occurrence)*j.Every.Milliseconds()
}

// Validate returns an error that wraps ErrInvalid if the job cannot be accepted:
// its id is malformed, it is larger than the bounds, or a step depends on one
// that does not come before it. Negative amounts are refused, too.
func (j *Job) Validate() error {
	switch {
	case !j.ID.Valid():
		return fmt.Errorf("%w: id %q is not 16 hexadecimal digits", ErrInvalid, j.ID)
	case len(j.Spec) > MaxSpecBytes:
		return fmt.Errorf("%w: spec of %d bytes, at most %d", ErrInvalid, len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("%w: %d steps, 1 to %d", ErrInvalid, len(j.Steps), MaxSteps)
	case j.Repeat < 0 || j.Repeat > MaxOccurrences:
		return fmt.Errorf("%w: %d occurrences, 0 to %d", ErrInvalid, j.Repeat, MaxOccurrences)
	case j.Every < 0:
		return fmt.Errorf("%w: negative interval", ErrInvalid)
	}
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return fmt.Errorf("%w: step %d: %w", ErrInvalid, i, err)
		}
	}
	if n := j.Tasks(); n > MaxTasks {
		return fmt.Errorf("%w: %d tasks, at most %d", ErrInvalid, n, MaxTasks)
	}
	return nil
}

func (s *Step) check(own int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("%d tasks", s.Count)
	}
	n := s.Needs
	if n.CPU < 0 || n.MemoryMB < 0 || n.Accelerators < 0 || s.Estimate < 0 || s.PerTarget < 0 || s.MaxUnavailable < 0 {
		return errors.New("a negative amount")
	}
	for _, a := range s.After {
		if a < 0 || a >= own {
			return fmt.Errorf("after step %d, which does not come before it", a)
		}
	}
	return nil
}

// CriticalPath returns the longest chain of estimated work through the steps.
func (j *Job) CriticalPath() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := range j.Steps {
		begin := time.Duration(0)
		for _, a := range j.Steps[i].After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Objective returns the time within which the job earns its full worth, from
// its first send or, where it recurs, from an occurrence's time.
func (j *Job) Objective() time.Duration {
	return time.Duration(j.SlackFactor*float64(j.CriticalPath())) + j.Allowance
}
