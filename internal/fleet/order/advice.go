package order

import (
	"context"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// Permit allows a step to run on a target.
type Permit struct {
	Target string // ID of its incarnation
	Ticket string // to be sent with a start
}

// Adviser decides which targets may run a step of a queue whose policy restricts them.
type Adviser interface {
	// Advise returns a permit for each of the targets, given by the IDs of their
	// incarnations, that may run the step, and how long the tickets are valid from when
	// they were issued.
	Advise(ctx context.Context, step graph.StepID, targets []string) ([]Permit, time.Duration, error)
}
