package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"guavaglade.example/guavaglade/internal/work/job"
)

// Record writes the outcome of a job and takes its job row out. The same
// outcome again is no error. The error wraps ErrFenced if a newer attempt or
// another outcome stands: the report came late, doubled or crossed, and what is
// recorded holds.
func (l *Ledger) Record(ctx context.Context, j job.Job, o job.Outcome) error {
	if !o.State.Final() || o.Job != j.ID() {
		return fmt.Errorf("record %s: %w: outcome of %q in state %q is none of its", j.ID(), ErrFenced, o.Job, o.State)
	}
	stored, object, err := l.storeAnswer(ctx, o)
	if err != nil {
		return fmt.Errorf("record %s: %w", o.Job, err)
	}
	if o.State == job.NotRun {
		defer l.giveUp(o.Job)()
	}
	content := contentOf(j)
	stands, _, err := l.update(ctx, o.Job, l.nonce(), func(found record) (*record, error) {
		if err := l.outcomeFits(found, o, content); err != nil || found.Outcome != nil {
			return nil, err
		}
		found.Attempt, found.Outcome, found.Object, found.Content = o.Attempt, &stored, object, content
		found.Until = l.keptUntil()
		return &found, nil
	})
	if err != nil && !errors.Is(err, ErrFenced) {
		return fmt.Errorf("record %s: %w", o.Job, err)
	}
	if stands.Outcome != nil || err == nil {
		// The row of a job that ended, also by an earlier report.
		if gone := l.removeJob(ctx, j.Zone(), o.Job); gone != nil && err == nil && j.Long() {
			return fmt.Errorf("record %s: %w", o.Job, gone)
		}
	}
	if err != nil {
		return fmt.Errorf("record %s, attempt %d, %s: %w", o.Job, o.Attempt, o.State, err)
	}
	return nil
}

// outcomeFits returns nil if an outcome may be written over a record, or is the
// one that stands there. An outcome is final: a caller may have been told. It
// must not be older than the attempt that was claimed, else the report of a
// placer that was paused takes the place of the attempt that came after its own.
// That a job did not run although it was claimed can be known only to a host
// that alone has claimed it: another one that says so has tried to start the
// same attempt and lost, or does not know of an earlier one.
func (l *Ledger) outcomeFits(found record, o job.Outcome, content string) error {
	if found.Content != "" && found.Content != content {
		return fmt.Errorf("%w: the id stands for another request", ErrFenced)
	}
	if f := found.Outcome; f != nil {
		return sameOutcome(*f, o)
	}
	if !found.Swept.IsZero() {
		return fmt.Errorf("%w: it ended long ago", ErrFenced)
	}
	if o.Attempt < found.Attempt {
		return fmt.Errorf("%w: attempt %d", ErrFenced, found.Attempt)
	}
	alone := found.By == l.self && !found.Several
	if o.State == job.NotRun && found.Attempt > 0 && !alone {
		return fmt.Errorf("%w: attempt %d may have run", ErrFenced, found.Attempt)
	}
	if found.Refused && o.State != job.NotRun && o.State != job.Cancelled {
		return fmt.Errorf("%w: it was refused", ErrFenced)
	}
	return nil
}

// sameOutcome returns nil if an outcome is a doubled report of the one that
// stands.
func sameOutcome(stands, o job.Outcome) error {
	same := stands.State == o.State && stands.Answer.Digest() == o.Answer.Digest()
	if same && (stands.Attempt == o.Attempt || o.State == job.NotRun) {
		return nil
	}
	return fmt.Errorf("%w: attempt %d %s", ErrFenced, stands.Attempt, stands.State)
}

// storeAnswer puts a large answer into the object store, under a key that is
// its own for each content. It returns the outcome without the body then.
func (l *Ledger) storeAnswer(ctx context.Context, o job.Outcome) (stored job.Outcome, key string, err error) {
	if !o.Answer.Whole() {
		return o, "", fmt.Errorf("%w: answer of %s", ErrDigest, o.Job)
	}
	if l.objects == nil || o.Answer.Length() <= l.large {
		return o, "", nil
	}
	key = fmt.Sprintf("answers/%s/%d/%s", o.Job, o.Attempt, o.Answer.Digest())
	if err := l.objects.PutObject(ctx, key, o.Answer.Body()); err != nil {
		return o, "", fmt.Errorf("store the answer: %w", err)
	}
	head, err := json.Marshal(struct {
		Length int    `json:"length"`
		Digest string `json:"digest"`
	}{o.Answer.Length(), o.Answer.Digest()})
	if err != nil {
		return o, "", err
	}
	if err := json.Unmarshal(head, &o.Answer); err != nil {
		return o, "", err
	}
	return o, key, nil
}

// Outcome reads the outcome of a job; ok is false if none is written. A large
// answer is fetched and checked: the error wraps ErrDigest if it is not the one
// that was recorded.
func (l *Ledger) Outcome(ctx context.Context, id job.ID) (o job.Outcome, ok bool, err error) {
	row, err := l.table.Get(ctx, claimKey(id))
	if err != nil {
		return job.Outcome{}, false, fmt.Errorf("read outcome of %s: %w", id, err)
	}
	r, err := parse(row)
	if err != nil {
		return job.Outcome{}, false, fmt.Errorf("read outcome of %s: %w", id, err)
	}
	if r.Outcome == nil {
		return job.Outcome{}, false, nil
	}
	o = *r.Outcome
	if r.Object != "" {
		if o.Answer, err = l.fetchAnswer(ctx, r.Object, o.Answer); err != nil {
			return job.Outcome{}, false, fmt.Errorf("read outcome of %s: %w", id, err)
		}
	}
	if !o.Answer.Whole() {
		return job.Outcome{}, false, fmt.Errorf("read outcome of %s: %w", id, ErrDigest)
	}
	return o, true, nil
}

func (l *Ledger) fetchAnswer(ctx context.Context, key string, head job.Answer) (job.Answer, error) {
	if l.objects == nil {
		return job.Answer{}, fmt.Errorf("fetch %s: no object store is set", key)
	}
	body, err := l.objects.GetObject(ctx, key)
	if err != nil {
		return job.Answer{}, fmt.Errorf("fetch %s: %w", key, err)
	}
	a := job.NewAnswer(body)
	if a.Length() != head.Length() || a.Digest() != head.Digest() {
		return job.Answer{}, fmt.Errorf("fetch %s: %w", key, ErrDigest)
	}
	return a, nil
}
