package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// phase is how far a run has come.
type phase int

const (
	awaitingCapacity phase = iota // for room on its target
	recorded                      // its room is taken; it is started once that is saved
	starting                      // a start was sent
	running                       // the target has it
	stopping                      // a stop is wanted
	unconfirmed                   // an earlier leader recorded it; its target has not reported
)

// run is a run of a task on a target, from the decision to start it until it
// cannot exist any more.
type run struct {
	order.Run
	task            *task
	target          *target
	charge          graph.Resources
	phase           phase
	placedAt        time.Time
	recordRev       int64     // revision of the job's progress that contains it
	sentAt          time.Time // of the last order
	startsSent      int       // starts sent
	unanswered      bool      // a start was sent whose answer never came
	orderPending    bool      // an order is outstanding
	orderAnsweredAt time.Time // the target answered the start or the stop; zero: neither
	resumedFrom     string    // checkpoint that the start carried
	checkpoint      string    // newest that was reported
	ticket          string    // that the start carries
	paceShare       int       // at which a best-effort run works, in percent
	gauge           int       // as the target last reported it
	percent         int
	reportedAt      time.Time
	progressedAt    time.Time // when the progress changed last
	stalled         bool      // it was noticed that it stands still
	firstProgressAt time.Time // when the first progress was reported; zero: none yet
	firstPercent    int
	beganAt         time.Time // first seen on the target
	provedHealthy   bool      // it has worked long enough to speak for its target
}
