package deployment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// needs are the resources of a task with some accelerators.
func needs(accelerators int) graph.Resources {
	return graph.Resources{CPU: 2000 * accelerators, MemoryMB: 8000, Accelerators: accelerators}
}

// A job of three steps, a gang and many small tasks run on a calm day; each ends
// as completed, and nothing is run twice or beyond its room.
func TestCalm(t *testing.T) {
	play(t, 1, 3, 2, func(r *rig) {
		is := is.New(r.t)
		time.Sleep(2 * time.Second)
		r.submit(r.graph(1,
			graph.Step{Count: 4, Needs: needs(1), Estimate: time.Second},
			graph.Step{Count: 2, Needs: needs(4), Estimate: time.Second, After: []int{0}},
			graph.Step{Count: 1, Needs: needs(8), Estimate: time.Second, After: []int{0, 1}, Checkpointing: true},
		), works(time.Second))
		r.submit(r.job(0, graph.Step{Count: 4, Needs: needs(8), Estimate: time.Second, Gang: true, SameRack: true}), works(2*time.Second))
		r.submit(r.job(2, graph.Step{Count: 80, Needs: needs(1), Estimate: time.Second, PerTarget: 6}), works(time.Second))
		r.settle(20 * time.Second)
		for _, s := range r.jobs {
			_, _, state := s.get()
			is.Equal(state, progress.Completed)
		}
	})
}

// A task that fails every time ends its job as failed after as many attempts as
// its queue allows; one that fails once is run again.
func TestFailures(t *testing.T) {
	play(t, 2, 3, 1, func(r *rig) {
		is := is.New(r.t)
		time.Sleep(2 * time.Second)
		hopeless := r.submit(r.job(1, graph.Step{Count: 3, Needs: needs(1), Estimate: time.Second}), pool.Behaviour{
			Work:  func(graph.TaskID) time.Duration { return time.Second },
			Fails: func(id graph.TaskID, _ int) bool { return id.Index == 1 },
		})
		unlucky := r.submit(r.job(1, graph.Step{Count: 4, Needs: needs(1), Estimate: time.Second, Gang: true}), pool.Behaviour{
			Work:  func(graph.TaskID) time.Duration { return time.Second },
			Fails: func(id graph.TaskID, run int) bool { return id.Index == 2 && run == 1 },
		})
		r.settle(20 * time.Second)
		_, _, state := hopeless.get()
		is.Equal(state, progress.Failed)
		_, _, state = unlucky.get()
		is.Equal(state, progress.Completed)
	})
}
