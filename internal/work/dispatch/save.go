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
	again   time.Time // not before
}

// touch has the job's progress saved, and returns the revision that is saved.
func (m *Machine) touch(j *job) int64 {
	j.rev++
	if !j.dirty {
		j.dirty = true
		m.parts[j.part].dirty = append(m.parts[j.part].dirty, j)
	}
	return j.rev
}

// flush asks for a save of each part that has something to save and no save
// outstanding.
func (m *Machine) flush(now time.Time) {
	for i := range m.parts {
		p := &m.parts[i]
		if p.sending != nil || len(p.dirty) == 0 || now.Before(p.again) {
			continue
		}
		n := min(len(p.dirty), saveRows)
		p.sending, p.dirty = slices.Clone(p.dirty[:n]), slices.Delete(p.dirty, 0, n)
		save := Save{Part: i}
		for _, j := range p.sending {
			j.dirty, j.sentRev, j.sentState = false, j.rev, j.state
			save.Rows = append(save.Rows, j.row())
		}
		m.out = append(m.out, save)
	}
}

// row returns the job's progress as it is to be saved.
func (j *job) row() SaveRow {
	p := progress.Job{State: j.state, Started: j.started, Ended: j.endedAt}
	if !j.state.Final() {
		p.Steps = map[string]*progress.Step{}
		for _, s := range j.steps {
			if kept := s.kept(); kept != nil {
				p.Steps[stepKey(s.id)] = kept
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

// kept returns what must be kept of the step, or nil for nothing.
func (s *step) kept() *progress.Step {
	k := &progress.Step{}
	empty := len(s.tried.failed) == 0 && s.saved == ""
	if len(s.tried.failed) > 0 {
		k.FailedRuns = map[int][]int{0: s.tried.failed}
	}
	if s.saved != "" {
		k.Checkpoints = map[int]string{0: s.saved}
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
		case len(t.own.failed) > 0:
			k.FailedRuns = put(k.FailedRuns, t.index, t.own.failed)
			empty = false
		}
		noted := false // the highest run is among those that may exist
		for _, r := range t.runs {
			if r.phase != waiting {
				k.Placements = append(k.Placements, progress.Placement{Task: t.index, Target: r.target.ID, Run: r.Number})
				noted = noted || r.Number == t.highest
			}
		}
		if t.highest > 0 && !noted {
			k.LastRuns = put(k.LastRuns, t.index, t.highest)
		}
		empty = empty && t.highest == 0
		if t.saved != "" {
			k.Checkpoints = put(k.Checkpoints, t.index, t.saved)
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
		m.show(j, j.sentState)
		m.startNoted(j, now)
	}
	p.sending = nil
	for _, t := range m.byID {
		if len(t.ends) > 0 {
			t.settleEnds(now)
			m.touchTarget(t)
		}
	}
}

// show lets clients see a state that was saved.
func (m *Machine) show(j *job, s progress.State) {
	if j.shown == s || j.shown.Final() {
		return
	}
	j.shown = s
	if s.Final() {
		m.log.Decided("job ended", "job", j.spec.ID, "queue", j.spec.Queue, "state", s, "accepted", j.spec.AcceptedAt, "ended", j.endedAt)
		m.settled(j, s)
	}
}

// settled tells of a job that came to its end. What its client took back says
// nothing about service, and a job that recurs or lasts has no time to keep.
func (m *Machine) settled(j *job, s progress.State) {
	if s == progress.Cancelled || j.spec.Repeat > 0 || j.spec.LongRunning() {
		return
	}
	took := time.Duration(j.endedAt-j.spec.AcceptedAt) * time.Millisecond
	m.out = append(m.out, Settled{Job: j.spec, State: s, Took: max(took, 0)})
}

// SaveFailed takes in that the store could not be asked, or that nothing is
// known of the outcome yet. The rows are saved again.
func (m *Machine) SaveFailed(at int, now time.Time) {
	p := &m.parts[at]
	p.again = now.Add(retrySave)
	m.resave(p)
}

// Found is a row as it was found when a save was refused or its outcome looked
// up.
type Found struct {
	Job       graph.JobID
	Version   int64 // 0: not there
	Cancelled bool  // the job's cancelling is there
}

// SaveRefused takes in the rows as they are, after a save that did not take
// effect as a whole or whose answer was lost. They are saved again over what is
// there: only this term's leader writes them, so what is there is older.
func (m *Machine) SaveRefused(at int, found []Found, now time.Time) {
	m.log.Decided("progress refused", "part", at, "rows", len(found))
	m.parts[at].again = now.Add(retrySave / 10)
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
	m.resave(&m.parts[at])
}

// resave puts the rows of the outstanding save before those that wait.
func (m *Machine) resave(p *part) {
	again := p.sending
	for _, j := range p.dirty {
		if !slices.Contains(again, j) {
			again = append(again, j)
		}
	}
	for _, j := range again {
		j.dirty = true
	}
	p.dirty, p.sending = again, nil
}
