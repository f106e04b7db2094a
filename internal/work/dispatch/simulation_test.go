package dispatch

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/limiter"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// Times of the simulation, as in current deployments.
const (
	simulationStep = 10 * time.Millisecond
	oneWay         = time.Millisecond
	saveTime       = 12 * time.Millisecond
)

// simulation runs a machine against the stand-in targets in simulated time.
type simulation struct {
	t           testing.TB
	m           *Machine
	p           *pool.Pool
	now         time.Time
	events      []event              // by time
	version     int64                // of the last save
	dropCommand func(c Command) bool // selects starts, stops and polls that are lost without an answer; nil: none
	dropAnswer  func(c Command) bool // selects starts that are executed but whose answer is lost; nil: none
	// lateBy returns how long after it was sent an order is executed, without an answer; 0: at
	// once and with an answer. nil: no order is late.
	lateBy func(c Command) time.Duration
	// refusesEarlier is whether targets that return under their ids refuse late orders that were
	// sent to an earlier incarnation.
	refusesEarlier bool
	// disconnected holds the addresses that orders and their answers do not pass to and from.
	// Orders that are late arrive nevertheless.
	disconnected map[string]bool
	// startsQueued is whether starts have queued in the host for so long that they carry the latest
	// deadline that they may have.
	startsQueued bool
	// slowAnswer returns by how much the answer to a start or stop is late; nil: none is.
	slowAnswer func(c Command) time.Duration
	// slowReport returns by how much the answer to a poll is late, after it was written; nil: none is.
	slowReport func(c Poll) time.Duration
	// refuse returns the error with which a target refuses a start, stop or poll without executing
	// it; nil: no error, or none is refused.
	refuse func(c Command) error
	// storeAway is whether saves fail.
	storeAway bool
	// hidden holds the addresses whose targets are missing from the list.
	hidden map[string]bool
	// unwritten holds entries that their targets do not write again, by address.
	unwritten map[string]roster.Target
	// advise answers calls for advice: the targets that may run a step, or an error, after some time.
	// nil: calls are not answered.
	advise func(c Advise) (allowed []string, wait time.Duration, err error)
	// cancelled holds the jobs whose cancellation is stored.
	cancelled map[graph.JobID]bool
	// advanced is called after each advance of the targets; nil: nothing is.
	advanced          func()
	log               []string // decisions that the machine logged
	silentCrashes     bool     // polls of a target that crashes are lost, instead of broken off
	decisionScheduled bool     // events has one for the next decision
	// slowSaveTime is the duration of a save if it is longer than saveTime.
	slowSaveTime time.Duration
	endedAt      map[graph.JobID]time.Time // when jobs were published as ended
	submittedAt  map[graph.JobID]time.Time
	nextID       int
	bounds       Bounds
	options      []Option                   // of the machine of each leader
	specs        map[graph.JobID]*graph.Job // of jobs submitted with submitJob
	rows         map[graph.JobID][]byte     // saved progress
	reports      map[graph.JobID]JobEnded   // of jobs that ended
	orderRate    int                        // orders that the host can send in a second; 0: any number
	unsent       [limiter.Probe + 1][]Command
}

// event is an action at a simulated time.
type event struct {
	at             time.Time
	do             func()
	outlivesLeader bool // it is not dropped when the leader changes
}

// newSimulation returns a simulation of a machine in term 1 with racks of targets that have
// eight accelerators each, the racks in zones z0 to z2 in turn. The machine may place work
// and has the targets' first reports.
func newSimulation(t testing.TB, racks, perRack int, b Bounds) *simulation {
	return newSimulationOf(t, racks, perRack, b, pool.DefaultBounds())
}

