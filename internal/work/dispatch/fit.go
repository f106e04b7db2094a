package dispatch

import (
	"cmp"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// suits reports whether the step's tasks may run on the target at all.
func (s *step) suits(t *target, now time.Time) bool {
	return s.couldSuit(t, now) && s.permitted(t, now)
}

// couldSuit reports the same, whether or not there is leave to run the step there.
func (s *step) couldSuit(t *target, now time.Time) bool {
	return t.open(now) && t.Service == s.job.spec.Service && t.HasLabel(s.spec.Label) && !t.barredByTrial(s, now)
}

// spread returns how many more tasks of the step the limit per target allows.
func (s *step) spread(t *target) int {
	if s.spec.PerTarget == 0 {
		return len(s.tasks)
	}
	n := s.spec.PerTarget
	for r := range t.runs {
		if r.Task.StepID == s.id {
			n--
		}
	}
	return n
}

// choose returns the target on which a task fits best, or nil.
func (m *Machine) choose(x *task, now time.Time) *target {
	s := x.step
	charge := s.spec.Charge()
	var best *target
	var bestFit fit
	m.considered += len(m.byID)
	for _, t := range m.byID {
		if !s.suits(t, now) || x.barred(t, now) || m.heldFor(t, s) || !charge.FitsIn(t.room()) || s.spread(t) <= 0 {
			continue
		}
		if f := m.fitOf(x, t, t.room(), now); best == nil || f.compare(bestFit) < 0 {
			best, bestFit = t, f
		}
	}
	return best
}

// fit says how well a task fits a target; lower is better, the first difference
// decides.
type fit struct {
	doubt    int // 1 if the target is not known to be sound and this is the last attempt, 2 if it is doubted or slow, or the task shuns it
	cold     int // 1 if the target is still slow after its start
	far      int // 1 if its data is on another rack
	crowded  int // tasks there that it would disturb, or that would disturb it
	stranded int // accelerators that nobody could use beside it and could before
	left     int // accelerators left free
	cpu      int // processor time left free
}

func (f fit) compare(o fit) int {
	return cmp.Or(
		cmp.Compare(f.doubt, o.doubt), cmp.Compare(f.cold, o.cold), cmp.Compare(f.far, o.far), cmp.Compare(f.crowded, o.crowded), cmp.Compare(f.stranded, o.stranded),
		cmp.Compare(f.left, o.left), cmp.Compare(f.cpu, o.cpu),
	)
}

// fitOf returns how well a task fits a target with the room.
func (m *Machine) fitOf(x *task, t *target, room graph.Resources, now time.Time) fit {
	charge := x.step.spec.Charge()
	after := room.Minus(charge)
	f := fit{crowded: t.crowds(x.step), left: after.Accelerators, cpu: after.CPU, stranded: m.stranded(after) - m.stranded(room)}
	switch {
	case x.tried().shuns(t) || t.health.Suspect(now) || t.health.Slow(now):
		f.doubt = 2
	case x.lastAttempt() && !t.health.ProvenSince(now.Add(-provenFor)):
		f.doubt = 1
	}
	if t.cold() {
		f.cold = 1
	}
	if rack := x.step.spec.DataRack; rack != "" && t.Rack != rack {
		f.far = 1
	}
	return f
}

// stranded returns how many free accelerators no task could use, for want of
// processor time or memory, if tasks were like the smallest seen lately. Large
// tasks that take few accelerators strand the others unless they are spread.
func (m *Machine) stranded(room graph.Resources) int {
	usable := room.Accelerators
	if m.smallest.CPU > 0 {
		usable = min(usable, room.CPU/m.smallest.CPU)
	}
	if m.smallest.MemoryMB > 0 {
		usable = min(usable, room.MemoryMB/m.smallest.MemoryMB)
	}
	return room.Accelerators - max(usable, 0)
}

// noteSize keeps the smallest needs of a task with one accelerator.
func (m *Machine) noteSize(spec *graph.Job) {
	for i := range spec.Steps {
		n := spec.Steps[i].Charge()
		if n.Accelerators != 1 || n.CPU == 0 {
			continue
		}
		if m.smallest.CPU == 0 || n.CPU < m.smallest.CPU {
			m.smallest = n
		}
	}
}

// heldFor reports whether a target is held back for a step that is more urgent.
func (m *Machine) heldFor(t *target, s *step) bool {
	for o := range m.heldBack[t] {
		if o != s {
			return true
		}
	}
	return false
}
