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

// Bounds are the limits and times of the targets.
type Bounds struct {
	Lease              time.Duration // longest that may be granted
	StopTime           time.Duration // limit for a stop; runs stop after half of it
	GangTimeout        time.Duration // how long a run waits for the rest of its gang
	CheckpointInterval time.Duration // of work
	RemoteSlowdown     float64       // factor for work far from its data or its gang
	CrashDelay         time.Duration // from the start of a run that crashes its target to the crash
	RestartTime        time.Duration // from a crash to the next incarnation
	CapacityNotice     time.Duration // how long starts may still rely on a capacity that has shrunk
	KeepIDs            bool          // whether a target that crashes returns under its id, and not under a new one
}

// DefaultBounds returns the bounds of current deployments.
func DefaultBounds() Bounds {
	return Bounds{
		Lease: 6 * time.Second, StopTime: 400 * time.Millisecond, GangTimeout: 3 * time.Second,
		CheckpointInterval: 2 * time.Second, RemoteSlowdown: 3,
		CrashDelay: 10 * time.Millisecond, RestartTime: 3300 * time.Millisecond, CapacityNotice: 4500 * time.Millisecond,
	}
}

// Behaviour describes how the tasks of a job run.
type Behaviour struct {
	Work  func(id graph.TaskID) time.Duration // of a run without a checkpoint
	Fails func(id graph.TaskID, run int) bool // half way, by the task's own fault
	// Crashes reports whether a run crashes its target, Bounds.CrashDelay after its start.
	Crashes func(id graph.TaskID, run int) bool
}

// jobState is a submitted job and what is known of its tasks.
type jobState struct {
	job           *graph.Job
	behaviour     Behaviour
	cancelledAt   time.Time             // when the cancellation was acknowledged; zero: never
	completedAt   time.Time             // when it was shown as completed; zero: never
	done          map[graph.TaskID]bool // ended as done on any target
	runs          map[graph.TaskID]*taskRuns
	ackedFailures map[graph.TaskID]int // ends as failed that were acknowledged
	starts        int                  // of all its tasks on all targets
	crashes       map[graph.TaskID]int // crashes of targets that the task's runs caused
	crashStarts   map[graph.TaskID]int // starts of the task since it had caused maxCrashes crashes
}

// runsOf returns the runs of a task.
func (j *jobState) runsOf(id graph.TaskID) *taskRuns {
	if j.runs[id] == nil {
		j.runs[id] = &taskRuns{}
	}
	return j.runs[id]
}

// Breach is a start that violates a guarantee of the system.
type Breach struct {
	At     time.Time
	Rule   string // BUDGET, LIMIT, ORDER, ROUTE, TWICE or UNASKED
	Target string
	Run    order.Run
	Why    string
}

// String returns the breach as one line.
func (b Breach) String() string {
	return fmt.Sprintf("%s %s: %s run %d on %s: %s", formatTime(b.At), b.Rule, b.Run.Task, b.Run.Number, b.Target, b.Why)
}

// Pool is the state of the simulated targets. It is not safe for concurrent use.
type Pool struct {
	bounds    Bounds
	targets   map[string]*target // by id, including dead ones
	sorted    []*target          // targets by id; nil after a target was added
	byAddress map[string]*target // the live incarnation at each address
	jobs      map[graph.JobID]*jobState
	breaches  []Breach
	starts    int
	crashes   int       // caused by runs
	restarts  []restart // of crashed targets, in the order of the crashes
	now       time.Time
	lookup    Lookup // nil: only submitted jobs are known
	sequence  int64  // of the last start or end as done
}

// Lookup returns a job that was not submitted to the pool, nil if there is none.
type Lookup func(id graph.JobID) (*graph.Job, Behaviour)

// SetLookup sets the lookup for jobs that were not submitted to the pool.
func (p *Pool) SetLookup(f Lookup) { p.lookup = f }

// findJob returns a submitted job, or nil if there is none. A job that only the lookup
// knows is submitted first.
func (p *Pool) findJob(id graph.JobID) *jobState {
	if p.jobs[id] == nil && p.lookup != nil {
		if j, b := p.lookup(id); j != nil {
			p.Submit(j, b)
		}
	}
	return p.jobs[id]
}

// New returns a pool without targets.
func New(b Bounds) *Pool {
	return &Pool{bounds: b, targets: map[string]*target{}, byAddress: map[string]*target{}, jobs: map[graph.JobID]*jobState{}}
}

// Add starts an incarnation of a target and kills the earlier one at the address, if
// any. Its clock runs at the rate, relative to true time. An earlier incarnation with the
// same id must be dead.
func (p *Pool) Add(t roster.Target, rate float64, now time.Time) {
	if old := p.byAddress[t.Address]; old != nil {
		p.Kill(old.ID, now)
	}
	t.StartedAt = now.UnixMilli()
	incarnation := &target{Target: t, startedAt: now, clockRate: rate, speed: 1, runs: map[order.Run]*execution{}, doneSequence: map[int64]int64{}, staleThrough: map[graph.TaskID]int{}}
	p.targets[t.ID], p.byAddress[t.Address], p.sorted = incarnation, incarnation, nil
}

