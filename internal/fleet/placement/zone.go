package placement

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/guarantee"
)

// ErrNever says that a shape fits on no worker or rack of the zone even when
// all of it is free.
var ErrNever = errors.New("fits nowhere in the zone")

// Zone is the room of one availability zone.
//
// It keeps two inventories of the same workers: what runs, and the firm work
// and the room set aside for guarantees (guarantee.Plan). Work that can be
// stopped and claims nothing is in the first only, so it may stand on room that
// is set aside.
type Zone struct {
	policy    Policy
	planned   bool // keeps non-stoppable borrowers off guaranteed room
	inventory *cell.Inventory
	plan      *guarantee.Plan
	free      *cell.View          // what nobody holds
	idle      *cell.View          // what nobody holds and is not set aside
	firm      *cell.View          // what firm work does not hold and is not set aside
	holders   map[string]*Holder  // by owner
	tasks     int                 // members of all holders
	never     map[cell.Shape]bool // answers of CanEver for the present workers
	full      map[ask]bool        // asks that found no place since room last grew
}

// ask is what decides whether a request that claims nothing finds a place.
type ask struct {
	shape     cell.Shape
	stoppable bool
}

// Option changes how a zone is made.
type Option func(*Zone)

// WithoutPlan makes a zone that notes guarantees and counts claims, but lends
// guaranteed room to work that cannot be stopped as well. It is for baselines:
// how often a guarantee cannot be given back is then a measured figure.
func WithoutPlan() Option { return func(z *Zone) { z.planned = false } }

// NewZone returns a zone without workers. If p is nil, Cells is used.
func NewZone(p Policy, opts ...Option) *Zone {
	if p == nil {
		p = Cells{}
	}
	z := &Zone{
		policy: p, planned: true, inventory: cell.NewInventory(),
		holders: map[string]*Holder{}, never: map[cell.Shape]bool{}, full: map[ask]bool{},
	}
	for _, o := range opts {
		o(z)
	}
	z.plan = guarantee.NewPlan(z.planned)
	z.free = cell.NewView(z.inventory)
	z.idle = cell.NewView(z.inventory, z.plan.Firm())
	z.firm = cell.NewView(z.plan.Firm())
	return z
}

// AddWorker adds a worker, or changes the sizes of one that is known.
// Guarantees that are at risk get its room first. What is held on a worker
// that was removed before is held on it still.
func (z *Zone) AddWorker(w cell.Worker) {
	if known, ok := z.inventory.Worker(w.ID()); ok && known == w {
		return
	}
	z.inventory.Add(w)
	z.plan.AddWorker(w)
	clear(z.never)
	clear(z.full)
}

// RemoveWorker takes a worker out. Gangs with a member on it keep their other
// members' room until they are freed.
func (z *Zone) RemoveWorker(id string) {
	z.inventory.Remove(id)
	z.plan.RemoveWorker(id)
	clear(z.never)
}

// Bar says whether a worker gets new work: a leaving or quarantined one does not.
func (z *Zone) Bar(id string, barred bool) {
	z.inventory.Bar(id, barred)
	z.plan.Bar(id, barred)
	clear(z.full)
}

// SetGuarantees replaces what is guaranteed. It refuses, and changes nothing,
// if the shapes cannot all be packed at once on the zone's workers; the error
// wraps *guarantee.Unpackable. A zone that knows no worker yet accepts all.
func (z *Zone) SetGuarantees(gs []guarantee.Guarantee) error {
	workers := z.inventory.Workers()
	if len(workers) > 0 {
		if err := guarantee.Check(workers, gs); err != nil {
			return fmt.Errorf("set guarantees: %w", err)
		}
	}
	z.ImposeGuarantees(gs)
	return nil
}

// ImposeGuarantees replaces what is guaranteed by what was accepted elsewhere,
// also if workers are missing now: what finds no room is at risk. What runs is
// not cut. Gangs that asked for guaranteed room claim what is new.
func (z *Zone) ImposeGuarantees(gs []guarantee.Guarantee) {
	for _, owner := range z.plan.Replace(gs) {
		h := z.holders[owner]
		z.noteClaim(h)
		if !h.Request.Stoppable {
			z.plan.ForceBlock(owner, h.Request.Shape, h.Assignment)
		}
	}
	z.claimAnew(z.mustClaim)
	z.plan.Repair()
	z.claimAnew(func(r Request) bool {
		_, room, ok := z.plan.Claimable(r.Account, r.Shape)
		return ok && room == nil // the gang may stand on the room that the guarantee lacks
	})
	clear(z.full)
}

// claimAnew lets gangs that run claim what their account is guaranteed, the
// oldest first.
func (z *Zone) claimAnew(wanted func(Request) bool) {
	for _, h := range z.oldestFirst() {
		r := h.Request
		if !h.Claims && r.mayClaim() && wanted(r) {
			z.plan.Claim(r.Owner, r.Account, r.Shape, h.Assignment)
			z.noteClaim(h)
		}
	}
}

// noteClaim copies from the plan what a holder claims.
func (z *Zone) noteClaim(h *Holder) {
	h.Guarantee, h.Claims = z.plan.ClaimedBy(h.Request.Owner)
}

