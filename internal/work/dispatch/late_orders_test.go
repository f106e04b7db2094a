package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// Bounds of the delays of orders that are executed late.
const (
	minLateBy = 2 * time.Second
	maxLateBy = 12 * time.Second
)

// retransmittedShare is the share of the orders to a disconnected target that arrive when it is
// connected again, as those on a connection do that outlives the outage.
const retransmittedShare = 0.5

// scriptedJob is a job of a script.
type scriptedJob struct {
	at       time.Duration // since the start of the script
	priority int
	step     graph.Step
	work     time.Duration // of each task
}

// fault is a fault of one target, or a change of the leader.
type fault struct {
	at, until time.Duration // since the start of the script
	// kind is "late": the target executes a share of its orders late; "disconnected"; "crash":
	// the next incarnation starts; "drain": it drains, and ends at until; "takeover" of the
	// leader; "shrink": it has half its capacity until then; "outage" of the store;
	// "cut off": the target has no path to the store.
	kind   string
	target int // place in the sorted list of addresses, modulo their number; allTargets
	share  float64
}

// allTargets stands for all targets in a fault.
const allTargets = -1

// script is a run of a simulation under faults.
type script struct {
	seed           uint64 // of the choice of late orders and their delays
	racks, perRack int
	keepIDs        bool
	heartbeats     bool // targets write their entries at heartbeats; otherwise the list shows them as they are
	jobs           []scriptedJob
	faults         []fault
}

// String returns the script as it would be written in a test.
func (s script) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d racks of %d targets, keeps ids %t\n", s.seed, s.racks, s.perRack, s.keepIDs)
	for _, j := range s.jobs {
		fmt.Fprintf(&b, "  %s: priority %d, work %s, %d tasks of %d accelerators, gang %t\n", j.at, j.priority, j.work, j.step.Count, j.step.Needs.Accelerators, j.step.Gang)
	}
	for _, f := range s.faults {
		fmt.Fprintf(&b, "  %s to %s: %s of target %d, share %.1f\n", f.at, f.until, f.kind, f.target, f.share)
	}
	return b.String()
}

// evenly draws a number from 0 to n-1. rapid prefers small numbers, with which most faults would
// fall into the first second; their multiples of the golden ratio are spread evenly.
func evenly(t *rapid.T, n int, label string) int {
	const bits, golden = 16, 40503
	drawn := rapid.IntRange(0, 1<<bits-1).Draw(t, label)
	return (drawn * golden % (1 << bits)) * n >> bits
}

// between draws a duration in tenths of a second.
func between(t *rapid.T, least, most time.Duration, label string) time.Duration {
	const unit = 100 * time.Millisecond
	return least + time.Duration(evenly(t, int((most-least)/unit)+1, label))*unit
}

// oneOf draws an element of a list.
func oneOf[T any](t *rapid.T, label string, list ...T) T { return list[evenly(t, len(list), label)] }

// drawScriptedJob draws a job of single tasks or of a gang, which may be urgent. Any fits two
// targets.
func drawScriptedJob(t *rapid.T) scriptedJob {
	j := scriptedJob{at: between(t, 0, 24*time.Second, "at"), work: between(t, 500*time.Millisecond, 5*time.Second, "work")}
	switch oneOf(t, "sort", "small", "small", "large gang", "urgent gang", "whole target") {
	case "small":
		j.priority, j.step = 2, small(1+evenly(t, 12, "tasks"))
	case "large gang":
		j.priority, j.step = 1, largeGang(2, oneOf(t, "accelerators", 4, 8))
	case "urgent gang":
		j.step = urgentGang(2+evenly(t, 3, "members"), oneOf(t, "accelerators", 2, 4))
	default:
		j.priority, j.step = 2, graph.Step{Count: 1, Needs: graph.Resources{CPU: 5600, MemoryMB: 29000, Accelerators: 8}, Estimate: 4 * time.Second}
	}
	j.step.Checkpointing = rapid.Bool().Draw(t, "checkpointing")
	return j
}

// drawTargetFault draws a fault, a third of them late orders.
func drawTargetFault(t *rapid.T) fault {
	f := fault{
		at:     between(t, 0, 24*time.Second, "at"),
		kind:   oneOf(t, "kind", "late", "late", "late", "disconnected", "disconnected", "disconnected", "disconnected", "crash", "drain", "takeover"),
		target: evenly(t, 8, "target"),
	}
	switch f.kind {
	case "late":
		f.until, f.share = f.at+between(t, 3*time.Second, 12*time.Second, "for"), oneOf(t, "share", 0.5, 0.8)
		f.target = oneOf(t, "targets", f.target, allTargets, allTargets)
	case "disconnected":
		f.until = f.at + between(t, 3*time.Second, 7*time.Second, "for")
	case "drain":
		f.until = f.at + between(t, time.Second, 6*time.Second, "for")
	default:
		f.until = f.at
	}
	return f
}

