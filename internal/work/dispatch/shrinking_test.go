package dispatch

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// resize changes the capacity of the live targets at an address; empty: of all.
func (d *simulation) resize(address string, capacity graph.Resources) {
	for _, x := range d.p.Roster() {
		if (address == "" || x.Address == address) && x.Capacity != capacity {
			d.p.SetCapacity(x.ID, capacity, d.now)
		}
	}
}

// writeEntries has each target write its entry at heartbeats of its own phase, and the leader read the list
// at the same interval, unless the store is away.
func (d *simulation) writeEntries(heartbeat time.Duration) {
	const phases = 7
	d.unwritten = map[string]roster.Target{}
	var beat func(n int)
	beat = func(n int) {
		if !d.storeAway {
			for i, x := range d.p.Roster() {
				if i%phases == n%phases {
					d.unwritten[x.Address] = x
				}
			}
			if n%phases == 0 {
				d.listTargets()
			}
		}
		d.afterAnyLeader(heartbeat/phases, func() { beat(n + 1) })
	}
	for _, x := range d.p.Roster() {
		d.unwritten[x.Address] = x
	}
	beat(0)
}

// drawShrinkingScript draws jobs, and targets that shrink and grow while the store is away, orders are late,
// targets are lost and return, and the leader changes.
func drawShrinkingScript(t *rapid.T) script {
	s := drawFaultScript(t)
	s.heartbeats = true
	for range 2 + evenly(t, 4, "shrinkings") {
		f := fault{at: between(t, 0, 24*time.Second, "at"), kind: "shrink", target: oneOf(t, "target", allTargets, evenly(t, 8, "one"))}
		f.until = f.at + between(t, 2*time.Second, 9*time.Second, "for")
		s.faults = append(s.faults, f)
		if rapid.Bool().Draw(t, "outage") {
			from := max(f.at+between(t, -500*time.Millisecond, time.Second, "after"), 0)
			until := f.at + between(t, 1500*time.Millisecond, 5*time.Second, "away")
			s.faults = append(s.faults, fault{at: from, until: until, kind: "outage"})
			for range 4 { // work that is decided by the first lists after the outage
				s.jobs = append(s.jobs, scriptedJob{at: until + between(t, 0, 3*time.Second, "at"), priority: 2, work: 500 * time.Millisecond, step: small(12)})
			}
		}
	}
	return s
}

// Targets shrink and grow while the store is away for some seconds, targets execute orders late, are lost and
// return under their ids, and the leader changes. Guards against a start over a capacity that a target had
// three heartbeats ago, and against two runs of one task beside it.
func TestNoStartExceedsShrunkCapacity(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) {
		s := drawShrinkingScript(rt)
		d := s.run(t)
		var found []string
		for _, b := range d.p.Breaches() {
			found = append(found, b.String())
		}
		if len(found) > 0 {
			rt.Fatalf("%s\n%s\n%s", s, strings.Join(found, "\n"), strings.Join(d.log, "\n"))
		}
	})
}
