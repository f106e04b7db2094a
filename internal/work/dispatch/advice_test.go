package dispatch

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// newAdviceFixture returns a machine with four targets that have reported, and an accepted
// job of the given number of tasks whose queue requires advice.
func newAdviceFixture(t *testing.T, tasks int) (*fixture, graph.JobID) {
	t.Helper()
	s := &fixture{Machine: New(7, DefaultBounds()), now: time.Unix(1000, 0)}
	var list []roster.Target
	for i := range 4 {
		name := fmt.Sprintf("t%d", i)
		list = append(list, roster.Target{ID: name, Address: name, Service: "s", Capacity: graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8}})
	}
	s.UpdateTargets(list, s.now, s.now)
	for _, l := range list {
		s.Polled(l.ID, Poll{Sent: s.now}, order.Report{Clock: 5000}, s.now)
	}
	s.EnablePlacement(s.now, s.now)
	j := testJob("00000000000000ba", tasks)
	j.Advised, j.AdviceValid = true, 3*time.Second
	s.Accept(j, s.now)
	return s, j.ID
}

// commands has the machine decide twice, confirms the saves and returns the commands of one
// kind. It drops all others.
func commands[C Command](s *fixture) (list []C) {
	for range 2 {
		s.now = s.now.Add(time.Millisecond) // there is a pause between passes
		for _, c := range s.Decide(s.now) {
			if x, ok := c.(C); ok {
				list = append(list, x)
			}
			if save, ok := c.(Save); ok {
				s.Saved(save.Partition, 1, s.now)
			}
		}
	}
	return list
}

// A queue's policy allows one of four targets. Nothing is started before the advice
// service has answered; then all tasks run on that target, with its ticket.
func TestStartsWaitForAdvice(t *testing.T) {
	is := is.New(t)
	s, _ := newAdviceFixture(t, 3)
	asked := commands[Advise](s)
	is.Equal(len(asked), 1) // one call at a time
	is.Equal(asked[0].Targets, []string{"t0", "t1", "t2", "t3"})
	s.Advised(asked[0], []order.Permit{{Target: "t2", Ticket: "leave"}}, 3*time.Second, s.now, nil, s.now)
	started := commands[Start](s)
	is.Equal(len(started), 3)
	for _, c := range started {
		is.Equal(c.Target.ID, "t2")
		is.Equal(c.Order.Ticket, "leave")
	}
}

// A ticket expires before all tasks could start. The service is asked about its target
// again, but not about those that may not run the step.
func TestExpiredTicketsAreRenewed(t *testing.T) {
	is := is.New(t)
	s, _ := newAdviceFixture(t, 10)
	asked := commands[Advise](s)
	s.Advised(asked[0], []order.Permit{{Target: "t2", Ticket: "leave"}}, 3*time.Second, s.now, nil, s.now)
	is.Equal(len(commands[Start](s)), 8)
	s.now = s.now.Add(3 * time.Second)
	s.Tick(s.now)
	again := commands[Advise](s)
	is.Equal(len(again), 1)
	is.Equal(again[0].Targets, []string{"t2"})
}

// The call of the advice service fails: the service is asked again after a pause, and not
// before.
func TestAdviceIsRequestedAgainAfterFailure(t *testing.T) {
	is := is.New(t)
	s, _ := newAdviceFixture(t, 1)
	asked := commands[Advise](s)
	s.Advised(asked[0], nil, 0, s.now, errors.New("busy"), s.now)
	is.Equal(len(commands[Advise](s)), 0)
	s.now = s.now.Add(advicePause)
	s.Tick(s.now)
	is.Equal(len(commands[Advise](s)), 1)
}

