package dispatch

import (
	"fmt"
	"math/big"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// recurringJob returns a job of one step of single tasks whose occurrences begin now.
func recurringJob(id graph.JobID, tasks, repeat int, every time.Duration) *graph.Job {
	j := testJob(id, tasks)
	j.Repeat, j.FirstAt, j.Every = repeat, time.Unix(1000, 0).UnixMilli(), every
	return j
}

// tasksInMemory returns how many tasks the machine holds.
func (m *Machine) tasksInMemory() int {
	n := 0
	for _, j := range m.jobs {
		for _, s := range j.steps {
			n += len(s.tasks)
		}
	}
	return n
}

// Guards against a takeover that creates all occurrences of jobs that have ended, and exceeds the memory of
// each host that leads next.
func TestTakeoverCreatesNoOccurrencesOfEndedJobs(t *testing.T) {
	first := &progress.Step{FailedRuns: map[int][]int{3: {1, 2}}, LastRuns: map[int]int{0: 1}}
	for name, p := range map[string]*progress.Job{
		"cancelled, not saved": nil,
		"cancelled":            {State: progress.Cancelled, Ended: 999000},
		"failed in the first occurrence": {
			State: progress.Failed, Ended: 999000, Started: true, Steps: map[string]*progress.Step{"0.0": first},
		},
		"completed": {State: progress.Completed, Ended: 999000, Started: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture()
			for n := range 12 {
				s.Restore(recurringJob(graph.JobID(fmt.Sprintf("%016x", n)), 16, 8640, 15*time.Minute), p, 5, p == nil || p.State == progress.Cancelled, s.now)
			}
			is.Equal(s.tasksInMemory(), 0)
		})
	}
}

// A start of a job that has ended is recorded. Its occurrence alone is created, and the run is stopped when its
// target reports it.
func TestTakeoverStopsRecordedRunOfEndedJob(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	j := recurringJob("00000000000000f0", 16, 8640, 15*time.Minute)
	placed := &progress.Step{Placements: []progress.Placement{{Task: 2, Target: "t1", Run: 1}}}
	s.Restore(j, &progress.Job{State: progress.Cancelled, Ended: 999000, Steps: map[string]*progress.Step{"8000.0": placed}}, 5, true, s.now)
	is.Equal(s.tasksInMemory(), 16)
	s.EnablePlacement(s.now, s.now)
	id := graph.StepID{Job: j.ID, Occurrence: 8000}
	other := graph.StepID{Job: j.ID, Occurrence: 8001}
	s.report(order.Report{Running: []order.Running{{Run: order.Run{Task: id.Task(2), Number: 1}}, {Run: order.Run{Task: other.Task(0), Number: 1}}}})
	is.Equal(s.targets["t1"].used.Accelerators, 2) // the needs of both are known
	is.Equal(len(commands[Stop](s)), 2)
}

// Guards against a leader that opens all occurrences at once that a client has named, and exceeds its memory
// again after each takeover.
func TestOccurrencesDueAtOnceAreOpenedWithinLimits(t *testing.T) {
	is := is.New(t)
	const jobs, tasks = 30, 16
	s := newFixture()
	s.EnablePlacement(s.now, s.now)
	next := newFixture()
	for n := range jobs {
		j := recurringJob(graph.JobID(fmt.Sprintf("%016x", n)), tasks, graph.MaxOccurrences, time.Millisecond)
		s.Accept(j, s.now)
		next.Restore(j, nil, 0, false, next.now)
	}
	for _, s := range []*fixture{s, next} {
		s.now = s.now.Add(time.Minute)
		s.Tick(s.now)
		is.True(s.tasksInMemory() <= 16384)
		for _, j := range s.jobs {
			is.True(len(j.steps) > 0) // none waits for the others
		}
	}
}

// A job's open occurrences are limited, and it goes on with the next ones as they are done, also across
// takeovers. What is done has left the memory, and is not started again.
func TestOccurrencesDueAtOnceAreAllCompleted(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 4, 4, DefaultBounds())
	j := recurringJob("", 16, 400, time.Millisecond)
	id := d.submitJob(j, pool.Behaviour{Work: func(graph.TaskID) time.Duration { return 100 * time.Millisecond }})
	for n := 0; n < 60 && !d.state(id).Final(); n++ {
		d.run(time.Second)
		d.listTargets()
		is.True(d.m.tasksInMemory() <= graph.MaxTasks)
		if n%4 == 3 {
			d.changeLeader()
		}
	}
	is.Equal(d.state(id), progress.Completed)
	is.True(d.m.tasksInMemory() <= 2*16) // of those that were done last
	d.check()
}

