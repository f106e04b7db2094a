package guarantee

import (
	"errors"
	"fmt"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

// ErrKept says that room is kept for a guarantee.
var ErrKept = errors.New("room is kept for a guarantee")

// Plan sets room aside for every guaranteed gang of a zone.
//
// Its inventory holds the firm work: gangs that cannot be stopped, gangs that
// claim a guarantee, and for each unclaimed guaranteed gang the room it would
// get. Work that can be stopped and claims nothing is not in it. So as long as
// the inventory takes no room twice, the invariant holds. A gang that needs
// room set aside for another's unclaimed guarantee gets it only if that
// guarantee finds other room.
//
// A Plan is not safe for use by several goroutines.
type Plan struct {
	firm      *cell.Inventory
	view      *cell.View // of firm
	units     []*unit
	byKey     map[string]*unit
	byAccount map[string][]*unit
	claims    map[string]*unit // by owner
	parts     []*unit          // units at risk for which a part is kept
	dirty     bool             // firm work has ended since the last Refresh
	changed   bool             // workers or guarantees have changed since the last Repair
	tried     int              // movable room when the last Repair left guarantees at risk
	ends      int              // of firm work since the last Repair
	serial    int              // of the newest unit
	setsAside bool             // false: unclaimed units get no place
}

// NewPlan returns a plan without workers or guarantees. If setAside is false it
// counts claims but keeps no room for those to come.
func NewPlan(setAside bool) *Plan {
	firm := cell.NewInventory()
	return &Plan{
		firm: firm, view: cell.NewView(firm), setsAside: setAside,
		byKey: map[string]*unit{}, byAccount: map[string][]*unit{}, claims: map[string]*unit{},
	}
}

// Firm returns the inventory of firm work, to be read only.
func (p *Plan) Firm() *cell.Inventory { return p.firm }

// AddWorker adds a worker or changes its sizes. Guarantees that are at risk get
// its room before anybody else.
func (p *Plan) AddWorker(w cell.Worker) {
	known, ok := p.firm.Worker(w.ID())
	if ok && known == w {
		return
	}
	moved := p.unbindOn(w.ID())
	p.firm.Add(w)
	p.rebind(moved)
	p.changed = true
}

// RemoveWorker takes a worker out. Guarantees with room on it get other room or
// are at risk.
func (p *Plan) RemoveWorker(id string) {
	moved := p.unbindOn(id)
	p.firm.Remove(id)
	p.rebind(moved)
}

// Bar keeps a worker out of the plan, or takes it in again.
func (p *Plan) Bar(id string, barred bool) {
	if p.firm.Barred(id) == barred {
		return
	}
	var moved []*unit
	if barred {
		moved = p.unbindOn(id)
	}
	p.firm.Bar(id, barred)
	p.rebind(moved)
	p.changed = true
}

// AtRisk returns the guarantees, each with the number of unclaimed gangs that
// have no room set aside; nil if there are none. A plan that sets no room
// aside tries now.
func (p *Plan) AtRisk() []Guarantee {
	if !p.setsAside {
		return p.tryAll()
	}
	return sum(p.without())
}

// without returns the unclaimed units that have no place.
func (p *Plan) without() []*unit {
	var units []*unit
	for _, u := range p.units {
		if !u.claimed() && u.place == nil {
			units = append(units, u)
		}
	}
	return units
}

// Block books a gang that cannot be stopped and claims nothing. It refuses
// with ErrKept, and changes nothing, if a guarantee needs the room.
func (p *Plan) Block(owner string, s cell.Shape, a cell.Assignment) error {
	undo := &undo{}
	p.clear(undo, s, a)
	if err := p.firm.Take(owner, s, a); err != nil {
		p.rollback(undo)
		return fmt.Errorf("block %s: %w: %w", owner, ErrKept, err)
	}
	if p.settle(undo) {
		return nil
	}
	p.firm.Release(owner)
	p.rollback(undo)
	return fmt.Errorf("block %s: %w", owner, ErrKept)
}

// Idle reports whether the place is neither firm work's nor set aside.
func (p *Plan) Idle(s cell.Shape, a cell.Assignment) bool {
	for _, n := range needs(a) {
		if !p.fits(n, s) {
			return false
		}
	}
	return true
}

// CanBlock reports whether Block would book the gang. It changes nothing.
func (p *Plan) CanBlock(s cell.Shape, a cell.Assignment) bool {
	const trial = unitPrefix + "trial"
	undo := &undo{}
	p.clear(undo, s, a)
	ok := p.firm.Take(trial, s, a) == nil && p.settle(undo)
	p.firm.Release(trial)
	p.rollback(undo)
	return ok
}

// ForceBlock books a gang that runs already and cannot be stopped. Guarantees
// that lose their room to it get other room or are at risk.
func (p *Plan) ForceBlock(owner string, s cell.Shape, a cell.Assignment) {
	undo := &undo{}
	p.clear(undo, s, a)
	if p.firm.Keep(owner, s, a) != nil {
		p.dropParts()
		p.loosen(a)
		_ = p.firm.Keep(owner, s, a) // nothing else stands in the way of a gang that runs
	}
	p.rebind(undo.units)
}

// Release ends what the owner was booked for. A guarantee that it claimed is
// unclaimed again, and keeps its room if that is still whole.
func (p *Plan) Release(owner string) {
	u, claims := p.claims[owner]
	if _, _, booked := p.firm.Held(owner); !booked && !claims {
		return
	}
	p.firm.Release(owner)
	if claims {
		p.unclaim(u)
	}
	p.dirty = true
	p.ends++
}

func (p *Plan) unclaim(u *unit) {
	delete(p.claims, u.claim.owner)
	p.firm.Release(slotsKey(u))
	u.claim = nil
	for _, w := range u.place.Workers() {
		if p.firm.Barred(w) {
			p.unbind(u)
			p.rebind([]*unit{u})
			return
		}
	}
}
