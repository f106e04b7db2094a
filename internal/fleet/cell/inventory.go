package cell

import (
	"fmt"
	"math/bits"
	"slices"
	"sort"
	"strings"
)

// Inventory knows the workers of one zone and what of them is taken. It is
// not safe for use by several goroutines.
type Inventory struct {
	rooms map[string]*room    // by worker id; those of removed workers stay while something is held there
	racks []*rack             // sorted by name, none empty
	held  map[string]*holding // by owner
}

type holding struct {
	shape      Shape
	assignment Assignment
}

// NewInventory returns an inventory of the workers with nothing taken. A later
// worker with the same id replaces an earlier one.
func NewInventory(workers ...Worker) *Inventory {
	inv := &Inventory{rooms: map[string]*room{}, held: map[string]*holding{}}
	for _, w := range workers {
		inv.Add(w)
	}
	return inv
}

// Add puts a worker into the inventory. If the worker is known its sizes are
// replaced and what it holds stays. A worker that was removed and comes back
// still holds what its owners did not give back in the meantime: its tasks may
// have gone on while it was out of sight, and their room must not be given out
// a second time.
func (v *Inventory) Add(w Worker) {
	r, ok := v.rooms[w.id]
	if !ok {
		r = &room{}
		v.rooms[w.id] = r
	}
	if r.rack != nil && r.worker == w {
		return
	}
	if r.rack != nil {
		v.leaveRack(r)
	}
	r.worker = w
	v.joinRack(r)
}

// Remove takes a worker out. Holdings with a member on it stay until they are
// freed. An unknown worker is no error.
func (v *Inventory) Remove(id string) {
	r, ok := v.rooms[id]
	if !ok || r.rack == nil {
		return
	}
	v.leaveRack(r)
	r.closed = false
	v.forget(r)
}

// Bar says whether a worker is kept out of every View. What it holds stays.
func (v *Inventory) Bar(id string, barred bool) {
	r, ok := v.rooms[id]
	if !ok || r.rack == nil {
		return
	}
	r.rack.uncount(r)
	r.closed = barred
	r.rack.count(r)
}

// Barred reports whether the worker is barred or not known.
func (v *Inventory) Barred(id string) bool {
	r, ok := v.rooms[id]
	return !ok || r.rack == nil || r.closed
}

func (v *Inventory) joinRack(r *room) {
	i, ok := slices.BinarySearchFunc(v.racks, r.worker.rack, func(k *rack, name string) int {
		return strings.Compare(k.name, name)
	})
	if !ok {
		v.racks = slices.Insert(v.racks, i, &rack{name: r.worker.rack})
	}
	r.rack = v.racks[i]
	r.rack.insert(r)
	r.rack.count(r)
}

func (v *Inventory) leaveRack(r *room) {
	k := r.rack
	k.uncount(r)
	k.remove(r)
	r.rack = nil
	if len(k.rooms) > 0 {
		return
	}
	i := sort.Search(len(v.racks), func(i int) bool { return v.racks[i].name >= k.name })
	v.racks = slices.Delete(v.racks, i, i+1)
}

// forget drops a removed worker's room once nothing is held there.
func (v *Inventory) forget(r *room) {
	if r.rack == nil && len(r.owners) == 0 {
		delete(v.rooms, r.worker.id)
	}
}

// Workers returns the workers sorted by rack and id.
func (v *Inventory) Workers() []Worker {
	ws := make([]Worker, 0, len(v.rooms))
	for _, k := range v.racks {
		for _, r := range k.rooms {
			ws = append(ws, r.worker)
		}
	}
	return ws
}

// Worker returns a worker by id; ok is false if it is not known.
func (v *Inventory) Worker(id string) (w Worker, ok bool) {
	r, ok := v.rooms[id]
	if !ok || r.rack == nil {
		return Worker{}, false
	}
	return r.worker, true
}

// Free returns what of a worker is free: the accelerators as a mask, cores,
// memory in MB and slots. All are zero for an unknown worker.
func (v *Inventory) Free(id string) (accelerators uint64, cores, memory, slots int) {
	r, ok := v.rooms[id]
	if !ok || r.rack == nil {
		return 0, 0, 0, 0
	}
	return r.freeMask(), r.worker.cores - r.cores, r.worker.memory - r.memory, r.worker.slots - r.slots
}

