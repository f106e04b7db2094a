package deployment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// needs returns the resources of a task with the given number of accelerators.
func needs(accelerators int) graph.Resources {
	return graph.Resources{CPU: 2000 * accelerators, MemoryMB: 8000, Accelerators: accelerators}
}

// A job of three steps, a gang and many small tasks run without faults. Each job
// completes, and nothing runs twice or exceeds the capacity of its target.
func TestWithoutFaults(t *testing.T) {
	simulate(t, 1, 3, 2, func(d *deployment) {
		is := is.New(d.t)
		time.Sleep(2 * time.Second)
		d.submit(d.newJob(1,
			graph.Step{Count: 4, Needs: needs(1), Estimate: time.Second},
			graph.Step{Count: 2, Needs: needs(4), Estimate: time.Second, After: []int{0}},
			graph.Step{Count: 1, Needs: needs(8), Estimate: time.Second, After: []int{0, 1}, Checkpointing: true},
		), succeedsAfter(time.Second))
		d.submit(d.singleStepJob(0, graph.Step{Count: 4, Needs: needs(8), Estimate: time.Second, Gang: true, SameRack: true}), succeedsAfter(2*time.Second))
		d.submit(d.singleStepJob(2, graph.Step{Count: 80, Needs: needs(1), Estimate: time.Second, PerTarget: 6}), succeedsAfter(time.Second))
		d.awaitEnds(20 * time.Second)
		for _, s := range d.submissions {
			_, _, state := s.get()
			is.Equal(state, progress.Completed)
		}
	})
}

// A task that fails every time makes its job fail after the maximum number of attempts;
// a task that fails once is run again.
func TestFailingTasks(t *testing.T) {
	simulate(t, 2, 3, 1, func(d *deployment) {
		is := is.New(d.t)
		time.Sleep(2 * time.Second)
		hopeless := d.submit(d.singleStepJob(1, graph.Step{Count: 3, Needs: needs(1), Estimate: time.Second}), pool.Behaviour{
			Work:  func(graph.TaskID) time.Duration { return time.Second },
			Fails: func(id graph.TaskID, _ int) bool { return id.Index == 1 },
		})
		unlucky := d.submit(d.singleStepJob(1, graph.Step{Count: 4, Needs: needs(1), Estimate: time.Second, Gang: true}), pool.Behaviour{
			Work:  func(graph.TaskID) time.Duration { return time.Second },
			Fails: func(id graph.TaskID, run int) bool { return id.Index == 2 && run == 1 },
		})
		d.awaitEnds(20 * time.Second)
		_, _, state := hopeless.get()
		is.Equal(state, progress.Failed)
		_, _, state = unlucky.get()
		is.Equal(state, progress.Completed)
	})
}