// newSimulationOf is newSimulation with the given bounds of the targets and options of the
// machine.
func newSimulationOf(t testing.TB, racks, perRack int, b Bounds, targets pool.Bounds, opts ...Option) *simulation {
	d := &simulation{
		t: t, p: pool.New(targets), now: time.Unix(1000, 0),
		endedAt: map[graph.JobID]time.Time{}, submittedAt: map[graph.JobID]time.Time{},
		disconnected: map[string]bool{}, bounds: b, specs: map[graph.JobID]*graph.Job{}, rows: map[graph.JobID][]byte{}, reports: map[graph.JobID]JobEnded{},
	}
	for r := range racks {
		for i := range perRack {
			name := fmt.Sprintf("r%d-%d", r, i)
			d.p.Add(roster.Target{
				ID: name + "#1", Address: name, Zone: fmt.Sprintf("z%d", r%3), Service: "s",
				Capacity: graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8}, Labels: []string{"a"}, Rack: fmt.Sprintf("r1-%d", r),
			}, 1, d.now)
		}
	}
	d.options = append(opts, WithLog(d))
	d.m = New(1, b, d.options...)
	d.listTargets()
	d.m.EnablePlacement(d.now, d.now)
	d.decide()
	d.run(100 * time.Millisecond)
	return d
}

// listTargets passes the current list of targets to the machine, and has it decide.
func (d *simulation) listTargets() {
	d.m.UpdateTargets(d.roster(), d.now, d.now)
	d.decide()
}

// roster returns the list of targets, without those that are hidden.
func (d *simulation) roster() []roster.Target {
	list := slices.DeleteFunc(d.p.Roster(), func(x roster.Target) bool { return d.hidden[x.Address] })
	for i, x := range list {
		if earlier, ok := d.unwritten[x.Address]; ok {
			list[i] = earlier
		}
	}
	return list
}

// runWithListing runs the simulation for some seconds and lists the targets after each.
func (d *simulation) runWithListing(seconds int) {
	for range seconds {
		d.run(time.Second)
		d.listTargets()
	}
}

// Decided implements Log.
func (d *simulation) Decided(message string, kv ...any) {
	d.log = append(d.log, fmt.Sprintf("%7.3f %s %v", d.now.Sub(time.Unix(1000, 0)).Seconds(), message, kv))
}

// Recorded implements Log.
func (d *simulation) Recorded(message string, kv ...any) { d.Decided(message, kv...) }

// after schedules an event of the present leader.
func (d *simulation) after(wait time.Duration, f func()) {
	d.schedule(event{at: d.now.Add(wait), do: f})
}

// afterAnyLeader schedules an event that takes place whoever leads then.
func (d *simulation) afterAnyLeader(wait time.Duration, f func()) {
	d.schedule(event{at: d.now.Add(wait), do: f, outlivesLeader: true})
}

func (d *simulation) schedule(e event) {
	at, _ := slices.BinarySearchFunc(d.events, e, func(a, b event) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return -1
	})
	d.events = slices.Insert(d.events, at, e)
}

// run runs the simulation for some time. The machine ticks each 100 ms, and decides after
// each event and tick.
func (d *simulation) run(span time.Duration) {
	until := d.now.Add(span)
	for d.now.Before(until) {
		next := d.now.Add(simulationStep)
		for len(d.events) > 0 && !d.events[0].at.After(next) {
			e := d.events[0]
			d.events = d.events[1:]
			if e.at.After(d.now) {
				d.now = e.at
			}
			e.do()
			d.decide()
		}
		d.now = next
		d.p.Advance(d.now)
		if d.advanced != nil {
			d.advanced()
		}
		d.sendQueued(simulationStep)
		if d.now.UnixMilli()%100 == 0 {
			d.m.Tick(d.now)
			d.decide()
		}
	}
}

// decide has the machine decide and executes its commands. It schedules the next decision
// if the machine asks for one, and notes which jobs have ended.
func (d *simulation) decide() {
	for _, c := range d.m.Decide(d.now) {
		d.send(c)
	}
	if at, due := d.m.NextDecision(d.now); due && !d.decisionScheduled {
		d.decisionScheduled = true
		d.after(max(at.Sub(d.now), 0), func() { d.decisionScheduled = false })
	}
	for id := range d.submittedAt {
		if s, ok := d.m.State(id); ok && s.Final() {
			if _, seen := d.endedAt[id]; !seen {
				d.endedAt[id] = d.now
				if s == progress.Completed {
					d.p.RecordCompleted(id, d.now)
				}
			}
		}
	}
}

// send executes a command, or queues it by its class if the host sends a limited number of
// orders. Polls that wait are not limited.
func (d *simulation) send(c Command) {
	class, limited := limiter.Stop, d.orderRate > 0
	switch c := c.(type) {
	case Start:
		class = c.Class
	case Stop:
		class = c.Class
	case Poll:
		class, limited = c.Class, limited && c.Order.Wait == 0
	default:
		limited = false
	}
	if !limited {
		d.execute(c)
		return
	}
	d.unsent[class] = append(d.unsent[class], c)
}

