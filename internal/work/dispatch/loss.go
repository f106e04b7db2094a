package dispatch

import (
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/crashloop"
)

// targetLost handles the loss of a target: its incarnation has ended, or its leases have
// lapsed while it did not answer. It records the loss against the tasks whose runs may have
// caused it, and releases all runs.
func (m *Machine) targetLost(t *target, now time.Time) {
	m.changeLosses(t.settleLoss)
	lost := t.runsWhere((*run).mayBeOnTarget)
	m.recordLosses(t, lost, t.lossSpan(now), time.Time{}, now)
	for _, r := range t.sortedRuns() {
		m.release(r, now)
		m.mayHaveRun(r, now)
		if r.phase == awaitingCapacity || r.phase == recorded || r.phase == starting { // the other members must not wait for it
			m.stopGang(r, stopFor(stopMemberLost), now)
		}
	}
	if len(lost) > 0 {
		m.commands = append(m.commands, TargetLost{Runs: len(lost)})
	}
}

// settleLoss makes an open loss of the target's incarnation under a task count, and reports
// whether there was one.
func (t *target) settleLoss(x *task) bool { return x.losses.Settle(t.incarnationName()) }

// recordLosses records the loss of a target in a span against the tasks of lost runs, which
// are runs that may be on it. If countsFrom is not zero, the target may still answer, and the
// losses count from then on. A target that was to leave is no loss.
func (m *Machine) recordLosses(t *target, lost []*run, span lossSpan, countsFrom, now time.Time) {
	if len(lost) == 0 {
		return
	}
	cause := m.lossCause(t, span)
	for _, r := range lost {
		kind, suspect := cause.kindFor(r)
		m.log.Decided("run lost with its target", "target", t.ID, "task", r.Task, "run", r.Number, "beganMSBefore", r.ageAt(span.from).Milliseconds(), "lost", len(lost), "suspect", suspect, "kind", kind, "together", cause.together)
		x := r.task
		x.lostBefore, x.lostInZone = true, t.Zone
		if !suspect || r.blamed || t.Draining || x.done || x.step.job.finished() {
			continue
		}
		x.losses.Lasted(r.ageAt(span.from))
		x.losses.Add(crashloop.Loss{Target: r.incarnationName(), Kind: kind, Open: !countsFrom.IsZero()}, countsFrom)
		x.step.lostAt = now
		m.lossesChanged(x)
		m.markDirty(x.step.job)
	}
	m.verdictsDue = true
	if t.lossRecorded {
		return
	}
	t.lossRecorded = true
	m.recentLosses = append(m.recentLosses, recentLoss{span: span, incarnation: lost[0].incarnationName(), rack: t.Rack, zone: t.Zone})
}

// lossSpan is when a target was lost: not before from, and not after to.
type lossSpan struct {
	from, to time.Time
}

// lossSpan returns when an unreachable target was lost. If the connection of its poll broke,
// that was the moment. Otherwise it was between its last answer and the first that it missed.
func (t *target) lossSpan(now time.Time) lossSpan {
	to := t.unansweredSince
	if to.IsZero() {
		to = now
	}
	if t.connectionBroke {
		return lossSpan{to, to}
	}
	from := to.Add(-maxPollWait - pollOverdue) // it is not polled while it has no work
	if t.answeredAt.After(from) {
		from = t.answeredAt
	}
	return lossSpan{from, to}
}

// near reports whether two targets may have been lost within a time of each other.
func (s lossSpan) near(o lossSpan, within time.Duration) bool {
	return !s.from.After(o.to.Add(within)) && !o.from.After(s.to.Add(within))
}

// mayBeOnTarget reports whether the run may be on its target: its start was sent, in this
// term or an earlier one.
func (r *run) mayBeOnTarget() bool { return r.phase != awaitingCapacity && r.phase != recorded }

// ageAt returns for how long the run had been known to be on its target at a time; 0 if it
// was not known.
func (r *run) ageAt(at time.Time) time.Duration {
	if r.beganAt.IsZero() {
		return 0
	}
	return max(at.Sub(r.beganAt), 0)
}

// newAt reports whether the run may have begun only shortly before a time.
func (r *run) newAt(at time.Time) bool { return r.ageAt(at) < crashloop.Window }

// lossCause is what may have caused the loss of a target.
type lossCause struct {
	span     lossSpan
	newJobs  int  // number of jobs of which a run had just begun there
	certain  bool // all these runs were started in this term, so it is known that they had just begun
	together bool // it was lost together with much of its rack or zone
}

