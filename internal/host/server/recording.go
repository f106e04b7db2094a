package server

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"guavaglade.example/guavaglade/internal/host/retry"
	"guavaglade.example/guavaglade/internal/platform/budget"
	"guavaglade.example/guavaglade/internal/platform/ledger"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/gang"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/placer"
)

// budgetBurst is how many seconds' worth of the share may be spent at once.
const budgetBurst = 1.0

// sweepLimit bounds the ended rows that one sweep looks at.
const sweepLimit = 20

// openLedger makes the ledger with this host's share of the platform's budget.
func (n *Node) openLedger() error {
	var err error
	if n.writes, err = budget.New("writes", n.settings.PlatformWritesPerSecond(), budgetBurst); err != nil {
		return err
	}
	if n.reads, err = budget.New("reads", n.settings.PlatformReadsPerSecond(), budgetBurst); err != nil {
		return err
	}
	group := ledger.NewGroup(n.platform, ledger.WithBudgets(n.writes, n.reads))
	n.ledger = ledger.New(group, n.id, ledger.WithObjects(n.platform), ledger.WithRounds(gang.Round), ledger.WithReport(func(key string, err error) {
		n.metrics.Counter("rows_unreadable").Inc(1)
		n.log.Info("ledger", "step", "read", "row", key, "error", err.Error())
	}))
	n.pending = ledger.NewPending(n.ledger, ledger.WithDropped(func(j job.Job, err error) {
		n.log.Info("ledger", "step", "catchUp", "job", j.ID(), "error", err.Error())
	}))
	return nil
}

// shareBudget divides the platform's budget by the hosts that may use it.
func (n *Node) shareBudget(now time.Time) {
	hosts := n.members.Sharing(now)
	n.writes.Share(hosts, now)
	n.reads.Share(hosts, now)
}

// catchUp writes what could not be written while the platform was down.
func (n *Node) catchUp(ctx context.Context, _ time.Time) {
	n.metrics.Gauge("writes_pending").Update(float64(n.pending.Len()))
	if n.pending.Len() == 0 {
		return
	}
	n.spawn(func() {
		bounded, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		done, err := n.pending.CatchUp(bounded)
		if done > 0 || err != nil {
			n.log.Info("ledger", "step", "catchUp", "done", done, "left", n.pending.Len(), "error", errorText(err))
		}
	})
}

// sweep removes rows of jobs that ended long ago. One host of each zone does it.
func (n *Node) sweep(ctx context.Context, _ time.Time) {
	// What is said of a job that has ended is kept as long as its record.
	maps.DeleteFunc(n.durable, func(id job.ID, _ bool) bool {
		_, ok := n.entry.Record(id)
		return !ok
	})
	if n.placer == nil {
		return
	}
	n.spawn(func() {
		bounded, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		if s, err := n.ledger.Sweep(bounded, sweepLimit); err != nil || s.Removed > 0 {
			n.log.V(1).Info("ledger", "step", "sweep", "removed", s.Removed, "error", errorText(err))
		}
	})
}

// claim asks for the leave to start. If the job has ended already, what is
// recorded of it is given to the placer, so that its caller is told that.
func (n *Node) claim(ctx context.Context, term int, c placer.ClaimRow) {
	bounded, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	ev := placer.ClaimAnswered{Lease: c.Lease}
	var won ledger.Claim
	err := n.atPlatform(bounded, func(ctx context.Context) error {
		var err error
		won, err = n.ledger.ClaimJob(ctx, c.Job, c.Lease.Attempt)
		return err
	})
	ev.Won, ev.Attempt, ev.Err = won.Won, won.Attempt, err
	switch {
	case err != nil && c.Job.Repeatable():
		// A zone cut off from the platform goes on serving what may run twice.
		// Two placers may both start it then; the ledger takes one outcome.
		n.log.Info("claim", "step", "without", "job", c.Lease.Job, "error", err.Error())
		ev.Won, ev.Err = true, nil
	case err != nil:
		n.log.Info("claim", "step", "claim", "job", c.Lease.Job, "attempt", gang.Round(c.Lease.Attempt), "error", err.Error())
	case won.Ended:
		ev.Recorded, _, ev.Err = n.ledger.Outcome(bounded, c.Lease.Job)
	case won.Refused:
		ev.Recorded = job.Outcome{Job: c.Lease.Job, State: job.NotRun, Reason: "refused before by " + won.By}
	}
	n.placerEvent(ctx, term, ev)
	if err == nil && !won.Won && !won.Ended && !won.Refused && !c.Job.Repeatable() {
		n.askElsewhere(ctx, c.Job, won.By)
	}
}

