package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// disruption is a disruption of one target, of all or of the leader.
type disruption struct {
	at, until time.Duration // since the start of the script
	kind      string
	target    int // place in the list of addresses, modulo their number
}

// Kinds of disruptions of one target.
var targetKinds = []string{
	"disconnected",
	"crash",            // the next incarnation has a new id
	"restart",          // the next incarnation has the same id; answers to and from it are slow
	"replace",          // another target is added, and the target drains and leaves
	"replace at end",   // the same, and the target leaves as soon as an end there was not read
	"refuse starts",    // as unhealthy
	"overtake",         // its reports are late by random times
	"shrink",           // it has a quarter of its capacity
	"unlisted",         // its entry lapses
	"lose orders",      // half of the starts and stops
	"execute late",     // half of the orders are executed seconds later, without an answer
	"answer lost",      // starts are executed and not answered
	"unseen by leader", // it is disconnected until the leader changes
}

// Kinds of disruptions of the leader and of all targets.
var globalKinds = []string{"takeover", "store away", "store away, takeover", "stale list", "all execute late"}

// stopKinds are kinds by which a target answers no stops for long. They hold a task for as long:
// TestTaskDoesNotAwaitStopOfRunThatCannotBegin.
var stopKinds = []string{"refuse stops", "lose stops"}

// livenessScript is a run of a simulation under disruptions.
type livenessScript struct {
	seed           uint64 // of random choices while it runs
	racks, perRack int
	slowClocks     bool
	keepIDs        bool // targets that crash return under their ids
	orderRate      int  // orders that the host can send in a second; 0: any number
	headroom       bool // headroom is kept, stops take 900 ms, and urgent jobs have less slack
	jobs           []scriptedLivenessJob
	disruptions    []disruption
}

// scriptedLivenessJob is a job of a script, of one or two steps.
type scriptedLivenessJob struct {
	at       time.Duration
	priority int
	work     time.Duration // of each task
	steps    []graph.Step
	fails    int           // of 100 runs
	crashes  bool          // the first task crashes the targets that start it
	cancel   time.Duration // after its submission; 0: it is not cancelled
	advised  bool          // its queue needs advice, which allows half of the targets
}

// mayFail reports whether the job may fail by its own fault.
func (j scriptedLivenessJob) mayFail() bool { return j.fails > 0 || j.crashes }

// behaviour returns how the job's tasks run.
func (j scriptedLivenessJob) behaviour() pool.Behaviour {
	return pool.Behaviour{
		Work: func(graph.TaskID) time.Duration { return j.work },
		Fails: func(id graph.TaskID, run int) bool {
			return (id.Index*31+run*57+int(j.at.Milliseconds()))%100 < j.fails
		},
		Crashes: func(id graph.TaskID, _ int) bool { return j.crashes && id.Step == 0 && id.Index == 0 },
	}
}

func (s livenessScript) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d, %d racks of %d targets, slow clocks %t, keeps ids %t, order rate %d\n", s.seed, s.racks, s.perRack, s.slowClocks, s.keepIDs, s.orderRate)
	for i, j := range s.jobs {
		fmt.Fprintf(&b, "  job %d at %s: priority %d, work %s, fails %d%%, crashes %t, cancelled after %s", i+1, j.at, j.priority, j.work, j.fails, j.crashes, j.cancel)
		for _, p := range j.steps {
			fmt.Fprintf(&b, ", %d tasks of %d accelerators (gang %t, checkpointing %t, speculative %t, long-running %t, per target %d, rack %q, label %q)", p.Count, p.Needs.Accelerators, p.Gang, p.Checkpointing, p.Speculative, p.LongRunning, p.PerTarget, p.DataRack, p.Label)
		}
		b.WriteByte('\n')
	}
	for _, x := range s.disruptions {
		fmt.Fprintf(&b, "  %s to %s: %s of target %d\n", x.at, x.until, x.kind, x.target)
	}
	return b.String()
}

// scriptSpan is the time within which disruptions and jobs of a script begin.
const scriptSpan = 24 * time.Second

// Sorts of steps.
var (
	usualSorts = []string{"small", "small", "gang", "wide gang", "one rack"}
	allSorts   = []string{"small", "small", "gang", "wide gang", "one rack", "speculative", "per target", "rack with data", "label", "long-running"}
)

