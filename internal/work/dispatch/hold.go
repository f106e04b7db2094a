package dispatch

import (
	"errors"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/limiter"
	"guavaglade.example/guavaglade/internal/fleet/order"
)

// ackWithin bounds how long an end that is saved stays unacknowledged: the
// acknowledgement rides on the next hold, which a target without work would not
// need otherwise.
const ackWithin = time.Second

// unsavedPause is the pause before a target is asked again that lists ends whose
// progress is not saved yet: it would answer at once, with the same ends. It is
// asked when they are saved, and after the pause in any case, so that its lease
// is renewed while the store is away.
const unsavedPause = time.Second

// tickTarget asks the target for a report if one is due, and gives up what
// cannot exist any more on a target that does not answer.
func (m *Machine) tickTarget(t *target, now time.Time) {
	if t.reach != held && !now.Before(t.leaseEnd) && len(t.runs) > 0 {
		m.log.Decided("target silent until its leases lapsed", "target", t.ID, "runs", len(t.runs), "silentMS", now.Sub(t.silentAt).Milliseconds())
		m.loseAll(t, now)
	}
	for _, r := range t.runsThat((*run).awaitsAnswer) {
		m.tickRun(r, now)
	}
	m.holdIfDue(t, now)
	m.lookIfDue(t, now)
}

// Figures of looks beside a hold.
const (
	// overdue is how long after its time a hold counts as lost.
	overdue = 300 * time.Millisecond
	// lookAfter is how long after a stop was answered its end is missed. A stop
	// takes up to 400 ms, and most take half of it.
	lookAfter = 450 * time.Millisecond
	// lookEvery is the time between two looks at one target.
	lookEvery = 400 * time.Millisecond
)

// lookIfDue asks for a report beside the hold that is outstanding, if that may
// have been lost: its time is over, another order was not answered, or a stop was
// answered and its end is not listed. Without it a lost hold blinds the leader until
// its time-out, and room that was cleared for urgent work goes unused for as long.
func (m *Machine) lookIfDue(t *target, now time.Time) {
	if !t.holding || t.looking || t.reach != held || now.Sub(t.lookedAt) < lookEvery {
		return
	}
	if now.Sub(t.heldAt) < holdWait+overdue && t.inTouch() && !t.missesEnd(now) {
		return
	}
	m.look(t, now)
}

// look asks for a report beside the hold that is outstanding.
func (m *Machine) look(t *target, now time.Time) {
	t.looking, t.lookedAt = true, now
	m.out = append(m.out, Hold{Target: t.address(), Order: order.Poll{Term: m.term, Acked: t.acked}, Class: t.class(limiter.Report), Look: true, Sent: now})
}

// lookAround asks the targets of a zone that have missed something for a report, now that
// one of them answers again: a cut may be over. Their holds were sent into it, and would be
// waited for until their time-outs, with all that has ended there. A new leader's first
// holds are on their way to all targets; those are not to be asked twice.
func (m *Machine) lookAround(zone string, now time.Time) {
	for _, t := range m.byID {
		if t.Zone == zone && t.reach != held && !t.inTouch() && t.holding && !t.looking && now.Sub(t.lookedAt) >= lookEvery {
			m.look(t, now)
		}
	}
}

// missesEnd reports whether a stop was answered long ago and its end was not
// listed since.
func (t *target) missesEnd(now time.Time) bool {
	for _, r := range t.runs {
		if r.phase == stopping && !r.settledAt.IsZero() && now.Sub(r.settledAt) >= lookAfter {
			return true
		}
	}
	return false
}

// holdIfDue asks for a report: the first one of this term at once; later ones
// while something may run there or an acknowledgement is due.
func (m *Machine) holdIfDue(t *target, now time.Time) {
	if t.holding || now.Before(t.holdAgain) || (len(t.ends) > 0 && now.Before(t.endsDue)) {
		return
	}
	acks := t.acked > t.sentAck && !now.Before(t.ackDue)
	switch {
	case t.reach == unheld && t.listed:
		m.hold(t, 0, now)
	case t.reach == silent && (t.listed || len(t.runs) > 0):
		m.hold(t, 0, now)
	case t.reach == held && (t.clockMS == 0 || !t.inTouch()):
		m.hold(t, 0, now)
	case t.reach == held && t.ordered():
		m.hold(t, t.wait(), now)
	case t.reach == held && acks:
		m.hold(t, 0, now)
	}
}

// wait returns how long a report of the target waits for an end.
func (t *target) wait() time.Duration {
	if t.shares() {
		return paceWait
	}
	return holdWait
}

// ordered reports whether an order was sent for anything that may run there.
func (t *target) ordered() bool {
	for _, r := range t.runs {
		if r.phase != waiting && r.phase != noted {
			return true
		}
	}
	return false
}

func (m *Machine) hold(t *target, wait time.Duration, now time.Time) {
	h := order.Poll{Term: m.term, Acked: t.acked}
	if t.reach == held { // a silent target's lease must come to an end
		h.Wait = wait
		if t.clockMS != 0 {
			h.Deadline = t.grant(now, m.bounds.Lease)
		}
	}
	t.holding, t.heldAt = true, now
	m.out = append(m.out, Hold{Target: t.address(), Order: h, Class: t.class(limiter.Report), Sent: now})
}

