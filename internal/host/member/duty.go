package member

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// choice is the live hosts of a zone, ready to be chosen from. It holds until a
// live host may have fallen silent, or until something else changes the view.
type choice struct {
	hosts map[string]Host // by address
	hash  *rendezvous.Rendezvous
	until time.Time // not used from then on

	delegates map[string]Host // by the other zone; nil until asked for
}

// Placer returns the host that places for a zone; ok is false if none is live.
func (t *Table) Placer(zone string, now time.Time) (h Host, ok bool) {
	return t.pick(zone, "placer/"+zone, now)
}

// Keeper returns the host that renews the leases of a zone's worker.
func (t *Table) Keeper(zone, worker string, now time.Time) (h Host, ok bool) {
	return t.pick(zone, "keeper/"+worker, now)
}

// Delegate returns the host of the zone from that talks to the zone to. No host
// is delegate towards a second zone before all live hosts of its zone are one.
func (t *Table) Delegate(from, to string, now time.Time) (h Host, ok bool) {
	c := t.choice(from, now)
	if c.delegates == nil {
		c.delegates = t.delegates(c, from)
	}
	h, ok = c.delegates[to]
	return h, ok
}

// delegates shares the other known zones out over the live hosts of a zone.
func (t *Table) delegates(c *choice, from string) map[string]Host {
	all := map[string]Host{}
	var free []string
	for _, to := range t.zones(from) {
		if len(free) == 0 {
			free = slices.Sorted(maps.Keys(c.hosts))
		}
		if len(free) == 0 {
			break
		}
		name := rendezvous.New(free, xxhash.Sum64String).Lookup("delegate/" + to)
		free = slices.DeleteFunc(free, func(n string) bool { return n == name })
		all[to] = c.hosts[name]
	}
	return all
}

// Places reports whether the placing of the own zone falls to this host, which
// it never does while its view is stale.
func (t *Table) Places(now time.Time) bool {
	h, ok := t.Placer(t.self.Zone, now)
	return ok && h.Address == t.self.Address && !t.Stale(now)
}

// Keeps reports whether the leases of a worker of the own zone are renewed by
// this host, which they never are while its view is stale.
func (t *Table) Keeps(worker string, now time.Time) bool {
	h, ok := t.Keeper(t.self.Zone, worker, now)
	return ok && h.Address == t.self.Address && !t.Stale(now)
}

// LoadOf returns what the placer of a zone says of the zone's room.
func (t *Table) LoadOf(zone string, now time.Time) (l Load, ok bool) {
	h, ok := t.Placer(zone, now)
	if !ok {
		return Load{}, false
	}
	if h.Address == t.self.Address {
		return t.load, true
	}
	return t.peers[h.Address].Load, true
}

func (t *Table) pick(zone, key string, now time.Time) (Host, bool) {
	c := t.choice(zone, now)
	if len(c.hosts) == 0 {
		return Host{}, false
	}
	return c.hosts[c.hash.Lookup(key)], true
}

func (t *Table) choice(zone string, now time.Time) *choice {
	c, ok := t.picks[zone]
	if !ok || !now.Before(c.until) {
		c = t.choose(zone, now)
		t.picks[zone] = c
	}
	return c
}

// choose gathers the live hosts of a zone. The choice holds until the first of
// them would be suspect, or dead by a second source, without a new heartbeat.
func (t *Table) choose(zone string, now time.Time) *choice {
	live := t.Live(zone, now)
	c := &choice{hosts: make(map[string]Host, len(live)), until: now.Add(ForgetAfter)}
	names := make([]string, 0, len(live))
	for _, h := range live {
		c.hosts[h.Address] = h
		names = append(names, h.Address)
		e, ok := t.peers[h.Address]
		if !ok {
			continue
		}
		suspect, _, confirmed := t.windows(e)
		if e.unreachable || e.listedGone {
			suspect = min(suspect, confirmed)
		}
		if until := e.heard.Add(suspect); until.Before(c.until) {
			c.until = until
		}
	}
	c.hash = rendezvous.New(names, xxhash.Sum64String)
	return c
}

// forgetPicks makes the next choices look at the hosts afresh.
func (t *Table) forgetPicks() { clear(t.picks) }
