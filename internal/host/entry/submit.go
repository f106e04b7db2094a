package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// SubmitHere stores a job by a direct call from this host to the store. The leader is notified
// in the background, and not of a job that was stored before. A submission that is maxWriteTime old
// is not accepted: a peer may have sent it long ago, over a link that was disconnected since.
func (e *Entry) SubmitHere(ctx context.Context, j *graph.Job) error {
	if age := time.Since(time.UnixMilli(j.AcceptedAt)); j.AcceptedAt > 0 && age > maxWriteTime {
		return fmt.Errorf("%w: the submission is %v old", ErrNotAccepted, age.Round(time.Second))
	}
	value, err := dispatcher.EncodeJob(j)
	if err != nil {
		return err
	}
	again, err := e.commit(ctx, &submission{entry: e, job: j, value: value})
	if err != nil {
		return err
	}
	e.log.Info("job stored", "job", j.ID, "queue", j.Queue, "account", j.Account, "again", again)
	if !again {
		go e.notifyLeader(context.WithoutCancel(ctx), "submitted", j.ID, func(ctx context.Context) error { return e.leader.Submitted(ctx, j) })
	}
	return nil
}

// submission is the write of a job. It expects that the job's row is missing, and that the row of
// cancellations is as it was when the host last read it and found none of the job: so it takes
// effect neither twice nor, however late it is performed, after a cancellation was stored.
type submission struct {
	entry *Entry
	job   *graph.Job
	value []byte // of its row
}

func (s *submission) key() store.Key { return dispatcher.JobKey(partitionOf(s.job.ID), s.job.ID) }

// prepare implements write. The error is ErrCancelled if the job is cancelled. An
// expired cancellation of the job is removed in the same transaction, so that a row of cancellations
// never has one of a job that is stored.
func (s *submission) prepare(ctx context.Context) (store.Tx, error) {
	setKey := dispatcher.CancelledSetKey(partitionOf(s.job.ID), s.job.ID)
	known := s.entry.cancelled.get(setKey)
	tx := store.Tx{Put: []store.Put{{Key: s.key(), Value: s.value}}}
	if _, covered := known.set.Covers(s.job); covered {
		fresh, now, err := s.entry.readCancelledSet(ctx, setKey)
		if err != nil {
			return store.Tx{}, err
		}
		known = fresh
		if deadline, _ := fresh.set.Covers(s.job); deadline > now {
			s.entry.metrics.Counter("submissions_cancelled_total").Inc(1)
			return store.Tx{}, ErrCancelled
		}
		remaining := fresh.set.Unexpired(now, s.entry.cancelledUntil(now))
		tx.Put = append(tx.Put, store.Put{Key: setKey, Value: remaining.Encode()})
	}
	tx.Expect = []store.Expect{{Key: s.key()}, {Key: setKey, Version: known.version}}
	return tx, nil
}

func (s *submission) found(store.Row) bool { return true }

// conflict implements write: the job is stored, or else the row of cancellations has changed.
func (s *submission) conflict(rows []store.Row) (bool, error) {
	s.entry.cancelled.observeAmong(dispatcher.CancelledSetKey(partitionOf(s.job.ID), s.job.ID), rows)
	return slices.ContainsFunc(rows, func(r store.Row) bool { return r.Key == s.key() }), nil
}
