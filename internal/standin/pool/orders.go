package pool

import (
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
)

// resolve returns the live incarnation that an order is for. The error is
// order.ErrUnreached if none is at the address, order.ErrOtherIncarnation if it has
// another id.
func (p *Pool) resolve(to order.Address) (*target, error) {
	t := p.byAddress[to.Host]
	if t == nil {
		return nil, order.ErrUnreached
	}
	if t.ID != to.ID {
		return nil, order.ErrOtherIncarnation
	}
	return t, nil
}

// checkToken accepts a fencing token unless it is lower than an accepted one, and keeps
// it as the highest.
func (t *target) checkToken(term int64) error {
	if term < t.highestToken {
		return order.ErrFenced
	}
	t.highestToken = term
	return nil
}

// renewLease extends the lease to the deadline, on the target's clock, at most by the
// configured maximum from now. It never shortens the lease.
func (p *Pool) renewLease(t *target, deadline int64, now time.Time) {
	longest := t.clock(now) + p.bounds.Lease.Milliseconds()
	t.leaseEnd = max(t.leaseEnd, min(deadline, longest))
}

// Start advances the pool's time, executes a start order and returns the target's clock.
// A start of a run that is on the target only renews the lease. A start of an unknown
// job is recorded as a breach and refused; other breaches are recorded and the run
// starts.
func (p *Pool) Start(to order.Address, s order.Start, now time.Time) (int64, error) {
	p.Advance(now)
	t, err := p.resolve(to)
	if err != nil {
		return 0, err
	}
	clock := t.clock(now)
	if err := t.checkToken(s.Term); err != nil {
		return clock, err
	}
	switch {
	case t.rejecting:
		return clock, order.ErrUnhealthy
	case t.runs[s.Run] != nil:
		p.renewLease(t, s.Deadline, now)
		return clock, nil
	case s.Run.Number <= t.staleThrough[s.Run.Task]:
		p.renewLease(t, s.Deadline, now)
		return clock, order.ErrStaleRun
	case s.Deadline <= clock:
		return clock, order.ErrLate
	}
	j := p.findJob(s.Run.Task.Job)
	if j == nil || s.Run.Task.Step >= len(j.job.Steps) {
		p.recordBreach("UNASKED", t, s.Run, "unknown job or step")
		return clock, order.ErrInvalid
	}
	p.renewLease(t, s.Deadline, now)
	p.startRun(t, j, s, now)
	return clock, nil
}

// startRun starts a run on a target and checks it for breaches. A member of a gang
// begins to work once all members have started.
func (p *Pool) startRun(t *target, j *jobState, s order.Start, now time.Time) {
	step := &j.job.Steps[s.Run.Task.Step]
	x := &execution{Run: s.Run, target: t, jobState: j, step: step, startedAt: now}
	p.checkStart(x, s.Checkpoint)
	p.starts++
	t.starts++
	j.starts++
	x.totalWork = j.behaviour.Work(s.Run.Task)
	if step.DataRack != "" && t.Rack != step.DataRack {
		x.totalWork = time.Duration(float64(x.totalWork) * p.bounds.RemoteSlowdown)
	}
	x.willFail = j.behaviour.Fails != nil && j.behaviour.Fails(s.Run.Task, s.Run.Number)
	x.failsAtOnce = t.failing
	if j.behaviour.Crashes != nil && j.behaviour.Crashes(s.Run.Task, s.Run.Number) {
		x.crashAt = now.Add(p.bounds.CrashDelay)
	}
	x.restoredWork = parseCheckpoint(s.Checkpoint)
	x.savedWork = x.restoredWork
	x.workLeft = max(x.totalWork-x.restoredWork, 0)
	t.runs[s.Run] = x
	x.active = !step.Gang
	if step.Gang {
		p.joinGang(x)
	}
}

// Stop advances the pool's time, executes a stop order and returns the target's clock.
// The run ends after half of Bounds.StopTime, with a checkpoint if its step has them. It
// and earlier runs of its task cannot start on the target any more, also if they were
// not there.
func (p *Pool) Stop(to order.Address, r order.Run, term int64, now time.Time) (int64, error) {
	p.Advance(now)
	t, err := p.resolve(to)
	if err != nil {
		return 0, err
	}
	clock := t.clock(now)
	if err := t.checkToken(term); err != nil {
		return clock, err
	}
	t.staleThrough[r.Task] = max(t.staleThrough[r.Task], r.Number)
	if x := t.runs[r]; x != nil && x.stopAt.IsZero() {
		x.stopAt = now.Add(p.bounds.StopTime / 2)
	}
	return clock, nil
}

// Pace advances the pool's time, accepts or refuses an order to pace a run by its fencing token
// and returns the target's clock. It has no other effect: tasks of a pool do not interfere with
// each other.
func (p *Pool) Pace(to order.Address, term int64, now time.Time) (int64, error) {
	p.Advance(now)
	t, err := p.resolve(to)
	if err != nil {
		return 0, err
	}
	return t.clock(now), t.checkToken(term)
}

// Poll advances the pool's time and executes a poll: it renews the target's lease,
// removes the acknowledged ends, and returns the runs and the ends that are left. It
// does not wait for an end.
func (p *Pool) Poll(to order.Address, poll order.Poll, now time.Time) (order.Report, error) {
	p.Advance(now)
	t, err := p.resolve(to)
	if err != nil {
		return order.Report{}, err
	}
	if err := t.checkToken(poll.Term); err != nil {
		return order.Report{}, err
	}
	p.renewLease(t, poll.Deadline, now)
	p.acknowledge(t, poll.Acked)
	rep := order.Report{Clock: t.clock(now), StartedAt: t.StartedAt}
	for _, x := range t.sortedRuns() {
		rep.Running = append(rep.Running, order.Running{Run: x.Run, Checkpoint: x.checkpoint(), Percent: x.percent()})
	}
	rep.Ended = slices.Clone(t.unackedEnds)
	return rep, nil
}

// HasEndsAfter reports whether a target lists an end after the acknowledged one.
func (p *Pool) HasEndsAfter(to order.Address, acked int64) bool {
	t := p.byAddress[to.Host]
	return t != nil && len(t.unackedEnds) > 0 && t.unackedEnds[len(t.unackedEnds)-1].Number > acked
}

// percent returns the share of the work that is done.
func (x *execution) percent() int {
	if x.totalWork <= 0 {
		return 100
	}
	return int(100 * (x.totalWork - x.workLeft) / x.totalWork)
}

// acknowledge removes ends up to a number and records their outcome for later checks.
// Failures from before a lapsed lease are removed without a record.
func (p *Pool) acknowledge(t *target, through int64) {
	for len(t.unackedEnds) > 0 && t.unackedEnds[0].Number <= through {
		e := t.unackedEnds[0]
		t.unackedEnds = t.unackedEnds[1:]
		j, noted := p.jobs[e.Run.Task.Job], e.Number > t.lapsedThrough
		switch {
		case e.Reason == order.Done:
			p.noteDone(j, e.Run, t.doneSequence[e.Number], noted)
			delete(t.doneSequence, e.Number)
		case e.Reason == order.Failed && noted:
			j.ackedFailures[e.Run.Task]++
		}
	}
	t.acked = max(t.acked, through)
}
