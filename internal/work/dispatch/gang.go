package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// placeGang places all tasks of a gang or none. Like placeStep it reports whether the step
// stays pending, which a gang does until it is done.
func (m *Machine) placeGang(s *step, now time.Time) bool {
	for _, x := range s.tasks {
		if len(x.runs) > 0 {
			return true
		}
	}
	if now.Before(s.pausedUntil) || s.attemptsMayBeExhausted(0, now) {
		return true
	}
	if len(m.tasksWithLosses) > 0 && slices.ContainsFunc(s.tasks, func(x *task) bool { return x.awaitsVerdict(now) }) {
		return true
	}
	plan := m.planGang(s, now)
	if plan == nil {
		return true
	}
	number := s.highestGangRun + 1
	s.highestGangRun = number
	runs := make([]*run, len(s.tasks))
	for i, x := range s.tasks {
		runs[i] = m.place(x, plan[i], number, now)
	}
	m.recordIfFits(runs, now)
	return true
}

// targetSet is a set of candidate targets for a gang.
type targetSet struct {
	targets   []*target
	slowdowns int // how many times Bounds.RemoteSlowdown applies to the gang there: 0 to 2
}

// targetSets returns the sets of targets that could hold the whole gang if they were
// empty but for long-running tasks, the fastest ones for the gang first; there is at least
// one. A gang that wants one rack may run on several, and one whose data is on a rack may run
// on another, but slower.
func (m *Machine) targetSets(s *step, now time.Time) []targetSet {
	m.targetsConsidered += len(m.sortedTargets)
	var all []*target
	var list []targetSet
	for _, rack := range m.targetsByRack() {
		set := targetSet{}
		if s.spec.DataRack != "" && rack[0].Rack != s.spec.DataRack {
			set.slowdowns++
		}
		for _, t := range rack {
			if s.eligible(t, now) && !s.tasks[0].excludes(t, now) && !m.startsTooClose(s.tasks[0], t, now) {
				set.targets = append(set.targets, t)
			}
		}
		all = append(all, set.targets...)
		if s.fitsIfEmpty(set.targets) {
			list = append(list, set)
		}
	}
	if !s.spec.SameRack && s.spec.DataRack == "" {
		return []targetSet{{targets: all}}
	}
	allTargets := targetSet{targets: all}
	if s.spec.DataRack != "" {
		allTargets.slowdowns++
	}
	if s.spec.SameRack {
		allTargets.slowdowns++
	}
	list = append(list, allTargets)
	slices.SortStableFunc(list, func(a, b targetSet) int { return cmp.Compare(a.slowdowns, b.slowdowns) })
	return list
}

// targetsByRack returns the targets grouped by rack. Those without a rack form one group.
func (m *Machine) targetsByRack() [][]*target {
	if m.racks != nil {
		return m.racks
	}
	inOrder := slices.Clone(m.sortedTargets)
	slices.SortStableFunc(inOrder, func(a, b *target) int { return strings.Compare(a.Rack, b.Rack) })
	for first, i := 0, 1; i <= len(inOrder); i++ {
		if i == len(inOrder) || inOrder[i].Rack != inOrder[first].Rack {
			m.racks = append(m.racks, inOrder[first:i])
			first = i
		}
	}
	return m.racks
}

// fitsIfEmpty reports whether the targets could hold the gang if all runs there had ended that do
// end.
func (s *step) fitsIfEmpty(targets []*target) bool {
	n := 0
	for _, t := range targets {
		n += s.tasksThatFitIfEmpty(t)
	}
	return n >= len(s.tasks)
}

// tasksThatFitIfEmpty returns how many tasks of the step fit on a target if all runs there had ended that do
// end.
func (s *step) tasksThatFitIfEmpty(t *target) int {
	return min(tasksThatFit(s.spec.Charge(), t.Capacity.Minus(t.lasting)), max(s.perTargetLeft(t), 0))
}

// tasksThatFit returns how many tasks of a charge fit into free capacity.
func tasksThatFit(charge, free graph.Resources) int {
	n := maxTasksPerTarget
	if charge.CPU > 0 {
		n = min(n, free.CPU/charge.CPU)
	}
	if charge.MemoryMB > 0 {
		n = min(n, free.MemoryMB/charge.MemoryMB)
	}
	if charge.Accelerators > 0 {
		n = min(n, free.Accelerators/charge.Accelerators)
	}
	return max(n, 0)
}

// maxTasksPerTarget bounds how many tasks are taken to fit a target if they need nothing.
const maxTasksPerTarget = 1024

