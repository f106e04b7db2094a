package placement

import "guavaglade.example/guavaglade/internal/fleet/cell"

// Policy chooses a place among those that are free and allowed.
type Policy interface {
	// Choose returns a place for the request on the workers that allowed
	// reports true for; ok is false if there is none.
	Choose(inv *cell.Inventory, r Request, allowed func(worker string) bool) (a cell.Assignment, ok bool)
}