func drawLivenessJob(t *rapid.T, sorts []string) scriptedLivenessJob {
	j := scriptedLivenessJob{at: between(t, 0, scriptSpan, "at"), work: between(t, 300*time.Millisecond, 4*time.Second, "work"), priority: evenly(t, 3, "priority")}
	draw := func() graph.Step {
		step := small(1 + evenly(t, 6, "tasks"))
		switch oneOf(t, "sort", sorts...) {
		case "gang":
			step = smallGang(2 + evenly(t, 3, "members"))
			step.Needs.Accelerators = oneOf(t, "accelerators", 1, 2, 4)
		case "wide gang":
			step = smallGang(4 + evenly(t, 5, "members"))
		case "one rack":
			step = smallGang(2)
			step.SameRack = true
		case "speculative":
			step.Speculative = true
		case "per target":
			step.PerTarget = 1 + evenly(t, 2, "per target")
		case "rack with data":
			step.DataRack = "r1-0"
		case "label":
			step.Label = "even"
		case "long-running":
			step.LongRunning = true
		}
		step.Checkpointing = rapid.Bool().Draw(t, "checkpointing")
		return step
	}
	j.steps = []graph.Step{draw()}
	if rapid.Bool().Draw(t, "two steps") && !j.steps[0].LongRunning {
		second := draw()
		second.After = []int{0}
		j.steps = append(j.steps, second)
	}
	return j
}

// drawTroubledJob draws a job of any sort that may fail, crash its targets or be cancelled.
func drawTroubledJob(t *rapid.T) scriptedLivenessJob {
	j := drawLivenessJob(t, allSorts)
	j.fails = oneOf(t, "fails", 0, 0, 0, 0, 10)
	j.crashes = oneOf(t, "crashes", false, false, false, false, false, false, false, true)
	j.advised = !slices.ContainsFunc(j.steps, func(s graph.Step) bool { return s.Gang || s.Label != "" }) && rapid.Bool().Draw(t, "advised")
	if evenly(t, 8, "cancelled") == 0 || j.steps[len(j.steps)-1].LongRunning {
		j.cancel = between(t, 100*time.Millisecond, 20*time.Second, "cancelled after")
	}
	return j
}

func drawDisruption(t *rapid.T, kinds []string) disruption {
	x := disruption{at: between(t, 0, scriptSpan, "at"), kind: oneOf(t, "kind", kinds...), target: evenly(t, 12, "target")}
	x.until = x.at + between(t, 500*time.Millisecond, 12*time.Second, "for")
	if slices.Contains(stopKinds, x.kind) {
		x.until += 20 * time.Second
	}
	return x
}

func drawLivenessScript(t *rapid.T, kinds []string, troubled bool) livenessScript {
	s := livenessScript{
		seed: rapid.Uint64().Draw(t, "seed"), racks: 1 + evenly(t, 3, "racks"), perRack: 3 + evenly(t, 4, "targets of a rack"),
		slowClocks: rapid.Bool().Draw(t, "slow clocks"),
	}
	drawJob := func(t *rapid.T) scriptedLivenessJob { return drawLivenessJob(t, usualSorts) }
	if troubled {
		drawJob = drawTroubledJob
		s.orderRate = oneOf(t, "order rate", 0, 0, 100, 400)
		s.keepIDs = rapid.Bool().Draw(t, "keeps ids")
	}
	s.jobs = rapid.SliceOfN(rapid.Custom(drawJob), 4, 20).Draw(t, "jobs")
	for i := range s.jobs[1:] {
		s.jobs[1+i].crashes = false // several of them share each loss, and are found out later
	}
	draw := func(t *rapid.T) disruption { return drawDisruption(t, kinds) }
	s.disruptions = rapid.SliceOfN(rapid.Custom(draw), 1, 9).Draw(t, "disruptions")
	drawGlobal := func(t *rapid.T) disruption { return drawDisruption(t, globalKinds) }
	s.disruptions = append(s.disruptions, rapid.SliceOfN(rapid.Custom(drawGlobal), 0, 2).Draw(t, "disruptions of all")...)
	return s
}

// livenessRun is a script that runs.
type livenessRun struct {
	*simulation
	rnd         *rand.Rand
	began       time.Time
	addresses   []string
	active      map[string]map[string]int // number of active disruptions by kind and address; "" stands for all
	leavesAtEnd map[string]bool           // ids of targets that leave at the next end that was not read
	watch       *holdWatch
	scripted    map[graph.JobID]scriptedLivenessJob
}

// is reports whether a disruption of a kind is active for an address, or for all.
func (l *livenessRun) is(kind, address string) bool { return l.active[kind][address] > 0 }

func (l *livenessRun) set(kind, address string, by int) {
	if l.active[kind] == nil {
		l.active[kind] = map[string]int{}
	}
	l.active[kind][address] += by
}

// liveOn returns the id of the live target at an address, "" if there is none.
func (l *livenessRun) liveOn(address string) string {
	for _, x := range l.p.Roster() {
		if x.Address == address {
			return x.ID
		}
	}
	return ""
}

