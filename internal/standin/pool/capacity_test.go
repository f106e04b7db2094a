package pool_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// A target's capacity shrinks twice in a short time. Starts may rely on each earlier capacity
// for the same time after it was gone, and not longer.
func TestStartsMayRelyOnEarlierCapacities(t *testing.T) {
	began := time.Unix(1000, 0)
	notice := pool.DefaultBounds().CapacityNotice
	for name, test := range map[string]struct {
		needs  int // accelerators
		at     time.Duration
		breach bool
	}{
		"first, in time":  {8, notice - time.Millisecond, false},
		"first, late":     {8, notice, true},
		"second, in time": {4, notice + time.Second - time.Millisecond, false},
		"second, late":    {4, notice + time.Second, true},
		"last":            {2, notice + time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := pool.New(pool.DefaultBounds())
			p.Add(roster.Target{ID: "t#1", Address: "t", Service: "s", Capacity: graph.Resources{Accelerators: 8}}, 1, began)
			p.SetCapacity("t#1", graph.Resources{Accelerators: 4}, began)
			p.SetCapacity("t#1", graph.Resources{Accelerators: 2}, began.Add(time.Second))
			j := &graph.Job{ID: "j", Service: "s", MaxAttempts: 1, Steps: []graph.Step{{Count: 1, Needs: graph.Resources{Accelerators: test.needs}}}}
			p.Submit(j, pool.Behaviour{Work: func(graph.TaskID) time.Duration { return time.Second }})
			s := order.Start{Run: order.Run{Task: graph.StepID{Job: "j"}.Task(0), Number: 1}, Deadline: 1 << 40, Term: 1}
			_, err := p.Start(order.Address{ID: "t#1", Host: "t"}, s, began.Add(test.at))
			is.NoErr(err)
			is.Equal(len(p.Breaches()) > 0, test.breach)
		})
	}
}
