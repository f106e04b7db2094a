package cell

import (
	"fmt"
	"math/bits"
	"sort"
)

// Inventory knows the workers of one zone and what of them is taken. It is
// not safe for use by several goroutines.
type Inventory struct {
	workers map[string]*room
	order   []string            // ids, sorted by rack and then by id
	held    map[string]*holding // by owner
}

type room struct {
	worker Worker
	taken  uint64 // accelerators given out, one bit each
	cores  int    // given out
	memory int    // given out, MB
	slots  int    // given out
}

type holding struct {
	shape      Shape
	assignment Assignment
}

// NewInventory returns an inventory of the workers with nothing taken. A later
// worker with the same id replaces an earlier one.
func NewInventory(workers ...Worker) *Inventory {
	inv := &Inventory{workers: map[string]*room{}, held: map[string]*holding{}}
	for _, w := range workers {
		inv.Add(w)
	}
	return inv
}

// Add puts a worker into the inventory, with nothing taken if it is new. If
// the worker is known its sizes are replaced and what it holds stays.
func (v *Inventory) Add(w Worker) {
	if r, ok := v.workers[w.id]; ok {
		r.worker = w
	} else {
		v.workers[w.id] = &room{worker: w}
		v.order = append(v.order, w.id)
	}
	sort.Slice(v.order, func(i, j int) bool {
		a, b := v.workers[v.order[i]].worker, v.workers[v.order[j]].worker
		if a.rack != b.rack {
			return a.rack < b.rack
		}
		return a.id < b.id
	})
}

// Remove takes a worker out. Holdings with a member on it stay until they are
// freed. An unknown worker is no error.
func (v *Inventory) Remove(id string) {
	if _, ok := v.workers[id]; !ok {
		return
	}
	delete(v.workers, id)
	for i, o := range v.order {
		if o == id {
			v.order = append(v.order[:i], v.order[i+1:]...)
			return
		}
	}
}

// Workers returns the workers sorted by rack and id.
func (v *Inventory) Workers() []Worker {
	ws := make([]Worker, 0, len(v.order))
	for _, id := range v.order {
		ws = append(ws, v.workers[id].worker)
	}
	return ws
}

// Worker returns a worker by id; ok is false if it is not known.
func (v *Inventory) Worker(id string) (w Worker, ok bool) {
	r, ok := v.workers[id]
	if !ok {
		return Worker{}, false
	}
	return r.worker, true
}

// Free returns what of a worker is free: the accelerators as a mask, cores,
// memory in MB and slots. All are zero for an unknown worker.
func (v *Inventory) Free(id string) (accelerators uint64, cores, memory, slots int) {
	r, ok := v.workers[id]
	if !ok {
		return 0, 0, 0, 0
	}
	all := uint64(1)<<r.worker.accelerators - 1
	if r.worker.accelerators == MaxAccelerators {
		all = ^uint64(0)
	}
	return all &^ r.taken, r.worker.cores - r.cores, r.worker.memory - r.memory, r.worker.slots - r.slots
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
		if err := v.takeOne(s, g); err != nil {
			v.giveBack(s, a[:i])
			return fmt.Errorf("take: %s member %d: %w", owner, g.Member, err)
		}
	}
	v.held[owner] = &holding{shape: s, assignment: a}
	return nil
}

func (v *Inventory) takeOne(s Shape, g Grant) error {
	free, cores, memory, slots := v.Free(g.Worker)
	if _, ok := v.workers[g.Worker]; !ok {
		return fmt.Errorf("worker %s is not known", g.Worker)
	}
	if bits.OnesCount64(g.Accelerators) != s.accelerators || g.Accelerators&^free != 0 {
		return fmt.Errorf("worker %s: accelerators %b are not free", g.Worker, g.Accelerators)
	}
	if cores < s.cores || memory < s.memory || slots < 1 {
		return fmt.Errorf("worker %s: cores %d, memory %d, slots %d left", g.Worker, cores, memory, slots)
	}
	r := v.workers[g.Worker]
	r.taken |= g.Accelerators
	r.cores += s.cores
	r.memory += s.memory
	r.slots++
	return nil
}

func (v *Inventory) giveBack(s Shape, a Assignment) {
	for _, g := range a {
		r, ok := v.workers[g.Worker]
		if !ok {
			continue
		}
		r.taken &^= g.Accelerators
		r.cores -= s.cores
		r.memory -= s.memory
		r.slots--
	}
}

// Release frees what the owner holds. An unknown owner is no error.
func (v *Inventory) Release(owner string) {
	h, ok := v.held[owner]
	if !ok {
		return
	}
	v.giveBack(h.shape, h.assignment)
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