func (z *Zone) oldestFirst() []*Holder {
	hs := make([]*Holder, 0, len(z.holders))
	for _, h := range z.holders {
		hs = append(hs, h)
	}
	slices.SortFunc(hs, func(a, b *Holder) int {
		return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Request.Owner, b.Request.Owner))
	})
	return hs
}

// AtRisk returns the guarantees whose unclaimed part could not be given back
// now, each with the number of gangs that could not: after losses of workers,
// or while work runs that was there before the guarantee. It is nil if there
// are none. In a zone made WithoutPlan it says what is breached.
func (z *Zone) AtRisk() []guarantee.Guarantee {
	z.plan.Refresh()
	return z.plan.AtRisk()
}

// Take gives the request its place. It claims a guarantee of the account if the
// request may and one is left that contains it, but not for a smaller gang that
// cannot be stopped, or one that is only urgent, on idle room. It refuses, and
// changes nothing, if the place is not free or is kept for a guarantee
// (guarantee.ErrKept).
func (z *Zone) Take(r Request, a cell.Assignment, now time.Time) error {
	z.plan.Refresh()
	if err := z.inventory.Take(r.Owner, r.Shape, a); err != nil {
		return fmt.Errorf("place %s: %w", r.Owner, err)
	}
	h := &Holder{Request: r, Assignment: a, Since: now}
	if r.mayClaim() && (z.mustClaim(r) || !z.plan.Idle(r.Shape, a)) {
		z.plan.Claim(r.Owner, r.Account, r.Shape, a)
	}
	z.noteClaim(h)
	if !h.Claims && !r.Stoppable {
		if err := z.plan.Block(r.Owner, r.Shape, a); err != nil {
			z.inventory.Release(r.Owner)
			return fmt.Errorf("place %s: %w", r.Owner, err)
		}
	}
	z.holders[r.Owner] = h
	z.tasks += len(a)
	return nil
}

// Adopt books a gang that runs already, as the workers' lists show it. Unlike
// Take it does not refuse room that is kept for a guarantee: what runs is not
// cut, and the guarantee may be at risk until it ends. It refuses room that is
// taken.
func (z *Zone) Adopt(r Request, a cell.Assignment, since time.Time) error {
	z.plan.Refresh()
	if err := z.inventory.Take(r.Owner, r.Shape, a); err != nil {
		return fmt.Errorf("adopt %s: %w", r.Owner, err)
	}
	h := &Holder{Request: r, Assignment: a, Since: since}
	if r.mayClaim() && (z.mustClaim(r) || !z.plan.Idle(r.Shape, a)) {
		z.plan.ForceClaim(r.Owner, r.Account, r.Shape, a)
	}
	z.noteClaim(h)
	if !h.Claims && !r.Stoppable {
		z.plan.ForceBlock(r.Owner, r.Shape, a)
	}
	z.holders[r.Owner] = h
	z.tasks += len(a)
	return nil
}

// Free gives back what the owner holds. An unknown owner is no error.
func (z *Zone) Free(owner string) {
	if _, ok := z.holders[owner]; !ok {
		return
	}
	z.tasks -= len(z.holders[owner].Assignment)
	z.inventory.Release(owner)
	z.plan.Release(owner)
	delete(z.holders, owner)
	clear(z.full)
}

// Checkpointed notes the newest checkpoint of an owner.
func (z *Zone) Checkpointed(owner string, at time.Time) {
	if h, ok := z.holders[owner]; ok && at.After(h.Checkpoint) {
		h.Checkpoint = at
	}
}

// Holder returns what an owner holds; ok is false if it holds nothing.
func (z *Zone) Holder(owner string) (h Holder, ok bool) {
	p, ok := z.holders[owner]
	if !ok {
		return Holder{}, false
	}
	return *p, true
}

// Tasks returns how many members of gangs hold room.
func (z *Zone) Tasks() int { return z.tasks }

// CanEver returns ErrNever, with the reason, for a shape that the zone could
// not place even if all of its workers were free.
func (z *Zone) CanEver(s cell.Shape) error {
	never, known := z.never[s]
	if !known {
		empty := cell.NewView(cell.NewInventory(z.inventory.Workers()...))
		never = empty.Gangs(s) == 0
		z.never[s] = never
	}
	if never {
		return fmt.Errorf("shape %s: %w", s, ErrNever)
	}
	return nil
}

// Fragmentation returns the share of the free accelerators, 0 to 1, that gangs
// of the shape cannot use: what is over when as many whole gangs as possible
// stand, with their adjacency. It is 0 when nothing is free or the shape asks
// for no accelerators.
func (z *Zone) Fragmentation(s cell.Shape) float64 {
	free := z.free.FreeAccelerators()
	if free == 0 || s.Total() == 0 {
		return 0
	}
	return 1 - float64(z.free.Gangs(s)*s.Total())/float64(free)
}

// Inventory returns the zone's inventory, to be read only.
func (z *Zone) Inventory() *cell.Inventory { return z.inventory }
