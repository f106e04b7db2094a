package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/host/ticket"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/placer"
)

// TicketLife is how long a ticket can be spent.
const TicketLife = 10 * time.Minute

// Ticket issues a ticket that the account may spend on one request.
func (n *Node) Ticket(ctx context.Context, account string) (text string, deadline time.Time, err error) {
	deadline = time.Now().Add(TicketLife)
	askErr := n.ask(ctx, func() { text, err = n.tickets.Issue(account, deadline) })
	return text, deadline, errors.Join(askErr, err)
}

// submitTicketed spends the ticket here if this incarnation issued it, and
// passes the request on to the issuing host, and to no other, if not.
func (n *Node) submitTicketed(ctx context.Context, r Request, j job.Job, until time.Time) (View, error) {
	t, err := ticket.Read(r.Ticket)
	if err != nil {
		return View{}, refuse(http.StatusBadRequest, "ticket: %v", err)
	}
	issuer := t.Host() + "#" + strconv.FormatInt(t.Incarnation(), 10)
	if issuer == n.id {
		return n.spend(ctx, r, j, until)
	}
	return n.passOn(ctx, issuer, r, until)
}

func (n *Node) spend(ctx context.Context, r Request, j job.Job, until time.Time) (View, error) {
	var fresh bool
	var spent error
	now := time.Now()
	if err := n.ask(ctx, func() { fresh, spent = n.tickets.Spend(r.Ticket, r.Account, j.ID(), now) }); err != nil {
		return View{}, err
	}
	if spent != nil {
		return View{}, refuse(http.StatusConflict, "ticket: %v", spent)
	}
	if fresh {
		if err := n.Accept(ctx, j); err != nil {
			return View{}, err
		}
	}
	v, ok, err := n.Wait(ctx, j.ID(), until)
	if err == nil && !ok {
		err = refuse(http.StatusGone, "the ticket was spent and its job is no longer remembered")
	}
	return v, err
}

// ticketBody is a ticketed request on its way to the host that issued the ticket.
type ticketBody struct {
	Request Request   `json:"request"`
	Account string    `json:"account"`
	Until   time.Time `json:"until,omitzero"`
}

type ticketAnswer struct {
	View    View     `json:"view"`
	Refused *Refusal `json:"refused,omitempty"`
}

func (n *Node) passOn(ctx context.Context, issuer string, r Request, until time.Time) (View, error) {
	body := ticketBody{Request: r, Account: r.Account, Until: until}
	bounded, cancel := context.WithDeadline(ctx, later(until, time.Now()).Add(callTime))
	defer cancel()
	var a ticketAnswer
	// Without an answer it is not known whether the ticket was spent, so the
	// caller is not told that its request was not run.
	if err := n.net.Call(bounded, addressOf(issuer), "ticket.submit", body, &a); err != nil {
		return View{}, fmt.Errorf("the ticket's host did not answer, ask again with the same request id and ticket: %w", err)
	}
	if a.Refused != nil {
		return View{}, a.Refused
	}
	return a.View, nil
}

func (n *Node) handleTicketSubmit(ctx context.Context, b ticketBody) (any, error) {
	r := b.Request
	r.Account = b.Account
	v, err := n.Submit(ctx, r, b.Until)
	var no *Refusal
	if errors.As(err, &no) {
		return ticketAnswer{Refused: no}, nil
	}
	return ticketAnswer{View: v}, err
}

// leaveBody asks the host that issued a ticket for the leave to start its job.
type leaveBody struct {
	Ticket string       `json:"ticket"`
	Lease  target.Lease `json:"lease"`
	By     string       `json:"by"`
}

func (n *Node) claimTicket(ctx context.Context, term int, c placer.ClaimTicket) {
	ev := placer.ClaimAnswered{Lease: c.Lease}
	t, err := ticket.Read(c.Job.Ticket())
	if err == nil {
		issuer := t.Host() + "#" + strconv.FormatInt(t.Incarnation(), 10)
		var a struct {
			Won bool `json:"won"`
		}
		err = n.call(ctx, issuer, "ticket.claim", leaveBody{Ticket: c.Job.Ticket(), Lease: c.Lease, By: n.id}, &a)
		ev.Won = a.Won
	}
	ev.Err = err
	n.placerEvent(ctx, term, ev)
}

func (n *Node) handleTicketClaim(ctx context.Context, b leaveBody) (any, error) {
	var won bool
	var refused error
	err := n.ask(ctx, func() { won, refused = n.tickets.Claim(b.Ticket, b.Lease, b.By) })
	return struct {
		Won bool `json:"won"`
	}{won}, errors.Join(err, refused)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
