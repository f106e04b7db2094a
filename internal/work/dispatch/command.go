package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/limiter"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// Command is something for the shell to do. It is one of the types below.
type Command interface{ command() }

// Start asks for a start of a run on a target. The answer goes to
// Machine.StartAnswered.
type Start struct {
	Target order.Address
	Zone   string // the target's
	Order  order.Start
	Class  limiter.Class // in which it waits for its turn
}

// Stop asks for a stop of a run on a target. The answer goes to
// Machine.StopAnswered.
type Stop struct {
	Target order.Address
	Run    order.Run
	Class  limiter.Class // in which it waits for its turn
}

// Poll asks for a report of a target. The answer goes to Machine.Polled or
// Machine.PollFailed. A target has one poll outstanding at most, and beside it
// one extra poll.
type Poll struct {
	Target order.Address
	Order  order.Poll
	Class  limiter.Class // in which it waits for its turn, unless it waits for an end
	Extra  bool          // beside a poll that may have been lost
	Sent   time.Time     // when the machine asked for it
}

// missedSince returns the moment from which the report was missed that failed at a time: one that
// waits for an end is not due before its wait is over, or its connection broke.
func (p Poll) missedSince(failedAt time.Time) time.Time {
	if due := p.Sent.Add(p.Order.Wait); due.Before(failedAt) {
		return due
	}
	return failedAt
}

// Save asks for a transaction that writes the progress of jobs of one part. The
// answer goes to Machine.Saved, Machine.SaveRefused or Machine.SaveFailed. A
// part has one save outstanding at most.
type Save struct {
	Part int
	Rows []SaveRow // never empty
}

// SaveRow is the progress of one job.
type SaveRow struct {
	Job       graph.JobID
	Value     []byte
	Version   int64 // that the row must have; 0: it must not be there
	Completes bool  // the write must fail if the job was cancelled
}

// Forget asks to take the rows of jobs out of the store: they ended so long ago
// that nobody is told their state any more. The answer goes to Machine.Forgotten.
type Forget struct {
	Part int
	Jobs []graph.JobID // never empty
}

// JobEnded tells that a job has ended, by itself and not by its client, and that
// this is saved. There is no answer.
type JobEnded struct {
	Job   *graph.Job // must not be changed
	State progress.State
	Took  time.Duration // from its acceptance
}

func (Start) command()    {}
func (Stop) command()     {}
func (Poll) command()     {}
func (Save) command()     {}
func (Forget) command()   {}
func (JobEnded) command() {}
