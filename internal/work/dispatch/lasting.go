package dispatch

import "time"

// moveLasting moves lasting tasks off a target that leaves, as many at a time as
// their step may miss: each is away for a moment only, instead of from its
// target's end until that is noticed.
func (m *Machine) moveLasting(t *target, now time.Time) {
	if !t.Draining {
		return
	}
	for _, r := range t.sortedRuns() {
		s := r.task.step
		if r.phase != running || !s.spec.LongRunning || s.job.over() || s.away() >= max(s.spec.MaxUnavailable, 1) {
			continue
		}
		if other := m.choose(r.task, now); other != nil && other != t {
			m.stop(r, "its target leaves", now)
		}
	}
}

// away returns how many tasks of a lasting step are not at work.
func (s *step) away() int {
	n := 0
	for _, x := range s.tasks {
		if !x.atWork() {
			n++
		}
	}
	return n
}

// atWork reports whether a lasting task has started up and serves.
func (x *task) atWork() bool {
	for _, r := range x.runs {
		if r.phase == running && r.percent == 100 {
			return true
		}
	}
	return false
}
