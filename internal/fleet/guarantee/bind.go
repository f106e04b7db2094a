package guarantee

import (
	"slices"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

// Bounds on how often a full repack starts over in another order.
const (
	repackRounds = 12 // when guarantees change or are at risk
	settleRounds = 1  // when others' room is asked for, which is often
)

// undo remembers the places of units that were moved, so that a change that
// does not work out can be taken back.
type undo struct {
	units  []*unit
	places []cell.Assignment
}

// lift takes a unit's room away and remembers it.
func (p *Plan) lift(un *undo, u *unit) {
	if u.place == nil || slices.Contains(un.units, u) {
		return
	}
	un.units = append(un.units, u)
	un.places = append(un.places, u.place)
	p.unbind(u)
}

// rollback gives each unit the place that it had.
func (p *Plan) rollback(un *undo) {
	for _, u := range un.units {
		p.unbind(u)
	}
	for i, u := range un.units {
		p.bindAt(u, un.places[i])
	}
}

func (p *Plan) unbind(u *unit) {
	if u.place == nil {
		return
	}
	p.firm.Release(u.key)
	u.place = nil
}

func (p *Plan) bindAt(u *unit, a cell.Assignment) bool {
	if p.firm.Take(u.key, u.shape(), a) != nil {
		return false
	}
	u.place = a
	return true
}

// bind sets the smallest cell aside that is free and holds the unit.
func (p *Plan) bind(u *unit, style cell.Style) bool {
	a, ok := p.view.Smallest(u.shape(), style)
	return ok && p.bindAt(u, a)
}

// bindAll binds the units in their order and returns the first that finds no
// room, nil if all do.
func (p *Plan) bindAll(units []*unit, style cell.Style) *unit {
	for _, u := range units {
		if u.place == nil && !p.bind(u, style) {
			return u
		}
	}
	return nil
}

// settle finds other room for the units that were lifted; if that fails it
// packs all unclaimed units anew. It reports false if a unit is left without;
// the caller then rolls back.
func (p *Plan) settle(un *undo) bool {
	if len(un.units) == 0 {
		return true
	}
	if p.bindAll(hardestFirst(un.units), cell.Compact) == nil {
		return true
	}
	return p.repack(un, nil, settleRounds)
}

// repack lifts all unclaimed units and binds them and the extra ones from the
// start. A unit that finds no room goes to the front in the next round.
func (p *Plan) repack(un *undo, extra []*unit, rounds int) bool {
	p.liftAll(un)
	return p.pack(append(slices.Clone(un.units), extra...), rounds)
}

// liftAll takes the room of all unclaimed units away, also what was found for
// those that were lifted before.
func (p *Plan) liftAll(un *undo) {
	for _, u := range un.units {
		if !u.claimed() {
			p.unbind(u)
		}
	}
	for _, u := range p.units {
		if !u.claimed() {
			p.lift(un, u)
		}
	}
}

// pack binds the units, which have no place yet, in up to the given number of
// rounds. It reports whether all are bound; if not, none is.
func (p *Plan) pack(units []*unit, rounds int) bool {
	order := hardestFirst(units)
	for round := range rounds {
		failed := p.bindAll(order, cell.Style(round%2))
		if failed == nil {
			return true
		}
		for _, u := range order {
			p.unbind(u)
		}
		i := slices.Index(order, failed)
		order = slices.Insert(slices.Delete(order, i, i+1), 0, failed)
	}
	return false
}

// rebind gives units that lost their room other room, as many as it can.
func (p *Plan) rebind(units []*unit) {
	if !p.setsAside || len(units) == 0 {
		return
	}
	for _, u := range hardestFirst(units) {
		if !u.claimed() && u.place == nil && !p.bind(u, cell.Compact) {
			p.changed = true
		}
	}
}

// pushIn packs all unclaimed units anew together with those that have no place.
// If that fails it changes nothing and reports false.
func (p *Plan) pushIn(units []*unit) bool {
	un := &undo{}
	if p.repack(un, units, repackRounds) {
		return true
	}
	p.rollback(un)
	return false
}

// unbindOn takes the room of all unclaimed units with room on a worker and
// returns them.
func (p *Plan) unbindOn(worker string) []*unit {
	var units []*unit
	for _, key := range slices.Sorted(slices.Values(p.firm.Owners(worker))) {
		if u, ok := p.byKey[key]; ok && !u.claimed() {
			p.unbind(u)
			units = append(units, u)
		}
	}
	return units
}

// need is what an assignment takes of one worker.
type need struct {
	worker       string
	accelerators uint64
	members      int
}

func needs(a cell.Assignment) []need {
	var ns []need
	for _, g := range a {
		i := len(ns) - 1
		for i >= 0 && ns[i].worker != g.Worker {
			i--
		}
		if i < 0 {
			ns = append(ns, need{worker: g.Worker})
			i = len(ns) - 1
		}
		ns[i].accelerators |= g.Accelerators
		ns[i].members++
	}
	return ns
}

// clear lifts the unclaimed units that stand in the way of an assignment, in
// the order of their keys: a change that was tried and rolled back must come
// out the same when it is made.
func (p *Plan) clear(un *undo, s cell.Shape, a cell.Assignment) {
	for _, n := range needs(a) {
		if p.fits(n, s) {
			continue
		}
		keys := slices.Sorted(slices.Values(p.firm.Owners(n.worker)))
		for _, key := range keys {
			if u, ok := p.byKey[key]; ok && !u.claimed() && u.overlaps(n) {
				p.lift(un, u)
			}
		}
		for _, key := range keys {
			if p.fits(n, s) {
				break
			}
			if u, ok := p.byKey[key]; ok && !u.claimed() {
				p.lift(un, u)
			}
		}
	}
}

func (p *Plan) fits(n need, s cell.Shape) bool {
	free, cores, memory, slots := p.firm.Free(n.worker)
	return n.accelerators&^free == 0 && cores >= n.members*s.Cores() && memory >= n.members*s.Memory() && slots >= n.members
}

// overlaps reports whether the unit's room has accelerators that are needed.
func (u *unit) overlaps(n need) bool {
	for _, g := range u.place {
		if g.Worker == n.worker && g.Accelerators&n.accelerators != 0 {
			return true
		}
	}
	return false
}