// FreeRoom returns the accelerators and slots that are free on all workers that
// are not barred.
func (v *Inventory) FreeRoom() (accelerators, slots int) {
	for _, k := range v.racks {
		accelerators += k.free
		slots += k.slots
	}
	return accelerators, slots
}

// Owners returns who holds something on a worker, each once, in the order in
// which they came. The caller must not change it.
func (v *Inventory) Owners(id string) []string {
	r, ok := v.rooms[id]
	if !ok {
		return nil
	}
	return r.owners
}

// Take gives the assignment to the owner. It refuses, and changes nothing, if
// the owner already holds something, a worker is unknown, or anything of the
// assignment is taken or too small for the shape.
func (v *Inventory) Take(owner string, s Shape, a Assignment) error {
	if _, ok := v.held[owner]; ok {
		return fmt.Errorf("take: %s already holds an assignment", owner)
	}
	if len(a) != s.members {
		return fmt.Errorf("take: %s: %d grants for %d members", owner, len(a), s.members)
	}
	for i, g := range a {
		if err := v.takeOne(owner, s, g); err != nil {
			v.giveBack(owner, s, a[:i])
			return fmt.Errorf("take: %s member %d: %w", owner, g.Member, err)
		}
	}
	v.held[owner] = &holding{shape: s, assignment: a}
	return nil
}

// Keep is Take for a gang that runs already: on workers that are not known it
// books the grants for the time when they come back. It refuses, and changes
// nothing, what Take refuses on the workers that are known.
func (v *Inventory) Keep(owner string, s Shape, a Assignment) error {
	here := make(Assignment, 0, len(a))
	for _, g := range a {
		if _, ok := v.Worker(g.Worker); ok {
			here = append(here, g)
		}
	}
	if len(here) == len(a) {
		return v.Take(owner, s, a)
	}
	if len(here) > 0 {
		if err := v.Take(owner, s.Of(len(here)), here); err != nil {
			return err
		}
		v.Release(owner)
	}
	for _, g := range a {
		r, ok := v.rooms[g.Worker]
		if !ok {
			r = &room{worker: Worker{id: g.Worker}}
			v.rooms[g.Worker] = r
		}
		r.change(s, g, 1)
		r.addOwner(owner)
	}
	v.held[owner] = &holding{shape: s, assignment: a}
	return nil
}

func (v *Inventory) takeOne(owner string, s Shape, g Grant) error {
	r, ok := v.rooms[g.Worker]
	if !ok || r.rack == nil {
		return fmt.Errorf("worker %s is not known", g.Worker)
	}
	if bits.OnesCount64(g.Accelerators) != s.accelerators || g.Accelerators&^r.freeMask() != 0 {
		return fmt.Errorf("worker %s: accelerators %b are not free", g.Worker, g.Accelerators)
	}
	cores, memory, slots := r.worker.cores-r.cores, r.worker.memory-r.memory, r.worker.slots-r.slots
	if cores < s.cores || memory < s.memory || slots < 1 {
		return fmt.Errorf("worker %s: cores %d, memory %d, slots %d left", g.Worker, cores, memory, slots)
	}
	r.change(s, g, 1)
	r.addOwner(owner)
	return nil
}

func (v *Inventory) giveBack(owner string, s Shape, a Assignment) {
	for _, g := range a {
		r, ok := v.rooms[g.Worker]
		if !ok {
			continue
		}
		r.change(s, g, -1)
		r.dropOwner(owner)
		v.forget(r)
	}
}

// Release frees what the owner holds. An unknown owner is no error.
func (v *Inventory) Release(owner string) {
	h, ok := v.held[owner]
	if !ok {
		return
	}
	v.giveBack(owner, h.shape, h.assignment)
	delete(v.held, owner)
}

// Held returns what the owner holds; ok is false if it holds nothing.
func (v *Inventory) Held(owner string) (s Shape, a Assignment, ok bool) {
	h, ok := v.held[owner]
	if !ok {
		return Shape{}, nil, false
	}
	return h.shape, h.assignment, true
}
