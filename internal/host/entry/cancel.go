package entry

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/work/cancellation"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// Caller is the client or operator that reads or cancels a job.
type Caller struct {
	Account  string `json:"account,omitempty"`
	Operator bool   `json:"operator,omitempty"` // may see and cancel the jobs of every account
	// Queue is the public queue at which the request arrived; empty for a queue that requires a key
	// and for requests that name no queue. A cancellation of a job that is not stored then holds for
	// jobs of that queue only.
	Queue string `json:"queue,omitempty"`
}

// MayAccess reports whether the caller may see and cancel the jobs of an account. Jobs
// without an account are open to everybody.
func (c Caller) MayAccess(account string) bool {
	return c.Operator || account == "" || account == c.Account
}

// mayCancel is MayAccess for the row of a job. A row that cannot be decoded names no account:
// anyone may cancel the job.
func (c Caller) mayCancel(job store.Row) bool {
	j, err := dispatcher.DecodeJob(job.Value)
	return err != nil || c.MayAccess(j.Account)
}

// scope returns which jobs the caller's cancellation of a job that is not stored covers.
func (c Caller) scope() cancellation.Scope {
	switch {
	case c.Queue != "":
		return cancellation.Queue(c.Queue)
	case c.Operator:
		return cancellation.All()
	}
	return cancellation.Account(c.Account)
}

// Cancel stores that a job is cancelled, and notifies the leader. If this host cannot store
// it, a peer is tried. The error wraps ErrNoJob, also for a job that the caller may not
// access, ErrTooManyCancellations or ErrUnavailable.
//
// After ErrNoJob no job of the id that the caller may access is stored for the entry's retention,
// by whichever host or late call: such a submission fails with ErrCancelled.
func (e *Entry) Cancel(ctx context.Context, id graph.JobID, by Caller) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout(ctx, e.storeSlow()))
	defer cancel()
	err := e.CancelHere(ctx, id, by)
	if cancelAnswered(err) {
		return err
	}
	if relayErr := e.relay.RelayCancel(ctx, id, by); cancelAnswered(relayErr) {
		return relayErr
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// cancelAnswered reports whether the outcome of a cancellation is one that another host could not
// better.
func cancelAnswered(err error) bool {
	return err == nil || errors.Is(err, ErrNoJob) || errors.Is(err, ErrTooManyCancellations)
}

// errJobChanged is returned for a cancellation whose job was stored, or removed, since it was read.
var errJobChanged = errors.New("the job's row has changed")

// CancelHere stores a cancellation by a direct call from this host to the store, and waits up
// to cancelNotifyWait until the leader is notified. It does nothing if the cancellation is
// stored already, and stores nothing under an id that no job can have. The error wraps ErrNoJob,
// ErrNotAccepted, ErrOutcomeUnknown or ErrTooManyCancellations.
func (e *Entry) CancelHere(ctx context.Context, id graph.JobID, by Caller) error {
	if !id.Valid() {
		return ErrNoJob
	}
	if !e.store.Up() {
		return fmt.Errorf("%w: %w", ErrNotAccepted, errStoreDown)
	}
	ctx, cancel := context.WithTimeout(ctx, maxWriteTime)
	defer cancel()
	for {
		stored, err := e.readJob(ctx, id)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotAccepted, err)
		}
		if stored.job.Version > 0 && by.mayCancel(stored.job) {
			err = e.cancelStored(ctx, id, stored)
		} else {
			err = e.cancelUnstored(ctx, id, by.scope(), stored)
		}
		if !errors.Is(err, errJobChanged) {
			return err
		}
	}
}

