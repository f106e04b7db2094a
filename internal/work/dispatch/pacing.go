package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
)

// Best-effort tasks use the processor time that others leave, and slow down serving tasks
// (those with a limit on their tail latency) on the same target by amounts that are not
// known beforehand and change within seconds. So the tail latency that a target reports
// controls at which share of its speed a best-effort task works.

// Parameters of pacing. Harm is counted only after the tail latency has exceeded its
// limit for some consecutive seconds.
const (
	// pacedPollWait is how long a poll waits for an end on a target with both serving and
	// best-effort tasks.
	pacedPollWait = time.Second
	// slowDownAbove and speedUpBelow are shares of the limit on the tail latency.
	// Best-effort tasks are slowed down above the one and sped up below the other; the
	// gap prevents oscillation.
	slowDownAbove = 0.85
	speedUpBelow  = 0.6
	// paceStep is by how many percent best-effort tasks are sped up at a time.
	paceStep = 15
	// pacePause is the pause after a change until its effect is reported: the tail
	// latency is that of the last half second.
	pacePause = 700 * time.Millisecond
)

// Pace asks to have a best-effort run work at a share of its speed. The answer goes to
// Machine.PaceAnswered.
type Pace struct {
	Target  order.Address
	Run     order.Run
	Percent int
	// Incarnation is the latest one that was known when it was issued, by roster.Target.StartedAt.
	Incarnation int64
}

func (Pace) command() {}

// pace adjusts the best-effort runs of a target to the tail latency that it has just
// reported.
func (m *Machine) pace(t *target, now time.Time) {
	ratio, serves := t.tailRatio()
	if !serves || now.Before(t.pacedAt.Add(pacePause)) {
		return
	}
	for _, r := range t.sortedRuns() {
		if r.phase != running || !r.task.step.spec.BestEffortCPU {
			continue
		}
		if share := nextShare(r.paceShare, ratio); share != r.paceShare {
			m.log.Decided("pace", "target", t.ID, "task", r.Task, "run", r.Number, "from", r.paceShare, "to", share, "strain", ratio)
			r.paceShare = share
			t.pacedAt = now
			m.commands = append(m.commands, Pace{Target: t.address(), Run: r.Run, Percent: share, Incarnation: t.incarnation})
		}
	}
}

// nextShare returns the next share of a best-effort run, in percent: half when the tail
// latency is near its limit, none when it has reached it, a little more when it is well
// below.
func nextShare(share int, ratio float64) int {
	switch {
	case ratio >= 1:
		return 0
	case ratio >= slowDownAbove:
		return share / 2
	case ratio < speedUpBelow:
		return min(share+paceStep, 100)
	}
	return share
}

// tailRatio returns the highest tail latency of the target's serving tasks as a share of
// its limit, and whether any task serves there.
func (t *target) tailRatio() (worst float64, serves bool) {
	for _, r := range t.runs {
		limit := r.task.step.spec.TailLimit
		if r.phase != running || limit <= 0 {
			continue
		}
		serves = true
		worst = max(worst, float64(r.gauge)*float64(time.Millisecond)/float64(limit))
	}
	return worst, serves
}

// mixesServingAndBestEffort reports whether the target has both serving and best-effort
// tasks.
func (t *target) mixesServingAndBestEffort() bool {
	bestEffort := false
	for _, r := range t.runs {
		bestEffort = bestEffort || r.task.step.spec.BestEffortCPU
	}
	_, serves := t.tailRatio()
	return bestEffort && serves
}

// PaceAnswered records the outcome of a Pace command; the caller calls it when the order
// was answered or has failed. A failed order is repeated after the next report.
func (m *Machine) PaceAnswered(c Pace, clock int64, err error, now time.Time) {
	t := m.targets[c.Target.ID]
	if t == nil || t.isOutdatedOrder(c.Target, c.Incarnation) {
		return
	}
	t.updateClock(clock, now)
	if r := t.runs[c.Run]; r != nil && err != nil {
		r.paceShare = 100
		t.pacedAt = time.Time{}
	}
}

// adoptedShare is the share that is assumed for a best-effort run which an earlier leader
// started: it may have been slowed down to nothing, so it is sped up from there.
const adoptedShare = paceStep

// initialShare returns the share that is assumed for a run that an earlier leader started.
func initialShare(s *step) int {
	if s.spec.BestEffortCPU {
		return adoptedShare
	}
	return 100
}

// interference returns how many runs on the target a task of the step would disturb or be
// disturbed by: serving ones for a best-effort task, and the reverse.
func (t *target) interference(s *step) int {
	n := 0
	for _, r := range t.runs {
		o := r.task.step.spec
		if (s.spec.BestEffortCPU && o.TailLimit > 0) || (s.spec.TailLimit > 0 && o.BestEffortCPU) {
			n++
		}
	}
	return n
}
