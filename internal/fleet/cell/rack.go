package cell

import (
	"math/bits"
	"slices"
	"strings"
)

// sizes is how many block sizes there are: 1, 2, 4 up to MaxAccelerators.
const sizes = 7

// room is one worker and what of it is given out.
type room struct {
	worker Worker
	rack   *rack    // nil while the worker is removed
	closed bool     // barred: in no View and in no rack's count
	taken  uint64   // accelerators given out, one bit each
	cores  int      // given out
	memory int      // given out, MB
	slots  int      // given out
	owners []string // who holds something here, each once
}

// freeMask returns the accelerators that are not given out.
func (r *room) freeMask() uint64 {
	if r.worker.accelerators == MaxAccelerators {
		return ^r.taken
	}
	return (uint64(1)<<r.worker.accelerators - 1) &^ r.taken
}

// change books a grant (sign 1) or takes it back (sign -1).
func (r *room) change(s Shape, g Grant, sign int) {
	if r.rack != nil {
		r.rack.uncount(r)
	}
	if sign > 0 {
		r.taken |= g.Accelerators
	} else {
		r.taken &^= g.Accelerators
	}
	r.cores += sign * s.cores
	r.memory += sign * s.memory
	r.slots += sign
	if r.rack != nil {
		r.rack.count(r)
	}
}

func (r *room) addOwner(owner string) {
	if n := len(r.owners); n > 0 && r.owners[n-1] == owner {
		return
	}
	if !slices.Contains(r.owners, owner) {
		r.owners = append(r.owners, owner)
	}
}

func (r *room) dropOwner(owner string) {
	if i := slices.Index(r.owners, owner); i >= 0 {
		r.owners = slices.Delete(r.owners, i, i+1)
	}
}

// rack is the workers of one rack with an index of their free room, by which a
// search passes over racks that cannot hold a shape.
type rack struct {
	name    string
	rooms   []*room    // sorted by worker id
	free    int        // free accelerators of the rooms that are not closed
	slots   int        // free slots of the rooms that are not closed
	atLeast [sizes]int // rooms with at least 1, 2, 4, ... free accelerators
}

func (k *rack) insert(r *room) {
	i, _ := slices.BinarySearchFunc(k.rooms, r.worker.id, func(o *room, id string) int {
		return strings.Compare(o.worker.id, id)
	})
	k.rooms = slices.Insert(k.rooms, i, r)
}

func (k *rack) remove(r *room) {
	if i := slices.Index(k.rooms, r); i >= 0 {
		k.rooms = slices.Delete(k.rooms, i, i+1)
	}
}

func (k *rack) count(r *room)   { k.book(r, 1) }
func (k *rack) uncount(r *room) { k.book(r, -1) }

func (k *rack) book(r *room, sign int) {
	if r.closed {
		return
	}
	n := bits.OnesCount64(r.freeMask())
	k.free += sign * n
	k.slots += sign * (r.worker.slots - r.slots)
	for i := range bits.Len(uint(n)) {
		k.atLeast[i] += sign
	}
}

// mayHold reports whether a member of the shape may fit on a worker of the
// rack. It errs only by saying yes.
func (k *rack) mayHold(s Shape) bool {
	if k.slots < 1 {
		return false
	}
	return s.accelerators == 0 || k.atLeast[bits.Len(uint(s.accelerators))-1] > 0
}
