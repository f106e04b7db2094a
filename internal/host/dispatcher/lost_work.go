package dispatcher

import (
	"strconv"

	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// lostCounts is what work_lost_core_seconds_total counts of a term, by cause and priority.
type lostCounts [stages.CauseCount][dispatch.Priorities]int64

// recordLostWork counts the work that was lost since the last call. Counters hold whole
// core-seconds: a fraction is counted once it has grown to one.
func (l *leadership) recordLostWork() {
	lost := l.machine.LostWork()
	for _, c := range stages.Causes() {
		for priority, sum := range lost[c] {
			if more := int64(sum) - l.lostCounted[c][priority]; more > 0 {
				l.lostCounted[c][priority] += more
				l.metrics.Tagged(map[string]string{"cause": c.String(), "priority": strconv.Itoa(priority)}).Counter("work_lost_core_seconds_total").Inc(more)
			}
		}
	}
}
