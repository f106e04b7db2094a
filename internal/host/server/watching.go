package server

import (
	"context"
	"fmt"
	"time"
)

// watchZone logs what becomes amiss in the zone, and what is well again: workers
// in quarantine, stragglers and guarantees at risk. Only the placer knows.
func (n *Node) watchZone(_ context.Context, now time.Time) {
	n.forgetKeeping(now)
	amiss := map[string]bool{}
	if n.placer != nil {
		amiss = n.amiss(n.zoneView(now))
	}
	for what := range amiss {
		if !n.told[what] {
			n.log.Info("zone", "step", "amiss", "zone", n.settings.Zone(), "text", what)
		}
	}
	for what := range n.told {
		if !amiss[what] {
			n.log.Info("zone", "step", "well", "zone", n.settings.Zone(), "text", what)
		}
	}
	n.told = amiss
}

func (n *Node) amiss(v ZoneView) map[string]bool {
	found := map[string]bool{}
	for _, w := range v.Quarantined {
		found["worker "+w+" is in quarantine"] = true
	}
	for _, t := range v.Stragglers {
		found[fmt.Sprintf("job %s on worker %s holds its gang up: %s", t.Job, t.Worker, t.Reason)] = true
	}
	atRisk := 0
	for _, g := range v.Guarantees {
		atRisk += g.AtRisk
		if g.AtRisk > 0 {
			found[fmt.Sprintf("guarantee of %s: %d of %d x %s at risk", g.Account, g.AtRisk, g.Count, g.Shape)] = true
		}
	}
	n.metrics.Gauge("workers_quarantined").Update(float64(len(v.Quarantined)))
	n.metrics.Gauge("guarantees_at_risk").Update(float64(atRisk))
	n.metrics.Gauge("jobs_waiting").Update(float64(v.Waiting))
	return found
}
