package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
)

// Tasks that fill use the processor time that others leave, and slow down tasks
// that serve beside them, by amounts that are not known beforehand and change
// within seconds. So the tail of response times that a target reports steers how
// much its filling tasks work.

// Figures of pacing. The tail may be over its limit for some seconds on end
// before that counts as harm.
const (
	// paceWait is how long a report waits on a target where tasks that serve and
	// tasks that fill are side by side.
	paceWait = time.Second
	// paceAbove and paceBelow: shares of the limit on the tail above which filling
	// tasks are slowed down, and below which they are let on. The gap keeps them
	// from swinging.
	paceAbove = 0.85
	paceBelow = 0.6
	// paceStep is how many percent filling tasks are let on at a time.
	paceStep = 15
	// paceAgain is the pause after a change, until its effect is reported: the
	// tail is that of the last half second.
	paceAgain = 700 * time.Millisecond
)

// Pace lets a filling run work at a share of its speed. The answer goes to
// Machine.PaceAnswered.
type Pace struct {
	Target  order.Address
	Run     order.Run
	Percent int
}

func (Pace) command() {}

// pace steers the filling runs of a target by what it just reported.
func (m *Machine) pace(t *target, now time.Time) {
	strain, serves := t.strain()
	if !serves || now.Before(t.pacedAt.Add(paceAgain)) {
		return
	}
	for _, r := range t.sortedRuns() {
		if r.phase != running || !r.task.step.spec.BestEffortCPU {
			continue
		}
		if want := pacedTo(r.share, strain); want != r.share {
			m.log.Decided("pace", "target", t.ID, "task", r.Task, "run", r.Number, "from", r.share, "to", want, "strain", strain)
			r.share = want
			t.pacedAt = now
			m.out = append(m.out, Pace{Target: t.address(), Run: r.Run, Percent: want})
		}
	}
}

// pacedTo returns the share at which a filling run works next: much less when the
// tail nears its limit, none when it is over it, a little more when there is room.
func pacedTo(share int, strain float64) int {
	switch {
	case strain >= 1:
		return 0
	case strain >= paceAbove:
		return share / 2
	case strain < paceBelow:
		return min(share+paceStep, 100)
	}
	return share
}

// strain returns the worst tail of the target's serving tasks as a share of its
// limit, and whether any serves there.
func (t *target) strain() (worst float64, serves bool) {
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

// shares reports whether tasks that serve and tasks that fill are on the target.
func (t *target) shares() bool {
	fills := false
	for _, r := range t.runs {
		fills = fills || r.task.step.spec.BestEffortCPU
	}
	_, serves := t.strain()
	return fills && serves
}

// PaceAnswered takes in what became of an order to pace. One that was not carried
// out is given again with the next report.
func (m *Machine) PaceAnswered(target string, what order.Run, clock int64, err error, now time.Time) {
	t := m.targets[target]
	if t == nil {
		return
	}
	t.heardClock(clock, now)
	if r := t.runs[what]; r != nil && err != nil {
		r.share = 100
		t.pacedAt = time.Time{}
	}
}

// shareFound is the share at which a filling run is thought to work that an
// earlier leader started: it may have been slowed down to nothing, so it is let
// on from there.
const shareFound = paceStep

// shareOf returns the share at which a run that was found is thought to work.
func shareOf(s *step) int {
	if s.spec.BestEffortCPU {
		return shareFound
	}
	return 100
}

// crowds says how much a task that fills, or one that serves, would be disturbed
// or disturb on a target: the number of the others there.
func (t *target) crowds(s *step) int {
	n := 0
	for _, r := range t.runs {
		o := r.task.step.spec
		if (s.spec.BestEffortCPU && o.TailLimit > 0) || (s.spec.TailLimit > 0 && o.BestEffortCPU) {
			n++
		}
	}
	return n
}