// Held takes in a target's report.
func (m *Machine) Held(id string, h Hold, rep order.Report, now time.Time) {
	t := m.targets[id]
	if t == nil {
		return
	}
	t.answered(h)
	m.touchTarget(t)
	t.heardAt = now
	away := !t.inTouch()
	m.answers(t, now)
	t.heardClock(rep.Clock, now)
	t.sentAck = max(t.sentAck, h.Order.Acked)
	if t.reach != held {
		m.log.Decided("target reports", "target", t.ID, "running", len(rep.Running), "ended", len(rep.Ended), "first", !t.reported)
		t.reach = held
		if away {
			m.lookAround(t.Zone, now)
		}
	}
	there := map[order.Run]bool{}
	for _, e := range rep.Ended {
		if e.Number > t.seen {
			t.seen = e.Number
			m.ended(t, e, now)
		}
		there[e.Run] = true
	}
	for _, r := range rep.Running {
		there[r.Run] = true
		m.seenRunning(t, r, h.Sent, now)
	}
	m.watch(t, now)
	m.pace(t, now)
	m.moveLasting(t, now)
	if len(rep.Ended) < fullList {
		m.missing(t, there, h.Sent, now)
	}
	t.reported = true
	t.settleEnds(now)
	if len(t.ends) > 0 {
		t.endsDue = now.Add(unsavedPause)
	}
	if len(rep.Running) > 0 && h.Order.Deadline == 0 && !t.holding {
		m.hold(t, 0, now) // its clock was not known: renew the lease at once
	}
	m.changed = true
}

// answered notes that a hold is no longer outstanding.
func (t *target) answered(h Hold) {
	if h.Look {
		t.looking = false
	} else {
		t.holding = false
	}
}

// fullList is the number of ends at which a report may have left some out.
const fullList = 500

// missing gives up runs that the target was asked about and does not have: the
// start or the stop was answered before the report was asked for, and it lists
// neither the run nor its end.
func (m *Machine) missing(t *target, there map[order.Run]bool, asked, now time.Time) {
	gone := t.runsThat(func(r *run) bool { return !there[r.Run] && !r.settledAt.IsZero() && r.settledAt.Before(asked) })
	for _, r := range gone {
		m.log.Decided("run not on its target", "target", t.ID, "task", r.Task, "run", r.Number, "phase", int(r.phase))
		m.release(r, now)
		m.endOnce(r, now)
		m.stopGang(r, "a member is gone", now)
	}
}

// HoldFailed takes in that a target did not report.
func (m *Machine) HoldFailed(id string, h Hold, err error, now time.Time) {
	t := m.targets[id]
	if t == nil {
		return
	}
	t.answered(h)
	m.touchTarget(t)
	switch {
	case errors.Is(err, order.ErrFenced):
		m.fenced(t, "hold")
		return
	case errors.Is(err, order.ErrOtherIncarnation):
		m.lifeOver(t, now)
	case t.heardAt.After(h.Sent):
		// It answered another one since: only this one was lost.
	default:
		m.misses(t, h.due(now), now)
		m.quiet(t, err, now)
	}
	m.changed = true
}

// quiet notes that a target does not answer.
func (m *Machine) quiet(t *target, err error, now time.Time) {
	t.holdAgain = now.Add(retryHold)
	if t.reach == held {
		t.reach, t.silentAt = silent, now
		m.log.Decided("target silent", "target", t.ID, "runs", len(t.runs), "error", err.Error())
		for _, r := range t.sortedRuns() {
			m.releaseCause(r, now)
		}
	}
}

// fenced ends the term: another leader has given orders there with a higher
// token.
func (m *Machine) fenced(t *target, step string) {
	if !m.deposed {
		m.log.Decided("deposed", "step", step, "target", t.ID, "term", m.term)
	}
	m.deposed = true
}

// lifeOver takes in that an incarnation has ended: nothing runs there any more.
func (m *Machine) lifeOver(t *target, now time.Time) {
	m.log.Decided("target's life is over", "target", t.ID, "runs", len(t.runs))
	m.loseAll(t, now)
	t.listed = false
	delete(m.targets, t.ID)
	m.byID = without(m.byID, t)
	m.racks = nil
}

// loseAll releases all runs of a target.
func (m *Machine) loseAll(t *target, now time.Time) {
	for _, r := range t.sortedRuns() {
		m.release(r, now)
		m.endOnce(r, now)
	}
}

// settleEnds moves on what may be acknowledged: ends in their order, up to the
// first whose progress is not saved.
func (t *target) settleEnds(now time.Time) {
	n := 0
	for n < len(t.ends) && t.ends[n].saved() {
		t.acked = t.ends[n].number
		n++
	}
	if n > 0 {
		t.ends = t.ends[n:]
		t.ackDue = now.Add(ackWithin)
	}
}
