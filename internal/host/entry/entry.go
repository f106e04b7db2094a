package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/host/boottime"
	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// Errors of requests.
var (
	ErrNotAccepted    = errors.New("not accepted; nothing was or will be stored")
	ErrOutcomeUnknown = errors.New("outcome unknown; repeat the request with the same id")
	ErrNoJob          = errors.New("no such job")
	ErrUnavailable    = errors.New("not available now")
	// ErrCancelled is the outcome of a submission whose job was cancelled before it was stored.
	ErrCancelled = errors.New("cancelled before it was stored; this request has not run and will not run; use another id for a new job")
	// ErrTooManyCancellations is the outcome of a cancellation of a job that is not stored.
	ErrTooManyCancellations = errors.New("cancellation not stored: too many of jobs that are not stored; repeat it later")
)

// Timeouts and shares of the time that a client allows.
const (
	// storeCallTimeout bounds reads from the store, and direct writes by this host while
	// the store is not slow: a hundred times the usual latency of a call, and short enough
	// for a peer to be tried afterwards.
	storeCallTimeout = 800 * time.Millisecond
	// maxSettleTime bounds how long the outcome of a write is waited for. After it the
	// client gets ErrOutcomeUnknown, and can try another host.
	maxSettleTime = 1300 * time.Millisecond
	// settleShare is the largest share of a client's time that is spent on waiting for the
	// outcome: the rest is left for the client to try another host.
	settleShare = 0.4
	// slowSettleShare is the same while the store is slow. Other hosts use the same store,
	// and each repeated write waits in the same queue as the first: it is best to wait for
	// the call that is in flight.
	slowSettleShare  = 0.85
	notifyTimeout    = time.Second // of notifying the leader, which also scans the store
	notifyRetryDelay = 50 * time.Millisecond
	// retentionSlack extends the time for which a cancellation of a job that is not stored holds,
	// since clients were promised the retention.
	retentionSlack = 30 * time.Second
	// cancelNotifyWait is how long the answer to a cancellation waits for the notification
	// of the leader, so that a read of the job right after it, at any host, finds it
	// cancelled. It is many round trips between hosts, and bounds the delay if there is no
	// leader.
	cancelNotifyWait = 100 * time.Millisecond
)

// Leader is notified of jobs and answers for them.
type Leader interface {
	Submitted(ctx context.Context, j *graph.Job) error
	Cancelled(ctx context.Context, id graph.JobID) error
	Status(ctx context.Context, id graph.JobID) (status view.JobStatus, known bool, err error)
	Pending(ctx context.Context, queue string) (int, error)
}

// Relay passes requests that this host cannot store to another host. Its errors wrap
// ErrNotAccepted, ErrOutcomeUnknown, ErrNoJob, ErrCancelled or ErrTooManyCancellations.
type Relay interface {
	RelaySubmit(ctx context.Context, j *graph.Job) error
	RelayCancel(ctx context.Context, id graph.JobID, by Caller) error
}

// Entry serves requests of clients.
type Entry struct {
	store     *store.Monitor
	leader    Leader
	relay     Relay
	log       logr.Logger
	metrics   tally.Scope
	clock     boottime.Clock
	cancelled *cancelledSets
	limit     *cancelLimit
	retention time.Duration // of cancellations of jobs that are not stored
}

// Option sets one property of a new entry.
type Option func(*Entry)

// WithMetrics sets the scope of the entry's metrics, by default none.
func WithMetrics(s tally.Scope) Option { return func(e *Entry) { e.metrics = s } }

// WithClock sets the clock by which the time of a write is bounded, by default the system's.
func WithClock(c boottime.Clock) Option { return func(e *Entry) { e.clock = c } }

// WithRetention sets how long clients can query the state of an ended job, by default as
// dispatch.DefaultBounds. Cancellations of jobs that are not stored hold retentionSlack longer.
func WithRetention(d time.Duration) Option {
	return func(e *Entry) { e.retention = d + retentionSlack }
}

// WithStoreWrites sets how many write calls a second the store takes from all hosts, by default
// defaultStoreWrites.
func WithStoreWrites(perSecond float64) Option {
	return func(e *Entry) { e.limit.storeWrites = perSecond }
}

