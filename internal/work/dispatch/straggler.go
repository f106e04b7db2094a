package dispatch

import (
	"time"
)

// Figures of stragglers.
const (
	// stallTime is how long a run may report the same progress before it counts
	// as standing still, at least; stallShare the same as a share of its estimate.
	// Reports come every two seconds at the latest, and a hundredth of the longest
	// runs takes a tenth of a second.
	stallTime  = 1800 * time.Millisecond
	stallShare = 0.3
	// measureTime is the least time over which a speed is measured: in less, whole
	// percents are too coarse.
	measureTime = 700 * time.Millisecond
	// moveGain and moveCost: a run is moved only if it will take so many times
	// longer, and so much longer, here than from its checkpoint elsewhere.
	moveGain = 1.5
	moveCost = time.Second
	// longStall is how long a run stands still before it is given up though its
	// work is lost: standstills mostly pass within some seconds.
	longStall = 8 * time.Second
)

// checkProgress looks at the progress of a target's runs, as it was just reported, and
// moves those that stand still or run far slower than they would elsewhere.
func (m *Machine) checkProgress(t *target, now time.Time) {
	for _, r := range t.sortedRuns() {
		if r.phase != running || r.task.step.spec.LongRunning || r.task.step.job.spec.AtMostOnce || r.paceShare < 100 || r.task.step.job.finished() {
			continue
		}
		m.recordHealthyRun(r, now)
		switch {
		case r.isStalled(now):
			m.runStalled(r, now)
		case m.straggles(r, now):
			m.moveRun(r, "it runs slowly", now)
		case t.Draining && m.outlastsTarget(r, now):
			m.moveRun(r, "its target leaves before it ends", now)
		}
	}
}

// runStalled takes in that a run stands still.
func (m *Machine) runStalled(r *run, now time.Time) {
	since := now.Sub(r.progressedAt)
	wasQuarantined := r.target.health.Quarantined(now)
	r.target.health.ObserveStall(now)
	m.logIfQuarantined(r.target, wasQuarantined, "a run stands still there", r.Task, now)
	if !r.stalled {
		r.stalled = true
		m.log.Decided("run stands still", "target", r.target.ID, "task", r.Task, "run", r.Number, "percent", r.percent, "sinceMS", since.Milliseconds())
	}
	if r.task.step.spec.Checkpointing || since >= longStall {
		m.moveRun(r, "it stands still", now)
	}
}

// updateProgress takes in the progress that a target reports of a run.
func (r *run) updateProgress(percent int, now time.Time) {
	if r.progressedAt.IsZero() || percent != r.percent {
		r.progressedAt, r.stalled = now, false
	}
	if r.firstProgressAt.IsZero() && percent > 0 {
		r.firstProgressAt, r.firstPercent = now, percent
	}
	r.percent, r.reportedAt = percent, now
}

// isStalled reports whether a run that had begun to work does not go on.
func (r *run) isStalled(now time.Time) bool {
	if r.percent >= 100 || r.progressedAt.IsZero() {
		return false
	}
	limit := max(stallTime, time.Duration(stallShare*float64(r.task.step.spec.Estimate)))
	return now.Sub(r.progressedAt) >= limit && r.allMembersRunning()
}

// allMembersRunning reports whether the run is not waiting for other members of its gang.
func (r *run) allMembersRunning() bool {
	if !r.task.step.spec.Gang {
		return true
	}
	for _, x := range r.task.step.tasks {
		if len(x.runs) == 0 || x.runs[0].phase != running || x.runs[0].Number != r.Number {
			return false
		}
	}
	return true
}

// speed returns the work that a run does, by its estimate, against the time that
// it takes; 0 if it cannot be told yet.
func (r *run) speed(slowdown float64) float64 {
	span := r.reportedAt.Sub(r.firstProgressAt)
	if r.firstProgressAt.IsZero() || span < measureTime {
		return 0
	}
	estimate := r.task.step.spec.Estimate.Seconds()
	return float64(r.percent-r.firstPercent) / 100 * estimate * slowdown / span.Seconds()
}

// farFactor returns how many times longer a run takes where it is.
func (m *Machine) farFactor(r *run, severalRacks bool) float64 {
	slowdown := 1.0
	s := r.task.step.spec
	if s.DataRack != "" && r.target.Rack != s.DataRack {
		slowdown *= m.bounds.RemoteSlowdown
	}
	if s.SameRack && severalRacks {
		slowdown *= m.bounds.RemoteSlowdown
	}
	return slowdown
}

func (s *step) onSeveralRacks() bool {
	rack, seen := "", false
	for _, x := range s.tasks {
		for _, r := range x.runs {
			if seen && r.target.Rack != rack {
				return true
			}
			rack, seen = r.target.Rack, true
		}
	}
	return false
}

