package machine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/host/ticket"
	"guavaglade.example/guavaglade/internal/platform/ledger"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/placer"
)

// step steps the placer and carries its commands out. Now and then the process
// is frozen between the decision and the sending.
func (h *host) step(ev placer.Event) {
	if h.placer == nil {
		return
	}
	for _, c := range h.placer.Step(ev, h.w.now) {
		if h.w.chance(h.w.noise.slow / 10) {
			h.pausedUntil = h.w.now.Add(time.Duration(h.w.rnd.Int64N(int64(12 * time.Second))))
		}
		h.guard(func() { h.carry(c) })()
	}
}

func (h *host) carry(c placer.Command) {
	switch c := c.(type) {
	case placer.HoldOn:
		h.hold(c)
	case placer.ClaimRow:
		h.claim(c)
	case placer.ClaimTicket:
		h.claimTicket(c)
	case placer.StartOn:
		h.start(c)
	case placer.RenewOn:
		h.renew(c)
	case placer.StopOn:
		h.stop(c)
	case placer.Answer:
		h.answer(c)
	case placer.Tell:
		h.w.logf("%s tells of %s: %s: %s", h.id(), c.Job.ID(), c.Step, c.Text)
	}
}

func (h *host) hold(c placer.HoldOn) {
	k, ttl := h.w.worker(c.Worker), c.Hold.Expires.Sub(h.w.now)
	if ttl <= 0 {
		return
	}
	ask := func(err error) func() {
		if h.w.broken.ignoreRefusals {
			err = nil
		}
		return h.guard(func() { h.step(placer.HoldAnswered{Worker: c.Worker, Lease: c.Hold.Lease, Err: err}) })
	}
	h.w.call(h.node, k.node, callTime, func() func() { return ask(k.hold(c.Hold, ttl)) }, ask(target.ErrUnknown))
}

func (h *host) start(c placer.StartOn) {
	if !h.w.now.Before(c.Deadline) && !h.w.broken.ignoreDeadline {
		return
	}
	k := h.w.worker(c.Worker)
	ask := func(err error) func() {
		if h.w.broken.ignoreStartErrors {
			err = nil
		}
		return h.guard(func() { h.step(placer.StartAnswered{Worker: c.Worker, Lease: c.Lease, Err: err}) })
	}
	h.w.call(h.node, k.node, callTime, func() func() { return ask(k.start(c.Lease, c.Deadline, h)) }, ask(target.ErrUnknown))
}

func (h *host) stop(c placer.StopOn) {
	k := h.w.worker(c.Worker)
	h.w.call(h.node, k.node, callTime, func() func() {
		err := k.Stop(c.Stop.Lease, c.Stop.Checkpoint, max(0, c.Stop.Grace.Sub(h.w.now)), h.w.now)
		k.changed()
		return h.guard(func() { h.step(placer.StopAnswered{Worker: c.Worker, Lease: c.Stop.Lease, Err: err}) })
	}, func() {})
}

func (h *host) renew(c placer.RenewOn) {
	k := h.w.worker(c.Worker)
	ttl, until := c.Renewal.Expires.Sub(h.w.now), c.Renewal.Wait
	if until.IsZero() {
		until = h.w.now
	}
	ev := placer.Reported{Worker: c.Worker, Renewed: c.Renewal.Leases, Expires: c.Renewal.Expires}
	answered := false
	arrive := func(rep target.Report) {
		answered, ev.Report = true, rep
		h.hearLeaving("word "+c.Worker, rep.Leaving)
		ev.Report.Leaving = rep.Leaving && !h.w.broken.ignoreLeaving
		h.step(ev)
	}
	h.w.send(h.node, k.node, func() {
		if ttl <= 0 {
			return
		}
		k.renew(c.Renewal, ttl, until, func(rep target.Report) {
			switch {
			case h.w.chance(h.w.noise.lose):
				rep = cut(rep)
				if h.w.broken.ignoreDigest {
					rep = mend(rep)
				}
			case h.w.chance(h.w.noise.double / 2):
				rep = h.w.workers[h.w.rnd.IntN(len(h.w.workers))].Renew(nil, 0, 0, h.w.now) // crossed with another's
				if h.w.broken.ignoreSender {
					rep.Worker = c.Worker
				}
			}
			h.w.send(k.node, h.node, h.guard(func() { arrive(rep) }))
		})
	})
	h.w.at(until.Add(callTime), h.guard(func() {
		if !answered {
			ev.Err = target.ErrUnknown
			h.step(ev)
		}
	}))
}

