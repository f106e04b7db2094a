package pool

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// Bounds are the figures of the targets.
type Bounds struct {
	Lease       time.Duration // longest that is granted
	StopTime    time.Duration
	GangTimeout time.Duration
	SaveEvery   time.Duration // of work, between two checkpoints
	Far         float64
}

// DefaultBounds returns the figures of today's deployments.
func DefaultBounds() Bounds {
	return Bounds{
		Lease: 6 * time.Second, StopTime: 400 * time.Millisecond, GangTimeout: 3 * time.Second,
		SaveEvery: 2 * time.Second, Far: 3,
	}
}

// Behaviour is what the tasks of a job do.
type Behaviour struct {
	Work     func(id graph.TaskID) time.Duration         // of one run from its beginning
	Fails    func(id graph.TaskID, run int) bool         // through the task's own fault
	FailTime func(id graph.TaskID, run int) (at float64) // share of the work after which it fails
}

// work is a job that was submitted.
type work struct {
	job       *graph.Job
	does      Behaviour
	cancelled time.Time             // when its cancelling was acknowledged; zero: it was not
	done      map[graph.TaskID]bool // ended as done, wherever
	noted     map[graph.TaskID]bool // such an end was acknowledged
	failures  map[graph.TaskID]int  // ends as failed that were acknowledged
}

// Breach is a start that breaks a promise.
type Breach struct {
	At     time.Time
	Rule   string
	Target string
	Run    order.Run
	Why    string
}

// String returns the breach as one line.
func (b Breach) String() string {
	return fmt.Sprintf("%s %s: %s run %d on %s: %s", b.At.Format("05.000"), b.Rule, b.Run.Task, b.Run.Number, b.Target, b.Why)
}

// Pool is the stand-in's state. It is not safe for several goroutines.
type Pool struct {
	bounds   Bounds
	targets  map[string]*target // by id, the dead ones too
	byHost   map[string]*target // the life at an address
	jobs     map[graph.JobID]*work
	breaches []Breach
	starts   int
	now      time.Time
	lookup   Lookup // nil: jobs are made known by Submit only
}

// Lookup finds a job that was not made known; nil if there is none.
type Lookup func(id graph.JobID) (*graph.Job, Behaviour)

// LearnBy sets where jobs are found that start without having been made known.
func (p *Pool) LearnBy(f Lookup) { p.lookup = f }

// find returns a job, nil if nobody submitted it.
func (p *Pool) find(id graph.JobID) *work {
	if p.jobs[id] == nil && p.lookup != nil {
		if j, does := p.lookup(id); j != nil {
			p.Submit(j, does)
		}
	}
	return p.jobs[id]
}

// New returns a pool without targets.
func New(b Bounds) *Pool {
	return &Pool{bounds: b, targets: map[string]*target{}, byHost: map[string]*target{}, jobs: map[graph.JobID]*work{}}
}

// Add begins a life of a target. The one before it at the address is over.
func (p *Pool) Add(t roster.Target, rate float64, now time.Time) {
	if old := p.byHost[t.Address]; old != nil {
		p.Kill(old.ID, now)
	}
	life := &target{Target: t, born: now, rate: rate, speed: 1, runs: map[order.Run]*exec{}, barred: map[graph.TaskID]int{}}
	p.targets[t.ID], p.byHost[t.Address] = life, life
}

// Kill ends a life. Nothing is listed any more.
func (p *Pool) Kill(id string, now time.Time) {
	t := p.targets[id]
	if t == nil || t.dead {
		return
	}
	p.Advance(now)
	t.dead = true
	for _, x := range t.sorted() {
		delete(t.runs, x.Run)
		p.breakGang(x)
	}
	if p.byHost[t.Address] == t {
		delete(p.byHost, t.Address)
	}
}

// Hang has the tasks of a target stand still, or go on.
func (p *Pool) Hang(id string, on bool) { p.targets[id].hangs = on }

