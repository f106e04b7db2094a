package order

import (
	"context"
	"errors"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// Reasons why an order was not executed. All but ErrUnanswered prove that the target has
// not executed the order: it refused, or nothing was sent.
var (
	ErrFenced           = errors.New("the target has seen a higher term")
	ErrStaleRun         = errors.New("stale run number: this or a higher run was stopped or has ended on the target")
	ErrLate             = errors.New("the deadline has passed on the target's clock")
	ErrNoCapacity       = errors.New("no capacity on the target")
	ErrNoTicket         = errors.New("no valid ticket for the target")
	ErrInvalid          = errors.New("the target rejected the order as invalid")
	ErrUnhealthy        = errors.New("the target accepts no work now")
	ErrOtherIncarnation = errors.New("another incarnation runs at the address")
	ErrUnreached        = errors.New("the target was not reached")
	ErrWithheld         = errors.New("not sent: the target may not accept starts any more")
	ErrUnanswered       = errors.New("no answer; the order may have been executed")
)

// Address is the network address of an incarnation of a target.
type Address struct {
	ID   string // of the target
	Host string // IP:port
}

// Run is one attempt to run a task.
type Run struct {
	Task   graph.TaskID
	Number int // from 1, rising
}

// Start orders a target to start a run.
type Start struct {
	Run        Run
	Spec       string
	Deadline   int64 // of the lease, in milliseconds on the target's clock
	Term       int64
	Checkpoint string // to resume from; empty: from the beginning
	Ticket     string // from the advice service; empty: none
}

// Poll orders a target to renew its lease and forget acknowledged ends, and to report.
type Poll struct {
	Term     int64
	Acked    int64         // ends up to this number are forgotten
	Deadline int64         // of the lease, in milliseconds on the target's clock; 0: no renewal
	Wait     time.Duration // for an end, before the target answers
}

// Running is a run that is on the target.
type Running struct {
	Run        Run
	Checkpoint string
	Percent    int // progress; for a long-running task, the share of its speed it is paced to
	Gauge      int // over the last half second: tail latency in ms of a serving task, else millicores used
}

// EndReason is why a run ended.
type EndReason string

// The reasons why a run ends.
const (
	Done           EndReason = "done"
	Failed         EndReason = "failed"  // through its own fault or the target's
	Stopped        EndReason = "stopped" // by an order
	Lapsed         EndReason = "lapsed"  // its lease expired
	GangBroken     EndReason = "broken"  // another member of its gang ended
	GangIncomplete EndReason = "alone"   // not all members of its gang started in time
)

// Ended is a run that has ended and whose end has not been acknowledged.
type Ended struct {
	Number     int64 // of the end, from 1, rising within an incarnation
	Run        Run
	Reason     EndReason
	Checkpoint string
}

// Report is a target's answer to a poll.
type Report struct {
	Clock     int64 // milliseconds on the target's clock
	StartedAt int64 // of the incarnation that reports, as roster.Target.StartedAt; 0: unknown
	Running   []Running
	Ended     []Ended // by number; may be truncated, the rest follows after an acknowledgement
}

// Transport sends orders to targets and waits for their answers. Its errors wrap one of
// the package's errors and name the order and the target. A returned clock is the
// target's, or 0 if the answer had none. Pace has a best-effort run work at a percentage
// of its speed.
type Transport interface {
	Start(ctx context.Context, to Address, s Start) (clock int64, err error)
	Stop(ctx context.Context, to Address, r Run, term int64) (clock int64, err error)
	Poll(ctx context.Context, to Address, p Poll) (Report, error)
	Pace(ctx context.Context, to Address, r Run, percent int, term int64) (clock int64, err error)
}
