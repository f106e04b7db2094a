package shape

import (
	"cmp"
	"fmt"
	"slices"
)

// Worker is a target as a text describes it.
type Worker struct {
	Rack         string
	Accelerators int
	Cores        int
	Memory       int // MB
	Slots        int // tasks at once
}

// room is what is free on a worker.
type room struct {
	rack string
	free Worker
}

// Zone is an availability zone with what was packed into it so far.
type Zone struct {
	rooms []room
}

// NewZone returns an empty zone of the workers.
func NewZone(workers []Worker) *Zone {
	z := &Zone{}
	for _, w := range workers {
		z.rooms = append(z.rooms, room{rack: w.Rack, free: w})
	}
	return z
}

// CheckFit returns why a gang of the shape does not fit into the zone as it is, nil
// if it does.
func (z *Zone) CheckFit(s Shape) error {
	if _, ok := z.place(s); !ok {
		return fmt.Errorf("no room for %s: %d accelerators, %d cores and %d MB for each member", s, s.accelerators, s.cores, s.memory)
	}
	return nil
}

// Pack packs all gangs of all guarantees, the largest first, and returns why one
// of them finds no room, nil if all do. It is a proof that they fit together; that
// it finds no way for a set that would fit is possible, and rare where shapes
// divide each other. The zone is left as it was.
func (z *Zone) Pack(gs []Guarantee) error {
	trial := &Zone{rooms: slices.Clone(z.rooms)}
	order := slices.Clone(gs)
	slices.SortStableFunc(order, func(a, b Guarantee) int {
		return cmp.Or(
			cmp.Compare(b.Shape.closeness(), a.Shape.closeness()),
			cmp.Compare(b.Shape.accelerators, a.Shape.accelerators),
			cmp.Compare(b.Shape.Total(), a.Shape.Total()),
			cmp.Compare(b.Shape.cores, a.Shape.cores),
		)
	})
	for _, g := range order {
		for i := range g.Count {
			at, ok := trial.place(g.Shape)
			if !ok {
				return fmt.Errorf("%s: gang %d of %d finds no room", g, i+1, g.Count)
			}
			trial.take(g.Shape, at)
		}
	}
	return nil
}

// closeness ranks adjacencies: what must stand closer together is packed first.
func (s Shape) closeness() int {
	switch s.adjacency {
	case SameWorker:
		return 2
	case SameRack:
		return 1
	}
	return 0
}

// place returns how many members of a gang go on which worker, by index.
func (z *Zone) place(s Shape) (map[int]int, bool) {
	switch s.adjacency {
	case SameWorker:
		return z.fill(s, func(i int) string { return fmt.Sprint(i) })
	case SameRack:
		return z.fill(s, func(i int) string { return z.rooms[i].rack })
	}
	return z.fill(s, func(int) string { return "" })
}

// fill places a gang on the workers of one group: the group, and in it the
// workers, that are left with the least room.
func (z *Zone) fill(s Shape, group func(i int) string) (map[int]int, bool) {
	order := make([]int, len(z.rooms))
	fits, left := map[string]int{}, map[string]int{}
	for i, r := range z.rooms {
		order[i] = i
		fits[group(i)] += r.members(s)
		left[group(i)] += r.free.Accelerators
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(left[group(a)], left[group(b)]), cmp.Compare(group(a), group(b)),
			cmp.Compare(z.rooms[a].free.Accelerators, z.rooms[b].free.Accelerators),
		)
	})
	at, placed, chosen, found := map[int]int{}, 0, "", false
	for _, i := range order {
		if fits[group(i)] < s.members || (found && group(i) != chosen) {
			continue
		}
		chosen, found = group(i), true
		n := min(z.rooms[i].members(s), s.members-placed)
		if n > 0 {
			at[i] = n
			placed += n
		}
	}
	return at, placed == s.members
}

// members returns how many members of a shape fit into the room.
func (r room) members(s Shape) int {
	n := r.free.Slots
	if s.accelerators > 0 {
		n = min(n, r.free.Accelerators/s.accelerators)
	}
	if s.cores > 0 {
		n = min(n, r.free.Cores/s.cores)
	}
	if s.memory > 0 {
		n = min(n, r.free.Memory/s.memory)
	}
	return max(n, 0)
}

// take takes the room of a gang that was placed.
func (z *Zone) take(s Shape, at map[int]int) {
	for i, n := range at {
		f := &z.rooms[i].free
		f.Accelerators -= n * s.accelerators
		f.Cores -= n * s.cores
		f.Memory -= n * s.memory
		f.Slots -= n
	}
}
