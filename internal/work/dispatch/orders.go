package dispatch

import (
	"errors"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/limiter"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// place assigns a task to a target. The run reduces the target's free capacity at once;
// its start is sent once that capacity is actually free.
func (m *Machine) place(x *task, t *target, number int, now time.Time) *run {
	r := &run{
		Run: order.Run{Task: x.id(), Number: number}, task: x, target: t,
		charge: x.step.spec.Charge(), phase: awaitingCapacity, placedAt: now, ticket: x.step.ticket(t), paceShare: 100,
	}
	x.highestRun = max(x.highestRun, number)
	x.addRun(r)
	t.addRun(r)
	t.waitingCharge = t.waitingCharge.Plus(r.charge)
	if x.isolated() {
		t.isolatedRuns = append(t.isolatedRuns, r)
	}
	delete(m.pass.preemptibleCapacity, t)
	m.waitingRuns = append(m.waitingRuns, r)
	m.recheckWaiting = true
	return r
}

// record allocates capacity to runs that waited for it and marks their jobs dirty. A
// start is sent only after its run was saved under this term's fencing token: the next
// leader, which may not reach the run's target, finds in the rows what may exist there,
// and a leader that was superseded without noticing can start nothing more.
func (m *Machine) record(runs []*run, now time.Time) {
	for _, r := range runs {
		t := r.target
		r.phase, r.sentTo = recorded, t.incarnation
		t.waitingCharge = t.waitingCharge.Minus(r.charge)
		t.used = t.used.Plus(r.charge)
		r.recordRev = m.markDirty(r.task.step.job)
		m.backlog.add(r)
		m.verify(r, now)
	}
}

// startRecorded sends the starts of a job's recorded runs that have been saved. Saving
// may have taken long, so it drops a run, and its gang, if the target no longer accepts
// starts, no longer answers, has less capacity now, or has started again and not reported its
// clock, may be draining without this leader knowing, or if another run of the task was found
// meanwhile.
func (m *Machine) startRecorded(j *job, now time.Time) {
	for _, r := range j.sortedLiveRuns() {
		if r.phase != recorded || r.recordRev > j.savedRev || !j.liveRuns[r] {
			continue // not live: its gang was stopped in this loop
		}
		switch {
		case !r.target.acceptsStarts(now) || !r.target.responsive() || r.target.clockMS == 0 || r.target.overCapacity() || !m.stateIsCurrent(now):
			m.log.Decided("run given up before it was sent", "target", r.target.ID, "task", r.Task, "run", r.Number, "listed", r.target.listed, "drains", r.target.Draining, "evacuated", r.target.evacuated, "inTouch", r.target.responsive(), "clockMS", r.target.clockMS, "overCapacity", r.target.overCapacity(), "staleEntry", r.target.entryIsStale(), "entryExpired", r.target.entryExpired(now), "listAgeMS", now.Sub(m.listAsOf).Milliseconds(), "zonesAgeMS", now.Sub(m.evacuated.AsOf).Milliseconds())
			m.stop(r, stopFor(stopNoStarts), now)
			m.stopGang(r, stopFor(stopMemberNoStarts), now)
		case r.sentTo != r.target.incarnation: // which may have other labels
			m.dropUnsent(r, stopFor(stopRestarted), now)
		case len(r.task.runs) > 1 && !r.task.step.spec.Speculative: // its target has reported another one since
			m.dropUnsent(r, stopFor(stopOtherFound), now)
		case !r.mayBeSent(): // startVerified or dropUnverified decides
		default:
			r.phase = starting
			r.resumedFrom = r.task.checkpoint()
			m.sendStart(r, now)
		}
	}
}

// ordersPending returns the number of outstanding orders for the target's runs.
func (t *target) ordersPending() int {
	n := 0
	for _, r := range t.runs {
		if r.orderPending {
			n++
		}
	}
	return n
}

// sendStart sends the start of a run, for the first time or again.
func (m *Machine) sendStart(r *run, now time.Time) {
	t := r.target
	if r.startsSent == 0 {
		r.sentToSilent = now.Sub(t.answeredAt) > maxPollWait+pollOverdue
	}
	r.recordStart(now)
	r.startsSent++
	r.unanswered++
	r.sentAt, r.orderPending, r.sentTo = now, true, t.incarnation
	m.considerPoll(t)
	latest, _ := m.grantLease(t, now)
	expiry := t.entryExpiry()
	if !expiry.IsZero() { // the target refuses it from then on, if it executes it late
		latest = min(latest, t.estimatedClock(now)+expiry.Sub(now).Milliseconds())
	}
	r.startsExpireAt = now.Add(longestLease(m.bounds.GrantedLease()))
	m.commands = append(m.commands, Start{Target: t.address(), Zone: t.Zone, Order: order.Start{
		Run: r.Run, Spec: r.task.step.job.spec.Spec, Deadline: min(latest, t.estimatedClock(now)+startValidity.Milliseconds()),
		Term: m.term, Checkpoint: r.resumedFrom, Ticket: r.ticket,
	}, Class: t.class(m.startClass(r.task.step, now)), Incarnation: t.incarnation, DecidedAt: now, LatestDeadline: latest, Expiry: expiry})
	kv := []any{"target", t.ID, "task", r.Task, "run", r.Number, "try", r.startsSent, "checkpoint", r.resumedFrom}
	if slowness := t.viewSlowness(); slowness != 0 {
		kv = append(kv, "slowness", slowness)
	}
	if age := t.entryAge(now); t.entry.heartbeat > 0 && age > maxReadGap*t.entry.heartbeat {
		kv = append(kv, "entryAgeMS", age.Milliseconds())
	}
	m.log.Decided("start run", kv...)
}

// StartAnswered applies the outcome of a Start, once it is known; err is nil or wraps one
// of package order's errors.
func (m *Machine) StartAnswered(c Start, clock int64, err error, now time.Time) {
	t := m.targets[c.Target.ID]
	if t == nil {
		return
	}
	if errors.Is(err, order.ErrFenced) {
		m.fenced(t, "start")
		return
	}
	if t.isOutdatedOrder(c.Target, c.Incarnation) {
		t.outdatedStartAnswered(c.Order.Run, err)
		return
	}
	t.updateClock(clock, now)
	if isAnswer(err) {
		m.targetAnswered(t, now)
		m.startVerified(t, now)
	}
	r := t.runs[c.Order.Run]
	if r == nil {
		return
	}
	r.orderPending = false
	if !errors.Is(err, order.ErrUnanswered) {
		r.unanswered = max(r.unanswered-1, 0)
	}
	switch {
	case err == nil:
		m.startExecuted(r, now)
		if r.phase == starting {
			r.orderAnsweredAt = now
			m.runBegan(r, now)
		}
	case errors.Is(err, order.ErrOtherIncarnation):
		m.incarnationEnded(t, now)
	case errors.Is(err, order.ErrUnanswered):
		if r.unanswered == 1 {
			m.log.Decided("start not answered", "target", t.ID, "task", r.Task, "run", r.Number, "try", r.startsSent, "afterMS", now.Sub(r.sentAt).Milliseconds())
		}
		m.targetMissed(t, r.sentAt, now)
	case errors.Is(err, order.ErrUnreached):
		m.targetMissed(t, r.sentAt, now) // retryOrder sends it again
	default:
		m.startRefused(r, err, now)
	}
	m.placementDue = true
}

// isAnswer reports whether an order with this outcome was answered, even if by a refusal.
func isAnswer(err error) bool {
	return !errors.Is(err, order.ErrUnanswered) && !errors.Is(err, order.ErrUnreached) && !errors.Is(err, order.ErrWithheld)
}

// runBegan marks a run as running on its target.
func (m *Machine) runBegan(r *run, now time.Time) {
	r.phase = running
	r.beganAt, r.reportedAt = now, now
	m.jobStarted(r.task.step.job)
}

// jobStarted records that a task of a job has started. The row shows it with the next save of its partition that has
// room: no call is made for it alone.
func (m *Machine) jobStarted(j *job) {
	if j.started {
		return
	}
	j.started = true
	if m.jobs[j.spec.ID] == j {
		p := &m.partitions[j.partition]
		p.started = append(p.started, j)
	}
}

// startRefused handles a start that the target refused and will not execute later. If the
// run belongs to a gang, the whole gang is stopped.
func (m *Machine) startRefused(r *run, err error, now time.Time) {
	t := r.target
	m.log.Decided("start refused", "target", t.ID, "task", r.Task, "run", r.Number, "error", err.Error())
	switch {
	case errors.Is(err, order.ErrUnhealthy):
		t.suspendedUntil = now.Add(unhealthyPause)
	case errors.Is(err, order.ErrLate):
		t.clockMS = 0 // not known until the next report
	case errors.Is(err, order.ErrNoCapacity):
		t.suspendedUntil = now.Add(noCapacityPause)
	case errors.Is(err, order.ErrNoTicket):
		delete(r.task.step.permits.tickets, t.ID)
	case errors.Is(err, order.ErrInvalid):
		r.task.pausedUntil = now.Add(invalidPause)
	}
	m.runInterrupted(r, stages.Refused, now)
	if r.hasUnansweredStart() {
		// An earlier copy of the order may still arrive; only a stop rules that out.
		m.stop(r, stopFor(stopRefusedLater), now)
	} else {
		m.release(r, now)
	}
	m.stopGang(r, stopFor(stopMemberRefused), now)
}

// Pauses after a target refused a start, each long enough for its next report or its
// recovery, and short compared with a task's run.
const (
	unhealthyPause  = 2 * time.Second
	noCapacityPause = 500 * time.Millisecond
	invalidPause    = 5 * time.Second // of the task whose start was invalid; the others are of the target
)

// stopGang stops the other members of a run's gang.
func (m *Machine) stopGang(r *run, reason stopReason, now time.Time) {
	s := r.task.step
	if !s.spec.Gang || s.job.liveRuns == nil {
		return
	}
	for _, x := range s.tasks {
		for _, o := range append([]*run(nil), x.runs...) {
			if o != r && o.Number == r.Number {
				m.stop(o, reason, now)
			}
		}
	}
	s.pausedUntil = now.Add(gangPause)
}

// gangPause is the pause before a gang that could not start is placed again, so that the
// target that refused is known by then.
const gangPause = 100 * time.Millisecond

// stop ends a run. A run whose start was not sent is released at once; any other is
// stopped by an order that is repeated until it is answered.
func (m *Machine) stop(r *run, reason stopReason, now time.Time) {
	switch r.phase {
	case stopping:
		return
	case awaitingCapacity, recorded:
		m.release(r, now)
		return
	}
	m.log.Decided("stop run", "target", r.target.ID, "task", r.Task, "run", r.Number, "reason", reason.String())
	m.runInterrupted(r, reason.cause(), now)
	r.phase = stopping
	r.orderAnsweredAt, r.endDueAt = time.Time{}, time.Time{}
	m.sendStop(r, now)
}

// endReportMargin is how much later than the longest stop the end of a run may be reported: long
// enough for a poll that is lost and an extra one.
const endReportMargin = time.Second

// endsSoon reports whether the run is being stopped, and its target has neither refused that nor taken
// too long. Other work must not wait for the capacity of a run that its target does not stop. A target
// that does not answer gets no work anyway.
func (r *run) endsSoon(now time.Time) bool {
	return r.phase == stopping && (r.endDueAt.IsZero() || now.Before(r.endDueAt))
}

// stopOverdue reports whether the target has refused to stop a run, or has not stopped it in time.
func (t *target) stopOverdue(now time.Time) bool {
	for _, r := range t.runs {
		if r.phase == stopping && !r.endsSoon(now) {
			return true
		}
	}
	return false
}

// sendStop sends the stop of a run, for the first time or again.
func (m *Machine) sendStop(r *run, now time.Time) {
	r.sentAt, r.orderPending = now, true
	m.commands = append(m.commands, Stop{Target: r.target.address(), Run: r.Run, Class: r.target.class(limiter.Stop), Incarnation: r.target.incarnation})
}

// withdrawStarts takes back the starts that may still wait in the host for a target that accepts no starts any
// more, has less capacity now or has started again. What has been sent is left to the target's next report.
func (m *Machine) withdrawStarts(t *target, now time.Time) {
	refuses := !t.acceptsStarts(now) || t.overCapacity()
	for _, r := range t.runsWhere(func(r *run) bool { return r.phase == starting && r.orderPending }) {
		if refuses || r.sentTo != t.incarnation {
			m.commands = append(m.commands, Withdraw{Target: t.ID, Run: r.Run})
		}
	}
}

// startClass returns the limiter class of a step's starts on targets that answer.
func (m *Machine) startClass(s *step, now time.Time) limiter.Class {
	if m.guaranteeDue(s, now) {
		return limiter.UrgentStart
	}
	return limiter.Start
}

// class returns the limiter class of an order to the target: normal if the target
// answers, and Probe otherwise.
func (t *target) class(normal limiter.Class) limiter.Class {
	if t.responsive() && t.reach != unreachable {
		return normal
	}
	return limiter.Probe
}

// StopAnswered applies the outcome of a Stop, once it is known.
func (m *Machine) StopAnswered(c Stop, clock int64, err error, now time.Time) {
	t := m.targets[c.Target.ID]
	if t == nil {
		return
	}
	switch {
	case errors.Is(err, order.ErrFenced):
		m.fenced(t, "stop")
		return
	case t.isOutdatedOrder(c.Target, c.Incarnation):
		t.outdatedStopAnswered(c.Run)
		return
	case errors.Is(err, order.ErrOtherIncarnation):
		m.incarnationEnded(t, now)
		return
	}
	t.updateClock(clock, now)
	if isAnswer(err) {
		m.targetAnswered(t, now)
		m.startVerified(t, now)
	}
	if r := t.runs[c.Run]; r != nil {
		r.orderPending = false
		switch {
		case err == nil:
			if r.hasUnansweredStart() {
				m.log.Decided("stop answered", "target", t.ID, "task", r.Task, "run", r.Number)
			}
			outstanding := r.startOutstanding()
			r.orderAnsweredAt = now
			r.endDueAt = now.Add(m.bounds.MaxStopTime + endReportMargin)
			if outstanding {
				m.startSettled(r.task.step.job, now)
			}
		case !isAnswer(err):
			m.targetMissed(t, r.sentAt, now)
		default:
			m.stopRefused(r, err, now)
		}
	}
}

// refusedStopWait is how long after the first refusal of a stop the run's capacity is awaited: until
// the stop was repeated once, since a refusal may be transient.
const refusedStopWait = orderRetryInterval + 100*time.Millisecond

// stopRefused handles a stop that the target refused. It is repeated until it is accepted.
func (m *Machine) stopRefused(r *run, err error, now time.Time) {
	m.log.Decided("stop refused", "target", r.target.ID, "task", r.Task, "run", r.Number, "error", err.Error())
	if r.endDueAt.IsZero() {
		r.endDueAt = now.Add(refusedStopWait)
	}
}

// awaitsAnswer reports whether an order for the run may have to be repeated.
func (r *run) awaitsAnswer() bool { return r.phase == starting || r.phase == stopping }

// maxProbes bounds the outstanding orders to a target that does not answer: more would
// only keep the host busy.
const maxProbes = 4

// retryOrder repeats an order that was not answered. It ends a run whose start has been
// sent maxStartsSent times, or whose target accepts no starts any more or has less
// capacity now. While the target's clock is not known, a start would carry a deadline that
// may never pass: it waits for the next report.
func (m *Machine) retryOrder(r *run, now time.Time) {
	if r.orderPending || now.Sub(r.sentAt) < orderRetryInterval || (!r.target.responsive() && r.target.ordersPending() >= maxProbes) {
		return
	}
	switch {
	case r.phase == stopping && r.orderAnsweredAt.IsZero():
		m.sendStop(r, now)
	case r.phase == starting && r.startsSent < maxStartsSent && r.target.acceptsStarts(now) && !r.target.overCapacity():
		if r.target.clockMS != 0 {
			m.sendStart(r, now)
		}
	case r.phase == starting && r.hasUnansweredStart():
		r.task.attempts().avoid(r.target)
		m.stop(r, stopFor(stopUnanswered), now)
		m.stopGang(r, stopFor(stopMemberUnanswered), now)
	case r.phase == starting:
		m.log.Decided("start not sent", "target", r.target.ID, "task", r.Task, "run", r.Number)
		m.release(r, now)
		m.stopGang(r, stopFor(stopMemberUnreached), now)
	}
}
