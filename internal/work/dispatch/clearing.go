package dispatch

import (
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
	var bestCost float64
	for _, t := range m.byID {
		if !s.suits(t, now) || m.heldFor(t, s) || s.spread(t) <= 0 || x.shuns(t) {
			continue
		}
		if _, cost, ok := c.cheapest(t); ok && (best == nil || cost < bestCost) {
			best, bestCost = t, cost
		}
	}
	if best == nil {
		return nil
	}
	if bestCost > m.allowedLoss(s, 1, now) {
		m.holdBack(s, []*target{best})
		return nil
	}
	c.take(best)
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
		if c.fillSet(set.targets) && (best == nil || c.cost < best.cost) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	if best.cost > m.allowedLoss(s, len(s.tasks), now) {
		m.holdBack(s, best.plan)
		return nil
	}
	m.stopVictims(best, now)
	return best.plan
}

// clearing is a plan to stop runs for the tasks of a step.
type clearing struct {
	step    *step
	now     time.Time
	charge  graph.Resources
	room    map[*target]graph.Resources // free if the victims are gone, less what is planned
	planned map[*target]int
	victims map[*run]bool
	plan    []*target
	cost    float64 // of all victims, in core-seconds of work that is lost
}

func (m *Machine) newClearing(s *step, now time.Time) *clearing {
	return &clearing{
		step: s, now: now, charge: s.spec.Charge(), room: map[*target]graph.Resources{},
		planned: map[*target]int{}, victims: map[*run]bool{},
	}
}

// fillSet plans all tasks of the step on a set, each where it costs least.
func (c *clearing) fillSet(set []*target) bool {
	for range c.step.tasks {
		var best *target
		var bestCost float64
		for _, t := range set {
			if c.step.spread(t)-c.planned[t] <= 0 {
				continue
			}
			if _, cost, ok := c.cheapest(t); ok && (best == nil || cost < bestCost) {
				best, bestCost = t, cost
			}
		}
		if best == nil {
			return false
		}
		c.take(best)
	}
	return true
}

// free returns the room on a target under the plan, once the runs that are
// being stopped there have ended.
func (c *clearing) free(t *target) graph.Resources {
	if r, ok := c.room[t]; ok {
		return r
	}
	room := t.room()
	for _, r := range t.runs {
		if r.phase == stopping {
			room = room.Plus(r.charge)
		}
	}
	return room
}

// cheapest returns the runs to stop on a target so that one more task fits, and
// what that costs.
func (c *clearing) cheapest(t *target) (victims []*run, cost float64, ok bool) {
	free := c.free(t)
	if c.charge.Within(free) {
		return nil, 0, true
	}
	for _, r := range c.candidates(t) {
		victims = append(victims, r)
		free = free.Plus(r.charge)
		if c.charge.Within(free) {
			return c.prune(victims, free)
		}
	}
	return nil, 0, false
}

// prune drops victims that turned out not to be needed, the dearest first.
func (c *clearing) prune(victims []*run, free graph.Resources) ([]*run, float64, bool) {
	needed := victims[:0:0]
	cost := 0.0
	for i := len(victims) - 1; i >= 0; i-- {
		r := victims[i]
		if c.charge.Within(free.Minus(r.charge)) {
			free = free.Minus(r.charge)
			continue
		}
		needed = append(needed, r)
		cost += lossOf(r, c.now)
	}
	return needed, cost, true
}

// candidates returns the runs that may be stopped on a target, the cheapest
// first.
func (c *clearing) candidates(t *target) []*run {
	var list []*run
	for _, r := range t.sortedRuns() {
		if c.victims[r] || (r.phase != running && r.phase != starting) {
			continue
		}
		s := r.task.step
		if s.job.spec.Priority <= c.step.job.spec.Priority || s.spec.Lasting {
			continue
		}
		list = append(list, r)
	}
	slices.SortStableFunc(list, func(a, b *run) int {
		la, lb := lossOf(a, c.now), lossOf(b, c.now)
		switch {
		case la < lb:
			return -1
		case la > lb:
			return 1
		}
		return 0
	})
	return list
}

// take plans one more task on a target.
func (c *clearing) take(t *target) {
	victims, cost, _ := c.cheapest(t)
	free := c.free(t)
	for _, r := range victims {
		c.victims[r] = true
		free = free.Plus(r.charge)
		c.addGang(r)
	}
	c.room[t] = free.Minus(c.charge)
	c.planned[t]++
	c.plan = append(c.plan, t)
	c.cost += cost
}

// addGang counts the other members of a victim's gang as free, too: they end
// with it.
func (c *clearing) addGang(r *run) {
	s := r.task.step
	if !s.spec.Gang {
		return
	}
	for _, x := range s.tasks {
		for _, o := range x.runs {
			if o == r || c.victims[o] || o.phase == stopping {
				continue
			}
			c.victims[o] = true
			c.room[o.target] = c.free(o.target).Plus(o.charge)
		}
	}
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
func lossOf(r *run, now time.Time) float64 {
	s := r.task.step
	if !s.spec.Gang {
		return weight(s.spec.Needs) * (unsaved(r, now) + restartLoss)
	}
	loss := 0.0
	for _, x := range s.tasks {
		for _, o := range x.runs {
			loss += weight(s.spec.Needs) * (unsaved(o, now) + restartLoss)
		}
	}
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
