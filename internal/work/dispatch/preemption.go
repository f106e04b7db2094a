package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// preemptFor preempts work of lower priority for a task of priority 0 on the target where
// that loses the least work, or on a faster one where it loses about as much, and returns the target. It returns nil if preemption does not
// free enough on any target, or if the loss is not allowed yet; then the target is
// reserved.
func (m *Machine) preemptFor(x *task, now time.Time) *target {
	s := x.step
	plan := m.newPreemptionPlan(s, now)
	var options []preemptionOption
	m.targetsConsidered += len(m.sortedTargets)
	for _, t := range m.sortedTargets {
		if !s.eligible(t, now) || m.reservedForOther(t, s) || x.attempts().avoids(t) || m.startsTooClose(x, t, now) {
			continue
		}
		if o := plan.optionOn(t); o.ok {
			o.target = t
			options = append(options, o)
		}
	}
	if len(options) == 0 {
		return nil
	}
	allowed := m.allowedLoss(s, 1, now)
	bestOption := m.bestOption(s, options, allowed)
	best := bestOption.target
	if bestOption.totalLoss > allowed {
		m.reserve(s, []*target{best})
		return nil
	}
	plan.addTask(best, bestOption)
	m.stopVictims(plan, now)
	return best
}

// reserve keeps less urgent work off targets on which a step awaits capacity. Otherwise
// tasks that need less would take each bit of capacity that is freed.
func (m *Machine) reserve(s *step, targets []*target) {
	if m.reserved == nil {
		m.reserved = map[*target]map[*step]bool{}
	}
	for _, t := range targets {
		if m.reserved[t] == nil {
			m.reserved[t] = map[*step]bool{}
		}
		m.reserved[t][s] = true
	}
}

// preemptForGang preempts work for a gang on the set where that loses the least work, or on a
// faster one where it loses about as much, and returns a target for each of its tasks. It returns nil if preemption does not free enough
// on any set, or if the loss is not allowed yet; then the planned targets are reserved.
func (m *Machine) preemptForGang(s *step, sets []targetSet, now time.Time) []*target {
	allowed := m.allowedLoss(s, len(s.tasks), now)
	var plans []*preemptionPlan
	least, limit := math.Inf(1), math.Inf(1)
	for _, set := range m.preemptionSets(s, sets) {
		plan := m.newPreemptionPlan(s, now)
		plan.maxLoss = limit
		if !plan.addAllTasks(set.targets) {
			continue
		}
		plans = append(plans, plan)
		if plan.totalLoss < least {
			least = plan.totalLoss
			limit = m.maxComparableLoss(s, least, allowed)
		}
	}
	s.reservation = nil
	best := fastestPlan(plans, limit)
	if best == nil {
		return nil
	}
	if best.totalLoss > allowed {
		s.reservation = best.targets
		m.reserve(s, best.targets)
		return nil
	}
	m.stopVictims(best, now)
	return best.targets
}

// victim is a run that may be stopped for work of priority 0.
type victim struct {
	run  *run
	loss float64 // lost work in core-seconds; of a gang's member, the loss of the whole gang
}

// preemptionPlan is a plan to preempt runs for the tasks of a step.
type preemptionPlan struct {
	m         *Machine
	step      *step
	now       time.Time
	charge    graph.Resources
	freeOn    map[*target]graph.Resources // free capacity once the victims have ended, minus the planned tasks
	planned   map[*target]int             // number of planned tasks
	victims   map[*run]bool
	targets   []*target // one for each planned task
	totalLoss float64   // of all victims
	maxLoss   float64   // planning stops when totalLoss reaches it
}

func (m *Machine) newPreemptionPlan(s *step, now time.Time) *preemptionPlan {
	return &preemptionPlan{m: m, step: s, now: now, charge: s.spec.Charge(), maxLoss: math.Inf(1)}
}

