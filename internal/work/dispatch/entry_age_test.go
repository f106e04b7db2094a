package dispatch

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// boundsWithHeartbeat returns bounds under which an entry is stale when it is older than 3.75 s.
func boundsWithHeartbeat() Bounds {
	b := DefaultBounds()
	b.Heartbeat = 1500 * time.Millisecond
	return b
}

// holdEntries has the list show the present entries of targets until they are deleted from unwritten.
func (d *simulation) holdEntries(addresses ...string) {
	d.unwritten = map[string]roster.Target{}
	for _, x := range d.p.Roster() {
		if len(addresses) == 0 || slices.Contains(addresses, x.Address) {
			d.unwritten[x.Address] = x
		}
	}
}

// logged returns how many lines the machine has logged that contain a text.
func (d *simulation) logged(text string) int {
	return len(slices.DeleteFunc(slices.Clone(d.log), func(l string) bool { return !strings.Contains(l, text) }))
}

// The store is away for eight seconds, and a target's capacity shrinks meanwhile. The first list after
// the outage holds the target's entry from before it. Starts by that entry would exceed what the target
// has left. It gets work again once it has written its entry.
func TestNothingIsStartedOnEntryFromBeforeOutage(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, boundsWithHeartbeat())
	d.listTargets()
	d.run(300 * time.Millisecond)
	d.holdEntries("r0-0") // written after the last list before the outage
	d.p.SetCapacity("r0-0#1", halfCapacity, d.now)
	d.run(8 * time.Second)
	d.listTargets()
	id := d.submit(2, 3*time.Second, small(16))
	d.run(2 * time.Second)
	is.Equal(d.p.StartsOn("r0-0#1"), 0)
	is.Equal(d.p.StartsOn("r0-1#1"), 8)
	is.Equal(d.logged("targets with stale entries [targets 1 before 0 listed 2]"), 1)
	states := map[string]string{}
	for _, x := range d.m.Fleet(d.now).Targets {
		states[x.ID] = x.State
	}
	is.Equal(states, map[string]string{"r0-0#1": "stale", "r0-1#1": "ready"})
	delete(d.unwritten, "r0-0")
	d.listTargets()
	d.run(500 * time.Millisecond)
	is.Equal(d.p.StartsOn("r0-0#1"), 4)
	d.runWithListing(20)
	is.Equal(d.logged("targets with stale entries [targets 0 before 1 listed 2]"), 1)
	d.check()
	is.Equal(d.state(id), progress.Completed)
}

// As above, but a new leader takes over after the outage, which has read no list before: it compares
// the entry with the clock in the target's first report.
func TestNewLeaderStartsNothingOnEntryFromBeforeOutage(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, boundsWithHeartbeat())
	d.holdEntries("r0-0")
	d.p.SetCapacity("r0-0#1", halfCapacity, d.now)
	d.run(8 * time.Second)
	id := d.submit(2, 3*time.Second, small(16))
	d.changeLeader()
	d.run(500 * time.Millisecond)
	is.Equal(d.p.StartsOn("r0-0#1"), 0)
	is.Equal(d.p.StartsOn("r0-1#1"), 8)
	d.unwritten = nil
	d.runWithListing(20)
	d.check()
	is.Equal(d.state(id), progress.Completed)
}

// Starts are recorded and wait to be saved while the store is away, and their target's capacity shrinks
// meanwhile. If they were sent on the strength of an entry from before the outage, they would exceed it.
func TestSavedStartsAreNotSentOnEntryFromBeforeOutage(t *testing.T) {
	is := is.New(t)
	b := boundsWithListAge()
	b.Heartbeat = 1500 * time.Millisecond
	d := newSimulation(t, 1, 2, b)
	d.listTargets()
	d.slowSaveTime = 6 * time.Second
	id := d.submit(2, 3*time.Second, small(16))
	d.run(500 * time.Millisecond)
	d.holdEntries("r0-0")
	d.p.SetCapacity("r0-0#1", halfCapacity, d.now)
	d.run(5400 * time.Millisecond)
	d.slowSaveTime = 0
	d.listTargets()
	d.run(500 * time.Millisecond)
	is.Equal(d.p.StartsOn("r0-0#1"), 0)
	is.Equal(d.p.StartsOn("r0-1#1"), 8)
	d.unwritten = nil
	d.runWithListing(20)
	d.check()
	is.Equal(d.state(id), progress.Completed)
}

