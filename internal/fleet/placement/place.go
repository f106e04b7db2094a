package placement

import "guavaglade.example/guavaglade/internal/fleet/cell"

// Place returns where the request fits now without stopping anything; ok is
// false if it does not. It changes nothing.
//
// A request that may claim gets the room set aside for it, or else idle room of
// the same shape. Any other request gets idle room; one that can be stopped
// then gets lent room, and one that cannot gets room set aside for a guarantee
// that finds other room.
func (z *Zone) Place(r Request) (a cell.Assignment, ok bool) {
	if !z.planned {
		return z.choose(z.free, r)
	}
	z.plan.Refresh()
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
