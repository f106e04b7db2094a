package member

import (
	"fmt"
	"net/netip"
	"sort"
	"time"
)

// Times of the heartbeats.
const (
	// BeatEvery is the time between two heartbeats within a zone.
	BeatEvery = 500 * time.Millisecond
	// CrossEvery is the time between two heartbeats of a pair of zones.
	CrossEvery = 2 * time.Second
	// SuspectAfter is the silence after which a host of the own zone is not live.
	SuspectAfter = 1500 * time.Millisecond
	// DeadAfter is the silence after which a host of the own zone is dead.
	DeadAfter = 5 * time.Second
	// RefreshEvery is the time after which a sighting of another zone's host is
	// passed on within the zone although nothing about it changed.
	RefreshEvery = 20 * time.Second
	// ForeignSuspectAfter is SuspectAfter for hosts of other zones, of which
	// most hosts hear every RefreshEvery only.
	ForeignSuspectAfter = 3 * RefreshEvery
	// ForeignDeadAfter is DeadAfter for hosts of other zones.
	ForeignDeadAfter = 2 * ForeignSuspectAfter
	// ReuseAfter is the silence after which an older incarnation is taken for a
	// host whose clock went back between two starts.
	ReuseAfter = 2 * time.Minute
	// ForgetAfter is the silence after which nothing is kept of a host.
	ForgetAfter = 30 * time.Minute
)

// MaxHosts bounds the hosts that a view holds, and so its memory.
const MaxHosts = 1024

// Host is a host of the system as it announces itself.
type Host struct {
	Address     string `json:"address"` // IP:port for peers
	Zone        string `json:"zone,omitempty"`
	Incarnation int64  `json:"incarnation"`        // rises with each start at the address
	Protocol    int    `json:"protocol,omitempty"` // newest protocol version it speaks
	Leaving     bool   `json:"leaving,omitempty"`
}

func (h Host) check() error {
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return fmt.Errorf("host address %q: %w", h.Address, err)
	}
	if h.Zone == "" {
		return fmt.Errorf("host %s names no zone", h.Address)
	}
	return nil
}

// Table is one host's view of all hosts. It is not safe for use by several
// goroutines.
type Table struct {
	self    Host
	seq     int64 // number of the newest own heartbeat
	config  Version
	load    Load
	peers   map[string]*entry // by address, without self
	seeds   []Host            // from the settings; the zone may be empty
	tries   map[string]attempt
	methods map[string]int       // protocol version from which a method is spoken
	changed time.Time            // when the own heartbeat last said something new
	crosses map[string]*crossing // by zone
	passing []Sighting           // other zones' hosts in this interval's heartbeats
	listed  map[string]bool      // addresses seen in the platform's list
	asOf    time.Time            // of the newest list taken

	ticked     time.Time // newest call of Targets
	staleUntil time.Time // the view is not acted upon before

	picks map[string]*choice // live hosts by zone, until they may change
}

// entry is what is known of one peer.
type entry struct {
	Sighting
	since       time.Time // when the first heartbeat of the incarnation was learned of
	heard       time.Time // when the newest heartbeat was first learned of
	direct      time.Time // when it was last learned from a host of its own zone
	passed      time.Time // when it was last passed on within the own zone
	changed     bool      // something but its number changed since then
	unreachable bool      // a send failed since the newest heartbeat
	listedGone  bool      // the platform's list says leaving, or dropped it
}

// Option sets a property of a new table.
type Option func(*Table)

// WithSeeds names hosts from the settings that are sent heartbeats until they
// are heard of. Only the address is needed; a seed with a zone costs less.
func WithSeeds(seeds ...Host) Option {
	return func(t *Table) { t.seeds = append(t.seeds, seeds...) }
}

// WithMethods gives the protocol version from which each method is spoken. A
// method that is not named is spoken by every version.
func WithMethods(since map[string]int) Option {
	return func(t *Table) { t.methods = since }
}

// New returns the view of a host that has heard of nobody.
func New(self Host, opts ...Option) *Table {
	t := &Table{
		self: self, peers: map[string]*entry{}, tries: map[string]attempt{},
		crosses: map[string]*crossing{}, listed: map[string]bool{}, picks: map[string]*choice{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// Self returns the host itself.
func (t *Table) Self() Host { return t.self }

// Leave marks the host itself as leaving: from then on every duty falls to
// another host, to which this one hands over what it holds. The caller sends
// the next heartbeats at once.
func (t *Table) Leave() {
	t.self.Leaving = true
	t.changed = t.ticked
	t.forgetPicks()
}

// Announce sets what the own heartbeats say from now on. A change of the load
// alone travels with the next full heartbeat.
func (t *Table) Announce(v Version, l Load) {
	v.Since = v.Since.UTC().Truncate(time.Millisecond) // more digits only cost bytes
	if v != t.config {
		t.changed = t.ticked
	}
	t.config, t.load = v, l
}

// Live returns the live hosts of a zone that are not leaving, itself included,
// sorted by address. An empty zone means all zones.
func (t *Table) Live(zone string, now time.Time) []Host {
	var hosts []Host
	if !t.self.Leaving && (zone == "" || zone == t.self.Zone) {
		hosts = append(hosts, t.self)
	}
	for _, e := range t.peers {
		if !e.Leaving && (zone == "" || zone == e.Zone) && t.state(e, now) == Alive {
			hosts = append(hosts, e.Host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Address < hosts[j].Address })
	return hosts
}

// Status is what a host knows of another one, or of itself.
type Status struct {
	Sighting
	State State
	Heard time.Time // when its newest heartbeat was learned of; now for itself
}

// Hosts returns all known hosts, itself included, sorted by zone and address.
func (t *Table) Hosts(now time.Time) []Status {
	all := []Status{{Sighting: t.sighting(), State: Alive, Heard: now}}
	for _, e := range t.peers {
		all = append(all, Status{Sighting: e.Sighting, State: t.state(e, now), Heard: e.heard})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Zone != all[j].Zone {
			return all[i].Zone < all[j].Zone
		}
		return all[i].Address < all[j].Address
	})
	return all
}

// Sharing returns over how many hosts the platform's budget is to be shared,
// at least 1. Leaving and suspect hosts count, for they may still write. So do
// the hosts of a zone that was cut off from this one, which may well reach the
// platform, until the platform's list says that they are gone or they are
// forgotten.
func (t *Table) Sharing(now time.Time) int {
	n := 1
	for _, e := range t.peers {
		if t.state(e, now) != Dead || e.Zone != t.self.Zone && !e.listedGone {
			n++
		}
	}
	return n
}

// Speaks reports whether a host speaks a method of the protocol. A host that
// has announced no protocol version speaks only what every version speaks.
func (t *Table) Speaks(h Host, method string) bool {
	return h.Protocol >= t.methods[method]
}

// NewestConfig returns the newest configuration version announced by any known
// host, itself included, and a live host that has it in force; ok is false if
// that is this host or no live host has it.
func (t *Table) NewestConfig(now time.Time) (v Version, from Host, ok bool) {
	v = t.config
	for _, e := range t.peers {
		newer := e.Config.Number > v.Number
		if newer && t.state(e, now) == Alive {
			v, from, ok = e.Config, e.Host, true
		}
	}
	return v, from, ok
}