// WithHosts sets the function that returns the number of hosts, 0 while it is not known. By default
// it is not known.
func WithHosts(f func() int) Option { return func(e *Entry) { e.limit.hosts = f } }

// New returns an entry.
func New(s *store.Monitor, l Leader, r Relay, log logr.Logger, opts ...Option) *Entry {
	e := &Entry{
		store: s, leader: l, relay: r, log: log, metrics: tally.NoopScope, clock: boottime.Now,
		cancelled: newCancelledSets(), limit: newCancelLimit(),
	}
	WithRetention(dispatch.DefaultBounds().Retention)(e)
	for _, o := range opts {
		o(e)
	}
	return e
}

// Submit stores a job, unless one with its id is stored already, and notifies the leader. If
// this host cannot store it, a peer is tried, except after ErrOutcomeUnknown from a slow
// store. The error wraps graph.ErrInvalid, ErrNotAccepted, ErrOutcomeUnknown or ErrCancelled.
func (e *Entry) Submit(ctx context.Context, j *graph.Job) error {
	if err := j.Validate(); err != nil {
		return err
	}
	slow := e.storeSlow()
	ctx, cancel := context.WithTimeout(ctx, settleTimeout(ctx, slow))
	defer cancel()
	err := e.SubmitHere(ctx, j)
	if err == nil {
		return nil
	}
	if slow && errors.Is(err, ErrOutcomeUnknown) || errors.Is(err, ErrCancelled) {
		e.log.Info("job not stored", "job", j.ID, "queue", j.Queue, "account", j.Account, "storeSlow", slow, "error", err.Error())
		return err
	}
	relayErr := e.relay.RelaySubmit(ctx, j)
	if relayErr == nil {
		e.log.Info("job stored by a peer", "job", j.ID, "queue", j.Queue, "account", j.Account, "here", err.Error())
		return nil
	}
	err = joinErrors(err, relayErr)
	e.log.Info("job not stored", "job", j.ID, "queue", j.Queue, "account", j.Account, "error", err.Error())
	return err
}

// settleTimeout returns how long the outcome of a request is waited for, by the client's
// deadline and whether the store is slow.
func settleTimeout(ctx context.Context, slow bool) time.Duration {
	deadline, limited := ctx.Deadline()
	switch {
	case !limited:
		return maxSettleTime
	case slow:
		return time.Duration(slowSettleShare * float64(time.Until(deadline)))
	}
	return min(maxSettleTime, time.Duration(settleShare*float64(time.Until(deadline))))
}

// storeSlow reports whether the store is so slow that repeated calls would do harm.
func (e *Entry) storeSlow() bool { return e.store.TypicalLatency() >= slowStoreLatency }

// joinErrors joins the errors of this host and of a peer. The result is ErrNotAccepted
// only if both are: otherwise one of them may have stored the request. A peer that finds the job
// cancelled knows that no host has stored it.
func joinErrors(own, relayErr error) error {
	if errors.Is(relayErr, ErrCancelled) || errors.Is(own, ErrNotAccepted) && !errors.Is(relayErr, ErrNotAccepted) {
		return fmt.Errorf("%w (this host: %s)", relayErr, own.Error())
	}
	return fmt.Errorf("%w (peer: %s)", own, relayErr.Error())
}

// errStoreDown is returned for a call that was not made because earlier ones failed.
var errStoreDown = errors.New("the store does not serve this host now")

// notifyLeader calls f until it succeeds, or gives up after notifyTimeout and logs that. In a
// takeover the next leader would otherwise find the job only by its scan, up to a second
// later.
func (e *Entry) notifyLeader(ctx context.Context, step string, id graph.JobID, f func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return
		}
		select {
		case <-time.After(notifyRetryDelay):
		case <-ctx.Done():
			e.log.Info("leader not notified", "job", id, "step", step, "error", err.Error())
			return
		}
	}
}

// storedRows is what the store holds of a job.
type storedRows struct {
	job       store.Row // with version 0 if there is none
	cancelled bool      // the cancellation of the stored job
	now       int64     // on the store's clock, in milliseconds
}

