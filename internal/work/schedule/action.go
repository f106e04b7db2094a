package schedule

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Action is what a decision asks for.
type Action int

// The actions.
const (
	Start    Action = iota // start the job on the assignment; its room is taken already
	Stop                   // checkpoint and stop the job by the deadline; it is queued again
	Refuse                 // answer the job as not run, with the reason
	Throttle               // hold the job's task on the worker to so many cores
	Fail                   // answer the job as failed for good: it fails on every worker
)

// Decision is one thing to do.
type Decision struct {
	Action     Action
	Job        job.Job
	Assignment cell.Assignment // for Start
	Deadline   time.Time       // for Stop: when the grace is over; not after now: stop it hard
	RetryAfter time.Time       // for Refuse: when asking again makes sense; zero for never
	Reason     string          // why, for the job's story
	Worker     string          // for Throttle
	Cores      int             // for Throttle: what the task may use on the worker, at least 1
}

// End says how a start came out.
type End int

// The ends of a start.
const (
	Done       End = iota // it ran to its end and is over
	Crashed               // the tasks failed on a worker; may be the worker's or the job's fault
	Reclaimed             // it was checkpointed and stopped: queued again
	NotStarted            // a worker refused the hold or start: queued again
	WorkerGone            // a worker of the gang was lost: queued again if repeatable
	Dropped               // it is over before its end, as by a cancellation: its run time says nothing
)