// drawOutage draws a target that is disconnected until about when its leases lapse, while orders
// to all targets are late: what ran there is started again, and the start is outstanding when the
// target answers.
func drawOutage(t *rapid.T) []fault {
	from := between(t, 500*time.Millisecond, 24*time.Second, "outage at")
	until := from + between(t, 5*time.Second, 7*time.Second, "outage for")
	return []fault{
		{at: from, until: until, kind: "disconnected", target: evenly(t, 8, "target")},
		{at: until - between(t, 200*time.Millisecond, 1500*time.Millisecond, "late before"), until: until + between(t, time.Second, 6*time.Second, "late after"), kind: "late", target: allTargets, share: 0.8},
	}
}

func drawFaultScript(t *rapid.T) script {
	s := script{
		seed:  rapid.Uint64().Draw(t, "seed"),
		racks: 1 + evenly(t, 2, "racks"), perRack: 2 + evenly(t, 3, "targets of a rack"),
		keepIDs: rapid.Bool().Draw(t, "keeps ids"),
		jobs:    rapid.SliceOfN(rapid.Custom(drawScriptedJob), 8, 24).Draw(t, "jobs"),
		faults:  rapid.SliceOfN(rapid.Custom(drawTargetFault), 0, 5).Draw(t, "faults"),
	}
	for range 2 + evenly(t, 3, "outages") {
		s.faults = append(s.faults, drawOutage(t)...)
	}
	return s
}

// run plays the script, and then goes on without faults until all jobs have ended, or for a
// minute.
func (s script) run(t testing.TB) *simulation {
	bounds := pool.DefaultBounds()
	bounds.KeepIDs = s.keepIDs
	hostBounds := DefaultBounds()
	if s.heartbeats {
		hostBounds = boundsWithLongListAge()
	}
	d := newSimulationOf(t, s.racks, s.perRack, hostBounds, bounds)
	began := d.now
	d.refusesEarlier = true // otherwise a start may begin a second run before anything shows the new incarnation
	rnd := rand.New(rand.NewPCG(s.seed, 0))
	addresses := make([]string, 0, s.racks*s.perRack)
	for _, x := range d.p.Roster() {
		addresses = append(addresses, x.Address)
	}
	liveOn := func(address string) string {
		for _, x := range d.p.Roster() {
			if x.Address == address {
				return x.ID
			}
		}
		return ""
	}
	lateShare := map[string]float64{}       // by address; that of "" holds for all
	reconnectedAt := map[string]time.Time{} // of disconnected addresses
	d.lateBy = func(c Command) time.Duration {
		to := addressedTo(c)
		if to.ID == "" {
			return 0
		}
		if d.disconnected[to.Host] && rnd.Float64() < retransmittedShare {
			return reconnectedAt[to.Host].Sub(d.now) + oneWay
		}
		if rnd.Float64() >= max(lateShare[""], lateShare[to.Host]) {
			return 0
		}
		return minLateBy + time.Duration(rnd.Int64N(int64(maxLateBy-minLateBy)))
	}
	for _, j := range s.jobs {
		d.afterAnyLeader(j.at, func() { d.submit(j.priority, j.work, j.step) })
	}
	var entries *entryWriter
	if s.heartbeats {
		entries = d.writeEntries(hostBounds.Heartbeat)
	}
	end := time.Duration(0)
	for _, f := range s.faults {
		address := ""
		if f.target != allTargets {
			address = addresses[f.target%len(addresses)]
		}
		end = max(end, f.until)
		switch f.kind {
		case "late":
			d.afterAnyLeader(f.at, func() { lateShare[address] = f.share })
			d.afterAnyLeader(f.until, func() { delete(lateShare, address) })
		case "disconnected":
			until := began.Add(f.until)
			d.afterAnyLeader(f.at, func() {
				d.disconnected[address] = true
				if until.After(reconnectedAt[address]) {
					reconnectedAt[address] = until
				}
			})
			d.afterAnyLeader(f.until, func() {
				if !reconnectedAt[address].After(d.now) { // not disconnected again meanwhile
					delete(d.disconnected, address)
				}
			})
		case "crash":
			d.afterAnyLeader(f.at, func() { d.p.Crash(liveOn(address), d.now) })
		case "drain":
			drains := ""
			d.afterAnyLeader(f.at, func() {
				if drains = liveOn(address); drains != "" {
					d.p.Drain(drains)
				}
			})
			d.afterAnyLeader(f.until, func() { d.p.Crash(drains, d.now) })
		case "takeover":
			d.afterAnyLeader(f.at, func() {
				if !d.storeAway {
					d.changeLeader()
				}
			})
		case "shrink":
			d.afterAnyLeader(f.at, func() { d.resize(address, halfCapacity) })
			d.afterAnyLeader(f.until, func() { d.resize(address, fullCapacity) })
		case "cut off":
			d.afterAnyLeader(f.at, func() { entries.cutOff(address) })
			d.afterAnyLeader(f.until, func() { entries.reconnect(address) })
		case "outage":
			d.afterAnyLeader(f.at, func() { d.storeAway = true })
			d.afterAnyLeader(f.until, func() { d.storeAway = false })
		}
	}
	for d.now.Before(began.Add(end+time.Minute)) && (d.now.Before(began.Add(end+maxLateBy)) || !d.allEnded() || len(d.submittedAt) < len(s.jobs)) {
		d.run(time.Second)
		if !s.heartbeats {
			d.listTargets()
		}
	}
	return d
}