// A target refuses a ticket that should still be valid. The service is asked about it
// again, and the start is not repeated with the same ticket.
func TestRefusedTicketIsNotReused(t *testing.T) {
	is := is.New(t)
	s, _ := newAdviceFixture(t, 1)
	asked := commands[Advise](s)
	s.Advised(asked[0], []order.Permit{{Target: "t1", Ticket: "bad"}}, 3*time.Second, s.now, nil, s.now)
	c := commands[Start](s)[0]
	s.StartAnswered(c, 5000, fmt.Errorf("start: %w", order.ErrNoTicket), s.now)
	starts, asks := 0, 0
	for range 2 {
		s.now = s.now.Add(time.Millisecond)
		for _, c := range s.Decide(s.now) {
			switch c.(type) {
			case Start:
				starts++
			case Advise:
				asks++
			}
		}
	}
	is.Equal(starts, 0)
	is.Equal(asks, 1)
}

// The advice service answers one call at a time, and a gang that it permitted runs. Guards against
// calls for that gang, which has all its runs, before those for a step that waits.
func TestRunningGangRequestsNoAdvice(t *testing.T) {
	is := is.New(t)
	d, calls := newSimulation(t, 25, 8, DefaultBounds()), map[graph.JobID]int{}
	d.adviseAll(calls)
	gang := d.submitAdvised(30*time.Second, largeGang(2, 8))
	d.run(2 * time.Second)
	is.Equal(d.p.RunningOf(gang), 2)
	step := small(17)
	step.Estimate = 15 * time.Second // less urgent than the gang
	waiting := d.submitAdvised(time.Second, step)
	d.runWithListing(5)
	is.Equal(d.p.StartsOf(waiting), 17) // 198 of 200 targets are idle
}

// A step that fits on no target is asked about again and again, since its tickets expire before the
// service has answered about all targets. Another step must get its turn.
func TestStepThatFitsNowhereDoesNotTakeAllAdvice(t *testing.T) {
	is := is.New(t)
	s, hopeless := newAdviceFixture(t, 1)
	s.jobs[hopeless].spec.Steps[0].Needs.Accelerators = 16
	var list []roster.Target
	for i := range 100 {
		name := fmt.Sprintf("t%02d", i)
		list = append(list, roster.Target{ID: name, Address: name, Service: "s", Capacity: graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8}})
	}
	s.UpdateTargets(list, s.now, s.now)
	for _, l := range list {
		s.Polled(l.ID, Poll{Sent: s.now}, order.Report{Clock: 5000}, s.now)
	}
	j := testJob("00000000000000bb", 1)
	j.Advised, j.AdviceValid = true, 3*time.Second
	s.Accept(j, s.now)
	steps := map[graph.JobID]int{}
	for range 20 {
		var asked []Advise
		for _, c := range commands[Command](s) {
			if a, ok := c.(Advise); ok {
				asked = append(asked, a)
			}
		}
		if len(asked) == 0 {
			break // no step has tasks to start
		}
		is.Equal(len(asked), 1)
		steps[asked[0].Step.Job]++
		at := s.now
		s.now = s.now.Add(time.Second) // as long as the service takes for 30 targets
		var granted []order.Permit
		for _, id := range asked[0].Targets {
			granted = append(granted, order.Permit{Target: id, Ticket: "leave"})
		}
		s.Advised(asked[0], granted, 3*time.Second, at, nil, s.now)
		s.UpdateTargets(list, s.now, s.now)
		s.Tick(s.now)
	}
	is.True(steps[j.ID] > 0)
}

// adviseAll has the advice service permit all targets to all steps, with tickets that are valid for
// three seconds, and count the calls for each job.
func (d *simulation) adviseAll(calls map[graph.JobID]int) {
	d.advise = func(c Advise) (allowed []string, wait time.Duration, err error) {
		calls[c.Step.Job]++
		return c.Targets, 100*time.Millisecond + time.Duration(len(c.Targets))*15*time.Millisecond, nil
	}
}

// submitAdvised submits a job whose tasks each take the given work on targets that the advice
// service permits.
func (d *simulation) submitAdvised(work time.Duration, s graph.Step) graph.JobID {
	j := &graph.Job{Priority: 1, Advised: true, AdviceValid: 3 * time.Second, SlackFactor: 3, Steps: []graph.Step{s}}
	return d.submitJob(j, pool.Behaviour{Work: func(graph.TaskID) time.Duration { return work }})
}
