package dispatch

import (
	"time"
)

// Figures of stragglers.
const (
	// standTime is how long a run may report the same progress before it counts
	// as standing still, at least; standShare the same as a share of its estimate.
	// Reports come every two seconds at the latest, and a hundredth of the longest
	// runs takes a tenth of a second.
	standTime  = 1800 * time.Millisecond
	standShare = 0.3
	// measureTime is the least time over which a speed is measured: in less, whole
	// percents are too coarse.
	measureTime = 700 * time.Millisecond
	// moveGain and moveCost: a run is moved only if it will take so many times
	// longer, and so much longer, here than from its checkpoint elsewhere.
	moveGain = 1.5
	moveCost = time.Second
	// standLong is how long a run stands still before it is given up though its
	// work is lost: standstills mostly pass within some seconds.
	standLong = 8 * time.Second
)

// watch looks at the progress of a target's runs, as it was just reported, and
// moves those that stand still or run far slower than they would elsewhere.
func (m *Machine) watch(t *target, now time.Time) {
	for _, r := range t.sortedRuns() {
		if r.phase != running || r.task.step.spec.LongRunning || r.task.step.job.spec.AtMostOnce || r.share < 100 || r.task.step.job.over() {
			continue
		}
		m.vouch(r, now)
		switch {
		case r.standsStill(now):
			m.stuck(r, now)
		case m.crawls(r, now):
			m.moveRun(r, "it runs slowly", now)
		case t.Draining && m.isCutShort(r, now):
			m.moveRun(r, "its target leaves before it ends", now)
		}
	}
}

// stuck takes in that a run stands still.
func (m *Machine) stuck(r *run, now time.Time) {
	since := now.Sub(r.movedAt)
	was := r.target.health.Quarantined(now)
	r.target.health.ObserveStall(now)
	m.suspect(r.target, was, "a run stands still there", r.Task, now)
	if !r.stuck {
		r.stuck = true
		m.log.Decided("run stands still", "target", r.target.ID, "task", r.Task, "run", r.Number, "percent", r.percent, "sinceMS", since.Milliseconds())
	}
	if r.task.step.spec.Checkpointing || since >= standLong {
		m.moveRun(r, "it stands still", now)
	}
}

// progressed takes in the progress that a target reports of a run.
func (r *run) progressed(percent int, now time.Time) {
	if r.movedAt.IsZero() || percent != r.percent {
		r.movedAt, r.stuck = now, false
	}
	if r.firstAt.IsZero() && percent > 0 {
		r.firstAt, r.firstPercent = now, percent
	}
	r.percent, r.reportedAt = percent, now
}

// standsStill reports whether a run that had begun to work does not go on.
func (r *run) standsStill(now time.Time) bool {
	if r.percent >= 100 || r.movedAt.IsZero() {
		return false
	}
	limit := max(standTime, time.Duration(standShare*float64(r.task.step.spec.Estimate)))
	return now.Sub(r.movedAt) >= limit && r.works()
}