// sendQueued executes the orders that the host can send in a time, of higher classes first.
func (d *simulation) sendQueued(span time.Duration) {
	n := int(int64(d.orderRate) * int64(span) / int64(time.Second))
	for class := range d.unsent {
		k := min(n, len(d.unsent[class]))
		for _, c := range d.unsent[class][:k] {
			d.execute(c)
		}
		d.unsent[class] = d.unsent[class][k:]
		n -= k
	}
}

// withdraw removes the start of a run from those that wait in the host.
func (d *simulation) withdraw(w Withdraw) {
	for class := range d.unsent {
		d.unsent[class] = slices.DeleteFunc(d.unsent[class], func(c Command) bool {
			s, ok := c.(Start)
			found := ok && s.Target.ID == w.Target && s.Order.Run == w.Run
			if found {
				d.after(0, func() { d.m.StartAnswered(s, 0, order.ErrWithheld, d.now) })
			}
			return found
		})
	}
}

// Times after which an order without an answer fails.
const (
	orderTimeout = 350 * time.Millisecond
	pollTimeout  = 600 * time.Millisecond // after the end of the poll's wait
)

// execute executes an order or save, whose outcome reaches the machine after the simulated
// delays. It ignores other commands.
func (d *simulation) execute(c Command) {
	if s, ok := c.(Start); ok && s.Expired(d.now) {
		d.refuseOrder(c, order.ErrWithheld)
		return
	}
	if s, ok := c.(Start); ok && d.startsQueued {
		s.Order.Deadline = s.LatestDeadline
		c = s
	}
	lost := d.dropCommand != nil && d.dropCommand(c)
	answerLost := d.dropAnswer != nil && d.dropAnswer(c)
	if d.lateBy != nil && !lost {
		if wait := d.lateBy(c); wait > 0 {
			d.executeLate(c, wait)
			lost, answerLost = true, false
		}
	}
	if d.refuse != nil && !lost {
		if err := d.refuse(c); err != nil {
			d.refuseOrder(c, err)
			return
		}
	}
	term := d.m.Term()
	switch c := c.(type) {
	case Withdraw:
		d.withdraw(c)
	case Start:
		if answerLost {
			d.after(oneWay, func() { _, _ = d.p.Start(c.Target, c.OrderAt(d.now), d.now) })
			lost = true
		}
		d.deliver(c, c.Target.Host, lost, func() (int64, error) { return d.p.Start(c.Target, c.OrderAt(d.now), d.now) }, func(clock int64, err error) {
			d.m.StartAnswered(c, clock, err, d.now)
		})
	case Stop:
		d.deliver(c, c.Target.Host, lost, func() (int64, error) { return d.p.Stop(c.Target, c.Run, term, d.now) }, func(clock int64, err error) {
			d.m.StopAnswered(c, clock, err, d.now)
		})
	case Pace:
		d.deliver(c, c.Target.Host, lost, func() (int64, error) { return d.p.Pace(c.Target, term, d.now) }, func(clock int64, err error) {
			d.m.PaceAnswered(c, clock, err, d.now)
		})
	case Poll:
		until := d.now.Add(c.Order.Wait)
		if lost {
			d.failPoll(c, until)
			return
		}
		d.after(oneWay, func() { d.answerPoll(c, c.Order, until.Add(oneWay)) })
	case Advise:
		d.answerAdvise(c)
	case JobEnded:
		d.recordReport(c)
	case Save:
		m := d.m
		d.after(max(saveTime, d.slowSaveTime), func() {
			if m != d.m {
				return // refused: a newer leader has written the fence row
			}
			if d.storeAway {
				d.m.SaveFailed(c.Partition, d.now)
				return
			}
			d.version++
			for _, r := range c.Rows {
				d.rows[r.Job] = r.Value
			}
			d.m.Saved(c.Partition, d.version, d.now)
		})
	}
}

// answerAdvise answers a call for advice with tickets that are valid for ticketTime.
func (d *simulation) answerAdvise(c Advise) {
	if d.advise == nil {
		return
	}
	asked := d.now
	allowed, wait, err := d.advise(c)
	var granted []order.Permit
	for _, id := range allowed {
		granted = append(granted, order.Permit{Target: id, Ticket: "ticket"})
	}
	d.after(wait, func() { d.m.Advised(c, granted, ticketTime, asked, err, d.now) })
}

