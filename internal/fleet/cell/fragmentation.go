package cell

import "math/bits"

// FreeAccelerators returns how many accelerators are free in the view.
func (v *View) FreeAccelerators() int {
	n := 0
	for rack := range v.Racks() {
		for i := range v.Rooms(rack) {
			n += bits.OnesCount64(v.Room(rack, i).Free)
		}
	}
	return n
}

// Gangs returns how many gangs of the shape fit in the view at once, whole and
// with their adjacency.
func (v *View) Gangs(s Shape) int {
	gangs, zone := 0, 0
	for rack := range v.Racks() {
		if !v.mayHold(s, rack) {
			continue
		}
		members := 0
		for i := range v.Rooms(rack) {
			c := v.Room(rack, i).Capacity(s)
			if s.adjacency == SameWorker {
				gangs += c / s.members
			}
			members += c
		}
		if s.adjacency == SameRack {
			gangs += members / s.members
		}
		zone += members
	}
	if s.adjacency == Any {
		return zone / s.members
	}
	return gangs
}
