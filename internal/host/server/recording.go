package server

import (
	"context"
	"errors"
	"time"

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
	err := n.retries.Do(bounded, platformPeer, func(ctx context.Context) error {
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
		return n.fencedOutcome(bounded, c.Outcome)
	case errors.Is(err, table.ErrUnavailable), errors.Is(err, table.ErrUnknown):
		return c.Outcome, n.pending.Record(c.Job, c.Outcome)
	default:
		return c.Outcome, err
	}
}

// fencedOutcome returns what holds instead of an outcome that the ledger did not
// take. A placer that has not run the job cannot say so if another attempt was
// claimed: that one may have run, and has left no outcome.
func (n *Node) fencedOutcome(ctx context.Context, own job.Outcome) (job.Outcome, error) {
	o, ok, err := n.ledger.Outcome(ctx, own.Job)
	switch {
	case err == nil && ok:
		return o, nil
	case err == nil && own.State == job.NotRun:
		own.State, own.Reason = job.Lost, "another attempt was claimed and may have run: "+own.Reason
		return own, nil
	default:
		return own, errors.Join(errNotSettled, err)
	}
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
