package server

import (
	"context"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/guarantee"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
)

// ZoneView is what a zone's placer knows of its fleet.
type ZoneView struct {
	Zone        string          `json:"zone"`
	Placer      string          `json:"placer,omitempty"`
	Error       string          `json:"error,omitempty"` // why the placer could not be asked
	Waiting     int             `json:"waiting"`         // jobs in the queue
	Workers     []WorkerView    `json:"workers,omitempty"`
	Quarantined []string        `json:"quarantined,omitempty"`
	Guarantees  []GuaranteeView `json:"guarantees,omitempty"`
	Head        *HeadView       `json:"head,omitempty"` // who waits first for room that is being kept
	Stragglers  []StragglerView `json:"stragglers,omitempty"`
}

// HeadView is the job that room is kept for, and when it is planned to start.
type HeadView struct {
	Job     job.ID    `json:"job"`
	Planned time.Time `json:"planned"`
}

// StragglerView is a part of a running gang that holds up the rest.
type StragglerView struct {
	Job    job.ID `json:"job"`
	Worker string `json:"worker"`
	Reason string `json:"reason"`
}

// WorkerView is one worker as the placer sees it.
type WorkerView struct {
	ID           string `json:"id"`
	Rack         string `json:"rack"`
	Accelerators int    `json:"accelerators"`
	Free         int    `json:"free"` // accelerators that nothing holds
	Leaving      bool   `json:"leaving,omitempty"`
}

// GuaranteeView is one guaranteed shape of an account in a zone.
type GuaranteeView struct {
	Account string     `json:"account"`
	Shape   cell.Shape `json:"shape"`
	Count   int        `json:"count"`
	AtRisk  int        `json:"atRisk,omitempty"` // gangs of it that could not be given back now
}

// Fleet asks the placer of each zone for what it knows.
func (n *Node) Fleet(ctx context.Context) ([]ZoneView, error) {
	placers := map[string]string{}
	if err := n.ask(ctx, func() {
		now := time.Now()
		for _, h := range n.members.Live("", now) {
			if p, ok := n.members.Placer(h.Zone, now); ok {
				placers[h.Zone] = idOf(p)
			}
		}
	}); err != nil {
		return nil, err
	}
	var views []ZoneView
	for zone, id := range placers {
		v := ZoneView{Zone: zone}
		if err := n.call(ctx, id, "placer.view", struct{}{}, &v); err != nil {
			v.Error = err.Error()
		}
		v.Placer = id
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b ZoneView) int { return strings.Compare(a.Zone, b.Zone) })
	return views, nil
}

// zoneView is what this host's placer knows, from the loop.
func (n *Node) zoneView(now time.Time) ZoneView {
	s := n.placer.Scheduler()
	z := s.Zone()
	v := ZoneView{Zone: n.settings.Zone(), Waiting: s.Queued(), Quarantined: s.Quarantined()}
	leaving := map[string]bool{}
	for _, t := range n.targets {
		leaving[t.ID] = t.Leaving || n.config.Config().Leaving(t.ID)
	}
	for _, w := range z.Inventory().Workers() {
		free, _, _, _ := z.Inventory().Free(w.ID())
		v.Workers = append(v.Workers, WorkerView{
			ID: w.ID(), Rack: w.Rack(), Accelerators: w.Accelerators(), Free: bits.OnesCount64(free), Leaving: leaving[w.ID()],
		})
	}
	if head, at, ok := s.Planned(); ok {
		v.Head = &HeadView{Job: head, Planned: at}
	}
	for _, t := range s.Stragglers(now) {
		v.Stragglers = append(v.Stragglers, StragglerView{Job: t.Job, Worker: t.Worker, Reason: t.Reason})
	}
	v.Guarantees = guaranteeViews(n.config.Config().Guarantees(v.Zone), z.AtRisk())
	return v
}

func guaranteeViews(all, atRisk []guarantee.Guarantee) []GuaranteeView {
	risk := map[string]int{}
	for _, g := range atRisk {
		risk[g.Account()+" "+g.Shape().String()] += g.Count()
	}
	var views []GuaranteeView
	for _, g := range all {
		key := g.Account() + " " + g.Shape().String()
		views = append(views, GuaranteeView{
			Account: g.Account(), Shape: g.Shape(), Count: g.Count(), AtRisk: min(risk[key], g.Count()),
		})
		risk[key] = max(0, risk[key]-g.Count())
	}
	return views
}

// CheckPacking refuses a configuration whose guaranteed shapes cannot all be
// packed at once on a zone's workers, as the platform lists them. A zone without
// listed workers is not checked.
func (n *Node) CheckPacking(ctx context.Context, c *text.Config) error {
	var targets []table.Target
	if err := n.ask(ctx, func() { targets = n.targets }); err != nil {
		return err
	}
	byZone := map[string][]cell.Worker{}
	for _, t := range targets {
		w, err := cell.NewWorker(t.ID, t.Zone, t.Rack, t.Accelerators, t.Cores, t.Memory, t.Slots)
		if err == nil && !t.Leaving && !c.Leaving(t.ID) {
			byZone[t.Zone] = append(byZone[t.Zone], w)
		}
	}
	for zone, workers := range byZone {
		if err := guarantee.Check(workers, c.Guarantees(zone)); err != nil {
			return fmt.Errorf("zone %s, %d workers: %w", zone, len(workers), err)
		}
	}
	return nil
}
