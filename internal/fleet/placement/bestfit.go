package placement

import (
	"cmp"
	"math/bits"
	"slices"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

// BestFit puts each member on the worker that has the least free accelerators
// and still holds it. It is a baseline: it sees single workers, no cells.
type BestFit struct{}

// Choose returns a place on the fullest workers; for a gang that must stand in
// one rack, in the rack with the least free accelerators that holds it.
func (BestFit) Choose(v *cell.View, r Request) (cell.Assignment, bool) {
	if r.Shape.Adjacency() != cell.SameRack {
		return fullestFirst(usable(nil, v, r.Shape, 0, v.Racks()), r.Shape)
	}
	var best cell.Assignment
	least := 0
	var rooms []cell.Room
	for rack := range v.Racks() {
		rooms = usable(rooms[:0], v, r.Shape, rack, rack+1)
		free := freeOf(rooms)
		if best != nil && free >= least {
			continue
		}
		if a, ok := fullestFirst(rooms, r.Shape); ok {
			best, least = a, free
		}
	}
	return best, best != nil
}

// usable appends the rooms of the racks that hold a member or, if the gang must
// stand on one worker, the whole gang.
func usable(rooms []cell.Room, v *cell.View, s cell.Shape, from, to int) []cell.Room {
	need := 1
	if s.Adjacency() == cell.SameWorker {
		need = s.Members()
	}
	for rack := from; rack < to; rack++ {
		for i := range v.Rooms(rack) {
			if room := v.Room(rack, i); room.Capacity(s) >= need {
				rooms = append(rooms, room)
			}
		}
	}
	return rooms
}

func fullestFirst(rooms []cell.Room, s cell.Shape) (cell.Assignment, bool) {
	slices.SortStableFunc(rooms, func(a, b cell.Room) int {
		return cmp.Compare(bits.OnesCount64(a.Free), bits.OnesCount64(b.Free))
	})
	var a cell.Assignment
	for _, room := range rooms {
		a = room.Put(a, s, s.Members()-len(a), cell.Lowest)
		if len(a) == s.Members() {
			return a, true
		}
	}
	return nil, false
}

func freeOf(rooms []cell.Room) int {
	n := 0
	for _, room := range rooms {
		n += bits.OnesCount64(room.Free)
	}
	return n
}
