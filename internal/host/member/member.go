package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// SuspectAfter is the time without a heartbeat after which a host is not live.
const SuspectAfter = 1500 * time.Millisecond

// Host is a host of the system as it announces itself.
type Host struct {
	Address     string `json:"address"` // IP:port for peers
	Zone        string `json:"zone"`
	Incarnation int64  `json:"incarnation"` // rises with each start at the address
	Protocol    int    `json:"protocol"`    // newest protocol version it speaks
	Leaving     bool   `json:"leaving,omitempty"`
}

// Table is one host's view of all hosts. It is not safe for use by several
// goroutines.
type Table struct {
	self  Host
	peers map[string]*entry // by address, without self
}

type entry struct {
	host  Host
	until time.Time // live before this
}

// New returns the view of a host that has heard of nobody.
func New(self Host) *Table {
	return &Table{self: self, peers: map[string]*entry{}}
}

// Self returns the host itself.
func (t *Table) Self() Host { return t.self }

// Leave marks the host itself as leaving.
func (t *Table) Leave() { t.self.Leaving = true }

// Heard notes a heartbeat. One of an older incarnation than the newest known
// at its address is dropped; it reports whether the heartbeat was taken.
func (t *Table) Heard(h Host, now time.Time) bool {
	if h.Address == t.self.Address {
		return false
	}
	e, ok := t.peers[h.Address]
	if ok && h.Incarnation < e.host.Incarnation {
		return false
	}
	t.peers[h.Address] = &entry{host: h, until: now.Add(SuspectAfter)}
	return true
}

// Live returns the live hosts of a zone that are not leaving, itself included,
// sorted by address. An empty zone means all zones.
func (t *Table) Live(zone string, now time.Time) []Host {
	var hosts []Host
	if !t.self.Leaving && (zone == "" || zone == t.self.Zone) {
		hosts = append(hosts, t.self)
	}
	for _, e := range t.peers {
		if now.Before(e.until) && !e.host.Leaving && (zone == "" || zone == e.host.Zone) {
			hosts = append(hosts, e.host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Address < hosts[j].Address })
	return hosts
}

// Placer returns the host that places for a zone; ok is false if none is live.
func (t *Table) Placer(zone string, now time.Time) (h Host, ok bool) {
	return t.pick(zone, "placer/"+zone, now)
}

// Keeper returns the host that renews the leases of a zone's worker.
func (t *Table) Keeper(zone, worker string, now time.Time) (h Host, ok bool) {
	return t.pick(zone, "keeper/"+worker, now)
}

// Delegate returns the host of the zone from that talks to the zone to.
func (t *Table) Delegate(from, to string, now time.Time) (h Host, ok bool) {
	return t.pick(from, "delegate/"+to, now)
}

func (t *Table) pick(zone, key string, now time.Time) (Host, bool) {
	live := t.Live(zone, now)
	if len(live) == 0 {
		return Host{}, false
	}
	byAddress := make(map[string]Host, len(live))
	names := make([]string, 0, len(live))
	for _, h := range live {
		byAddress[h.Address] = h
		names = append(names, h.Address)
	}
	return byAddress[rendezvous.New(names, xxhash.Sum64String).Lookup(key)], true
}
