package placer

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Command is something that the machine asks to be done.
type Command interface{ command() }

// HoldOn asks a worker to hold members. The answer is a HoldAnswered.
type HoldOn struct {
	Worker string
	Hold   target.Hold
}

// ClaimRow asks for the conditional write "this attempt starts, by this
// placer". The answer is a ClaimAnswered.
type ClaimRow struct {
	Lease target.Lease
	Job   job.Job
}

// ClaimTicket asks the host that issued the job's ticket whether this attempt
// may start; a ticketed job is never claimed in the table. The answer is a
// ClaimAnswered.
type ClaimTicket struct {
	Lease target.Lease
	Job   job.Job
}

// StartOn asks a worker to start what it holds. It must not be sent after the
// deadline. The answer is a StartAnswered.
type StartOn struct {
	Worker   string
	Lease    target.Lease
	Deadline time.Time // the lease's, as the holder counts it
}

// RenewOn asks a worker to renew leases and report. The answer is a Reported.
type RenewOn struct {
	Worker  string
	Renewal target.Renewal
}

// StopOn asks a worker to end a lease. It is asked again until the worker's
// report shows the end.
type StopOn struct {
	Worker string
	Stop   target.Stop
}

// ThrottleOn caps the cores of a lease on a worker; 0 lifts the cap.
type ThrottleOn struct {
	Worker string
	Lease  target.Lease
	Cores  float64
}

// Answer gives the outcome to the entry of the job. It is asked again until an
// OutcomeTaken comes.
type Answer struct {
	Job     job.Job
	Outcome job.Outcome
}

// Tell adds a line to the job's story and says where it stands.
type Tell struct {
	Job   job.Job
	State job.State
	Step  string // what happened: admitted, placed, held, claimed, started, ...
	Text  string
}

func (HoldOn) command()      {}
func (ClaimRow) command()    {}
func (ClaimTicket) command() {}
func (StartOn) command()     {}
func (RenewOn) command()     {}
func (StopOn) command()      {}
func (ThrottleOn) command()  {}
func (Answer) command()      {}
func (Tell) command()        {}
