package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A gang is as slow as its slowest member: a fast target beside a slower one is wasted on it. So gangs
// are planned on targets of one speed first, and fast targets are left to urgent work while there are
// others. Targets are compared by speed.Estimate.Level, which is 0 for all if they count as alike.

// speedsDiffer reports whether the targets for a step count as unequally fast.
func (m *Machine) speedsDiffer(s *step) bool {
	of := m.speeds.byService[s.job.spec.Service]
	return of != nil && of.model.Spread() > 0
}

// speedRank rates the speed of a target for the step, lower is better. Urgent single tasks take the
// fastest targets. A gang that takes targets of several speeds takes the slowest first, since it gains
// nothing by the others. Other work leaves fast targets to urgent work.
func (s *step) speedRank(t *target) int {
	level := t.speedLevel
	switch {
	case s.job.spec.Priority == 0 && s.spec.Gang:
		return -level
	case s.job.spec.Priority == 0:
		return level
	case level < 0:
		return 1
	}
	return 0
}

// speedTier is a part of a set of targets for a gang.
type speedTier struct {
	rank    int // lower is better; 0 if all targets are alike
	targets []*target
}

// speedTiers returns the parts of a set on which a gang is planned, one after the other; the last is the
// whole set. For an urgent gang these are the fastest targets, these and the next slower ones, and so
// on. For any other, fast targets come last. Targets that are alike give the set alone.
func (s *step) speedTiers(targets []*target) []speedTier {
	levels := levelsOf(targets)
	if len(levels) <= 1 {
		return []speedTier{{rank: s.tierRank(levels), targets: targets}}
	}
	if s.job.spec.Priority > 0 {
		return notUrgentTiers(targets)
	}
	var tiers []speedTier
	for _, level := range levels[:len(levels)-1] {
		part := slices.DeleteFunc(slices.Clone(targets), func(t *target) bool { return t.speedLevel > level })
		tiers = append(tiers, speedTier{rank: level, targets: part})
	}
	return append(tiers, speedTier{rank: levels[len(levels)-1], targets: targets})
}

// notUrgentTiers returns the parts of a set for work that is not urgent: the targets that are neither
// fast nor slow, those that are not fast, and all.
func notUrgentTiers(targets []*target) []speedTier {
	var tiers []speedTier
	size := 0
	for rank, wanted := range []func(level int) bool{
		func(level int) bool { return level == 0 },
		func(level int) bool { return level >= 0 },
		func(int) bool { return true },
	} {
		part := slices.DeleteFunc(slices.Clone(targets), func(t *target) bool { return !wanted(t.speedLevel) })
		if len(part) > size {
			tiers, size = append(tiers, speedTier{rank, part}), len(part)
		}
	}
	return tiers
}

// tierRank returns the rank of a set whose targets have at most one level.
func (s *step) tierRank(levels []int) int {
	switch {
	case len(levels) == 0:
		return 0
	case s.job.spec.Priority == 0:
		return levels[0]
	case levels[0] < 0:
		return 2
	}
	return min(levels[0], 1)
}

// levelsOf returns the levels of speed among targets, the fastest first.
func levelsOf(targets []*target) []int {
	var levels []int
	for _, t := range targets {
		if level := t.speedLevel; !slices.Contains(levels, level) {
			levels = append(levels, level)
		}
	}
	slices.Sort(levels)
	return levels
}

// gangPlan is a plan of a gang without preemption.
type gangPlan struct {
	targets []*target // one for each task; nil: the gang does not fit
	rank    int       // of the tier that it uses
	left    int       // accelerators of the set that it leaves free
}

// betterThan reports whether the plan is better than another: on faster targets or, if those are
// equally fast, with fewer accelerators left free.
func (p gangPlan) betterThan(o gangPlan) bool {
	if p.targets == nil || o.targets == nil {
		return p.targets != nil
	}
	return cmp.Or(cmp.Compare(p.rank, o.rank), cmp.Compare(p.left, o.left)) < 0
}

// planOnSet plans a gang without preemption on the first tier of a set that has capacity for it.
func (m *Machine) planOnSet(s *step, set []*target, now time.Time) gangPlan {
	for _, tier := range s.speedTiers(set) {
		plan, left := m.planWithoutPreemption(s, tier.targets, now)
		if plan == nil {
			continue
		}
		if len(tier.targets) < len(set) {
			left = m.freeAccelerators(s, set) - len(plan)*s.spec.Charge().Accelerators
		}
		return gangPlan{targets: plan, rank: tier.rank, left: left}
	}
	return gangPlan{}
}

// freeAccelerators returns how many accelerators of a set a step may use now.
func (m *Machine) freeAccelerators(s *step, set []*target) int {
	n := 0
	for _, t := range set {
		if !m.reservedForOther(t, s) {
			n += t.freeCapacity().Accelerators
		}
	}
	return n
}

// comparableLoss is how many times the least loss a plan to preempt may cost if it is faster.
const comparableLoss = 1.25

// preemptionSets returns the sets on which preemption is planned for an urgent gang: the given ones, and
// then their faster parts.
func (m *Machine) preemptionSets(s *step, sets []targetSet) []targetSet {
	if !m.speedsDiffer(s) {
		return sets
	}
	all := slices.Clone(sets)
	for _, set := range sets {
		tiers := s.speedTiers(set.targets)
		for _, tier := range tiers[:len(tiers)-1] {
			all = append(all, targetSet{targets: tier.targets, slowdowns: set.slowdowns})
		}
	}
	return all
}

// maxComparableLoss returns the loss up to which a plan may be chosen for its speed if another costs the
// least loss. It is not allowed to cost more than is allowed, unless all do.
func (m *Machine) maxComparableLoss(s *step, least, allowed float64) float64 {
	limit := least
	if m.speedsDiffer(s) {
		limit *= comparableLoss
	}
	if least <= allowed {
		limit = min(limit, allowed)
	}
	return limit
}

// bestOption returns the option on the fastest target of those that cost about the least loss, the first
// of several that are alike.
func (m *Machine) bestOption(s *step, options []preemptionOption, allowed float64) preemptionOption {
	least := math.Inf(1)
	for _, o := range options {
		least = min(least, o.totalLoss)
	}
	limit := m.maxComparableLoss(s, least, allowed)
	options = slices.DeleteFunc(options, func(o preemptionOption) bool { return o.totalLoss > limit })
	return slices.MinFunc(options, func(a, b preemptionOption) int {
		return cmp.Or(cmp.Compare(a.target.speedLevel, b.target.speedLevel), cmp.Compare(a.totalLoss, b.totalLoss))
	})
}

// slowestLevel returns the highest level of speed among targets, of which there must be one.
func slowestLevel(targets []*target) int {
	levels := levelsOf(targets)
	return levels[len(levels)-1]
}

// fastestPlan returns the fastest of the plans that cost no more than a limit, and of equally fast ones
// the one with the least loss; nil for none.
func fastestPlan(plans []*preemptionPlan, limit float64) *preemptionPlan {
	var best *preemptionPlan
	for _, p := range plans {
		switch {
		case p.totalLoss > limit:
		case best == nil:
			best = p
		case cmp.Or(cmp.Compare(slowestLevel(p.targets), slowestLevel(best.targets)), cmp.Compare(p.totalLoss, best.totalLoss)) < 0:
			best = p
		}
	}
	return best
}
