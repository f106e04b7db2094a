package pool

import (
	"cmp"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// target is one incarnation of a target.
type target struct {
	roster.Target
	startedAt     time.Time
	clockRate     float64 // relative to true time: 1, or a little less
	dead          bool
	stalled       bool    // tasks make no progress
	speed         float64 // of tasks: 1 on a healthy target
	failing       bool    // runs started now fail at once
	highestToken  int64   // of the accepted orders
	leaseEnd      int64   // on the target's clock
	runs          map[order.Run]*execution
	unackedEnds   []order.Ended
	lastEnd       int64                // number of the newest end
	acked         int64                // highest acknowledged end number
	staleThrough  map[graph.TaskID]int // highest run of each task that must not start any more
	lapsedThrough int64                // highest end number when a lease last lapsed, or now if it has
	doneSequence  map[int64]int64      // by the number of an end as done: its place among all starts and ends as done
	starts        int
	rejecting     bool // refuses starts
	// earlierCapacities are those that starts may still rely on, oldest first.
	earlierCapacities []earlierCapacity
}

// earlierCapacity is a capacity that a target had, and until when starts may rely on it.
type earlierCapacity struct {
	graph.Resources
	until time.Time
}

// mayHold reports whether a start may rely on the target to hold what is needed: it can now,
// or could a short time ago.
func (t *target) mayHold(need graph.Resources, now time.Time) bool {
	t.earlierCapacities = slices.DeleteFunc(t.earlierCapacities, func(c earlierCapacity) bool { return !now.Before(c.until) })
	return need.FitsIn(t.Capacity) || slices.ContainsFunc(t.earlierCapacities, func(c earlierCapacity) bool { return need.FitsIn(c.Resources) })
}

// execution is a run on a target.
type execution struct {
	order.Run
	target       *target
	jobState     *jobState
	step         *graph.Step
	startedAt    time.Time
	active       bool          // false while waiting for the gang
	totalWork    time.Duration // on this target
	workLeft     time.Duration
	restoredWork time.Duration // covered by the checkpoint it started from
	savedWork    time.Duration // covered by its newest checkpoint
	stopAt       time.Time     // when a stop takes effect; zero: no stop was ordered
	willFail     bool          // half way, by the task's own fault
	failsAtOnce  bool
	crashAt      time.Time // when it crashes its target; zero: never
}

// clock returns the target's clock in milliseconds. It does not begin at 0 and may be
// slow.
func (t *target) clock(now time.Time) int64 {
	return 1000 + int64(float64(now.Sub(t.startedAt).Milliseconds())*t.clockRate)
}

// used returns the resources taken by all runs, including those being stopped.
func (t *target) used() graph.Resources {
	sum := graph.Resources{}
	for _, x := range t.runs {
		sum = sum.Plus(x.step.Charge())
	}
	return sum
}

// sortedRuns returns the runs, sorted by task and run number.
func (t *target) sortedRuns() []*execution {
	list := make([]*execution, 0, len(t.runs))
	for _, x := range t.runs {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *execution) int {
		x, y := a.Task, b.Task
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.Step, y.Step),
			cmp.Compare(x.Index, y.Index), cmp.Compare(a.Number, b.Number))
	})
	return list
}

// end removes a run and lists its end with its newest checkpoint. The run cannot start
// on the target any more.
func (t *target) end(x *execution, how order.EndReason) {
	delete(t.runs, x.Run)
	t.staleThrough[x.Task] = max(t.staleThrough[x.Task], x.Number)
	t.lastEnd++
	t.unackedEnds = append(t.unackedEnds, order.Ended{Number: t.lastEnd, Run: x.Run, Reason: how, Checkpoint: x.checkpoint()})
}

// checkpoint returns the newest checkpoint of a run, empty for none.
func (x *execution) checkpoint() string {
	if !x.step.Checkpointing || x.savedWork == 0 {
		return ""
	}
	return formatCheckpoint(x.Task, x.step.Gang, x.savedWork)
}
