package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"

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
// ErrNotAccepted, ErrOutcomeUnknown or ErrNoJob.
type Relay interface {
	RelaySubmit(ctx context.Context, j *graph.Job) error
	RelayCancel(ctx context.Context, id graph.JobID, by Caller) error
}

// Entry serves requests of clients.
type Entry struct {
	store  *store.Monitor
	leader Leader
	relay  Relay
	log    logr.Logger
}

// New returns an entry.
func New(s *store.Monitor, l Leader, r Relay, log logr.Logger) *Entry {
	return &Entry{store: s, leader: l, relay: r, log: log}
}

// Submit stores a job, unless one with its id is stored already, and notifies the leader. If
// this host cannot store it, a peer is tried, except after ErrOutcomeUnknown from a slow
// store. The error wraps graph.ErrInvalid, ErrNotAccepted or ErrOutcomeUnknown.
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
	if slow && errors.Is(err, ErrOutcomeUnknown) {
		e.log.Info("job not stored", "job", j.ID, "queue", j.Queue, "account", j.Account, "storeSlow", true, "error", err.Error())
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
// only if both are: otherwise one of them may have stored the request.
func joinErrors(own, relayErr error) error {
	if errors.Is(own, ErrNotAccepted) && !errors.Is(relayErr, ErrNotAccepted) {
		return fmt.Errorf("%w (this host: %s)", relayErr, own.Error())
	}
	return fmt.Errorf("%w (peer: %s)", own, relayErr.Error())
}

// SubmitHere stores a job by a direct call from this host to the store. The leader is notified
// in the background, and not of a job that was stored before.
func (e *Entry) SubmitHere(ctx context.Context, j *graph.Job) error {
	value, err := dispatcher.EncodeJob(j)
	if err != nil {
		return err
	}
	key := dispatcher.JobKey(partitionOf(j.ID), j.ID)
	again, err := e.commitOnce(ctx, store.Tx{Expect: []store.Expect{{Key: key}}, Put: []store.Put{{Key: key, Value: value}}})
	if err != nil {
		return err
	}
	e.log.Info("job stored", "job", j.ID, "queue", j.Queue, "account", j.Account, "again", again)
	if !again {
		go e.notifyLeader(context.WithoutCancel(ctx), "submitted", j.ID, func(ctx context.Context) error { return e.leader.Submitted(ctx, j) })
	}
	return nil
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

// Caller is the client or operator that reads or cancels a stored job.
type Caller struct {
	Account  string `json:"account,omitempty"`
	Operator bool   `json:"operator,omitempty"` // may see and cancel the jobs of every account
}

// MayAccess reports whether the caller may see and cancel the jobs of an account. Jobs
// without an account are open to everybody.
func (c Caller) MayAccess(account string) bool {
	return c.Operator || account == "" || account == c.Account
}

// Cancel stores that a job is cancelled, and notifies the leader. If this host cannot store
// it, a peer is tried. The error wraps ErrNoJob, also for a job that the caller may not
// access, or ErrUnavailable.
func (e *Entry) Cancel(ctx context.Context, id graph.JobID, by Caller) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout(ctx, e.storeSlow()))
	defer cancel()
	err := e.CancelHere(ctx, id, by)
	if err == nil || errors.Is(err, ErrNoJob) {
		return err
	}
	if relayErr := e.relay.RelayCancel(ctx, id, by); relayErr == nil || errors.Is(relayErr, ErrNoJob) {
		return relayErr
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// CancelHere stores a cancellation by a direct call from this host to the store, and waits up
// to cancelNotifyWait until the leader is notified. It does nothing if the cancellation is
// stored already. The error wraps ErrNoJob, ErrNotAccepted or ErrOutcomeUnknown.
func (e *Entry) CancelHere(ctx context.Context, id graph.JobID, by Caller) error {
	if !e.store.Up() {
		return fmt.Errorf("%w: %w", ErrNotAccepted, errStoreDown)
	}
	row, cancelled, err := e.readJob(ctx, id)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrNotAccepted, err)
	case row.Version == 0:
		return ErrNoJob
	}
	// A row that cannot be decoded names no account: anyone may cancel the job.
	if j, err := dispatcher.DecodeJob(row.Value); err == nil && !by.MayAccess(j.Account) {
		return ErrNoJob
	}
	if cancelled {
		return nil
	}
	key := dispatcher.CancelKey(partitionOf(id), id)
	if _, err := e.commitOnce(ctx, store.Tx{Expect: []store.Expect{{Key: key}}, Put: []store.Put{{Key: key, Value: []byte("{}")}}}); err != nil {
		return err
	}
	e.log.Info("cancellation stored", "job", id)
	notified := make(chan struct{})
	go func() {
		defer close(notified)
		e.notifyLeader(context.WithoutCancel(ctx), "cancelled", id, func(ctx context.Context) error { return e.leader.Cancelled(ctx, id) })
	}()
	select {
	case <-notified:
	case <-time.After(cancelNotifyWait):
	}
	return nil
}

// readJob returns a job's row, with version 0 if there is none, and whether its
// cancellation is stored.
func (e *Entry) readJob(ctx context.Context, id graph.JobID) (job store.Row, cancelled bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	jobKey, cancelKey := dispatcher.JobKey(partitionOf(id), id), dispatcher.CancelKey(partitionOf(id), id)
	page, err := e.store.Read(ctx, store.Range{Table: jobKey.Table, Partition: jobKey.Partition, From: jobKey.Name, To: cancelKey.Name + "\x00"})
	if err != nil {
		return store.Row{}, false, err
	}
	for _, r := range page.Rows {
		switch r.Key.Name {
		case jobKey.Name:
			job = r
		case cancelKey.Name:
			cancelled = true
		}
	}
	return job, cancelled, nil
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
	row, cancelled, err := e.readJob(ctx, id)
	if err != nil {
		return view.JobStatus{}, err
	}
	if row.Version == 0 {
		return view.JobStatus{}, ErrNoJob
	}
	j, err := dispatcher.DecodeJob(row.Value)
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
	status.State = stateOf(p.State, p.HasStarted(), cancelled)
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