// calm reports whether no disruption of an address is active.
func (l *livenessRun) calm(address string) bool {
	for _, byAddress := range l.active {
		if byAddress[address] > 0 {
			return false
		}
	}
	return true
}

// stopped reports whether a disruption is active that keeps everything from being started.
func (l *livenessRun) stopped() bool {
	return !l.calm("")
}

// run plays the script, and then goes on without disruptions until all jobs have ended, or for
// a minute.
func (s livenessScript) run(t testing.TB) *livenessRun {
	bounds := DefaultBounds()
	bounds.MaxListAge = 4 * time.Second
	targets := pool.DefaultBounds()
	var opts []Option
	if s.headroom {
		bounds, targets = slowStops()
		bounds.MaxListAge = 4 * time.Second
		opts = append(opts, WithHeadroom())
	}
	targets.KeepIDs = s.keepIDs
	l := &livenessRun{
		simulation: newSimulationOf(t, s.racks, s.perRack, bounds, targets, opts...), rnd: rand.New(rand.NewPCG(s.seed, 0)),
		active: map[string]map[string]int{}, leavesAtEnd: map[string]bool{},
		scripted: map[graph.JobID]scriptedLivenessJob{},
	}
	l.began, l.hidden, l.cancelled, l.refusesEarlier = l.now, map[string]bool{}, map[graph.JobID]bool{}, true
	for i, x := range l.p.Roster() {
		l.addresses = append(l.addresses, x.Address)
		rate := 1.0
		if s.slowClocks && i%2 == 0 {
			rate = 0.98
		}
		if i%2 == 0 {
			x.ID, x.Labels = x.ID+"e", []string{"a", "even"}
			l.p.Add(x, rate, l.now)
		}
	}
	l.orderRate = s.orderRate
	if s.orderRate > 0 {
		l.m.SetMaxPendingStarts(s.orderRate / 5)
	}
	l.listTargets()
	l.hook()
	for _, j := range s.jobs {
		l.afterAnyLeader(j.at, func() { l.submitScripted(j, s.headroom && j.priority == 0) })
	}
	end := time.Duration(0)
	for _, x := range s.disruptions {
		end = max(end, x.until)
		l.plan(x)
	}
	l.watch = l.watchHolds(l.calm, l.stopped)
	look := l.advanced
	l.advanced = func() {
		l.leaveAtEnd()
		look()
	}
	for l.now.Before(l.began.Add(end+time.Minute)) && (l.now.Before(l.began.Add(end+maxLateBy)) || !l.allEnded() || len(l.submittedAt) < len(s.jobs)) {
		l.run(time.Second)
		if !l.is("stale list", "") {
			l.listTargets()
		}
	}
	return l
}

// submitScripted submits a job of the script, which may have less slack than a stop of 900 ms.
func (l *livenessRun) submitScripted(j scriptedLivenessJob, littleSlack bool) {
	spec := &graph.Job{Priority: j.priority, SlackFactor: 3, Allowance: time.Second, Steps: slices.Clone(j.steps), Advised: j.advised, AdviceValid: ticketTime}
	if littleSlack {
		spec.SlackFactor, spec.Allowance = 1, 500*time.Millisecond
	}
	id := l.submitJob(spec, j.behaviour())
	l.scripted[id] = j
	if j.cancel > 0 {
		l.afterAnyLeader(j.cancel, func() {
			l.cancelled[id] = true
			l.m.Cancel(id, l.now)
			l.p.RecordCancelled(id, l.now)
		})
	}
}

// faultsFound returns the breaches, and the jobs that have not ended as they should.
func (l *livenessRun) faultsFound() (found []string) {
	for _, b := range l.p.Breaches() {
		found = append(found, b.String())
	}
	for n := 1; n <= l.nextID; n++ {
		id := graph.JobID(fmt.Sprintf("%016x", n))
		switch state := l.state(id); {
		case state == progress.Completed || state == progress.Cancelled && l.cancelled[id] || state == progress.Failed && l.scripted[id].mayFail():
		default:
			v, _ := l.m.Job(id)
			found = append(found, fmt.Sprintf("job %s is %s: %s", id, state, v.Reason))
		}
	}
	return found
}

