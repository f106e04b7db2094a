package crashloop

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Window is how long after its start a run counts as the possible cause of a crash before
// those that began earlier. A task that crashes targets does so when it is loaded.
const Window = time.Second

// Kind says how strongly a loss points at the task.
type Kind int

// The kinds, weakest first.
const (
	Running  Kind = iota // the run had been there for longer than Window, like all others
	Together             // the run had just begun, but much of the rack or zone was lost with the target
	Shared               // the run had just begun, and so had runs of other jobs, or it is not known
	Sole                 // the run had just begun, and nothing of other jobs had
)

// Limits on the losses under a task. A task that crashes every target is blamed after the
// third crash, unless others always began beside it, and after the fifth in any case.
const (
	minLosses     = 3 // of all kinds, to blame a task at all
	minSoleLosses = 2 // of kind Sole among minLosses
	maxNewLosses  = 4 // of kinds Shared and Sole
	maxLosses     = 5 // of all kinds; a task is never started a sixth time
)

// Loss is the loss of a target with a run of the task on it.
type Loss struct {
	Target string `json:"target"` // its incarnation
	Kind   Kind   `json:"kind,omitempty"`
	Open   bool   `json:"open,omitempty"` // the target may still answer
}

// Verdict is what a record says about its task.
type Verdict int

// The verdicts.
const (
	Clear   Verdict = iota // the task may be started
	Pending                // the task would be guilty if all open losses were losses
	Guilty                 // the task crashes its targets
)

// Record holds the losses under one task, oldest first. The zero Record holds none.
type Record struct {
	losses []entry
}

// entry is a loss with the time from which it counts.
type entry struct {
	Loss
	countsFrom time.Time // not before, if it is open
}

// Add adds a loss, which replaces an earlier one of the same target. An open loss counts
// from the given time on, unless it is settled before or withdrawn.
func (r *Record) Add(l Loss, countsFrom time.Time) {
	r.Withdraw(l.Target)
	r.losses = append(r.losses, entry{l, countsFrom})
}

// Settle makes an open loss count from now on, since its target is known to have ended. It
// reports whether there was one.
func (r *Record) Settle(target string) bool {
	for i := range r.losses {
		if l := &r.losses[i]; l.Target == target && l.Open {
			l.Open = false
			return true
		}
	}
	return false
}

// Withdraw removes the loss of a target that has answered again, and reports whether there
// was one.
func (r *Record) Withdraw(target string) bool {
	before := len(r.losses)
	r.losses = slices.DeleteFunc(r.losses, func(l entry) bool { return l.Target == target })
	return len(r.losses) < before
}

// ProvingTime is how long a run must have lasted to show that its start crashes no target.
const ProvingTime = 2 * Window

// ForgetTime is how long a run must have lasted to show that it crashes no target at all.
const ForgetTime = 30 * time.Second

// Lasted records that a run has lasted for some time, which removes the losses that this
// explains otherwise. It reports whether there were any.
func (r *Record) Lasted(span time.Duration) bool {
	before := len(r.losses)
	r.losses = slices.DeleteFunc(r.losses, func(l entry) bool {
		return span >= ForgetTime || span >= ProvingTime && l.Kind != Running
	})
	return len(r.losses) < before
}

// Empty reports whether there are no losses.
func (r *Record) Empty() bool { return len(r.losses) == 0 }

// Suspicious returns the number of losses that the start of a run may have caused.
func (r *Record) Suspicious() int {
	n := 0
	for _, l := range r.losses {
		if l.Kind == Shared || l.Kind == Sole {
			n++
		}
	}
	return n
}

// AtStart returns the number of losses that came just after the start of a run, whatever
// their cause.
func (r *Record) AtStart() int {
	n := 0
	for _, l := range r.losses {
		if l.Kind != Running {
			n++
		}
	}
	return n
}

// Losses returns all losses, oldest first.
func (r *Record) Losses() []Loss {
	list := make([]Loss, 0, len(r.losses))
	for _, l := range r.losses {
		list = append(list, l.Loss)
	}
	return list
}

// Verdict returns what the losses say about the task.
func (r *Record) Verdict(now time.Time) Verdict {
	var certain, all counts
	for _, l := range r.losses {
		all.add(l.Kind)
		if !l.Open || !now.Before(l.countsFrom) {
			certain.add(l.Kind)
		}
	}
	switch {
	case certain.guilty():
		return Guilty
	case all.guilty():
		return Pending
	}
	return Clear
}

// Targets names the lost targets, oldest first.
func (r *Record) Targets() string {
	names := make([]string, 0, len(r.losses))
	for _, l := range r.losses {
		names = append(names, l.Target)
	}
	return strings.Join(names, ", ")
}

// String describes the losses for a log line.
func (r *Record) String() string {
	var b strings.Builder
	for i, l := range r.losses {
		if i > 0 {
			b.WriteByte(' ')
		}
		_, _ = fmt.Fprintf(&b, "%s:%v", l.Target, l.Kind)
	}
	return b.String()
}

// String names the kind.
func (k Kind) String() string {
	switch k {
	case Together:
		return "together"
	case Shared:
		return "shared"
	case Sole:
		return "sole"
	}
	return "running"
}

// counts are numbers of losses by kind.
type counts struct {
	all, shared, sole int
}

func (c *counts) add(k Kind) {
	c.all++
	switch k {
	case Shared:
		c.shared++
	case Sole:
		c.sole++
	}
}

func (c counts) guilty() bool {
	return c.all >= maxLosses || c.shared+c.sole >= maxNewLosses || c.all >= minLosses && c.sole >= minSoleLosses
}