// readJob reads a job's row and that of its cancellation.
func (e *Entry) readJob(ctx context.Context, id graph.JobID) (storedRows, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	jobKey, cancelKey := dispatcher.JobKey(partitionOf(id), id), dispatcher.CancelKey(partitionOf(id), id)
	page, err := e.store.Read(ctx, store.Range{Table: jobKey.Table, Partition: jobKey.Partition, From: jobKey.Name, To: cancelKey.Name + "\x00"})
	if err != nil {
		return storedRows{}, err
	}
	stored := storedRows{now: clockOf(page)}
	for _, r := range page.Rows {
		switch r.Key.Name {
		case jobKey.Name:
			stored.job = r
		case cancelKey.Name:
			stored.cancelled = true
		}
	}
	return stored, nil
}

// Status returns the status of a job as the leader knows it, or else as it is stored. The
// error wraps ErrNoJob, also for a job that the caller may not access, or ErrUnavailable.
func (e *Entry) Status(ctx context.Context, id graph.JobID, by Caller) (view.JobStatus, error) {
	status, err := e.lookUpStatus(ctx, id)
	if err == nil && !by.MayAccess(status.Account) {
		return view.JobStatus{}, ErrNoJob
	}
	return status, err
}

// lookUpStatus is Status without the check of the caller.
func (e *Entry) lookUpStatus(ctx context.Context, id graph.JobID) (view.JobStatus, error) {
	status, known, leaderErr := e.leader.Status(ctx, id)
	if leaderErr == nil && known {
		return status, nil
	}
	if leaderErr == nil {
		leaderErr = errLeaderUnknownJob
	}
	if !e.store.Up() {
		return view.JobStatus{}, fmt.Errorf("%w: %w (leader: %w)", ErrUnavailable, errStoreDown, leaderErr)
	}
	status, err := e.storedStatus(ctx, id)
	if err != nil && !errors.Is(err, ErrNoJob) {
		return view.JobStatus{}, fmt.Errorf("%w: %w (leader: %w)", ErrUnavailable, err, leaderErr)
	}
	return status, err
}

// errLeaderUnknownJob represents the answer of a leader that does not know the job.
var errLeaderUnknownJob = errors.New("it does not know the job")

// storedStatus returns the status of a job by its rows.
func (e *Entry) storedStatus(ctx context.Context, id graph.JobID) (view.JobStatus, error) {
	stored, err := e.readJob(ctx, id)
	if err != nil {
		return view.JobStatus{}, err
	}
	if stored.job.Version == 0 {
		return view.JobStatus{}, ErrNoJob
	}
	j, err := dispatcher.DecodeJob(stored.job.Value)
	if err != nil {
		return view.JobStatus{}, err
	}
	status := view.JobStatus{State: progress.Queued, Queue: j.Queue, Account: j.Account}
	saved, err := store.Get(ctx, e.store, dispatcher.ProgressKey(partitionOf(id), id))
	if err != nil {
		return view.JobStatus{}, err
	}
	p := &progress.Job{State: progress.Queued}
	if saved.Version != 0 {
		if p, err = progress.Decode(saved.Value); err != nil {
			return view.JobStatus{}, err
		}
	}
	status.State = stateOf(p.State, p.HasStarted(), stored.cancelled)
	if status.State == progress.Failed {
		status.Reason = p.Reason
	}
	return status, nil
}

// stateOf returns the state that clients see of a job. A final state that was saved
// does not change: a later cancellation has no effect.
func stateOf(s progress.State, started, cancelled bool) progress.State {
	switch {
	case s.Final():
		return s
	case cancelled:
		return progress.Cancelled
	case started:
		return progress.Running
	}
	return s
}

// Pending returns how many jobs of a queue have not started, as the leader knows. The error
// wraps ErrUnavailable.
func (e *Entry) Pending(ctx context.Context, queue string) (int, error) {
	n, err := e.leader.Pending(ctx, queue)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return n, nil
}

func partitionOf(id graph.JobID) int { return dispatch.PartitionOf(id, dispatcher.Partitions) }
