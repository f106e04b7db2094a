package server

import (
	"context"
	"time"

	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/work/job"
)

// maxCopies bounds the jobs that a host keeps for others.
const maxCopies = 4096

// copyBody asks a host of the zone to keep a job that could not be made durable.
type copyBody struct {
	Job  job.Job `json:"job"`
	Drop bool    `json:"drop,omitempty"` // the job is over
}

// copyAway has one more host of the zone keep a job that is not durable, so
// that the death of its entry does not lose it.
func (n *Node) copyAway(ctx context.Context, j job.Job) {
	for _, id := range n.copyHolders(ctx) {
		if err := n.call(ctx, id, "entry.copy", copyBody{Job: j}, nil); err == nil {
			return
		}
	}
	n.log.Info("job", "job", j.ID(), "step", "copy", "error", "no other host of the zone took a copy")
}

func (n *Node) copyHolders(ctx context.Context) (ids []string) {
	if err := n.ask(ctx, func() { ids = n.peerIDs(n.settings.Zone(), time.Now()) }); err != nil {
		return nil
	}
	return ids
}

// dropCopies tells the zone's hosts that a job which was not durable is over.
func (n *Node) dropCopies(ctx context.Context, j job.Job) {
	for _, id := range n.copyHolders(ctx) {
		if err := n.call(ctx, id, "entry.copy", copyBody{Job: j, Drop: true}, nil); err != nil {
			n.log.V(1).Info("job", "job", j.ID(), "step", "dropCopy", "peer", id, "error", err.Error())
		}
	}
}

// keepCopy is what the other host does about a copy, from the loop.
func (n *Node) keepCopy(b copyBody) {
	if b.Drop {
		delete(n.copies, b.Job.ID())
		return
	}
	if len(n.copies) < maxCopies {
		n.copies[b.Job.ID()] = b.Job
	}
}

// adoptCopies takes over the copied jobs whose entry is gone.
func (n *Node) adoptCopies(ctx context.Context, live map[string]bool, now time.Time) {
	for id, j := range n.copies {
		if live[j.Entry()] {
			continue
		}
		delete(n.copies, id)
		n.log.Info("job", "job", id, "step", "adopt", "peer", j.Entry())
		n.stepEntry(ctx, intake.Accepted{Job: j.AdoptedBy(n.id), Adopted: true}, now)
	}
}
