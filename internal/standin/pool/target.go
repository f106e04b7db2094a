package pool

import (
	"cmp"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// target is one life of a target.
type target struct {
	roster.Target
	born    time.Time
	rate    float64 // of its clock against true time: 1, or a little less
	dead    bool
	hangs   bool    // its tasks make no progress
	speed   float64 // of its tasks: 1 on a sound target
	fails   bool    // all that it starts fails at once
	token   int64
	lease   int64 // on its clock
	runs    map[order.Run]*exec
	ended   []order.Ended
	number  int64
	acked   int64
	barred  map[graph.TaskID]int // runs up to this one do not start
	lapsed  int64                // ends up to this number were listed before a lease lapsed
	starts  int
	rejects bool // takes no work now
}

// exec is a run on a target.
type exec struct {
	order.Run
	target      *target
	def         *work
	step        *graph.Step
	startAt     time.Time
	works       bool          // false while it waits for its gang
	total       time.Duration // of work on this target
	left        time.Duration // of work
	base        time.Duration // of work that its checkpoint covered
	saved       time.Duration // of work that is saved
	stopAt      time.Time     // when a stop takes effect; zero: none is wanted
	willFail    bool          // by its own fault, half way
	failsAtOnce bool
}

func (t *target) clock(now time.Time) int64 {
	return 1000 + int64(float64(now.Sub(t.born).Milliseconds())*t.rate)
}

// used returns what everything on the target takes, what is being stopped too.
func (t *target) used() graph.Resources {
	sum := graph.Resources{}
	for _, x := range t.runs {
		sum = sum.Plus(x.step.Charge())
	}
	return sum
}

// sorted returns the runs in a fixed order.
func (t *target) sorted() []*exec {
	list := make([]*exec, 0, len(t.runs))
	for _, x := range t.runs {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *exec) int {
		x, y := a.Task, b.Task
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.Step, y.Step),
			cmp.Compare(x.Index, y.Index), cmp.Compare(a.Number, b.Number))
	})
	return list
}

// end takes a run off and lists its end.
func (t *target) end(x *exec, how order.EndReason) {
	delete(t.runs, x.Run)
	t.barred[x.Task] = max(t.barred[x.Task], x.Number)
	t.number++
	t.ended = append(t.ended, order.Ended{Number: t.number, Run: x.Run, Reason: how, Checkpoint: x.checkpoint()})
}

// checkpoint returns the newest checkpoint of a run, empty for none.
func (x *exec) checkpoint() string {
	if !x.step.Checkpointing || x.saved == 0 {
		return ""
	}
	return formatCheckpoint(x.Task, x.step.Gang, x.saved)
}
