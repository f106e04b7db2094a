package guarantee

import "guavaglade.example/guavaglade/internal/fleet/cell"

// A part is room kept for some members of a guaranteed gang that is at risk,
// so that workers which return one by one, or gangs that end one by one, bring
// the guarantee back, and the room is not lent for good in the meantime. Parts
// give way to whatever claims a guarantee, and are made anew by each Repair.

// partKey names the part of a unit.
func partKey(u *unit) string { return u.key + "/part" }

// keepParts keeps, for each unit without a place, as many members' room as
// there is.
func (p *Plan) keepParts() {
	for _, u := range hardestFirst(p.without()) {
		if u.shape().Adjacency() != cell.SameWorker {
			p.keepPart(u)
		}
	}
}

// keepPart searches for the largest number of members that find room together.
func (p *Plan) keepPart(u *unit) {
	var best cell.Assignment
	for low, high := 1, u.shape().Members()-1; low <= high; {
		middle := (low + high + 1) / 2
		if a, ok := p.view.Smallest(u.shape().Of(middle), cell.Compact); ok {
			best, low = a, middle+1
		} else {
			high = middle - 1
		}
	}
	if best != nil && p.firm.Take(partKey(u), u.shape().Of(len(best)), best) == nil {
		p.parts = append(p.parts, u)
	}
}

// dropParts gives up all parts until the next Repair.
func (p *Plan) dropParts() {
	p.liftParts()
	p.changed = p.changed || len(p.parts) > 0
	p.parts = p.parts[:0]
}

// liftParts takes the parts' room away and returns where it was.
func (p *Plan) liftParts() []cell.Assignment {
	kept := make([]cell.Assignment, len(p.parts))
	for i, u := range p.parts {
		_, kept[i], _ = p.firm.Held(partKey(u))
		p.firm.Release(partKey(u))
	}
	return kept
}

// giveParts gives the parts their room again, if it is still free.
func (p *Plan) giveParts(kept []cell.Assignment) {
	var still []*unit
	for i, u := range p.parts {
		if u.place == nil && !u.claimed() && p.firm.Take(partKey(u), u.shape().Of(len(kept[i])), kept[i]) == nil {
			still = append(still, u)
		}
	}
	p.parts = still
}

// withoutParts calls f while no part is kept. If f reports that it changed the
// plan, the parts are given up.
func (p *Plan) withoutParts(f func() (changed bool)) bool {
	kept := p.liftParts()
	if f() {
		p.dropParts()
		return true
	}
	p.giveParts(kept)
	return false
}
