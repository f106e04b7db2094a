package dispatch

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// Accept adds a job whose acceptance is stored. The caller may report a job more than
// once; a known job is left unchanged.
func (m *Machine) Accept(spec *graph.Job, now time.Time) {
	if m.jobs[spec.ID] != nil {
		return
	}
	j := newJob(spec, PartitionOf(spec.ID, m.bounds.Partitions), now)
	m.jobs[spec.ID] = j
	m.beginTimeline(j, false, now)
	m.updateSmallestTask(spec)
	m.jobArrived(j, now)
	m.addRecurring(j)
	m.log.Decided("job", "job", spec.ID, "queue", spec.Queue, "account", spec.Account, "priority", spec.Priority, "steps", len(spec.Steps), "tasks", spec.Tasks(), "objectiveMS", j.objective.Milliseconds(), "accepted", spec.AcceptedAt)
	m.openFirst(j, now)
	m.placementDue = true
}

// addRecurring adds a job to the recurring ones if it is one.
func (m *Machine) addRecurring(j *job) {
	if j.spec.Repeat > 0 {
		m.recurring = append(m.recurring, j)
	}
}

// Restore adds a job that was accepted before this term, with its saved progress (nil:
// none) and the version of that row. The caller restores all jobs before
// EnablePlacement.
func (m *Machine) Restore(spec *graph.Job, p *progress.Job, version int64, cancelled bool, now time.Time) {
	if m.jobs[spec.ID] != nil {
		return
	}
	j := newJob(spec, PartitionOf(spec.ID, m.bounds.Partitions), now)
	j.version, j.cancelled = version, cancelled
	m.updateSmallestTask(spec)
	m.jobs[spec.ID] = j
	m.jobArrived(j, now)
	if p != nil {
		j.state, j.published, j.endedAt = p.State, p.State, p.Ended
		j.started, j.mayHaveStarted = p.HasStarted(), p.MayHaveStarted
		j.cause, j.reason = p.Cause, p.Reason
		m.restoreClosed(j, p.ClosedOccurrences)
	}
	if j.cancelled && !j.state.Final() {
		j.state, j.published, j.endedAt = progress.Cancelled, progress.Cancelled, m.wallMS(now)
	}
	if j.state.Final() {
		m.restoreRuns(j, p, now)
		return
	}
	m.addRecurring(j)
	m.beginTimeline(j, true, now)
	if p != nil {
		m.restoreProgress(j, p, now)
	}
	m.openFirst(j, now)
}

// restoreRuns restores the runs that are recorded of a job that has ended. Some may still begin.
func (m *Machine) restoreRuns(j *job, p *progress.Job, now time.Time) {
	if p == nil {
		return
	}
	for _, id := range m.savedSteps(j, p) {
		k := p.Steps[stepKey(id)]
		if len(k.Placements) == 0 {
			continue
		}
		steps := j.openSteps(id.Occurrence)
		if steps == nil {
			steps = j.createOccurrence(id.Occurrence)
		}
		s := steps[id.Step]
		for _, placed := range k.Placements {
			if placed.Task >= 0 && placed.Task < len(s.tasks) {
				m.restoreRun(s.tasks[placed.Task], placed, now)
			}
		}
	}
}

// restoreProgress applies saved progress. It opens occurrences with saved progress even
// if they are not due yet, since something of them has ended.
func (m *Machine) restoreProgress(j *job, p *progress.Job, now time.Time) {
	for _, id := range m.savedSteps(j, p) {
		for j.skipClosed(); j.opened <= id.Occurrence; j.skipClosed() {
			m.openNextOccurrence(j, now)
		}
		if steps := j.openSteps(id.Occurrence); steps != nil {
			m.restoreStep(steps[id.Step], p.Steps[stepKey(id)], now)
		}
	}
}

