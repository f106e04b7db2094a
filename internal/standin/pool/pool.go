package pool

import (
	"fmt"
	"slices"
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
	Work  func(id graph.TaskID) time.Duration // of one run from its beginning
	Fails func(id graph.TaskID, run int) bool // through the task's own fault, half way
}

// work is a job that was submitted.
type work struct {
	job       *graph.Job
	does      Behaviour
	cancelled time.Time             // when its cancelling was acknowledged; zero: it was not
	done      map[graph.TaskID]bool // ended as done, wherever
	noted     map[graph.TaskID]bool // such an end was acknowledged
	failures  map[graph.TaskID]int  // ends as failed that were acknowledged
	starts    int                   // of its tasks, on all targets
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

// StartsOf returns how many runs of a job were started, 0 for a job that is not
// known.
func (p *Pool) StartsOf(id graph.JobID) int {
	if w := p.jobs[id]; w != nil {
		return w.starts
	}
	return 0
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
