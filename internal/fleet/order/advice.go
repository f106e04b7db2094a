package order

import (
	"context"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// Permit is leave to run a step on a target.
type Permit struct {
	Target string // incarnation
	Ticket string // that a start carries
}

// Adviser knows which targets may run a step of a queue whose policy allows only
// some.
type Adviser interface {
	// Advise returns those of the targets that may run the step, and how long the
	// tickets hold from when they were given.
	Advise(ctx context.Context, step graph.StepID, targets []string) ([]Permit, time.Duration, error)
}
