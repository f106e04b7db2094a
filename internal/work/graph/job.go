package graph

import (
	"errors"
	"fmt"
	"time"
)

// Limits of an accepted job. They keep one job's rows within the platform's row
// size and one request within a host's memory.
const (
	MaxSpecBytes   = 4000  // size of a job's spec, as the interface defines it
	MaxSteps       = 64    // steps of a job
	MaxTasks       = 4096  // tasks of one occurrence; its progress row stays under 64 KB
	MaxOccurrences = 10000 // occurrences of a job
)

// ErrInvalid is wrapped by errors about a job that can never run as it is
// specified.
var ErrInvalid = errors.New("invalid job")

// Resources is what a task requires of a target, or what a target has.
type Resources struct {
	CPU          int `json:"cpu,omitempty"`          // thousandths of a core
	MemoryMB     int `json:"memoryMB,omitempty"`     // megabytes
	Accelerators int `json:"accelerators,omitempty"` // whole accelerators
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r less o. Its fields may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	return Resources{r.CPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// FitsIn reports whether r is at most free in every resource.
func (r Resources) FitsIn(free Resources) bool {
	return r.CPU <= free.CPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// Step is a number of identical tasks.
type Step struct {
	Count          int           `json:"count"`
	Needs          Resources     `json:"needs"`
	Estimate       time.Duration `json:"estimate,omitempty"`       // rough duration of one task's run; 0: none
	After          []int         `json:"after,omitempty"`          // indexes of steps whose tasks must all be done first
	Checkpointing  bool          `json:"checkpointing,omitempty"`  // a stopped run can be resumed from a checkpoint
	Gang           bool          `json:"gang,omitempty"`           // all tasks run together or none does
	SameRack       bool          `json:"sameRack,omitempty"`       // the tasks are slower across racks
	Label          string        `json:"label,omitempty"`          // that a target must have
	DataRack       string        `json:"dataRack,omitempty"`       // rack of the data; the tasks are slower on any other
	PerTarget      int           `json:"perTarget,omitempty"`      // most tasks on one target; 0: no limit
	Speculative    bool          `json:"copies,omitempty"`         // a task may have two runs at once
	LongRunning    bool          `json:"lasting,omitempty"`        // runs until the job is cancelled
	Image          string        `json:"image,omitempty"`          // tasks of one image are assumed to behave alike
	TailLimit      time.Duration `json:"tailLimit,omitempty"`      // on a long-running task's tail latency; 0: none
	BestEffortCPU  bool          `json:"filling,omitempty"`        // uses only CPU time that other tasks leave idle
	MaxUnavailable int           `json:"maxUnavailable,omitempty"` // tasks that the scheduler itself may take down at once
}

// Charge returns what a task counts against a target's capacity. The CPU of a
// best-effort task is not counted.
func (s Step) Charge() Resources {
	if s.BestEffortCPU {
		return Resources{MemoryMB: s.Needs.MemoryMB, Accelerators: s.Needs.Accelerators}
	}
	return s.Needs
}

// Job is an accepted job, with the properties that its queue had then.
type Job struct {
	ID          JobID         `json:"id"`
	Queue       string        `json:"queue"`
	Service     string        `json:"service"`
	Account     string        `json:"account,omitempty"` // empty on a public queue
	Priority    int           `json:"priority,omitempty"`
	MaxAttempts int           `json:"maxAttempts"`           // failures of one task after which the job fails
	SlackFactor float64       `json:"slack,omitempty"`       // of the objective: multiple of the critical path
	Allowance   time.Duration `json:"allowance,omitempty"`   // of the objective: added to that multiple
	Spec        string        `json:"spec,omitempty"`        // passed to each task unchanged
	Steps       []Step        `json:"steps"`                 // each depends on earlier ones only
	FirstAt     int64         `json:"firstAt,omitempty"`     // time of occurrence 0, in milliseconds since 1970
	Every       time.Duration `json:"every,omitempty"`       // interval between occurrences
	Repeat      int           `json:"repeat,omitempty"`      // number of occurrences; 0: the job does not recur
	AcceptedAt  int64         `json:"acceptedAt,omitempty"`  // milliseconds since 1970 on the accepting host's clock
	AtMostOnce  bool          `json:"once,omitempty"`        // a task is never started again once a run may have begun
	StartBy     int64         `json:"startBy,omitempty"`     // given up if nothing has started by then, in milliseconds since 1970; 0: no limit
	Advised     bool          `json:"advised,omitempty"`     // only targets that the advice service permits may run a step
	AdviceValid time.Duration `json:"adviceValid,omitempty"` // validity of a ticket from the advice service
}

// Occurrences returns how many times the steps run, at least 1.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// Tasks returns the number of tasks of all steps.
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

// Due returns when an occurrence is due, in milliseconds since 1970, or 0 if it
// is due at once.
func (j *Job) Due(occurrence int) int64 {
	if j.Repeat == 0 {
		return 0
	}
	return j.FirstAt + int64(occurrence)*j.Every.Milliseconds()
}

// Validate returns an error that wraps ErrInvalid if the job cannot be accepted:
// its id is malformed, it exceeds a limit, an amount is negative, or a step has no
// tasks or depends on one that is not earlier in the list.
func (j *Job) Validate() error {
	switch {
	case !j.ID.Valid():
		return fmt.Errorf("%w: id %q is not 16 hexadecimal digits", ErrInvalid, j.ID)
	case len(j.Spec) > MaxSpecBytes:
		return fmt.Errorf("%w: spec of %d bytes, at most %d", ErrInvalid, len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fmt.Errorf("%w: %d steps, want 1 to %d", ErrInvalid, len(j.Steps), MaxSteps)
	case j.Repeat < 0 || j.Repeat > MaxOccurrences:
		return fmt.Errorf("%w: %d occurrences, want 0 to %d", ErrInvalid, j.Repeat, MaxOccurrences)
	case j.Every < 0:
		return fmt.Errorf("%w: negative interval", ErrInvalid)
	}
	for i := range j.Steps {
		if err := j.Steps[i].validate(i); err != nil {
			return fmt.Errorf("%w: step %d: %w", ErrInvalid, i, err)
		}
	}
	if n := j.Tasks(); n > MaxTasks {
		return fmt.Errorf("%w: %d tasks, at most %d", ErrInvalid, n, MaxTasks)
	}
	return nil
}

// validate returns an error if the step, whose index in its job is own, has no or too many
// tasks, a negative amount, or a dependency that is not an earlier step.
func (s *Step) validate(own int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("%d tasks", s.Count)
	}
	n := s.Needs
	if n.CPU < 0 || n.MemoryMB < 0 || n.Accelerators < 0 || s.Estimate < 0 || s.PerTarget < 0 || s.MaxUnavailable < 0 {
		return errors.New("negative amount")
	}
	for _, a := range s.After {
		if a < 0 || a >= own {
			return fmt.Errorf("after step %d, which is not an earlier step", a)
		}
	}
	return nil
}

// CriticalPath returns the largest sum of estimates along a chain of dependent steps. A
// step without an estimate counts as 0.
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

// Objective returns the time within which the job earns its full value, counted from
// its first submission or, if it recurs, from the time at which an occurrence is due.
func (j *Job) Objective() time.Duration {
	return time.Duration(j.SlackFactor*float64(j.CriticalPath())) + j.Allowance
}
