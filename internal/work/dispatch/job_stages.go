package dispatch

import (
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// The stages of a job follow the chain of steps that were done last. When a step is done, the
// timeline of the run that was done last in it becomes that of the job, and the steps that waited
// for it go on from there. A timeline is kept for each step whose turn has come and that is not
// done, and for each task of it, or its gang, of which a run was interrupted.

// jobTiming is what is known of where a job spends its time, and of its interruptions. Jobs that
// recur and those that run until they are cancelled have no time to end by, and no timeline.
type jobTiming struct {
	timeline     *stages.Timeline // up to the end of the step that was done last; nil: not measured
	starts       int              // runs that were ordered in this term
	interruption interruption
	lastRun      LastRun
}

// interruption is the last end of a run, otherwise than as done, of a task that was not done.
type interruption struct {
	cause  stages.Cause
	target string
	step   *step
	number int // of the run
}

// LastRun describes the run that was done last in a job. Ratios are 0 if they are not known.
type LastRun struct {
	Target     string
	OfEstimate float64 // how long it took, divided by its estimate; not of a run that resumed
	// OfMedian is the median speed of the members of its gang, divided by that of the slowest.
	OfMedian float64
	Slowest  string // target of that member
}

// beginTimeline begins the timeline of a job that the machine has just learned of. Of a job that
// an earlier leader knew, all time before is that of the takeover.
func (m *Machine) beginTimeline(j *job, restored bool, now time.Time) {
	if j.spec.Repeat > 0 || j.spec.LongRunning() {
		return
	}
	stage := stages.Learn
	if restored {
		stage = stages.Takeover
	}
	before := time.Duration(0)
	if j.spec.AcceptedAt > 0 {
		before = time.Duration(m.wallMS(now)-j.spec.AcceptedAt) * time.Millisecond
	}
	j.timing.timeline = stages.Begin(now.Add(-max(before, 0))) // the accepting host's clock may be ahead
	j.timing.timeline.Until(stage, now)
}

// beginStep begins the timeline of a step whose turn has come.
func (s *step) beginStep() {
	if t := s.job.timing.timeline; t != nil {
		s.timeline = t.Clone()
	}
}

// recordStart records that a run is ordered for the first time.
func (r *run) recordStart(now time.Time) {
	if r.startsSent == 0 {
		r.firstSentAt = now
		r.task.step.job.timing.starts++
	}
}

// timelineKey returns the key of a task in step.interrupted: a gang is interrupted as a whole.
func (x *task) timelineKey() int {
	if x.step.spec.Gang {
		return 0
	}
	return x.index
}

// recordDone records that a run has ended as done. If its step is done by that, it ends the
// timeline of the step. r is nil for a run that was not known. The caller has not marked the task
// as done yet.
func (x *task) recordDone(r *run, now time.Time) {
	s := x.step
	if s.timeline == nil || !s.spec.Gang && s.tasksLeft > 1 {
		return
	}
	line, again := s.timeline, false
	if first := s.interrupted[x.timelineKey()]; first != nil {
		line, again = first, true
	}
	r.addStages(line, again, now)
	s.job.timing.timeline, s.timeline, s.interrupted = line, nil, nil
	s.job.timing.lastRun = r.describe(now)
}

// addStages adds the stages of a run that has ended as done. again is whether an earlier run of
// its task was interrupted. Of a run that this leader has not ordered, it is not known what came
// before the first report of it. A run of which the begin was not reported counts as running from
// its start on.
func (r *run) addStages(line *stages.Timeline, again bool, now time.Time) {
	waited := stages.Capacity
	if again {
		waited = stages.Rerun
	}
	switch {
	case r == nil && again:
		line.Until(stages.Rerun, now)
	case r == nil:
		line.Until(stages.Takeover, now)
	case r.startsSent == 0 && again:
		line.Until(stages.Rerun, r.beganAt)
	case r.startsSent == 0:
		line.Until(stages.Takeover, r.beganAt)
	default:
		line.Until(waited, r.placedAt)
		for _, o := range r.members() {
			line.Until(stages.Preempt, o.recordedAt)
		}
		for _, o := range r.members() {
			line.Until(stages.Save, o.firstSentAt)
		}
		for _, o := range r.members() {
			line.Until(stages.Start, o.beganAt)
		}
	}
	line.Until(stages.Run, now)
}

// members returns the run and the other members of its gang that may exist.
func (r *run) members() []*run {
	list := []*run{r}
	if !r.task.step.spec.Gang {
		return list
	}
	for _, x := range r.task.step.tasks {
		for _, o := range x.runs {
			if o != r && o.Number == r.Number {
				list = append(list, o)
			}
		}
	}
	return list
}

// describe describes a run that has just ended as done.
func (r *run) describe(now time.Time) LastRun {
	if r == nil {
		return LastRun{}
	}
	l := LastRun{Target: r.target.ID}
	if estimate := r.task.step.spec.Estimate; estimate > 0 && r.startsSent > 0 && r.resumedFrom == "" && !r.beganAt.IsZero() {
		l.OfEstimate = float64(now.Sub(r.beganAt)) / float64(estimate)
	}
	var speeds []float64
	for _, o := range r.members() {
		if speed := o.speed(1); speed > 0 {
			if len(speeds) == 0 || speed < slices.Min(speeds) {
				l.Slowest = o.target.ID
			}
			speeds = append(speeds, speed)
		}
	}
	if len(speeds) < 2 {
		l.Slowest = ""
		return l
	}
	slices.Sort(speeds)
	l.OfMedian = speeds[len(speeds)/2] / speeds[0]
	return l
}

// runInterrupted records that a run that was ordered ends otherwise than as done. The first cause
// counts.
func (m *Machine) runInterrupted(r *run, c stages.Cause, now time.Time) {
	if r.endCause != stages.None || !r.mayBeOnTarget() {
		return
	}
	r.endCause = c
	if s := r.task.step; !r.task.done && !s.job.finished() {
		r.task.startsAgain(r, c, now)
	}
}

// startsAgain records that the task of a run, or its gang, has to be started again.
func (x *task) startsAgain(r *run, c stages.Cause, now time.Time) {
	s := x.step
	i := &s.job.timing.interruption
	if c != stages.Gang || i.step != s || i.number != r.Number { // else it follows from that of another member
		*i = interruption{cause: c, target: r.target.ID, step: s, number: r.Number}
	}
	if s.timeline == nil || s.interrupted[x.timelineKey()] != nil {
		return
	}
	line := s.timeline.Clone()
	if r.startsSent > 0 {
		line.Until(stages.Capacity, r.placedAt)
		line.Until(stages.Preempt, r.recordedAt)
		line.Until(stages.Save, r.firstSentAt)
	} else if r.beganAt.IsZero() {
		line.Until(stages.Takeover, now)
	} else {
		line.Until(stages.Takeover, r.beganAt)
	}
	s.interrupted = put(s.interrupted, x.timelineKey(), line)
}

// causeOf returns the cause for which a run ended, by the reason that its target has listed.
func causeOf(listed order.EndReason) stages.Cause {
	switch listed {
	case order.Failed:
		return stages.Failed
	case order.Lapsed:
		return stages.Lapsed
	case order.GangBroken, order.GangIncomplete:
		return stages.Gang
	}
	return stages.Other
}

// Stages returns the stages of a job that has completed, and whether they are known.
func (m *Machine) Stages(id graph.JobID) (*stages.Timeline, bool) {
	j := m.jobs[id]
	if j == nil || j.published != progress.Completed || j.timing.timeline == nil {
		return nil, false
	}
	return j.timing.timeline, true
}

// report completes the report of a job whose final state has just become visible.
func (t *jobTiming) report(e JobEnded, now time.Time) JobEnded {
	e.Starts, e.Interruption, e.InterruptedOn, e.LastRun = t.starts, t.interruption.cause, t.interruption.target, t.lastRun
	if e.State == progress.Completed && t.timeline != nil {
		t.timeline.Until(stages.Publish, now)
		e.Stages = t.timeline
	}
	return e
}

// Late reports whether the job has completed, but not within its objective.
func (e JobEnded) Late() bool {
	objective := e.Job.Objective()
	return e.Stages != nil && objective > 0 && e.Stages.Whole() > objective
}

// LateStage returns the stage to which a late job is attributed.
func (e JobEnded) LateStage() stages.Stage {
	return e.Stages.Longest(e.Job.Objective() - e.Job.CriticalPath())
}
