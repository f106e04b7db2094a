package placer

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/work/gang"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/schedule"
)

// Backoffs after an attempt that did not start.
const (
	firstBackoff = 100 * time.Millisecond
	lastBackoff  = 5 * time.Second
)

// mayBegin reports whether an attempt may be made: none is under way, none has
// settled the job, and none may have run if the job must not be repeated. The
// scheduler knows nothing of outcomes and claims; when it moves a job it starts
// it again by itself. Without this guard a billed order would run twice.
func (r *record) mayBegin() bool {
	return r.outcome == nil && r.gang == nil && (r.job.Repeatable() || !r.ran)
}

// begin makes an attempt on the place that the scheduler took.
func (m *Machine) begin(r *record, d schedule.Decision, now time.Time) []Command {
	r.round++
	l := target.Lease{Job: r.job.ID(), Attempt: gang.Attempt(r.round, m.salt)}
	ask := r.needsLeave() && !r.claimed
	if ask && r.claim == (target.Lease{}) {
		r.claim = l
	}
	g, steps := gang.New(r.job, l, d.Assignment, ask, now)
	r.gang = g
	m.attach(g)
	text := fmt.Sprintf("on %s: %s", strings.Join(g.Workers(), " "), d.Reason)
	cs := []Command{r.tell(job.Starting, "placed", text)}
	return append(cs, m.carry(r, steps, now)...)
}

// needsLeave reports whether a start must be allowed by the platform's row or
// by the host that issued the job's ticket.
func (r *record) needsLeave() bool { return r.job.NeedsClaim() || r.job.Ticket() != "" }

// attach lists the gang with its workers, so that their renewals cover it.
func (m *Machine) attach(g *gang.Gang) {
	for _, id := range g.Workers() {
		if w, ok := m.workers[id]; ok {
			w.gangs[g.Job().ID()] = g
		}
	}
}

func (m *Machine) detach(g *gang.Gang) {
	for _, id := range g.Workers() {
		if w, ok := m.workers[id]; ok && w.gangs[g.Job().ID()] == g {
			delete(w.gangs, g.Job().ID())
		}
	}
}

// carry turns a gang's steps into commands and, when it is over, its result
// into what follows for the job.
func (m *Machine) carry(r *record, steps []gang.Step, now time.Time) []Command {
	var cs []Command
	for _, s := range steps {
		if s.Kind != gang.Claim {
			cs = append(cs, commandOf(r.gang, s))
			continue
		}
		// An earlier attempt may have asked and not been answered: its answer
		// is for this one too. Asked twice at once, the second answer would
		// show the first one's row as another's.
		if !r.claiming {
			r.claiming = true
			cs = append(cs, claimOf(r.job, r.claim))
		}
	}
	if r.gang.Phase() == gang.Over {
		cs = append(cs, m.attemptOver(r, now)...)
	}
	return cs
}

func commandOf(g *gang.Gang, s gang.Step) Command {
	switch s.Kind {
	case gang.Hold:
		return HoldOn{Worker: s.Worker, Hold: g.HoldOn(s.Worker)}
	case gang.Start:
		return StartOn{Worker: s.Worker, Lease: g.Lease(), Deadline: s.Deadline}
	default:
		return StopOn{Worker: s.Worker, Stop: s.Stop}
	}
}

// claimOf asks the platform for leave or, for a ticketed job, the ticket's host.
func claimOf(j job.Job, l target.Lease) Command {
	if j.Ticket() != "" {
		return ClaimTicket{Lease: l, Job: j}
	}
	return ClaimRow{Lease: l, Job: j}
}

