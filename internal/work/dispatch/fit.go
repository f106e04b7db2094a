package dispatch

import (
	"cmp"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// eligible reports whether the target may run the step's tasks, regardless of its free
// capacity.
func (s *step) eligible(t *target, now time.Time) bool {
	return s.eligibleWithoutAdvice(t, now) && s.permitted(t, now)
}

// eligibleWithoutAdvice is like eligible, but ignores whether the advice service permits
// the step there.
func (s *step) eligibleWithoutAdvice(t *target, now time.Time) bool {
	return t.acceptsWork(now) && t.Service == s.job.spec.Service && t.HasLabel(s.spec.Label) && !t.excludedByProbation(s, now)
}

// perTargetLeft returns how many more tasks of the step its limit per target allows on a
// target.
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

// chooseTarget returns the target that fits a task best, or nil if it fits none.
func (m *Machine) chooseTarget(x *task, now time.Time) *target {
	s := x.step
	charge := s.spec.Charge()
	var best, withheld *target
	var bestFit fit
	m.targetsConsidered += len(m.sortedTargets)
	kept := m.keptFrom(s, now)
	for _, t := range m.sortedTargets {
		if !s.eligible(t, now) || x.excludes(t, now) || m.reservedForOther(t, s) || !charge.FitsIn(t.freeCapacity()) || s.perTargetLeft(t) <= 0 || m.startsTooClose(x, t, now) {
			continue
		}
		if kept != nil && !charge.FitsIn(kept.besides(t)) {
			withheld = t
			continue
		}
		if f := m.fitOf(x, t, t.freeCapacity(), now); best == nil || f.compare(bestFit) < 0 {
			best, bestFit = t, f
		}
	}
	if best == nil && withheld != nil {
		m.recordWithheld(s, kept.besides(withheld), now)
	}
	return best
}

// fit rates a target for a task. Fits are compared field by field in order; lower is
// better.
type fit struct {
	// risk is 1 if the target is not proven and this is the last attempt, 2 if the target
	// is suspect or slow, the task avoids it, or the task is a suspect and the target new.
	risk             int
	exposed          int // runs that would be lost with the target, if the task is isolated
	cold             int // 1 if the target is warming up
	remote           int // 1 if the task's data is on another rack
	silent           int // 1 if the target may be cut off like the one with which the task was lost
	interference     int // number of tasks there that would disturb it or that it would disturb
	stranded         int // accelerators that other tasks could use now, but not beside this one
	speed            int // by step.speedRank; 0 if all targets are alike
	acceleratorsLeft int // accelerators left free
	cpuLeft          int // CPU left free
}

func (f fit) compare(o fit) int {
	return cmp.Or(
		cmp.Compare(f.risk, o.risk), cmp.Compare(f.exposed, o.exposed), cmp.Compare(f.cold, o.cold), cmp.Compare(f.remote, o.remote), cmp.Compare(f.silent, o.silent), cmp.Compare(f.interference, o.interference), cmp.Compare(f.stranded, o.stranded),
		cmp.Compare(f.speed, o.speed), cmp.Compare(f.acceleratorsLeft, o.acceleratorsLeft), cmp.Compare(f.cpuLeft, o.cpuLeft),
	)
}

// fitOf rates a target with some free capacity for a task.
func (m *Machine) fitOf(x *task, t *target, free graph.Resources, now time.Time) fit {
	charge := x.step.spec.Charge()
	remaining := free.Minus(charge)
	f := fit{interference: t.interference(x.step), speed: x.step.speedRank(t), acceleratorsLeft: remaining.Accelerators, cpuLeft: remaining.CPU, stranded: m.stranded(remaining) - m.stranded(free)}
	switch {
	case x.attempts().avoids(t) || t.health.Suspect(now) || t.health.Slow(now) || x.suspicion() > 0 && !t.settled(now):
		f.risk = 2
	case x.onLastAttempt() && !t.health.ProvenSince(now.Add(-provenTime)):
		f.risk = 1
	}
	if x.isolated() {
		f.exposed = len(t.runs)
	}
	if t.cold() {
		f.cold = 1
	}
	if rack := x.step.spec.DataRack; rack != "" && t.Rack != rack {
		f.remote = 1
	}
	if x.mayBeCutOff(t, now) {
		f.silent = 1
	}
	return f
}

// stranded returns how many free accelerators no task could use for lack of CPU or
// memory, if all tasks needed as much as the smallest one seen. Large tasks with few
// accelerators strand the others of a target unless they are spread.
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

// updateSmallestTask updates the smallest needs seen of a task with one accelerator.
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

// reservedForOther reports whether a target is reserved for another, more urgent step.
func (m *Machine) reservedForOther(t *target, s *step) bool {
	for o := range m.reserved[t] {
		if o != s {
			return true
		}
	}
	return false
}
