package gang

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Cause is why a gang is ending.
type Cause int

// The causes.
const (
	CauseDone             Cause = iota // every part succeeded
	CauseNotStarted                    // a hold or a start was refused, unanswered or too late
	CauseClaimedElsewhere              // another host holds the claim
	CauseCrashed                       // a part failed
	CauseLost                          // a part was lost or stopped by another
	CauseReclaim                       // its room is wanted back
	CauseCancel                        // nobody wants it any more
)

// Result is how a gang came out. It is valid in the phase Over.
type Result struct {
	Cause      Cause
	Worker     string // at fault; empty if not known
	Reason     string
	MayHaveRun bool       // false: proven that no member ran, and none will
	Answer     job.Answer // for CauseDone, always whole
	Broken     bool       // for CauseDone: the answer could not be had whole
}

// Reported takes a worker's word on the gang's lease. steps follow from it.
func (g *Gang) Reported(worker string, t target.Task, now time.Time) []Step {
	p := g.part(worker)
	if p == nil {
		if g.phase != Checking {
			return nil
		}
		p = &part{worker: worker, grants: t.Grants, expires: now.Add(LeaseTime)}
		g.parts = append(g.parts, p)
		g.order()
	}
	p.report(t)
	return g.afterReport(now)
}

// Lapsed takes a worker's word that the lease is over.
func (g *Gang) Lapsed(worker string, now time.Time) []Step {
	p := g.part(worker)
	if p == nil || p.over {
		return nil
	}
	p.over, p.seen = true, true
	return g.afterReport(now)
}

// StopAnswered takes a worker's word that a stop was done or that the lease was
// over before. A stop with a grace only begins with its answer.
func (g *Gang) StopAnswered(worker string, now time.Time) []Step {
	p := g.part(worker)
	if p == nil || g.phase != Ending || now.Before(g.grace) || p.told {
		return nil
	}
	p.over = true
	return g.settleEnd(now)
}

func (g *Gang) afterReport(now time.Time) []Step {
	switch g.phase {
	case Holding, Claiming:
		return g.settleHold(now)
	case Starting, Running:
		if steps, ended := g.brokenOff(now); ended {
			return steps
		}
		g.settleStart()
		return g.settleDone(now)
	case Checking:
		return g.settleCheck(now)
	case Ending:
		return g.settleEnd(now)
	default:
		return nil
	}
}

// settleHold takes reports while the parts are held. The report of a hold may
// overtake the answer to it, or stand for one that was lost.
func (g *Gang) settleHold(now time.Time) []Step {
	for _, p := range g.parts {
		if p.over {
			return g.End(CauseNotStarted, p.worker, "the hold ended on "+p.worker, now)
		}
	}
	if g.phase == Claiming {
		return nil
	}
	return g.holdNext(now)
}

// brokenOff ends the gang if a part is over that did not succeed.
func (g *Gang) brokenOff(now time.Time) (steps []Step, ended bool) {
	for _, p := range g.parts {
		switch {
		case !p.over || p.task.State == target.Succeeded:
			continue
		case p.task.State == target.Failed:
			return g.EndSoftly(CauseCrashed, p.worker, "failed on "+p.worker+": "+p.task.Reason, now.Add(LossGrace), now), true
		default:
			return g.EndSoftly(CauseLost, p.worker, "member lost on "+p.worker+": "+p.task.Reason, now.Add(LossGrace), now), true
		}
	}
	return nil, false
}

func (g *Gang) settleDone(now time.Time) []Step {
	if !g.allSucceeded() {
		return nil
	}
	if g.fetchBy.IsZero() {
		g.fetchBy = now.Add(LeaseTime)
	}
	if g.answerPart().task.Answer.Whole() || !now.Before(g.fetchBy) {
		g.phase, g.cause = Over, CauseDone
	}
	return nil
}

// AnswerWanted returns the worker whose report must be asked for in full again,
// because the answer in it came cut or crossed; empty if there is none.
func (g *Gang) AnswerWanted() string {
	if g.phase == Over || !g.allSucceeded() || g.answerPart().task.Answer.Whole() {
		return ""
	}
	return g.answerPart().worker
}

func (g *Gang) allSucceeded() bool {
	for _, p := range g.parts {
		if p.task.State != target.Succeeded {
			return false
		}
	}
	return len(g.parts) == g.workers && len(g.parts) > 0
}

// answerPart returns the part of member 0.
func (g *Gang) answerPart() *part {
	for _, p := range g.parts {
		for _, grant := range p.grants {
			if grant.Member == 0 {
				return p
			}
		}
	}
	return g.parts[0]
}

// settleCheck goes back to Running if every part was seen to run or to have
// succeeded, ends the gang if one is seen to be over, and else waits.
func (g *Gang) settleCheck(now time.Time) []Step {
	all := len(g.parts) == g.workers
	for _, p := range g.parts {
		if p.over && p.task.State != target.Succeeded {
			steps, _ := g.brokenOff(now)
			return steps
		}
		all = all && p.seen && p.started
	}
	if !all {
		return nil
	}
	g.phase = Running
	for _, p := range g.parts {
		p.expires = now.Add(LeaseTime)
	}
	return g.settleDone(now)
}

