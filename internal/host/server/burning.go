package server

import (
	"context"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/report/burn"
)

// burnKept is the longest window of the burn report.
const burnKept = 6 * time.Hour

// Burn returns the burn report of all hosts that answer.
func (n *Node) Burn(ctx context.Context) (burn.Report, error) {
	now := time.Now()
	var objectives burn.Objectives
	var peers []string
	if err := n.ask(ctx, func() {
		objectives = burn.ObjectivesOf(n.config.Config())
		peers = n.peerIDs("", now)
	}); err != nil {
		return burn.Report{}, err
	}
	own, err := n.ownBurn(ctx, now)
	if err != nil {
		return burn.Report{}, err
	}
	all := append([]burn.Snapshot{own}, gather[burn.Snapshot](ctx, n, peers, "burn.snapshot", struct{}{})...)
	merged, err := burn.Merge(all...)
	if err != nil {
		// What would mislead is left out; the report of the others is given.
		n.metrics.Counter("peer_bad_input").Inc(1)
		n.log.Info("burn", "step", "merge", "error", err.Error())
	}
	return merged.Report(now, objectives)
}

// ownBurn returns what this host has counted, together with what hosts that
// stopped as planned have handed over to it.
func (n *Node) ownBurn(ctx context.Context, now time.Time) (burn.Snapshot, error) {
	var all []burn.Snapshot
	if err := n.ask(ctx, func() {
		n.inherited = slices.DeleteFunc(n.inherited, func(s burn.Snapshot) bool { return now.Sub(s.At) > burnKept })
		all = append(all, n.inherited...)
	}); err != nil {
		return burn.Snapshot{}, err
	}
	return burn.Merge(append(all, n.burn.Snapshot(now))...)
}
