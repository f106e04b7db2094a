package cell

import "math/bits"

// View is the room that is free in each of several inventories at once. It is
// read only and shows what is free at the time of each call.
//
// All its inventories must have the same workers with the same sizes. Barred
// workers have no room in it.
type View struct {
	layers []*Inventory
	caps   []int // scratch: members that fit in each rack
	rooms  []Room
}

// Room is what is free on one worker of a View.
type Room struct {
	ID     string // the worker's
	Size   int    // accelerators, free or not
	Free   uint64 // free accelerators, one bit each
	Cores  int
	Memory int // MB
	Slots  int
}

// NewView returns a view of the inventories. It takes at least one.
func NewView(first *Inventory, more ...*Inventory) *View {
	return &View{layers: append([]*Inventory{first}, more...)}
}

// Racks returns the number of racks, numbered in the order of their names.
func (v *View) Racks() int { return len(v.layers[0].racks) }

// Rooms returns the number of workers in a rack, numbered in the order of their ids.
func (v *View) Rooms(rack int) int { return len(v.layers[0].racks[rack].rooms) }

// Room returns what is free on a worker of a rack.
func (v *View) Room(rack, i int) Room {
	r := v.layers[0].racks[rack].rooms[i]
	room := Room{ID: r.worker.id, Size: r.worker.accelerators}
	if r.closed {
		return room
	}
	room.Free = r.freeMask()
	room.Cores, room.Memory, room.Slots = r.worker.cores-r.cores, r.worker.memory-r.memory, r.worker.slots-r.slots
	for _, layer := range v.layers[1:] {
		r := layer.racks[rack].rooms[i]
		room.Free &= r.freeMask()
		room.Cores = min(room.Cores, r.worker.cores-r.cores)
		room.Memory = min(room.Memory, r.worker.memory-r.memory)
		room.Slots = min(room.Slots, r.worker.slots-r.slots)
	}
	return room
}

// mayHold reports whether a member of the shape may fit in a rack.
func (v *View) mayHold(s Shape, rack int) bool {
	for _, layer := range v.layers {
		if !layer.racks[rack].mayHold(s) {
			return false
		}
	}
	return true
}

// rackFree returns the free accelerators of a rack in the first layer.
func (v *View) rackFree(rack int) int { return v.layers[0].racks[rack].free }

// Capacity returns how many members of the shape fit in the room.
func (r Room) Capacity(s Shape) int {
	n := r.Slots
	if s.accelerators > 0 {
		n = min(n, bits.OnesCount64(r.Free)/s.accelerators)
	}
	if s.cores > 0 {
		n = min(n, r.Cores/s.cores)
	}
	if s.memory > 0 {
		n = min(n, r.Memory/s.memory)
	}
	return max(n, 0)
}

// Put appends the grants of up to n members to the assignment, as many as fit
// in the room, and returns it. pick chooses the accelerators: Pick or Lowest.
func (r Room) Put(a Assignment, s Shape, n int, pick func(free uint64, n int) (uint64, bool)) Assignment {
	for range min(n, r.Capacity(s)) {
		mask, ok := pick(r.Free, s.accelerators)
		if !ok {
			break
		}
		r.Free &^= mask
		a = append(a, Grant{Member: len(a), Worker: r.ID, Accelerators: mask})
	}
	return a
}
