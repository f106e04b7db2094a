package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/limiter"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/report/metrics"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// errTermOver is returned for an order that was not sent because the term may have
// ended.
var errTermOver = fmt.Errorf("%w: the leader row was not renewed in time", order.ErrUnreached)

// execute starts the execution of a command. The result is posted to the main loop.
func (l *leadership) execute(c dispatch.Command, _ time.Time) {
	switch c := c.(type) {
	case dispatch.Start:
		w := l.starts.add(l.ctx, c)
		l.spawnDetached(func() { l.start(c, w) })
	case dispatch.Stop:
		l.starts.withdraw(c.Target.ID, c.Run)
		l.spawnDetached(func() { l.stop(c) })
	case dispatch.Withdraw:
		l.starts.withdraw(c.Target, c.Run)
	case dispatch.Poll:
		l.spawnDetached(func() { l.poll(c) })
	case dispatch.Save:
		l.spawn(func() { l.save(c) })
	case dispatch.SaveSpeeds:
		l.spawn(func() { l.saveSpeeds(c) })
	case dispatch.JobEnded:
		l.jobEnded(c)
	case dispatch.JobFailed:
		l.metrics.Tagged(map[string]string{"cause": string(c.Cause)}).Counter("jobs_failed").Inc(1)
	case dispatch.TargetLost:
		l.metrics.Counter("targets_lost").Inc(1)
		l.metrics.Counter("runs_lost").Inc(int64(c.Runs))
	case dispatch.PlacementWithheld:
		l.metrics.Tagged(map[string]string{"reason": string(c.Reason)}).Counter("placements_withheld_total").Inc(1)
	case dispatch.Forget:
		l.spawn(func() { l.forget(c) })
	case dispatch.Pace:
		l.spawnDetached(func() { l.pace(c) })
	case dispatch.Advise:
		l.spawn(func() { l.advise(c) })
	}
}

// mayOrder reports whether orders may be sent at this moment. While the process was
// suspended another host may have taken over: the clock is read just before each order,
// and counts the time of the suspension.
func (l *leadership) mayOrder() bool { return l.term.Valid(l.clock()) }

// mayStartIn reports whether work may start in a zone at this moment. The zone may have
// been evacuated while a start waited in the limiter.
func (l *leadership) mayStartIn(zone string) bool {
	if l.evacuations == nil {
		return true
	}
	status := l.evacuations()
	age := l.clock().Sub(status.AsOf)
	return !status.Has(zone) && (l.bounds.MaxEvacuationAge == 0 || age <= l.bounds.MaxEvacuationAge)
}

// start sends a start, unless by the time that the limiter admits it its run was stopped, its target's entry
// or the evacuation status is too old, or its zone is evacuated.
func (l *leadership) start(c dispatch.Start, w *waitingStart) {
	defer w.end()
	clock, err := l.send(w.ctx, c.Class, 0, func(ctx context.Context) (int64, error) {
		if !w.take() {
			return 0, errWithdrawn
		}
		if c.Expired(l.clock()) {
			l.metrics.Counter("starts_withheld").Inc(1)
			return 0, fmt.Errorf("start on %s, decided %d ms ago: %w", c.Target.ID, l.clock().Sub(c.DecidedAt).Milliseconds(), order.ErrWithheld)
		}
		if !l.mayStartIn(c.Zone) {
			l.metrics.Counter("starts_withheld").Inc(1)
			return 0, fmt.Errorf("start on %s in zone %s: %w", c.Target.ID, c.Zone, order.ErrWithheld)
		}
		l.recordStartWait(c)
		return l.transport.Start(ctx, c.Target, c.OrderAt(l.clock()))
	})
	if w.ctx.Err() != nil && l.ctx.Err() == nil {
		err = errWithdrawn
	}
	l.post(func(now time.Time) { l.machine.StartAnswered(c, clock, err, now) })
}

// longStartWait is how long a start waits at least to be logged when it is sent. What was known of its target
// when it was decided may have changed meanwhile.
const longStartWait = time.Second

