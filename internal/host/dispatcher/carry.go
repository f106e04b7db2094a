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

// carryOut carries out a command in a goroutine of its own.
func (o *office) carryOut(c dispatch.Command, _ time.Time) {
	switch c := c.(type) {
	case dispatch.Start:
		o.order(func() { o.start(c) })
	case dispatch.Stop:
		o.order(func() { o.stop(c) })
	case dispatch.Hold:
		o.order(func() { o.hold(c) })
	case dispatch.Save:
		o.spawn(func() { o.save(c) })
	case dispatch.Settled:
		o.settled(c)
	case dispatch.Forget:
		o.spawn(func() { o.forget(c) })
	case dispatch.Pace:
		o.order(func() { o.pace(c) })
	case dispatch.Advise:
		o.spawn(func() { o.advise(c) })
	}
}

// may reports whether orders may be given at this moment. A process that was
// frozen may have been succeeded meanwhile: the clock is read just before each
// order, and counts the time of the freeze.
func (o *office) may() bool { return o.term.Valid(o.clock()) }

// mayStartIn reports whether work may start in a zone at this moment. A start may have
// waited for its turn since it was decided, while the zone was evacuated.
func (o *office) mayStartIn(zone string) bool {
	if o.evacuations == nil {
		return true
	}
	known := o.evacuations()
	age := o.clock().Sub(known.AsOf)
	return !known.Has(zone) && (o.bounds.EvacuationAge == 0 || age <= o.bounds.EvacuationAge)
}

func (o *office) start(c dispatch.Start) {
	clock, err := o.give(c.Class, 0, func(ctx context.Context) (int64, error) {
		if !o.mayStartIn(c.Zone) {
			o.metrics.Counter("starts_withheld").Inc(1)
			return 0, fmt.Errorf("start on %s in zone %s: %w", c.Target.ID, c.Zone, order.ErrWithheld)
		}
		return o.line.Start(ctx, c.Target, c.Order)
	})
	o.post(func(now time.Time) { o.machine.StartAnswered(c.Target.ID, c.Order.Run, clock, err, now) })
}

func (o *office) stop(c dispatch.Stop) {
	clock, err := o.give(c.Class, 0, func(ctx context.Context) (int64, error) {
		return o.line.Stop(ctx, c.Target, c.Run, o.term.Number())
	})
	o.post(func(now time.Time) { o.machine.StopAnswered(c.Target.ID, c.Run, clock, err, now) })
}

func (o *office) pace(c dispatch.Pace) {
	clock, err := o.give(limiter.Start, 0, func(ctx context.Context) (int64, error) {
		return o.line.Pace(ctx, c.Target, c.Run, c.Percent, o.term.Number())
	})
	o.post(func(now time.Time) { o.machine.PaceAnswered(c.Target.ID, c.Run, clock, err, now) })
}

// give gives an order when its turn has come. The time that its answer may take
// counts from then: the time spent waiting in this host says nothing of the target.
// It is the usual one, and least in any case.
func (o *office) give(c limiter.Class, least time.Duration, order func(ctx context.Context) (int64, error)) (int64, error) {
	pass, err := o.gate.Acquire(o.ctx, c)
	if err != nil {
		return 0, errTermOver
	}
	ctx, cancel := context.WithTimeout(o.ctx, max(least, o.gate.Timeout()))
	defer cancel()
	if !o.may() {
		pass.Done(false)
		return 0, errTermOver
	}
	clock, err := order(ctx)
	pass.Done(isAnswer(err))
	return clock, err
}

// isAnswer reports whether a target answered an order, whatever it said.
func isAnswer(err error) bool {
	return !errors.Is(err, order.ErrUnanswered) && !errors.Is(err, order.ErrUnreached) && !errors.Is(err, order.ErrWithheld)
}

// errNoAdviser says that a queue wants advice and the deployment has no service
// for it.
var errNoAdviser = errors.New("no advice service")

func (o *office) advise(c dispatch.Advise) {
	asked := o.clock()
	var granted []order.Permit
	var valid time.Duration
	err := errNoAdviser
	if o.adviser != nil {
		ctx, cancel := context.WithTimeout(o.ctx, adviceTime)
		defer cancel()
		granted, valid, err = o.adviser.Advise(ctx, c.Step, c.Targets)
	}
	o.post(func(now time.Time) { o.machine.Advised(c, granted, valid, asked, err, now) })
}

func (o *office) hold(c dispatch.Hold) {
	rep, err := o.report(c)
	o.post(func(now time.Time) {
		if err != nil {
			o.machine.HoldFailed(c.Target.ID, c, err, now)
			return
		}
		o.machine.Held(c.Target.ID, c, rep, now)
	})
}

// report asks for a report. One that waits for an end at its target is no load
// meanwhile, and takes no place among the orders in flight.
func (o *office) report(c dispatch.Hold) (rep order.Report, err error) {
	if c.Order.Wait == 0 {
		_, err = o.give(c.Class, holdExtra, func(ctx context.Context) (int64, error) {
			rep, err = o.line.Poll(ctx, c.Target, c.Order)
			return 0, err
		})
		return rep, err
	}
	ctx, cancel := context.WithTimeout(o.ctx, c.Order.Wait+max(holdExtra, o.gate.Timeout()))
	defer cancel()
	if !o.may() {
		return rep, errTermOver
	}
	return o.line.Poll(ctx, c.Target, c.Order)
}

