package dispatch

import (
	"math/big"
	"slices"
	"strconv"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// saveRows bounds the jobs of one save: with each row's condition, the fence
// and the conditions on cancelling it stays under the store's 100 entries.
const saveRows = 30

// part is what is to be saved of the jobs of one part.
type part struct {
	dirty   []*job    // to be saved, in the order in which they changed; each once
	sending []*job    // in the save that is outstanding; nil: none is
	retryAt time.Time // not before
}

// markDirty has the job's progress saved, and returns the revision that is saved.
func (m *Machine) markDirty(j *job) int64 {
	j.rev++
	if !j.dirty {
		j.dirty = true
		m.parts[j.part].dirty = append(m.parts[j.part].dirty, j)
	}
	return j.rev
}

// sendSaves asks for a save of each part that has something to save and no save
// outstanding.
func (m *Machine) sendSaves(now time.Time) {
	for i := range m.parts {
		p := &m.parts[i]
		if p.sending != nil || len(p.dirty) == 0 || now.Before(p.retryAt) {
			continue
		}
		n := min(len(p.dirty), saveRows)
		p.sending, p.dirty = slices.Clone(p.dirty[:n]), slices.Delete(p.dirty, 0, n)
		save := Save{Part: i}
		for _, j := range p.sending {
			j.dirty, j.sentRev, j.sentState = false, j.rev, j.state
			save.Rows = append(save.Rows, j.row())
		}
		m.commands = append(m.commands, save)
	}
}

// row returns the job's progress as it is to be saved.
func (j *job) row() SaveRow {
	p := progress.Job{State: j.state, Started: j.started, Ended: j.endedAt}
	if !j.state.Final() {
		p.Steps = map[string]*progress.Step{}
		for _, s := range j.steps {
			if saved := s.savedProgress(); saved != nil {
				p.Steps[stepKey(s.id)] = saved
			}
		}
	}
	value, err := p.Encode()
	if err != nil {
		value = nil // cannot happen: the type has no value that JSON cannot hold
	}
	return SaveRow{Job: j.spec.ID, Value: value, Version: j.version, Completes: j.state == progress.Completed || j.state == progress.Failed}
}

func stepKey(id graph.StepID) string {
	return strconv.Itoa(id.Occurrence) + "." + strconv.Itoa(id.Step)
}

// savedProgress returns what must be kept of the step, or nil for nothing.
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
			empty = false
			continue
		case len(t.ownAttempts.failed) > 0:
			k.FailedRuns = put(k.FailedRuns, t.index, t.ownAttempts.failed)
			empty = false
		}
		highestPlaced := false // the highest run is among those that may exist
		for _, r := range t.runs {
			if r.phase != awaitingCapacity {
				k.Placements = append(k.Placements, progress.Placement{Task: t.index, Target: r.target.ID, Run: r.Number})
				highestPlaced = highestPlaced || r.Number == t.highestRun
			}
		}
		if t.highestRun > 0 && !highestPlaced {
			k.LastRuns = put(k.LastRuns, t.index, t.highestRun)
		}
		empty = empty && t.highestRun == 0
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

func put[V any](m map[int]V, k int, v V) map[int]V {
	if m == nil {
		m = map[int]V{}
	}
	m[k] = v
	return m
}

// Saved takes in that the outstanding save of a part took effect and gave its
// rows the version.
func (m *Machine) Saved(at int, version int64, now time.Time) {
	p := &m.parts[at]
	for _, j := range p.sending {
		j.version, j.savedRev = version, j.sentRev
		m.publish(j, j.sentState)
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

// publish lets clients see a state that was saved.
func (m *Machine) publish(j *job, s progress.State) {
	if j.published == s || j.published.Final() {
		return
	}
	j.published = s
	if s.Final() {
		m.log.Decided("job ended", "job", j.spec.ID, "queue", j.spec.Queue, "state", s, "accepted", j.spec.AcceptedAt, "ended", j.endedAt)
		m.reportJobEnded(j, s)
	}
}

// reportJobEnded tells of a job that came to its end. What its client took back says
// nothing about service, and a job that recurs or lasts has no time to keep.
func (m *Machine) reportJobEnded(j *job, s progress.State) {
	if s == progress.Cancelled || j.spec.Repeat > 0 || j.spec.LongRunning() {
		return
	}
	took := time.Duration(j.endedAt-j.spec.AcceptedAt) * time.Millisecond
	m.commands = append(m.commands, JobEnded{Job: j.spec, State: s, Took: max(took, 0)})
}

// SaveFailed takes in that the store could not be asked, or that nothing is
// known of the outcome yet. The rows are saved again.
func (m *Machine) SaveFailed(at int, now time.Time) {
	p := &m.parts[at]
	p.retryAt = now.Add(saveRetryPause)
	m.requeue(p)
}

// StoredRow is a row as it was found when a save was refused or its outcome looked
// up.
type StoredRow struct {
	Job       graph.JobID
	Version   int64 // 0: not there
	Cancelled bool  // the job's cancelling is there
}

// SaveRefused takes in the rows as they are, after a save that did not take
// effect as a whole or whose answer was lost. They are saved again over what is
// there: only this term's leader writes them, so what is there is older.
func (m *Machine) SaveRefused(at int, found []StoredRow, now time.Time) {
	m.log.Decided("progress refused", "part", at, "rows", len(found))
	m.parts[at].retryAt = now.Add(saveRetryPause / 10)
	for _, f := range found {
		j := m.jobs[f.Job]
		if j == nil {
			continue
		}
		j.version = f.Version
		if f.Cancelled {
			m.cancel(j, now)
		}
	}
	m.requeue(&m.parts[at])
}

// requeue puts the rows of the outstanding save before those that wait.
func (m *Machine) requeue(p *part) {
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
