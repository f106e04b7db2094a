package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// clearFor makes room for a task of priority 0 by stopping work of lower
// priority on one target, at the least cost, and returns that target; nil if
// none can be cleared.
func (m *Machine) clearFor(x *task, now time.Time) *target {
	s := x.step
	c := m.newClearing(s, now)
	var best *target
	var bestOffer offer
	m.considered += len(m.byID)
	for _, t := range m.byID {
		if !s.suits(t, now) || m.heldFor(t, s) || x.tried().shuns(t) {
			continue
		}
		if o := c.offer(t); o.ok && (best == nil || o.cost < bestOffer.cost) {
			best, bestOffer = t, o
		}
	}
	if best == nil {
		return nil
	}
	if bestOffer.cost > m.allowedLoss(s, 1, now) {
		m.holdBack(s, []*target{best})
		return nil
	}
	c.take(best, bestOffer)
	m.stopVictims(c, now)
	return best
}

// holdBack keeps targets free of less urgent work, for a step that waits for
// room there: else each bit that comes free would go to tasks that need less.
func (m *Machine) holdBack(s *step, targets []*target) {
	if m.heldBack == nil {
		m.heldBack = map[*target]map[*step]bool{}
	}
	for _, t := range targets {
		if m.heldBack[t] == nil {
			m.heldBack[t] = map[*step]bool{}
		}
		m.heldBack[t][s] = true
	}
}

// clearForGang makes room for a gang on one of the sets, at the least cost, and
// returns a target for each of its tasks; nil if none can be cleared, or only at
// a cost that is not allowed yet.
func (m *Machine) clearForGang(s *step, sets []set, now time.Time) []*target {
	var best *clearing
	for _, set := range sets {
		c := m.newClearing(s, now)
		if best != nil {
			c.most = best.cost
		}
		if c.fillSet(set.targets) {
			best = c
		}
	}
	s.wanted = nil
	if best == nil {
		return nil
	}
	if best.cost > m.allowedLoss(s, len(s.tasks), now) {
		s.wanted = best.plan
		m.holdBack(s, best.plan)
		return nil
	}
	m.stopVictims(best, now)
	return best.plan
}

// victim is a run that may be stopped for work of priority 0.
type victim struct {
	run  *run
	loss float64 // core-seconds thrown away; of a gang's member, what the gang loses
}

// clearing is a plan to stop runs for the tasks of a step.
type clearing struct {
	m       *Machine
	step    *step
	now     time.Time
	charge  graph.Resources
	room    map[*target]graph.Resources // free if the victims are gone, less what is planned
	planned map[*target]int
	victims map[*run]bool
	plan    []*target
	cost    float64 // of all victims
	most    float64 // a plan is of no use whose cost reaches it
}

func (m *Machine) newClearing(s *step, now time.Time) *clearing {
	return &clearing{m: m, step: s, now: now, charge: s.spec.Charge(), most: math.Inf(1)}
}

// fillSet plans all tasks of the step on a set, each where it costs least. It gives up
// as soon as that costs too much: most sets are no better than the best so far.
func (c *clearing) fillSet(set []*target) bool {
	if !c.couldHold(set) {
		return false
	}
	offers := make([]offer, len(set))
	for i, t := range set {
		offers[i] = c.offer(t)
	}
	for range c.step.tasks {
		best := -1
		for i := range offers {
			if offers[i].ok && (best < 0 || offers[i].cost < offers[best].cost) {
				best = i
			}
		}
		if best < 0 {
			return false
		}
		if c.cost+offers[best].cost >= c.most {
			return false
		}
		gangs := c.take(set[best], offers[best])
		for i, t := range set {
			if i == best || gangs {
				offers[i] = c.offer(t)
			}
		}
	}
	return true
}

// couldHold reports whether the tasks fit if all that may be stopped is.
func (c *clearing) couldHold(set []*target) bool {
	n := 0
	for _, t := range set {
		n += min(fitting(c.charge, c.m.clearable(t, c.now)), max(c.step.spread(t), 0))
		if n >= len(c.step.tasks) {
			break
		}
	}
	c.m.considered += len(set)
	return n >= len(c.step.tasks)
}

// clearable returns the room on a target if all that may be stopped there is.
func (m *Machine) clearable(t *target, now time.Time) graph.Resources {
	if room, ok := m.pass.clearable[t]; ok {
		return room
	}
	room := t.roomAfterStops()
	for _, v := range m.victimsOn(t, now) {
		room = room.Plus(v.run.charge)
	}
	m.pass.clearable[t] = room
	return room
}

// roomAfterStops returns the room on a target once the runs that are being stopped
// there have ended.
func (t *target) roomAfterStops() graph.Resources {
	room := t.room()
	for _, r := range t.runs {
		if r.phase == stopping {
			room = room.Plus(r.charge)
		}
	}
	return room
}

// free returns the room on a target under the plan, once the runs that are
// being stopped there have ended.
func (c *clearing) free(t *target) graph.Resources {
	if r, ok := c.room[t]; ok {
		return r
	}
	return t.roomAfterStops()
}

// offer is what one more task on a target would cost.
type offer struct {
	victims []victim // to stop
	cost    float64
	ok      bool // it can be had
}

