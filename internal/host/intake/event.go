package intake

import (
	"guavaglade.example/guavaglade/internal/work/job"
)

// Event is something that the machine is told.
type Event interface{ event() }

// Accepted adds a job that the entry answers for. A job that is known changes
// nothing.
type Accepted struct {
	Job job.Job
	// Adopted says that another entry answered for the job before, whose
	// placers this one does not know.
	Adopted bool
	// Zone is the zone whose placer has the job; empty for the entry's own.
	Zone string
}

// PlacersSeen says who places for each zone now, by zone: the placer's address
// with its incarnation. A zone without a live host is not in it.
type PlacersSeen struct{ Placers map[string]string }

// Taken says that the placer has the job.
type Taken struct {
	Job    job.ID
	Placer string
}

// NotTaken says that the placer refused the job, since it does not place yet or
// does not any more.
type NotTaken struct {
	Job    job.ID
	Placer string
}

// PlacerBegun says that a placer begins with nothing in its memory. It may have
// had the same identity before.
type PlacerBegun struct{ Placer string }

// OutcomeArrived is a placer's word on what became of a job.
type OutcomeArrived struct {
	Placer  string
	Outcome job.Outcome
	// Zones are the zones that could run a job which its own cannot, the best
	// one first. If it is nil, any zone with a placer may be able to.
	Zones []string
}

// Told is a line of a job's story from its placer.
type Told struct {
	Job  job.ID
	Line Line
}

// CancelAsked says that the caller no longer wants the job.
type CancelAsked struct{ Job job.ID }

// Ticked says that time has passed.
type Ticked struct{}

func (Accepted) event()       {}
func (PlacersSeen) event()    {}
func (Taken) event()          {}
func (NotTaken) event()       {}
func (PlacerBegun) event()    {}
func (OutcomeArrived) event() {}
func (Told) event()           {}
func (CancelAsked) event()    {}
func (Ticked) event()         {}

// Command is something that the machine asks to be done.
type Command interface{ command() }

// Give hands a job to a placer; the answer is a Taken or silence.
type Give struct {
	Placer string
	Job    job.Job
	// Known says that the placer took the job before, so that the job's id may
	// do: only a placer that does not know it needs the whole job.
	Known bool
}

// CancelAt passes the caller's cancellation on to the placer.
type CancelAt struct {
	Placer string
	Job    job.ID
}

// Finish gives the final outcome to whoever waits for it. It comes once for
// each job.
type Finish struct {
	Job     job.Job
	Outcome job.Outcome
}

func (Give) command()     {}
func (CancelAt) command() {}
func (Finish) command()   {}
