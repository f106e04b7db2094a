package server

import (
	"context"
	"encoding/json"
	"errors"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/host/member"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/placer"
)

// beat sends this interval's heartbeats.
func (n *Node) beat(ctx context.Context, now time.Time) {
	n.announce()
	for _, to := range n.members.Targets(now) {
		body := n.members.Beat(to, now)
		n.spawn(func() { n.beatTo(ctx, to.Address, body) })
	}
	n.shareBudget(now)
}

// announce sets what the heartbeats say of this host.
func (n *Node) announce() {
	version := member.Version{Number: n.config.Version(), Since: n.config.Since()}
	n.members.Announce(version, n.load())
}

// load is what the placer says of the zone's room; zero if this host does not
// place.
func (n *Node) load() member.Load {
	if n.placer == nil {
		return member.Load{}
	}
	s := n.placer.Scheduler()
	l := member.Load{Waiting: s.Queued()}
	inv := s.Zone().Inventory()
	for _, w := range inv.Workers() {
		free, _, _, _ := inv.Free(w.ID())
		l.Free += bits.OnesCount64(free)
	}
	return l
}

func (n *Node) beatTo(ctx context.Context, address string, body member.Beat) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	// Most heartbeats want no answer, which would cost as much as they do. But
	// a connection that a cut has broken silently takes what is written to it
	// for minutes after the cut has healed; only an answer that does not come
	// shows it, and then the next call dials again.
	send := func() error { return n.net.Notify(ctx, address, "member.beat", body) }
	if body.Seq%answeredBeat == 0 {
		send = func() error { return n.net.Call(ctx, address, "member.beat", body, nil) }
	}
	if err := send(); err != nil {
		n.metrics.Counter("heartbeats_failed").Inc(1)
		n.post(ctx, func() { n.members.Unreachable(address) })
	}
}

func (n *Node) handleBeat(ctx context.Context, params json.RawMessage) (any, error) {
	var b member.Beat
	if err := n.read("member.beat", params, &b); err != nil {
		return nil, err
	}
	var refused error
	err := n.ask(ctx, func() {
		now := time.Now()
		if _, refused = n.members.Hear(b, now); refused != nil {
			n.metrics.Counter("peer_bad_input").Inc(1)
			return
		}
		n.followConfiguration(context.WithoutCancel(ctx), now)
	})
	return struct{}{}, errors.Join(err, refused)
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
	mine := n.members.Places(now)
	_, other := placers[n.settings.Zone()]
	switch {
	case !mine && n.placer != nil && !other:
		// The last host of its zone, about to stop: nobody else would renew
		// the leases that its callers' jobs run under.
	case mine && n.placer != nil && n.placer.Draining():
		n.endPlacing()
	case mine && n.placer == nil:
		n.beginPlacing(ctx, now)
	case !mine && n.placer != nil && (n.members.Stale(now) || n.placer.Settled()):
		n.endPlacing()
	case !mine && n.placer != nil:
		// Another host places from now on. What this one has begun it
		// completes, so that no start is left half way, and begins no more.
		n.placer.Drain()
	}
}

func (n *Node) beginPlacing(ctx context.Context, now time.Time) {
	n.term++
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	// The term makes the leases of this placing differ from those of an earlier
	// one in the same process, which is forgotten but may have starts under way.
	identity := n.id + "/" + strconv.Itoa(n.term)
	n.placer = placer.New(n.settings.Zone(), nil, placer.WithIdentity(identity), placer.WithRand(random), placer.WithKeepers())
	n.log.Info("placing", "step", "begin", "zone", n.settings.Zone(), "host", n.id)
	n.metrics.Counter("placer_begun").Inc(1)
	if c := n.config.Config(); c != nil {
		n.stepPlacer(ctx, placer.Configured{Config: c, Version: n.config.Version()}, now)
	}
	n.stepPlacer(ctx, placer.TargetsListed{Targets: n.zoneTargets()}, now)
	n.tellBegun(ctx, now)
}

// placerBegunBody tells an entry that the sender begins to place.
type placerBegunBody struct {
	Placer string `json:"placer"`
}

// tellBegun tells the entries that this host's placer has nothing in its memory.
func (n *Node) tellBegun(ctx context.Context, now time.Time) {
	body := placerBegunBody{Placer: n.id}
	for _, id := range n.peerIDs("", now) {
		n.spawn(func() {
			if err := n.call(ctx, id, "entry.placerBegun", body, nil); err != nil {
				n.log.V(1).Info("placing", "step", "tell", "peer", id, "error", err.Error())
			}
		})
	}
	n.stepEntry(ctx, intake.PlacerBegun(body), now)
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
// Every host keeps the list, since any may have to place when the platform is
// down; only the placer needs it fresh.
func (n *Node) pollTargets(ctx context.Context, now time.Time) {
	empty := len(n.targets) == 0
	if n.placer == nil && !empty && now.Before(n.targetsAt.Add(idleTargets)) {
		return
	}
	n.targetsAt = now
	peers := n.peerIDs(n.settings.Zone(), now)
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
	n.workerAt = make(map[string]string, len(ts))
	for _, t := range ts {
		n.workerAt[t.ID] = t.Address
	}
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
	State   string    `json:"state"` // alive, suspect or dead, as this host sees it
	Placer  bool      `json:"placer,omitempty"`
	Leaving bool      `json:"leaving,omitempty"`
}

// InForce returns what each known host has in force, sorted by zone and host.
func (n *Node) InForce(ctx context.Context) ([]InForce, error) {
	var rows []InForce
	err := n.ask(ctx, func() {
		now := time.Now()
		n.announce()
		for _, s := range n.members.Hosts(now) {
			p, _ := n.members.Placer(s.Zone, now)
			rows = append(rows, InForce{
				Zone: s.Zone, Host: idOf(s.Host), Version: s.Config.Number, Since: s.Config.Since, Heard: s.Heard,
				State: s.State.String(), Placer: idOf(p) == idOf(s.Host), Leaving: s.Leaving,
			})
		}
	})
	return rows, err
}
