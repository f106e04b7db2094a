package shape

import (
	"cmp"
	"fmt"
	"slices"
)

// Worker is the capacity of a target.
type Worker struct {
	Rack         string
	Accelerators int
	Cores        int
	Memory       int // MB
	Slots        int // for concurrent tasks
}

// freeWorker is a worker with its free capacity.
type freeWorker struct {
	rack string
	free Worker
}

// Zone is an availability zone with the free capacity of its workers.
type Zone struct {
	workers []freeWorker
}

// NewZone returns a zone in which all workers are free.
func NewZone(workers []Worker) *Zone {
	z := &Zone{}
	for _, w := range workers {
		z.workers = append(z.workers, freeWorker{rack: w.Rack, free: w})
	}
	return z
}

// CheckFit returns an error if a gang of the shape does not fit into the zone's free
// capacity. It reserves nothing.
func (z *Zone) CheckFit(s Shape) error {
	if _, ok := z.place(s); !ok {
		return fmt.Errorf("no capacity for %s: %d accelerators, %d cores and %d MB for each member", s, s.accelerators, s.cores, s.memory)
	}
	return nil
}

// Pack packs the gangs of all guarantees, the closest adjacency and then the largest
// first, and returns an error if one does not fit. Success proves that they fit together.
// The heuristic may fail for a set that would fit, which is rare where the sizes of shapes
// divide each other. Pack does not change the zone.
func (z *Zone) Pack(gs []Guarantee) error {
	trial := &Zone{workers: slices.Clone(z.workers)}
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
				return fmt.Errorf("%s: no capacity for gang %d of %d", g, i+1, g.Count)
			}
			trial.reserve(g.Shape, at)
		}
	}
	return nil
}

// closeness ranks adjacencies; a gang that must be placed closer together is packed first.
func (s Shape) closeness() int {
	switch s.adjacency {
	case SameWorker:
		return 2
	case SameRack:
		return 1
	}
	return 0
}

// place returns how many members of a gang to put on each worker, by index in the zone, and
// whether the gang fits. It reserves nothing.
func (z *Zone) place(s Shape) (map[int]int, bool) {
	switch s.adjacency {
	case SameWorker:
		return z.fill(s, func(i int) string { return fmt.Sprint(i) })
	case SameRack:
		return z.fill(s, func(i int) string { return z.workers[i].rack })
	}
	return z.fill(s, func(int) string { return "" })
}

// fill returns the placement of a gang on the workers of one group, and whether it fits. It
// takes the group with the fewest free accelerators into which the whole gang fits, and
// fills its workers from the one with the fewest free accelerators.
func (z *Zone) fill(s Shape, group func(i int) string) (map[int]int, bool) {
	order := make([]int, len(z.workers))
	fits, left := map[string]int{}, map[string]int{}
	for i, w := range z.workers {
		order[i] = i
		fits[group(i)] += w.members(s)
		left[group(i)] += w.free.Accelerators
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(left[group(a)], left[group(b)]), cmp.Compare(group(a), group(b)),
			cmp.Compare(z.workers[a].free.Accelerators, z.workers[b].free.Accelerators),
		)
	})
	at, placed, chosen, found := map[int]int{}, 0, "", false
	for _, i := range order {
		if fits[group(i)] < s.members || (found && group(i) != chosen) {
			continue
		}
		chosen, found = group(i), true
		n := min(z.workers[i].members(s), s.members-placed)
		if n > 0 {
			at[i] = n
			placed += n
		}
	}
	return at, placed == s.members
}

// members returns how many members of the shape fit into the worker's free capacity.
func (w freeWorker) members(s Shape) int {
	n := w.free.Slots
	if s.accelerators > 0 {
		n = min(n, w.free.Accelerators/s.accelerators)
	}
	if s.cores > 0 {
		n = min(n, w.free.Cores/s.cores)
	}
	if s.memory > 0 {
		n = min(n, w.free.Memory/s.memory)
	}
	return max(n, 0)
}

// reserve subtracts the resources of a gang that is placed as place returned it from the
// workers' free capacity.
func (z *Zone) reserve(s Shape, at map[int]int) {
	for i, n := range at {
		f := &z.workers[i].free
		f.Accelerators -= n * s.accelerators
		f.Cores -= n * s.cores
		f.Memory -= n * s.memory
		f.Slots -= n
	}
}
