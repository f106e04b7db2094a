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
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// errTermOver says that an order was not sent because the term may have ended.
var errTermOver = fmt.Errorf("%w: the leader row was not written for too long", order.ErrUnreached)

// execute carries out a command in a goroutine of its own.
func (l *leadership) execute(c dispatch.Command, _ time.Time) {
	switch c := c.(type) {
	case dispatch.Start:
		l.spawnDetached(func() { l.start(c) })
	case dispatch.Stop:
		l.spawnDetached(func() { l.stop(c) })
	case dispatch.Hold:
		l.spawnDetached(func() { l.poll(c) })
	case dispatch.Save:
		l.spawn(func() { l.save(c) })
	case dispatch.Settled:
		l.onSettled(c)
	case dispatch.Forget:
		l.spawn(func() { l.forget(c) })
	case dispatch.Pace:
		l.spawnDetached(func() { l.pace(c) })
	case dispatch.Advise:
		l.spawn(func() { l.advise(c) })
	}
}

// mayOrder reports whether orders mayOrder be given at this moment. A process that was
// frozen mayOrder have been succeeded meanwhile: the clock is read just before each
// order, and counts the time of the freeze.
func (l *leadership) mayOrder() bool { return l.term.Valid(l.clock()) }

// mayStartIn reports whether work may start in a zone at this moment. A start may have
// waited for its turn since it was decided, while the zone was evacuated.
func (l *leadership) mayStartIn(zone string) bool {
	if l.evacuations == nil {
		return true
	}
	known := l.evacuations()
	age := l.clock().Sub(known.AsOf)
	return !known.Has(zone) && (l.bounds.EvacuationAge == 0 || age <= l.bounds.EvacuationAge)
}

func (l *leadership) start(c dispatch.Start) {
	clock, err := l.send(c.Class, 0, func(ctx context.Context) (int64, error) {
		if !l.mayStartIn(c.Zone) {
			l.metrics.Counter("starts_withheld").Inc(1)
			return 0, fmt.Errorf("start on %s in zone %s: %w", c.Target.ID, c.Zone, order.ErrWithheld)
		}
		return l.transport.Start(ctx, c.Target, c.Order)
	})
	l.post(func(now time.Time) { l.machine.StartAnswered(c.Target.ID, c.Order.Run, clock, err, now) })
}

func (l *leadership) stop(c dispatch.Stop) {
	clock, err := l.send(c.Class, 0, func(ctx context.Context) (int64, error) {
		return l.transport.Stop(ctx, c.Target, c.Run, l.term.Number())
	})
	l.post(func(now time.Time) { l.machine.StopAnswered(c.Target.ID, c.Run, clock, err, now) })
}

func (l *leadership) pace(c dispatch.Pace) {
	clock, err := l.send(limiter.Start, 0, func(ctx context.Context) (int64, error) {
		return l.transport.Pace(ctx, c.Target, c.Run, c.Percent, l.term.Number())
	})
	l.post(func(now time.Time) { l.machine.PaceAnswered(c.Target.ID, c.Run, clock, err, now) })
}

// send gives an order when its turn has come. The time that its answer may take
// counts from then: the time spent waiting in this host says nothing of the target.
// It is the usual one, and least in any case.
func (l *leadership) send(c limiter.Class, minTimeout time.Duration, order func(ctx context.Context) (int64, error)) (int64, error) {
	pass, err := l.limiter.Acquire(l.ctx, c)
	if err != nil {
		return 0, errTermOver
	}
	ctx, cancel := context.WithTimeout(l.ctx, max(minTimeout, l.limiter.Timeout()))
	defer cancel()
	if !l.mayOrder() {
		pass.Done(false)
		return 0, errTermOver
	}
	clock, err := order(ctx)
	pass.Done(answered(err))
	return clock, err
}

// answered reports whether a target answered an order, whatever it said.
func answered(err error) bool {
	return !errors.Is(err, order.ErrUnanswered) && !errors.Is(err, order.ErrUnreached) && !errors.Is(err, order.ErrWithheld)
}

// errNoAdviser says that a queue wants advice and the deployment has no service
// for it.
var errNoAdviser = errors.New("no advice service")

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

func (l *leadership) poll(c dispatch.Hold) {
	rep, err := l.requestReport(c)
	l.post(func(now time.Time) {
		if err != nil {
			l.machine.HoldFailed(c.Target.ID, c, err, now)
			return
		}
		l.machine.Held(c.Target.ID, c, rep, now)
	})
}

