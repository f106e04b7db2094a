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

// entryWriter writes the entries of targets as they would.
type entryWriter struct {
	d         *simulation
	heartbeat time.Duration
	writtenAt map[string]time.Time      // by address: when the entry in the list was stored
	heldUp    map[string]*roster.Target // by address of targets without a path to the store: what they wrote first
}

// writePhases is how many groups of targets write their entries one after the other in a heartbeat.
const writePhases = 7

// writeEntries has each target write its entry at heartbeats of its own phase, and the leader read the list
// at the same interval, unless the store is away. Entries lapse after three heartbeats.
func (d *simulation) writeEntries(heartbeat time.Duration) *entryWriter {
	w := &entryWriter{d, heartbeat, map[string]time.Time{}, map[string]*roster.Target{}}
	d.unwritten, d.hidden = map[string]roster.Target{}, map[string]bool{}
	for _, x := range d.p.Roster() {
		w.store(x)
	}
	w.beat(0)
	return w
}

// store stores an entry.
func (w *entryWriter) store(x roster.Target) {
	w.d.unwritten[x.Address], w.writtenAt[x.Address] = x, w.d.now
	delete(w.d.hidden, x.Address)
}

// beat has a group of targets write their entries, and schedules the next.
func (w *entryWriter) beat(n int) {
	for i, x := range w.d.p.Roster() {
		held, cut := w.heldUp[x.Address]
		switch {
		case i%writePhases != n%writePhases || w.d.storeAway:
		case !cut:
			w.store(x)
		case held == nil:
			w.heldUp[x.Address] = &x
		}
		if w.d.now.Sub(w.writtenAt[x.Address]) > 3*w.heartbeat && !w.d.storeAway {
			w.d.hidden[x.Address] = true
		}
	}
	if n%writePhases == 0 && !w.d.storeAway {
		w.d.listTargets()
	}
	w.d.afterAnyLeader(w.heartbeat/writePhases, func() { w.beat(n + 1) })
}

// cutOff has the target at an address lose its path to the store.
func (w *entryWriter) cutOff(address string) { w.heldUp[address] = nil }

// reconnect has the store get what the target at an address wrote when it lost its path.
func (w *entryWriter) reconnect(address string) {
	if held := w.heldUp[address]; held != nil {
		w.store(*held)
	}
	delete(w.heldUp, address)
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
		if f.target != allTargets && rapid.Bool().Draw(t, "cut off") {
			from := max(f.at-between(t, 0, 1500*time.Millisecond, "before"), 0)
			s.faults = append(s.faults, fault{at: from, until: f.at + between(t, time.Second, 8*time.Second, "cut for"), kind: "cut off", target: f.target})
		}
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

// Targets shrink and grow while the store is away for some seconds or they have no path to it, execute orders
// late, are lost and return under their ids, and the leader changes. Guards against a start over a capacity that a target had
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
