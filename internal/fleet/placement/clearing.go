package placement

import (
	"cmp"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

// clearing is a choice of gangs to stop, so that a gang of the shape fits on
// the sites.
type clearing struct {
	shape   cell.Shape
	sites   []site
	at      map[string]int // index into sites by worker
	victims []victim       // those that may be stopped; after stopUntilItFits those that are
	fits    int            // members that fit
	lost    float64        // accelerator-seconds
}

// victim is a gang that may be stopped.
type victim struct {
	holder *Holder
	lost   float64 // accelerator-seconds
	frees  int     // accelerators on the sites, at least 1
}

func byLost(a, b victim) int {
	return cmp.Or(cmp.Compare(a.lost, b.lost), cmp.Compare(a.holder.Request.Owner, b.holder.Request.Owner))
}

func byLostEach(a, b victim) int {
	return cmp.Or(cmp.Compare(a.lost/float64(a.frees), b.lost/float64(b.frees)), byLost(a, b))
}

func (z *Zone) newClearing(s cell.Shape, sites []site, now time.Time) *clearing {
	c := &clearing{shape: s, sites: slices.Clone(sites), at: make(map[string]int, len(sites))}
	seen := map[string]bool{}
	for i, site := range sites {
		c.at[site.now.ID] = i
		c.fits += site.room().Capacity(s)
	}
	for _, site := range sites {
		for _, owner := range z.inventory.Owners(site.now.ID) {
			h := z.holders[owner]
			if seen[owner] || !h.Request.Stoppable || h.Claims {
				continue
			}
			seen[owner] = true
			c.victims = append(c.victims, victim{holder: h, lost: h.lost(now), frees: c.frees(h)})
		}
	}
	return c
}

// frees counts the accelerators that a gang holds on the sites, at least 1.
func (c *clearing) frees(h *Holder) int {
	n := 0
	for _, g := range h.Assignment {
		if _, ok := c.at[g.Worker]; ok {
			n += g.Count()
		}
	}
	return max(n, 1)
}

// stopUntilItFits stops victims in the order until the gang fits, and then
// spares, the dearest first, those that are not needed after all. It reports
// false if the gang does not fit even so.
func (c *clearing) stopUntilItFits(order func(a, b victim) int) bool {
	slices.SortFunc(c.victims, order)
	n := 0
	for ; n < len(c.victims) && c.fits < c.shape.Members(); n++ {
		c.book(c.victims[n].holder, 1)
	}
	if c.fits < c.shape.Members() {
		return false
	}
	stopped := c.victims[:n]
	slices.SortFunc(stopped, byLost)
	c.victims = nil
	for _, v := range slices.Backward(stopped) {
		c.book(v.holder, -1)
		if c.fits >= c.shape.Members() {
			continue
		}
		c.book(v.holder, 1)
		c.victims = append(c.victims, v)
		c.lost += v.lost
	}
	slices.SortFunc(c.victims, byLost)
	return true
}

// book counts what a gang holds on the sites as free (sign 1) or not (sign -1).
func (c *clearing) book(h *Holder, sign int) {
	s := h.Request.Shape
	for _, g := range h.Assignment {
		i, ok := c.at[g.Worker]
		if !ok {
			continue
		}
		site := &c.sites[i]
		c.fits -= site.room().Capacity(c.shape)
		if sign > 0 {
			site.now.Free |= g.Accelerators
		} else {
			site.now.Free &^= g.Accelerators
		}
		site.now.Cores += sign * s.Cores()
		site.now.Memory += sign * s.Memory()
		site.now.Slots += sign
		c.fits += site.room().Capacity(c.shape)
	}
}

// place returns where the gang stands once the victims are stopped, on as few
// workers as possible.
func (c *clearing) place() cell.Assignment {
	rooms := make([]cell.Room, len(c.sites))
	for i, site := range c.sites {
		rooms[i] = site.room()
	}
	slices.SortStableFunc(rooms, func(a, b cell.Room) int {
		return cmp.Compare(b.Capacity(c.shape), a.Capacity(c.shape))
	})
	var a cell.Assignment
	for _, room := range rooms {
		a = room.Put(a, c.shape, c.shape.Members()-len(a), cell.Pick)
	}
	return a
}

// owners returns the victims, the least work lost first.
func (c *clearing) owners() []string {
	var owners []string
	for _, v := range c.victims {
		owners = append(owners, v.holder.Request.Owner)
	}
	return owners
}
