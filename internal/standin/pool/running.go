package pool

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
)

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
		x.target.end(x, order.GangIncomplete)
		p.breakGang(x)
		return
	case !x.works || x.target.hangs:
		return
	}
	x.left -= time.Duration(float64(passed) * x.target.speed)
	if done := x.total - x.left; x.step.Checkpointing && done-x.saved >= p.bounds.SaveEvery {
		x.saved = done
	}
	if x.step.LongRunning {
		x.left = max(x.left, 1)
	}
	if x.failsAtOnce || (x.willFail && x.left <= x.total/2) {
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
			y.target.end(y, order.GangBroken)
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