// savedSteps returns the job's steps that have saved progress, in order.
func (m *Machine) savedSteps(j *job, p *progress.Job) []graph.StepID {
	var ids []graph.StepID
	for k, saved := range p.Steps {
		occurrence, index, ok := parseStepKey(k)
		if !ok || saved == nil || index >= len(j.spec.Steps) || occurrence >= j.spec.Occurrences() {
			m.log.Decided("saved step ignored", "job", j.spec.ID, "step", k)
			continue
		}
		ids = append(ids, graph.StepID{Job: j.spec.ID, Occurrence: occurrence, Step: index})
	}
	slices.SortFunc(ids, func(a, b graph.StepID) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
	return ids
}

// parseStepKey parses a key that stepKey has made.
func parseStepKey(k string) (occurrence, step int, ok bool) {
	a, b, found := strings.Cut(k, ".")
	occurrence, err1 := strconv.Atoi(a)
	step, err2 := strconv.Atoi(b)
	canonical := k == stepKey(graph.StepID{Occurrence: occurrence, Step: step})
	return occurrence, step, found && err1 == nil && err2 == nil && occurrence >= 0 && step >= 0 && canonical
}

// restoreStep applies the saved progress of a step.
func (m *Machine) restoreStep(s *step, k *progress.Step, now time.Time) {
	if s.spec.Gang {
		s.gangAttempts.failed, s.savedCheckpoint = k.FailedRuns[0], k.Checkpoints[0]
	}
	placed := map[int][]progress.Placement{}
	for _, p := range k.Placements {
		placed[p.Task] = append(placed[p.Task], p)
	}
	for _, x := range s.tasks {
		if !s.spec.Gang {
			x.ownAttempts.failed, x.savedCheckpoint = k.FailedRuns[x.index], k.Checkpoints[x.index]
		}
		for _, l := range k.Losses[x.index] {
			x.losses.Add(l, now.Add(m.bounds.Lease+m.bounds.Lease/16)) // the earlier leader's last lease is over by then
			m.lossesChanged(x)
		}
		x.highestRun = k.LastRuns[x.index]
		for _, p := range placed[x.index] {
			x.highestRun = max(x.highestRun, p.Run)
		}
		s.highestGangRun = max(s.highestGangRun, x.highestRun)
		for _, p := range placed[x.index] {
			m.restoreRun(x, p, now)
		}
	}
	for _, x := range s.tasks {
		if k.Done != nil && k.Done.Bit(x.index) == 1 {
			m.taskDone(x, 0, now)
		}
	}
}

// restoreRun adds a run that an earlier leader recorded. It may exist until its target
// reports without it or its leases have lapsed. Of a task that is done, it is one that may
// still begin. That its start may have been sent does not show that it has begun.
func (m *Machine) restoreRun(x *task, p progress.Placement, now time.Time) {
	id, incarnation := parseIncarnation(p.Target)
	t := m.targets[id]
	if t == nil { // UpdateTargets fills in the rest if the target is still listed
		t = m.addTarget(roster.Target{ID: id})
	}
	r := &run{
		Run: order.Run{Task: x.id(), Number: p.Run}, task: x, target: t, charge: x.step.spec.Charge(),
		phase: unconfirmed, placedAt: now, orderAnsweredAt: now, paceShare: initialShare(x.step),
		sentTo: incarnation,
	}
	x.addRun(r)
	t.addRun(r)
	t.used = t.used.Plus(r.charge)
}

// stepUnblocked enqueues a step that depends on no step that is not done.
func (m *Machine) stepUnblocked(s *step, now time.Time) {
	s.beginStep()
	m.enqueueStep(s, now)
}

// enqueueStep adds a step that may have tasks to start to the pending steps.
func (m *Machine) enqueueStep(s *step, now time.Time) {
	if s.blockedBy > 0 || s.done || s.job.finished() {
		return
	}
	s.waitingSince = now
	if s.queued {
		return
	}
	s.queued = true
	m.pendingSteps = append(m.pendingSteps, s)
	m.newSteps = append(m.newSteps, s)
	m.placementDue = true
}

// Cancel cancels a job whose cancellation is stored.
func (m *Machine) Cancel(id graph.JobID, now time.Time) {
	if j := m.jobs[id]; j != nil {
		m.cancel(j, now)
	}
}

// cancel ends a job as cancelled, unless a final state of it is published already.
func (m *Machine) cancel(j *job, now time.Time) {
	if j.published.Final() || j.cancelled {
		return
	}
	m.log.Decided("job cancelled", "job", j.spec.ID, "queue", j.spec.Queue, "runs", len(j.liveRuns))
	j.cancelled = true
	j.published = progress.Cancelled
	m.endJob(j, progress.Cancelled, now)
}

// closedTask returns a placeholder for a task of the job that is not open, nil if there is no such task
// or it may still be opened.
func (j *job) closedTask(id graph.TaskID) *task {
	if !j.finished() && !j.isClosed(id.Occurrence) || id.Occurrence >= j.spec.Occurrences() || id.Step >= len(j.spec.Steps) || id.Index >= j.spec.Steps[id.Step].Count {
		return nil
	}
	spec := j.spec.Steps[id.Step]
	spec.Gang = false // its other members are not known
	return &task{step: &step{job: j, id: id.StepID, spec: &spec, done: true}, index: id.Index, done: true}
}

// unknownStep returns a placeholder for the step of a run whose job or task is not known.
func unknownStep(r order.Run) *step {
	spec := &graph.Job{ID: r.Task.Job, Steps: []graph.Step{{}}}
	j := newJob(spec, 0, time.Time{})
	j.cancelled = true
	return &step{job: j, id: r.Task.StepID, spec: &spec.Steps[0], done: true}
}