// hook has orders and answers meet the active disruptions.
func (l *livenessRun) hook() {
	l.dropCommand = func(c Command) bool {
		to := addressedTo(c).Host
		switch c.(type) {
		case Start, Stop:
			if l.is("lose orders", to) && l.rnd.IntN(2) == 0 {
				return true
			}
		}
		_, stop := c.(Stop)
		return stop && l.is("lose stops", to)
	}
	l.dropAnswer = func(c Command) bool {
		_, ok := c.(Start)
		return ok && l.is("answer lost", addressedTo(c).Host)
	}
	l.refuse = func(c Command) error {
		to := addressedTo(c).Host
		switch c.(type) {
		case Start:
			if l.is("refuse starts", to) {
				return order.ErrUnhealthy
			}
		case Stop:
			if l.is("refuse stops", to) {
				return order.ErrUnhealthy
			}
		}
		return nil
	}
	l.lateBy = func(c Command) time.Duration {
		to := addressedTo(c).Host
		if to == "" || !l.is("execute late", to) && !l.is("all execute late", "") || l.rnd.IntN(2) == 0 {
			return 0
		}
		return minLateBy + time.Duration(l.rnd.Int64N(int64(maxLateBy-minLateBy)))
	}
	l.advise = func(c Advise) (allowed []string, wait time.Duration, err error) {
		if l.rnd.IntN(10) == 0 {
			return nil, 300 * time.Millisecond, order.ErrUnanswered
		}
		for _, id := range c.Targets {
			if mayRun(c.Step, id) {
				allowed = append(allowed, id)
			}
		}
		return allowed, 20*time.Millisecond + 5*time.Millisecond*time.Duration(len(c.Targets)), nil
	}
	l.slowReport = func(c Poll) time.Duration {
		switch {
		case l.leavesAtEnd[c.Target.ID]:
			return 2 * simulationStep // time to leave before an end is read
		case !l.is("overtake", c.Target.Host):
			return 0
		}
		return time.Duration(l.rnd.IntN(900)) * time.Millisecond
	}
	l.slowAnswer = func(c Command) time.Duration {
		if !l.is("restart", addressedTo(c).Host) {
			return 0
		}
		return time.Duration(l.rnd.IntN(300)) * time.Millisecond
	}
}

// mayRun reports whether the advice service allows a step on a target, as it does for every other
// target of a rack.
func mayRun(id graph.StepID, targetID string) bool {
	address, _, _ := strings.Cut(targetID, "#")
	return (address[len(address)-1]+string(id.Job)[len(id.Job)-1])%2 == 0
}

// plan schedules a disruption.
func (l *livenessRun) plan(x disruption) {
	address := l.addresses[x.target%len(l.addresses)]
	during := func(kind, address string) {
		l.afterAnyLeader(x.at, func() { l.set(kind, address, 1) })
		l.afterAnyLeader(x.until, func() { l.set(kind, address, -1) })
	}
	at := func(when time.Duration, f func()) { l.afterAnyLeader(when, f) }
	switch x.kind {
	case "disconnected":
		during(x.kind, address)
		at(x.at, func() { l.disconnected[address] = true })
		at(x.until, func() { l.reconnect(address) })
	case "unseen by leader":
		during(x.kind, address)
		at(x.at, func() { l.disconnected[address] = true })
		at(x.until, func() {
			l.reconnect(address)
			l.changeLeader()
		})
	case "crash":
		at(x.at, func() { l.p.Crash(l.liveOn(address), l.now) })
	case "restart":
		during(x.kind, address)
		at(x.at+time.Second/2, func() { l.p.Restart(l.liveOn(address), time.Duration(20+l.rnd.IntN(500))*time.Millisecond, l.now) })
	case "replace", "replace at end":
		l.planReplacement(x, address)
	case "shrink":
		during(x.kind, address)
		at(x.at, func() { l.resize(address, func(c graph.Resources) graph.Resources { return scaled(c, 1, 4) }) })
		at(x.until, func() { l.resize(address, func(c graph.Resources) graph.Resources { return scaled(c, 4, 1) }) })
	case "unlisted":
		during(x.kind, address)
		at(x.at, func() { l.hidden[address] = true })
		at(x.until, func() { l.hidden[address] = l.is("unlisted", address) })
	case "takeover":
		at(x.at, l.changeLeader)
	case "store away", "store away, takeover":
		during("store away", "")
		at(x.at, func() { l.storeAway = true })
		at(x.until, func() {
			l.storeAway = l.is("store away", "")
			if x.kind != "store away" {
				l.changeLeader()
			}
		})
	case "stale list":
		during(x.kind, "")
		at(x.until, l.listTargets)
	case "zone cut", "zone cut, takeover":
		for _, y := range l.p.Roster() {
			if y.Zone == fmt.Sprintf("z%d", x.target%3) {
				l.plan(disruption{at: x.at, until: x.until, kind: "disconnected", target: slices.Index(l.addresses, y.Address)})
			}
		}
		if x.kind != "zone cut" {
			at((x.at+x.until)/2, l.changeLeader)
		}
	case "all execute late":
		during(x.kind, "")
	default:
		during(x.kind, address)
	}
}