// Slow sets the speed of a target's tasks: 1 is that of a sound one.
func (p *Pool) Slow(id string, speed float64) { p.targets[id].speed = speed }

// FailAll has everything that a target starts fail.
func (p *Pool) FailAll(id string, on bool) { p.targets[id].fails = on }

// Reject has a target take no work, or take it again.
func (p *Pool) Reject(id string, on bool) { p.targets[id].rejects = on }

// Submit makes a job known; starts of others are breaches.
func (p *Pool) Submit(j *graph.Job, b Behaviour) {
	p.jobs[j.ID] = &work{job: j, does: b, done: map[graph.TaskID]bool{}, noted: map[graph.TaskID]bool{}, failures: map[graph.TaskID]int{}}
}

// Knows reports whether a job was made known.
func (p *Pool) Knows(id graph.JobID) bool { return p.jobs[id] != nil }

// Cancelled notes that a job's cancelling was acknowledged.
func (p *Pool) Cancelled(id graph.JobID, now time.Time) {
	if w := p.jobs[id]; w != nil && w.cancelled.IsZero() {
		w.cancelled = now
	}
}

// Breaches returns the promises broken so far.
func (p *Pool) Breaches() []Breach { return p.breaches }

// Starts returns how many runs were started.
func (p *Pool) Starts() int { return p.starts }

// StartsOn returns how many runs were started on a target.
func (p *Pool) StartsOn(id string) int { return p.targets[id].starts }

// BusyOf returns how many runs of a job are there.
func (p *Pool) BusyOf(id graph.JobID) int {
	n := 0
	for _, t := range p.targets {
		for r := range t.runs {
			if r.Task.Job == id {
				n++
			}
		}
	}
	return n
}

// Done returns how many tasks of a job have ended as done.
func (p *Pool) Done(id graph.JobID) int { return len(p.jobs[id].done) }

// Busy returns how many runs are there.
func (p *Pool) Busy() int {
	n := 0
	for _, t := range p.targets {
		n += len(t.runs)
	}
	return n
}

