package placement

import "guavaglade.example/guavaglade/internal/fleet/cell"

// FirstFit takes the first accelerators that are free, in the order of the
// workers. It is the baseline that others are measured against.
type FirstFit struct{}

// Choose returns the first place in the order of racks and workers.
func (FirstFit) Choose(v *cell.View, r Request) (cell.Assignment, bool) {
	s := r.Shape
	var a cell.Assignment
	for rack := range v.Racks() {
		if s.Adjacency() == cell.SameRack {
			a = nil
		}
		for i := range v.Rooms(rack) {
			if s.Adjacency() == cell.SameWorker {
				a = nil
			}
			a = v.Room(rack, i).Put(a, s, s.Members()-len(a), cell.Lowest)
			if len(a) == s.Members() {
				return a, true
			}
		}
	}
	return nil, false
}
