package pool

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// restart is the next incarnation of a target that has crashed.
type restart struct {
	at     time.Time
	target roster.Target
	rate   float64 // of its clock
}

// Crash ends an incarnation like Kill. The next one starts at the same address after
// Bounds.RestartTime, unless another target has been added there by then. It has a new id,
// unless Bounds.KeepIDs is set.
func (p *Pool) Crash(id string, now time.Time) {
	if p.bounds.KeepIDs {
		p.Restart(id, p.bounds.RestartTime, now)
		return
	}
	p.replace(id, nextIncarnation(id), p.bounds.RestartTime, now)
}

// Restart ends an incarnation like Kill. The next one starts under the same id and at the
// same address after the given time.
func (p *Pool) Restart(id string, after time.Duration, now time.Time) { p.replace(id, id, after, now) }

// replace ends an incarnation and schedules the start of the next one.
func (p *Pool) replace(id, nextID string, after time.Duration, now time.Time) {
	t := p.targets[id]
	if t == nil || t.dead {
		return
	}
	p.Kill(id, now)
	next := t.Target
	next.ID, next.Draining, next.RemainingMS = nextID, false, 0
	p.restarts = append(p.restarts, restart{at: now.Add(after), target: next, rate: t.clockRate})
}

// nextIncarnation returns the id of the incarnation after a crash: id~2, then id~3.
func nextIncarnation(id string) string {
	base, number, _ := strings.Cut(id, "~")
	n, err := strconv.Atoi(number)
	if err != nil {
		n = 1
	}
	return base + "~" + strconv.Itoa(n+1)
}

// crashTargets crashes the targets whose runs are due to crash them.
func (p *Pool) crashTargets(now time.Time) {
	for _, t := range p.sortedTargets() {
		if t.dead {
			continue
		}
		crashed := false
		for _, x := range t.sortedRuns() {
			if !x.crashAt.IsZero() && !now.Before(x.crashAt) {
				crashed = true
				x.jobState.crashes[x.Task]++
			}
		}
		if crashed {
			p.crashes++
			p.Crash(t.ID, now)
		}
	}
}

// restartTargets starts the next incarnations that are due.
func (p *Pool) restartTargets(now time.Time) {
	p.restarts = slices.DeleteFunc(p.restarts, func(r restart) bool {
		if now.Before(r.at) {
			return false
		}
		if p.byAddress[r.target.Address] == nil {
			p.Add(r.target, r.rate, now)
		}
		return true
	})
}

// Crashes returns the number of targets that runs have crashed.
func (p *Pool) Crashes() int { return p.crashes }

// SetCapacity changes what a target says of its capacity, which it does not enforce. Starts
// may rely on the earlier capacity for Bounds.CapacityNotice.
func (p *Pool) SetCapacity(id string, capacity graph.Resources, now time.Time) {
	t := p.targets[id]
	t.earlierCapacities = append(t.earlierCapacities, earlierCapacity{t.Capacity, now.Add(p.bounds.CapacityNotice)})
	t.Capacity = capacity
}

// A task that has crashed maxCrashes targets must be started less than maxCrashStarts times
// more.
const (
	maxCrashes     = 3
	maxCrashStarts = 3
)

// checkCrashes checks that a task that crashes its targets is given up.
func (p *Pool) checkCrashes(x *execution) {
	j := x.jobState
	if j.crashes[x.Task] < maxCrashes {
		return
	}
	j.crashStarts[x.Task]++
	if j.crashStarts[x.Task] >= maxCrashStarts {
		p.recordBreach("BUDGET", x.target, x.Run, fmt.Sprintf("%d targets crashed under the task", j.crashes[x.Task]))
	}
}
