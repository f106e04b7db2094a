package placement

import "guavaglade.example/guavaglade/internal/fleet/cell"

// Policy chooses a place among those that are free.
type Policy interface {
	// Choose returns a place for the request in the view; ok is false if
	// there is none. It changes nothing.
	Choose(v *cell.View, r Request) (a cell.Assignment, ok bool)
}

// Cells puts a gang into the smallest cell that holds it, so that free room
// stays in large aligned pieces. By the request's weights a gang stands on as
// few workers as it can (completion) or uses up partly taken workers first
// (fragmentation).
type Cells struct{}

// Choose returns the smallest cell that holds the gang.
func (Cells) Choose(v *cell.View, r Request) (cell.Assignment, bool) {
	style := cell.Compact
	if r.Weights.Fragmentation > r.Weights.Completion {
		style = cell.Fill
	}
	return v.Smallest(r.Shape, style)
}
