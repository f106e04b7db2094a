package guarantee

import (
	"math/bits"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

// enclose returns room for a gang of shape unit that has the gang of shape s,
// which stands at a, within it.
func (p *Plan) enclose(unit, s cell.Shape, a cell.Assignment) (cell.Assignment, bool) {
	if !p.standsAs(unit.Adjacency(), a) {
		return nil, false
	}
	if unit == s {
		return a, true
	}
	room := make(cell.Assignment, 0, unit.Members())
	for _, n := range needs(a) {
		count := unit.MembersFor(s, n.members)
		if unit.Adjacency() == cell.SameWorker {
			count = unit.Members()
		}
		grown, ok := p.grow(n, count*unit.Accelerators())
		if !ok {
			return nil, false
		}
		room = split(room, n.worker, grown, count, unit.Accelerators())
	}
	if len(room) >= unit.Members() {
		return room, len(room) == unit.Members()
	}
	return p.encloseRest(unit, room)
}

// standsAs reports whether the members stand as close together as asked.
func (p *Plan) standsAs(adjacency cell.Adjacency, a cell.Assignment) bool {
	first, _ := p.firm.Worker(a[0].Worker)
	for _, g := range a {
		w, ok := p.firm.Worker(g.Worker)
		if !ok || adjacency == cell.SameRack && w.Rack() != first.Rack() || adjacency == cell.SameWorker && w.ID() != first.ID() {
			return false
		}
	}
	return true
}

// encloseRest adds the members that the part of a room lacks.
func (p *Plan) encloseRest(unit cell.Shape, part cell.Assignment) (cell.Assignment, bool) {
	const trial = unitPrefix + "part"
	if p.firm.Take(trial, unit.Of(len(part)), part) != nil {
		return nil, false
	}
	defer p.firm.Release(trial)
	rest := unit.Of(unit.Members() - len(part))
	var more cell.Assignment
	var ok bool
	if unit.Adjacency() == cell.SameRack {
		w, _ := p.firm.Worker(part[0].Worker)
		more, ok = p.view.SmallestIn(w.Rack(), rest, cell.Compact)
	} else {
		more, ok = p.view.Smallest(rest, cell.Compact)
	}
	if !ok {
		return nil, false
	}
	for _, g := range more {
		g.Member = len(part)
		part = append(part, g)
	}
	return part, true
}

// grow adds free accelerators of the worker until there are n.
func (p *Plan) grow(need need, n int) (uint64, bool) {
	free, _, _, _ := p.firm.Free(need.worker)
	lacking := n - bits.OnesCount64(need.accelerators)
	if need.accelerators&^free != 0 || lacking < 0 {
		return 0, false
	}
	more, ok := cell.Pick(free&^need.accelerators, lacking)
	return need.accelerators | more, ok
}

// split appends count grants of each accelerators out of the mask.
func split(a cell.Assignment, worker string, mask uint64, count, each int) cell.Assignment {
	for range count {
		part, _ := cell.Lowest(mask, each)
		mask &^= part
		a = append(a, cell.Grant{Member: len(a), Worker: worker, Accelerators: part})
	}
	return a
}
