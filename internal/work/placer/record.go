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
	r := &record{job: j, given: now, entries: []string{j.Entry()}, round: m.heard[j.ID()].round}
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
	if r.gang != nil {
		m.detach(r.gang)
		m.scheduler.Ended(r.job.ID(), schedule.Dropped, "", now)
	}
	m.scheduler.Cancel(r.job.ID())
	o.Job, o.At = r.job.ID(), now
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

func (m *Machine) tickRecord(r *record, now time.Time) []Command {
	switch {
	case r.outcome != nil:
		if r.takenAt.IsZero() && !now.Before(r.answerAt) {
			return m.giveOutcome(r, now)
		}
		return nil
	case r.gang != nil:
		return m.tickGang(r, now)
	case !now.Before(r.given.Add(GivenFor)):
		// A queued job whose entry is gone, or that this host, back from a
		// pause, only believes to have: another placer has it by now.
		m.scheduler.Cancel(r.job.ID())
		m.drop(r.job.ID())
		return nil
	case !m.listed && !r.job.Deadline().IsZero() && !now.Before(r.job.Deadline()):
		return m.refuse(r, schedule.Decision{Reason: "no worker of the zone was known by its deadline"}, now)
	case !r.elsewhere.IsZero():
		if !now.Before(r.elsewhere) {
			return m.settle(r, job.Outcome{State: job.Lost, Attempt: r.attempt(), Reason: "another placer claimed it and no worker has it"}, now)
		}
		return nil
	case !r.retryAt.IsZero() && !now.Before(r.retryAt) && m.found[r.job.ID()] == nil && !m.takingOver(now):
		r.retryAt = time.Time{}
		m.scheduler.Submit(r.job, now)
		m.dirty = true
	}
	return nil
}

func (m *Machine) tickGang(r *record, now time.Time) []Command {
	g := r.gang
	if !r.job.Long() && g.Phase() == gang.Running && !now.Before(r.given.Add(OrphanAfter)) {
		cs := []Command{r.tell("", "stopped", "no entry asks for it any more")}
		return append(cs, m.carry(r, g.EndSoftly(gang.CauseCancel, "", "no entry asks for it any more", now.Add(gang.LossGrace), now), now)...)
	}
	return m.carry(r, g.Ticked(now), now)
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
