package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// Why a request got no positive answer.
var (
	ErrNotAccepted = errors.New("not accepted, and never will be")
	ErrNotKnown    = errors.New("not known whether it was stored; ask again with the same id")
	ErrNoJob       = errors.New("no such job")
	ErrNoAnswer    = errors.New("cannot be told now")
)

// Figures of an entry.
const (
	callTime  = 1200 * time.Millisecond // bounds one call to the store, so that one more can follow before most deadlines
	retryWait = 100 * time.Millisecond  // between two tries
	tellTime  = time.Second             // bounds telling the leader; it scans the store, too
)

// Leader is asked and told about jobs.
type Leader interface {
	Submitted(ctx context.Context, j *graph.Job) error
	Cancelled(ctx context.Context, id graph.JobID) error
	State(ctx context.Context, id graph.JobID) (s progress.State, known bool, err error)
	Pending(ctx context.Context, queue string) (int, error)
}

// Entry serves requests.
type Entry struct {
	store  store.Store
	leader Leader
	log    logr.Logger
}

// New returns an entry.
func New(s store.Store, l Leader, log logr.Logger) *Entry {
	return &Entry{store: s, leader: l, log: log}
}

// Submit stores a job, unless it is stored already, and tells the leader. The
// error wraps graph.ErrInvalid, ErrNotAccepted or ErrNotKnown.
func (e *Entry) Submit(ctx context.Context, j *graph.Job) error {
	if err := j.Check(); err != nil {
		return err
	}
	value, err := dispatcher.EncodeJob(j)
	if err != nil {
		return err
	}
	key := dispatcher.JobKey(partOf(j.ID), j.ID)
	again, err := e.putNew(ctx, store.Tx{Expect: []store.Expect{{Key: key}}, Put: []store.Put{{Key: key, Value: value}}})
	if err != nil {
		e.log.Info("job not stored", "job", j.ID, "queue", j.Queue, "account", j.Account, "error", err.Error())
		return err
	}
	e.log.Info("job stored", "job", j.ID, "queue", j.Queue, "account", j.Account, "again", again)
	if !again {
		go e.tell(context.WithoutCancel(ctx), "submitted", j.ID, func(ctx context.Context) error { return e.leader.Submitted(ctx, j) })
	}
	return nil
}

// putNew makes a transaction that can take effect only once, until it is known
// whether it did. again tells that an earlier one has.
func (e *Entry) putNew(ctx context.Context, tx store.Tx) (again bool, err error) {
	unsettled := false // an earlier try may still take effect
	for {
		try, cancel := context.WithTimeout(ctx, callTime)
		_, err := e.store.Commit(try, tx)
		cancel()
		switch {
		case err == nil:
			return false, nil
		case errors.Is(err, store.ErrConflict):
			return !unsettled, nil
		case errors.Is(err, store.ErrUnavailable) && !unsettled:
			return false, fmt.Errorf("%w: %w", ErrNotAccepted, err)
		case errors.Is(err, store.ErrUnknown):
			unsettled = true
		}
		select {
		case <-ctx.Done():
			return false, fmt.Errorf("%w: %w", ErrNotKnown, err)
		case <-time.After(retryWait):
		}
	}
}

func (e *Entry) tell(ctx context.Context, what string, id graph.JobID, f func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	if err := f(ctx); err != nil {
		e.log.Info("leader not told", "job", id, "step", what, "error", err.Error())
	}
}

// Cancel stores that a job is cancelled, and tells the leader. The error wraps
// ErrNoJob or ErrNoAnswer.
func (e *Entry) Cancel(ctx context.Context, id graph.JobID) error {
	part := partOf(id)
	job, cancelled, err := e.read(ctx, id)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	case job.Version == 0:
		return ErrNoJob
	case cancelled:
		return nil
	}
	key := dispatcher.CancelKey(part, id)
	if _, err := e.putNew(ctx, store.Tx{Expect: []store.Expect{{Key: key}}, Put: []store.Put{{Key: key, Value: []byte("{}")}}}); err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	e.log.Info("cancelling stored", "job", id)
	go e.tell(context.WithoutCancel(ctx), "cancelled", id, func(ctx context.Context) error { return e.leader.Cancelled(ctx, id) })
	return nil
}

// read returns a job's row, with version 0 if there is none, and whether its
// cancelling is stored.
func (e *Entry) read(ctx context.Context, id graph.JobID) (job store.Row, cancelled bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	key, mark := dispatcher.JobKey(partOf(id), id), dispatcher.CancelKey(partOf(id), id)
	page, err := e.store.Read(ctx, store.Range{Table: key.Table, Part: key.Part, From: key.Name, To: mark.Name + "\x00"})
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

// State returns a job's state: as the leader tells it, else as the store has
// it. The error wraps ErrNoJob or ErrNoAnswer.
func (e *Entry) State(ctx context.Context, id graph.JobID) (progress.State, error) {
	state, known, leaderErr := e.leader.State(ctx, id)
	if leaderErr == nil && known {
		return state, nil
	}
	job, cancelled, err := e.read(ctx, id)
	if err != nil {
		return "", fmt.Errorf("%w: %w (leader: %w)", ErrNoAnswer, err, leaderErr)
	}
	if job.Version == 0 {
		return "", ErrNoJob
	}
	row, err := store.Get(ctx, e.store, dispatcher.ProgressKey(partOf(id), id))
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	if row.Version == 0 {
		return stateOf(progress.Queued, false, cancelled), nil
	}
	p, err := progress.Decode(row.Value)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return stateOf(p.State, p.Started, cancelled), nil
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
		return 0, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return n, nil
}

func partOf(id graph.JobID) int { return dispatch.PartOf(id, dispatcher.Parts) }
