package server

import (
	"context"
	"maps"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/host/member"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/placer"
)

// beatBody is a heartbeat on the wire.
type beatBody struct {
	Host    member.Host `json:"host"`
	Version int64       `json:"version"` // of the configuration in force
	Since   time.Time   `json:"since"`
}

func (n *Node) beat(ctx context.Context, now time.Time) {
	body := beatBody{Host: n.members.Self(), Version: n.config.Version(), Since: n.config.Since()}
	n.versions[n.settings.PeerAddress()] = seen{host: body.Host, version: body.Version, since: body.Since, heard: now}
	for _, p := range n.settings.Peers() {
		n.spawn(func() { n.beatTo(ctx, p.Address, body) })
	}
}

func (n *Node) beatTo(ctx context.Context, address string, body beatBody) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var back beatBody
	if err := n.net.Call(ctx, address, "member.beat", body, &back); err != nil {
		n.metrics.Counter("heartbeats_failed").Inc(1)
		return
	}
	n.post(ctx, func() { n.heard(ctx, back, time.Now()) })
}

// heard takes a heartbeat, from the loop.
func (n *Node) heard(ctx context.Context, b beatBody, now time.Time) {
	if !n.members.Heard(b.Host, now) {
		return
	}
	n.versions[b.Host.Address] = seen{host: b.Host, version: b.Version, since: b.Since, heard: now}
	if b.Version > n.config.Version() {
		n.fetchConfiguration(ctx, idOf(b.Host))
	}
}

// followPlacers tells the entry who places for each zone, and begins or ends
// the placer of this host.
func (n *Node) followPlacers(ctx context.Context, now time.Time) {
	placers := map[string]string{}
	for _, h := range n.members.Live("", now) {
		if _, ok := placers[h.Zone]; ok {
			continue
		}
		if p, ok := n.members.Placer(h.Zone, now); ok {
			placers[h.Zone] = idOf(p)
		}
	}
	n.stepEntry(ctx, intake.PlacersSeen{Placers: placers}, now)
	mine := placers[n.settings.Zone()] == n.id
	switch {
	case mine && n.placer == nil:
		n.beginPlacing(ctx, now)
	case !mine && n.placer != nil && !n.stopping:
		n.endPlacing()
	}
}

func (n *Node) beginPlacing(ctx context.Context, now time.Time) {
	n.term++
	n.placer = newPlacer(n.settings.Zone())
	n.log.Info("placing", "step", "begin", "zone", n.settings.Zone(), "host", n.id)
	n.metrics.Counter("placer_begun").Inc(1)
	if c := n.config.Config(); c != nil {
		n.stepPlacer(ctx, placer.Configured{Config: c, Version: n.config.Version()}, now)
	}
	n.stepPlacer(ctx, placer.TargetsListed{Targets: n.zoneTargets()}, now)
}

func (n *Node) endPlacing() {
	n.term++
	n.placer = nil
	n.log.Info("placing", "step", "end", "zone", n.settings.Zone(), "host", n.id)
}

func (n *Node) zoneTargets() []table.Target {
	return slices.DeleteFunc(slices.Clone(n.targets), func(t table.Target) bool { return t.Zone != n.settings.Zone() })
}

// pollTargets reads the platform's list. When the platform is not reached the
// last list stays in use, and a host that has none asks a peer for its own.
func (n *Node) pollTargets(ctx context.Context, now time.Time) {
	peers := n.peerIDs(n.settings.Zone(), now)
	empty := len(n.targets) == 0
	n.spawn(func() {
		bounded, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		ts, err := n.platform.Targets(bounded)
		if err != nil {
			n.log.Info("targets", "step", "list", "peer", n.settings.Platform(), "error", err.Error())
			if !empty || !n.targetsOfPeers(ctx, peers, &ts) {
				return
			}
		}
		n.post(ctx, func() { n.listed(ctx, ts, time.Now()) })
	})
}

func (n *Node) targetsOfPeers(ctx context.Context, peers []string, into *[]table.Target) bool {
	for _, id := range peers {
		if err := n.call(ctx, id, "fleet.targets", struct{}{}, into); err == nil && len(*into) > 0 {
			return true
		}
	}
	return false
}

func (n *Node) listed(ctx context.Context, ts []table.Target, now time.Time) {
	n.targets = ts
	if n.placer != nil {
		n.stepPlacer(ctx, placer.TargetsListed{Targets: n.zoneTargets()}, now)
	}
}

// peerIDs returns the live hosts of a zone without this one; all zones if empty.
func (n *Node) peerIDs(zone string, now time.Time) []string {
	var ids []string
	for _, h := range n.members.Live(zone, now) {
		if id := idOf(h); id != n.id {
			ids = append(ids, id)
		}
	}
	return ids
}

// InForce is what one host has in force.
type InForce struct {
	Zone    string    `json:"zone"`
	Host    string    `json:"host"`
	Version int64     `json:"version"`
	Since   time.Time `json:"since,omitzero"`
	Heard   time.Time `json:"heard"`
	Live    bool      `json:"live"`
	Placer  bool      `json:"placer,omitempty"`
	Leaving bool      `json:"leaving,omitempty"`
}

// InForce returns what each known host has in force, sorted by zone and host.
func (n *Node) InForce(ctx context.Context) ([]InForce, error) {
	var rows []InForce
	err := n.ask(ctx, func() {
		now := time.Now()
		for _, address := range slices.Sorted(maps.Keys(n.versions)) {
			s := n.versions[address]
			p, _ := n.members.Placer(s.host.Zone, now)
			rows = append(rows, InForce{
				Zone: s.host.Zone, Host: idOf(s.host), Version: s.version, Since: s.since, Heard: s.heard,
				Live: now.Sub(s.heard) < member.SuspectAfter, Placer: idOf(p) == idOf(s.host), Leaving: s.host.Leaving,
			})
		}
	})
	slices.SortStableFunc(rows, func(a, b InForce) int { return compareZones(a.Zone, b.Zone) })
	return rows, err
}
