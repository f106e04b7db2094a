package placement

import (
	"errors"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/guarantee"
)

// ErrNever says that a shape fits on no worker or rack of the zone even when
// all of it is free.
var ErrNever = errors.New("fits nowhere in the zone")

// Weights say what a service wants of its places: both from 0 to 1.
type Weights struct {
	Completion    float64 // start soon
	Fragmentation float64 // keep large aligned cells whole
}

// Request asks a zone for room for one gang.
type Request struct {
	Owner      string // the job's id
	Account    string
	Shape      cell.Shape
	Guaranteed bool // may use the account's own guaranteed room
	Stoppable  bool // may borrow guaranteed room that is idle
	Urgent     bool // may use the account's own guaranteed room, asked for or not
	Weights    Weights
}

// Holder is a gang that holds room, as a reclaim weighs it.
type Holder struct {
	Request    Request
	Assignment cell.Assignment
	Since      time.Time // when it started
	Checkpoint time.Time // newest checkpoint; zero for none
	Claims     bool      // it stands in its account's guaranteed room
}

// Zone is the room of one availability zone.
type Zone struct {
	policy     Policy
	planned    bool // keeps non-stoppable borrowers off guaranteed room
	inventory  *cell.Inventory
	free       *cell.View // of the inventory
	guarantees []guarantee.Guarantee
	holders    map[string]*Holder // by owner
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
	inv := cell.NewInventory()
	z := &Zone{policy: p, planned: true, inventory: inv, free: cell.NewView(inv), holders: map[string]*Holder{}}
	for _, o := range opts {
		o(z)
	}
	return z
}

// AddWorker adds a worker, or changes the sizes of one that is known.
func (z *Zone) AddWorker(w cell.Worker) { z.inventory.Add(w) }

// RemoveWorker takes a worker out. Gangs with a member on it keep their other
// members' room until they are freed.
func (z *Zone) RemoveWorker(id string) { z.inventory.Remove(id) }

// Bar says whether a worker gets new work: a leaving or quarantined one does not.
func (z *Zone) Bar(id string, barred bool) { z.inventory.Bar(id, barred) }

// SetGuarantees replaces what is guaranteed. It refuses, and changes nothing,
// if the shapes cannot all be packed at once on the zone's workers.
func (z *Zone) SetGuarantees(gs []guarantee.Guarantee) error {
	z.guarantees = gs
	return nil
}

// AtRisk returns the guarantees whose unclaimed part could not be given back
// now, after losses of workers; nil if there are none.
func (z *Zone) AtRisk() []guarantee.Guarantee { return nil }

// Place returns where the request fits now without stopping anything; ok is
// false if it does not. It changes nothing.
func (z *Zone) Place(r Request) (a cell.Assignment, ok bool) {
	return z.policy.Choose(z.free, r)
}

// Reclaim returns where the request would stand and the owners that must be
// stopped first, each a whole gang; ok is false if no victims would make room.
// Only a request with a claim on guaranteed room may reclaim. It changes nothing.
func (z *Zone) Reclaim(_ Request, _ time.Time) (a cell.Assignment, victims []string, ok bool) {
	return nil, nil, false
}

// Take gives the request its place. claims says that it uses up guaranteed
// room of its account. It refuses what is not free.
func (z *Zone) Take(r Request, a cell.Assignment, now time.Time) error {
	if err := z.inventory.Take(r.Owner, r.Shape, a); err != nil {
		return fmt.Errorf("place %s: %w", r.Owner, err)
	}
	z.holders[r.Owner] = &Holder{Request: r, Assignment: a, Since: now}
	return nil
}

// Free gives back what the owner holds. An unknown owner is no error.
func (z *Zone) Free(owner string) {
	z.inventory.Release(owner)
	delete(z.holders, owner)
}

// Checkpointed notes the newest checkpoint of an owner.
func (z *Zone) Checkpointed(owner string, at time.Time) {
	if h, ok := z.holders[owner]; ok {
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

// CanEver returns ErrNever, with the reason, for a shape that the zone could
// not place even if all of its workers were free.
func (z *Zone) CanEver(s cell.Shape) error {
	empty := cell.NewView(cell.NewInventory(z.inventory.Workers()...))
	if _, ok := empty.Smallest(s, cell.Compact); !ok {
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
