package server

import (
	"context"
	"encoding/json"
	"time"

	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/placer"
)

// confirmBody asks a placer whether it still has an entry's jobs.
type confirmBody struct {
	Entry string   `json:"entry"`
	Jobs  []job.ID `json:"jobs"`
}

// confirmAnswer names those that it does not know and must be given again.
type confirmAnswer struct {
	Unknown []job.ID `json:"unknown,omitempty"`
}

// confirm asks the placer for a job that it took before, by its id, together
// with all others that are due. Whole jobs given again every few seconds would
// be most of what hosts send to each other once many jobs run.
func (n *Node) confirm(ctx context.Context, c intake.Give) {
	_, sending := n.confirming[c.Placer]
	n.confirming[c.Placer] = append(n.confirming[c.Placer], c)
	if !sending {
		n.spawn(func() { n.sendConfirm(ctx, c.Placer) })
	}
}

func (n *Node) sendConfirm(ctx context.Context, to string) {
	var due []intake.Give
	if err := n.ask(ctx, func() {
		due = n.confirming[to]
		delete(n.confirming, to)
	}); err != nil {
		return
	}
	body := confirmBody{Entry: n.id}
	for _, c := range due {
		body.Jobs = append(body.Jobs, c.Job.ID())
	}
	var a confirmAnswer
	if err := n.call(ctx, to, "placer.confirm", body, &a); err != nil {
		a.Unknown = body.Jobs
	}
	unknown := make(map[job.ID]bool, len(a.Unknown))
	for _, id := range a.Unknown {
		unknown[id] = true
	}
	n.post(ctx, func() { n.confirmed(ctx, due, unknown) })
}

func (n *Node) confirmed(ctx context.Context, due []intake.Give, unknown map[job.ID]bool) {
	for _, c := range due {
		if unknown[c.Job.ID()] {
			n.spawn(func() { n.give(ctx, c) })
			continue
		}
		n.stepEntry(ctx, intake.Taken{Job: c.Job.ID(), Placer: c.Placer}, time.Now())
	}
}

func (n *Node) handleConfirm(ctx context.Context, params json.RawMessage) (any, error) {
	var b confirmBody
	var a confirmAnswer
	keep := context.WithoutCancel(ctx)
	_, err := n.toPlacer(ctx, params, &b, func(now time.Time) {
		for _, id := range b.Jobs {
			j, ok := n.placer.Job(id)
			if !ok {
				a.Unknown = append(a.Unknown, id)
				continue
			}
			n.stepPlacer(keep, placer.Submitted{Job: j.AdoptedBy(b.Entry)}, now)
		}
	})
	return a, err
}
