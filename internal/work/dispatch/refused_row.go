package dispatch

import (
	"slices"
	"time"
)

// The store refuses a save as a whole if it refuses one of its rows, such as one that is too large, and
// the error does not tell that from an outage. Repeated as it was, the save would hold back the other jobs
// of its partition for ever. So a save that has failed some times in a row is split until one row fails
// alone. That row is a suspect: it is saved after the others, and not together with them. Once it has
// failed alone several times while others were saved, the job has its own time for the next try, and
// no other job waits for it.
//
// While the store is away, each partition still has one save outstanding and a pause after it, so there
// are no more calls than without a split. After it, saves soon have their full size again, since each that
// succeeds doubles it. Each save has the conditions of any other, and holds the latest state of each of
// its jobs.

const (
	// failuresBeforeSplit is how often the saves of a partition fail in a row before the next is smaller.
	// An outage of less than half a second changes nothing.
	failuresBeforeSplit = 3
	// refusalsBeforePause is how often a row fails alone, with saves of other rows between, before it counts
	// as refused. In a store that fails half of all calls, one row in sixteen does so by chance.
	refusalsBeforePause = 3
	// refusalsBeforeRelease is how often it fails alone before its job gives up the capacity of runs that
	// wait for it, which takes about 3 s. In a store that fails half of all calls, one row in 128 does so.
	refusalsBeforeRelease = 6
	// maxRefusedPause is the longest pause between two tries of a refused row. The row may become smaller
	// when tasks end.
	maxRefusedPause = 5 * time.Second
)

// rowFailures is what is known of saves that held only the row of one job, since it was last saved.
type rowFailures struct {
	failedAt time.Time // when one failed last; zero: none did
	refusals int       // how many have failed with another save that succeeded since the failure before
	retryAt  time.Time // no save of the row before
}

// suspect reports whether a save of the row alone has failed.
func (f rowFailures) suspect() bool { return !f.failedAt.IsZero() }

// refused reports whether the store seems to refuse the row.
func (f rowFailures) refused() bool { return f.refusals >= refusalsBeforePause }

// saveSize bounds the rows of the next save of a partition.
type saveSize struct {
	failures int // saves that have failed in a row
	maxRows  int // 0: maxSaveRows
}

// limit returns how many rows the next save may hold.
func (s saveSize) limit() int {
	if s.maxRows == 0 {
		return maxSaveRows
	}
	return s.maxRows
}

// failed records that a save failed with a number of rows.
func (s *saveSize) failed(rows int) {
	s.failures++
	if s.failures >= failuresBeforeSplit {
		s.maxRows = max(rows/2, 1)
	}
}

// succeeded records that a save succeeded. The next may hold twice as many rows, and is split at once if
// it fails, until saves have their full size again.
func (s *saveSize) succeeded() {
	s.maxRows *= 2
	if s.maxRows == 0 || s.maxRows >= maxSaveRows {
		*s = saveSize{}
	}
}

// size returns the size of saves of suspects, or of other rows.
func (p *partition) size(suspects bool) *saveSize {
	if suspects {
		return &p.suspectSize
	}
	return &p.saveSize
}

// nextSave returns the jobs whose rows the next save of a partition holds, in order: suspects only or
// none, and a refused row alone. After a save of suspects has failed, others have their turn.
func (p *partition) nextSave(now time.Time) []*job {
	var jobs []*job
	suspects := !p.othersFirst || !slices.ContainsFunc(p.dirty, func(j *job) bool { return !j.rowFailures.suspect() })
	for _, j := range p.dirty {
		f := j.rowFailures
		switch {
		case now.Before(f.retryAt) || f.suspect() && !suspects:
			continue
		case len(jobs) == 0 && f.refused():
			return []*job{j}
		case len(jobs) > 0 && (f.refused() || f.suspect() != jobs[0].rowFailures.suspect()):
			continue
		}
		if jobs = append(jobs, j); len(jobs) == p.size(f.suspect()).limit() {
			break
		}
	}
	return jobs
}

// saveFailed records that a save of a partition has failed. It puts suspects behind the other jobs,
// and reports whether these need not wait, as the store seems to refuse this one row.
func (m *Machine) saveFailed(p *partition, now time.Time) (refused bool) {
	sent := p.sending
	m.requeue(p)
	suspects := sent[0].rowFailures.suspect()
	p.size(suspects).failed(len(sent))
	p.othersFirst = suspects
	if len(sent) == 1 {
		refused = m.rowFailed(sent[0], now)
	}
	if suspects || len(sent) == 1 {
		p.dirty = append(slices.Clone(p.dirty[len(sent):]), sent...)
	}
	return refused
}

// rowFailed records that a save failed which held only the row of a job. It reports whether the store
// seems to refuse this row.
func (m *Machine) rowFailed(j *job, now time.Time) (refused bool) {
	f := &j.rowFailures
	if f.suspect() && m.savedAt.After(f.failedAt) {
		f.refusals++
	}
	f.failedAt = now
	if !f.refused() {
		return false
	}
	pause := min(saveRetryPause<<min(f.refusals-refusalsBeforePause, 10), maxRefusedPause)
	f.retryAt = now.Add(pause)
	m.log.Decided("progress row refused", "job", j.spec.ID, "part", j.partition, "bytes", len(j.row().Value), "times", f.refusals, "retryAfterMS", pause.Milliseconds())
	if f.refusals >= refusalsBeforeRelease {
		m.releaseUnsaved(j, now)
	}
	return true
}

// releaseUnsaved drops the runs of a job that were not sent and places none before the next try of its row.
// They would keep their capacity from other jobs until the row is saved, which may be never.
func (m *Machine) releaseUnsaved(j *job, now time.Time) {
	for _, r := range j.sortedLiveRuns() {
		if j.liveRuns[r] && (r.phase == recorded || r.phase == awaitingCapacity) {
			m.dropUnsent(r, stopFor(stopRowRefused), now)
		}
	}
	until := j.rowFailures.retryAt.Add(saveRetryPause)
	for _, s := range j.steps {
		s.pausedUntil = later(s.pausedUntil, until)
		for _, x := range s.tasks {
			x.pausedUntil = later(x.pausedUntil, until)
		}
	}
}

// saveSucceeded records that the outstanding save of a partition has succeeded.
func (m *Machine) saveSucceeded(p *partition, now time.Time) {
	m.savedAt, p.othersFirst = now, false
	p.saveSize.succeeded()
	if len(p.sending) > 0 && p.sending[0].rowFailures.suspect() {
		p.suspectSize.succeeded()
	}
	for _, j := range p.sending {
		if j.rowFailures.refused() {
			m.log.Decided("progress row accepted again", "job", j.spec.ID, "part", j.partition)
		}
		j.rowFailures = rowFailures{}
	}
}