// allEnded reports whether all submitted jobs have ended.
func (d *simulation) allEnded() bool { return len(d.endedAt) == len(d.submittedAt) }

// faultsFound returns the breaches, and the jobs that are not completed.
func (d *simulation) faultsFound() []string {
	var found []string
	for _, b := range d.p.Breaches() {
		found = append(found, b.String())
	}
	for n := 1; n <= d.nextID; n++ {
		id := graph.JobID(fmt.Sprintf("%016x", n))
		if state := d.state(id); state != progress.Completed {
			found = append(found, fmt.Sprintf("job %s is %s", id, state))
		}
	}
	return found
}

// Targets execute a share of their orders seconds later and without an answer, while targets are
// disconnected, crash, drain and leave, and the leader changes; which and when is random by
// seed. No guarantee is violated, and all jobs are completed.
func TestOrdersExecutedLate(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) {
		s := drawFaultScript(rt)
		d := s.run(t)
		if found := d.faultsFound(); len(found) > 0 {
			rt.Fatalf("%s\n%s\n%s", s, strings.Join(found, "\n"), strings.Join(d.log, "\n"))
		}
	})
}

// A task's run is presumed lost and turns out to be done while the start of its next run may
// still be executed. Guards against a job that is shown as completed and then started again.
func TestJobIsNotCompletedWhileStartMayArrive(t *testing.T) {
	for name, step := range map[string]graph.Step{"single task": small(1), "gang": urgentGang(2, 4)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newSimulation(t, 1, 2, DefaultBounds())
			id := d.submit(2, 3*time.Second, step)
			d.run(time.Second)
			first := d.m.jobs[id].steps[0].tasks[0].runs[0].target
			d.disconnected[first.Address] = true
			d.lateBy = func(c Command) time.Duration {
				switch c.(type) {
				case Start:
					return 5 * time.Second
				case Stop:
					return 7 * time.Second
				}
				return 0
			}
			d.run(8 * time.Second)
			is.Equal(d.m.jobs[id].steps[0].tasks[0].highestRun, 2) // sent, and not answered
			delete(d.disconnected, first.Address)
			d.run(4 * time.Second)
			d.lateBy = nil
			d.run(20 * time.Second)
			d.check()
		})
	}
}

// A target with two members of a gang does not answer, the start of one of them may still be
// executed there, and the other members are broken. Guards against a second run of that member
// while the first one begins.
func TestGangMemberWhoseStartMayArriveIsNotPresumedEnded(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 6, DefaultBounds())
	d.startsQueued = true
	first := ""
	d.lateBy = func(c Command) time.Duration {
		switch c := c.(type) {
		case Start:
			if c.Order.Run.Number == 1 && c.Order.Run.Task.Index == 1 {
				first = c.Target.ID
				return 5 * time.Second
			}
		case Stop:
			if c.Run.Number == 1 && c.Run.Task.Index == 1 {
				return 7 * time.Second
			}
		case Poll:
			if c.Target.ID == first {
				return 3 * time.Second
			}
		}
		return 0
	}
	id := d.submit(0, 3*time.Second, urgentGang(4, 4))
	d.run(5 * time.Second)
	tasks := d.m.jobs[id].steps[0].tasks
	is.True(first != "")
	d.run(4 * time.Second)
	d.lateBy = nil
	d.run(20 * time.Second)
	is.Equal(len(tasks), 4)
	d.check()
}

// The first copy of a start is not answered, the second one is, and the target starts again
// under its id. Guards against a run that the first copy begins on the new incarnation after the
// task was started elsewhere.
func TestEarlierCopyOfStartMayReachNewIncarnation(t *testing.T) {
	d := newSimulation(t, 1, 2, DefaultBounds())
	starts := 0
	d.lateBy = func(c Command) time.Duration {
		if _, ok := c.(Start); ok {
			if starts++; starts == 1 {
				return 4 * time.Second
			}
		}
		return 0
	}
	id := d.submit(2, 3*time.Second, small(1))
	d.run(1500 * time.Millisecond)
	d.p.Restart(d.m.jobs[id].steps[0].tasks[0].runs[0].target.ID, restartTime, d.now)
	d.runWithListing(20)
	d.check()
}