// straggles reports whether a run goes on so slowly that it would end earlier from
// its checkpoint on a sound target. The speed of its step's other tasks tells how
// far its estimate is off. Runs that would begin anew are left: they would
// lose more than they gain.
func (m *Machine) straggles(r *run, now time.Time) bool {
	speeds := m.speedsOf(r.task.step, now)
	slowdown := m.farFactor(r, speeds.severalRacks)
	speed := r.speed(slowdown)
	if speed == 0 {
		return false
	}
	expected := speeds.expectedSpeed(r.target)
	r.target.health.ObserveSpeed(speed/expected, now)
	if !r.target.health.Slow(now) || !r.task.step.spec.Checkpointing {
		return false
	}
	estimate := r.task.step.spec.Estimate.Seconds()
	remaining := 1 - float64(r.percent)/100
	remainingHere := remaining * estimate * slowdown / speed
	// Slowness passes, too: it is expected to last as long again.
	remainingHere = min(remainingHere, r.target.health.SlowFor(now).Seconds()+remaining*estimate/expected)
	return remainingHere > moveGain*remaining*estimate/expected+moveCost.Seconds()
}

// speedsMaxAge is how long what is known of a step's tasks together is used: a wide step
// runs on hundreds of targets, and each of their reports would look at all its tasks.
const speedsMaxAge = 100 * time.Millisecond

// stepSpeeds is what is known of a step's tasks together.
type stepSpeeds struct {
	asOf                  time.Time
	severalRacks          bool
	target                *target // of the fastest task; nil: none is known
	speed, elsewhereSpeed float64 // of the fastest task, and of the fastest on other targets; 0: not known
}

// speedsOf returns what is known of a step's tasks together, as of a moment ago.
func (m *Machine) speedsOf(s *step, now time.Time) *stepSpeeds {
	if now.Sub(s.speeds.asOf) < speedsMaxAge {
		return &s.speeds
	}
	s.speeds = stepSpeeds{asOf: now, severalRacks: s.spec.SameRack && s.onSeveralRacks()}
	for _, x := range s.tasks {
		for _, r := range x.runs {
			if r.phase == running {
				s.speeds.add(r.target, r.speed(m.farFactor(r, s.speeds.severalRacks)))
			}
		}
	}
	return &s.speeds
}

func (s *stepSpeeds) add(t *target, speed float64) {
	switch {
	case t == s.target:
		s.speed = max(s.speed, speed)
	case speed > s.speed:
		s.target, s.speed, s.elsewhereSpeed = t, speed, s.speed
	default:
		s.elsewhereSpeed = max(s.elsewhereSpeed, speed)
	}
}

// expectedSpeed returns the speed of the fastest task on another target than the one given,
// or 1 if none is known.
func (s *stepSpeeds) expectedSpeed(t *target) float64 {
	expected := s.speed
	if s.target == t {
		expected = s.elsewhereSpeed
	}
	if expected == 0 {
		return 1
	}
	return expected
}

// outlastsTarget reports whether a run on a target that leaves will not end before it
// does. One that loses its work by a move is left to its luck: targets often stay
// somewhat longer than they must.
func (m *Machine) outlastsTarget(r *run, now time.Time) bool {
	remaining := r.expectedLeft(now)
	stays := time.Duration(r.target.RemainingMS)*time.Millisecond - now.Sub(r.target.remainsToldAt)
	if r.task.step.spec.Checkpointing && !r.task.step.spec.Gang {
		return remaining > stays
	}
	return remaining > stays+drainGrace
}

// drainGrace is how much longer than it must a target is hoped to stay.
const drainGrace = 4 * time.Second

// expectedLeft returns how much longer a run is expected to take.
func (r *run) expectedLeft(now time.Time) time.Duration {
	estimate := r.task.step.spec.Estimate
	if speed := r.speed(1); speed > 0 {
		return time.Duration(float64(100-r.percent) / 100 * float64(estimate) / speed)
	}
	return max(estimate-now.Sub(r.beganAt), 0)
}

// moveRun ends a run so that its task is started again elsewhere. A task that may
// run twice gets a second run instead. Nothing is moved while no other target has
// room for it.
func (m *Machine) moveRun(r *run, reason string, now time.Time) {
	x := r.task
	if x.step.spec.Gang {
		m.moveGang(r, reason, now)
		return
	}
	x.attempts().avoid(r.target)
	t := m.chooseTarget(x, now)
	if t == nil || t == r.target {
		return
	}
	if !x.step.spec.Speculative {
		m.stop(r, reason, now)
		return
	}
	if len(x.runs) > 1 {
		return
	}
	m.log.Decided("second run", "task", r.Task, "reason", reason)
	m.recordIfFits([]*run{m.place(x, t, x.highestRun+1, now)})
}

// moveGang ends a whole gang for the sake of one member.
func (m *Machine) moveGang(r *run, reason string, now time.Time) {
	m.stop(r, reason, now)
	m.stopGang(r, "another member: "+reason, now)
}
