package dispatcher

import (
	"context"
	"time"

	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// Submitted tells the leader of a job that was accepted and stored.
func (d *Dispatcher) Submitted(ctx context.Context, j *graph.Job) error {
	return d.onLoop(ctx, func(m *dispatch.Machine, now time.Time) { m.Accept(j, now) })
}

// Cancelled tells the leader of a job whose cancelling was stored.
func (d *Dispatcher) Cancelled(ctx context.Context, id graph.JobID) error {
	return d.onLoop(ctx, func(m *dispatch.Machine, now time.Time) { m.Cancel(id, now) })
}

// State returns what clients may be told of a job, and whether the leader knows
// it.
func (d *Dispatcher) State(ctx context.Context, id graph.JobID) (told view.JobStatus, known bool, err error) {
	err = d.onLoop(ctx, func(m *dispatch.Machine, _ time.Time) { told, known = m.Told(id) })
	return told, known, err
}

// Pending returns how many jobs of a queue have not started.
func (d *Dispatcher) Pending(ctx context.Context, queue string) (n int, err error) {
	err = d.onLoop(ctx, func(m *dispatch.Machine, _ time.Time) { n = m.Pending(queue) })
	return n, err
}

// Jobs returns the jobs of a client account, or of all where it is empty.
func (d *Dispatcher) Jobs(ctx context.Context, account string) (list []view.Job, err error) {
	err = d.onLoop(ctx, func(m *dispatch.Machine, _ time.Time) { list = m.Jobs(account) })
	return list, err
}

// Story returns a job with what was decided about it, and whether the leader
// knows it.
func (d *Dispatcher) Story(ctx context.Context, id graph.JobID) (story view.History, known bool, err error) {
	err = d.onLoop(ctx, func(m *dispatch.Machine, _ time.Time) {
		story.Job, known = m.Job(id)
		story.Term = m.Term()
	})
	if o := d.current(); o != nil && known {
		story.Decisions = o.histories.ofJob(id)
	}
	return story, known, err
}

// Fleet returns what the leader holds of targets and accounts.
func (d *Dispatcher) Fleet(ctx context.Context) (f view.Fleet, err error) {
	err = d.onLoop(ctx, func(m *dispatch.Machine, now time.Time) { f = m.Fleet(now) })
	return f, err
}

// onLoop has the loop run f and waits until it did.
func (d *Dispatcher) onLoop(ctx context.Context, f func(m *dispatch.Machine, now time.Time)) error {
	o := d.current()
	if o == nil || !o.term.Valid(d.clock()) {
		return ErrNotLeading
	}
	done := make(chan struct{})
	o.post(func(now time.Time) {
		f(o.machine, now)
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-o.ctx.Done():
		return ErrNotLeading
	}
}
