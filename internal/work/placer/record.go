package placer

import (
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/work/gang"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/schedule"
)

// record is what the placer knows of one job. A job without gang, retryAt,
// elsewhere and outcome is in the scheduler's queue.
type record struct {
	job       job.Job
	entries   []string     // that the outcome goes to; at most MaxEntries
	since     time.Time    // when an entry gave it first
	given     time.Time    // when an entry gave it last
	gang      *gang.Gang   // the attempt under way; nil for none
	round     int          // of the newest attempt, its own or heard of
	refusals  int          // attempts in a row that did not start
	crashes   int          // attempts that failed
	ran       bool         // an attempt may have run
	claim     target.Lease // what the claim is asked for; the same until it is known
	claiming  bool         // the claim is asked and not answered
	claimed   bool         // the claim is won: only this placer may start the job
	retryAt   time.Time    // back into the queue then; zero if it is not waiting for that
	elsewhere time.Time    // another holds the claim: lost then, if not found; zero if not so
	askAt     time.Time    // when the claim is asked again, to hear what became of it
	winner    int          // the attempt that holds the claim; 0 if not known
	outcome   *job.Outcome // nil while there is none
	settledAt time.Time
	takenAt   time.Time     // when every entry had the outcome; zero before
	answerAt  time.Time     // when the outcome is given again
	backoff   time.Duration // until the giving after that
}

func (m *Machine) submitted(e Submitted, now time.Time) []Command {
	id := e.Job.ID()
	r, ok := m.records[id]
	if !ok {
		return m.admit(e.Job, now)
	}
	r.given = now
	r.asker(e.Job.Entry())
	if r.outcome != nil {
		r.takenAt = time.Time{}
		return m.giveOutcome(r, now)
	}
	return nil
}

// asker notes an entry that wants the outcome.
func (r *record) asker(entry string) {
	if slices.Contains(r.entries, entry) {
		return
	}
	r.entries = append(r.entries, entry)
	if len(r.entries) > MaxEntries {
		r.entries = r.entries[1:]
	}
}

func (m *Machine) add(j job.Job, now time.Time) *record {
	r := &record{job: j, since: now, given: now, entries: []string{j.Entry()}, round: m.heard[j.ID()].round}
	m.records[j.ID()] = r
	m.order = append(m.order, j.ID())
	m.dirty = true
	return r
}

// admit queues a job, or attaches it to the gang that a worker told of.
func (m *Machine) admit(j job.Job, now time.Time) []Command {
	r := m.add(j, now)
	if g, ok := m.found[j.ID()]; ok {
		r.retryAt = now
		return m.foundStep(g, nil, now)
	}
	cs := []Command{r.tell(job.Queued, "queued", "in the queue of zone "+m.zone)}
	if m.takingOver(now) {
		r.retryAt = now
		return cs
	}
	m.scheduler.Submit(j, now)
	return cs
}

func (r *record) tell(s job.State, step, text string) Command {
	return Tell{Job: r.job, State: s, Step: step, Text: text}
}

// cancelAsked ends what runs and answers at once for what does not. A job that
// is not known is given again by its entry together with the cancellation.
func (m *Machine) cancelAsked(e CancelAsked, now time.Time) []Command {
	r, ok := m.records[e.Job]
	if !ok || r.outcome != nil {
		return nil
	}
	if r.gang == nil {
		return m.settle(r, job.Outcome{State: job.Cancelled, Reason: "cancelled by its caller"}, now)
	}
	cs := []Command{r.tell("", "stopped", "cancelled by its caller")}
	return append(cs, m.carry(r, r.gang.End(gang.CauseCancel, "", "cancelled by its caller", now), now)...)
}

// refuse passes the scheduler's refusal on. A job that may have run is not
// called not run.
func (m *Machine) refuse(r *record, d schedule.Decision, now time.Time) []Command {
	o := job.Outcome{State: job.NotRun, Reason: d.Reason, RetryAfter: d.RetryAfter}
	if r.ran {
		o = job.Outcome{State: job.Lost, Attempt: r.attempt(), Reason: "it was started before: " + d.Reason}
	}
	return m.settle(r, o, now)
}

func (r *record) attempt() int {
	if r.gang != nil {
		return r.gang.Lease().Attempt
	}
	return gang.Attempt(r.round, 0)
}

// settle makes an outcome final and gives it to the entries.
func (m *Machine) settle(r *record, o job.Outcome, now time.Time) []Command {
	// The platform's record takes no outcome that is older than the claim.
	o.Job, o.At, o.Attempt = r.job.ID(), now, max(o.Attempt, r.claim.Attempt, r.winner)
	return m.conclude(r, o, now)
}

// conclude settles a job with an outcome that is given as it is.
func (m *Machine) conclude(r *record, o job.Outcome, now time.Time) []Command {
	if r.gang != nil {
		m.detach(r.gang)
		m.scheduler.Ended(r.job.ID(), schedule.Dropped, "", now)
	}
	m.scheduler.Cancel(r.job.ID())
	r.outcome, r.settledAt, r.backoff = &o, now, time.Second
	r.gang, r.retryAt, r.elsewhere = nil, time.Time{}, time.Time{}
	m.settled++
	m.dirty = true
	cs := []Command{r.tell(o.State, "settled", o.Reason)}
	return append(cs, m.giveOutcome(r, now)...)
}

func (m *Machine) giveOutcome(r *record, now time.Time) []Command {
	r.answerAt = now.Add(r.backoff)
	r.backoff = min(2*r.backoff, GivenFor)
	var cs []Command
	for _, entry := range r.entries {
		cs = append(cs, Answer{Job: r.job.AdoptedBy(entry), Outcome: *r.outcome})
	}
	return cs
}