// recordStartWait records how long a start that is sent now has waited since it was decided.
func (l *leadership) recordStartWait(c dispatch.Start) {
	waited := l.clock().Sub(c.DecidedAt)
	l.metrics.Histogram("start_wait_seconds", metrics.LatencyBuckets).RecordDuration(waited)
	if waited >= longStartWait {
		l.log.Info("start waited", "target", c.Target.ID, "task", c.Order.Run.Task.String(), "run", c.Order.Run.Number, "waitedMS", waited.Milliseconds(), "class", int(c.Class))
	}
}

func (l *leadership) stop(c dispatch.Stop) {
	clock, err := l.send(l.ctx, c.Class, 0, func(ctx context.Context) (int64, error) {
		return l.transport.Stop(ctx, c.Target, c.Run, l.term.Number())
	})
	l.post(func(now time.Time) { l.machine.StopAnswered(c, clock, err, now) })
}

// pace sends the pace of a run. The limiter treats it like a start.
func (l *leadership) pace(c dispatch.Pace) {
	clock, err := l.send(l.ctx, limiter.Start, 0, func(ctx context.Context) (int64, error) {
		return l.transport.Pace(ctx, c.Target, c.Run, c.Percent, l.term.Number())
	})
	l.post(func(now time.Time) { l.machine.PaceAnswered(c, clock, err, now) })
}

// send sends an order once the limiter admits it, and returns the target's clock. It
// returns errTermOver, without sending, if the term may have ended. The timeout is the
// limiter's, and at least minTimeout. It counts from the admission, since the time spent
// waiting in this host says nothing of the target. The order waits until the context ends.
func (l *leadership) send(waiting context.Context, c limiter.Class, minTimeout time.Duration, order func(ctx context.Context) (int64, error)) (int64, error) {
	slot, err := l.limiter.Acquire(waiting, c)
	if err != nil {
		return 0, errTermOver
	}
	ctx, cancel := context.WithTimeout(l.ctx, max(minTimeout, l.limiter.Timeout()))
	defer cancel()
	if !l.mayOrder() {
		slot.Done(false)
		return 0, errTermOver
	}
	clock, err := order(ctx)
	slot.Done(answered(err))
	return clock, err
}

// answered reports whether the error of an order, or none, is an answer of the target.
func answered(err error) bool {
	return !errors.Is(err, order.ErrUnanswered) && !errors.Is(err, order.ErrUnreached) && !errors.Is(err, order.ErrWithheld)
}

// errNoAdviser is returned if a queue needs advice and the deployment has no advice
// service.
var errNoAdviser = errors.New("no advice service")

// advise asks the advice service which of the targets may run a step.
func (l *leadership) advise(c dispatch.Advise) {
	asked := l.clock()
	var granted []order.Permit
	var valid time.Duration
	err := errNoAdviser
	if l.adviser != nil {
		ctx, cancel := context.WithTimeout(l.ctx, adviceTimeout)
		defer cancel()
		granted, valid, err = l.adviser.Advise(ctx, c.Step, c.Targets)
	}
	l.post(func(now time.Time) { l.machine.Advised(c, granted, valid, asked, err, now) })
}

// poll requests a target's report.
func (l *leadership) poll(c dispatch.Poll) {
	rep, err := l.requestReport(c)
	l.post(func(now time.Time) {
		if err != nil {
			l.machine.PollFailed(c.Target.ID, c, err, now)
			return
		}
		l.machine.Polled(c.Target.ID, c, rep, now)
	})
}

// requestReport polls a target for its report. A poll that waits at the target for the
// end of a run is no load during the wait, and does not count against the limiter.
func (l *leadership) requestReport(c dispatch.Poll) (rep order.Report, err error) {
	if c.Order.Wait == 0 {
		_, err = l.send(l.ctx, c.Class, minReportMargin, func(ctx context.Context) (int64, error) {
			rep, err = l.transport.Poll(ctx, c.Target, c.Order)
			return 0, err
		})
		return rep, err
	}
	ctx, cancel := context.WithTimeout(l.ctx, c.Order.Wait+max(minReportMargin, l.limiter.Timeout()))
	defer cancel()
	if !l.mayOrder() {
		return rep, errTermOver
	}
	return l.transport.Poll(ctx, c.Target, c.Order)
}