// requestReport asks for a requestReport. One that waits for an end at its target is no load
// meanwhile, and takes no place among the orders in flight.
func (l *leadership) requestReport(c dispatch.Hold) (rep order.Report, err error) {
	if c.Order.Wait == 0 {
		_, err = l.send(c.Class, minReportMargin, func(ctx context.Context) (int64, error) {
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

// save makes a transaction. One whose answer was lost is made again: its
// conditions keep it from taking effect twice, and the refusal then shows what
// is there.
func (l *leadership) save(c dispatch.Save) {
	tx := l.transaction(c)
	for tries := 0; ; tries++ {
		res, cut, err := l.commit(tx)
		switch {
		case cut:
			continue
		case err == nil:
			l.post(func(now time.Time) { l.machine.Saved(c.Part, res.Version, now) })
			return
		case errors.Is(err, store.ErrConflict):
			l.resolveConflict(c, tx, res.Rows)
			return
		case errors.Is(err, store.ErrUnavailable) && tries == 0:
			l.log.V(1).Info("progress not saved", "part", c.Part, "rows", len(c.Rows), "error", err.Error())
			l.post(func(now time.Time) { l.machine.SaveFailed(c.Part, now) })
			return
		case l.ctx.Err() != nil:
			return
		}
		l.log.V(1).Info("progress saved or not", "part", c.Part, "rows", len(c.Rows), "error", err.Error())
		sleep(l.ctx, storeRetryDelay)
	}
}

// commit makes a transaction. cut tells that the store was regained meanwhile, and the
// outcome is not known.
func (l *leadership) commit(tx store.Tx) (res store.Result, cut bool, err error) {
	cut, err = store.RunUntilRecovered(l.ctx, l.recovered(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		var err error
		res, err = l.store.Commit(ctx, tx)
		return err
	})
	return res, cut, err
}

func (l *leadership) transaction(c dispatch.Save) store.Tx {
	tx := store.Tx{Expect: []store.Expect{{Key: fenceKey(c.Part), Version: l.fences[c.Part]}}}
	for _, r := range c.Rows {
		k := ProgressKey(c.Part, r.Job)
		tx.Expect = append(tx.Expect, store.Expect{Key: k, Version: r.Version})
		tx.Put = append(tx.Put, store.Put{Key: k, Value: r.Value})
		if r.Completes {
			tx.Expect = append(tx.Expect, store.Expect{Key: CancelKey(c.Part, r.Job)})
		}
	}
	return tx
}

// forget takes the rows of jobs out. What fails is asked for again.
func (l *leadership) forget(c dispatch.Forget) {
	tx := store.Tx{Expect: []store.Expect{{Key: fenceKey(c.Part), Version: l.fences[c.Part]}}}
	for _, id := range c.Jobs {
		tx.Remove = append(tx.Remove, JobKey(c.Part, id), CancelKey(c.Part, id), ProgressKey(c.Part, id))
	}
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	if _, err := l.store.Commit(ctx, tx); err != nil {
		l.log.V(1).Info("rows of ended jobs not taken out", "part", c.Part, "jobs", len(c.Jobs), "error", err.Error())
		return
	}
	l.log.V(1).Info("rows of ended jobs taken out", "part", c.Part, "jobs", len(c.Jobs))
	l.post(func(time.Time) { l.machine.Forgotten(c) })
}

// resolveConflict looks at the rows that made a transaction fail.
func (l *leadership) resolveConflict(c dispatch.Save, tx store.Tx, rows []store.Row) {
	there := map[store.Key]store.Row{}
	for _, r := range rows {
		there[r.Key] = r
	}
	if there[tx.Expect[0].Key].Version != tx.Expect[0].Version {
		l.log.Info("deposed", "step", "save", "part", c.Part, "term", l.term.Number())
		l.post(func(time.Time) { l.machine.Depose() })
		return
	}
	found := make([]dispatch.Found, 0, len(c.Rows))
	same := true
	for _, r := range c.Rows {
		row := there[ProgressKey(c.Part, r.Job)]
		_, cancelled := there[CancelKey(c.Part, r.Job)]
		same = same && bytes.Equal(row.Value, r.Value) && row.Version > r.Version
		found = append(found, dispatch.Found{Job: r.Job, Version: row.Version, Cancelled: cancelled && r.Completes})
	}
	if same { // an earlier try took effect
		version := there[ProgressKey(c.Part, c.Rows[0].Job)].Version
		l.post(func(now time.Time) { l.machine.Saved(c.Part, version, now) })
		return
	}
	l.post(func(now time.Time) { l.machine.SaveRefused(c.Part, found, now) })
}

// scan looks for jobs and cancellings whose message did not come.
func (l *leadership) scan(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := l.store.Changes(ctx, jobsTable, l.scannedVersion, 0)
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

// rescan reads all rows, after the feed's history was lost.
func (l *leadership) rescan(ctx context.Context) error {
	version := int64(0)
	for p := range Partitions {
		page, err := store.ReadAll(ctx, l.store, store.Range{Table: jobsTable, Partition: fmt.Sprint(p)})
		if err != nil {
			l.log.V(1).Info("jobs not scanned", "part", p, "error", err.Error())
			return err
		}
		l.applyRows(page.Rows)
		if version == 0 || page.Version < version {
			version = page.Version
		}
	}
	l.log.Info("history lost, jobs read anew", "version", version)
	l.scannedVersion = version
	return nil
}

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
