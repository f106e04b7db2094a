package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
)

// Best-effort tasks use the processor time that others leave, and slow down tasks
// that serve beside them, by amounts that are not known beforehand and change
// within seconds. So the tail of response times that a target reports steers how
// much its best-effort tasks work.

// Figures of pacing. The tail may be over its limit for some seconds on end
// before that counts as harm.
const (
	// paceWait is how long a report waits on a target where tasks that serve and
	// best-effort tasks are side by side.
	paceWait = time.Second
	// slowDownAbove and speedUpBelow: shares of the limit on the tail above which best-effort
	// tasks are slowed down, and below which they are let on. The gap keeps them
	// from swinging.
	slowDownAbove = 0.85
	speedUpBelow  = 0.6
	// paceStep is how many percent best-effort tasks are let on at a time.
	paceStep = 15
	// pacePause is the pause after a change, until its effect is reported: the
	// tail is that of the last half second.
	pacePause = 700 * time.Millisecond
)

// Pace lets a best-effort run work at a share of its speed. The answer goes to
// Machine.PaceAnswered.
type Pace struct {
	Target  order.Address
	Run     order.Run
	Percent int
}

func (Pace) command() {}

// pace steers the best-effort runs of a target by what it just reported.
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
			m.commands = append(m.commands, Pace{Target: t.address(), Run: r.Run, Percent: share})
		}
	}
}

// nextShare returns the share at which a best-effort run works next: much less when the
// tail nears its limit, none when it is over it, a little more when there is room.
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

// tailRatio returns the worst tail of the target's serving tasks as a share of its
// limit, and whether any serves there.
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

// mixesServingAndBestEffort reports whether tasks that serve and best-effort tasks are on the target.
func (t *target) mixesServingAndBestEffort() bool {
	bestEffort := false
	for _, r := range t.runs {
		bestEffort = bestEffort || r.task.step.spec.BestEffortCPU
	}
	_, serves := t.tailRatio()
	return bestEffort && serves
}

// PaceAnswered takes in what became of an order to pace. One that was not carried
// out is given again with the next report.
func (m *Machine) PaceAnswered(target string, id order.Run, clock int64, err error, now time.Time) {
	t := m.targets[target]
	if t == nil {
		return
	}
	t.updateClock(clock, now)
	if r := t.runs[id]; r != nil && err != nil {
		r.paceShare = 100
		t.pacedAt = time.Time{}
	}
}

// adoptedShare is the share at which a best-effort run is thought to work that an
// earlier leader started: it may have been slowed down to nothing, so it is let
// on from there.
const adoptedShare = paceStep

// initialShare returns the share at which a run that was found is thought to work.
func initialShare(s *step) int {
	if s.spec.BestEffortCPU {
		return adoptedShare
	}
	return 100
}

// interference says how much a best-effort task, or one that serves, would be disturbed
// or disturb on a target: the number of the others there.
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
