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

// Why a request got no positive answer.
var (
	ErrNotAccepted    = errors.New("not accepted, and never will be")
	ErrOutcomeUnknown = errors.New("not known whether it was stored; ask again with the same id")
	ErrNoJob          = errors.New("no such job")
	ErrUnavailable    = errors.New("cannot be told now")
)

// Figures of an entry.
const (
	// storeCallTimeout bounds reading from the store, and writing to it over this host's own
	// way: a hundred times what a call takes on an ordinary day, and short enough
	// that a peer can be asked after it.
	storeCallTimeout = 800 * time.Millisecond
	// maxSettleTime is how long an entry tries to learn what became of a write.
	// Then the client is told that it is not known, and asks another host.
	maxSettleTime = 1300 * time.Millisecond
	// settleShare is the share of a client's time that an entry spends on it at most:
	// with the rest, the client can ask another host.
	settleShare = 0.4
	// slowSettleShare is the same while the store is slow. Another host has the same store,
	// and each write that is made again waits in the same line as the first: a request
	// is best left to the one call that is on its way.
	slowSettleShare  = 0.85
	notifyTimeout    = time.Second // bounds telling the leader; it scans the store, too
	notifyRetryDelay = 50 * time.Millisecond
	// cancelNotifyWait is how long an answer to a cancelling waits until the leader knows of
	// it, so that whoever reads the job next, at any host, finds it cancelled. It is
	// many times a round trip between hosts; a leader that is lost costs no more.
	cancelNotifyWait = 100 * time.Millisecond
)

// Leader is asked and told about jobs.
type Leader interface {
	Submitted(ctx context.Context, j *graph.Job) error
	Cancelled(ctx context.Context, id graph.JobID) error
	State(ctx context.Context, id graph.JobID) (told view.JobStatus, known bool, err error)
	Pending(ctx context.Context, queue string) (int, error)
}

// Relay has another host store what this one cannot. Its errors wrap
// ErrNotAccepted, ErrNotKnown or ErrNoJob.
type Relay interface {
	RelaySubmit(ctx context.Context, j *graph.Job) error
	RelayCancel(ctx context.Context, id graph.JobID, by Caller) error
}

// Entry serves requests.
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

// Submit stores a job, unless it is stored already, and tells the leader. What
// the store does not take from this host another one hands in. The error wraps
// graph.ErrInvalid, ErrNotAccepted or ErrNotKnown.
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
	other := e.relay.RelaySubmit(ctx, j)
	if other == nil {
		e.log.Info("job stored by a peer", "job", j.ID, "queue", j.Queue, "account", j.Account, "here", err.Error())
		return nil
	}
	err = joinErrors(err, other)
	e.log.Info("job not stored", "job", j.ID, "queue", j.Queue, "account", j.Account, "error", err.Error())
	return err
}

// settleTimeout returns how long a request may take to settle, by the time that its client
// gives it and whether the store is slow.
func settleTimeout(ctx context.Context, slow bool) time.Duration {
	until, limited := ctx.Deadline()
	switch {
	case !limited:
		return maxSettleTime
	case slow:
		return time.Duration(slowSettleShare * float64(time.Until(until)))
	}
	return min(maxSettleTime, time.Duration(settleShare*float64(time.Until(until))))
}

// storeSlow reports whether calls to the store take so long that one more does harm.
func (e *Entry) storeSlow() bool { return e.store.TypicalLatency() >= slowStoreLatency }

// joinErrors joins what two hosts could not do: nothing was stored only if both say
// so.
func joinErrors(here, there error) error {
	if errors.Is(here, ErrNotAccepted) && !errors.Is(there, ErrNotAccepted) {
		return fmt.Errorf("%w (here: %s)", there, here.Error())
	}
	return fmt.Errorf("%w (peer: %s)", here, there.Error())
}

// SubmitHere stores a job over this host's own way to the store.
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

// errStoreDown says that a call was not made since the last ones failed.
var errStoreDown = errors.New("the store does not serve this host now")

// notifyLeader tells the leader, again while nobody leads: in a takeover the next leader would
// else find the job a second later, by its scan.
func (e *Entry) notifyLeader(ctx context.Context, what string, id graph.JobID, f func(ctx context.Context) error) {
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
			e.log.Info("leader not told", "job", id, "step", what, "error", err.Error())
			return
		}
	}
}