// ticketTime is the validity of tickets.
const ticketTime = 3 * time.Second

// refuseOrder has a target answer an order with an error and without executing it. It ignores
// commands that are no starts, stops or polls.
func (d *simulation) refuseOrder(c Command, err error) {
	d.after(2*oneWay, func() {
		switch c := c.(type) {
		case Start:
			d.m.StartAnswered(c, 0, err, d.now)
		case Stop:
			d.m.StopAnswered(c, 0, err, d.now)
		case Poll:
			d.m.PollFailed(c.Target.ID, c, err, d.now)
		}
	})
}

// executeLate executes an order after some time, whoever leads then and whether its target is
// disconnected or not. The order is the one that was sent: its deadline may have passed. It
// ignores commands that are no orders.
func (d *simulation) executeLate(c Command, wait time.Duration) {
	term, sentTo := d.m.Term(), d.startedAt(addressedTo(c))
	d.afterAnyLeader(wait, func() {
		if d.refusesEarlier && d.startedAt(addressedTo(c)) != sentTo {
			return
		}
		switch c := c.(type) {
		case Start:
			_, _ = d.p.Start(c.Target, c.Order, d.now)
		case Stop:
			_, _ = d.p.Stop(c.Target, c.Run, term, d.now)
		case Pace:
			_, _ = d.p.Pace(c.Target, term, d.now)
		case Poll:
			_, _ = d.p.Poll(c.Target, c.Order, d.now)
		}
	})
}

// startedAt returns when the live incarnation of a target started, 0 if there is none.
func (d *simulation) startedAt(to order.Address) int64 {
	for _, x := range d.p.Roster() {
		if x.ID == to.ID {
			return x.StartedAt
		}
	}
	return 0
}

// deliver executes an order for an address and passes its answer to the machine. If the order or
// the answer is lost, it passes ErrUnanswered after a while.
func (d *simulation) deliver(c Command, address string, lost bool, do func() (int64, error), answer func(clock int64, err error)) {
	failAt := d.now.Add(orderTimeout)
	fail := func() { d.after(failAt.Sub(d.now), func() { answer(0, order.ErrUnanswered) }) }
	if lost {
		fail()
		return
	}
	back := oneWay
	if d.slowAnswer != nil {
		back += d.slowAnswer(c)
	}
	d.after(oneWay, func() {
		if d.disconnected[address] {
			fail()
			return
		}
		clock, err := do()
		d.after(back, func() {
			if d.disconnected[address] {
				fail()
				return
			}
			answer(clock, err)
		})
	})
}

// failPoll has a poll that waits until a time fail without an answer.
func (d *simulation) failPoll(c Poll, until time.Time) {
	d.after(max(until.Sub(d.now), 0)+pollTimeout, func() { d.m.PollFailed(c.Target.ID, c, order.ErrUnanswered, d.now) })
}

// answerPoll answers a poll once there is an end to list, it fails or its wait is over. Only
// the first of the polls of the stand-in target grants a lease and acknowledges ends.
func (d *simulation) answerPoll(c Poll, o order.Poll, until time.Time) {
	if d.disconnected[c.Target.Host] {
		d.failPoll(c, until)
		return
	}
	rep, err := d.p.Poll(c.Target, o, d.now)
	if d.silentCrashes && errors.Is(err, order.ErrUnreached) {
		d.failPoll(c, until)
		return
	}
	if err == nil && len(rep.Ended) == 0 && d.now.Before(until) {
		o.Deadline, o.Acked = 0, 0
		d.after(simulationStep, func() { d.answerPoll(c, o, until) })
		return
	}
	back := oneWay
	if d.slowReport != nil && err == nil {
		back += d.slowReport(c)
	}
	d.after(back, func() {
		switch {
		case d.disconnected[c.Target.Host]:
			d.failPoll(c, until)
		case err != nil:
			d.m.PollFailed(c.Target.ID, c, err, d.now)
		default:
			d.m.Polled(c.Target.ID, c, rep, d.now)
		}
	})
}