// lossCause returns what may have caused the loss of a target.
func (m *Machine) lossCause(t *target, span lossSpan) lossCause {
	c := lossCause{span: span, together: m.lostTogether(t, span)}
	jobs := map[*job]bool{}
	c.certain = true
	for _, r := range t.runs {
		if !r.mayBeOnTarget() || r.sentAfter(span) || r.mayFollowLoss() || !r.newAt(span.from) {
			continue
		}
		c.certain = c.certain && r.startsSent > 0
		jobs[r.task.step.job] = true
	}
	c.newJobs = len(jobs)
	return c
}

// sentAfter reports whether the run's only start was sent after its target was lost. That is
// known only if the moment is: a missed answer may have been lost on the way.
func (r *run) sentAfter(span lossSpan) bool {
	return span.from.Equal(span.to) && r.beganAt.IsZero() && r.startsSent == 1 && r.sentAt.After(span.to)
}

// mayFollowLoss reports whether the run's target may have been lost before the run was sent: it had
// answered nothing for longer than between two polls of a target with work, and the run is not known
// to have begun. An idle target is not polled, so that it may have been lost or disconnected long before.
func (r *run) mayFollowLoss() bool { return r.sentToSilent && r.beganAt.IsZero() }

// kindFor returns how the loss points at a run's task, and whether it does at all. It does
// not if the run may have been sent after it, or had not just begun there, and others had or there is
// a common cause.
func (c lossCause) kindFor(r *run) (kind crashloop.Kind, suspect bool) {
	switch {
	case r.sentAfter(c.span) || r.mayFollowLoss() || !r.newAt(c.span.from) && (c.newJobs > 0 || c.together):
		return crashloop.Running, false
	case c.newJobs == 0:
		return crashloop.Running, true
	case c.together:
		return crashloop.Together, true
	case c.newJobs == 1 && c.certain:
		return crashloop.Sole, true
	}
	return crashloop.Shared, true
}

// recentLoss is a target that was lost a short time ago.
type recentLoss struct {
	span        lossSpan
	incarnation string
	rack, zone  string
}

// Targets that are lost together have a common cause, such as a failure of power, rather
// than each a run that crashes it.
const (
	// togetherWindow is how far apart losses with a common cause are noticed, beyond what
	// is not known of their times.
	togetherWindow = 300 * time.Millisecond
	// recentLossTime is how long losses are kept: targets with a common cause are found to
	// be lost when they return, or when their leases have lapsed.
	recentLossTime = 30 * time.Second
	// togetherShare is the share of a rack or a zone that is lost by a common cause.
	togetherShare = 0.25
	// minTogether is the number of losses in a rack or zone from which they may have a
	// common cause.
	minTogether = 3
	// A part of all targets that is lost one after the other, in no rack or zone more than
	// elsewhere, has a common cause as well. A task that is started again at once then meets
	// several losses, each just after it has begun.
	scatteredWindow = 2 * time.Second
	scatteredShare  = 0.1
	minScattered    = 8 // more than a few tasks that crash their targets cause in that time
)

// lostTogether reports whether a target was lost together with so much of its rack, its zone or
// all targets that there must be a common cause.
func (m *Machine) lostTogether(t *target, span lossSpan) bool {
	m.recentLosses = slices.DeleteFunc(m.recentLosses, func(l recentLoss) bool { return span.to.Sub(l.span.to) > recentLossTime })
	rack, zone, all := share{lost: 1, of: 1}, share{lost: 1, of: 1}, share{lost: 1, of: 1}
	for _, l := range m.recentLosses {
		if l.incarnation == t.incarnationName() {
			continue
		}
		all.add(true, l.span.near(span, scatteredWindow))
		if l.span.near(span, togetherWindow) {
			rack.add(l.rack == t.Rack, true)
			zone.add(l.zone == t.Zone, true)
		}
	}
	for _, o := range m.sortedTargets {
		if o == t || o.lossRecorded {
			continue
		}
		silent := o.reach != reachable && !o.unansweredSince.IsZero()
		lost := silent && o.lossSpan(o.unansweredSince).near(span, togetherWindow)
		rack.add(o.Rack == t.Rack, lost)
		zone.add(o.Zone == t.Zone, lost)
		all.add(true, silent && o.lossSpan(o.unansweredSince).near(span, scatteredWindow))
	}
	return t.Rack != "" && rack.together() || zone.together() || all.scattered()
}

// share counts targets and how many of them were lost.
type share struct {
	lost, of int
}

// add counts a target if it belongs to what is counted.
func (s *share) add(belongs, lost bool) {
	if belongs {
		s.of++
	}
	if belongs && lost {
		s.lost++
	}
}

// scattered reports whether so many targets were lost that they have a common cause wherever
// they are.
func (s *share) scattered() bool {
	return s.lost >= minScattered && float64(s.lost) >= scatteredShare*float64(s.of)
}

// together reports whether so many targets of a rack or a zone were lost that they have a
// common cause.
func (s *share) together() bool {
	return s.lost >= minTogether && float64(s.lost) >= togetherShare*float64(s.of)
}