// Rows of versions that kept the steps of all occurrences, and rows that note which are closed, lead to the same
// open occurrences. Guards against occurrences that are done and begin again.
func TestRestoreOpensOnlyOccurrencesThatAreNotDone(t *testing.T) {
	done := func(tasks int) *progress.Step {
		k := &progress.Step{Done: new(big.Int)}
		for i := range tasks {
			k.Done.SetBit(k.Done, i, 1)
		}
		return k
	}
	steps := map[string]*progress.Step{"20.0": done(1)}
	for n := range 20 {
		if n != 5 {
			steps[fmt.Sprintf("%d.0", n)] = done(2)
		}
	}
	closed := big.NewInt(1<<20 - 1)
	closed.SetBit(closed, 5, 0)
	for name, p := range map[string]*progress.Job{
		"all steps": {State: progress.Queued, Started: true, Steps: steps},
		"closed":    {State: progress.Queued, Started: true, ClosedOccurrences: closed, Steps: map[string]*progress.Step{"20.0": done(1)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFixture()
			j := recurringJob("00000000000000f1", 2, 100, time.Second)
			s.now = s.now.Add(22*time.Second + time.Millisecond)
			s.Restore(j, p, 5, false, s.now)
			s.EnablePlacement(s.now, s.now)
			s.Tick(s.now)
			var open []int
			for _, x := range s.jobs[j.ID].steps {
				open = append(open, x.id.Occurrence)
			}
			is.Equal(open, []int{5, 20, 21, 22})
			is.Equal(s.jobs[j.ID].view().Done, 19*2+1)
			s.report(order.Report{})
			next := s.succeed(is, j, 0)
			next.Tick(next.now)
			is.Equal(len(next.jobs[j.ID].steps), 4)
			// A run of a closed occurrence that a target reports is stopped, and what it takes is known.
			run := order.Run{Task: graph.StepID{Job: j.ID, Occurrence: 7}.Task(1), Number: 3}
			next.report(order.Report{Running: []order.Running{{Run: run}}})
			is.Equal(next.targets["t1"].used.Accelerators, 1)
			stops := commands[Stop](next)
			is.Equal(len(stops), 1)
			is.Equal(stops[0].Run, run)
		})
	}
}

// The row of a job must fit into the store with as many open occurrences as it may have.
func TestRowOfMostOpenOccurrencesFitsIntoTheStore(t *testing.T) {
	for _, tasks := range []int{1, 16, 700} {
		s := newFixture()
		s.EnablePlacement(s.now, s.now)
		j := recurringJob("00000000000000f2", tasks, graph.MaxOccurrences, 0)
		j.Steps[0].Checkpointing = true
		s.Accept(j, s.now)
		s.Tick(s.now)
		if n := len(s.jobs[j.ID].steps); n < 2 {
			t.Errorf("%d occurrences of %d tasks are open", n, tasks)
		}
		s.jobs[j.ID].closed = new(big.Int).Lsh(big.NewInt(1), graph.MaxOccurrences-1)
		at := 0
		for _, k := range s.jobs[j.ID].steps {
			for _, x := range k.tasks {
				at++
				x.highestRun, x.savedCheckpoint = 1, fmt.Sprintf("%016x", uint64(at)*0x9e3779b97f4a7c15)
			}
		}
		if n := len(s.jobs[j.ID].row().Value); n > storeRowBytes*3/4 {
			t.Errorf("%d bytes with occurrences of %d tasks", n, tasks)
		}
	}
}

// Each occurrence is opened once, in order, whichever are closed in between; a machine that keeps all of them would
// answer the same.
func TestOpenOccurrencesMatchAllThatAreNotClosed(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		spec := recurringJob("00000000000000f3", 1, 12, 0)
		for range rapid.IntRange(0, 2).Draw(t, "more steps") {
			spec.Steps = append(spec.Steps, small(2))
		}
		j := newJob(spec, 0, time.Unix(1000, 0))
		open := map[int]bool{}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			number := rapid.IntRange(0, 11).Draw(t, "occurrence")
			switch steps := j.openSteps(number); {
			case steps == nil && !j.isClosed(number):
				j.createOccurrence(number)
				open[number] = true
			case steps != nil:
				for _, s := range steps {
					s.done = true
				}
				j.closeIfDone(steps[0])
				delete(open, number)
			}
			for n := range 12 {
				x := j.findTask(graph.StepID{Job: spec.ID, Occurrence: n, Step: len(spec.Steps) - 1}.Task(0))
				if (x != nil) != open[n] || x != nil && x.step.id.Occurrence != n {
					t.Fatalf("occurrence %d: found %t, open %t", n, x != nil, open[n])
				}
			}
			if len(j.steps) != len(open)*len(spec.Steps) {
				t.Fatalf("%d steps of %d occurrences", len(j.steps), len(open))
			}
		}
	})
}

// BenchmarkTakeoverOfRecurringJobs measures the restoring of recurring jobs, all of whose occurrences are due, half of
// them cancelled, up to the first tick.
func BenchmarkTakeoverOfRecurringJobs(b *testing.B) {
	for _, jobs := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				s := newFixture()
				s.now = s.now.Add(time.Minute)
				for n := range jobs {
					j := recurringJob(graph.JobID(fmt.Sprintf("%016x", n)), 16, 8640, time.Millisecond)
					s.Restore(j, nil, 5, n%2 == 0, s.now)
				}
				s.EnablePlacement(s.now, s.now)
				s.Tick(s.now)
			}
		})
	}
}
