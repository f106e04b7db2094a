package server

import (
	"context"
	"time"

	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/work/job"
)

// adoptOrphans takes over jobs whose entry is gone: those that it keeps a copy
// of and, if it places, the durable ones of its zone. Two hosts that adopt at
// once would only both answer.
func (n *Node) adoptOrphans(ctx context.Context, now time.Time) {
	if n.stopping || n.members.Stale(now) {
		return
	}
	live := map[string]bool{n.id: true}
	for _, id := range n.peerIDs("", now) {
		live[id] = true
	}
	n.adoptCopies(ctx, live, now)
	if n.placer == nil {
		return
	}
	n.spawn(func() {
		bounded, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		jobs, err := n.ledger.Unfinished(bounded, n.settings.Zone())
		if err != nil {
			n.log.V(1).Info("adopt", "step", "list", "error", err.Error())
			return
		}
		for _, j := range jobs {
			if !live[j.Entry()] {
				n.post(ctx, func() { n.adoptDurable(ctx, j, time.Now()) })
			}
		}
	})
}

func (n *Node) adoptDurable(ctx context.Context, j job.Job, now time.Time) {
	if _, ok := n.entry.Record(j.ID()); ok {
		return
	}
	n.log.Info("job", "job", j.ID(), "step", "adopt", "peer", j.Entry())
	n.durable[j.ID()] = true
	n.stepEntry(ctx, intake.Accepted{Job: j.AdoptedBy(n.id), Adopted: true}, now)
}
