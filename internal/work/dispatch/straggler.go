package dispatch

import (
	"time"
)

// Thresholds for stalled runs and stragglers.
const (
	// A run is stalled when it has reported the same progress for minStallTime and for
	// stallShare of its estimate. Reports come every two seconds at the latest, and a
	// hundredth of the longest runs takes a tenth of a second.
	minStallTime = 1800 * time.Millisecond
	stallShare   = 0.3
	// minMeasureTime is the shortest time over which a speed is measured: whole percents
	// are too coarse for less.
	minMeasureTime = 700 * time.Millisecond
	// A run is moved only if its remaining time here exceeds moveGain times that from its
	// checkpoint elsewhere, plus moveCost.
	moveGain = 1.5
	moveCost = time.Second
	// longStall is how long a run without checkpoints is stalled before it is given up,
	// though its work is lost: most stalls pass within some seconds.
	longStall = 8 * time.Second
)

// checkProgress checks the progress that a target has just reported of its runs, and
// moves those that are stalled, straggle or would outlast a draining target.
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
			m.moveRun(r, stopFor(stopSlow), now)
		case t.Draining && m.outlastsTarget(r, now):
			m.moveRun(r, stopFor(stopDraining), now)
		}
	}
}

// runStalled records a stalled run as evidence against its target, and moves it if it has
// checkpoints or is stalled for longStall.
func (m *Machine) runStalled(r *run, now time.Time) {
	since := now.Sub(r.progressedAt)
	wasQuarantined := r.target.health.Quarantined(now)
	alone := r.stalledAlone()
	switch {
	case alone:
		r.target.health.ObserveStall(now)
	case !r.stalled:
		r.target.health.ObserveSharedStall(now)
	}
	m.logIfQuarantined(r.target, wasQuarantined, "a run stalled there", r.Task, now)
	if !r.stalled {
		r.stalled, r.hasStalled = true, true
		m.log.Decided("run stalled", "target", r.target.ID, "task", r.Task, "run", r.Number, "percent", r.percent, "sinceMS", since.Milliseconds(), "alone", alone)
	}
	if r.task.step.spec.Checkpointing || since >= longStall {
		if !alone {
			r.avoidGangTargets()
		}
		m.moveRun(r, stopFor(stopStalled), now)
	}
}

// stallStartShare is the share of its estimate by which a run may have gone on since the report that
// last showed progress, without another whole percent.
const stallStartShare = 0.05

// stalledAlone reports whether the stall of a run must be the fault of its own target: it is in no
// gang, or members of its gang on other targets have progressed since it began, or have no work left. A gang
// without progress may wait for any of its targets, and would have all of them quarantined.
func (r *run) stalledAlone() bool {
	s := r.task.step
	if !s.spec.Gang {
		return true
	}
	began := r.progressedAt.Add(time.Duration(stallStartShare * float64(s.spec.Estimate)))
	othersDone := true
	for _, x := range s.tasks {
		for _, o := range x.runs {
			switch {
			case o.target == r.target || o.Number != r.Number:
			case o.progressedAfter.After(began):
				return true
			default:
				othersDone = othersDone && o.percent >= 100
			}
		}
	}
	return othersDone
}

// avoidGangTargets has the next run of a gang avoid all its targets, one of which stalls it.
func (r *run) avoidGangTargets() {
	s := r.task.step
	for _, x := range s.tasks {
		for _, o := range x.runs {
			if o.Number == r.Number {
				s.gangAttempts.avoid(o.target)
			}
		}
	}
}

// updateProgress records the percentage that a target reports of a run, and when. Any change
// of it ends a stall. The speed is measured from the first percentage above 0.
func (r *run) updateProgress(percent int, now time.Time) {
	if r.progressedAt.IsZero() || percent != r.percent {
		r.progressedAt, r.progressedAfter, r.stalled = now, r.reportedAt, false
	}
	if r.firstProgressAt.IsZero() && percent > 0 {
		r.firstProgressAt, r.firstPercent = now, percent
	}
	r.percent, r.reportedAt = percent, now
}

// isStalled reports whether a run that had begun to work makes no progress.
func (r *run) isStalled(now time.Time) bool {
	if r.percent >= 100 || r.progressedAt.IsZero() {
		return false
	}
	limit := max(minStallTime, time.Duration(stallShare*float64(r.task.step.spec.Estimate)))
	return now.Sub(r.progressedAt) >= limit && r.allMembersRunning()
}

// allMembersRunning reports whether all members of the run's gang are running; without a
// gang it is true.
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