// attemptOver says what follows from the end of an attempt. An attempt that may
// have run ends a job that must not be repeated.
func (m *Machine) attemptOver(r *record, now time.Time) []Command {
	g, res := r.gang, r.gang.Result()
	m.detach(g)
	m.dirty = true
	r.ran = r.ran || res.MayHaveRun
	again := r.job.Repeatable() || !res.MayHaveRun
	o := job.Outcome{Attempt: g.Lease().Attempt, Reason: res.Reason}
	switch res.Cause {
	case gang.CauseDone:
		if !res.Broken {
			// A gang found at a takeover carries a reason for the case that it is
			// broken off; it was not.
			o.State, o.Answer, o.Reason = job.Succeeded, res.Answer, ""
			return m.close(r, schedule.Done, "", o, now)
		}
		o.Reason = "its answer could not be had whole"
		return m.retryOr(r, schedule.Crashed, res, again && r.crashed(), o, job.Lost, now)
	case gang.CauseCancel:
		o.State = job.Cancelled
		return m.close(r, schedule.Dropped, "", o, now)
	case gang.CauseCrashed:
		return m.retryOr(r, schedule.Crashed, res, again && r.crashed(), o, job.Failed, now)
	case gang.CauseLost:
		return m.retryOr(r, schedule.WorkerGone, res, again, o, job.Lost, now)
	case gang.CauseReclaim:
		return m.retryOr(r, schedule.Reclaimed, res, again, o, job.Lost, now)
	case gang.CauseClaimedElsewhere:
		return m.claimedElsewhere(r, now)
	default:
		return m.retryOr(r, schedule.NotStarted, res, again, o, job.Lost, now)
	}
}

// crashed counts a failure and reports whether the job may be tried again.
func (r *record) crashed() bool {
	r.crashes++
	return r.crashes < MaxCrashes
}

// close ends the job with an outcome.
func (m *Machine) close(r *record, e schedule.End, worker string, o job.Outcome, now time.Time) []Command {
	m.scheduler.Ended(r.job.ID(), e, worker, now)
	return m.settle(r, o, now)
}

// retryOr queues the job again if it may be, or else ends it in the state.
func (m *Machine) retryOr(r *record, e schedule.End, res gang.Result, again bool, o job.Outcome, s job.State, now time.Time) []Command {
	if !again {
		o.State = s
		return m.close(r, e, res.Worker, o, now)
	}
	r.gang = nil
	m.scheduler.Ended(r.job.ID(), e, res.Worker, now)
	if !m.scheduler.Waiting(r.job.ID()) {
		m.scheduler.Submit(r.job, now)
	}
	return []Command{r.tell(job.Queued, stepOf(e), res.Reason+"; queued again")}
}

func stepOf(e schedule.End) string {
	switch e {
	case schedule.Reclaimed:
		return "reclaimed"
	case schedule.Crashed:
		return "crashed"
	case schedule.NotStarted:
		return "refused"
	default:
		return "stopped"
	}
}

// delay puts the job back after a random pause that doubles, so that two placers
// that want the same claim do not meet again and again.
func (m *Machine) delay(r *record, step, reason string, now time.Time) []Command {
	m.scheduler.Cancel(r.job.ID())
	pause := min(firstBackoff<<min(r.refusals, 10), lastBackoff)
	pause = pause/2 + time.Duration(m.random.Int64N(int64(pause)))
	r.refusals++
	r.gang, r.retryAt = nil, now.Add(pause)
	return []Command{r.tell(job.Queued, step, reason+"; queued again")}
}

// claimedElsewhere waits for the gang of the placer that won, which the workers
// tell of, and gives the job up as lost if it does not show. A durable job is
// claimed again with a later attempt.
func (m *Machine) claimedElsewhere(r *record, now time.Time) []Command {
	m.scheduler.Ended(r.job.ID(), schedule.NotStarted, "", now)
	r.claim = target.Lease{}
	if r.job.Repeatable() {
		return m.delay(r, "claim", "another placer's claim came first", now)
	}
	m.scheduler.Cancel(r.job.ID())
	r.gang, r.elsewhere, r.askAt = nil, now.Add(ElsewhereFor), now
	if r.job.Long() {
		r.elsewhere = now.Add(ElsewhereLong)
	}
	return []Command{r.tell(job.Starting, "claim", "another placer holds the claim; its gang is looked for")}
}

// reclaim takes a job's room back: with the grace to write a checkpoint, or hard
// if there is none left.
func (m *Machine) reclaim(r *record, d schedule.Decision, now time.Time) []Command {
	if r.gang == nil {
		return nil
	}
	cs := []Command{r.tell("", "reclaiming", d.Reason)}
	if !now.Before(d.Deadline) {
		return append(cs, m.carry(r, r.gang.End(gang.CauseReclaim, "", d.Reason, now), now)...)
	}
	return append(cs, m.carry(r, r.gang.EndSoftly(gang.CauseReclaim, "", d.Reason, d.Deadline, now), now)...)
}

// throttle caps the cores of a job's members on one worker.
func (m *Machine) throttle(r *record, d schedule.Decision) []Command {
	if r.gang == nil {
		return nil
	}
	return []Command{
		r.tell("", "throttled", d.Reason),
		ThrottleOn{Worker: d.Worker, Lease: r.gang.Lease(), Cores: float64(d.Cores)},
	}
}

