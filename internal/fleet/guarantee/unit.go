package guarantee

import (
	"cmp"
	"fmt"
	"slices"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

// unit is the right to one gang: a Guarantee of count n has n units.
type unit struct {
	key       string // names it in the plan's inventory
	guarantee Guarantee
	place     cell.Assignment // room set aside for the shape; nil while there is none
	claim     *claim          // nil while nobody uses it
}

// claim is a gang that stands in a unit's room.
type claim struct {
	owner string
	shape cell.Shape
	place cell.Assignment
	loose bool // place is held by the owner itself, and the unit has no room beside it
}

func (u *unit) shape() cell.Shape { return u.guarantee.shape }

// claimed reports whether a gang uses the unit.
func (u *unit) claimed() bool { return u.claim != nil }

// unitPrefix keeps the keys of units apart from the ids of jobs.
const unitPrefix = "\x00unit/"

// hardestFirst returns the units in the order in which they are packed: those
// with the largest piece on one worker first, then the narrowest, then the
// largest. Units that differ in shape never tie, so that the same set is packed
// alike in whatever order it is given.
func hardestFirst(units []*unit) []*unit {
	sorted := slices.Clone(units)
	slices.SortStableFunc(sorted, func(a, b *unit) int {
		x, y := a.shape(), b.shape()
		return cmp.Or(cmp.Compare(b.piece(), a.piece()), cmp.Compare(b.closeness(), a.closeness()),
			cmp.Compare(y.Total(), x.Total()), cmp.Compare(y.Members(), x.Members()),
			cmp.Compare(y.Cores(), x.Cores()), cmp.Compare(y.Memory(), x.Memory()))
	})
	return sorted
}

// piece returns the accelerators that must be free on one worker.
func (u *unit) piece() int {
	if u.shape().Adjacency() == cell.SameWorker {
		return u.shape().Total()
	}
	return u.shape().Accelerators()
}

// closeness ranks the adjacencies, the narrowest last.
func (u *unit) closeness() int {
	switch u.shape().Adjacency() {
	case cell.SameWorker:
		return 2
	case cell.SameRack:
		return 1
	default:
		return 0
	}
}

// sum returns the guarantees that the units amount to, in their order.
func sum(units []*unit) []Guarantee {
	var gs []Guarantee
	at := map[Guarantee]int{}
	for _, u := range units {
		i, ok := at[u.guarantee]
		if !ok {
			i = len(gs)
			at[u.guarantee] = i
			gs = append(gs, u.guarantee)
		}
		gs[i].count++
	}
	return gs
}

// Unpackable says that guarantees cannot all be packed at once.
type Unpackable struct {
	Guarantee Guarantee // the one that found no room beside the others
	Fitted    int       // how many of its gangs found room
}

// Error names the guarantee that does not fit.
func (e *Unpackable) Error() string {
	return fmt.Sprintf("guarantee %s: room for %d beside the other guarantees", e.Guarantee, e.Fitted)
}
