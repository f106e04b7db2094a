package dispatch

import (
	"cmp"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// eligible reports whether the step's tasks may run on the target at all.
func (s *step) eligible(t *target, now time.Time) bool {
	return s.eligibleWithoutAdvice(t, now) && s.permitted(t, now)
}

// eligibleWithoutAdvice reports the same, whether or not there is leave to run the step there.
func (s *step) eligibleWithoutAdvice(t *target, now time.Time) bool {
	return t.acceptsWork(now) && t.Service == s.job.spec.Service && t.HasLabel(s.spec.Label) && !t.excludedByProbation(s, now)
}

// perTargetLeft returns how many more tasks of the step the limit per target allows.
func (s *step) perTargetLeft(t *target) int {
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

// chooseTarget returns the target on which a task fits best, or nil.
func (m *Machine) chooseTarget(x *task, now time.Time) *target {
	s := x.step
	charge := s.spec.Charge()
	var best *target
	var bestFit fit
	m.targetsConsidered += len(m.sortedTargets)
	for _, t := range m.sortedTargets {
		if !s.eligible(t, now) || x.excludes(t, now) || m.reservedForOther(t, s) || !charge.FitsIn(t.freeCapacity()) || s.perTargetLeft(t) <= 0 {
			continue
		}
		if f := m.fitOf(x, t, t.freeCapacity(), now); best == nil || f.compare(bestFit) < 0 {
			best, bestFit = t, f
		}
	}
	return best
}

// fit says how well a task fits a target; lower is better, the first difference
// decides.
type fit struct {
	risk             int // 1 if the target is not known to be sound and this is the last attempt, 2 if it is doubted or slow, or the task avoids it
	cold             int // 1 if the target is still slow after its start
	remote           int // 1 if its data is on another rack
	interference     int // tasks there that it would disturb, or that would disturb it
	stranded         int // accelerators that nobody could use beside it and could before
	acceleratorsLeft int // accelerators left free
	cpuLeft          int // processor time left free
}

func (f fit) compare(o fit) int {
	return cmp.Or(
		cmp.Compare(f.risk, o.risk), cmp.Compare(f.cold, o.cold), cmp.Compare(f.remote, o.remote), cmp.Compare(f.interference, o.interference), cmp.Compare(f.stranded, o.stranded),
		cmp.Compare(f.acceleratorsLeft, o.acceleratorsLeft), cmp.Compare(f.cpuLeft, o.cpuLeft),
	)
}

// fitOf returns how well a task fits a target with the room.
func (m *Machine) fitOf(x *task, t *target, free graph.Resources, now time.Time) fit {
	charge := x.step.spec.Charge()
	remaining := free.Minus(charge)
	f := fit{interference: t.interference(x.step), acceleratorsLeft: remaining.Accelerators, cpuLeft: remaining.CPU, stranded: m.stranded(remaining) - m.stranded(free)}
	switch {
	case x.attempts().avoids(t) || t.health.Suspect(now) || t.health.Slow(now):
		f.risk = 2
	case x.onLastAttempt() && !t.health.ProvenSince(now.Add(-provenTime)):
		f.risk = 1
	}
	if t.cold() {
		f.cold = 1
	}
	if rack := x.step.spec.DataRack; rack != "" && t.Rack != rack {
		f.remote = 1
	}
	return f
}

// stranded returns how many free accelerators no task could use, for want of
// processor time or memory, if tasks were like the smallest seen lately. Large
// tasks that take few accelerators strand the others unless they are spread.
func (m *Machine) stranded(free graph.Resources) int {
	usable := free.Accelerators
	if m.smallestTask.CPU > 0 {
		usable = min(usable, free.CPU/m.smallestTask.CPU)
	}
	if m.smallestTask.MemoryMB > 0 {
		usable = min(usable, free.MemoryMB/m.smallestTask.MemoryMB)
	}
	return free.Accelerators - max(usable, 0)
}

// updateSmallestTask keeps the smallest needs of a task with one accelerator.
func (m *Machine) updateSmallestTask(spec *graph.Job) {
	for i := range spec.Steps {
		n := spec.Steps[i].Charge()
		if n.Accelerators != 1 || n.CPU == 0 {
			continue
		}
		if m.smallestTask.CPU == 0 || n.CPU < m.smallestTask.CPU {
			m.smallestTask = n
		}
	}
}

// reservedForOther reports whether a target is reserved for a step that is more urgent.
func (m *Machine) reservedForOther(t *target, s *step) bool {
	for o := range m.reserved[t] {
		if o != s {
			return true
		}
	}
	return false
}