// Roster returns the targets that live, sorted.
func (p *Pool) Roster() []roster.Target {
	var list []roster.Target
	for _, t := range p.targets {
		if !t.dead {
			list = append(list, t.Target)
		}
	}
	slices.SortFunc(list, func(a, b roster.Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Drain has a target say that it leaves.
func (p *Pool) Drain(id string) { p.targets[id].Draining = true }

// reach returns the life that an order is for.
func (p *Pool) reach(to order.Address) (*target, error) {
	t := p.byHost[to.Host]
	if t == nil {
		return nil, order.ErrUnreached
	}
	if t.ID != to.ID {
		return nil, order.ErrOtherLife
	}
	return t, nil
}

// fence takes a token, or refuses a lower one.
func (t *target) fence(term int64) error {
	if term < t.token {
		return order.ErrFenced
	}
	t.token = term
	return nil
}

// renew moves the lease on, at most by the longest that is granted.
func (p *Pool) renew(t *target, deadline int64, now time.Time) {
	longest := t.clock(now) + p.bounds.Lease.Milliseconds()
	t.lease = max(t.lease, min(deadline, longest))
}

// Start carries out a start.
func (p *Pool) Start(to order.Address, s order.Start, now time.Time) (int64, error) {
	p.Advance(now)
	t, err := p.reach(to)
	if err != nil {
		return 0, err
	}
	clock := t.clock(now)
	if err := t.fence(s.Term); err != nil {
		return clock, err
	}
	switch {
	case t.rejects:
		return clock, order.ErrUnhealthy
	case t.runs[s.Run] != nil:
		p.renew(t, s.Deadline, now)
		return clock, nil
	case s.Run.Number <= t.barred[s.Run.Task]:
		p.renew(t, s.Deadline, now)
		return clock, order.ErrStaleRun
	case s.Deadline <= clock:
		return clock, order.ErrLate
	}
	w := p.find(s.Run.Task.Job)
	if w == nil || s.Run.Task.Step >= len(w.job.Steps) {
		p.breach("UNASKED", t, s.Run, "nobody submitted it")
		return clock, order.ErrInvalid
	}
	p.renew(t, s.Deadline, now)
	p.begin(t, w, s, now)
	return clock, nil
}

// begin puts a run on a target.
func (p *Pool) begin(t *target, w *work, s order.Start, now time.Time) {
	step := &w.job.Steps[s.Run.Task.Step]
	x := &exec{Run: s.Run, target: t, def: w, step: step, startAt: now}
	p.judge(x, s.Checkpoint)
	p.starts++
	t.starts++
	x.total = w.does.Work(s.Run.Task)
	if step.DataRack != "" && t.Rack != step.DataRack {
		x.total = time.Duration(float64(x.total) * p.bounds.Far)
	}
	x.willFail = t.fails || (w.does.Fails != nil && w.does.Fails(s.Run.Task, s.Run.Number))
	x.base = parseCheckpoint(s.Checkpoint)
	x.saved = x.base
	x.left = max(x.total-x.base, 0)
	t.runs[s.Run] = x
	x.works = !step.Gang
	if step.Gang {
		p.joinGang(x)
	}
}

// Stop carries out a stop.
func (p *Pool) Stop(to order.Address, r order.Run, term int64, now time.Time) (int64, error) {
	p.Advance(now)
	t, err := p.reach(to)
	if err != nil {
		return 0, err
	}
	clock := t.clock(now)
	if err := t.fence(term); err != nil {
		return clock, err
	}
	t.barred[r.Task] = max(t.barred[r.Task], r.Number)
	if x := t.runs[r]; x != nil && x.stopAt.IsZero() {
		x.stopAt = now.Add(p.bounds.StopTime / 2)
	}
	return clock, nil
}

// Hold carries out a hold that does not wait.
func (p *Pool) Hold(to order.Address, h order.Hold, now time.Time) (order.Report, error) {
	p.Advance(now)
	t, err := p.reach(to)
	if err != nil {
		return order.Report{}, err
	}
	if err := t.fence(h.Term); err != nil {
		return order.Report{}, err
	}
	p.renew(t, h.Deadline, now)
	p.acknowledge(t, h.Acked)
	rep := order.Report{Clock: t.clock(now)}
	for _, x := range t.sorted() {
		rep.Running = append(rep.Running, order.Running{Run: x.Run, Checkpoint: x.checkpoint(), Percent: x.percent()})
	}
	rep.Ended = slices.Clone(t.ended)
	return rep, nil
}

// Unlisted reports whether a target has an end to tell.
func (p *Pool) Unlisted(to order.Address, acked int64) bool {
	t := p.byHost[to.Host]
	return t != nil && len(t.ended) > 0 && t.ended[len(t.ended)-1].Number > acked
}

func (x *exec) percent() int {
	if x.total <= 0 {
		return 100
	}
	return int(100 * (x.total - x.left) / x.total)
}

// acknowledge forgets ends, and notes what they said.
func (p *Pool) acknowledge(t *target, through int64) {
	for len(t.ended) > 0 && t.ended[0].Number <= through {
		e := t.ended[0]
		t.ended = t.ended[1:]
		if e.Number <= t.lapsed {
			continue
		}
		w := p.jobs[e.Run.Task.Job]
		switch e.How {
		case order.Done:
			w.noted[e.Run.Task] = true
		case order.Failed:
			w.failures[e.Run.Task]++
		}
	}
	t.acked = max(t.acked, through)
}

// Advance lets time pass. Steps should be short: within one, things happen in a
// fixed order.
func (p *Pool) Advance(now time.Time) {
	passed := now.Sub(p.now)
	if p.now.IsZero() || passed <= 0 {
		if passed > 0 || p.now.IsZero() {
			p.now = now
		}
		return
	}
	p.now = now
	for _, t := range p.sorted() {
		if !t.dead {
			p.advance(t, passed, now)
		}
	}
}

func (p *Pool) sorted() []*target {
	list := make([]*target, 0, len(p.targets))
	for _, t := range p.targets {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (p *Pool) advance(t *target, passed time.Duration, now time.Time) {
	if len(t.runs) > 0 && t.clock(now) >= t.lease {
		t.lapsed = t.number
		for _, x := range t.sorted() {
			if t.runs[x.Run] == x {
				t.end(x, order.Lapsed)
				p.breakGang(x)
			}
		}
		return
	}
	for _, x := range t.sorted() {
		if t.runs[x.Run] == x {
			p.advanceRun(x, passed, now)
		}
	}
}

func (p *Pool) advanceRun(x *exec, passed time.Duration, now time.Time) {
	switch {
	case !x.stopAt.IsZero() && !now.Before(x.stopAt):
		if x.works {
			x.saved = x.base + x.total - x.base - x.left
		}
		x.target.end(x, order.Stopped)
		p.breakGang(x)
		return
	case !x.works && now.Sub(x.startAt) >= p.bounds.GangTimeout:
		x.target.end(x, order.Alone)
		p.breakGang(x)
		return
	case !x.works || x.target.hangs:
		return
	}
	x.left -= time.Duration(float64(passed) * x.target.speed)
	if done := x.total - x.left; x.step.Checkpointing && done-x.saved >= p.bounds.SaveEvery {
		x.saved = done
	}
	if x.step.Lasting {
		x.left = max(x.left, 1)
	}
	if x.willFail && x.left <= x.total/2 {
		x.target.end(x, order.Failed)
		p.breakGang(x)
		return
	}
	if x.left <= 0 {
		p.finish(x)
	}
}

// finish ends a run as done, with its whole gang.
func (p *Pool) finish(x *exec) {
	for _, y := range p.gang(x) {
		y.def.done[y.Task] = true
		y.target.end(y, order.Done)
	}
}

// gang returns the runs that work together with x, itself among them.
func (p *Pool) gang(x *exec) []*exec {
	if !x.step.Gang {
		return []*exec{x}
	}
	var members []*exec
	for _, t := range p.sorted() {
		for _, y := range t.sorted() {
			if !t.dead && y.Task.StepID == x.Task.StepID && y.Number == x.Number {
				members = append(members, y)
			}
		}
	}
	return members
}

// joinGang lets a gang work once all its members are there.
func (p *Pool) joinGang(x *exec) {
	members := p.gang(x)
	if len(members) < x.step.Count {
		return
	}
	total, racks := time.Duration(0), map[string]bool{}
	for _, y := range members {
		total = max(total, y.total)
		racks[y.target.Rack] = true
	}
	if x.step.SameRack && len(racks) > 1 {
		total = time.Duration(float64(total) * p.bounds.Far)
	}
	for _, y := range members {
		y.works, y.total = true, total
		y.left = max(total-y.base, 0)
	}
}

// breakGang ends the other members after one ended.
func (p *Pool) breakGang(x *exec) {
	if !x.step.Gang {
		return
	}
	for _, y := range p.gang(x) {
		if y != x {
			y.target.end(y, order.Broken)
		}
	}
}

// formatCheckpoint returns a checkpoint that names its task, or its gang, and
// the work that it covers.
func formatCheckpoint(id graph.TaskID, gang bool, saved time.Duration) string {
	name := id.String()
	if gang {
		name = id.StepID.String()
	}
	return name + "@" + strconv.FormatInt(int64(saved), 10)
}

func parseCheckpoint(c string) time.Duration {
	_, n, _ := strings.Cut(c, "@")
	v, err := strconv.ParseInt(n, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(v)
}
