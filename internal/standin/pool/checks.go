package pool

import (
	"fmt"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// cancelGrace is how long a job's tasks may still be started after the job's
// cancellation was acknowledged.
const cancelGrace = 3 * time.Second

func (p *Pool) recordBreach(rule string, t *target, r order.Run, why string) {
	p.breaches = append(p.breaches, Breach{At: p.now, Rule: rule, Target: t.ID, Run: r, Why: why})
}

// checkStart records a breach for each guarantee of the system that a start violates. It
// does not prevent the start.
func (p *Pool) checkStart(x *execution, checkpoint string) {
	p.checkSingleRun(x)
	p.checkPlacement(x)
	p.checkDependencies(x)
	p.checkCheckpoint(x, checkpoint)
	j := x.jobState
	if limit := j.job.MaxAttempts; !x.step.LongRunning && j.ackedFailures[x.Task] >= limit {
		p.recordBreach("BUDGET", x.target, x.Run, fmt.Sprintf("%d failures acknowledged", j.ackedFailures[x.Task]))
	}
	p.checkCrashes(x)
	if !j.cancelledAt.IsZero() && p.now.Sub(j.cancelledAt) > cancelGrace {
		p.recordBreach("UNASKED", x.target, x.Run, "job was cancelled")
	}
}

// knownDoneGrace is how long a task may still be started after its end as done was
// acknowledged, or after its job was shown as completed.
const knownDoneGrace = time.Second

// taskRuns holds the starts of a task and its ends as done.
type taskRuns struct {
	starts []*taskStart // in their order
	// doneNoted is whether an end as done was acknowledged before the lease of its target lapsed.
	doneNoted bool
	// doneAckedAt is when an end as done was first acknowledged, whether a lease lapsed before
	// that or not; zero: never.
	doneAckedAt time.Time
}

// taskStart is a start of a task.
type taskStart struct {
	order.Run
	target   *target
	at       time.Time
	sequence int64 // among all starts and ends as done of the pool
	breach   bool  // it was recorded as a breach after an end as done
}

// checkSingleRun checks that a task has one run at a time, and no start after it has ended as
// done, if that end was acknowledged: a start before the acknowledgement is checked when it
// comes, by noteDone. Tasks of speculative steps may have several runs, but must not be started
// long after such an acknowledgement, either.
func (p *Pool) checkSingleRun(x *execution) {
	runs := x.jobState.runsOf(x.Task)
	p.sequence++
	s := &taskStart{Run: x.Run, target: x.target, at: p.now, sequence: p.sequence}
	runs.starts = append(runs.starts, s)
	completedAt := x.jobState.completedAt
	switch {
	case runs.doneNoted:
		s.breach = true
		p.recordBreach("TWICE", x.target, x.Run, "an earlier run is done and acknowledged")
	case !runs.doneAckedAt.IsZero() && p.now.Sub(runs.doneAckedAt) > knownDoneGrace:
		s.breach = true
		p.recordBreach("TWICE", x.target, x.Run, "an earlier run is done, which was acknowledged at "+formatTime(runs.doneAckedAt))
	case !completedAt.IsZero() && p.now.Sub(completedAt) > knownDoneGrace:
		s.breach = true
		p.recordBreach("TWICE", x.target, x.Run, "its job was shown as completed at "+formatTime(completedAt))
	}
	if x.step.Speculative {
		return
	}
	for _, t := range p.targets {
		for r := range t.runs {
			if !t.dead && r.Task == x.Task {
				p.recordBreach("TWICE", x.target, x.Run, fmt.Sprintf("run %d is still on %s", r.Number, t.ID))
			}
		}
	}
}

// noteDone records that the end of a run as done was acknowledged, and a breach for each start
// of its task after that end. noted is whether the lease of the target has not lapsed between
// the two; sequence is the end's among all starts and ends as done.
func (p *Pool) noteDone(j *jobState, r order.Run, sequence int64, noted bool) {
	runs := j.runsOf(r.Task)
	if runs.doneAckedAt.IsZero() {
		runs.doneAckedAt = p.now
	}
	if !noted || j.job.Steps[r.Task.Step].Speculative {
		return
	}
	runs.doneNoted = true
	for _, s := range runs.starts {
		if s.sequence > sequence && !s.breach {
			s.breach = true
			p.recordBreach("TWICE", s.target, s.Run, fmt.Sprintf("started at %s, after run %d was done, which is acknowledged now", formatTime(s.at), r.Number))
		}
	}
}

// formatTime returns a time as in Breach.String.
func formatTime(t time.Time) string { return t.Format("05.000") }

// checkPlacement checks that the target has the capacity and is eligible for the task.
func (p *Pool) checkPlacement(x *execution) {
	t := x.target
	if need := t.used().Plus(x.step.Charge()); !t.mayHold(need, p.now) {
		p.recordBreach("LIMIT", t, x.Run, fmt.Sprintf("%+v in use, capacity %+v", t.used(), t.Capacity))
	}
	if t.Service != x.jobState.job.Service || !t.HasLabel(x.step.Label) {
		p.recordBreach("ROUTE", t, x.Run, "wrong service or missing label")
	}
	same := 0
	for r := range t.runs {
		if r.Task.StepID == x.Task.StepID {
			same++
		}
	}
	if x.step.PerTarget > 0 && same >= x.step.PerTarget {
		p.recordBreach("ROUTE", t, x.Run, "per-target limit of the step exceeded")
	}
}

// checkDependencies checks that the steps that the run's step depends on are done.
func (p *Pool) checkDependencies(x *execution) {
	for _, a := range x.step.After {
		before := graph.StepID{Job: x.Task.Job, Occurrence: x.Task.Occurrence, Step: a}
		for i := range x.jobState.job.Steps[a].Count {
			if !x.jobState.done[before.Task(i)] {
				p.recordBreach("ORDER", x.target, x.Run, fmt.Sprintf("%s is not done", before.Task(i)))
				return
			}
		}
	}
}

// checkCheckpoint checks that the checkpoint, if any, is of the same task or gang.
func (p *Pool) checkCheckpoint(x *execution, checkpoint string) {
	if checkpoint == "" {
		return
	}
	name, _, _ := strings.Cut(checkpoint, "@")
	own := x.Task.String()
	if x.step.Gang {
		own = x.Task.StepID.String()
	}
	if name != own {
		p.recordBreach("UNASKED", x.target, x.Run, "checkpoint of another task: "+checkpoint)
	}
}
