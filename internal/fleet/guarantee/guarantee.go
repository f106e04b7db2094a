package guarantee

import (
	"fmt"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

// Guarantee is one account's right to count gangs of a shape at once.
type Guarantee struct {
	account string
	shape   cell.Shape
	count   int // at least 1
}

// New returns a guarantee. It refuses an empty account and a count below 1.
func New(account string, s cell.Shape, count int) (Guarantee, error) {
	if account == "" || count < 1 {
		return Guarantee{}, fmt.Errorf("guarantee: account %q, count %d", account, count)
	}
	return Guarantee{account: account, shape: s, count: count}, nil
}

// Account returns who holds the guarantee.
func (g Guarantee) Account() string { return g.account }

// Shape returns the shape of each gang.
func (g Guarantee) Shape() cell.Shape { return g.shape }

// Count returns how many gangs of the shape may run at once.
func (g Guarantee) Count() int { return g.count }

// String returns account count x shape.
func (g Guarantee) String() string { return fmt.Sprintf("%s %dx(%s)", g.account, g.count, g.shape) }
