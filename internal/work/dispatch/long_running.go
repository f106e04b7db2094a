package dispatch

import "time"

// moveLongRunning moves long-running tasks off a draining target, never more of a step at
// a time than may be unavailable. Each is then unavailable only until it has started up
// elsewhere, instead of from the target's end until that is detected and for the start.
func (m *Machine) moveLongRunning(t *target, now time.Time) {
	if !t.Draining {
		return
	}
	for _, r := range t.sortedRuns() {
		s := r.task.step
		if r.phase != running || !s.spec.LongRunning || s.job.finished() || s.unavailableTasks() >= max(s.spec.MaxUnavailable, 1) {
			continue
		}
		if other := m.chooseTarget(r.task, now); other != nil && other != t {
			m.stop(r, stopFor(stopTargetDrain), now)
		}
	}
}

// unavailableTasks returns how many tasks of a long-running step are not available.
func (s *step) unavailableTasks() int {
	n := 0
	for _, x := range s.tasks {
		if !x.available() {
			n++
		}
	}
	return n
}

// available reports whether a long-running task has started up.
func (x *task) available() bool {
	for _, r := range x.runs {
		if r.phase == running && r.percent == 100 {
			return true
		}
	}
	return false
}