// Kill ends an incarnation without reporting the ends of its runs. The other members of
// their gangs end as broken. It does nothing if the target is unknown or dead.
func (p *Pool) Kill(id string, now time.Time) {
	t := p.targets[id]
	if t == nil || t.dead {
		return
	}
	p.Advance(now)
	t.dead = true
	for _, x := range t.sortedRuns() {
		delete(t.runs, x.Run)
		p.breakGang(x)
	}
	if p.byAddress[t.Address] == t {
		delete(p.byAddress, t.Address)
	}
}

// SetStalled sets whether the tasks of a target make no progress.
func (p *Pool) SetStalled(id string, on bool) { p.targets[id].stalled = on }

// SetSpeed sets the speed of a target's tasks, relative to that of a healthy target.
func (p *Pool) SetSpeed(id string, speed float64) { p.targets[id].speed = speed }

// SetFailing sets whether every run that a target starts from now on fails at once.
func (p *Pool) SetFailing(id string, on bool) { p.targets[id].failing = on }

// SetRejecting sets whether a target refuses starts as unhealthy.
func (p *Pool) SetRejecting(id string, on bool) { p.targets[id].rejecting = on }

// Submit adds a job. A start of a job that was not added and that the lookup does not
// know is a breach.
func (p *Pool) Submit(j *graph.Job, b Behaviour) {
	p.jobs[j.ID] = &jobState{job: j, behaviour: b, done: map[graph.TaskID]bool{}, runs: map[graph.TaskID]*taskRuns{}, ackedFailures: map[graph.TaskID]int{}, crashes: map[graph.TaskID]int{}, crashStarts: map[graph.TaskID]int{}}
}

// HasJob reports whether a job was submitted or looked up.
func (p *Pool) HasJob(id graph.JobID) bool { return p.jobs[id] != nil }

// RecordCancelled records that the cancellation of a job was acknowledged. Starts more
// than cancelGrace later are breaches. Only the first call has an effect.
func (p *Pool) RecordCancelled(id graph.JobID, now time.Time) {
	if j := p.jobs[id]; j != nil && j.cancelledAt.IsZero() {
		j.cancelledAt = now
	}
}

// RecordCompleted records that a job was shown as completed. Starts more than knownDoneGrace
// later are breaches. Only the first call has an effect.
func (p *Pool) RecordCompleted(id graph.JobID, now time.Time) {
	if j := p.jobs[id]; j != nil && j.completedAt.IsZero() {
		j.completedAt = now
	}
}

// Breaches returns the breaches so far.
func (p *Pool) Breaches() []Breach { return p.breaches }

// Starts returns the number of runs started on all targets, including dead ones.
func (p *Pool) Starts() int { return p.starts }

// StartsOn returns the number of runs started on a target.
func (p *Pool) StartsOn(id string) int { return p.targets[id].starts }

// RunningOf returns the number of runs of a job that are on targets.
func (p *Pool) RunningOf(id graph.JobID) int {
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

// StartsOf returns the number of runs of a job started, 0 for an unknown job.
func (p *Pool) StartsOf(id graph.JobID) int {
	if j := p.jobs[id]; j != nil {
		return j.starts
	}
	return 0
}

// TasksDone returns the number of tasks of a submitted job that ended as done,
// acknowledged or not.
func (p *Pool) TasksDone(id graph.JobID) int { return len(p.jobs[id].done) }

// DoneOf returns the number of tasks of a step of a submitted job that ended as done,
// acknowledged or not.
func (p *Pool) DoneOf(id graph.StepID) int {
	j, n := p.jobs[id.Job], 0
	for i := range j.job.Steps[id.Step].Count {
		if j.done[id.Task(i)] {
			n++
		}
	}
	return n
}

// UsedOn returns the resources that the runs on a target take, including those being stopped.
func (p *Pool) UsedOn(id string) graph.Resources { return p.targets[id].used() }

// Running returns the number of runs on all targets.
func (p *Pool) Running() int {
	n := 0
	for _, t := range p.targets {
		n += len(t.runs)
	}
	return n
}

// Roster returns the live targets, sorted by id, with their clocks as of the last advance.
func (p *Pool) Roster() []roster.Target {
	var list []roster.Target
	for _, t := range p.targets {
		if !t.dead {
			l := t.Target
			l.ClockMS = t.clock(p.now)
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b roster.Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Drain marks a target as draining in the roster. The target still executes starts.
func (p *Pool) Drain(id string) { p.targets[id].Draining = true }