// submit submits a job whose tasks each take the given work and have three attempts, and has
// the machine decide. Jobs of priority 0 have less slack than others.
func (d *simulation) submit(priority int, work time.Duration, steps ...graph.Step) graph.JobID {
	j := &graph.Job{Priority: priority, SlackFactor: 3, Allowance: time.Second, Steps: steps}
	if priority == 0 {
		j.SlackFactor, j.Allowance = 1.5, 250*time.Millisecond
	}
	return d.submitJob(j, pool.Behaviour{Work: func(graph.TaskID) time.Duration { return work }})
}

// submitJob submits a job whose id, queue, service and account it sets, with three attempts
// at least, and has the machine decide.
func (d *simulation) submitJob(j *graph.Job, b pool.Behaviour) graph.JobID {
	d.nextID++
	j.ID, j.Queue, j.Service, j.Account = graph.JobID(fmt.Sprintf("%016x", d.nextID)), "q", "s", "a"
	j.MaxAttempts, j.AcceptedAt = max(j.MaxAttempts, 3), d.now.UnixMilli()
	d.p.Submit(j, b)
	d.submittedAt[j.ID], d.specs[j.ID] = d.now, j
	d.m.Accept(j, d.now)
	d.decide()
	return j.ID
}

// changeLeader replaces the machine by that of the next term, which knows only what was
// saved and what the targets report. Answers to the earlier one are lost.
func (d *simulation) changeLeader() {
	d.events = slices.DeleteFunc(d.events, func(e event) bool { return !e.outlivesLeader })
	d.decisionScheduled, d.unsent = false, [limiter.Probe + 1][]Command{}
	d.m = New(d.m.Term()+1, d.bounds, d.options...)
	for n := 1; n <= d.nextID; n++ {
		id := graph.JobID(fmt.Sprintf("%016x", n))
		var p *progress.Job
		if row := d.rows[id]; row != nil {
			var err error
			if p, err = progress.Decode(row); err != nil {
				d.t.Fatal(err)
			}
		}
		d.m.Restore(d.specs[id], p, 1, d.cancelled[id], d.now)
	}
	d.m.UpdateTargets(d.roster(), d.now, d.now)
	d.m.EnablePlacement(d.now.Add(d.bounds.Lease+d.bounds.Lease/16), d.now)
	d.decide()
}

// duration returns the time from a job's submission until it was published as ended, or 0
// if it has not ended.
func (d *simulation) duration(id graph.JobID) time.Duration {
	at, ok := d.endedAt[id]
	if !ok {
		return 0
	}
	return at.Sub(d.submittedAt[id])
}

// check fails the test for each breach that the stand-in targets saw, and for each submitted
// job that has not ended; a job that failed has ended. It prints the newest decisions if the
// test has failed.
func (d *simulation) check() {
	d.t.Helper()
	for _, b := range d.p.Breaches() {
		d.t.Error(b)
	}
	for id := range d.submittedAt {
		if s, _ := d.m.State(id); !s.Final() {
			d.t.Errorf("job %s is %s", id, s)
		}
	}
	if d.t.Failed() {
		for _, l := range d.log[max(0, len(d.log)-200):] {
			d.t.Log(l)
		}
	}
}

// state returns the state of a job as the machine has it, empty for an unknown job.
func (d *simulation) state(id graph.JobID) progress.State {
	s, _ := d.m.State(id)
	return s
}

// small returns a step of single tasks that need one accelerator each.
func small(count int) graph.Step {
	return graph.Step{Count: count, Needs: graph.Resources{CPU: 5600, MemoryMB: 29000, Accelerators: 1}, Estimate: 6 * time.Second}
}

// largeGang returns a gang of large tasks on one rack.
func largeGang(count, accelerators int) graph.Step {
	return graph.Step{
		Count: count, Needs: graph.Resources{CPU: 26000, MemoryMB: 75000, Accelerators: accelerators},
		Estimate: 8500 * time.Millisecond, Gang: true, SameRack: true,
	}
}

// urgentGang returns a gang such as urgent jobs consist of.
func urgentGang(count, accelerators int) graph.Step {
	return graph.Step{
		Count: count, Needs: graph.Resources{CPU: 7500, MemoryMB: 39000, Accelerators: accelerators},
		Estimate: 2500 * time.Millisecond, Gang: true, SameRack: true,
	}
}