// A start is not answered, and then its target's entry is stale. The start may never have arrived, so the
// next one would bring the target over a capacity that nobody knows.
func TestStartIsNotRepeatedOnEntryFromBeforeOutage(t *testing.T) {
	d := newSimulation(t, 1, 2, boundsWithHeartbeat())
	d.submit(2, 20*time.Second, small(8))
	d.run(time.Second)
	d.holdEntries()
	d.run(5 * time.Second)
	d.dropCommand = func(c Command) bool {
		s, start := c.(Start)
		return start && s.Order.Run.Number == 1
	}
	d.submit(2, 3*time.Second, small(8))
	d.run(100 * time.Millisecond)
	for _, x := range d.p.Roster() {
		d.p.SetCapacity(x.ID, halfCapacity, d.now.Add(-5*time.Second))
	}
	d.listTargets()
	d.dropCommand = nil
	d.run(time.Second)
	d.unwritten = nil
	d.runWithListing(60)
	d.check()
}

// An urgent gang waits for preempted work to end on a target whose entry is stale by then. It must be
// placed elsewhere, and not wait for an entry that may never be written.
func TestGangDoesNotAwaitTargetWithStaleEntry(t *testing.T) {
	is := is.New(t)
	b, targets := boundsWithHeartbeat(), pool.DefaultBounds()
	b.MaxStopTime, targets.StopTime = 20*time.Second, 20*time.Second
	d := newSimulationOf(t, 1, 2, b, targets)
	d.m.SetGuarantees(map[string]int{"a": 8})
	d.submit(2, 30*time.Second, small(16))
	d.holdEntries()
	d.run(time.Second)
	urgent := d.submit(0, time.Second, urgentGang(1, 8))
	d.run(4 * time.Second)
	waits := d.m.jobs[urgent].steps[0].tasks[0].runs[0]
	is.Equal(waits.phase, awaitingCapacity)
	d.unwritten = map[string]roster.Target{waits.target.Address: d.unwritten[waits.target.Address]}
	d.listTargets()
	d.run(200 * time.Millisecond)
	is.True(!d.m.jobs[urgent].liveRuns[waits])
	d.runWithListing(20)
	is.Equal(d.state(urgent), progress.Completed)
	d.unwritten = nil
	d.runWithListing(120)
	d.check()
}

// After an outage all entries are stale for up to a heartbeat. Guarantees are compared with the capacity
// that was known last: operators must not be told that they are exceeded.
func TestStaleEntriesDoNotExceedGuarantees(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, boundsWithHeartbeat())
	d.m.SetGuarantees(map[string]int{"a": 16})
	d.holdEntries()
	d.run(8 * time.Second)
	d.listTargets()
	is.Equal(d.logged("targets with stale entries [targets 2 before 0 listed 2]"), 1)
	is.Equal(d.logged("guarantees exceed"), 0)
}

