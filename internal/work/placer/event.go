package placer

import (
	"time"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Event is something that the machine is told.
type Event interface{ event() }

// Submitted gives a job to the placer. It comes again whenever the entry is
// not sure that the placer has it.
type Submitted struct{ Job job.Job }

// CancelAsked says that the caller no longer wants the job.
type CancelAsked struct{ Job job.ID }

// HoldAnswered is a worker's answer to Hold. Err is nil or wraps an error of
// package target.
type HoldAnswered struct {
	Worker string
	Lease  target.Lease
	Err    error
}

// ClaimAnswered is what became of a claim. Won is true if this placer's write
// is the row, false with a nil Err if another's is; Err wraps an error of
// package table if that is not known.
type ClaimAnswered struct {
	Lease target.Lease
	Won   bool
	Err   error
	// Attempt is the newest attempt that was claimed, by whomever; 0 if that is
	// not known. A job that is given up as lost ends with it.
	Attempt int
	// Recorded is the outcome that the platform holds of a job that has ended
	// or was refused for good; its State is empty if there is none.
	Recorded job.Outcome
}

// StartAnswered is a worker's answer to Start.
type StartAnswered struct {
	Worker string
	Lease  target.Lease
	Err    error
}

// StopAnswered is a worker's answer to Stop. It is optional: without it a stop
// is settled by the worker's report or by the end of the lease.
type StopAnswered struct {
	Worker string
	Lease  target.Lease
	Err    error
}

// Reported is a worker's answer to Renew.
type Reported struct {
	Worker string
	Report target.Report
	Err    error
	// Renewed are the leases that the renewal asked for, Expires the deadline
	// that it gave them.
	Renewed []target.Lease
	Expires time.Time
}

// TargetsListed is the platform's list, as far as it concerns the zone.
type TargetsListed struct{ Targets []table.Target }

// Configured puts a configuration in force.
type Configured struct {
	Config  *text.Config
	Version int64
}

// OutcomeTaken says that the entry has the outcome and the placer may forget it.
type OutcomeTaken struct {
	Job   job.ID
	Entry string // the entry that took it; empty for every entry that asked
}

// Ticked says that time has passed.
type Ticked struct{}

func (Submitted) event()     {}
func (CancelAsked) event()   {}
func (HoldAnswered) event()  {}
func (ClaimAnswered) event() {}
func (StartAnswered) event() {}
func (StopAnswered) event()  {}
func (Reported) event()      {}
func (TargetsListed) event() {}
func (Configured) event()    {}
func (OutcomeTaken) event()  {}
func (Ticked) event()        {}