// planGang returns a target for each task of a gang, or nil. Sets on which the gang runs
// equally fast are tried together, first without and then with preemption. On a slower
// set, the gang would hold its accelerators longer by the slowdown, which costs others
// more than the gang's wait. It therefore takes a slower set only if it must begin now, if
// waiting cannot earn any value any more, or if it has waited while most capacity is free.
func (m *Machine) planGang(s *step, now time.Time) []*target {
	slower := m.takesSlowerSet(s, now)
	unplaceable, preempt := m.isUnplaceable(s, slower, now), m.mayPreempt(s, now)
	if unplaceable && !preempt {
		m.reserve(s, s.reservation)
		return nil
	}
	consideredBefore := m.targetsConsidered
	sets := m.targetSets(s, now)
	slowdowns := 0
	for first := 0; first < len(sets); {
		slowdowns = sets[first].slowdowns
		last := first
		for last < len(sets) && sets[last].slowdowns == sets[first].slowdowns {
			last++
		}
		if plan := m.planOnSets(s, sets[first:last], unplaceable, preempt, now); plan != nil {
			return plan
		}
		if !slower {
			break
		}
		first = last
	}
	m.pass.recordUnplaceable(s, slowdowns, m.keptFrom(s, now) != nil)
	if preempt {
		s.nextPreemptionAt = now.Add(min(time.Duration(m.targetsConsidered-consideredBefore)*preemptionPausePerTarget, maxPreemptionPause))
	} else {
		m.reserve(s, s.reservation)
	}
	return nil
}

// planOnSets plans a gang on the set with the best speed for it, and of equally good ones on the set
// that is left with the fewest free accelerators. If
// the gang fits none, or unplaceable says so, and preemption is allowed, it plans on the
// set where preemption loses the least work.
func (m *Machine) planOnSets(s *step, sets []targetSet, unplaceable, preempt bool, now time.Time) []*target {
	var best gangPlan
	for _, set := range sets {
		if unplaceable {
			break
		}
		if plan := m.planOnSet(s, set.targets, now); plan.betterThan(best) {
			best = plan
		}
	}
	if best.targets == nil && preempt {
		return m.preemptForGang(s, sets, now)
	}
	if best.targets == nil && !unplaceable {
		m.recordIfWithheld(s, sets, now)
	}
	return best.targets
}

// Pauses between two searches for work to preempt for a step. Without them, a burst of
// urgent gangs takes the whole processor of a host with many targets.
const (
	preemptionPausePerTarget = 50 * time.Microsecond  // for each target considered
	maxPreemptionPause       = 200 * time.Millisecond // upper limit; the runs change little in that time
)

// mayPreempt reports whether work may be preempted for a step now.
func (m *Machine) mayPreempt(s *step, now time.Time) bool {
	return s.job.spec.Priority == 0 && (!now.Before(s.nextPreemptionAt) || m.guaranteeDue(s, now))
}

// unplaceableGang is a gang that did not fit in this pass without preemption. A gang that
// needs more does not fit either.
type unplaceableGang struct {
	step      *step
	slowdowns int  // of the slowest sets that were tried
	besides   bool // only capacity beside what is kept free was tried
}

// recordUnplaceable records that a gang did not fit on sets with up to a number of slowdowns,
// unless it is kept from targets that others may use. besides is whether only capacity beside
// what is kept free was tried.
func (p *pass) recordUnplaceable(s *step, slowdowns int, besides bool) {
	if len(s.gangAttempts.avoidedTargets) == 0 && s.spec.PerTarget == 0 && !s.gangIsolated && !s.job.spec.Advised {
		p.unplaceable = append(p.unplaceable, unplaceableGang{s, slowdowns, besides})
	}
}

// isUnplaceable reports whether a gang that needs no more than this one did not fit in this pass
// on the sets that would be tried for this one. Free capacity only shrinks within a pass, since runs
// that are stopped end later.
func (m *Machine) isUnplaceable(s *step, slower bool, now time.Time) bool {
	tried := -1
	for _, n := range m.pass.unplaceable {
		o := n.step
		if n.besides && m.keptFrom(s, now) == nil {
			continue
		}
		similar := o.job.spec.Service == s.job.spec.Service && o.spec.Label == s.spec.Label && o.spec.DataRack == s.spec.DataRack && o.spec.SameRack == s.spec.SameRack
		if similar && len(o.tasks) <= len(s.tasks) && o.spec.Charge().FitsIn(s.spec.Charge()) {
			tried = max(tried, n.slowdowns)
		}
	}
	switch {
	case tried < 0:
		return false
	case slower:
		return tried >= s.mostSlowdowns()
	}
	return tried >= s.mostSlowdowns() || tried >= m.targetSets(s, now)[0].slowdowns
}

// mostSlowdowns returns how many slowdowns the slowest set has that a gang may run on.
func (s *step) mostSlowdowns() int {
	n := 0
	if s.spec.DataRack != "" {
		n++
	}
	if s.spec.SameRack {
		n++
	}
	return n
}