// addAllTasks plans all tasks of the step on a set, each where that loses the least work,
// and reports whether it succeeded. It stops as soon as the total loss reaches maxLoss,
// since most sets are no better than the best so far.
func (p *preemptionPlan) addAllTasks(set []*target) bool {
	if !p.fitsIfPreempted(set) {
		return false
	}
	options := make([]preemptionOption, len(set))
	for i, t := range set {
		options[i] = p.optionOn(t)
	}
	for range p.step.tasks {
		best := -1
		for i := range options {
			if options[i].ok && (best < 0 || options[i].totalLoss < options[best].totalLoss) {
				best = i
			}
		}
		if best < 0 {
			return false
		}
		if p.totalLoss+options[best].totalLoss >= p.maxLoss {
			return false
		}
		stopsGang := p.addTask(set[best], options[best])
		for i, t := range set {
			if i == best || stopsGang {
				options[i] = p.optionOn(t)
			}
		}
	}
	return true
}

// fitsIfPreempted reports whether the step's tasks fit on a set if all preemptible runs
// there stop.
func (p *preemptionPlan) fitsIfPreempted(set []*target) bool {
	n := 0
	for _, t := range set {
		n += min(tasksThatFit(p.charge, p.m.preemptibleCapacity(t, p.now)), max(p.step.perTargetLeft(t), 0))
		if n >= len(p.step.tasks) {
			break
		}
	}
	p.m.targetsConsidered += len(set)
	return n >= len(p.step.tasks)
}

// preemptibleCapacity returns the free capacity of a target if all preemptible runs there
// stop.
func (m *Machine) preemptibleCapacity(t *target, now time.Time) graph.Resources {
	if capacity, ok := m.pass.preemptibleCapacity[t]; ok {
		return capacity
	}
	free := t.freeAfterStops(now)
	for _, v := range m.victimsOn(t, now) {
		free = free.Plus(v.run.charge)
	}
	m.pass.preemptibleCapacity[t] = free
	return free
}

// freeAfterStops returns the free capacity of the target once its stopping runs have
// ended, except for those whose end is overdue.
func (t *target) freeAfterStops(now time.Time) graph.Resources {
	free := t.freeCapacity()
	for _, r := range t.runs {
		if r.endsSoon(now) {
			free = free.Plus(r.charge)
		}
	}
	return free
}

// free returns the free capacity of a target under the plan, once its stopping runs have
// ended.
func (p *preemptionPlan) free(t *target) graph.Resources {
	if r, ok := p.freeOn[t]; ok {
		return r
	}
	return t.freeAfterStops(p.now)
}

// preemptionOption is a way to fit one more task on a target.
type preemptionOption struct {
	victims   []victim // runs to stop
	totalLoss float64
	ok        bool    // the task can fit
	target    *target // set by preemptFor only
}

// optionOn returns the runs to stop on a target so that one more task fits. It takes the
// runs with the smallest losses until the task fits, and drops those that are not needed.
func (p *preemptionPlan) optionOn(t *target) preemptionOption {
	p.m.targetsConsidered++
	if p.step.perTargetLeft(t)-p.planned[t] <= 0 {
		return preemptionOption{}
	}
	free := p.free(t)
	if p.charge.FitsIn(free) {
		return preemptionOption{ok: true}
	}
	var list []victim
	for _, v := range p.m.victimsOn(t, p.now) {
		if p.victims[v.run] {
			continue
		}
		list = append(list, v)
		free = free.Plus(v.run.charge)
		if p.charge.FitsIn(free) {
			return p.prune(list, free)
		}
	}
	return preemptionOption{}
}

// prune drops victims that are not needed, those with the largest losses first.
func (p *preemptionPlan) prune(list []victim, free graph.Resources) preemptionOption {
	o := preemptionOption{ok: true}
	for i := len(list) - 1; i >= 0; i-- {
		if less := free.Minus(list[i].run.charge); p.charge.FitsIn(less) {
			free = less
			continue
		}
		o.victims = append(o.victims, list[i])
		o.totalLoss += list[i].loss
	}
	return o
}

