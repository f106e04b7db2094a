package cell

import (
	"cmp"
	"math/bits"
	"slices"
)

// Style says how the members of a gang are spread over the workers of a rack.
type Style int

// The styles.
const (
	// Compact puts a gang on as few workers as it can, in the smallest aligned
	// group of workers of the rack.
	Compact Style = iota
	// Fill uses up partly taken workers first, so that whole ones stay whole.
	Fill
)

// Smallest returns a place of the shape in the smallest cell that holds it: a
// worker, a group of workers of a rack, a rack, or as few racks as possible;
// among equal cells the one that leaves the least room over. ok is false if
// there is no place. Accelerators of a worker that form no aligned block are
// used if nothing else is left, so a place is found whenever there is one.
func (v *View) Smallest(s Shape, style Style) (a Assignment, ok bool) {
	if s.members == 1 || s.adjacency == SameWorker {
		return v.inWorker(s)
	}
	v.countRacks(s)
	if rack := v.bestRack(s, s.members); rack >= 0 {
		return v.fillRack(nil, s, s.members, rack, style), true
	}
	if s.adjacency == SameRack {
		return nil, false
	}
	return v.overRacks(s, style)
}

// SmallestIn is Smallest within the rack of the name, for a gang of which every
// member must stand there.
func (v *View) SmallestIn(name string, s Shape, style Style) (a Assignment, ok bool) {
	for i, k := range v.layers[0].racks {
		if k.name != name {
			continue
		}
		n := 0
		for j := range v.Rooms(i) {
			n += v.Room(i, j).Capacity(s)
		}
		if n < s.members {
			return nil, false
		}
		return v.fillRack(nil, s, s.members, i, style), true
	}
	return nil, false
}

// fit weighs a worker for a whole gang: the smaller, the better.
type fit struct {
	left     int // free accelerators left on the worker
	idle     int // accelerators of a worker that is asked for none
	rackFree int // a rack in use goes before an empty one
	slots    int // left
}

func (f fit) less(o fit) bool {
	return cmp.Or(cmp.Compare(f.left, o.left), cmp.Compare(f.idle, o.idle),
		cmp.Compare(f.rackFree, o.rackFree), cmp.Compare(f.slots, o.slots)) < 0
}

func (v *View) inWorker(s Shape) (Assignment, bool) {
	var best Room
	var least fit
	found := false
	for rack := range v.Racks() {
		if !v.mayHold(s, rack) {
			continue
		}
		for i := range v.Rooms(rack) {
			room := v.Room(rack, i)
			if room.Capacity(s) < s.members {
				continue
			}
			f := fit{left: bits.OnesCount64(room.Free) - s.Total(), rackFree: v.rackFree(rack), slots: room.Slots}
			if s.accelerators == 0 {
				f.idle = room.Size
			}
			if !found || f.less(least) {
				best, least, found = room, f, true
			}
		}
	}
	if !found {
		return nil, false
	}
	return best.Put(make(Assignment, 0, s.members), s, s.members, Pick), true
}

// countRacks notes how many members fit in each rack.
func (v *View) countRacks(s Shape) {
	v.caps = v.caps[:0]
	for rack := range v.Racks() {
		n := 0
		if v.mayHold(s, rack) {
			for i := range v.Rooms(rack) {
				n += v.Room(rack, i).Capacity(s)
			}
		}
		v.caps = append(v.caps, n)
	}
}

// bestRack returns the rack that holds n members and has the least room over,
// -1 if no rack holds them.
func (v *View) bestRack(s Shape, n int) int {
	best := -1
	for rack, c := range v.caps {
		if c < n {
			continue
		}
		if best < 0 || v.over(s, rack, c) < v.over(s, best, v.caps[best]) {
			best = rack
		}
	}
	return best
}

// over returns what a rack with room for c members has of free accelerators,
// or of members if the shape asks for no accelerators.
func (v *View) over(s Shape, rack, c int) int {
	if s.accelerators == 0 {
		return v.rackFree(rack)<<16 + c
	}
	return v.rackFree(rack)
}

// overRacks spreads a gang over racks: the largest first, and the rest where
// the least is left over.
func (v *View) overRacks(s Shape, style Style) (Assignment, bool) {
	a := make(Assignment, 0, s.members)
	for len(a) < s.members {
		rest := s.members - len(a)
		rack := v.bestRack(s, rest)
		if rack < 0 {
			rack = slices.Index(v.caps, slices.Max(append(v.caps, 0)))
		}
		if rack < 0 || rack >= len(v.caps) || v.caps[rack] == 0 {
			return nil, false
		}
		a = v.fillRack(a, s, min(rest, v.caps[rack]), rack, style)
		v.caps[rack] = 0
	}
	return a, true
}

// fillRack appends n members in a rack that has room for them.
func (v *View) fillRack(a Assignment, s Shape, n, rack int, style Style) Assignment {
	if a == nil {
		a = make(Assignment, 0, s.members)
	}
	if style == Fill {
		return v.fillUp(a, s, n, rack)
	}
	lo, hi := v.group(s, n, rack)
	v.rooms = v.rooms[:0]
	for i := lo; i < hi; i++ {
		v.rooms = append(v.rooms, v.Room(rack, i))
	}
	for n > 0 {
		i := bestRoom(v.rooms, s, n)
		before := len(a)
		a = v.rooms[i].Put(a, s, n, Pick)
		n -= len(a) - before
		v.rooms[i].Slots = 0
	}
	return a
}

// group returns the smallest aligned group of 1, 2, 4, ... workers of a rack
// that has room for n members; among equal groups the one with least room.
func (v *View) group(s Shape, n, rack int) (lo, hi int) {
	rooms := v.Rooms(rack)
	for size := 1; size < rooms; size *= 2 {
		best, least := -1, 0
		for at := 0; at < rooms; at += size {
			c := 0
			for i := at; i < min(at+size, rooms); i++ {
				c += v.Room(rack, i).Capacity(s)
			}
			if c >= n && (best < 0 || c < least) {
				best, least = at, c
			}
		}
		if best >= 0 {
			return best, min(best+size, rooms)
		}
	}
	return 0, rooms
}

// bestRoom returns the room that holds n members with the least capacity over,
// or else the one with the largest capacity.
func bestRoom(rooms []Room, s Shape, n int) int {
	best, have := 0, rooms[0].Capacity(s)
	for i := 1; i < len(rooms); i++ {
		c := rooms[i].Capacity(s)
		if better := c >= n && (have < n || c < have) || c < n && have < n && c > have; better {
			best, have = i, c
		}
	}
	return best
}

// fillUp appends n members, those workers first that have the least free.
func (v *View) fillUp(a Assignment, s Shape, n, rack int) Assignment {
	v.rooms = v.rooms[:0]
	for i := range v.Rooms(rack) {
		if room := v.Room(rack, i); room.Capacity(s) > 0 {
			v.rooms = append(v.rooms, room)
		}
	}
	slices.SortStableFunc(v.rooms, func(a, b Room) int {
		return cmp.Or(cmp.Compare(bits.OnesCount64(a.Free), bits.OnesCount64(b.Free)), cmp.Compare(a.Slots, b.Slots))
	})
	for i := 0; i < len(v.rooms) && n > 0; i++ {
		before := len(a)
		a = v.rooms[i].Put(a, s, n, Pick)
		n -= len(a) - before
	}
	return a
}