// save commits a transaction of progress rows. One whose answer was lost is committed
// again: its conditions keep it from taking effect twice, and the conflict then returns
// the stored rows. If the store is unavailable at the first attempt, or refuses the save, the machine
// saves the rows again later, in smaller saves if that goes on. So it does after maxUnavailable attempts in a row
// of which the store says that it is unavailable: it may mean the rows, and other jobs must not
// wait for ever.
func (l *leadership) save(c dispatch.Save) {
	tx := l.transaction(c)
	for attempt, unavailable := 0, 0; ; attempt++ {
		res, interrupted, err := l.commit(tx, l.writeTimeout(attempt))
		if unavailable++; !errors.Is(err, store.ErrUnavailable) {
			unavailable = 0
		}
		switch {
		case interrupted:
			continue
		case err == nil:
			l.post(func(now time.Time) { l.machine.Saved(c.Partition, res.Version, now) })
			return
		case errors.Is(err, store.ErrConflict):
			l.resolveConflict(c, tx, res.Rows)
			return
		case errors.Is(err, store.ErrRefused), unavailable == 1 && attempt == 0, unavailable == maxUnavailable:
			l.logNotSaved(c, err)
			l.post(func(now time.Time) { l.machine.SaveFailed(c.Partition, now) })
			return
		case l.ctx.Err() != nil:
			return
		}
		l.log.V(1).Info("outcome of saving progress unknown", "part", c.Partition, "rows", len(c.Rows), "error", err.Error())
		sleep(l.ctx, storeRetryDelay)
	}
}

// maxUnavailable is how often in a row the store answers that it is unavailable before a save whose
// outcome is not known is given back. The conditions of the next save show what the lost one has done.
const maxUnavailable = 10

// logNotSaved logs that a save was given back. A refusal names the job if there is only one.
func (l *leadership) logNotSaved(c dispatch.Save, err error) {
	if !errors.Is(err, store.ErrRefused) {
		l.log.V(1).Info("progress not saved", "part", c.Partition, "rows", len(c.Rows), "error", err.Error())
		return
	}
	bytes, job := 0, graph.JobID("")
	for _, r := range c.Rows {
		bytes += len(r.Value)
	}
	if len(c.Rows) == 1 {
		job = c.Rows[0].Job
	}
	l.log.Info("store refuses progress", "part", c.Partition, "rows", len(c.Rows), "job", job, "bytes", bytes, "error", err.Error())
}

// writeTimeout returns the timeout of an attempt of a write that may be repeated at will. Its answer
// may be lost, and work waits for it.
func (d *Dispatcher) writeTimeout(attempt int) time.Duration {
	base := max(minWriteTimeout, writeTimeoutFactor*d.storeLatency())
	return min(base<<min(attempt/2, 4), storeTimeout)
}

// commit commits a transaction. interrupted reports that the store recovered during the
// call, so the outcome is not known.
func (l *leadership) commit(tx store.Tx, timeout time.Duration) (res store.Result, interrupted bool, err error) {
	interrupted, err = store.RunUntilRecovered(l.ctx, l.recovered(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		var err error
		res, err = l.store.Commit(ctx, tx)
		return err
	})
	return res, interrupted, err
}

// transaction returns the transaction of a save. It fails if the partition's fence row or
// one of the progress rows has changed, or if a job that it completes was cancelled.
func (l *leadership) transaction(c dispatch.Save) store.Tx {
	tx := store.Tx{Expect: []store.Expect{{Key: fenceKey(c.Partition), Version: l.fences[c.Partition]}}}
	for _, r := range c.Rows {
		k := ProgressKey(c.Partition, r.Job)
		tx.Expect = append(tx.Expect, store.Expect{Key: k, Version: r.Version})
		tx.Put = append(tx.Put, store.Put{Key: k, Value: r.Value})
		if r.Completes {
			tx.Expect = append(tx.Expect, store.Expect{Key: CancelKey(c.Partition, r.Job)})
		}
	}
	return tx
}

