package deployment

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
)

// trouble is one thing that goes wrong, from a time on and for a time.
type trouble struct {
	Kind  string
	At    time.Duration
	For   time.Duration
	Which int     // host or target
	Share float64 // how much
}

func (t trouble) String() string {
	return fmt.Sprintf("%s at %s for %s (%d, %.2f)", t.Kind, t.At, t.For, t.Which, t.Share)
}

var kinds = []string{
	"kill", "kill leader", "stop", "stop leader", "kill all", "cut store", "cut leader from store", "store down",
	"store loses", "store late", "store slow", "forget", "cut zone", "cut targets", "orders lost", "orders late",
	"target dies", "target reborn", "target hangs", "target fails", "target slow", "target drains", "target rejects", "cancel", "cut hosts",
}

func drawTrouble(t *rapid.T) trouble {
	return trouble{
		Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
		At:    time.Duration(rapid.IntRange(2000, 22000).Draw(t, "at")) * time.Millisecond,
		For:   time.Duration(rapid.IntRange(300, 9000).Draw(t, "for")) * time.Millisecond,
		Which: rapid.IntRange(0, 11).Draw(t, "which"),
		Share: rapid.Float64Range(0.05, 0.6).Draw(t, "share"),
	}
}

func (r *rig) host(which int) *host { return r.hosts[which%len(r.hosts)] }

// targetID returns the id of a living target.
func (r *rig) targetID(which int) string {
	id := ""
	r.shared.Do(func(p *pool.Pool, _ time.Time) {
		if list := p.Roster(); len(list) > 0 {
			id = list[which%len(list)].ID
		}
	})
	return id
}

// begin begins a trouble.
func (r *rig) begin(x trouble) {
	r.logger("test").Info("trouble", "kind", x.Kind, "for", x.For.String(), "which", x.Which, "share", x.Share)
	switch x.Kind {
	case "kill", "stop":
		r.endHost(r.host(x.Which), x.Kind == "kill")
	case "kill leader", "stop leader":
		if h := r.leader(); h != nil {
			r.endHost(h, x.Kind == "kill leader")
		}
	case "kill all":
		for _, h := range r.hosts {
			r.endHost(h, true)
		}
	case "cut hosts":
		for _, h := range r.hosts {
			r.wires.set(h.address, r.host(x.Which).address, true)
		}
	case "forget":
		r.table.Compact()
	case "cancel":
		for _, s := range r.jobs {
			if accepted, _, _ := s.get(); accepted && r.rnd.Float64() < x.Share {
				r.cancel(s)
			}
		}
	default:
		if strings.HasPrefix(x.Kind, "target") {
			r.beginTarget(x)
		} else {
			r.beginLink(x)
		}
	}
}

func (r *rig) endHost(h *host, kill bool) {
	switch {
	case h.dead:
	case kill:
		r.kill(h)
	default:
		r.stop(h)
	}
}

func (r *rig) beginLink(x trouble) {
	switch x.Kind {
	case "cut store":
		r.host(x.Which).link.SetFaults(rows.Faults{Unresponsive: true})
	case "cut leader from store":
		if h := r.leader(); h != nil {
			h.link.SetFaults(rows.Faults{Refuse: true})
		}
	case "store down":
		r.allLinks(rows.Faults{Unresponsive: x.Which%2 == 0, Refuse: x.Which%2 == 1})
	case "store loses":
		r.allLinks(rows.Faults{LostAnswers: x.Share})
	case "store late":
		r.allLinks(rows.Faults{LateWrites: x.Share, LateBy: time.Duration(x.Which) * time.Second / 2})
	case "store slow":
		r.allLinks(rows.Faults{Latency: time.Duration(x.Which) * 80 * time.Millisecond})
	case "orders lost":
		r.allLines(pool.Faults{LostAnswers: x.Share / 2})
	case "orders late":
		r.allLines(pool.Faults{LateOrders: x.Share / 2, LateBy: time.Duration(x.Which) * time.Second})
	case "cut targets":
		r.allLines(pool.Faults{Unreachable: r.some(x.Share)})
	case "cut zone":
		r.cutZone(x.Which)
	}
}

// some returns the ids of a share of the targets.
func (r *rig) some(share float64) map[string]bool {
	cut := map[string]bool{}
	for id := range r.allTargets() {
		cut[id] = float64(hash(id, 0)%100)/100 < share
	}
	return cut
}

// cutZone cuts one host and one rack off from everything else.
func (r *rig) cutZone(which int) {
	lone, zone := r.host(which), fmt.Sprintf("zone%d", which%3)
	inside, outside := map[string]bool{}, map[string]bool{}
	r.shared.Do(func(p *pool.Pool, _ time.Time) {
		for _, t := range p.Roster() {
			inside[t.ID], outside[t.ID] = t.Zone == zone, t.Zone != zone
		}
	})
	for _, h := range r.hosts {
		if h == lone || h.dead {
			continue
		}
		r.wires.set(h.address, lone.address, true)
		h.line.SetFaults(pool.Faults{Unreachable: inside})
	}
	if !lone.dead {
		lone.link.SetFaults(rows.Faults{Unresponsive: true})
		lone.line.SetFaults(pool.Faults{Unreachable: outside})
	}
}

func (r *rig) beginTarget(x trouble) {
	id := r.targetID(x.Which)
	if id == "" {
		return
	}
	r.shared.Do(func(p *pool.Pool, now time.Time) {
		switch x.Kind {
		case "target dies":
			p.Kill(id, now)
		case "target reborn":
			r.reborn++
			p.Add(r.target(x.Which%3, x.Which%4, 1+r.reborn), 0.99, now)
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

// heal ends a trouble. Links and targets become well altogether: overlapping
// troubles of the same sort end together.
func (r *rig) heal(x trouble) {
	r.logger("test").Info("healed", "kind", x.Kind)
	r.healHosts()
	r.allLinks(rows.Faults{})
	r.allLines(pool.Faults{})
	if strings.HasPrefix(x.Kind, "target") {
		r.healTargets()
	}
}

func (r *rig) healHosts() {
	for i, h := range r.hosts {
		for _, o := range r.hosts[:i] {
			r.wires.set(h.address, o.address, false)
		}
		if h.dead {
			r.restart(h)
		}
	}
}

// healTargets makes all targets sound; one that leaves goes, and one comes in
// place of each that is missing.
func (r *rig) healTargets() {
	r.shared.Do(func(p *pool.Pool, now time.Time) {
		there := map[string]bool{}
		for _, t := range p.Roster() {
			p.SetStalled(t.ID, false)
			p.SetFailing(t.ID, false)
			p.SetSpeed(t.ID, 1)
			p.SetRejecting(t.ID, false)
			if t.Draining {
				p.Kill(t.ID, now)
				continue
			}
			there[t.Address] = true
		}
		for rack := range 3 {
			for i := range 4 {
				r.reborn++
				if t := r.target(rack, i, 1+r.reborn); !there[t.Address] {
					p.Add(t, 1, now)
				}
			}
		}
	})
}

func (r *rig) healAll() {
	r.healHosts()
	r.healTargets()
	r.allLinks(rows.Faults{})
	r.allLines(pool.Faults{})
}
