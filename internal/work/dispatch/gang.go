package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// placeGang places a gang whole, or not at all. It reports whether the step must
// be looked at again.
func (m *Machine) placeGang(s *step, now time.Time) bool {
	for _, x := range s.tasks {
		if len(x.runs) > 0 {
			return true
		}
	}
	if now.Before(s.pausedTo) || s.mayBeSpent(0, now) {
		return true
	}
	plan := m.planGang(s, now)
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

// set is a set of targets that could hold a gang.
type set struct {
	targets []*target
	far     int // how often the gang runs slower there by the far factor: 0 to 2
}

// sets returns the sets of targets that could hold the whole gang if they were
// empty, those first on which it runs fastest. A gang that wants one rack still
// may run over several, and one whose data is on a rack on another, only slower.
func (m *Machine) sets(s *step, now time.Time) []set {
	m.considered += len(m.byID)
	var all []*target
	var list []set
	for _, rack := range m.racksInOrder() {
		c := set{}
		if s.spec.DataRack != "" && rack[0].Rack != s.spec.DataRack {
			c.far++
		}
		for _, t := range rack {
			if s.suits(t, now) && !s.tasks[0].barred(t, now) {
				c.targets = append(c.targets, t)
			}
		}
		all = append(all, c.targets...)
		if s.holds(c.targets) {
			list = append(list, c)
		}
	}
	if !s.spec.SameRack && s.spec.DataRack == "" {
		return []set{{targets: all}}
	}
	everywhere := set{targets: all}
	if s.spec.DataRack != "" {
		everywhere.far++
	}
	if s.spec.SameRack {
		everywhere.far++
	}
	list = append(list, everywhere)
	slices.SortStableFunc(list, func(a, b set) int { return cmp.Compare(a.far, b.far) })
	return list
}

// racksInOrder returns the targets by rack. Those of no rack are one.
func (m *Machine) racksInOrder() [][]*target {
	if m.racks != nil {
		return m.racks
	}
	inOrder := slices.Clone(m.byID)
	slices.SortStableFunc(inOrder, func(a, b *target) int { return strings.Compare(a.Rack, b.Rack) })
	for first, i := 0, 1; i <= len(inOrder); i++ {
		if i == len(inOrder) || inOrder[i].Rack != inOrder[first].Rack {
			m.racks = append(m.racks, inOrder[first:i])
			first = i
		}
	}
	return m.racks
}

// holds reports whether empty targets could hold the gang.
func (s *step) holds(targets []*target) bool {
	charge, n := s.spec.Charge(), 0
	for _, t := range targets {
		n += min(fitting(charge, t.Capacity), max(s.spread(t), 0))
	}
	return n >= len(s.tasks)
}

// fitting returns how many tasks fit into room.
func fitting(charge, room graph.Resources) int {
	n := maxTasksPerTarget
	if charge.CPU > 0 {
		n = min(n, room.CPU/charge.CPU)
	}
	if charge.MemoryMB > 0 {
		n = min(n, room.MemoryMB/charge.MemoryMB)
	}
	if charge.Accelerators > 0 {
		n = min(n, room.Accelerators/charge.Accelerators)
	}
	return max(n, 0)
}

// maxTasksPerTarget bounds how many tasks without needs are thought to fit a
// target.
const maxTasksPerTarget = 1024

// planGang returns a target for each task of a gang, or nil. Sets on which it
// runs equally fast are tried together: first as they are, then with room cleared
// for it. A gang on a slower set would hold its accelerators for as many times
// longer, which costs others more than its own wait: so it takes one only if it
// must begin now, or if nothing can be earned any more by waiting.
func (m *Machine) planGang(s *step, now time.Time) []*target {
	slower := m.mustBegin(s, now) || m.wallMS(now) > s.lastStart()
	full, may := m.pass.noRoomFor(s, slower), m.mayClear(s, now)
	if full && !may {
		m.holdBack(s, s.wanted)
		return nil
	}
	before := m.considered
	sets := m.sets(s, now)
	for first := 0; first < len(sets); {
		last := first
		for last < len(sets) && sets[last].far == sets[first].far {
			last++
		}
		if plan := m.planOn(s, sets[first:last], full, may, now); plan != nil {
			return plan
		}
		if !slower {
			break
		}
		first = last
	}
	m.pass.noteNoRoom(s, slower)
	if may {
		s.clearAt = now.Add(min(time.Duration(m.considered-before)*clearRest, clearEvery))
	} else {
		m.holdBack(s, s.wanted)
	}
	return nil
}

// planOn plans a gang on one of the sets: the one that is left with the least
// room or, if none has room and some may be cleared, the one that is cleared at the
// least cost. full tells that none has room.
func (m *Machine) planOn(s *step, sets []set, full, may bool, now time.Time) []*target {
	var best []*target
	bestLeft := 0
	for _, c := range sets {
		if full {
			break
		}
		if plan, left := m.fill(s, c.targets, now); plan != nil && (best == nil || left < bestLeft) {
			best, bestLeft = plan, left
		}
	}
	if best == nil && may {
		return m.clearForGang(s, sets, now)
	}
	return best
}

// Times between two looks for room to clear for a step: a burst of urgent gangs would
// otherwise take the whole processor of a host with many targets.
const (
	clearRest  = 50 * time.Microsecond  // for each target that was considered
	clearEvery = 200 * time.Millisecond // at most, in which what runs changes little
)

// mayClear reports whether room may be cleared for a step now.
func (m *Machine) mayClear(s *step, now time.Time) bool {
	return s.job.spec.Priority == 0 && (!now.Before(s.clearAt) || m.mustBegin(s, now))
}

// noRoom is a gang that found no room in this pass, nor will one that asks for more.
type noRoom struct {
	step   *step
	slower bool // sets were tried on which it runs slower
}

// noteNoRoom notes that a gang found no room, unless it was kept from targets that
// others may use.
func (p *pass) noteNoRoom(s *step, slower bool) {
	if len(s.tried.avoid) == 0 && s.spec.PerTarget == 0 {
		p.full = append(p.full, noRoom{s, slower})
	}
}

// noRoomFor reports whether a gang that asks for no more than this one found no room
// in this pass. Room only shrinks within one: what is stopped ends later.
func (p *pass) noRoomFor(s *step, slower bool) bool {
	for _, n := range p.full {
		o := n.step
		alike := o.job.spec.Service == s.job.spec.Service && o.spec.Label == s.spec.Label && o.spec.DataRack == s.spec.DataRack && o.spec.SameRack == s.spec.SameRack
		if alike && (n.slower || !slower) && len(o.tasks) <= len(s.tasks) && o.spec.Charge().FitsIn(s.spec.Charge()) {
			return true
		}
	}
	return false
}

// fill puts a gang's tasks on the targets of a set, each where it fits best, and
// returns how many accelerators of the set are left free then.
func (m *Machine) fill(s *step, targets []*target, now time.Time) (plan []*target, left int) {
	charge := s.spec.Charge()
	room := make([]graph.Resources, len(targets))
	slots := make([]int, len(targets))
	total := 0
	for i, t := range targets {
		if !m.heldFor(t, s) {
			room[i], slots[i] = t.room(), s.spread(t)
		}
		total += min(fitting(charge, room[i]), max(slots[i], 0))
		left += room[i].Accelerators
	}
	m.considered += len(targets)
	if total < len(s.tasks) {
		return nil, 0
	}
	m.considered += len(targets) * len(s.tasks)
	for _, x := range s.tasks {
		best := -1
		var bestFit fit
		for i, t := range targets {
			if slots[i] <= 0 || !charge.FitsIn(room[i]) {
				continue
			}
			if f := m.fitOf(x, t, room[i], now); best < 0 || f.compare(bestFit) < 0 {
				best, bestFit = i, f
			}
		}
		room[best] = room[best].Minus(charge)
		slots[best]--
		plan = append(plan, targets[best])
	}
	return plan, left - len(plan)*charge.Accelerators
}

// startIfFits notes runs that were just placed if the room for all of them is
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
		if !n.FitsIn(t.Capacity.Minus(t.used)) {
			return false
		}
	}
	return true
}

// startWaiting notes runs whose room has become free, and gives up those whose
// target takes no work any more.
func (m *Machine) startWaiting(now time.Time) {
	if !m.recheck {
		return
	}
	m.recheck = false
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

// waits reports whether a run still waits for room.
func (r *run) waits() bool { return r.phase == waiting && r.target.runs[r.Run] == r }

// waitingGroups returns the runs that wait for room: gangs together, others
// alone, in the order in which they were placed.
func (m *Machine) waitingGroups() [][]*run {
	m.waiting = slices.DeleteFunc(m.waiting, func(r *run) bool { return !r.waits() })
	var groups [][]*run
	gangs := map[*step]int{}
	for _, r := range m.waiting {
		s := r.task.step
		if at, ok := gangs[s]; ok && s.spec.Gang {
			groups[at] = append(groups[at], r)
			continue
		}
		gangs[s] = len(groups)
		groups = append(groups, []*run{r})
	}
	return groups
}
