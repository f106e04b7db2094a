package pool

import (
	"fmt"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// cancelTime is how long after its cancelling was acknowledged a job's tasks may
// still be started.
const cancelTime = 3 * time.Second

func (p *Pool) breach(rule string, t *target, r order.Run, why string) {
	p.breaches = append(p.breaches, Breach{At: p.now, Rule: rule, Target: t.ID, Run: r, Why: why})
}

// judge holds a start against what the system promises.
func (p *Pool) judge(x *exec, checkpoint string) {
	p.judgeOnce(x)
	p.judgeRoom(x)
	p.judgeOrder(x)
	p.judgeCheckpoint(x, checkpoint)
	w := x.def
	if limit := w.job.MaxAttempts; !x.step.LongRunning && w.failures[x.Task] >= limit {
		p.breach("BUDGET", x.target, x.Run, fmt.Sprintf("%d failures were acknowledged", w.failures[x.Task]))
	}
	if !w.cancelled.IsZero() && p.now.Sub(w.cancelled) > cancelTime {
		p.breach("UNASKED", x.target, x.Run, "its job was cancelled")
	}
}

// judgeOnce wants one run of a task at a time, and none after one was done.
func (p *Pool) judgeOnce(x *exec) {
	if x.step.Speculative {
		return
	}
	if x.def.noted[x.Task] {
		p.breach("TWICE", x.target, x.Run, "a run was done, and that end acknowledged")
	}
	for _, t := range p.targets {
		for r := range t.runs {
			if !t.dead && r.Task == x.Task {
				p.breach("TWICE", x.target, x.Run, fmt.Sprintf("run %d is on %s", r.Number, t.ID))
			}
		}
	}
}

// judgeRoom wants the target to have room, and to suit the task.
func (p *Pool) judgeRoom(x *exec) {
	t := x.target
	if !t.used().Plus(x.step.Charge()).FitsIn(t.Capacity) {
		p.breach("LIMIT", t, x.Run, fmt.Sprintf("%+v are taken of %+v", t.used(), t.Capacity))
	}
	if t.Service != x.def.job.Service || !t.HasLabel(x.step.Label) {
		p.breach("ROUTE", t, x.Run, "of another service, or without the label")
	}
	same := 0
	for r := range t.runs {
		if r.Task.StepID == x.Task.StepID {
			same++
		}
	}
	if x.step.PerTarget > 0 && same >= x.step.PerTarget {
		p.breach("ROUTE", t, x.Run, "too many tasks of the step are there")
	}
}

// judgeOrder wants the steps before it done.
func (p *Pool) judgeOrder(x *exec) {
	for _, a := range x.step.After {
		before := graph.StepID{Job: x.Task.Job, Occurrence: x.Task.Occurrence, Step: a}
		for i := range x.def.job.Steps[a].Count {
			if !x.def.done[before.Task(i)] {
				p.breach("ORDER", x.target, x.Run, fmt.Sprintf("%s is not done", before.Task(i)))
				return
			}
		}
	}
}

// judgeCheckpoint wants the task's own checkpoint.
func (p *Pool) judgeCheckpoint(x *exec, checkpoint string) {
	if checkpoint == "" {
		return
	}
	name, _, _ := strings.Cut(checkpoint, "@")
	own := x.Task.String()
	if x.step.Gang {
		own = x.Task.StepID.String()
	}
	if name != own {
		p.breach("UNASKED", x.target, x.Run, "checkpoint "+checkpoint)
	}
}
