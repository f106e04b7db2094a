package target

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Errors of a worker. They are wrapped with the step and the peer.
var (
	// ErrRefused says that the worker refused: it did not and will not do it.
	ErrRefused = errors.New("refused by worker")
	// ErrLapsed says that the lease is over or was never there.
	ErrLapsed = errors.New("lease lapsed")
	// ErrUnreached says that the worker was not reached: nothing was sent.
	ErrUnreached = errors.New("worker not reached")
	// ErrUnknown says that no answer came; the worker may have done it.
	ErrUnknown = errors.New("outcome at the worker not known")
)

// Lease names a lease on a worker.
type Lease struct {
	Job     job.ID `json:"job"`
	Attempt int    `json:"attempt"` // 1 or more
}

// String returns job/attempt.
func (l Lease) String() string { return fmt.Sprintf("%s/%d", l.Job, l.Attempt) }

// Hold is what a worker is asked to hold for a gang.
type Hold struct {
	Lease   Lease        `json:"lease"`
	Job     job.Job      `json:"job"`
	Grants  []cell.Grant `json:"grants"`  // the members on this worker
	Workers int          `json:"workers"` // how many workers the whole gang stands on
	Expires time.Time    `json:"-"`       // the holder's deadline; sent as time left
}

// TaskState is where a task stands on its worker.
type TaskState string

// The states of a lease on a worker.
const (
	Held      TaskState = "held"      // room taken, nothing runs
	Started   TaskState = "started"   // runs, not yet renewed since the start
	Confirmed TaskState = "confirmed" // runs, renewed after all starts were acknowledged
	Succeeded TaskState = "succeeded" // all members on the worker ended well
	Failed    TaskState = "failed"    // a member failed
	Stopped   TaskState = "stopped"   // stopped by command or by a lapsed lease
)

// Ended reports whether nothing of the lease runs any more.
func (s TaskState) Ended() bool { return s == Succeeded || s == Failed || s == Stopped }

// Task is what a worker reports of a lease.
type Task struct {
	Lease      Lease        `json:"lease"`
	Job        job.Job      `json:"job"`
	Grants     []cell.Grant `json:"grants"`
	Workers    int          `json:"workers"`
	State      TaskState    `json:"state"`
	Reason     string       `json:"reason,omitempty"`
	Since      time.Time    `json:"since"`                // when it was started, by the worker's clock
	Checkpoint time.Time    `json:"checkpoint,omitzero"`  // newest checkpoint; zero for none
	Answer     job.Answer   `json:"answer,omitzero"`      // of member 0 when succeeded
	Memory     int          `json:"memoryUsed,omitempty"` // MB of all members, lags
	Cores      float64      `json:"coresUsed,omitempty"`  // of all members, lags
}

// Report is a worker's answer to a renewal.
type Report struct {
	Worker  string  `json:"worker"`
	Change  int64   `json:"change"`            // rises with each change of a task
	Tasks   []Task  `json:"tasks,omitempty"`   // tasks changed since the asker's change
	Lapsed  []Lease `json:"lapsed,omitempty"`  // asked to renew, but over
	Leaving bool    `json:"leaving,omitempty"` // takes no new work
}

// Renewal renews leases on one worker and asks for changes.
type Renewal struct {
	Leases  []Lease   // to be renewed; the worker marks them confirmed
	Expires time.Time // the holder's new deadline; sent as time left
	Since   int64     // report tasks changed after this; 0 for all
	Wait    time.Time // hold the answer until a change or this time; zero: answer at once
}

// Stop ends a lease.
type Stop struct {
	Lease      Lease
	Checkpoint bool      // write a checkpoint first
	Grace      time.Time // stopped at the latest by then; zero: at once
}

// Worker is one worker as its holders see it.
type Worker interface {
	Hold(ctx context.Context, h Hold) error
	Start(ctx context.Context, l Lease) error
	Renew(ctx context.Context, r Renewal) (Report, error)
	Stop(ctx context.Context, s Stop) error
	// Throttle caps the cores of a lease; 0 lifts the cap.
	Throttle(ctx context.Context, l Lease, cores float64) error
}