// takesSlowerSet reports whether a gang may be placed on a set on which it runs more slowly.
func (m *Machine) takesSlowerSet(s *step, now time.Time) bool {
	nowMS := m.wallMS(now)
	if m.guaranteeDue(s, now) || nowMS > s.latestStartForValue() {
		return true
	}
	return now.Sub(s.waitingSince) >= min(s.spec.Estimate, maxIdleWait) && m.mostlyIdle(s.job.spec.Service, now)
}

// maxIdleWait bounds how long a gang waits for a faster set while most capacity is free: what
// it needs may be spread over the racks for good.
const maxIdleWait = 10 * time.Second

// mostlyIdle reports whether under half of each resource of a service's targets that may get work is
// in use in this pass.
func (m *Machine) mostlyIdle(service string, now time.Time) bool {
	if idle, ok := m.pass.idle[service]; ok {
		return idle
	}
	var used, usable graph.Resources
	for _, t := range m.sortedTargets {
		if t.Service == service && t.acceptsStarts(now) {
			used = used.Plus(t.used).Plus(t.waitingCharge)
			usable = usable.Plus(t.Capacity)
		}
	}
	m.pass.idle = put(m.pass.idle, service, used.Plus(used).FitsIn(usable))
	return m.pass.idle[service]
}

// planWithoutPreemption returns a plan that puts each task of a gang on the best fitting
// target of a set, and how many accelerators of the set the plan leaves free. The plan is
// nil if the gang does not fit in the free capacity.
func (m *Machine) planWithoutPreemption(s *step, targets []*target, now time.Time) (plan []*target, left int) {
	charge := s.spec.Charge()
	free := make([]graph.Resources, len(targets))
	slots := make([]int, len(targets))
	total := 0
	kept := m.keptFrom(s, now)
	for i, t := range targets {
		if !m.reservedForOther(t, s) {
			free[i], slots[i] = kept.besides(t), s.perTargetLeft(t)
		}
		total += min(tasksThatFit(charge, free[i]), max(slots[i], 0))
		left += free[i].Accelerators
	}
	m.targetsConsidered += len(targets)
	if total < len(s.tasks) {
		return nil, 0
	}
	m.targetsConsidered += len(targets) * len(s.tasks)
	for _, x := range s.tasks {
		best := -1
		var bestFit fit
		for i, t := range targets {
			if slots[i] <= 0 || !charge.FitsIn(free[i]) {
				continue
			}
			if f := m.fitOf(x, t, free[i], now); best < 0 || f.compare(bestFit) < 0 {
				best, bestFit = i, f
			}
		}
		free[best] = free[best].Minus(charge)
		slots[best]--
		plan = append(plan, targets[best])
	}
	return plan, left - len(plan)*charge.Accelerators
}

// recordIfFits records runs that were just placed if there is free capacity for all of
// them. Otherwise they await capacity.
func (m *Machine) recordIfFits(runs []*run, now time.Time) {
	if allFit(runs) {
		m.record(runs, now)
	}
}

// allFit reports whether the runs fit on their targets beside all runs that hold capacity
// there.
func allFit(runs []*run) bool {
	need := map[*target]graph.Resources{}
	for _, r := range runs {
		need[r.target] = need[r.target].Plus(r.charge)
	}
	for t, n := range need {
		if !n.FitsIn(t.Capacity.Minus(t.used)) {
			return false
		}
	}
	return true
}

// recordWaiting records waiting runs for which there is free capacity now, and releases
// those whose target accepts no work any more or has too little capacity left for them.
func (m *Machine) recordWaiting(now time.Time) {
	if !m.recheckWaiting {
		return
	}
	m.recheckWaiting = false
	for _, group := range m.waitingGroups() {
		lost := slices.ContainsFunc(group, func(r *run) bool { return !r.target.acceptsWork(now) || !r.target.canHoldWaiting(now) })
		switch {
		case lost:
			m.log.Decided("capacity not awaited any more", "task", group[0].Task, "run", group[0].Number, "target", group[0].target.ID, "runs", len(group), "waitedMS", now.Sub(group[0].placedAt).Milliseconds())
			for _, r := range group {
				m.release(r, now)
			}
		case allFit(group):
			m.record(group, now)
		}
	}
}

// awaitsCapacity reports whether a run still awaits capacity.
func (r *run) awaitsCapacity() bool { return r.phase == awaitingCapacity && r.target.runs[r.Run] == r }

// waitingGroups returns the runs that await capacity, in the order of placement: those of
// a gang as one group, each other run as its own.
func (m *Machine) waitingGroups() [][]*run {
	m.waitingRuns = slices.DeleteFunc(m.waitingRuns, func(r *run) bool { return !r.awaitsCapacity() })
	var groups [][]*run
	groupOf := map[*step]int{}
	for _, r := range m.waitingRuns {
		s := r.task.step
		if at, ok := groupOf[s]; ok && s.spec.Gang {
			groups[at] = append(groups[at], r)
			continue
		}
		groupOf[s] = len(groups)
		groups = append(groups, []*run{r})
	}
	return groups
}