func (h *host) claim(c placer.ClaimRow) {
	h.w.platform.ask(h, func(err error) func() {
		ev := placer.ClaimAnswered{Lease: c.Lease, Err: err}
		if err == nil {
			ev = h.claimRow(c)
		}
		if h.w.broken.guessClaims && ev.Err != nil || h.w.broken.skipClaims {
			ev.Won, ev.Err = true, nil
		}
		return func() { h.step(ev) }
	})
}

// claimRow asks the ledger, for which the platform's answers are there or lost at
// once: it is given no time to ask again.
func (h *host) claimRow(c placer.ClaimRow) placer.ClaimAnswered {
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	claim, err := h.ledger.ClaimJob(ctx, c.Job, c.Lease.Attempt)
	h.w.logf("%s claims %s: %+v, %v", h.id(), c.Lease, claim, err)
	ev := placer.ClaimAnswered{Lease: c.Lease, Won: claim.Won, Attempt: claim.Attempt, Err: err}
	switch {
	case err != nil:
	case claim.Ended:
		ev.Recorded, _, ev.Err = h.ledger.Outcome(ctx, c.Job.ID())
	case claim.Refused:
		ev.Recorded = job.Outcome{Job: c.Job.ID(), State: job.NotRun, Reason: "refused before"}
	}
	return ev
}

func (h *host) claimTicket(c placer.ClaimTicket) {
	fail := func() { h.step(placer.ClaimAnswered{Lease: c.Lease, Err: table.ErrUnavailable}) }
	t, err := ticket.Read(c.Job.Ticket())
	if err != nil {
		panic(err)
	}
	to := h.w.hostOf(fmt.Sprintf("%s#%d", t.Host(), t.Incarnation()))
	if to == nil {
		h.w.after(callTime, h.guard(fail))
		return
	}
	by := h.id()
	if h.w.broken.skipTickets {
		by = ""
	}
	h.call(to, func() func() {
		won, err := to.book.Claim(c.Job.Ticket(), c.Lease, by)
		if h.w.broken.skipTickets {
			won = true
		}
		return func() { h.step(placer.ClaimAnswered{Lease: c.Lease, Won: won, Err: err}) }
	}, fail)
}

// answer records the outcome of a job that needs a claim, as the server does,
// and gives what is recorded to the entry. While the platform is down it gives
// the outcome unrecorded.
func (h *host) answer(c placer.Answer) {
	if !c.Job.NeedsClaim() {
		h.deliver(c)
		return
	}
	h.w.platform.ask(h, func(err error) func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
		defer cancel()
		if err == nil {
			err = h.ledger.Record(ctx, c.Job, c.Outcome)
		}
		if errors.Is(err, ledger.ErrFenced) {
			o, ok, err := h.ledger.Outcome(ctx, c.Job.ID())
			if err != nil || !ok {
				return func() {}
			}
			c.Outcome = o
		}
		return func() { h.deliver(c) }
	})
}

// deliver gives an outcome to the entry; one that the entry does not know any
// more is taken as well.
func (h *host) deliver(c placer.Answer) {
	to := h.w.hostOf(c.Job.Entry())
	if to == nil {
		return
	}
	from := h.id()
	h.call(to, func() func() {
		if h.w.broken.trustAnyRefusal {
			from = to.trustAll(c)
		}
		to.enter(intake.OutcomeArrived{Placer: from, Outcome: c.Outcome})
		if r, ok := to.entry.Record(c.Job.ID()); ok && !r.State().Final() {
			return nil
		}
		return func() { h.step(placer.OutcomeTaken{Job: c.Job.ID(), Entry: c.Job.Entry()}) }
	}, func() {})
}

// trustAll takes a refusal as if every other placer had refused as well, and
// returns the one that the entry asks as the sender.
func (h *host) trustAll(c placer.Answer) string {
	current := h.asks(c.Job.ID())
	for _, o := range h.w.hosts {
		for inc := range o.inc + 1 {
			if from := o.idOf(inc); from != current && c.Outcome.State == job.NotRun {
				h.enter(intake.OutcomeArrived{Placer: from, Outcome: c.Outcome})
			}
		}
	}
	return current
}

// asks returns the placer that the entry asks for a job.
func (h *host) asks(id job.ID) string {
	zone := h.zone
	if r, ok := h.entry.Record(id); ok && r.Job().Hops() > 0 {
		zone = map[string]string{"a": "b", "b": "a"}[h.zone]
	}
	p, _ := h.table.Placer(zone, h.w.now)
	return fmt.Sprintf("%s#%d", p.Address, p.Incarnation)
}

func (w *world) worker(id string) *worker {
	for _, k := range w.workers {
		if k.name == id {
			return k
		}
	}
	panic("no worker " + id)
}