// offer returns the runs to stop on a target so that one more task fits: the
// cheapest first, without those that turn out not to be needed.
func (c *clearing) offer(t *target) offer {
	c.m.considered++
	if c.step.spread(t)-c.planned[t] <= 0 {
		return offer{}
	}
	free := c.free(t)
	if c.charge.FitsIn(free) {
		return offer{ok: true}
	}
	var list []victim
	for _, v := range c.m.victimsOn(t, c.now) {
		if c.victims[v.run] {
			continue
		}
		list = append(list, v)
		free = free.Plus(v.run.charge)
		if c.charge.FitsIn(free) {
			return c.prune(list, free)
		}
	}
	return offer{}
}

// prune drops victims that are not needed, the dearest first.
func (c *clearing) prune(list []victim, free graph.Resources) offer {
	o := offer{ok: true}
	for i := len(list) - 1; i >= 0; i-- {
		if less := free.Minus(list[i].run.charge); c.charge.FitsIn(less) {
			free = less
			continue
		}
		o.victims = append(o.victims, list[i])
		o.cost += list[i].loss
	}
	return o
}

// victimsOn returns the runs that may be stopped on a target for work of priority
// 0, the cheapest first.
func (m *Machine) victimsOn(t *target, now time.Time) []victim {
	if list, ok := m.pass.victims[t]; ok {
		return list
	}
	var list []victim
	for _, r := range t.sortedRuns() {
		s := r.task.step
		if (r.phase == running || r.phase == starting) && s.job.spec.Priority > 0 && !s.spec.LongRunning && !s.job.spec.AtMostOnce {
			list = append(list, victim{run: r, loss: m.lossOf(r, now)})
		}
	}
	slices.SortStableFunc(list, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	m.pass.victims[t] = list
	m.considered += len(list)
	return list
}

// take plans one more task on a target. It reports whether a gang is stopped for
// it, which makes room elsewhere, too.
func (c *clearing) take(t *target, o offer) (gangs bool) {
	if c.room == nil { // most plans end before anything is taken
		c.room, c.planned, c.victims = map[*target]graph.Resources{}, map[*target]int{}, map[*run]bool{}
	}
	free := c.free(t)
	for _, v := range o.victims {
		c.victims[v.run] = true
		free = free.Plus(v.run.charge)
	}
	c.room[t] = free.Minus(c.charge)
	for _, v := range o.victims {
		gangs = c.addGang(v.run) || gangs
	}
	c.planned[t]++
	c.plan = append(c.plan, t)
	c.cost += o.cost
	return gangs
}

// addGang counts the other members of a victim's gang as free, too: they end
// with it.
func (c *clearing) addGang(r *run) bool {
	s := r.task.step
	if !s.spec.Gang {
		return false
	}
	for _, x := range s.tasks {
		for _, o := range x.runs {
			if c.victims[o] || o.phase == stopping {
				continue
			}
			c.victims[o] = true
			c.room[o.target] = c.free(o.target).Plus(o.charge)
		}
	}
	return true
}

// stopVictims stops the runs of a plan.
func (m *Machine) stopVictims(c *clearing, now time.Time) {
	list := make([]*run, 0, len(c.victims))
	for r := range c.victims {
		list = append(list, r)
	}
	slices.SortFunc(list, compareRuns)
	size := weight(c.step.spec.Needs) * c.step.spec.Estimate.Seconds() * float64(len(c.plan))
	m.log.Decided("room cleared", "step", c.step.id, "runs", len(list), "lossCoreS", int(c.cost), "gainCoreS", int(size), "waitedMS", m.wallMS(now)-c.step.anchor())
	for _, r := range list {
		m.stop(r, "room for "+c.step.id.String(), now)
		m.pass.changed(r.target) // it cannot be stopped again in this pass
	}
}

// acceleratorCores is the number of cores that an accelerator counts for when
// work is weighed: the price list of the platform says so.
const acceleratorCores = 8

// weight returns what a task takes in cores, accelerators counted in.
func weight(r graph.Resources) float64 {
	return float64(r.CPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// restartLoss is what a stop costs beside the lost work, in seconds of the run:
// stopping, starting again and resuming.
const restartLoss = 0.5

// lossOf returns what stopping a run throws away, in core-seconds; of a gang's
// member, what the whole gang loses.
func (m *Machine) lossOf(r *run, now time.Time) float64 {
	s := r.task.step
	if !s.spec.Gang {
		return weight(s.spec.Needs) * (unsaved(r, now) + restartLoss)
	}
	if loss, ok := m.pass.losses[s]; ok {
		return loss
	}
	loss := 0.0
	for _, x := range s.tasks {
		for _, o := range x.runs {
			loss += weight(s.spec.Needs) * (unsaved(o, now) + restartLoss)
		}
	}
	m.pass.losses[s] = loss
	return loss
}

// unsaved returns how many seconds of work a stop would throw away. A
// checkpointing run saves at a stop.
func unsaved(r *run, now time.Time) float64 {
	if r.beganAt.IsZero() || r.task.step.spec.Checkpointing {
		return 0
	}
	return now.Sub(r.beganAt).Seconds()
}
