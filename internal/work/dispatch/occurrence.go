package dispatch

import (
	"cmp"
	"math/big"
	"math/bits"
	"slices"
	"sort"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// A client names up to graph.MaxOccurrences occurrences of a job, each of up to graph.MaxTasks tasks, and
// may have them all due at once. Only a part of them is open, that is, has steps and tasks in memory: an
// occurrence is opened when it is due, as far as the limits below allow, and closed once it is done. Of a
// closed one, a bit remains. So the memory, a takeover and a pass depend on the work at hand.

const (
	// stepWeight is what a step weighs in tasks, by the memory that it takes.
	stepWeight = 4
	// maxJobWeight bounds the open occurrences of a job, in tasks: the progress row of a job holds that many.
	maxJobWeight = graph.MaxTasks
	// maxWaitingWeight bounds the open occurrences of all recurring jobs, in tasks without a run. They take
	// about 6 MB, and a pass considers each of their steps.
	maxWaitingWeight = 16384
)

// occurrenceWeight returns what an open occurrence of a job weighs.
func occurrenceWeight(spec *graph.Job) int { return spec.Tasks() + stepWeight*len(spec.Steps) }

// openWeight returns what the job's open occurrences weigh.
func (j *job) openWeight() int {
	return len(j.steps) / len(j.spec.Steps) * occurrenceWeight(j.spec)
}

// occurrenceAt returns where the steps of an open occurrence begin in the job's steps, or where they would,
// and whether it is open.
func (j *job) occurrenceAt(number int) (at int, open bool) {
	n := len(j.spec.Steps)
	count := len(j.steps) / n
	i := sort.Search(count, func(i int) bool { return j.steps[i*n].id.Occurrence >= number })
	return i * n, i < count && j.steps[i*n].id.Occurrence == number
}

// openSteps returns the steps of an occurrence, or nil if it is not open.
func (j *job) openSteps(number int) []*step {
	at, open := j.occurrenceAt(number)
	if !open {
		return nil
	}
	return j.steps[at : at+len(j.spec.Steps)]
}

// isClosed reports whether an occurrence was done and closed.
func (j *job) isClosed(number int) bool { return j.closed != nil && j.closed.Bit(number) == 1 }

// closedCount returns how many occurrences were done and closed.
func (j *job) closedCount() int {
	if j.closed == nil {
		return 0
	}
	n := 0
	for _, word := range j.closed.Bits() {
		n += bits.OnesCount(uint(word))
	}
	return n
}

// restoreClosed takes over from a saved row which occurrences are closed.
func (m *Machine) restoreClosed(j *job, closed *big.Int) {
	switch {
	case closed == nil:
	case closed.Sign() < 0 || closed.BitLen() > j.spec.Occurrences():
		m.log.Decided("saved occurrences ignored", "job", j.spec.ID, "bits", closed.BitLen(), "occurrences", j.spec.Occurrences())
	default:
		j.closed = new(big.Int).Set(closed)
	}
}

// closeIfDone closes the occurrence of a step if it is done and no run of it may exist: nothing can
// change in it any more.
func (j *job) closeIfDone(s *step) {
	if j.spec.Repeat == 0 || j.finished() {
		return
	}
	at, open := j.occurrenceAt(s.id.Occurrence)
	if !open {
		return
	}
	end := at + len(j.spec.Steps)
	if slices.ContainsFunc(j.steps[at:end], func(s *step) bool { return !s.done || s.liveRuns > 0 }) {
		return
	}
	if j.closed == nil {
		j.closed = new(big.Int)
	}
	j.closed.SetBit(j.closed, s.id.Occurrence, 1)
	j.steps = slices.Delete(j.steps, at, end)
}

// skipClosed passes over occurrences that a saved row shows as closed, so that they are not opened.
func (j *job) skipClosed() {
	for j.opened < j.spec.Occurrences() && j.isClosed(j.opened) {
		j.opened++
	}
}

// nextDue reports whether the next occurrence to open is due.
func (j *job) nextDue(nowMS int64) bool {
	j.skipClosed()
	return j.opened < j.spec.Occurrences() && j.spec.Due(j.opened) <= nowMS
}

// openFirst opens the next due occurrence of a job that has none open which is not done. Of a recurring
// job, openRecurring opens more.
func (m *Machine) openFirst(j *job, now time.Time) {
	if j.stepsLeft == 0 && j.nextDue(m.wallMS(now)) {
		m.openNextOccurrence(j, now)
	}
}

// openRecurring opens the due occurrences of recurring jobs: one of each job, and more of it as long as it
// and all of them stay within their limits. Those of priority 0 go first, then those that are due first.
func (m *Machine) openRecurring(now time.Time) {
	m.recurring = slices.DeleteFunc(m.recurring, (*job).finished)
	nowMS, waiting := m.wallMS(now), 0
	var due []*job
	for _, j := range m.recurring {
		m.openFirst(j, now)
		waiting += max(j.openWeight()-len(j.liveRuns), 0)
		if j.nextDue(nowMS) {
			due = append(due, j)
		}
	}
	slices.SortStableFunc(due, func(a, b *job) int {
		return cmp.Or(cmp.Compare(min(a.spec.Priority, 1), min(b.spec.Priority, 1)), cmp.Compare(a.spec.Due(a.opened), b.spec.Due(b.opened)))
	})
	for _, j := range due {
		weight := occurrenceWeight(j.spec)
		for j.nextDue(nowMS) && waiting+weight <= maxWaitingWeight && j.openWeight()+weight <= maxJobWeight {
			m.openNextOccurrence(j, now)
			waiting += weight
		}
	}
}

// openNextOccurrence opens the next occurrence of a job and enqueues the steps that depend on no others.
func (m *Machine) openNextOccurrence(j *job, now time.Time) {
	m.occurrenceArrived(j, now)
	steps := j.createOccurrence(j.opened)
	j.opened++
	for _, s := range steps {
		if s.blockedBy == 0 {
			m.stepUnblocked(s, now)
		}
	}
}