// save makes a transaction. One whose answer was lost is made again: its
// conditions keep it from taking effect twice, and the refusal then shows what
// is there.
func (o *office) save(c dispatch.Save) {
	tx := o.transaction(c)
	for tries := 0; ; tries++ {
		res, cut, err := o.commit(tx)
		switch {
		case cut:
			continue
		case err == nil:
			o.post(func(now time.Time) { o.machine.Saved(c.Part, res.Version, now) })
			return
		case errors.Is(err, store.ErrConflict):
			o.refused(c, tx, res.Rows)
			return
		case errors.Is(err, store.ErrUnavailable) && tries == 0:
			o.log.V(1).Info("progress not saved", "part", c.Part, "rows", len(c.Rows), "error", err.Error())
			o.post(func(now time.Time) { o.machine.SaveFailed(c.Part, now) })
			return
		case o.ctx.Err() != nil:
			return
		}
		o.log.V(1).Info("progress saved or not", "part", c.Part, "rows", len(c.Rows), "error", err.Error())
		pause(o.ctx, storePause)
	}
}

// commit makes a transaction. cut tells that the store was regained meanwhile, and the
// outcome is not known.
func (o *office) commit(tx store.Tx) (res store.Result, cut bool, err error) {
	cut, err = store.RunUntilRecovered(o.ctx, o.regained(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, storeTime)
		defer cancel()
		var err error
		res, err = o.store.Commit(ctx, tx)
		return err
	})
	return res, cut, err
}

func (o *office) transaction(c dispatch.Save) store.Tx {
	tx := store.Tx{Expect: []store.Expect{{Key: fenceKey(c.Part), Version: o.fences[c.Part]}}}
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
func (o *office) forget(c dispatch.Forget) {
	tx := store.Tx{Expect: []store.Expect{{Key: fenceKey(c.Part), Version: o.fences[c.Part]}}}
	for _, id := range c.Jobs {
		tx.Remove = append(tx.Remove, JobKey(c.Part, id), CancelKey(c.Part, id), ProgressKey(c.Part, id))
	}
	ctx, cancel := context.WithTimeout(o.ctx, storeTime)
	defer cancel()
	if _, err := o.store.Commit(ctx, tx); err != nil {
		o.log.V(1).Info("rows of ended jobs not taken out", "part", c.Part, "jobs", len(c.Jobs), "error", err.Error())
		return
	}
	o.log.V(1).Info("rows of ended jobs taken out", "part", c.Part, "jobs", len(c.Jobs))
	o.post(func(time.Time) { o.machine.Forgotten(c) })
}

// refused looks at the rows that made a transaction fail.
func (o *office) refused(c dispatch.Save, tx store.Tx, rows []store.Row) {
	there := map[store.Key]store.Row{}
	for _, r := range rows {
		there[r.Key] = r
	}
	if there[tx.Expect[0].Key].Version != tx.Expect[0].Version {
		o.log.Info("deposed", "step", "save", "part", c.Part, "term", o.term.Number())
		o.post(func(time.Time) { o.machine.Depose() })
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
		o.post(func(now time.Time) { o.machine.Saved(c.Part, version, now) })
		return
	}
	o.post(func(now time.Time) { o.machine.SaveRefused(c.Part, found, now) })
}

// scan looks for jobs and cancellings whose message did not come.
func (o *office) scan(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	page, err := o.store.Changes(ctx, jobsTable, o.scanned, 0)
	switch {
	case errors.Is(err, store.ErrCompacted):
		return o.rescan(ctx)
	case err != nil:
		o.log.V(1).Info("jobs not scanned", "after", o.scanned, "error", err.Error())
		return err
	}
	o.takeIn(page.Rows)
	o.scanned = max(o.scanned, page.Version)
	return nil
}

// rescan reads all rows, after the feed's history was lost.
func (o *office) rescan(ctx context.Context) error {
	version := int64(0)
	for p := range Parts {
		page, err := store.ReadAll(ctx, o.store, store.Range{Table: jobsTable, Partition: fmt.Sprint(p)})
		if err != nil {
			o.log.V(1).Info("jobs not scanned", "part", p, "error", err.Error())
			return err
		}
		o.takeIn(page.Rows)
		if version == 0 || page.Version < version {
			version = page.Version
		}
	}
	o.log.Info("history lost, jobs read anew", "version", version)
	o.scanned = version
	return nil
}

func (o *office) takeIn(rows []store.Row) {
	for _, r := range rows {
		if r.Removed {
			continue
		}
		if id, ok := strings.CutSuffix(r.Key.Name, cancelSuffix); ok {
			o.post(func(now time.Time) { o.machine.Cancel(graph.JobID(id), now) })
			continue
		}
		spec, err := DecodeJob(r.Value)
		if err != nil || string(spec.ID) != r.Key.Name {
			o.odd(r, err)
			continue
		}
		o.post(func(now time.Time) { o.machine.Accept(spec, now) })
	}
}