// victimsOn returns the runs on a target that may be stopped for work of priority 0, those
// with the smallest losses first. There are none on a target that does not stop its runs: their work
// would be lost in vain.
func (m *Machine) victimsOn(t *target, now time.Time) []victim {
	if list, ok := m.pass.victims[t]; ok {
		return list
	}
	var list []victim
	overdue := t.stopOverdue(now)
	for _, r := range t.sortedRuns() {
		s := r.task.step
		if !overdue && (r.phase == running || r.phase == starting) && s.job.spec.Priority > 0 && !s.spec.LongRunning && !s.job.spec.AtMostOnce {
			list = append(list, victim{run: r, loss: m.lossOf(r, now)})
		}
	}
	slices.SortStableFunc(list, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	m.pass.victims[t] = list
	m.targetsConsidered += len(list)
	return list
}

// addTask plans one more task on a target. It reports whether that stops a gang, which
// frees capacity on other targets, too.
func (p *preemptionPlan) addTask(t *target, o preemptionOption) (stopsGang bool) {
	if p.freeOn == nil { // allocated here since most plans end before the first task
		p.freeOn, p.planned, p.victims = map[*target]graph.Resources{}, map[*target]int{}, map[*run]bool{}
	}
	free := p.free(t)
	for _, v := range o.victims {
		p.victims[v.run] = true
		free = free.Plus(v.run.charge)
	}
	p.freeOn[t] = free.Minus(p.charge)
	for _, v := range o.victims {
		stopsGang = p.addGangMembers(v.run) || stopsGang
	}
	p.planned[t]++
	p.targets = append(p.targets, t)
	p.totalLoss += o.totalLoss
	return stopsGang
}

// addGangMembers adds the other members of a victim's gang to the victims, since they end
// with it. It reports whether the victim is in a gang.
func (p *preemptionPlan) addGangMembers(r *run) bool {
	s := r.task.step
	if !s.spec.Gang {
		return false
	}
	for _, x := range s.tasks {
		for _, o := range x.runs {
			if p.victims[o] || o.phase == stopping {
				continue
			}
			p.victims[o] = true
			p.freeOn[o.target] = p.free(o.target).Plus(o.charge)
		}
	}
	return true
}

// stopVictims stops the runs of a plan.
func (m *Machine) stopVictims(plan *preemptionPlan, now time.Time) {
	list := make([]*run, 0, len(plan.victims))
	for r := range plan.victims {
		list = append(list, r)
	}
	slices.SortFunc(list, compareRuns)
	size := coreEquivalents(plan.step.spec.Needs) * plan.step.spec.Estimate.Seconds() * float64(len(plan.targets))
	m.log.Decided("runs preempted", "step", plan.step.id, "runs", len(list), "lossCoreS", int(plan.totalLoss), "gainCoreS", int(size), "waitedMS", m.wallMS(now)-plan.step.releaseTime())
	for _, r := range list {
		m.stop(r, preemptedFor(plan.step.id), now)
		m.pass.invalidate(r.target) // its runs cannot be stopped again in this pass
	}
}

// acceleratorCores is the number of cores that an accelerator counts for when work is
// compared, by the platform's price list.
const acceleratorCores = 8

// coreEquivalents returns the needs of a task in cores, accelerators included.
func coreEquivalents(r graph.Resources) float64 {
	return float64(r.CPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// restartLoss is the loss from a stop besides the unsaved work, in seconds of the run. It
// covers stopping, starting again and resuming.
const restartLoss = 0.5

// lossOf returns the loss from stopping a run, in core-seconds. For a gang's member, it is
// the loss of the whole gang.
func (m *Machine) lossOf(r *run, now time.Time) float64 {
	s := r.task.step
	if !s.spec.Gang {
		return coreEquivalents(s.spec.Needs) * (unsavedSeconds(r, now) + restartLoss)
	}
	if loss, ok := m.pass.losses[s]; ok {
		return loss
	}
	loss := 0.0
	for _, x := range s.tasks {
		for _, o := range x.runs {
			loss += coreEquivalents(s.spec.Needs) * (unsavedSeconds(o, now) + restartLoss)
		}
	}
	m.pass.losses[s] = loss
	return loss
}

// unsavedSeconds returns how many seconds of work a stop would lose. A checkpointing run
// loses none, since it saves a checkpoint when it is stopped.
func unsavedSeconds(r *run, now time.Time) float64 {
	if r.beganAt.IsZero() || r.task.step.spec.Checkpointing {
		return 0
	}
	return now.Sub(r.beganAt).Seconds()
}
