package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// A target that has just started is slow for a time that it declares. Whole zones come
// back so after an evacuation or a power loss; filled at once, they would hold all work
// up that sound targets could do. So such a target gets a share of its capacity that
// grows to the whole while it warms up, and work goes to warm targets first.

// startWarmUp takes in how long a target says that it is still slow.
func (t *target) startWarmUp(cold int64, now time.Time) {
	span := time.Duration(cold) * time.Millisecond
	t.warmUpEnd = now.Add(span)
	t.warmUpTime = max(t.warmUpTime, span)
	t.updateWarmUp(now)
}

// updateWarmUp brings the share of the target's capacity up to date that may be used.
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

// usableCapacity returns what of the target's capacity may be used. One that has nothing to do
// may always be given something.
func (t *target) usableCapacity() graph.Resources {
	if !t.cold() || len(t.runs) == 0 {
		return t.Capacity
	}
	scale := func(n int) int { return int(float64(n) * (1 - t.coldShare)) }
	return graph.Resources{CPU: scale(t.Capacity.CPU), MemoryMB: scale(t.Capacity.MemoryMB), Accelerators: scale(t.Capacity.Accelerators)}
}
