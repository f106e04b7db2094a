package placement

import "guavaglade.example/guavaglade/internal/fleet/cell"

// FirstFit takes the first accelerators that are free, in the order of the
// workers. It is the baseline that others are measured against.
type FirstFit struct{}

// Choose returns the first place in the order of racks and workers.
func (FirstFit) Choose(inv *cell.Inventory, r Request, allowed func(worker string) bool) (cell.Assignment, bool) {
	s := r.Shape
	var a cell.Assignment
	rack, last := "", ""
	for _, w := range inv.Workers() {
		if !allowed(w.ID()) {
			continue
		}
		if s.Adjacency() == cell.SameRack && w.Rack() != rack || s.Adjacency() == cell.SameWorker && w.ID() != last {
			a = nil
		}
		rack, last = w.Rack(), w.ID()
		free, cores, memory, slots := inv.Free(w.ID())
		for len(a) < s.Members() && slots > 0 && cores >= s.Cores() && memory >= s.Memory() {
			mask, ok := lowest(free, s.Accelerators())
			if !ok {
				break
			}
			a = append(a, cell.Grant{Member: len(a), Worker: w.ID(), Accelerators: mask})
			free &^= mask
			cores, memory, slots = cores-s.Cores(), memory-s.Memory(), slots-1
		}
		if len(a) == s.Members() {
			return a, true
		}
	}
	return nil, false
}

// lowest returns the n lowest bits that are set in free.
func lowest(free uint64, n int) (mask uint64, ok bool) {
	for ; n > 0; n-- {
		if free == 0 {
			return 0, false
		}
		bit := free & -free
		mask |= bit
		free &^= bit
	}
	return mask, true
}
