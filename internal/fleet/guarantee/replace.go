package guarantee

import (
	"fmt"
	"slices"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

// Check returns an error that wraps *Unpackable if the guarantees cannot all be
// packed at once on the workers with nothing else on them. The packing is a
// search of bounded length: it never accepts what cannot be packed, and may
// refuse in rare cases what could be.
func Check(workers []cell.Worker, gs []Guarantee) error {
	p := NewPlan(true)
	for _, w := range workers {
		p.firm.Add(w)
	}
	p.Replace(gs)
	if p.pack(p.units, repackRounds) {
		return nil
	}
	return fmt.Errorf("pack guarantees: %w", p.unpackable())
}

// unpackable names the first guarantee that finds no room when the hardest are
// packed first, and counts how many of its gangs do.
func (p *Plan) unpackable() *Unpackable {
	order := hardestFirst(p.units)
	e := &Unpackable{}
	for _, u := range order {
		if !p.bind(u, cell.Compact) && e.Guarantee.count == 0 {
			e.Guarantee = u.guarantee
			e.Guarantee.count = 1
		}
	}
	e.Guarantee.count = 0
	for _, u := range order {
		if u.guarantee != (Guarantee{account: e.Guarantee.account, shape: e.Guarantee.shape}) {
			continue
		}
		e.Guarantee.count++
		if u.place != nil {
			e.Fitted++
		}
	}
	return e
}

// Replace puts other guarantees in place of the present ones. Claims and room
// of guarantees that stay are kept. It returns the owners of claims that are
// gone, which are booked for nothing then; the caller books them anew and calls
// Repair.
func (p *Plan) Replace(gs []Guarantee) (unclaimed []string) {
	p.dropParts()
	old := p.byKind()
	p.units, p.byKey, p.byAccount = nil, map[string]*unit{}, map[string][]*unit{}
	for _, g := range gs {
		kind := Guarantee{account: g.account, shape: g.shape}
		for range g.count {
			u := p.newUnit(kind)
			if same := old[kind]; len(same) > 0 {
				u, old[kind] = same[0], same[1:]
			}
			p.units = append(p.units, u)
			p.byKey[u.key] = u
			p.byAccount[g.account] = append(p.byAccount[g.account], u)
		}
	}
	for _, us := range old {
		for _, u := range us {
			unclaimed = append(unclaimed, p.drop(u)...)
		}
	}
	slices.Sort(unclaimed)
	return unclaimed
}

// byKind returns the units by guarantee, claimed ones first, then those with room.
func (p *Plan) byKind() map[Guarantee][]*unit {
	kinds := map[Guarantee][]*unit{}
	for _, u := range p.units {
		kinds[u.guarantee] = append(kinds[u.guarantee], u)
	}
	for _, us := range kinds {
		slices.SortStableFunc(us, func(a, b *unit) int {
			return 2*(rank(!a.claimed())-rank(!b.claimed())) + rank(a.place == nil) - rank(b.place == nil)
		})
	}
	return kinds
}

func (p *Plan) newUnit(kind Guarantee) *unit {
	p.serial++
	return &unit{key: fmt.Sprintf("%s%d", unitPrefix, p.serial), guarantee: kind}
}

// drop takes a unit out of the plan and returns the owner of its claim, if any.
func (p *Plan) drop(u *unit) []string {
	p.unbind(u)
	if !u.claimed() {
		return nil
	}
	owner := u.claim.owner
	p.firm.Release(owner)
	p.firm.Release(slotsKey(u))
	delete(p.claims, owner)
	return []string{owner}
}

// tryAll returns the unclaimed guarantees that find no room now, and changes nothing.
func (p *Plan) tryAll() []Guarantee {
	units := p.without()
	if p.pack(units, repackRounds) {
		for _, u := range units {
			p.unbind(u)
		}
		return nil
	}
	var left []*unit
	for _, u := range hardestFirst(units) {
		if !p.bind(u, cell.Compact) {
			left = append(left, u)
		}
	}
	for _, u := range units {
		p.unbind(u)
	}
	return sum(left)
}
