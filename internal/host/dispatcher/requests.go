package dispatcher

import (
	"context"
	"time"

	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// maxNoticeAge is how long after its acceptance a job's notification counts. One that was held up
// longer, such as by a link that was disconnected, may arrive when the job has ended and its rows are
// removed, and the job would run again. The scan finds a job that is stored.
const maxNoticeAge = time.Minute

// Submitted notifies the leader of a job that was accepted and stored. It ignores one that is older
// than maxNoticeAge.
func (d *Dispatcher) Submitted(ctx context.Context, j *graph.Job) error {
	if j.AcceptedAt > 0 && time.Since(time.UnixMilli(j.AcceptedAt)) > maxNoticeAge {
		return nil
	}
	return d.onLoop(ctx, func(m *dispatch.Machine, now time.Time) { m.Accept(j, now) })
}

// Cancelled notifies the leader that a job's cancellation was stored.
func (d *Dispatcher) Cancelled(ctx context.Context, id graph.JobID) error {
	return d.onLoop(ctx, func(m *dispatch.Machine, now time.Time) { m.Cancel(id, now) })
}

// Status returns the status that clients may see of a job, and whether the leader knows
// the job.
func (d *Dispatcher) Status(ctx context.Context, id graph.JobID) (status view.JobStatus, known bool, err error) {
	err = d.onLoop(ctx, func(m *dispatch.Machine, _ time.Time) { status, known = m.Status(id) })
	return status, known, err
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

// History returns a job with its stages and the present term's decisions about it, and whether the leader
// knows the job.
func (d *Dispatcher) History(ctx context.Context, id graph.JobID) (history view.History, known bool, err error) {
	err = d.onLoop(ctx, func(m *dispatch.Machine, _ time.Time) {
		history.Job, known = m.Job(id)
		history.Term = m.Term()
		history.Stages = viewStages(m, id)
	})
	if l := d.current(); l != nil && known {
		history.Decisions = l.histories.ofJob(id)
	}
	return history, known, err
}

// Fleet returns the targets and accounts as the leader knows them.
func (d *Dispatcher) Fleet(ctx context.Context) (f view.Fleet, err error) {
	err = d.onLoop(ctx, func(m *dispatch.Machine, now time.Time) { f = m.Fleet(now) })
	return f, err
}

// onLoop runs f on the main loop and waits for it. If the context ends first, f may still
// run.
func (d *Dispatcher) onLoop(ctx context.Context, f func(m *dispatch.Machine, now time.Time)) error {
	l := d.current()
	if l == nil || !l.term.Valid(d.clock()) {
		return ErrNotLeading
	}
	done := make(chan struct{})
	l.post(func(now time.Time) {
		f(l.machine, now)
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.ctx.Done():
		return ErrNotLeading
	}
}
