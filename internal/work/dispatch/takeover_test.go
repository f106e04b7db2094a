package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// takeoverOrderRate is how many orders a leader sends in a second in these tests: about as many
// as a host of the larger kind does.
const takeoverOrderRate = 7500

// takeover returns how long after a change of the leader the first start of an urgent gang that
// waits for it takes on a number of targets, some of which are busy, and how many targets had
// not been polled by then.
func takeover(tb testing.TB, targets int) (firstStart time.Duration, unpolled int) {
	d := newSimulation(tb, targets/8, 8, DefaultBounds())
	for range max(targets/400, 1) {
		d.submit(2, time.Minute, small(8))
	}
	d.run(200 * time.Millisecond)
	gang := d.submit(0, time.Second, urgentGang(4, 4))
	d.orderRate = takeoverOrderRate
	d.changeLeader()
	began, starts := d.now, d.p.StartsOf(gang)
	for d.p.StartsOf(gang) == starts {
		d.run(simulationStep)
		if d.now.Sub(began) > 20*time.Second {
			tb.Fatalf("%d targets: nothing started within %s", targets, d.now.Sub(began))
		}
	}
	return d.now.Sub(began), len(d.m.targets) - d.m.Counts().Reachable
}

// A new leader polls each target before it knows what runs there. Urgent work that waits for
// it must not wait until all have reported, which takes longer the more there are.
func TestUrgentWorkStartsBeforeAllTargetsHaveReported(t *testing.T) {
	is := is.New(t)
	small, _ := takeover(t, 528)
	large, unpolled := takeover(t, 6000)
	t.Logf("first start after %s and %s, %d of 6000 targets not polled by then", small, large, unpolled)
	is.True(unpolled > 3000)
	const maxSlope = 0.3 // power of the number of targets
	is.True(math.Log(float64(large)/float64(small))/math.Log(6000.0/528) < maxSlope)
}

// The first polls of a term go to targets on which runs may exist, the most urgent first, and
// then to one rack after the other.
func TestFirstPollsAreOrdered(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 3, 4, DefaultBounds())
	d.submit(2, time.Minute, small(1))
	d.submit(0, time.Minute, graph.Step{Count: 1, Needs: graph.Resources{CPU: 60000, MemoryMB: 1000, Accelerators: 8}})
	d.run(time.Second)
	busy := map[string]int{}
	for _, x := range d.m.sortedTargets {
		if len(x.runs) > 0 {
			busy[x.ID] = x.mostUrgentPriority()
		}
	}
	is.Equal(len(busy), 2)
	var polled []*target
	d.orderRate = 1 // nothing is sent: the commands stay queued
	d.changeLeader()
	for _, queued := range d.unsent {
		for _, c := range queued {
			if p, ok := c.(Poll); ok {
				polled = append(polled, d.m.targets[p.Target.ID])
			}
		}
	}
	is.Equal(len(polled), 12)
	is.Equal(busy[polled[0].ID], 0)
	is.Equal(busy[polled[1].ID], 2)
	changes := 0
	for i, x := range polled[3:] {
		if x.Rack != polled[i+2].Rack {
			changes++
		}
	}
	is.Equal(changes, 2)
}

func BenchmarkTakeover(b *testing.B) {
	for _, targets := range []int{48, 1104, 6000, 12000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			for b.Loop() {
				first, _ := takeover(b, targets)
				b.ReportMetric(float64(first.Milliseconds()), "ms-to-start")
			}
		})
	}
}
