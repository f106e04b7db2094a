package deployment

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
)

// fault is one fault to inject, with its start and duration.
type fault struct {
	Kind  string
	At    time.Duration
	For   time.Duration
	Which int     // index of the host, zone or target, taken modulo their number; length of a delay
	Share float64 // of targets, orders, answers or jobs that are affected
}

func (f fault) String() string {
	return fmt.Sprintf("%s at %s for %s (%d, %.2f)", f.Kind, f.At, f.For, f.Which, f.Share)
}

var faultKinds = []string{
	"kill", "kill leader", "stop", "stop leader", "kill all", "cut store", "cut leader from store", "store down",
	"store loses", "store late", "store slow", "forget", "cut zone", "cut targets", "orders lost", "orders late",
	"target dies", "target crashes", "target shrinks", "target reborn", "target hangs", "target fails", "target slow", "target drains", "target rejects", "cancel", "cut hosts", "target restarts",
}

func drawFault(t *rapid.T) fault {
	return fault{
		Kind:  rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		At:    time.Duration(rapid.IntRange(2000, 22000).Draw(t, "at")) * time.Millisecond,
		For:   time.Duration(rapid.IntRange(300, 9000).Draw(t, "for")) * time.Millisecond,
		Which: rapid.IntRange(0, 11).Draw(t, "which"),
		Share: rapid.Float64Range(0.05, 0.6).Draw(t, "share"),
	}
}

func (d *deployment) host(which int) *host { return d.hosts[which%len(d.hosts)] }

// targetID returns the id of a target in the roster, empty if there is none.
func (d *deployment) targetID(which int) string {
	id := ""
	d.pool.Do(func(p *pool.Pool, _ time.Time) {
		if list := p.Roster(); len(list) > 0 {
			id = list[which%len(list)].ID
		}
	})
	return id
}

// inject starts a fault, which heal ends. Two kinds have no duration: "forget" compacts the
// store's feed of changes, and "cancel" cancels a share of the accepted jobs.
func (d *deployment) inject(f fault) {
	d.logger("test").Info("fault injected", "kind", f.Kind, "for", f.For.String(), "which", f.Which, "share", f.Share)
	switch f.Kind {
	case "kill", "stop":
		d.endHost(d.host(f.Which), f.Kind == "kill")
	case "kill leader", "stop leader":
		if h := d.leader(); h != nil {
			d.endHost(h, f.Kind == "kill leader")
		}
	case "kill all":
		for _, h := range d.hosts {
			d.endHost(h, true)
		}
	case "cut hosts":
		for _, h := range d.hosts {
			d.network.setDisconnected(h.address, d.host(f.Which).address, true)
		}
	case "forget":
		d.table.Compact()
	case "cancel":
		for _, s := range d.submissions {
			if accepted, _, _ := s.get(); accepted && d.rnd.Float64() < f.Share {
				d.cancel(s)
			}
		}
	default:
		if strings.HasPrefix(f.Kind, "target") {
			d.injectTargetFault(f)
		} else {
			d.injectLinkFault(f)
		}
	}
}

// endHost kills or stops a host unless it is down.
func (d *deployment) endHost(h *host, kill bool) {
	switch {
	case h.down:
	case kill:
		d.kill(h)
	default:
		d.stop(h)
	}
}

// injectLinkFault starts a fault of hosts' links to the store or to targets, or of a zone.
func (d *deployment) injectLinkFault(f fault) {
	switch f.Kind {
	case "cut store":
		d.host(f.Which).storeLink.SetFaults(rows.Faults{Unresponsive: true})
	case "cut leader from store":
		if h := d.leader(); h != nil {
			h.storeLink.SetFaults(rows.Faults{Refuse: true})
		}
	case "store down":
		d.setStoreFaults(rows.Faults{Unresponsive: f.Which%2 == 0, Refuse: f.Which%2 == 1})
	case "store loses":
		d.setStoreFaults(rows.Faults{LostAnswers: f.Share})
	case "store late":
		d.setStoreFaults(rows.Faults{LateWrites: f.Share, LateBy: time.Duration(f.Which) * time.Second / 2})
	case "store slow":
		d.setStoreFaults(rows.Faults{Latency: time.Duration(f.Which) * 80 * time.Millisecond})
	case "orders lost":
		d.setTransportFaults(pool.Faults{LostAnswers: f.Share / 2})
	case "orders late":
		d.setTransportFaults(pool.Faults{LateOrders: f.Share / 2, LateBy: time.Duration(f.Which) * time.Second})
	case "cut targets":
		d.setTransportFaults(pool.Faults{Unreachable: d.sampleTargets(f.Share)})
	case "cut zone":
		d.disconnectZone(f.Which)
	}
}