// cancelStored stores the cancellation of a job whose row was read, and has the leader notified.
func (e *Entry) cancelStored(ctx context.Context, id graph.JobID, stored storedRows) error {
	if stored.cancelled {
		return nil
	}
	if _, err := e.commit(ctx, &storedCancellation{id: id, job: stored.job}); err != nil {
		return err
	}
	e.metrics.Tagged(map[string]string{"job": "stored"}).Counter("cancellations_total").Inc(1)
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

// storedCancellation is the write of the cancellation of a stored job. It expects the job's row as it
// was read: performed late, after the job's rows were removed, it would cancel a later job of the id,
// and nothing would remove it.
type storedCancellation struct {
	id  graph.JobID
	job store.Row
}

func (c *storedCancellation) key() store.Key { return dispatcher.CancelKey(partitionOf(c.id), c.id) }

func (c *storedCancellation) prepare(context.Context) (store.Tx, error) {
	return store.Tx{
		Expect: []store.Expect{{Key: c.key()}, {Key: c.job.Key, Version: c.job.Version}},
		Put:    []store.Put{{Key: c.key(), Value: []byte("{}")}},
	}, nil
}

func (c *storedCancellation) found(store.Row) bool { return true }

func (c *storedCancellation) conflict(rows []store.Row) (bool, error) {
	if slices.ContainsFunc(rows, func(r store.Row) bool { return r.Key == c.key() }) {
		return true, nil
	}
	return false, errJobChanged
}

// cancelUnstored stores the cancellation of a job that is not stored, or that is not the caller's.
// The error wraps ErrNoJob once it is stored.
func (e *Entry) cancelUnstored(ctx context.Context, id graph.JobID, scope cancellation.Scope, read storedRows) error {
	c := &unstoredCancellation{entry: e, id: id, scope: scope, read: read}
	stored, err := c.stored(ctx)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrNotAccepted, err)
	case stored:
		return ErrNoJob
	}
	again, err := e.commit(ctx, c)
	switch {
	case errors.Is(err, ErrTooManyCancellations):
		e.metrics.Counter("cancellations_refused_total").Inc(1)
		e.log.V(1).Info("cancellation not stored", "job", id, "error", err.Error())
		return err
	case err != nil:
		return err
	}
	if !again {
		e.metrics.Tagged(map[string]string{"job": "unknown"}).Counter("cancellations_total").Inc(1)
		e.log.Info("cancellation of a job that is not stored", "job", id, "untilMS", e.cancelledUntil(read.now))
	}
	return ErrNoJob
}

// unstoredCancellation is the write of the cancellation of a job that is not stored. It expects that
// the job is still not stored, and changes the row that each write of the job expects.
type unstoredCancellation struct {
	entry *Entry
	id    graph.JobID
	scope cancellation.Scope
	read  storedRows
}

func (c *unstoredCancellation) key() store.Key {
	return dispatcher.CancelledSetKey(partitionOf(c.id), c.id)
}

// stored reports whether the cancellation is stored and holds for the time that clients were promised,
// by a read, which is made only if the set that this host knows has it.
func (c *unstoredCancellation) stored(ctx context.Context) (bool, error) {
	if _, known := c.entry.cancelled.get(c.key()).set.Deadline(c.id, c.scope); !known {
		return false, nil
	}
	fresh, now, err := c.entry.readCancelledSet(ctx, c.key())
	if err != nil {
		return false, err
	}
	deadline, _ := fresh.set.Deadline(c.id, c.scope)
	return deadline >= c.entry.cancelledUntil(now)-retentionSlack.Milliseconds(), nil
}

// prepare implements write. The error wraps ErrTooManyCancellations if the set is full or more are
// made than the store's write rate allows for.
func (c *unstoredCancellation) prepare(context.Context) (store.Tx, error) {
	now := c.read.now
	known := c.entry.cancelled.get(c.key())
	next, err := known.set.With(c.id, c.scope, now, c.entry.cancelledUntil(now))
	if err != nil {
		return store.Tx{}, fmt.Errorf("%w: %w", ErrTooManyCancellations, err)
	}
	if !c.entry.limit.allow(c.scope, c.entry.store.TypicalLatency(), time.Now()) {
		return store.Tx{}, fmt.Errorf("%w: over the rate", ErrTooManyCancellations)
	}
	job := store.Expect{Key: dispatcher.JobKey(partitionOf(c.id), c.id), Version: c.read.job.Version}
	return store.Tx{
		Expect: []store.Expect{job, {Key: c.key(), Version: known.version}},
		Put:    []store.Put{{Key: c.key(), Value: next.Encode()}},
	}, nil
}

// found implements write.
func (c *unstoredCancellation) found(row store.Row) bool {
	return c.holds(c.entry.cancelled.observe(row))
}

// holds reports whether a set has the cancellation. That of an earlier request, whose deadline is
// earlier, does not count.
func (c *unstoredCancellation) holds(s cancelledSet) bool {
	deadline, _ := s.set.Deadline(c.id, c.scope)
	return deadline >= c.entry.cancelledUntil(c.read.now)-retentionSlack.Milliseconds()
}

// conflict implements write. No job that a cancellation in the row covers is stored beside it.
func (c *unstoredCancellation) conflict(rows []store.Row) (bool, error) {
	if c.holds(c.entry.cancelled.observeAmong(c.key(), rows)) {
		return true, nil
	}
	jobVersion := int64(0)
	for _, r := range rows {
		if r.Key != c.key() {
			jobVersion = r.Version
		}
	}
	if jobVersion != c.read.job.Version {
		return false, errJobChanged
	}
	return false, nil
}