// reconnect connects an address, unless another disruption keeps it disconnected.
func (l *livenessRun) reconnect(address string) {
	l.disconnected[address] = l.is("disconnected", address) || l.is("unseen by leader", address)
}

// planReplacement schedules that another target is added, and that the target at an address drains
// and leaves.
func (l *livenessRun) planReplacement(x disruption, address string) {
	old := ""
	l.afterAnyLeader(x.at, func() {
		if old = l.liveOn(address); old == "" {
			return
		}
		for _, y := range l.p.Roster() {
			if y.ID == old {
				y.ID, y.Address, y.Draining = y.ID+"n", y.Address+"n", false
				if l.liveOn(y.Address) == "" && !l.used(y.ID) {
					l.p.Add(y, 1, l.now)
				}
			}
		}
		l.listTargets()
	})
	l.afterAnyLeader(x.at+time.Second/2, func() {
		if old == "" || l.liveOn(address) != old {
			old = ""
			return
		}
		l.p.Drain(old)
		if x.kind == "replace at end" {
			l.leavesAtEnd[old] = true
		}
	})
	l.afterAnyLeader(x.until, func() {
		if old != "" {
			l.p.Kill(old, l.now)
		}
	})
}

// used reports whether a target had this id.
func (l *livenessRun) used(id string) bool { return l.m.targets[id] != nil }

// leaveAtEnd ends the targets that leave at an end that was not read.
func (l *livenessRun) leaveAtEnd() {
	if len(l.leavesAtEnd) == 0 {
		return
	}
	for _, x := range l.p.Roster() {
		t := l.m.targets[x.ID]
		if t != nil && l.leavesAtEnd[x.ID] && l.p.HasEndsAfter(t.address(), t.highestEnd) {
			l.p.Kill(x.ID, l.now)
			delete(l.leavesAtEnd, x.ID)
			l.set("disconnected", x.Address, 1) // so that a report under way is lost
			l.disconnected[x.Address] = true
			l.afterAnyLeader(100*time.Millisecond, func() {
				l.set("disconnected", x.Address, -1)
				l.reconnect(x.Address)
			})
		}
	}
}

// resize changes the capacity of the live target at an address.
func (l *livenessRun) resize(address string, change func(graph.Resources) graph.Resources) {
	for _, x := range l.p.Roster() {
		if x.Address == address {
			l.p.SetCapacity(x.ID, change(x.Capacity), l.now)
		}
	}
}

func scaled(c graph.Resources, by, of int) graph.Resources {
	return graph.Resources{CPU: c.CPU * by / of, MemoryMB: c.MemoryMB * by / of, Accelerators: c.Accelerators * by / of}
}

// Targets are replaced, restarted, disconnected and shrunk, lose orders and answers, leave the
// list and overtake their reports, while the store is away, the list is old and the leader changes;
// which and when is random by seed. No step stays without runs for longer than a lease may explain,
// all jobs are completed and no guarantee is violated.
func TestNoStepIsHeld(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) { checkLiveness(rt, t, drawLivenessScript(rt, targetKinds, false)) })
}

// The same with jobs of all sorts, some of which fail, crash their targets or are cancelled, and a host
// that sends few orders.
func TestNoStepOfTroubledJobsIsHeld(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) { checkLiveness(rt, t, drawLivenessScript(rt, targetKinds, true)) })
}

// The same with headroom for urgent jobs that have less slack than a stop takes. Guards against
// steps that are withheld without end, and against starts that headroom makes violate a guarantee.
func TestNoStepIsHeldForHeadroom(t *testing.T) {
	withheld := 0
	seeded.Check(t, func(rt *rapid.T) {
		s := drawLivenessScript(rt, targetKinds, rapid.Bool().Draw(rt, "troubled"))
		s.headroom = true
		for _, line := range checkLiveness(rt, t, s).log {
			if strings.Contains(line, "withheld for headroom") {
				withheld++
			}
		}
	})
	if withheld == 0 {
		t.Error("no step was withheld in any script")
	}
}

// checkLiveness runs a script, fails the test if it finds a fault, and returns the run.
func checkLiveness(rt *rapid.T, t testing.TB, s livenessScript) *livenessRun {
	l := s.run(t)
	found := append(l.watch.tooLong(), l.faultsFound()...)
	if len(found) > 0 {
		rt.Fatalf("%s\n%s\n%s", s, strings.Join(found, "\n"), strings.Join(l.log, "\n"))
	}
	return l
}
