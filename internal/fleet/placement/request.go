package placement

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
)

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
	Since      time.Time  // when it started
	Checkpoint time.Time  // newest checkpoint; zero for none
	Claims     bool       // it stands in its account's guaranteed room
	Guarantee  cell.Shape // the guaranteed shape that it claims; zero if it claims none
}

// mayClaim reports whether the request may use its account's guaranteed room.
func (r Request) mayClaim() bool { return r.Guaranteed || r.Urgent }

// lost returns the work, in accelerator-seconds, that stopping the holder at a
// time would lose. A gang without accelerators counts as one.
func (h *Holder) lost(now time.Time) float64 {
	kept := h.Since
	if h.Checkpoint.After(kept) {
		kept = h.Checkpoint
	}
	return max(now.Sub(kept).Seconds(), 0) * float64(max(h.Request.Shape.Total(), 1))
}
