package gang

import (
	"errors"
	"sort"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Times of the protocol.
const (
	LeaseTime  = 10 * time.Second       // from a hold or a renewal to the lapse
	MessageMax = 2 * time.Second        // the longest that a message is on its way, as assumed
	StartBy    = 6 * time.Second        // from the first hold until all starts must be acknowledged
	CheckFor   = 4 * time.Second        // how long a check waits for the workers
	StopEvery  = time.Second            // between two sendings of the same stop
	ClaimEvery = 500 * time.Millisecond // between two askings of the same claim
	LossGrace  = 2 * time.Second        // for the checkpoints of a gang that lost a member
)

// Phase is where a gang stands.
type Phase int

// The phases.
const (
	Holding Phase = iota
	Claiming
	Starting
	Running
	Checking
	Ending
	Over
)

// Kind is what a step asks for.
type Kind int

// The kinds of steps.
const (
	Hold Kind = iota
	Claim
	Start
	Stop
)

// Step is one thing to be sent.
type Step struct {
	Kind     Kind
	Worker   string      // empty for Claim
	Stop     target.Stop // for Stop
	Deadline time.Time   // for Hold and Start: the lease's, as the holder counts it
}

// Gang is one attempt to run one job. Make it with New or Found.
type Gang struct {
	job     job.Job
	lease   target.Lease
	place   cell.Assignment
	workers int     // how many the whole gang stands on; more than parts while some are unknown
	parts   []*part // sorted by worker
	phase   Phase
	cause   Cause // why it is ending
	blame   string
	reason  string
	claimed bool      // a claim is won or not needed
	claimAt time.Time // when the claim is asked again; zero while it is asked
	startBy time.Time // all starts acknowledged by then, or it is stopped
	checkBy time.Time // valid while checking
	ending  time.Time // when the ending began
	grace   time.Time // when a graceful stop must be done; zero: at once
	soft    bool      // checkpoint before the stop
	fetchBy time.Time // a broken answer is fetched until then
}

// New returns a gang about to be held, and its first steps. needsClaim says
// that a claim must be won between the last hold and the first start.
func New(j job.Job, l target.Lease, a cell.Assignment, needsClaim bool, now time.Time) (*Gang, []Step) {
	g := &Gang{job: j, lease: l, place: a, claimed: !needsClaim, startBy: now.Add(StartBy)}
	for _, w := range a.Workers() {
		g.parts = append(g.parts, &part{worker: w, grants: a.On(w), expires: now.Add(LeaseTime)})
	}
	g.workers = len(g.parts)
	g.order()
	return g, g.holdNext(now)
}

// Found returns a gang that a worker reported and nobody here has started. Its
// workers are waited for until CheckFor has passed.
func Found(t target.Task, now time.Time) *Gang {
	return &Gang{
		job: t.Job, lease: t.Lease, workers: t.Workers, claimed: true,
		phase: Checking, checkBy: now.Add(CheckFor), cause: CauseLost, reason: "found incomplete at a takeover",
	}
}

func (g *Gang) order() {
	sort.Slice(g.parts, func(i, j int) bool { return g.parts[i].worker < g.parts[j].worker })
}

// Job returns the job that the gang runs.
func (g *Gang) Job() job.Job { return g.job }

// Lease returns the lease that all parts are under.
func (g *Gang) Lease() target.Lease { return g.lease }

// Phase returns where the gang stands.
func (g *Gang) Phase() Phase { return g.phase }

// Workers returns the ids of the workers that are known to have a part, sorted.
func (g *Gang) Workers() []string {
	ids := make([]string, 0, len(g.parts))
	for _, p := range g.parts {
		ids = append(ids, p.worker)
	}
	return ids
}

// HoldOn returns what the worker is asked to hold.
func (g *Gang) HoldOn(worker string) target.Hold {
	p := g.part(worker)
	return target.Hold{Lease: g.lease, Job: g.job, Grants: p.grants, Workers: g.workers, Expires: p.expires}
}

// Place returns the gang's place, in the order of the members; of a found gang
// what the workers have reported so far.
func (g *Gang) Place() cell.Assignment {
	if g.place != nil {
		return g.place
	}
	var a cell.Assignment
	for _, p := range g.parts {
		a = append(a, p.grants...)
	}
	sort.Slice(a, func(i, j int) bool { return a[i].Member < a[j].Member })
	return a
}

// Since returns when the first part started by its worker's clock, the zero
// time if that is not known.
func (g *Gang) Since() time.Time {
	var first time.Time
	for _, p := range g.parts {
		if s := p.task.Since; !s.IsZero() && (first.IsZero() || s.Before(first)) {
			first = s
		}
	}
	return first
}

// MayHaveRun reports whether any part may have run.
func (g *Gang) MayHaveRun() bool {
	for _, p := range g.parts {
		if p.mayHaveRun() {
			return true
		}
	}
	return g.workers > len(g.parts)
}

func (g *Gang) part(worker string) *part {
	for _, p := range g.parts {
		if p.worker == worker {
			return p
		}
	}
	return nil
}

// holdNext asks for the first part that was not asked for; when all are held it
// goes on to the claim or the start.
func (g *Gang) holdNext(now time.Time) []Step {
	for _, p := range g.parts {
		if !p.asked {
			p.asked = true
			return []Step{{Kind: Hold, Worker: p.worker, Deadline: p.expires}}
		}
		if !p.held {
			return nil
		}
	}
	if !g.claimed {
		g.phase = Claiming
		return []Step{{Kind: Claim}}
	}
	return g.startAll(now)
}

// startAll sends every start. A holder that was paused finds its deadline
// passed here: the workers may have given the room away, so nothing is sent.
func (g *Gang) startAll(now time.Time) []Step {
	if !now.Before(g.startBy) {
		return g.End(CauseNotStarted, "", "held too late to start", now)
	}
	g.phase = Starting
	var steps []Step
	for _, p := range g.parts {
		p.told = true
		steps = append(steps, Step{Kind: Start, Worker: p.worker, Deadline: g.startBy})
	}
	return steps
}

// Held takes a worker's answer to a hold. An answer that was lost counts as
// maybe held: the part is released like the others.
func (g *Gang) Held(worker string, err error, now time.Time) []Step {
	p := g.part(worker)
	if p == nil || g.phase != Holding || !p.asked {
		return nil
	}
	if err != nil && !p.held {
		p.over = errors.Is(err, target.ErrRefused) || errors.Is(err, target.ErrUnreached)
		return g.End(CauseNotStarted, worker, "hold: "+err.Error(), now)
	}
	p.held = true
	return g.holdNext(now)
}

// Claimed takes what became of the claim. Not known, it is asked again, never
// guessed.
func (g *Gang) Claimed(won bool, err error, now time.Time) []Step {
	if g.phase != Claiming {
		return nil
	}
	if err != nil {
		g.claimAt = now.Add(ClaimEvery)
		return nil
	}
	if !won {
		return g.End(CauseClaimedElsewhere, "", "another placer holds the claim", now)
	}
	g.claimed = true
	return g.startAll(now)
}

// StartAnswered takes a worker's answer to a start. A lost answer is settled by
// the worker's report or by the deadline.
func (g *Gang) StartAnswered(worker string, err error, now time.Time) []Step {
	p := g.part(worker)
	if p == nil || !p.told {
		return nil
	}
	switch {
	case err == nil:
		p.started = true
		return g.settleStart()
	case errors.Is(err, target.ErrUnknown):
		return nil
	case p.started:
		// A doubled start is answered by a refusal after the first copy ran.
		return nil
	case errors.Is(err, target.ErrRefused):
		p.refused = true
	case errors.Is(err, target.ErrUnreached):
		p.told = false
	}
	if g.phase != Starting {
		return nil
	}
	return g.End(CauseNotStarted, worker, "start: "+err.Error(), now)
}

func (g *Gang) settleStart() []Step {
	if g.phase != Starting {
		return nil
	}
	for _, p := range g.parts {
		if !p.started {
			return nil
		}
	}
	g.phase = Running
	return nil
}

// Renewable reports whether the gang's lease on the worker may be renewed: all
// parts were started and none is known to be over before its time, and the
// stored deadlines have not passed.
func (g *Gang) Renewable(worker string, now time.Time) bool {
	graceful := g.phase == Ending && g.soft && g.cause == CauseReclaim && now.Before(g.grace)
	p := g.part(worker)
	if g.phase != Running && !graceful || p == nil || p.over || !now.Before(p.expires) {
		return false
	}
	return true
}

// Asked notes that a renewal with the deadline is sent to the worker. Until it is
// answered the holder must not believe in it, and must not believe that the
// lease ends before it either.
func (g *Gang) Asked(worker string, expires time.Time) {
	if p := g.part(worker); p != nil && expires.After(p.longest) {
		p.longest = expires
	}
}

// Renewed notes the holder's new deadline of the part on the worker.
func (g *Gang) Renewed(worker string, expires time.Time) {
	if p := g.part(worker); p != nil && expires.After(p.expires) {
		p.expires = expires
	}
}
