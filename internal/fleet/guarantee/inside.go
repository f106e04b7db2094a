package guarantee

import (
	"math/bits"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

// Inside returns a place for a gang of shape s within the room that is set
// aside for a guaranteed gang, on what is free there in the inventory of all
// that runs; ok is false if there is none.
func (p *Plan) Inside(unit cell.Shape, room cell.Assignment, s cell.Shape, all *cell.Inventory) (a cell.Assignment, ok bool) {
	if unit == s {
		return room, isFree(all, s, room)
	}
	return p.part(unit, room, all, true).Smallest(s, cell.Compact)
}

// InsideNew is Inside for room that is free in the plan and not set aside yet.
func (p *Plan) InsideNew(unit cell.Shape, room cell.Assignment, s cell.Shape, all *cell.Inventory) (a cell.Assignment, ok bool) {
	if unit == s {
		return room, isFree(all, s, room)
	}
	return p.part(unit, room, all, false).Smallest(s, cell.Compact)
}

// Part returns a view of the room that is set aside for a guaranteed gang, as
// if nothing ran there.
func (p *Plan) Part(unit cell.Shape, room cell.Assignment) *cell.View {
	return p.part(unit, room, p.firm, true)
}

// part returns a view of the room. Unless all is the plan's own inventory,
// which has the room taken by its unit, only what is free in all is shown. A
// gang with more members than the unit takes slots beside the unit's own.
func (p *Plan) part(unit cell.Shape, room cell.Assignment, all *cell.Inventory, bound bool) *cell.View {
	part := cell.NewInventory()
	for _, n := range needs(room) {
		p.addPart(part, unit, n, all, bound)
	}
	return cell.NewView(part)
}

// addPart adds what of a worker belongs to the room and is free.
func (p *Plan) addPart(part *cell.Inventory, unit cell.Shape, n need, all *cell.Inventory, bound bool) {
	w, known := all.Worker(n.worker)
	if !known || all.Barred(n.worker) {
		return
	}
	_, _, _, slots := p.firm.Free(n.worker)
	if bound {
		slots += n.members
	}
	free, cores, memory := n.accelerators, n.members*unit.Cores(), n.members*unit.Memory()
	if all != p.firm {
		f, c, m, s := all.Free(n.worker)
		free, cores, memory, slots = free&f, min(cores, c), min(memory, m), min(slots, s)
	}
	piece, err := cell.NewWorker(n.worker, w.Zone(), w.Rack(), w.Accelerators(), max(cores, 0), max(memory, 0), slots+1)
	if err != nil || slots < 1 {
		return
	}
	part.Add(piece)
	whole, _, _, _ := part.Free(n.worker)
	other := whole &^ free
	taken, err := cell.NewShape(1, bits.OnesCount64(other), 0, 0, cell.Any)
	if err != nil {
		return
	}
	_ = part.Take(n.worker, taken, cell.Assignment{{Worker: n.worker, Accelerators: other}}) // the worker is new and empty
}

// isFree reports whether a gang of the shape could stand at the assignment.
func isFree(all *cell.Inventory, s cell.Shape, a cell.Assignment) bool {
	for _, n := range needs(a) {
		free, cores, memory, slots := all.Free(n.worker)
		if all.Barred(n.worker) || n.accelerators&^free != 0 ||
			cores < n.members*s.Cores() || memory < n.members*s.Memory() || slots < n.members {
			return false
		}
	}
	return true
}
