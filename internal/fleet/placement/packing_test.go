package placement_test

import (
	"fmt"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

// bin is what is left of one worker.
type bin struct {
	rack                               string
	accelerators, cores, memory, slots int
}

// packable tries every way to pack the shapes into the bins, gang by gang and
// member by member. It is the slow, obvious version of the plan's packing.
func packable(bins []bin, shapes []cell.Shape) bool {
	return packer{seen: map[string]bool{}}.gangs(bins, shapes)
}

type packer struct {
	seen map[string]bool // states that led nowhere
}

func (p packer) gangs(bins []bin, shapes []cell.Shape) bool {
	if len(shapes) == 0 {
		return true
	}
	key := fmt.Sprint(len(shapes), bins)
	if p.seen[key] {
		return false
	}
	if p.members(bins, shapes, shapes[0].Members(), 0, -1) {
		return true
	}
	p.seen[key] = true
	return false
}

// members places the last n members of the first shape on bins from the given
// one on; first is the bin of the gang's first member, -1 before that.
func (p packer) members(bins []bin, shapes []cell.Shape, n, from, first int) bool {
	if n == 0 {
		return p.gangs(bins, shapes[1:])
	}
	s := shapes[0]
	for i := from; i < len(bins); i++ {
		b := bins[i]
		if first >= 0 && (s.Adjacency() == cell.SameWorker && i != first || s.Adjacency() == cell.SameRack && b.rack != bins[first].rack) {
			continue
		}
		if b.accelerators < s.Accelerators() || b.cores < s.Cores() || b.memory < s.Memory() || b.slots < 1 {
			continue
		}
		bins[i] = bin{b.rack, b.accelerators - s.Accelerators(), b.cores - s.Cores(), b.memory - s.Memory(), b.slots - 1}
		start := first
		if first < 0 {
			start = i
		}
		ok := p.members(bins, shapes, n-1, i, start)
		bins[i] = b
		if ok {
			return true
		}
	}
	return false
}