// speed returns the work that a run has done, by its estimate, divided by the time taken;
// 0 if it cannot be measured yet. The estimate is scaled by slowdown.
func (r *run) speed(slowdown float64) float64 {
	span := r.reportedAt.Sub(r.firstProgressAt)
	if r.firstProgressAt.IsZero() || span < minMeasureTime {
		return 0
	}
	estimate := r.task.step.spec.Estimate.Seconds()
	return float64(r.percent-r.firstPercent) / 100 * estimate * slowdown / span.Seconds()
}

// remoteSlowdown returns how many times longer a run takes for being away from its data,
// or in a gang on several racks.
func (m *Machine) remoteSlowdown(r *run, severalRacks bool) float64 {
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

// onSeveralRacks reports whether the step has runs on more than one rack.
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

// straggles reports whether a run is so slow that it would end earlier from its
// checkpoint on a healthy target. The speed of the step's other tasks shows how far its
// estimate is off. Runs without checkpoints are not moved: they would lose more than they
// gain. The run's speed is recorded as evidence about its target. All speeds are relative to the
// long-term speeds of the targets: one that is steadily slower than the fastest of its step is not
// at fault.
func (m *Machine) straggles(r *run, now time.Time) bool {
	speeds := m.speedsOf(r.task.step, now)
	slowdown := m.remoteSlowdown(r, speeds.severalRacks)
	speed := r.normalizedSpeed(slowdown)
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
	remainingHere := remaining * estimate * slowdown * r.target.speed.Expected() / speed
	// Slowness passes, too: it is expected to last as long again as it has lasted.
	remainingHere = min(remainingHere, r.target.health.SlowFor(now).Seconds()+remaining*estimate*r.target.speed.Expected()/expected)
	return remainingHere > moveGain*remaining*estimate/expected+moveCost.Seconds()
}

// speedsMaxAge is how long the speeds of a step are reused: a wide step runs on hundreds
// of targets, and each of their reports would visit all its tasks.
const speedsMaxAge = 100 * time.Millisecond

// stepSpeeds holds the highest speeds among a step's tasks, relative to the long-term speeds of their
// targets.
type stepSpeeds struct {
	asOf                  time.Time
	severalRacks          bool
	target                *target // of the fastest task; nil: not known
	speed, elsewhereSpeed float64 // of the fastest task, and of the fastest on other targets; 0: not known
}

// speedsOf returns the speeds of a step's tasks, at most speedsMaxAge old.
func (m *Machine) speedsOf(s *step, now time.Time) *stepSpeeds {
	if now.Sub(s.speeds.asOf) < speedsMaxAge {
		return &s.speeds
	}
	s.speeds = stepSpeeds{asOf: now, severalRacks: s.spec.SameRack && s.onSeveralRacks()}
	for _, x := range s.tasks {
		for _, r := range x.runs {
			if r.phase == running {
				s.speeds.add(r.target, r.normalizedSpeed(m.remoteSlowdown(r, s.speeds.severalRacks)))
			}
		}
	}
	return &s.speeds
}

// add takes the speed of a run on a target into account.
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

// expectedSpeed returns the speed of the fastest task on any target but t, or 1 if none
// is known.
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

// outlastsTarget reports whether a run will not end before its draining target leaves. A
// run that would lose its work by a move is given drainGrace on top, since targets often
// stay somewhat longer than they announced.
func (m *Machine) outlastsTarget(r *run, now time.Time) bool {
	remaining := r.expectedRemaining(now)
	targetRemaining := time.Duration(r.target.RemainingMS)*time.Millisecond - now.Sub(r.target.remainingReportedAt)
	if r.task.step.spec.Checkpointing && !r.task.step.spec.Gang {
		return remaining > targetRemaining
	}
	return remaining > targetRemaining+drainGrace
}

// drainGrace is how much longer than announced a draining target is assumed to stay.
const drainGrace = 4 * time.Second

// expectedRemaining returns how much longer a run is expected to take.
func (r *run) expectedRemaining(now time.Time) time.Duration {
	estimate := r.task.step.spec.Estimate
	if speed := r.speed(1); speed > 0 {
		return time.Duration(float64(100-r.percent) / 100 * float64(estimate) / speed)
	}
	return max(r.target.expectedTime(estimate)-now.Sub(r.beganAt), 0)
}

// moveRun ends a run so that its task is started again on another target. A task that
// allows speculative runs gets a second run instead. Nothing is moved while no other
// target has capacity for it.
func (m *Machine) moveRun(r *run, reason stopReason, now time.Time) {
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
	x.startsAgain(r, reason.cause(), now)
	m.log.Decided("speculative run placed", "task", r.Task, "reason", reason.String())
	m.recordIfFits([]*run{m.place(x, t, x.highestRun+1, now)}, now)
}

// moveGang ends a whole gang because one of its members has to move.
func (m *Machine) moveGang(r *run, reason stopReason, now time.Time) {
	m.stop(r, reason, now)
	m.stopGang(r, reason.withMember(stopMemberMoved), now)
}