// End stops the gang at once.
func (g *Gang) End(c Cause, worker, reason string, now time.Time) []Step {
	return g.end(c, worker, reason, now, now, false)
}

// EndSoftly lets the parts write checkpoints until the grace is over.
func (g *Gang) EndSoftly(c Cause, worker, reason string, grace, now time.Time) []Step {
	return g.end(c, worker, reason, grace, now, true)
}

func (g *Gang) end(c Cause, worker, reason string, grace, now time.Time, soft bool) []Step {
	cancelled := c == CauseCancel && g.cause != CauseCancel
	hardened := c == g.cause && g.soft && !soft
	if g.phase == Over || g.phase == Ending && !cancelled && !hardened {
		return nil
	}
	g.phase, g.cause, g.blame, g.reason = Ending, c, worker, reason
	g.ending, g.grace, g.soft = now, grace, soft
	for _, p := range g.parts {
		p.over = p.over || !p.asked
		p.stopAt = now
	}
	return g.settleEnd(now)
}

// settleEnd sends the stops that are due and ends the gang when every part is
// over.
func (g *Gang) settleEnd(now time.Time) []Step {
	var steps []Step
	over := true
	for _, p := range g.parts {
		if p.over {
			continue
		}
		if g.provenOver(p, now) {
			p.over = true
			continue
		}
		over = false
		if !now.Before(p.stopAt) {
			p.stopAt = now.Add(StopEvery)
			steps = append(steps, Step{Kind: Stop, Worker: p.worker, Stop: g.stop()})
		}
	}
	if over {
		g.settleOver(now)
	}
	return steps
}

// settleOver ends the gang. Parts that all succeeded before the stop reached
// them make it a success, if the answer can be had whole.
func (g *Gang) settleOver(now time.Time) {
	if g.allSucceeded() {
		g.settleDone(now)
		return
	}
	g.phase = Over
}

// provenOver reports whether time alone proves that nothing of a part runs: the
// worker counts the lease from the receipt of the last message, which was on
// its way for MessageMax at the most. A renewal whose answer was lost may have
// reached the worker and counts as well. A worker that can still be heard is given
// MessageMax to say how the part came out.
func (g *Gang) provenOver(p *part, now time.Time) bool {
	by := p.expires.Add(MessageMax)
	for _, t := range []time.Time{p.longest.Add(MessageMax), g.grace.Add(MessageMax), g.ending.Add(MessageMax)} {
		if t.After(by) {
			by = t
		}
	}
	return !now.Before(by)
}

func (g *Gang) stop() target.Stop {
	if !g.soft {
		return target.Stop{Lease: g.lease}
	}
	return target.Stop{Lease: g.lease, Checkpoint: true, Grace: g.grace}
}

// Ticked lets time pass: claims are asked again, late starts given up, lapsed
// leases checked, stops sent again.
func (g *Gang) Ticked(now time.Time) []Step {
	switch g.phase {
	case Holding, Claiming, Starting:
		if !now.Before(g.startBy) {
			return g.End(CauseNotStarted, g.unanswered(), "not all members answered in time", now)
		}
		if !g.claimAt.IsZero() && !now.Before(g.claimAt) {
			g.claimAt = time.Time{}
			return []Step{{Kind: Claim}}
		}
	case Running:
		if g.anyLapsed(now) {
			g.check(now)
			return nil
		}
		return g.settleDone(now)
	case Checking:
		if !now.Before(g.checkBy) {
			return g.End(CauseLost, g.unseen(), g.reason, now)
		}
	case Ending:
		return g.settleEnd(now)
	}
	return nil
}

func (g *Gang) anyLapsed(now time.Time) bool {
	for _, p := range g.parts {
		if !p.over && !now.Before(p.expires) {
			return true
		}
	}
	return false
}

// check forgets what is believed of the parts that run, after a pause or the
// silence of a worker; another placer may have adopted the gang meanwhile, so
// nothing is stopped yet.
func (g *Gang) check(now time.Time) {
	g.phase, g.checkBy, g.reason = Checking, now.Add(CheckFor), "a worker is silent"
	for _, p := range g.parts {
		p.seen = p.over
	}
}

func (g *Gang) unanswered() string {
	for _, p := range g.parts {
		if !p.started && (g.phase == Starting || p.asked && !p.held) {
			return p.worker
		}
	}
	return ""
}

func (g *Gang) unseen() string {
	for _, p := range g.parts {
		if !p.seen {
			return p.worker
		}
	}
	return ""
}

// Result says how the gang came out.
func (g *Gang) Result() Result {
	r := Result{Cause: g.cause, Worker: g.blame, Reason: g.reason, MayHaveRun: g.MayHaveRun()}
	if g.cause == CauseDone {
		r.Answer = g.answerPart().task.Answer
		r.Broken = !r.Answer.Whole()
	}
	return r
}
