package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/limiter"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// Command is an action that the caller executes. It is one of the types below, Advise or
// Pace.
type Command interface{ command() }

// Start orders a target to start a run. The answer goes to Machine.StartAnswered.
type Start struct {
	Target order.Address
	Zone   string        // zone of the target
	Order  order.Start   // with its deadline if it is sent at once
	Class  limiter.Class // class in which it queues
	// Incarnation is the latest one that was known when it was issued, by roster.Target.StartedAt.
	Incarnation int64
	// DecidedAt is when the start was decided.
	DecidedAt time.Time
	// LatestDeadline is the deadline that it may have at most, however long it queues, in
	// milliseconds on the target's clock.
	LatestDeadline int64
	// Expiry is when it is too late to send it, since what it relies on is too old; zero: never.
	Expiry time.Time
}

// Expired reports whether the start must not be sent any more.
func (s Start) Expired(now time.Time) bool { return !s.Expiry.IsZero() && !now.Before(s.Expiry) }

// OrderAt returns the order with its deadline if it is sent at a time.
func (s Start) OrderAt(sent time.Time) order.Start {
	o := s.Order
	o.Deadline = min(s.LatestDeadline, o.Deadline+sent.Sub(s.DecidedAt).Milliseconds())
	return o
}

// Stop orders a target to stop a run. The answer goes to Machine.StopAnswered.
type Stop struct {
	Target order.Address
	Run    order.Run
	Class  limiter.Class // class in which it queues
	// Incarnation is the latest one that was known when it was issued, by roster.Target.StartedAt.
	Incarnation int64
}

// Withdraw takes back the start of a run if it has not been sent yet. Then the answer goes to
// Machine.StartAnswered, with order.ErrWithheld; otherwise there is none.
type Withdraw struct {
	Target string // its id
	Run    order.Run
}

// Poll requests a report from a target. The answer goes to Machine.Polled or
// Machine.PollFailed. A target has at most one poll and one extra poll outstanding.
type Poll struct {
	Target order.Address
	Order  order.Poll
	Class  limiter.Class // class in which it queues; not used by a poll that waits for an end
	Extra  bool          // sent while another poll, which may be lost, is outstanding
	Sent   time.Time     // when the machine issued it
	// Incarnation is the one that the acknowledgement is for, by roster.Target.StartedAt.
	Incarnation int64
}

// missedSince returns from when on the report of a poll that failed was overdue: from the
// end of its wait, or from its failure if its connection broke before.
func (p Poll) missedSince(failedAt time.Time) time.Time {
	if due := p.Sent.Add(p.Order.Wait); due.Before(failedAt) {
		return due
	}
	return failedAt
}

// Save requests a transaction that writes the progress of jobs of one partition. The
// answer goes to Machine.Saved, Machine.SaveRefused or Machine.SaveFailed. A
// partition has at most one save outstanding.
type Save struct {
	Partition int
	Rows      []SaveRow // never empty
}

// SaveRow is the progress of one job.
type SaveRow struct {
	Job       graph.JobID
	Value     []byte
	Version   int64 // version that the row must have; 0: it must not exist
	Completes bool  // the write must fail if the job was cancelled
}

// Forget requests the removal of the rows of jobs that ended longer ago than
// Bounds.Retention. The answer goes to Machine.Forgotten.
type Forget struct {
	Partition int
	Jobs      []graph.JobID // never empty
}

// JobEnded reports that a job has ended, other than by cancellation, and that its final
// state is saved. There is no answer.
type JobEnded struct {
	Job   *graph.Job // must not be changed
	State progress.State
	Took  time.Duration // from acceptance to end
	// Stages is the time from acceptance until the end was visible; nil: the job has not
	// completed. It must not be changed.
	Stages        *stages.Timeline
	Starts        int          // runs that were ordered in this term
	Interruption  stages.Cause // the last in this term
	InterruptedOn string       // target of that run
	LastRun       LastRun
}

// JobFailed reports that a job of any kind has failed, and that this is saved. There is no
// answer.
type JobFailed struct {
	Cause progress.Cause
}

// TargetLost reports that a target was lost with the runs that were on it. There is no
// answer.
type TargetLost struct {
	Runs int // that were ordered there; above 0
}

func (Start) command()      {}
func (Stop) command()       {}
func (Withdraw) command()   {}
func (Poll) command()       {}
func (Save) command()       {}
func (Forget) command()     {}
func (JobEnded) command()   {}
func (JobFailed) command()  {}
func (TargetLost) command() {}