// Caller is who asks about a job that is there already.
type Caller struct {
	Account  string `json:"account,omitempty"`
	Operator bool   `json:"operator,omitempty"` // may see and cancel the jobs of every account
}

// MayAccess reports whether the jobs of an account are the caller's to see and cancel.
// Those of no account are everybody's.
func (c Caller) MayAccess(account string) bool {
	return c.Operator || account == "" || account == c.Account
}

// Cancel stores that a job is cancelled, and tells the leader. The error wraps
// ErrNoJob, also for a job that is not the caller's, or ErrNoAnswer.
func (e *Entry) Cancel(ctx context.Context, id graph.JobID, by Caller) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout(ctx, e.storeSlow()))
	defer cancel()
	err := e.CancelHere(ctx, id, by)
	if err == nil || errors.Is(err, ErrNoJob) {
		return err
	}
	if other := e.relay.RelayCancel(ctx, id, by); other == nil || errors.Is(other, ErrNoJob) {
		return other
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// CancelHere stores a cancelling over this host's own way to the store.
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
	// A row that cannot be read belongs to nobody that could be asked.
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
	e.log.Info("cancelling stored", "job", id)
	told := make(chan struct{})
	go func() {
		defer close(told)
		e.notifyLeader(context.WithoutCancel(ctx), "cancelled", id, func(ctx context.Context) error { return e.leader.Cancelled(ctx, id) })
	}()
	select {
	case <-told:
	case <-time.After(cancelNotifyWait):
	}
	return nil
}

// readJob returns a job's row, with version 0 if there is none, and whether its
// cancelling is stored.
func (e *Entry) readJob(ctx context.Context, id graph.JobID) (job store.Row, cancelled bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	key, mark := dispatcher.JobKey(partitionOf(id), id), dispatcher.CancelKey(partitionOf(id), id)
	page, err := e.store.Read(ctx, store.Range{Table: key.Table, Partition: key.Partition, From: key.Name, To: mark.Name + "\x00"})
	if err != nil {
		return store.Row{}, false, err
	}
	for _, r := range page.Rows {
		switch r.Key.Name {
		case key.Name:
			job = r
		case mark.Name:
			cancelled = true
		}
	}
	return job, cancelled, nil
}

// State returns what to tell of a job: as the leader knows it, else as the store
// has it. The error wraps ErrNoJob, also for a job that is not the caller's, or
// ErrNoAnswer.
func (e *Entry) State(ctx context.Context, id graph.JobID, by Caller) (view.JobStatus, error) {
	told, err := e.lookUpState(ctx, id)
	if err == nil && !by.MayAccess(told.Account) {
		return view.JobStatus{}, ErrNoJob
	}
	return told, err
}

func (e *Entry) lookUpState(ctx context.Context, id graph.JobID) (view.JobStatus, error) {
	told, known, leaderErr := e.leader.State(ctx, id)
	if leaderErr == nil && known {
		return told, nil
	}
	if leaderErr == nil {
		leaderErr = errLeaderUnknownJob
	}
	if !e.store.Up() {
		return view.JobStatus{}, fmt.Errorf("%w: %w (leader: %w)", ErrUnavailable, errStoreDown, leaderErr)
	}
	told, err := e.storedState(ctx, id)
	if err != nil && !errors.Is(err, ErrNoJob) {
		return view.JobStatus{}, fmt.Errorf("%w: %w (leader: %w)", ErrUnavailable, err, leaderErr)
	}
	return told, err
}

// errLeaderUnknownJob says that the leader answered, and does not know the job.
var errLeaderUnknownJob = errors.New("it does not know the job")

// storedState returns what the rows of a job say.
func (e *Entry) storedState(ctx context.Context, id graph.JobID) (view.JobStatus, error) {
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
	told := view.JobStatus{State: progress.Queued, Queue: j.Queue, Account: j.Account}
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
	told.State = stateOf(p.State, p.Started, cancelled)
	return told, nil
}

// stateOf returns what to tell of a job: a final state that was saved stands,
// since a cancelling that came later changes nothing.
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

// Pending returns how many jobs of a queue have not started.
func (e *Entry) Pending(ctx context.Context, queue string) (int, error) {
	n, err := e.leader.Pending(ctx, queue)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return n, nil
}

func partitionOf(id graph.JobID) int { return dispatch.PartOf(id, dispatcher.Partitions) }
