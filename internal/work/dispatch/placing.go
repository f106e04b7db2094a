package dispatch

import (
	"cmp"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// Decide returns the commands that follow from what the machine was told since
// the last call: starts, stops, reports to ask for and progress to save.
func (m *Machine) Decide(now time.Time) []Command {
	if m.begun && m.changed && !m.deposed {
		m.changed = false
		m.startWaiting(now)
		m.schedule(now)
	}
	for _, t := range m.byID {
		m.holdIfDue(t, now)
	}
	m.flush(now)
	out := m.out
	m.out = nil
	if m.deposed {
		return nil
	}
	return out
}

// schedule gives the open steps targets, the most urgent first.
func (m *Machine) schedule(now time.Time) {
	wall := m.wallMS(now)
	slices.SortStableFunc(m.open, func(a, b *step) int { return compareSteps(a, b, wall) })
	blocked := m.heirsUnknown(now)
	kept := m.open[:0]
	for _, s := range m.open {
		if s.done || s.job.over() {
			s.listedOpen = false
			continue
		}
		more := true
		if !blocked || !s.job.restored {
			more = m.placeStep(s, now)
		}
		if more {
			kept = append(kept, s)
		} else {
			s.listedOpen = false
		}
	}
	clear(m.open[len(kept):])
	m.open = kept
}

// compareSteps puts the more urgent step first: by priority, then by the latest
// moment at which a start would still meet the objective.
func compareSteps(a, b *step, wall int64) int {
	return cmp.Or(
		cmp.Compare(a.job.spec.Priority, b.job.spec.Priority),
		cmp.Compare(a.latest(wall), b.latest(wall)),
	)
}

// latest returns the latest start that meets the objective of the step's job.
func (s *step) latest(int64) int64 {
	return s.anchor() + s.job.objective.Milliseconds() - s.spec.Estimate.Milliseconds()
}

// heirsUnknown reports whether a target may still run something that an earlier
// leader started and that has not been reported.
func (m *Machine) heirsUnknown(now time.Time) bool {
	if !m.blind || !now.Before(m.heirEnd) {
		return false
	}
	for _, t := range m.byID {
		if t.reach == unheld {
			return true
		}
	}
	return false
}

// placeStep places what it can of a step and reports whether something is left
// to place.
func (m *Machine) placeStep(s *step, now time.Time) bool {
	if s.spec.Gang {
		return m.placeGang(s, now)
	}
	left := false
	full := false
	for _, x := range s.tasks {
		if x.done || len(x.runs) > 0 {
			continue
		}
		if full || now.Before(x.pausedTo) {
			left = true
			continue
		}
		t := m.choose(x, now)
		if t == nil && s.job.spec.Priority == 0 {
			t = m.clearFor(x, now)
		}
		if t == nil {
			left = true
			full = len(x.avoid) == 0 // the other tasks are alike
			continue
		}
		m.startIfFits([]*run{m.place(x, t, x.highest+1, now)})
	}
	return left
}

// suits reports whether the step's tasks may run on the target at all.
func (s *step) suits(t *target, now time.Time) bool {
	return t.open(now) && t.Service == s.job.spec.Service && t.Has(s.spec.Label)
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

// choose returns the target on which a task fits best, or nil: near its data,
// not one on which it failed, with the least left over.
func (m *Machine) choose(x *task, now time.Time) *target {
	s := x.step
	charge := s.spec.Charge()
	var best *target
	for _, t := range m.byID {
		if !s.suits(t, now) || !charge.Within(t.room()) || s.spread(t) <= 0 {
			continue
		}
		if best == nil || x.better(t, best) {
			best = t
		}
	}
	return best
}

// better reports whether the task would rather run on a than on b.
func (x *task) better(a, b *target) bool {
	if fa, fb := x.avoid[a.ID], x.avoid[b.ID]; fa != fb {
		return fb
	}
	if rack := x.step.spec.DataRack; rack != "" && (a.Rack == rack) != (b.Rack == rack) {
		return a.Rack == rack
	}
	ra, rb := a.room(), b.room()
	return cmp.Or(cmp.Compare(ra.Accelerators, rb.Accelerators), cmp.Compare(ra.CPU, rb.CPU)) < 0
}

// placeGang places a gang whole, or not at all.
func (m *Machine) placeGang(s *step, now time.Time) bool {
	for _, x := range s.tasks {
		if len(x.runs) > 0 {
			return true
		}
	}
	if now.Before(s.pausedTo) {
		return true
	}
	plan := m.planGang(s, now)
	if plan == nil && s.job.spec.Priority == 0 {
		plan = m.clearForGang(s, now)
	}
	if plan == nil {
		return true
	}
	number := s.gangRun + 1
	s.gangRun = number
	runs := make([]*run, len(s.tasks))
	for i, x := range s.tasks {
		runs[i] = m.place(x, plan[i], number, now)
	}
	m.startIfFits(runs)
	return true
}

// groups returns the sets of targets of which one must hold the whole gang.
func (m *Machine) groups(s *step, now time.Time) [][]*target {
	byRack := map[string][]*target{}
	var racks []string
	for _, t := range m.byID {
		if !s.suits(t, now) {
			continue
		}
		rack := ""
		if s.spec.SameRack {
			rack = t.Rack
		}
		if s.spec.DataRack != "" && t.Rack != s.spec.DataRack && s.spec.SameRack {
			continue
		}
		if byRack[rack] == nil {
			racks = append(racks, rack)
		}
		byRack[rack] = append(byRack[rack], t)
	}
	slices.Sort(racks)
	sets := make([][]*target, 0, len(racks))
	for _, r := range racks {
		sets = append(sets, byRack[r])
	}
	return sets
}

// planGang returns a target for each task of a gang, or nil. Of several racks
// that could hold it, the one with the least room is taken.
func (m *Machine) planGang(s *step, now time.Time) []*target {
	var best []*target
	bestLeft := 0
	for _, set := range m.groups(s, now) {
		plan, left := fill(s, set)
		if plan != nil && (best == nil || left < bestLeft) {
			best, bestLeft = plan, left
		}
	}
	return best
}

// fill puts a gang's tasks on the targets of a set, the fullest first, and
// returns how many accelerators of the set are left free then.
func fill(s *step, set []*target) (plan []*target, left int) {
	charge := s.spec.Charge()
	set = slices.Clone(set)
	slices.SortStableFunc(set, func(a, b *target) int {
		return cmp.Compare(a.room().Accelerators, b.room().Accelerators)
	})
	for _, t := range set {
		room := t.room()
		left += room.Accelerators
		for n := s.spread(t); n > 0 && len(plan) < len(s.tasks) && charge.Within(room); n-- {
			room = room.Minus(charge)
			plan = append(plan, t)
		}
	}
	if len(plan) < len(s.tasks) {
		return nil, 0
	}
	return plan, left - len(plan)*charge.Accelerators
}

// startIfFits starts runs that were just placed if the room for all of them is
// free now; else they wait for it.
func (m *Machine) startIfFits(runs []*run) {
	if fitTogether(runs) {
		m.note(runs)
	}
}

// fitTogether reports whether what may exist on the runs' targets leaves room
// for all of them.
func fitTogether(runs []*run) bool {
	need := map[*target]graph.Resources{}
	for _, r := range runs {
		need[r.target] = need[r.target].Plus(r.charge)
	}
	for t, n := range need {
		if !n.Within(t.Capacity.Minus(t.used)) {
			return false
		}
	}
	return true
}

// startWaiting starts runs whose room has become free, and gives up those whose
// target takes no work any more.
func (m *Machine) startWaiting(now time.Time) {
	for _, group := range m.waitingGroups() {
		lost := slices.ContainsFunc(group, func(r *run) bool { return !r.target.open(now) })
		switch {
		case lost:
			for _, r := range group {
				m.release(r, now)
			}
		case fitTogether(group):
			m.note(group)
		}
	}
}

// waitingGroups returns the runs that wait for room: gangs together, others
// alone, in the order in which they were placed.
func (m *Machine) waitingGroups() [][]*run {
	var groups [][]*run
	gangs := map[*step]int{}
	for _, t := range m.byID {
		if t.promised == (graph.Resources{}) {
			continue
		}
		for _, r := range t.sortedRuns() {
			if r.phase != waiting {
				continue
			}
			s := r.task.step
			if at, ok := gangs[s]; ok && s.spec.Gang {
				groups[at] = append(groups[at], r)
				continue
			}
			gangs[s] = len(groups)
			groups = append(groups, []*run{r})
		}
	}
	slices.SortStableFunc(groups, func(a, b []*run) int { return a[0].placedAt.Compare(b[0].placedAt) })
	return groups
}
