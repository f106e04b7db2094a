package placement

import "guavaglade.example/guavaglade/internal/fleet/cell"

// Place returns where the request fits now without stopping anything; ok is
// false if it does not. It changes nothing.
//
// A request that may claim gets the room set aside for it, or else idle room of
// the same shape; one that need not claim gets idle room first. Any other request gets idle room; one that can be stopped
// then gets lent room, and one that cannot gets room set aside for a guarantee
// that finds other room.
func (z *Zone) Place(r Request) (a cell.Assignment, ok bool) {
	if !z.planned {
		return z.choose(z.free, r)
	}
	z.plan.Refresh()
	if r.mayClaim() && !z.mustClaim(r) {
		if a, ok := z.choose(z.idle, r); ok {
			return a, true
		}
	}
	if r.mayClaim() {
		if a, ok := z.placeClaim(r); ok {
			return a, true
		}
	}
	key := ask{r.Shape, r.Stoppable}
	if z.full[key] {
		return nil, false
	}
	a, ok = z.borrow(r)
	if !ok {
		z.full[key] = true
	}
	return a, ok
}

func (z *Zone) choose(v *cell.View, r Request) (cell.Assignment, bool) { return z.policy.Choose(v, r) }

func (z *Zone) borrow(r Request) (cell.Assignment, bool) {
	if a, ok := z.choose(z.idle, r); ok {
		return a, true
	}
	a, ok := z.choose(z.free, r)
	if !ok || r.Stoppable || z.plan.CanBlock(r.Shape, a) {
		return a, ok
	}
	return nil, false
}

// mustClaim reports whether a request that may claim does so on idle room too.
// Otherwise a small urgent gang would use up its account's guarantee for a large
// one while room is idle beside it. A gang that asked for guaranteed room and can
// be stopped must, since only the claim keeps it from being stopped for others.
func (z *Zone) mustClaim(r Request) bool {
	if !r.Guaranteed {
		return false
	}
	unit, _, _ := z.plan.Claimable(r.Account, r.Shape)
	return r.Stoppable || unit == r.Shape
}

// placeClaim returns a place by which the request would claim a guarantee.
func (z *Zone) placeClaim(r Request) (a cell.Assignment, ok bool) {
	unit, room, ok := z.plan.Claimable(r.Account, r.Shape)
	if !ok {
		return nil, false
	}
	if room != nil {
		if a, ok := z.plan.Inside(unit, room, r.Shape, z.inventory); ok {
			return a, true
		}
	}
	z.plan.WithoutRoomOf(r.Account, r.Shape, func() {
		whole := r
		whole.Shape = unit
		if a, ok = z.choose(z.idle, whole); ok {
			a, ok = z.plan.InsideNew(unit, a, r.Shape, z.inventory)
		}
	})
	return a, ok
}