// sampleTargets returns the ids of all targets, true for about a share of them. The
// choice depends on the ids alone.
func (d *deployment) sampleTargets(share float64) map[string]bool {
	sample := map[string]bool{}
	for id := range d.allTargetIDs() {
		sample[id] = float64(hash(id, 0)%100)/100 < share
	}
	return sample
}

// disconnectZone disconnects one host and one rack from everything else, the host also from
// the store. The two still reach each other.
func (d *deployment) disconnectZone(which int) {
	disconnected, zone := d.host(which), fmt.Sprintf("zone%d", which%3)
	inside, outside := map[string]bool{}, map[string]bool{}
	d.pool.Do(func(p *pool.Pool, _ time.Time) {
		for _, t := range p.Roster() {
			inside[t.ID], outside[t.ID] = t.Zone == zone, t.Zone != zone
		}
	})
	for _, h := range d.hosts {
		if h == disconnected || h.down {
			continue
		}
		d.network.setDisconnected(h.address, disconnected.address, true)
		h.transport.SetFaults(pool.Faults{Unreachable: inside})
	}
	if !disconnected.down {
		disconnected.storeLink.SetFaults(rows.Faults{Unresponsive: true})
		disconnected.transport.SetFaults(pool.Faults{Unreachable: outside})
	}
}

// injectTargetFault starts a fault of one target of the roster, or adds a new incarnation at
// an address. It does nothing if the roster is empty.
func (d *deployment) injectTargetFault(f fault) {
	id := d.targetID(f.Which)
	if id == "" {
		return
	}
	d.pool.Do(func(p *pool.Pool, now time.Time) {
		switch f.Kind {
		case "target dies":
			p.Kill(id, now)
		case "target crashes":
			p.Crash(id, now)
		case "target restarts":
			p.Restart(id, f.For/2, now)
		case "target shrinks":
			p.SetCapacity(id, needs(3), now)
		case "target reborn":
			d.incarnations++
			p.Add(d.target(f.Which%3, f.Which%4, 1+d.incarnations), 0.99, now)
		case "target hangs":
			p.SetStalled(id, true)
		case "target fails":
			p.SetFailing(id, true)
		case "target slow":
			p.SetSpeed(id, 0.2)
		case "target drains":
			p.Drain(id)
		case "target rejects":
			p.SetRejecting(id, true)
		}
	})
}

// heal ends a fault. It restarts all hosts that are down and resets all links, and all
// targets if the fault is one of a target, so overlapping faults of the same sort end
// together.
func (d *deployment) heal(f fault) {
	d.logger("test").Info("fault healed", "kind", f.Kind)
	d.healHosts()
	d.setStoreFaults(rows.Faults{})
	d.setTransportFaults(pool.Faults{})
	if strings.HasPrefix(f.Kind, "target") {
		d.healTargets()
	}
}

// healHosts connects all hosts with each other and restarts those that are down.
func (d *deployment) healHosts() {
	for i, h := range d.hosts {
		for _, o := range d.hosts[:i] {
			d.network.setDisconnected(h.address, o.address, false)
		}
		if h.down {
			d.restart(h)
		}
	}
}

// healTargets ends the faults of all targets. It kills those that drain and adds a new
// incarnation in place of each that is missing.
func (d *deployment) healTargets() {
	d.pool.Do(func(p *pool.Pool, now time.Time) {
		present := map[string]bool{}
		for _, t := range p.Roster() {
			p.SetStalled(t.ID, false)
			p.SetFailing(t.ID, false)
			p.SetSpeed(t.ID, 1)
			p.SetRejecting(t.ID, false)
			p.SetCapacity(t.ID, d.target(0, 0, 1).Capacity, now)
			if t.Draining {
				p.Kill(t.ID, now)
				continue
			}
			present[t.Address] = true
		}
		for rack := range 3 {
			for i := range 4 {
				d.incarnations++
				if t := d.target(rack, i, 1+d.incarnations); !present[t.Address] {
					p.Add(t, 1, now)
				}
			}
		}
	})
}

// healAll ends the faults of all hosts, targets and links.
func (d *deployment) healAll() {
	d.healHosts()
	d.healTargets()
	d.setStoreFaults(rows.Faults{})
	d.setTransportFaults(pool.Faults{})
}
