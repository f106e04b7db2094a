package dispatch

import "time"

// moveLongRunning moves long-running tasks off a draining target, at a time no more of a
// step than may be unavailable. Each is then unavailable for a moment only, instead of
// from the target's end until that is noticed.
func (m *Machine) moveLongRunning(t *target, now time.Time) {
	if !t.Draining {
		return
	}
	for _, r := range t.sortedRuns() {
		s := r.task.step
		if r.phase != running || !s.spec.LongRunning || s.job.finished() || s.unavailable() >= max(s.spec.MaxUnavailable, 1) {
			continue
		}
		if other := m.chooseTarget(r.task, now); other != nil && other != t {
			m.stop(r, "its target drains", now)
		}
	}
}

// unavailable returns how many tasks of a long-running step are not serving.
func (s *step) unavailable() int {
	n := 0
	for _, x := range s.tasks {
		if !x.serving() {
			n++
		}
	}
	return n
}

// serving reports whether a long-running task has started up and serves.
func (x *task) serving() bool {
	for _, r := range x.runs {
		if r.phase == running && r.percent == 100 {
			return true
		}
	}
	return false
}
