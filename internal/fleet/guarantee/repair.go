package guarantee

import "guavaglade.example/guavaglade/internal/fleet/cell"

// endsPerRepair is after how many ends of firm work all is packed anew, although
// there is no more room to move in than when that failed last.
const endsPerRepair = 64

// Refresh gives room that has come free to guarantees at risk. Whoever decides
// by the plan calls it first, so that they get it before anybody else does.
//
// While guarantees are at risk, packing all of them anew at each end of a gang
// would cost more than all other decisions together. So that is done only when
// workers or guarantees have changed, when there is more room to move in than
// at the last failure, and once in a while; else what fits by itself is bound.
func (p *Plan) Refresh() {
	switch {
	case p.changed:
		p.Repair()
	case p.dirty && p.risky():
		if p.movable() > p.tried || p.ends >= endsPerRepair {
			p.Repair()
		} else {
			p.bindIdle()
		}
	}
	p.dirty = false
}

func (p *Plan) risky() bool {
	for _, u := range p.units {
		if !u.claimed() && u.place == nil {
			return p.setsAside
		}
	}
	return false
}

// movable returns the accelerators and slots that firm work leaves to unclaimed
// guarantees.
func (p *Plan) movable() int {
	accelerators, slots := p.firm.FreeRoom()
	n := accelerators + slots
	for _, u := range p.units {
		if !u.claimed() && u.place != nil {
			n += u.shape().Total() + u.shape().Members()
		}
	}
	for _, u := range p.parts {
		if s, _, ok := p.firm.Held(partKey(u)); ok {
			n += s.Total() + s.Members()
		}
	}
	return n
}

// Repair gives room to guarantees that are at risk, as many as it can: at first
// what is idle, then by packing all of them anew, then by packing each in turn
// beside those that have room.
func (p *Plan) Repair() {
	if p.setsAside {
		p.dropParts()
		p.repair()
		p.keepParts()
		p.tried = p.movable()
	}
	p.dirty, p.changed, p.ends = false, false, 0
}

func (p *Plan) repair() {
	left := p.bindWithout()
	if len(left) == 0 || p.pushIn(left) {
		return
	}
	stuck := map[cell.Shape]bool{}
	for _, u := range left {
		if !stuck[u.shape()] && !p.pushIn([]*unit{u}) {
			stuck[u.shape()] = true
		}
	}
}

// bindIdle binds what fits by itself, on room of parts too.
func (p *Plan) bindIdle() {
	kept := p.liftParts()
	p.bindWithout()
	p.giveParts(kept)
}

// bindWithout binds units at risk to idle room and returns those for which a
// repack may find some.
func (p *Plan) bindWithout() []*unit {
	var left []*unit
	failed := map[cell.Shape]bool{}
	for _, u := range hardestFirst(p.without()) {
		if !failed[u.shape()] && p.bind(u, cell.Compact) {
			continue
		}
		failed[u.shape()] = true
		if accelerators, _ := p.firm.FreeRoom(); accelerators >= u.shape().Total() {
			left = append(left, u)
		}
	}
	return left
}