// attemptOf returns the record whose attempt under way has the lease.
func (m *Machine) attemptOf(l target.Lease) (*record, bool) {
	r, ok := m.records[l.Job]
	if !ok || r.gang == nil || r.gang.Lease() != l {
		return nil, false
	}
	return r, true
}

func (m *Machine) holdAnswered(e HoldAnswered, now time.Time) []Command {
	r, ok := m.attemptOf(e.Lease)
	if !ok {
		return nil
	}
	if cs, left := m.leftBehind(r, now); left {
		return cs
	}
	before := r.gang.Phase()
	cs := m.carry(r, r.gang.Held(e.Worker, e.Err, now), now)
	if before == gang.Holding && r.gang != nil && (r.gang.Phase() == gang.Claiming || r.gang.Phase() == gang.Starting) {
		cs = append([]Command{r.tell(job.Starting, "held", "all members are held")}, cs...)
	}
	return cs
}

// leftBehind gives an attempt up that was not started when one of its workers
// began to leave: a leaving worker gets no new work.
func (m *Machine) leftBehind(r *record, now time.Time) ([]Command, bool) {
	if p := r.gang.Phase(); p != gang.Holding && p != gang.Claiming {
		return nil, false
	}
	for _, id := range r.gang.Workers() {
		if w, ok := m.workers[id]; ok && m.leaves(id, w) {
			return m.carry(r, r.gang.End(gang.CauseNotStarted, id, id+" is leaving", now), now), true
		}
	}
	return nil, false
}

func (m *Machine) claimAnswered(e ClaimAnswered, now time.Time) []Command {
	r, ok := m.records[e.Lease.Job]
	if !ok || r.claim != e.Lease || r.claimed {
		return nil
	}
	r.claiming, r.claimed = false, e.Err == nil && e.Won
	if r.outcome != nil {
		return m.outcomeStands(r, e, now)
	}
	if e.Recorded.State.Final() {
		return m.recorded(r, e.Recorded, now)
	}
	r.winner = max(r.winner, e.Attempt)
	if r.gang == nil {
		m.claimedLate(r, now)
		return nil
	}
	if cs, left := m.leftBehind(r, now); left {
		return cs
	}
	steps := r.gang.Claimed(e.Won, e.Err, now)
	var cs []Command
	if r.claimed {
		cs = append(cs, r.tell(job.Starting, "claimed", "this placer may start it"))
	}
	return append(cs, m.carry(r, steps, now)...)
}

// claimedLate queues a job again whose claim was won after all: whoever held it
// gave it up before a start.
func (m *Machine) claimedLate(r *record, now time.Time) {
	if r.claimed && !r.elsewhere.IsZero() {
		r.elsewhere, r.retryAt = time.Time{}, now
	}
}

// recorded gives up an attempt at a job whose outcome the platform holds, and
// answers with that outcome: an entry that asked twice, or a host that replaced
// the one that knew, must not hear another.
func (m *Machine) recorded(r *record, o job.Outcome, now time.Time) []Command {
	var cs []Command
	if r.gang != nil {
		cs = m.carry(r, r.gang.Claimed(false, nil, now), now)
	}
	if r.outcome != nil {
		return cs
	}
	return append(cs, m.conclude(r, o, now)...)
}

func (m *Machine) startAnswered(e StartAnswered, now time.Time) []Command {
	r, ok := m.attemptOf(e.Lease)
	if !ok {
		return nil
	}
	before := r.gang.Phase()
	cs := m.carry(r, r.gang.StartAnswered(e.Worker, e.Err, now), now)
	return append(m.startedTell(r, before), cs...)
}

func (m *Machine) startedTell(r *record, before gang.Phase) []Command {
	if before != gang.Starting || r.gang == nil || r.gang.Phase() != gang.Running {
		return nil
	}
	r.refusals = 0
	return []Command{r.tell(job.Running, "started", "all starts are acknowledged")}
}

func (m *Machine) stopAnswered(e StopAnswered, now time.Time) []Command {
	r, ok := m.attemptOf(e.Lease)
	if !ok || e.Err != nil && !errors.Is(e.Err, target.ErrLapsed) {
		return nil
	}
	return m.carry(r, r.gang.StopAnswered(e.Worker, now), now)
}