// forget removes all rows of ended jobs, unless the partition's fence row has changed. The
// machine repeats a command that failed.
func (l *leadership) forget(c dispatch.Forget) {
	tx := store.Tx{Expect: []store.Expect{{Key: fenceKey(c.Partition), Version: l.fences[c.Partition]}}}
	for _, id := range c.Jobs {
		tx.Remove = append(tx.Remove, JobKey(c.Partition, id), CancelKey(c.Partition, id), ProgressKey(c.Partition, id))
	}
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	if _, err := l.store.Commit(ctx, tx); err != nil {
		l.log.V(1).Info("rows of ended jobs not removed", "part", c.Partition, "jobs", len(c.Jobs), "error", err.Error())
		return
	}
	l.log.V(1).Info("rows of ended jobs removed", "part", c.Partition, "jobs", len(c.Jobs))
	l.post(func(time.Time) { l.machine.Forgotten(c) })
}

// resolveConflict posts what the stored rows say about a save that failed with a conflict:
// the fence row was changed by a newer term, an earlier attempt took effect, or the rows
// have to be saved again.
func (l *leadership) resolveConflict(c dispatch.Save, tx store.Tx, rows []store.Row) {
	stored := map[store.Key]store.Row{}
	for _, r := range rows {
		stored[r.Key] = r
	}
	if stored[tx.Expect[0].Key].Version != tx.Expect[0].Version {
		l.log.Info("deposed", "step", "save", "part", c.Partition, "term", l.term.Number())
		l.post(func(time.Time) { l.machine.MarkSuperseded() })
		return
	}
	found := make([]dispatch.StoredRow, 0, len(c.Rows))
	same := true
	for _, r := range c.Rows {
		row := stored[ProgressKey(c.Partition, r.Job)]
		_, cancelled := stored[CancelKey(c.Partition, r.Job)]
		same = same && bytes.Equal(row.Value, r.Value) && row.Version > r.Version
		found = append(found, dispatch.StoredRow{Job: r.Job, Version: row.Version, Cancelled: cancelled && r.Completes})
	}
	if same { // an earlier attempt took effect
		version := stored[ProgressKey(c.Partition, c.Rows[0].Job)].Version
		l.post(func(now time.Time) { l.machine.Saved(c.Partition, version, now) })
		return
	}
	l.post(func(now time.Time) { l.machine.SaveRefused(c.Partition, found, now) })
}

// scan finds jobs and cancellations whose notification was lost, in the changes of the jobs
// table since the last scan.
func (l *leadership) scan(ctx context.Context) error {
	changesCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := l.store.Changes(changesCtx, jobsTable, l.scannedVersion, 0)
	switch {
	case errors.Is(err, store.ErrCompacted):
		return l.rescan(ctx)
	case err != nil:
		l.log.V(1).Info("jobs not scanned", "after", l.scannedVersion, "error", err.Error())
		return err
	}
	l.applyRows(page.Rows)
	l.scannedVersion = max(l.scannedVersion, page.Version)
	return nil
}

// rescan reads all rows of the jobs table, after the change feed was compacted past
// scannedVersion.
func (l *leadership) rescan(ctx context.Context) error {
	version := int64(0)
	for p := range Partitions {
		page, err := l.readJobs(ctx, p)
		if err != nil {
			l.log.V(1).Info("jobs not scanned", "part", p, "error", err.Error())
			return err
		}
		l.applyRows(page.Rows)
		if version == 0 || page.Version < version {
			version = page.Version
		}
	}
	l.log.Info("change feed compacted, all jobs read", "version", version)
	l.scannedVersion = version
	return nil
}

// readJobs reads the rows of the jobs table in a partition.
func (l *leadership) readJobs(ctx context.Context, partition int) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return store.ReadAll(ctx, l.store, store.Range{Table: jobsTable, Partition: fmt.Sprint(partition)})
}

// applyRows posts the jobs and cancellations of rows of the jobs table. Removed rows are
// skipped, malformed ones logged.
func (l *leadership) applyRows(rows []store.Row) {
	for _, r := range rows {
		if r.Removed {
			continue
		}
		if id, ok := strings.CutSuffix(r.Key.Name, cancelSuffix); ok {
			l.post(func(now time.Time) { l.machine.Cancel(graph.JobID(id), now) })
			continue
		}
		spec, err := DecodeJob(r.Value)
		if err != nil || string(spec.ID) != r.Key.Name {
			l.logMalformed(r, err)
			continue
		}
		l.post(func(now time.Time) { l.machine.Accept(spec, now) })
	}
}
