package guarantee

import (
	"cmp"
	"slices"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

// Claimable returns the shape and the room set aside (nil if there is none) of
// the unclaimed guaranteed gang that a gang of the shape would claim; ok is
// false if the account has none whose cell contains the shape.
func (p *Plan) Claimable(account string, s cell.Shape) (unit cell.Shape, place cell.Assignment, ok bool) {
	us := p.candidates(account, s)
	if len(us) == 0 {
		return cell.Shape{}, nil, false
	}
	return us[0].shape(), us[0].place, true
}

// candidates returns the unclaimed units of the account that contain the
// shape: first those of the same shape, then the smallest; those with room
// before those at risk.
func (p *Plan) candidates(account string, s cell.Shape) []*unit {
	var us []*unit
	for _, u := range p.byAccount[account] {
		if !u.claimed() && u.shape().Contains(s) {
			us = append(us, u)
		}
	}
	slices.SortStableFunc(us, func(a, b *unit) int {
		return cmp.Or(cmp.Compare(rank(a.shape() != s), rank(b.shape() != s)),
			cmp.Compare(rank(a.place == nil), rank(b.place == nil)),
			cmp.Compare(a.shape().Total(), b.shape().Total()))
	})
	return us
}

func rank(last bool) int {
	if last {
		return 1
	}
	return 0
}

// WithoutRoomOf calls f while the room of the unit that a gang of the shape
// would claim counts as free. f must not change the plan.
func (p *Plan) WithoutRoomOf(account string, s cell.Shape, f func()) {
	un := &undo{}
	if us := p.candidates(account, s); len(us) > 0 {
		p.lift(un, us[0])
	}
	p.withoutParts(func() bool {
		f()
		return false
	})
	p.rollback(un)
}

// Claim books a gang as the use of one of its account's unclaimed guarantees.
// It reports false, and changes nothing, if the account has none that contains
// the shape or if the gang's place cannot be made part of its room. A gang
// booked by Block may claim later.
func (p *Plan) Claim(owner, account string, s cell.Shape, a cell.Assignment) bool {
	us := p.candidates(account, s)
	if len(us) == 0 {
		return false
	}
	if !p.setsAside {
		p.claimLoosely(us[0], owner, s, a)
		return true
	}
	held, place, blocked := p.firm.Held(owner)
	p.firm.Release(owner)
	for _, u := range us {
		if p.claimInside(u, owner, s, a) {
			return true
		}
	}
	around := func() bool { return p.claimAround(us[0], owner, s, a) }
	if around() || len(p.parts) > 0 && p.withoutParts(around) {
		return true
	}
	if blocked {
		_ = p.firm.Keep(owner, held, place) // the room was this owner's a moment ago
	}
	return false
}

// ForceClaim books a gang that runs already. If its place cannot be made part
// of the guarantee's room, the guarantee counts as claimed but may be at risk
// when the gang ends. It reports false if there is nothing to claim.
func (p *Plan) ForceClaim(owner, account string, s cell.Shape, a cell.Assignment) bool {
	if p.Claim(owner, account, s, a) {
		return true
	}
	us := p.candidates(account, s)
	if len(us) == 0 {
		return false
	}
	p.claimLoosely(us[0], owner, s, a)
	return true
}

func (p *Plan) claimLoosely(u *unit, owner string, s cell.Shape, a cell.Assignment) {
	p.firm.Release(owner)
	p.unbind(u)
	p.note(u, &claim{owner: owner, shape: s, place: a, loose: true})
	p.ForceBlock(owner, s, a)
}

func (p *Plan) note(u *unit, c *claim) {
	u.claim = c
	p.claims[c.owner] = u
}

// claimInside claims a unit whose room encloses the gang.
func (p *Plan) claimInside(u *unit, owner string, s cell.Shape, a cell.Assignment) bool {
	if !u.encloses(s, a) || !p.takeSlots(u, a) {
		return false
	}
	p.note(u, &claim{owner: owner, shape: s, place: a})
	return true
}

// claimAround moves the unit's room to where the gang stands.
func (p *Plan) claimAround(u *unit, owner string, s cell.Shape, a cell.Assignment) bool {
	un := &undo{}
	p.lift(un, u)
	p.clear(un, s, a)
	room, ok := p.enclose(u.shape(), s, a)
	if ok {
		p.clear(un, u.shape(), room)
		ok = p.bindAt(u, room)
	}
	if ok && p.claimInside(u, owner, s, a) {
		if p.bindAll(hardestFirst(without(un.units, u)), cell.Compact) == nil || p.settleAll(un, u) {
			return true
		}
		p.firm.Release(slotsKey(u))
		delete(p.claims, owner)
		u.claim = nil
	}
	p.rollbackWith(un, u)
	return false
}

// settleAll packs all unclaimed units anew; un remembers where they were.
func (p *Plan) settleAll(un *undo, claimed *unit) bool {
	p.liftAll(un)
	return p.pack(without(un.units, claimed), settleRounds)
}

// rollbackWith rolls back, also if the unit had no place before.
func (p *Plan) rollbackWith(un *undo, u *unit) {
	p.unbind(u)
	p.rollback(un)
}

func without(units []*unit, u *unit) []*unit {
	return slices.DeleteFunc(slices.Clone(units), func(o *unit) bool { return o == u })
}

// encloses reports whether the gang stands within the unit's room.
func (u *unit) encloses(s cell.Shape, a cell.Assignment) bool {
	if u.place == nil {
		return false
	}
	mine := needs(u.place)
	for _, n := range needs(a) {
		i := slices.IndexFunc(mine, func(m need) bool { return m.worker == n.worker })
		if i < 0 || n.accelerators&^mine[i].accelerators != 0 ||
			n.members*s.Cores() > mine[i].members*u.shape().Cores() ||
			n.members*s.Memory() > mine[i].members*u.shape().Memory() {
			return false
		}
	}
	return true
}

// slotsKey names the slots that a claim with more members than its unit takes
// beside the unit's own.
func slotsKey(u *unit) string { return u.key + "/slots" }

// takeSlots books the slots that the gang needs beyond those of the unit.
func (p *Plan) takeSlots(u *unit, a cell.Assignment) bool {
	mine := needs(u.place)
	var extra cell.Assignment
	for _, n := range needs(a) {
		i := slices.IndexFunc(mine, func(m need) bool { return m.worker == n.worker })
		for range n.members - mine[i].members {
			extra = append(extra, cell.Grant{Member: len(extra), Worker: n.worker})
		}
	}
	if len(extra) == 0 {
		return true
	}
	slot, err := cell.NewShape(len(extra), 0, 0, 0, cell.Any)
	return err == nil && p.firm.Take(slotsKey(u), slot, extra) == nil
}

// loosen makes claims loose that keep more room on the assignment's workers
// than their gang uses.
func (p *Plan) loosen(a cell.Assignment) {
	for _, w := range a.Workers() {
		for _, key := range slices.Clone(p.firm.Owners(w)) {
			u, ok := p.byKey[key]
			if !ok || !u.claimed() || u.claim.loose || u.claim.shape == u.shape() {
				continue
			}
			p.unbind(u)
			p.firm.Release(slotsKey(u))
			u.claim.loose = true
			_ = p.firm.Keep(u.claim.owner, u.claim.shape, u.claim.place) // within the room just released
		}
	}
}

// ClaimedBy returns the guaranteed shape that an owner claims; ok is false if
// it claims none.
func (p *Plan) ClaimedBy(owner string) (s cell.Shape, ok bool) {
	u, ok := p.claims[owner]
	if !ok {
		return cell.Shape{}, false
	}
	return u.shape(), true
}