// Whether an entry is stale, by when it was written and what the leader knows. A start on a stale entry
// may exceed a capacity that has shrunk; a healthy target whose entry counts as stale gets no work.
func TestStaleEntry(t *testing.T) {
	const clock = 100_000 // of the target at time 0
	at := func(ms int64) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	type read struct{ asOf, clock, startedAt int64 } // asOf in milliseconds; clock of the entry, 0: none
	for name, c := range map[string]struct {
		heartbeat   time.Duration
		reads       []read
		clock       int64 // as last reported; 0: not known
		clockAt     int64
		incarnation int64 // as last reported
		want        bool
	}{
		"a new leader's first list, written before the outage":       {1500 * time.Millisecond, []read{{0, clock - 8000, 0}}, clock + 20, 20, 0, true},
		"a new leader's first list, written lately":                  {1500 * time.Millisecond, []read{{0, clock - 3500, 0}}, clock + 20, 20, 0, false},
		"written after the read began":                               {1500 * time.Millisecond, []read{{0, clock + 500, 0}}, clock + 600, 600, 0, false},
		"the clock is not known yet":                                 {1500 * time.Millisecond, []read{{0, clock - 8000, 0}}, 0, 0, 0, false},
		"an entry without a clock":                                   {1500 * time.Millisecond, []read{{0, 0, 0}, {9000, 0, 0}}, clock, 0, 0, false},
		"the heartbeat is not known":                                 {0, []read{{0, clock - 8000, 0}, {9000, clock - 8000, 0}}, clock, 0, 0, false},
		"reported later than the list was read":                      {1500 * time.Millisecond, []read{{0, clock - 1000, 0}}, clock + 60_000, 60_000, 0, false},
		"the same entry since before the outage":                     {1500 * time.Millisecond, []read{{0, clock, 0}, {8000, clock, 0}}, clock, 0, 0, true},
		"written between the last list and the outage":               {1500 * time.Millisecond, []read{{0, clock - 500, 0}, {8000, clock + 500, 0}}, clock, 0, 0, true},
		"written after the outage":                                   {1500 * time.Millisecond, []read{{0, clock - 500, 0}, {8000, clock + 7900, 0}}, clock, 0, 0, false},
		"idle for ten minutes, the clock 2 % slow":                   {1500 * time.Millisecond, []read{{600_000, clock + 588_000 - 1500, 0}}, clock, 0, 0, false},
		"idle for ten minutes, the same entry since before":          {1500 * time.Millisecond, []read{{590_000, clock + 589_000, 0}, {600_000, clock + 589_000, 0}}, clock, 0, 0, true},
		"a store that delays all writes by 20 s, first list":         {1500 * time.Millisecond, []read{{0, clock - 20_000, 0}}, clock, 0, 0, true},
		"a store that delays all writes by 20 s, second list":        {1500 * time.Millisecond, []read{{0, clock - 20_000, 0}, {1500, clock - 18_500, 0}}, clock, 0, 0, false},
		"a store that stops taking writes after that":                {1500 * time.Millisecond, []read{{0, clock - 20_000, 0}, {1500, clock - 18_500, 0}, {6100, clock - 18_500, 0}}, clock, 0, 0, true},
		"stored late across a short outage of the store":             {1500 * time.Millisecond, []read{{0, clock - 500, 0}, {3400, clock - 400, 0}, {3600, clock - 400, 0}}, clock, 0, 0, true},
		"started again, its clock anew":                              {1500 * time.Millisecond, []read{{0, clock, 1}, {9000, 1200, 2}}, 1300, 9100, 2, false},
		"started again and not written since before the next outage": {1500 * time.Millisecond, []read{{0, clock, 1}, {1500, 1200, 2}, {9000, 1200, 2}}, 1300, 1600, 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := DefaultBounds()
			b.Heartbeat = c.heartbeat
			m := New(1, b)
			for _, r := range c.reads {
				m.UpdateTargets([]roster.Target{{ID: "t", Address: "t", Zone: "z", ClockMS: r.clock, StartedAt: r.startedAt, Capacity: graph.Resources{Accelerators: 8}}}, at(r.asOf), at(r.asOf))
			}
			if c.clock != 0 {
				m.Polled("t", Poll{}, order.Report{Clock: c.clock, StartedAt: c.incarnation}, at(c.clockAt))
			}
			is.Equal(m.targets["t"].entryIsStale(), c.want)
			is.Equal(m.targets["t"].acceptsStarts(at(c.reads[len(c.reads)-1].asOf)), !c.want)
		})
	}
}

// The store delays all writes for good, and targets are idle and have slow clocks. They are healthy: work
// goes on.
func TestWorkGoesOnWhileAllEntriesAreLate(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 0, boundsWithHeartbeat())
	for _, name := range []string{"r0-0", "r0-1"} {
		d.p.Add(roster.Target{
			ID: name + "#1", Address: name, Zone: "z0", Service: "s", Rack: "r1-0",
			Capacity: graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8},
		}, 0.98, d.now)
	}
	var written [][]roster.Target
	for second := range 70 {
		d.run(time.Second)
		if written = append(written, d.p.Roster()); second >= 20 {
			d.m.UpdateTargets(written[second-20], d.now, d.now)
			d.decide()
		}
		if second >= 25 && second < 60 {
			d.submit(2, 500*time.Millisecond, small(2))
		}
	}
	is.Equal(d.p.Starts(), 70)
	d.check()
}
