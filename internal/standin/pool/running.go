package pool

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// Advance advances the pool's time to now: leases lapse, and runs proceed and end. A
// time that is not after the pool's has no effect. Calls should be a short time
// apart: the events of one call are processed in a fixed order.
func (p *Pool) Advance(now time.Time) {
	passed := now.Sub(p.now)
	if p.now.IsZero() || passed <= 0 {
		if passed > 0 || p.now.IsZero() {
			p.now = now
		}
		return
	}
	p.now = now
	p.crashTargets(now)
	p.restartTargets(now)
	for _, t := range p.sortedTargets() {
		if !t.dead {
			p.advanceTarget(t, passed, now)
		}
	}
}

// sortedTargets returns all targets, sorted by id.
func (p *Pool) sortedTargets() []*target {
	if p.sorted == nil {
		p.sorted = slices.SortedFunc(maps.Values(p.targets), func(a, b *target) int { return strings.Compare(a.ID, b.ID) })
	}
	return p.sorted
}

// advanceTarget ends all runs of a target as lapsed if its lease has ended, without the
// work of the time passed. Otherwise it advances each run. A lease also ends where nothing runs
// any more.
func (p *Pool) advanceTarget(t *target, passed time.Duration, now time.Time) {
	if t.clock(now) >= t.leaseEnd {
		t.lapsedThrough = t.lastEnd
		for _, x := range t.sortedRuns() {
			if t.runs[x.Run] == x {
				t.end(x, order.Lapsed)
				p.breakGang(x)
			}
		}
		return
	}
	for _, x := range t.sortedRuns() {
		if t.runs[x.Run] == x {
			p.advanceRun(x, passed, now)
		}
	}
}

// advanceRun ends a run that was stopped or whose gang is incomplete for too long.
// Otherwise it does the work of the time passed, saves a checkpoint if one is due, and ends
// the run if it fails or is done. A long-running run is never done. A run of a stalled
// target does no work but can be stopped.
func (p *Pool) advanceRun(x *execution, passed time.Duration, now time.Time) {
	switch {
	case !x.stopAt.IsZero() && !now.Before(x.stopAt):
		if x.active {
			x.savedWork = x.restoredWork + x.totalWork - x.restoredWork - x.workLeft
		}
		x.target.end(x, order.Stopped)
		p.breakGang(x)
		return
	case !x.active && now.Sub(x.startedAt) >= p.bounds.GangTimeout:
		x.target.end(x, order.GangIncomplete)
		p.breakGang(x)
		return
	case !x.active || x.target.stalled:
		return
	}
	x.workLeft -= time.Duration(float64(passed) * x.target.speed)
	if done := x.totalWork - x.workLeft; x.step.Checkpointing && done-x.savedWork >= p.bounds.CheckpointInterval {
		x.savedWork = done
	}
	if x.step.LongRunning {
		x.workLeft = max(x.workLeft, 1)
	}
	if x.failsAtOnce || (x.willFail && x.workLeft <= x.totalWork/2) {
		x.target.end(x, order.Failed)
		p.breakGang(x)
		return
	}
	if x.workLeft <= 0 {
		p.completeRun(x)
	}
}

// completeRun ends a run, with its whole gang, as done.
func (p *Pool) completeRun(x *execution) {
	for _, y := range p.gangMembers(x) {
		y.jobState.done[y.Task] = true
		y.target.end(y, order.Done)
		p.sequence++
		y.target.doneSequence[y.target.lastEnd] = p.sequence
	}
}

// gangMembers returns the live runs of x's gang, including x; x alone without a gang.
func (p *Pool) gangMembers(x *execution) []*execution {
	if !x.step.Gang {
		return []*execution{x}
	}
	var members []*execution
	for _, t := range p.sortedTargets() {
		for _, y := range t.sortedRuns() {
			if !t.dead && y.Task.StepID == x.Task.StepID && y.Number == x.Number {
				members = append(members, y)
			}
		}
	}
	return members
}

// joinGang activates x's gang once all its members have started, all with the longest
// work of any member.
func (p *Pool) joinGang(x *execution) {
	members := p.gangMembers(x)
	if len(members) < x.step.Count {
		return
	}
	total, racks := time.Duration(0), map[string]bool{}
	for _, y := range members {
		total = max(total, y.totalWork)
		racks[y.target.Rack] = true
	}
	if x.step.SameRack && len(racks) > 1 {
		total = time.Duration(float64(total) * p.bounds.RemoteSlowdown)
	}
	for _, y := range members {
		y.active, y.totalWork = true, total
		y.workLeft = max(total-y.restoredWork, 0)
	}
}

// breakGang ends the other members of x's gang as broken after x ended. It does nothing
// without a gang.
func (p *Pool) breakGang(x *execution) {
	if !x.step.Gang {
		return
	}
	for _, y := range p.gangMembers(x) {
		if y != x {
			y.target.end(y, order.GangBroken)
		}
	}
}

// formatCheckpoint returns a checkpoint that names its task or gang and the work that
// it covers.
func formatCheckpoint(id graph.TaskID, gang bool, saved time.Duration) string {
	name := id.String()
	if gang {
		name = id.StepID.String()
	}
	return name + "@" + strconv.FormatInt(int64(saved), 10)
}

// parseCheckpoint returns the work that a checkpoint covers, 0 for none or a malformed
// one.
func parseCheckpoint(c string) time.Duration {
	_, n, _ := strings.Cut(c, "@")
	v, err := strconv.ParseInt(n, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(v)
}
