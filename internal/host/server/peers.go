package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/host/peer"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/placer"
)

// errNotPlacer says that this host does not place for its zone.
var errNotPlacer = errors.New("not the placer")

// handle answers a peer's call. Its context ends with the peer's connection,
// so what is begun for good is begun without it.
func (n *Node) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	n.metrics.Tagged(map[string]string{"method": method}).Counter("peer_calls").Inc(1)
	keep := context.WithoutCancel(ctx)
	switch method {
	case "member.beat":
		return n.handleBeat(ctx, params)
	case "placer.submit":
		var j job.Job
		return n.toPlacer(ctx, params, &j, func(now time.Time) { n.stepPlacer(keep, placer.Submitted{Job: j}, now) })
	case "placer.cancel":
		var b struct {
			Job job.ID `json:"job"`
		}
		return n.toPlacer(ctx, params, &b, func(now time.Time) { n.stepPlacer(keep, placer.CancelAsked{Job: b.Job}, now) })
	case "burn.snapshot":
		return n.ownBurn(ctx, time.Now())
	case "keeper.ask":
		return n.handleAsk(ctx, params)
	case "placer.kept":
		var b resultBody
		return n.toEntry(ctx, params, &b, func(now time.Time) { n.kept(keep, b, now) })
	case "placer.confirm":
		return n.handleConfirm(ctx, params)
	case "placer.view":
		var v ZoneView
		_, err := n.toPlacer(ctx, params, &struct{}{}, func(now time.Time) { v = n.zoneView(now) })
		return v, err
	case "entry.outcome":
		var b outcomeBody
		return n.toEntry(ctx, params, &b, func(now time.Time) { n.outcomeArrived(keep, b, now) })
	case "entry.told":
		var lines []toldBody
		return n.toEntry(ctx, params, &lines, func(now time.Time) {
			for _, l := range lines {
				n.stepEntry(keep, intake.Told(l), now)
			}
		})
	case "entry.cancel":
		var b struct {
			Job job.ID `json:"job"`
		}
		return n.toEntry(ctx, params, &b, func(now time.Time) { n.stepEntry(keep, intake.CancelAsked{Job: b.Job}, now) })
	case "entry.placerBegun":
		var b placerBegunBody
		return n.toEntry(ctx, params, &b, func(now time.Time) { n.stepEntry(keep, intake.PlacerBegun(b), now) })
	case "entry.adopt":
		var b adoptBody
		_, err := n.toEntry(ctx, params, &b, func(now time.Time) { n.adopt(keep, b, now) })
		return adoptAnswer{CallerAddress: n.settings.CallerAddress()}, err
	case "entry.copy":
		var b copyBody
		return n.toEntry(ctx, params, &b, func(time.Time) { n.keepCopy(b) })
	case "ticket.submit":
		var b ticketBody
		if err := n.read(method, params, &b); err != nil {
			return nil, err
		}
		return n.handleTicketSubmit(ctx, b)
	case "ticket.claim":
		var b leaveBody
		if err := n.read(method, params, &b); err != nil {
			return nil, err
		}
		return n.handleTicketClaim(ctx, b)
	case "entry.find":
		return n.handleFind(ctx, params)
	case "entry.list":
		return n.handleList(ctx, params)
	case "config.get":
		c, _, err := n.InForceText(ctx)
		return c, err
	case "fleet.targets":
		var ts []table.Target
		err := n.ask(ctx, func() { ts = n.targets })
		return ts, err
	default:
		return nil, fmt.Errorf("%s: %w", method, peer.ErrNoMethod)
	}
}

func (n *Node) handleFind(ctx context.Context, params json.RawMessage) (any, error) {
	var b findBody
	if err := n.read("entry.find", params, &b); err != nil {
		return nil, err
	}
	v, ok, err := n.Wait(ctx, b.Job, b.Until)
	if err != nil || !ok {
		return nil, err
	}
	return v, nil
}

func (n *Node) handleList(ctx context.Context, params json.RawMessage) (any, error) {
	var b listBody
	if err := n.read("entry.list", params, &b); err != nil {
		return nil, err
	}
	return n.ownJobs(ctx, b.Account)
}

func (n *Node) toPlacer(ctx context.Context, params json.RawMessage, into any, f func(now time.Time)) (any, error) {
	if err := n.read("placer", params, into); err != nil {
		return nil, err
	}
	refused := error(nil)
	err := n.ask(ctx, func() {
		if n.placer == nil {
			refused = errNotPlacer
			return
		}
		f(time.Now())
	})
	return struct{}{}, errors.Join(err, refused)
}

func (n *Node) toEntry(ctx context.Context, params json.RawMessage, into any, f func(now time.Time)) (any, error) {
	if err := n.read("entry", params, into); err != nil {
		return nil, err
	}
	err := n.ask(ctx, func() { f(time.Now()) })
	return struct{}{}, err
}

// read parses what a peer sent. Bad input is counted and refused to its sender.
func (n *Node) read(step string, params json.RawMessage, into any) error {
	if err := json.Unmarshal(params, into); err != nil {
		n.metrics.Counter("peer_bad_input").Inc(1)
		return fmt.Errorf("%s: %w: %w", step, peer.ErrBadParams, err)
	}
	return nil
}
