package dispatch

import (
	"math/big"
	"slices"
	"strconv"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// maxSaveRows bounds the jobs of one save: with each row's condition, the fencing condition
// and the conditions on cancellation it stays under the store's limit of 100 entries.
const maxSaveRows = 30

// maxSaveBytes bounds the rows of a save that has more than one. In base64 they take 83 % of a megabyte; the
// store refuses a larger call.
const maxSaveBytes = 640 << 10

// partition tracks what is to be saved of the jobs of one partition.
type partition struct {
	dirty       []*job    // to be saved, in the order in which they changed, each once
	started     []*job    // of which the row may not show yet that they have started
	sending     []*job    // in the outstanding save; nil: none
	retryAt     time.Time // no save before
	saveSize    saveSize
	suspectSize saveSize // of saves of suspects
	othersFirst bool     // the last save was of suspects and failed
}

// markDirty marks the job as changed since its last save and returns the revision that
// contains the change.
func (m *Machine) markDirty(j *job) int64 {
	j.rev++
	if !j.dirty {
		j.dirty = true
		m.partitions[j.partition].dirty = append(m.partitions[j.partition].dirty, j)
	}
	return j.rev
}

// sendSaves issues a save for each partition that has dirty jobs and no outstanding save.
func (m *Machine) sendSaves(now time.Time) {
	for i := range m.partitions {
		p := &m.partitions[i]
		if p.sending != nil || now.Before(p.retryAt) {
			continue
		}
		save := Save{Partition: i}
		bytes := 0
		for _, j := range p.withStarted(p.nextSave(now)) {
			row := j.row()
			if bytes += len(row.Value); bytes > maxSaveBytes && p.sending != nil {
				break
			}
			j.dirty, j.sentRev, j.sentState = false, j.rev, j.state
			save.Rows = append(save.Rows, row)
			p.sending = append(p.sending, j)
		}
		if p.sending == nil {
			continue
		}
		p.started = slices.DeleteFunc(p.started, func(j *job) bool { return j.dirty || j.finished() || slices.Contains(p.sending, j) })
		p.dirty = slices.DeleteFunc(p.dirty, func(j *job) bool { return !j.dirty })
		m.commands = append(m.commands, save)
	}
}

// withStarted adds jobs that have started to those of the next save, as far as it has room. A save that was
// split since others have failed holds nothing else.
func (p *partition) withStarted(jobs []*job) []*job {
	if len(jobs) == 0 || p.saveSize != (saveSize{}) || p.suspectSize != (saveSize{}) {
		return jobs
	}
	for _, j := range p.started {
		if len(jobs) >= maxSaveRows {
			break
		}
		if !j.dirty && !j.finished() && !j.rowFailures.suspect() {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// row returns the job's progress row for a save.
func (j *job) row() SaveRow {
	p := progress.Job{State: j.state, Started: j.started, MayHaveStarted: j.mayHaveStarted, Ended: j.endedAt, Cause: j.cause, Reason: j.reason, ClosedOccurrences: j.closed}
	for _, s := range j.steps {
		if j.state.Final() && !s.startOutstanding() {
			continue
		}
		if saved := s.savedProgress(); saved != nil {
			p.Steps = put(p.Steps, stepKey(s.id), saved)
		}
	}
	value, err := p.Encode()
	if err != nil {
		value = nil // cannot happen: the type has no value that JSON cannot hold
	}
	return SaveRow{Job: j.spec.ID, Value: value, Version: j.version, Completes: j.state == progress.Completed || j.state == progress.Failed}
}

// stepKey returns the key of a step in a progress row.
func stepKey(id graph.StepID) string {
	return strconv.Itoa(id.Occurrence) + "." + strconv.Itoa(id.Step)
}

// savedProgress returns the step's progress for a save, or nil if there is none.
func (s *step) savedProgress() *progress.Step {
	k := &progress.Step{}
	empty := len(s.gangAttempts.failed) == 0 && s.savedCheckpoint == ""
	if len(s.gangAttempts.failed) > 0 {
		k.FailedRuns = map[int][]int{0: s.gangAttempts.failed}
	}
	if s.savedCheckpoint != "" {
		k.Checkpoints = map[int]string{0: s.savedCheckpoint}
	}
	for _, t := range s.tasks {
		switch {
		case t.done:
			if k.Done == nil {
				k.Done = new(big.Int)
			}
			k.Done.SetBit(k.Done, t.index, 1)
			k.Placements = append(k.Placements, t.placements((*run).startOutstanding)...)
			empty = false
			continue
		case len(t.ownAttempts.failed) > 0:
			k.FailedRuns = put(k.FailedRuns, t.index, t.ownAttempts.failed)
			empty = false
		}
		placed := t.placements(func(r *run) bool { return r.phase != awaitingCapacity })
		k.Placements = append(k.Placements, placed...)
		highestPlaced := slices.ContainsFunc(placed, func(p progress.Placement) bool { return p.Run == t.highestRun })
		if t.highestRun > 0 && !highestPlaced {
			k.LastRuns = put(k.LastRuns, t.index, t.highestRun)
		}
		empty = empty && t.highestRun == 0
		if !t.losses.Empty() {
			k.Losses = put(k.Losses, t.index, t.losses.Losses())
			empty = false
		}
		if t.savedCheckpoint != "" {
			k.Checkpoints = put(k.Checkpoints, t.index, t.savedCheckpoint)
			empty = false
		}
	}
	if empty {
		return nil
	}
	return k
}

// placements returns the placements of the task's runs that match.
func (t *task) placements(matches func(*run) bool) []progress.Placement {
	var list []progress.Placement
	for _, r := range t.runs {
		if matches(r) {
			list = append(list, progress.Placement{Task: t.index, Target: r.incarnationName(), Run: r.Number})
		}
	}
	return list
}

// put sets a value in a map, which it creates if it is nil, and returns the map.
func put[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	if m == nil {
		m = map[K]V{}
	}
	m[k] = v
	return m
}

// Saved records that the outstanding save of a partition took effect and gave its rows
// the version. It publishes the saved states and sends the starts that waited for the save.
func (m *Machine) Saved(partition int, version int64, now time.Time) {
	p := &m.partitions[partition]
	m.saveSucceeded(p, now)
	for _, j := range p.sending {
		j.version, j.savedRev = version, j.sentRev
		m.publish(j, j.sentState, now)
		m.startRecorded(j, now)
	}
	p.sending = nil
	for _, t := range m.sortedTargets {
		if len(t.unsavedEnds) > 0 {
			t.advanceAcked(now)
			m.considerPoll(t)
		}
	}
}

// publish makes a saved state visible to clients.
func (m *Machine) publish(j *job, s progress.State, now time.Time) {
	if j.published == s || j.published.Final() {
		return
	}
	j.published = s
	if s.Final() {
		kv := []any{"job", j.spec.ID, "queue", j.spec.Queue, "state", s, "accepted", j.spec.AcceptedAt, "ended", j.endedAt}
		if s == progress.Failed {
			kv = append(kv, "cause", j.cause)
			m.commands = append(m.commands, JobFailed{Cause: j.cause})
		}
		m.log.Decided("job ended", kv...)
		m.reportJobEnded(j, s, now)
	}
}

// reportJobEnded issues a JobEnded for a job that ended other than by cancellation. A
// cancelled job says nothing about the quality of service, and a recurring or long-running
// job has no completion time to meet.
func (m *Machine) reportJobEnded(j *job, s progress.State, now time.Time) {
	if s == progress.Cancelled || j.spec.Repeat > 0 || j.spec.LongRunning() {
		return
	}
	took := time.Duration(j.endedAt-j.spec.AcceptedAt) * time.Millisecond
	m.commands = append(m.commands, j.timing.report(JobEnded{Job: j.spec, State: s, Took: max(took, 0)}, now))
}

// SaveFailed requeues the rows of the outstanding save of a partition when the store could
// not be reached, has refused the save, or the outcome is not known yet.
func (m *Machine) SaveFailed(partition int, now time.Time) {
	p := &m.partitions[partition]
	if p.sending == nil {
		return
	}
	if refused := m.saveFailed(p, now); !refused {
		p.retryAt = now.Add(saveRetryPause)
	}
}

// StoredRow describes a job's stored rows when a save was refused or its outcome was
// looked up.
type StoredRow struct {
	Job       graph.JobID
	Version   int64 // of the progress row; 0: there is none
	Cancelled bool  // the save would complete the job, but its cancellation is stored
}

// SaveRefused requeues the rows of a save that did not take effect as a whole or whose
// answer was lost; stored tells which rows are there. The next save overwrites them: only
// this term's leader writes them, so what is there is older.
func (m *Machine) SaveRefused(partition int, stored []StoredRow, now time.Time) {
	m.log.Decided("progress save refused", "part", partition, "rows", len(stored))
	m.partitions[partition].retryAt = now.Add(saveRetryPause / 10)
	for _, row := range stored {
		j := m.jobs[row.Job]
		if j == nil {
			continue
		}
		j.version = row.Version
		if row.Cancelled {
			m.cancel(j, now)
		}
	}
	m.requeue(&m.partitions[partition])
}

// requeue puts the jobs of the outstanding save before the other dirty jobs.
func (m *Machine) requeue(p *partition) {
	jobs := p.sending
	for _, j := range p.dirty {
		if !slices.Contains(jobs, j) {
			jobs = append(jobs, j)
		}
	}
	for _, j := range jobs {
		j.dirty = true
	}
	p.dirty, p.sending = jobs, nil
}