// atPlatform calls the platform, again if that may help. That this host's share
// is spent says nothing against the platform and must not open its circuit: else
// a burst has jobs refused, as if the platform were down, that would have passed
// a moment later.
func (n *Node) atPlatform(ctx context.Context, op func(ctx context.Context) error) error {
	return n.retries.Do(ctx, platformPeer, func(ctx context.Context) error {
		err := op(ctx)
		var over *ledger.OverloadedError
		if errors.As(err, &over) {
			return &retry.LaterError{At: over.RetryAt, Err: err}
		}
		return err
	})
}

// Asking the zone of a claim's holder: it may be about to choose a new placer.
const (
	askElsewhereTimes = 10
	askElsewhereEvery = 500 * time.Millisecond
)

// askElsewhere gives a job whose claim is held in another zone to that zone's
// placer, which knows how it stands: a caller whose host died may ask again in
// another zone. Without this the outcome is told to nobody who still listens.
func (n *Node) askElsewhere(ctx context.Context, j job.Job, holder string) {
	zone, err := n.zoneOf(ctx, holder)
	if err != nil || zone == "" || zone == n.settings.Zone() {
		return
	}
	for range askElsewhereTimes {
		if err = n.submitTo(ctx, zone, j); err == nil || sleep(ctx, askElsewhereEvery) != nil {
			break
		}
	}
	n.log.Info("claim", "step", "askElsewhere", "job", j.ID(), "zone", zone, "error", errorText(err))
}

func (n *Node) submitTo(ctx context.Context, zone string, j job.Job) error {
	to := ""
	if err := n.ask(ctx, func() {
		if p, ok := n.members.Placer(zone, time.Now()); ok {
			to = idOf(p)
		}
	}); err != nil {
		return err
	}
	if to == "" {
		return fmt.Errorf("zone %s: %w", zone, errNoPlacer)
	}
	return n.call(ctx, to, "placer.submit", j, nil)
}

// errNoPlacer says that no live host of a zone is known.
var errNoPlacer = errors.New("no placer is known")

// zoneOf returns the zone of a host, dead ones included; empty if not known.
func (n *Node) zoneOf(ctx context.Context, id string) (zone string, err error) {
	err = n.ask(ctx, func() {
		for _, h := range n.members.Hosts(time.Now()) {
			if h.Address == addressOf(id) {
				zone = h.Zone
			}
		}
	})
	return zone, err
}

// recordOutcome writes the outcome of a job that must outlive its hosts. While
// the platform is down the outcome waits in memory, in order. A report that is
// fenced came late: what is recorded holds and the caller is told that.
func (n *Node) recordOutcome(ctx context.Context, c placer.Answer) (job.Outcome, error) {
	if !c.Job.NeedsClaim() {
		return c.Outcome, nil
	}
	bounded, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	err := n.ledger.Record(bounded, c.Job, c.Outcome)
	switch {
	case err == nil:
		return c.Outcome, nil
	case errors.Is(err, ledger.ErrFenced):
		return n.fenced(bounded, c)
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, table.ErrUnknown):
		return c.Outcome, n.pending.Record(c.Job, c.Outcome)
	default:
		return c.Outcome, err
	}
}

// fenced returns what holds instead of an outcome that came late. A job that may
// run once only is lost for good once its zone's placer has looked for its gang
// in vain: whoever held the claim is in this zone and died with it. Without this
// its caller is left waiting for an attempt that nobody has under way.
func (n *Node) fenced(ctx context.Context, c placer.Answer) (job.Outcome, error) {
	o, ok, err := n.ledger.Outcome(ctx, c.Job.ID())
	if err == nil && ok {
		return o, nil
	}
	if err == nil && c.Outcome.State == job.NotRun {
		// Another attempt was claimed and may have run, so this placer, which
		// has run nothing, cannot say that the job was not run.
		c.Outcome.State, c.Outcome.Reason = job.Lost, "another attempt may have run: "+c.Outcome.Reason
		if c.Job.Repeatable() {
			return c.Outcome, nil
		}
	}
	if err != nil || c.Outcome.State != job.Lost || c.Job.Repeatable() {
		return c.Outcome, errors.Join(errNotSettled, err)
	}
	stands, err := n.ledger.ClaimJob(ctx, c.Job, c.Outcome.Attempt)
	if err != nil || stands.Won || stands.Ended {
		return c.Outcome, errors.Join(errNotSettled, err)
	}
	zone, err := n.zoneOf(ctx, stands.By)
	if err != nil || zone != n.settings.Zone() {
		n.askElsewhere(ctx, c.Job, stands.By)
		return c.Outcome, errors.Join(errNotSettled, err)
	}
	o = c.Outcome
	o.Attempt = stands.Attempt
	return o, n.ledger.Record(ctx, c.Job, o)
}

// errNotSettled says that an outcome was fenced by a newer attempt that has
// none yet.
var errNotSettled = errors.New("a newer attempt is under way")

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
