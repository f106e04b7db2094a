package placement

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

// Reclaim returns where the request would stand and the owners that must be
// stopped first, each a whole gang; ok is false if no victims would make room.
// Only a request with a claim on guaranteed room may reclaim. It changes nothing.
//
// Victims can be stopped and claim no guarantee themselves. Of the racks, or of
// the workers for a gang that stands on one, it chooses the one where the least
// work is lost, and stops no more there than the gang needs.
func (z *Zone) Reclaim(r Request, now time.Time) (a cell.Assignment, victims []string, ok bool) {
	if !r.mayClaim() {
		return nil, nil, false
	}
	z.plan.Refresh()
	unit, room, ok := z.plan.Claimable(r.Account, r.Shape)
	if !ok {
		return nil, nil, false
	}
	var best *clearing
	if z.planned && unit != r.Shape {
		best = z.cheapest(r.Shape, z.sitesIn(z.plan.Part(unit, room)), now)
	} else {
		z.plan.WithoutRoomOf(r.Account, r.Shape, func() {
			best = z.cheapest(r.Shape, z.sites(), now)
		})
	}
	if best == nil {
		return nil, nil, false
	}
	return best.place(), best.owners(), true
}

// site is one worker as a reclaim sees it.
type site struct {
	rack int
	firm cell.Room // the most there is to get: what firm work leaves
	now  cell.Room // what is free, and what the chosen victims hold
}

// room returns what a gang could get.
func (s site) room() cell.Room {
	room := s.firm
	room.Free &= s.now.Free
	room.Cores = min(room.Cores, s.now.Cores)
	room.Memory = min(room.Memory, s.now.Memory)
	room.Slots = min(room.Slots, s.now.Slots)
	return room
}

// sites returns all workers of the zone in their order.
func (z *Zone) sites() []site {
	var sites []site
	for rack := range z.free.Racks() {
		for i := range z.free.Rooms(rack) {
			sites = append(sites, site{rack: rack, firm: z.firm.Room(rack, i), now: z.free.Room(rack, i)})
		}
	}
	return sites
}

// sitesIn returns the workers of a part of the zone.
func (z *Zone) sitesIn(part *cell.View) []site {
	var sites []site
	for rack := range part.Racks() {
		for i := range part.Rooms(rack) {
			room := part.Room(rack, i)
			free, cores, memory, slots := z.inventory.Free(room.ID)
			now := cell.Room{ID: room.ID, Free: free, Cores: cores, Memory: memory, Slots: slots}
			sites = append(sites, site{rack: rack, firm: room, now: now})
		}
	}
	return sites
}

// cheapest returns the clearing by which the least work is lost, nil if there
// is none.
func (z *Zone) cheapest(s cell.Shape, sites []site, now time.Time) *clearing {
	var best *clearing
	for from := 0; from < len(sites); {
		to := from + 1
		for to < len(sites) && s.Adjacency() != cell.SameWorker && s.Members() > 1 && sites[to].rack == sites[from].rack {
			to++
		}
		best = better(best, z.clear(s, sites[from:to], now))
		from = to
	}
	if s.Adjacency() == cell.Any && s.Members() > 1 {
		best = better(best, z.clear(s, sites, now))
	}
	return best
}

func better(a, b *clearing) *clearing {
	if a == nil || b != nil && b.lost < a.lost {
		return b
	}
	return a
}

// clear returns how the gang gets room on the sites, by the cheaper of two
// orders of victims: the least work lost first, or the least work lost for
// each accelerator that comes free. It returns nil if there is no way.
func (z *Zone) clear(s cell.Shape, sites []site, now time.Time) *clearing {
	most := 0
	for _, site := range sites {
		most += site.firm.Capacity(s)
	}
	if most < s.Members() {
		return nil
	}
	first := z.newClearing(s, sites, now)
	if !first.stopUntilItFits(byLost) {
		return nil
	}
	second := z.newClearing(s, sites, now)
	second.stopUntilItFits(byLostEach)
	return better(first, second)
}
