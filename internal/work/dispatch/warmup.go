package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// A target that has just started is slow for a time that it declares. Whole zones
// restart after an evacuation or a power loss; filled at once, they would delay all the
// work that other targets could do. So the usable share of such a target's capacity grows
// to the whole while it warms up, and warm targets get work first.

// startWarmUp records for how many milliseconds a target declares to be slow.
func (t *target) startWarmUp(cold int64, now time.Time) {
	span := time.Duration(cold) * time.Millisecond
	t.warmUpEnd = now.Add(span)
	t.warmUpTime = max(t.warmUpTime, span)
	t.updateWarmUp(now)
}

// updateWarmUp updates the share of the target's capacity that is withheld while it warms
// up.
func (t *target) updateWarmUp(now time.Time) {
	left := t.warmUpEnd.Sub(now)
	if t.warmUpTime <= 0 || left <= 0 {
		t.warmUpTime, t.coldShare = 0, 0
		return
	}
	t.coldShare = float64(left) / float64(t.warmUpTime)
}

// cold reports whether the target is still slow after its start.
func (t *target) cold() bool { return t.coldShare > 0 }

// usableCapacity returns the part of the target's capacity that may be used. It is the
// whole for a target without runs, which may always be given some.
func (t *target) usableCapacity() graph.Resources {
	if !t.cold() || len(t.runs) == 0 {
		return t.Capacity
	}
	scale := func(n int) int { return int(float64(n) * (1 - t.coldShare)) }
	return graph.Resources{CPU: scale(t.Capacity.CPU), MemoryMB: scale(t.Capacity.MemoryMB), Accelerators: scale(t.Capacity.Accelerators)}
}