// works reports whether the run is not waiting for other members of its gang.
func (r *run) works() bool {
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
func (r *run) speed(far float64) float64 {
	span := r.reportedAt.Sub(r.firstAt)
	if r.firstAt.IsZero() || span < measureTime {
		return 0
	}
	estimate := r.task.step.spec.Estimate.Seconds()
	return float64(r.percent-r.firstPercent) / 100 * estimate * far / span.Seconds()
}

// farFactor returns how many times longer a run takes where it is.
func (m *Machine) farFactor(r *run, severalRacks bool) float64 {
	far := 1.0
	s := r.task.step.spec
	if s.DataRack != "" && r.target.Rack != s.DataRack {
		far *= m.bounds.FarFactor
	}
	if s.SameRack && severalRacks {
		far *= m.bounds.FarFactor
	}
	return far
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

// crawls reports whether a run goes on so slowly that it would end earlier from
// its checkpoint on a sound target. The speed of its step's other tasks tells how
// far its estimate is off. Runs that would begin anew are left: they would
// lose more than they gain.
func (m *Machine) crawls(r *run, now time.Time) bool {
	peers := m.peersOf(r.task.step, now)
	far := m.farFactor(r, peers.severalRacks)
	speed := r.speed(far)
	if speed == 0 {
		return false
	}
	usual := peers.usualFor(r.target)
	r.target.health.ObserveSpeed(speed/usual, now)
	if !r.target.health.Slow(now) || !r.task.step.spec.Checkpointing {
		return false
	}
	estimate := r.task.step.spec.Estimate.Seconds()
	left := 1 - float64(r.percent)/100
	here := left * estimate * far / speed
	// Slowness passes, too: it is expected to last as long again.
	here = min(here, r.target.health.SlowFor(now).Seconds()+left*estimate/usual)
	return here > moveGain*left*estimate/usual+moveCost.Seconds()
}

// peersFor is how long what is known of a step's tasks together is used: a wide step
// runs on hundreds of targets, and each of their reports would look at all its tasks.
const peersFor = 100 * time.Millisecond

// peers is what is known of a step's tasks together.
type peers struct {
	asOf             time.Time
	severalRacks     bool
	target           *target // of the fastest task; nil: none is known
	speed, elsewhere float64 // of the fastest task, and of the fastest on other targets; 0: not known
}

// peersOf returns what is known of a step's tasks together, as of a moment ago.
func (m *Machine) peersOf(s *step, now time.Time) *peers {
	if now.Sub(s.peers.asOf) < peersFor {
		return &s.peers
	}
	s.peers = peers{asOf: now, severalRacks: s.spec.SameRack && s.onSeveralRacks()}
	for _, x := range s.tasks {
		for _, r := range x.runs {
			if r.phase == running {
				s.peers.add(r.target, r.speed(m.farFactor(r, s.peers.severalRacks)))
			}
		}
	}
	return &s.peers
}

func (p *peers) add(t *target, speed float64) {
	switch {
	case t == p.target:
		p.speed = max(p.speed, speed)
	case speed > p.speed:
		p.target, p.speed, p.elsewhere = t, speed, p.speed
	default:
		p.elsewhere = max(p.elsewhere, speed)
	}
}

// usualFor returns the speed of the fastest task on another target than the one given,
// or 1 if none is known.
func (p *peers) usualFor(t *target) float64 {
	usual := p.speed
	if p.target == t {
		usual = p.elsewhere
	}
	if usual == 0 {
		return 1
	}
	return usual
}

// isCutShort reports whether a run on a target that leaves will not end before it
// does. One that loses its work by a move is left to its luck: targets often stay
// somewhat longer than they must.
func (m *Machine) isCutShort(r *run, now time.Time) bool {
	left := r.expectedLeft(now)
	stays := time.Duration(r.target.RemainingMS)*time.Millisecond - now.Sub(r.target.remainsAt)
	if r.task.step.spec.Checkpointing && !r.task.step.spec.Gang {
		return left > stays
	}
	return left > stays+drainLuck
}

// drainLuck is how much longer than it must a target is hoped to stay.
const drainLuck = 4 * time.Second

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
func (m *Machine) moveRun(r *run, why string, now time.Time) {
	x := r.task
	if x.step.spec.Gang {
		m.moveGang(r, why, now)
		return
	}
	x.tried().shun(r.target)
	t := m.choose(x, now)
	if t == nil || t == r.target {
		return
	}
	if !x.step.spec.Speculative {
		m.stop(r, why, now)
		return
	}
	if len(x.runs) > 1 {
		return
	}
	m.log.Decided("second run", "task", r.Task, "reason", why)
	m.startIfFits([]*run{m.place(x, t, x.highest+1, now)})
}

// moveGang ends a whole gang for the sake of one member.
func (m *Machine) moveGang(r *run, why string, now time.Time) {
	m.stop(r, why, now)
	m.stopGang(r, "another member: "+why, now)
}
