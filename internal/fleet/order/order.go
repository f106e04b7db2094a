package order

import (
	"context"
	"errors"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// Why an order was not carried out. All but ErrUnanswered are answers, or prove
// that nothing was sent: the target has done nothing.
var (
	ErrFenced           = errors.New("a newer term has given orders there")
	ErrStaleRun         = errors.New("the run is not higher than one stopped or ended there")
	ErrLate             = errors.New("the deadline has passed on the target's clock")
	ErrNoCapacity       = errors.New("no room on the target")
	ErrNoTicket         = errors.New("no valid ticket for the target")
	ErrInvalid          = errors.New("the target does not understand the order")
	ErrUnhealthy        = errors.New("the target takes no work now")
	ErrOtherIncarnation = errors.New("another incarnation runs at the address")
	ErrUnreached        = errors.New("the target was not reached")
	ErrWithheld         = errors.New("not sent: the target's zone is evacuated, or may be")
	ErrUnanswered       = errors.New("no answer; the order may have been carried out")
)

// Address is where an incarnation of a target is reached.
type Address struct {
	ID   string // of the incarnation
	Host string // IP:port
}

// Run is one numbered start of a task.
type Run struct {
	Task   graph.TaskID
	Number int // from 1, rising
}

// Start tells a target to start a run.
type Start struct {
	Run        Run
	Spec       string
	Deadline   int64 // lease, in milliseconds on the target's clock
	Term       int64
	Checkpoint string // to resume from; empty: from the beginning
	Ticket     string // from the advice service; empty: none
}

// Poll renews the lease, acknowledges ends and reads what runs.
type Poll struct {
	Term     int64
	Acked    int64 // ends up to this number are forgotten
	Deadline int64 // milliseconds on the target's clock; 0: no renewal
	Wait     time.Duration
}

// Running is a run that is there.
type Running struct {
	Run        Run
	Checkpoint string
	Percent    int // progress, or the share it is paced to for a lasting task
	Gauge      int // of the last half second: tail in milliseconds for a serving task, else thousandths of a core
}

// EndReason a run ended.
type EndReason string

// The ways in which a run ends.
const (
	Done           EndReason = "done"
	Failed         EndReason = "failed"  // through its own fault or the target's
	Stopped        EndReason = "stopped" // by an order
	Lapsed         EndReason = "lapsed"  // its lease ended
	GangBroken     EndReason = "broken"  // another member of its gang ended
	GangIncomplete EndReason = "alone"   // the other members of its gang did not come in time
)

// Ended is a run that has ended and was not acknowledged.
type Ended struct {
	Number     int64 // rises in each incarnation, from 1
	Run        Run
	Reason     EndReason
	Checkpoint string
}

// Report is a target's answer to a hold.
type Report struct {
	Clock   int64 // milliseconds on the target's clock
	Running []Running
	Ended   []Ended // by number; more may follow after an acknowledgement
}

// Transport gives orders. Its errors wrap one of the package's errors and name the
// step and the target. Methods that return a clock return the target's, or 0
// where the answer had none.
type Transport interface {
	Start(ctx context.Context, to Address, s Start) (clock int64, err error)
	Stop(ctx context.Context, to Address, r Run, term int64) (clock int64, err error)
	Poll(ctx context.Context, to Address, h Poll) (Report, error)
	Pace(ctx context.Context, to Address, r Run, percent int, term int64) (clock int64, err error)
}