func (m *Machine) outcomeTaken(e OutcomeTaken, now time.Time) {
	r, ok := m.records[e.Job]
	if !ok || r.outcome == nil {
		return
	}
	if e.Entry == "" {
		r.entries = nil
	}
	r.entries = slices.DeleteFunc(r.entries, func(s string) bool { return s == e.Entry })
	if len(r.entries) == 0 && r.takenAt.IsZero() {
		r.takenAt = now
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *Machine) tickRecord(r *record, now time.Time) []Command {
	switch {
	case r.outcome != nil:
		return m.tickOutcome(r, now)
	case r.gang != nil:
		return m.tickGang(r, now)
	case m.draining && r.claimed && r.unusedClaim():
		return m.refuse(r, schedule.Decision{Reason: "its host stops before it was started", RetryAfter: now.Add(time.Second)}, now)
	case !now.Before(r.given.Add(GivenFor)):
		// A queued job whose entry is gone, or that this host, back from a
		// pause, only believes to have: another placer has it by now.
		m.scheduler.Cancel(r.job.ID())
		m.drop(r.job.ID())
		return nil
	case !m.listed && !r.job.Deadline().IsZero() && !now.Before(later(r.job.Deadline(), r.since.Add(UnlistedFor))):
		return m.refuse(r, schedule.Decision{Reason: "no worker of the zone was known by its deadline"}, now)
	case !r.elsewhere.IsZero():
		return m.tickElsewhere(r, now)
	case !r.retryAt.IsZero() && !now.Before(r.retryAt) && m.found[r.job.ID()] == nil && !m.takingOver(now):
		r.retryAt = time.Time{}
		m.scheduler.Submit(r.job, now)
		m.dirty = true
	}
	return nil
}

// tickOutcome gives an outcome again that was not taken. One that is not taken
// for long may be kept out of the platform's record by a claim that this placer
// does not know of, as when the same request was given to another zone's placer
// that died: the claim is asked for what stands.
func (m *Machine) tickOutcome(r *record, now time.Time) []Command {
	if !r.takenAt.IsZero() {
		return nil
	}
	var cs []Command
	if !now.Before(r.answerAt) {
		cs = m.giveOutcome(r, now)
	}
	unclaimed := r.job.NeedsClaim() && !r.claimed && !r.claiming
	if unclaimed && !now.Before(r.settledAt.Add(ElsewhereFor)) && !now.Before(r.askAt) {
		r.askAt = now.Add(settledEvery)
		cs = append(cs, m.askClaim(r))
	}
	return cs
}

// outcomeStands takes what stands in the platform's record for a job that was
// settled here. Over another's claim "not run" cannot be said.
func (m *Machine) outcomeStands(r *record, e ClaimAnswered, now time.Time) []Command {
	if e.Err != nil || !r.takenAt.IsZero() {
		return nil
	}
	if e.Recorded.State.Final() {
		r.outcome = &e.Recorded
		return m.giveOutcome(r, now)
	}
	o := *r.outcome
	o.Attempt = max(o.Attempt, e.Attempt, r.claim.Attempt)
	if !e.Won && o.State == job.NotRun {
		o.State, o.Reason = job.Lost, "another placer claimed it and told no outcome: "+o.Reason
	}
	r.outcome = &o
	return m.giveOutcome(r, now)
}

func (m *Machine) askClaim(r *record) Command {
	r.claiming = true
	r.claim = target.Lease{Job: r.job.ID(), Attempt: max(r.claim.Attempt, gang.Attempt(max(r.round, 1), m.salt))}
	return claimOf(r.job, r.claim)
}

func (m *Machine) tickGang(r *record, now time.Time) []Command {
	g := r.gang
	if !r.job.Long() && g.Phase() == gang.Running && !now.Before(r.given.Add(OrphanAfter)) {
		cs := []Command{r.tell("", "stopped", "no entry asks for it any more")}
		return append(cs, m.carry(r, g.EndSoftly(gang.CauseCancel, "", "no entry asks for it any more", now.Add(gang.LossGrace), now), now)...)
	}
	return m.carry(r, g.Ticked(now), now)
}

// tickElsewhere asks what became of a job that another placer may start, and
// gives it up as lost in the end. It ends with the winner's attempt, so that the
// platform's record takes it.
func (m *Machine) tickElsewhere(r *record, now time.Time) []Command {
	if !now.Before(r.elsewhere) {
		o := job.Outcome{State: job.Lost, Attempt: max(r.winner, r.attempt()), Reason: "another placer claimed it and no worker has it"}
		return m.settle(r, o, now)
	}
	if r.claiming || now.Before(r.askAt) {
		return nil
	}
	r.askAt = now.Add(elsewhereEvery)
	return []Command{m.askClaim(r)}
}

// drop forgets a record.
func (m *Machine) drop(id job.ID) {
	delete(m.records, id)
	m.order = slices.DeleteFunc(m.order, func(o job.ID) bool { return o == id })
}

// forget bounds what is kept of settled jobs and of old attempts.
func (m *Machine) forget(now time.Time) {
	extra := m.settled - MaxOutcomes
	keep := m.order[:0]
	for _, id := range m.order {
		r := m.records[id]
		old := r.outcome != nil && (extra > 0 || !now.Before(r.settledAt.Add(UntakenFor)) ||
			!r.takenAt.IsZero() && !now.Before(r.takenAt.Add(TakenFor)))
		if !old {
			keep = append(keep, id)
			continue
		}
		extra--
		m.settled--
		delete(m.records, id)
	}
	m.order = keep
	for id, h := range m.heard {
		if !now.Before(h.at.Add(UntakenFor)) {
			delete(m.heard, id)
		}
	}
}
