package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/evacuation"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// evacuate tells the machine that exactly these zones are evacuated, and has it decide.
func (d *simulation) evacuate(zones ...string) {
	d.m.SetEvacuated(evacuation.Status{AsOf: d.now}.With(zones...), d.now)
	d.decide()
}

// startsIn returns how many runs were started on the live targets of a zone.
func (d *simulation) startsIn(zone string) (n int) {
	for _, t := range d.p.Roster() {
		if t.Zone == zone {
			n += d.p.StartsOn(t.ID)
		}
	}
	return n
}

// countLogged returns how many logged decisions contain a text.
func (d *simulation) countLogged(text string) (n int) {
	for _, l := range d.log {
		if strings.Contains(l, text) {
			n++
		}
	}
	return n
}

// A zone is evacuated, restored and evacuated again while work comes: nothing starts
// there while it is evacuated, and runs there continue to their ends.
func TestNothingStartsInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 3, 2, DefaultBounds())
	first := d.submit(2, 4*time.Second, small(40)) // in all zones
	d.run(500 * time.Millisecond)
	before := d.startsIn("z0")
	is.True(before > 0)
	d.evacuate("z0")
	d.submit(2, time.Second, small(20))
	d.run(3 * time.Second)
	is.Equal(d.startsIn("z0"), before)
	is.Equal(d.p.StartsOf(first), 40) // nothing was stopped there
	d.evacuate()
	d.submit(2, time.Second, small(40))
	d.run(3 * time.Second)
	again := d.startsIn("z0")
	is.True(again > before)
	d.evacuate("z0", "z1")
	d.submit(2, time.Second, small(10))
	d.run(10 * time.Second)
	is.Equal(d.startsIn("z0"), again)
	d.check()
}

// A zone is evacuated while starts there are being saved on a slow store: they are
// dropped at once and placed elsewhere, without waiting for the store.
func TestZoneIsEvacuatedWhileStartsAreSaved(t *testing.T) {
	for name, step := range map[string]graph.Step{"tasks": small(12), "gang": urgentGang(3, 8)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newSimulation(t, 3, 3, DefaultBounds())
			d.slowSaveTime = 2 * time.Second
			d.evacuate("z1", "z2")
			id := d.submit(0, time.Second, step)
			d.run(500 * time.Millisecond)
			d.evacuate("z0")
			d.run(100 * time.Millisecond)
			is.True(d.countLogged("run given up before it was sent") > 0)
			d.slowSaveTime = 0
			d.evacuate("z0", "z2")
			d.run(8 * time.Second)
			is.Equal(d.startsIn("z0"), 0)
			is.Equal(d.startsIn("z1"), step.Count)
			is.True(d.duration(id) > 0)
			d.check()
		})
	}
}

// A start waits for its turn in the host until its zone is evacuated, and is not sent:
// the task goes elsewhere at once, and the target does not count as unresponsive.
func TestWithheldStartIsPlacedElsewhere(t *testing.T) {
	is := is.New(t)
	s := &fixture{Machine: New(7, DefaultBounds()), now: time.Unix(1000, 0)}
	var list []roster.Target
	for i := range 2 {
		name := fmt.Sprintf("t%d", i)
		list = append(list, roster.Target{ID: name, Address: name, Zone: "z" + name, Service: "s", Capacity: graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8}})
	}
	s.UpdateTargets(list, s.now, s.now)
	for _, l := range list {
		s.Polled(l.ID, Poll{Sent: s.now}, order.Report{Clock: 5000}, s.now)
	}
	s.EnablePlacement(s.now, s.now)
	s.Accept(testJob("00000000000000ba", 1), s.now)
	first := commands[Start](s)
	is.Equal(len(first), 1)
	s.SetEvacuated(evacuation.Status{AsOf: s.now}.With(first[0].Zone), s.now)
	s.StartAnswered(first[0], 0, fmt.Errorf("start: %w", order.ErrWithheld), s.now)
	is.True(s.targets[first[0].Target.ID].responsive())
	second := commands[Start](s)
	is.Equal(len(second), 1)
	is.True(second[0].Zone != first[0].Zone)
}

// A start gets no answer, and its zone is evacuated before it would be sent again. It may
// have been executed, so the run is stopped and the start is not repeated.
func TestStartIsNotRepeatedInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 2, 1, DefaultBounds())
	d.evacuate("z1")
	starts := 0
	d.dropCommand = func(c Command) bool {
		if s, ok := c.(Start); ok && s.Zone == "z0" {
			starts++
			return true
		}
		return false
	}
	id := d.submit(2, time.Second, small(1))
	d.run(200 * time.Millisecond)
	is.Equal(starts, 1)
	d.evacuate("z0")
	d.run(5 * time.Second)
	is.Equal(starts, 1)
	is.Equal(d.startsIn("z1"), 1)
	is.True(d.duration(id) > 0)
	d.check()
}

// A leader has received no evacuation status for as long as an evacuation may take to be
// in force, so a zone may have been evacuated since: it starts nothing until it receives
// one.
func TestNothingStartsOnStaleEvacuationStatus(t *testing.T) {
	is := is.New(t)
	b := DefaultBounds()
	b.MaxEvacuationAge = 4 * time.Second
	d := newSimulation(t, 2, 1, b)
	d.evacuate()
	d.run(5 * time.Second)
	id := d.submit(0, time.Second, small(2))
	d.run(2 * time.Second)
	is.Equal(d.p.Starts(), 0)
	d.evacuate("z0")
	d.run(2 * time.Second)
	is.Equal(d.startsIn("z0"), 0)
	is.Equal(d.p.Starts(), 2)
	is.True(d.duration(id) > 0)
	d.check()
}

// A machine first lists a zone's targets after it has learnt that the zone is evacuated, as
// when a target registers there or the leader is new: those targets accept no starts.
func TestNewTargetsInEvacuatedZoneGetNoWork(t *testing.T) {
	is := is.New(t)
	m := New(1, DefaultBounds())
	now := time.Unix(1000, 0)
	m.SetEvacuated(evacuation.Status{AsOf: now}.With("z0"), now)
	m.UpdateTargets([]roster.Target{{ID: "a", Zone: "z0"}, {ID: "b", Zone: "z1"}}, now, now)
	is.True(!m.targets["a"].acceptsStarts(now))
	is.True(m.targets["b"].acceptsStarts(now))
	is.Equal(m.targets["a"].viewState(now), "unheld")
}

// So many zones are evacuated that the guarantees do not fit in the rest: that is logged
// once, and again when they fit.
func TestUnmetGuaranteesAreLogged(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 3, 2, DefaultBounds()) // 16 accelerators in each zone
	d.m.SetGuarantees(map[string]int{"a": 20, "b": 10})
	d.evacuate("z0")
	is.Equal(d.countLogged("guarantees exceed"), 0)
	d.evacuate("z0", "z1")
	d.listTargets()
	is.Equal(d.countLogged("guarantees exceed"), 1)
	f := d.m.Fleet(d.now)
	is.Equal(f.Guaranteed, 30)
	is.Equal(f.Usable, 16)
	d.evacuate("z1")
	is.Equal(d.countLogged("guarantees fit again"), 1)
}
