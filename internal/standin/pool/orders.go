package pool

import (
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
)

// reach returns the life that an order is for.
func (p *Pool) reach(to order.Address) (*target, error) {
	t := p.byHost[to.Host]
	if t == nil {
		return nil, order.ErrUnreached
	}
	if t.ID != to.ID {
		return nil, order.ErrOtherIncarnation
	}
	return t, nil
}

// fence takes a token, or refuses a lower one.
func (t *target) fence(term int64) error {
	if term < t.token {
		return order.ErrFenced
	}
	t.token = term
	return nil
}

// renew moves the lease on, at most by the longest that is granted.
func (p *Pool) renew(t *target, deadline int64, now time.Time) {
	longest := t.clock(now) + p.bounds.Lease.Milliseconds()
	t.lease = max(t.lease, min(deadline, longest))
}

// Start carries out a start.
func (p *Pool) Start(to order.Address, s order.Start, now time.Time) (int64, error) {
	p.Advance(now)
	t, err := p.reach(to)
	if err != nil {
		return 0, err
	}
	clock := t.clock(now)
	if err := t.fence(s.Term); err != nil {
		return clock, err
	}
	switch {
	case t.rejects:
		return clock, order.ErrUnhealthy
	case t.runs[s.Run] != nil:
		p.renew(t, s.Deadline, now)
		return clock, nil
	case s.Run.Number <= t.barred[s.Run.Task]:
		p.renew(t, s.Deadline, now)
		return clock, order.ErrStaleRun
	case s.Deadline <= clock:
		return clock, order.ErrLate
	}
	w := p.find(s.Run.Task.Job)
	if w == nil || s.Run.Task.Step >= len(w.job.Steps) {
		p.breach("UNASKED", t, s.Run, "nobody submitted it")
		return clock, order.ErrInvalid
	}
	p.renew(t, s.Deadline, now)
	p.begin(t, w, s, now)
	return clock, nil
}

// begin puts a run on a target.
func (p *Pool) begin(t *target, w *work, s order.Start, now time.Time) {
	step := &w.job.Steps[s.Run.Task.Step]
	x := &exec{Run: s.Run, target: t, def: w, step: step, startAt: now}
	p.judge(x, s.Checkpoint)
	p.starts++
	t.starts++
	w.starts++
	x.total = w.does.Work(s.Run.Task)
	if step.DataRack != "" && t.Rack != step.DataRack {
		x.total = time.Duration(float64(x.total) * p.bounds.Far)
	}
	x.willFail = w.does.Fails != nil && w.does.Fails(s.Run.Task, s.Run.Number)
	x.failsAtOnce = t.fails
	x.base = parseCheckpoint(s.Checkpoint)
	x.saved = x.base
	x.left = max(x.total-x.base, 0)
	t.runs[s.Run] = x
	x.works = !step.Gang
	if step.Gang {
		p.joinGang(x)
	}
}

// Stop carries out a stop.
func (p *Pool) Stop(to order.Address, r order.Run, term int64, now time.Time) (int64, error) {
	p.Advance(now)
	t, err := p.reach(to)
	if err != nil {
		return 0, err
	}
	clock := t.clock(now)
	if err := t.fence(term); err != nil {
		return clock, err
	}
	t.barred[r.Task] = max(t.barred[r.Task], r.Number)
	if x := t.runs[r]; x != nil && x.stopAt.IsZero() {
		x.stopAt = now.Add(p.bounds.StopTime / 2)
	}
	return clock, nil
}

// Hold carries out a hold that does not wait.
func (p *Pool) Hold(to order.Address, h order.Poll, now time.Time) (order.Report, error) {
	p.Advance(now)
	t, err := p.reach(to)
	if err != nil {
		return order.Report{}, err
	}
	if err := t.fence(h.Term); err != nil {
		return order.Report{}, err
	}
	p.renew(t, h.Deadline, now)
	p.acknowledge(t, h.Acked)
	rep := order.Report{Clock: t.clock(now)}
	for _, x := range t.sorted() {
		rep.Running = append(rep.Running, order.Running{Run: x.Run, Checkpoint: x.checkpoint(), Percent: x.percent()})
	}
	rep.Ended = slices.Clone(t.ended)
	return rep, nil
}

// Unlisted reports whether a target has an end to tell.
func (p *Pool) Unlisted(to order.Address, acked int64) bool {
	t := p.byHost[to.Host]
	return t != nil && len(t.ended) > 0 && t.ended[len(t.ended)-1].Number > acked
}

func (x *exec) percent() int {
	if x.total <= 0 {
		return 100
	}
	return int(100 * (x.total - x.left) / x.total)
}

// acknowledge forgets ends, and notes what they said.
func (p *Pool) acknowledge(t *target, through int64) {
	for len(t.ended) > 0 && t.ended[0].Number <= through {
		e := t.ended[0]
		t.ended = t.ended[1:]
		if e.Number <= t.lapsed {
			continue
		}
		w := p.jobs[e.Run.Task.Job]
		switch e.Reason {
		case order.Done:
			w.noted[e.Run.Task] = true
		case order.Failed:
			w.failures[e.Run.Task]++
		}
	}
	t.acked = max(t.acked, through)
}
