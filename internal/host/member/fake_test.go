package member

import (
	"encoding/json"
	"fmt"
	"sort"
	"testing"
	"time"
)

// zones hosts that hear each other's heartbeats in memory. Time is its own.
type zones struct {
	tb     testing.TB
	now    time.Time
	tables []*Table
	paused map[string]bool // neither send nor receive
	cut    map[string]bool // zones that no heartbeat leaves or enters
	sent   map[string]int  // heartbeats by sender
	bytes  map[string]int  // of heartbeats, sent and received, by host

	crossed map[string]map[string]bool // senders by pair of zones
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1) }

// newZones returns hosts in zones of at most perZone, each with all others as
// seeds.
func newZones(tb testing.TB, hosts, perZone int) *zones {
	z := &zones{
		tb: tb, now: time.Date(2026, 12, 2, 8, 0, 0, 123456789, time.UTC), paused: map[string]bool{},
		cut: map[string]bool{}, sent: map[string]int{}, bytes: map[string]int{},
		crossed: map[string]map[string]bool{},
	}
	var all []Host
	for i := range hosts {
		all = append(all, Host{Address: address(i), Zone: fmt.Sprintf("zone%d", i/perZone+1), Incarnation: 1764662400000000000, Protocol: 1})
	}
	for _, h := range all {
		t := New(h, WithSeeds(seedsOf(all)...))
		t.Announce(Version{Number: 2300, Since: z.now}, Load{})
		z.tables = append(z.tables, t)
	}
	return z
}

func seedsOf(all []Host) []Host {
	seeds := make([]Host, 0, len(all))
	for _, h := range all {
		seeds = append(seeds, Host{Address: h.Address, Zone: h.Zone})
	}
	return seeds
}

func (z *zones) table(address string) *Table {
	for _, t := range z.tables {
		if t.self.Address == address {
			return t
		}
	}
	return nil
}

// run lets time pass in intervals of BeatEvery. The hosts of an interval send
// in an order that changes from one to the next.
func (z *zones) run(d time.Duration) {
	for end := z.now.Add(d); z.now.Before(end); z.now = z.now.Add(BeatEvery) {
		for i := range z.tables {
			z.beat(z.tables[(i+3*int(z.now.Unix()))%len(z.tables)])
		}
	}
}

func (z *zones) beat(t *Table) {
	if z.paused[t.self.Address] {
		return
	}
	for _, to := range t.Targets(z.now) {
		body, err := json.Marshal(t.Beat(to, z.now))
		if err != nil {
			z.tb.Fatal(err)
		}
		z.sent[t.self.Address]++
		z.bytes[t.self.Address] += len(body)
		if to.Zone != t.self.Zone {
			pair := t.self.Zone + " to " + to.Zone
			if z.crossed[pair] == nil {
				z.crossed[pair] = map[string]bool{}
			}
			z.crossed[pair][t.self.Address] = true
		}
		peer := z.table(to.Address)
		if peer == nil || z.paused[to.Address] || t.self.Zone != peer.self.Zone && (z.cut[t.self.Zone] || z.cut[peer.self.Zone]) {
			continue
		}
		z.bytes[to.Address] += len(body)
		var b Beat
		if err := json.Unmarshal(body, &b); err != nil {
			z.tb.Fatal(err)
		}
		if _, err := peer.Hear(b, z.now); err != nil {
			z.tb.Fatal(err)
		}
	}
}

// agree fails the test unless all hosts that run name the same live hosts and
// the same placer for a zone.
func (z *zones) agree(zone string, live int) {
	z.tb.Helper()
	views := map[string][]string{}
	for _, t := range z.tables {
		if z.paused[t.self.Address] {
			continue
		}
		placer, _ := t.Placer(zone, z.now)
		view := fmt.Sprintf("%d live, placer %s", len(t.Live(zone, z.now)), placer.Address)
		views[view] = append(views[view], t.self.Address)
	}
	var all []string
	for v, hosts := range views {
		sort.Strings(hosts)
		all = append(all, fmt.Sprintf("%s: seen by %v", v, hosts))
	}
	if len(views) != 1 || len(z.tables[0].Live(zone, z.now)) != live && !z.paused[z.tables[0].self.Address] {
		z.tb.Fatalf("%s: want one view with %d live hosts, got %q", zone, live, all)
	}
}
