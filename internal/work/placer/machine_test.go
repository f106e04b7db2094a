package placer_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/placer"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func newJob(t *testing.T, id job.ID, opts ...job.Option) job.Job {
	t.Helper()
	s, err := cell.NewShape(1, 1, 1, 1, cell.Any)
	if err != nil {
		t.Fatal(err)
	}
	opts = append([]job.Option{job.Repeatable(true), job.SubmittedAt(start, "entry#1", "a")}, opts...)
	j, err := job.New(id, "salon", "refill", s, opts...)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

var targets = placer.TargetsListed{Targets: []table.Target{
	{ID: "w1", Zone: "a", Rack: "r", Accelerators: 4, Cores: 8, Memory: 8, Slots: 4},
}}

// placing returns a machine that knows its one worker.
func placing(t *testing.T) *placer.Machine {
	t.Helper()
	m := placer.New("a", nil, placer.WithIdentity("host#1/1"))
	m.Step(targets, start)
	m.Step(placer.Ticked{}, start)
	m.Step(placer.Reported{Worker: "w1", Report: target.Report{Worker: "w1"}}, start)
	return m
}

// find returns the commands of a type.
func find[C placer.Command](cs []placer.Command) []C {
	var found []C
	for _, c := range cs {
		if k, ok := c.(C); ok {
			found = append(found, k)
		}
	}
	return found
}

// started submits a job and brings it to run; it returns its lease.
func started(t *testing.T, m *placer.Machine, j job.Job) target.Lease {
	t.Helper()
	holds := find[placer.HoldOn](m.Step(placer.Submitted{Job: j}, at(0.1)))
	if len(holds) != 1 {
		t.Fatalf("%d holds, want 1", len(holds))
	}
	l := holds[0].Hold.Lease
	m.Step(placer.HoldAnswered{Worker: "w1", Lease: l}, at(0.2))
	m.Step(placer.StartAnswered{Worker: "w1", Lease: l}, at(0.3))
	return l
}

// A salon cancels what still waits. It is told at once.
func TestCancelOfAQueuedJobIsAnsweredAtOnce(t *testing.T) {
	is := is.New(t)
	m := placer.New("a", nil)
	m.Step(targets, start)
	m.Step(placer.Submitted{Job: newJob(t, "salon-1")}, start)
	answers := find[placer.Answer](m.Step(placer.CancelAsked{Job: "salon-1"}, at(1)))
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome.State, job.Cancelled)
}

// A planner cancels a forecast that runs, and the stop is lost on its way. It is
// sent again, and the caller is told cancelled when the worker has stopped.
func TestCancelOfARunningJobStopsItFirst(t *testing.T) {
	is := is.New(t)
	m := placing(t)
	j := newJob(t, "salon-1")
	l := started(t, m, j)
	cs := m.Step(placer.CancelAsked{Job: j.ID()}, at(1))
	is.Equal(len(find[placer.StopOn](cs)), 1)
	is.Equal(len(find[placer.Answer](cs)), 0)
	is.Equal(len(find[placer.StopOn](m.Step(placer.Ticked{}, at(2.1)))), 1)
	over := target.Task{Lease: l, Job: j, State: target.Stopped, Since: start, Workers: 1}
	cs = m.Step(placer.Reported{Worker: "w1", Report: target.Report{Worker: "w1", Change: 4, Tasks: []target.Task{over}}}, at(2.5))
	answers := find[placer.Answer](cs)
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome.State, job.Cancelled)
}

// A new placer knows no worker yet. It refuses nothing as too large, and places
// nothing on a worker whose list it has not read.
func TestNewPlacerWaitsForTheWorkers(t *testing.T) {
	is := is.New(t)
	m := placer.New("a", nil)
	cs := m.Step(placer.Submitted{Job: newJob(t, "salon-1")}, start)
	is.Equal(len(find[placer.Answer](cs)), 0)
	cs = append(m.Step(targets, at(0.1)), m.Step(placer.Ticked{}, at(2))...)
	is.Equal(len(find[placer.HoldOn](cs)), 0)
	cs = m.Step(placer.Reported{Worker: "w1", Report: target.Report{Worker: "w1"}}, at(2.1))
	cs = append(cs, m.Step(placer.Ticked{}, at(2.2))...)
	is.Equal(len(find[placer.HoldOn](cs)), 1)
}

// A host dies while a brand manager's job runs whose start was due by a time
// that has passed. Its successor is given the job before the worker tells of it,
// and must not refuse it as late.
func TestTakeoverAdoptsWhatRuns(t *testing.T) {
	is := is.New(t)
	m := placer.New("a", nil, placer.WithIdentity("host#2/1"))
	j := newJob(t, "salon-1", job.StartBy(at(-10)))
	m.Step(targets, start)
	cs := m.Step(placer.Submitted{Job: j}, at(0.1))
	is.Equal(len(find[placer.Answer](cs)), 0)
	k := target.Task{
		Lease: target.Lease{Job: j.ID(), Attempt: 3000001}, Job: j, State: target.Confirmed, Since: at(-20), Workers: 1,
		Grants: []cell.Grant{{Member: 0, Worker: "w1", Accelerators: 1}},
	}
	rep := target.Report{Worker: "w1", Change: 9, Tasks: []target.Task{k}}
	cs = m.Step(placer.Reported{Worker: "w1", Report: rep}, at(0.2))
	cs = append(cs, m.Step(placer.Ticked{}, at(1))...)
	is.Equal(len(find[placer.Answer](cs)), 0)
	renewals := find[placer.RenewOn](append(cs, m.Step(placer.Ticked{}, at(6))...))
	is.True(len(renewals) > 0)
	is.Equal(renewals[len(renewals)-1].Renewal.Leases, []target.Lease{k.Lease})
}

// Many jobs start on a worker. It is asked one question at a time, for all of
// its leases together.
func TestOneQuestionToAWorker(t *testing.T) {
	is := is.New(t)
	m := placing(t)
	asked := 0
	for i := range 4 {
		j := newJob(t, job.ID(fmt.Sprintf("salon-%d", i)))
		l := find[placer.HoldOn](m.Step(placer.Submitted{Job: j}, at(0.1)))[0].Hold.Lease
		asked += len(find[placer.RenewOn](m.Step(placer.HoldAnswered{Worker: "w1", Lease: l}, at(0.2))))
		asked += len(find[placer.RenewOn](m.Step(placer.StartAnswered{Worker: "w1", Lease: l}, at(0.3))))
	}
	is.Equal(asked, 0)
	renewals := find[placer.RenewOn](m.Step(placer.Ticked{}, at(3)))
	is.Equal(len(renewals), 1)
	is.Equal(len(renewals[0].Renewal.Leases), 4)
}

// The same events at the same times give the same commands in the same order.
func TestStepIsDeterministic(t *testing.T) {
	story := func() []placer.Command {
		m := placing(t)
		var cs []placer.Command
		for i := range 9 {
			cs = append(cs, m.Step(placer.Submitted{Job: newJob(t, job.ID(fmt.Sprintf("salon-%d", i)))}, at(0.1))...)
		}
		for i := range 40 {
			cs = append(cs, m.Step(placer.Ticked{}, at(float64(i)))...)
		}
		return cs
	}
	first := story()
	for range 5 {
		if again := story(); !reflect.DeepEqual(first, again) {
			t.Fatalf("%d commands, then %d others", len(first), len(again))
		}
	}
}

// A billed order's claim was won by a placer that died, of another zone, and the
// salon asks again here. The claim is asked again and again until the platform
// tells what became of the order; the salon hears that.
func TestClaimHeldElsewhereIsFollowed(t *testing.T) {
	is := is.New(t)
	m := placing(t)
	j := newJob(t, "salon-1", job.Repeatable(false))
	l := find[placer.HoldOn](m.Step(placer.Submitted{Job: j}, at(0.1)))[0].Hold.Lease
	claims := find[placer.ClaimRow](m.Step(placer.HoldAnswered{Worker: "w1", Lease: l}, at(0.2)))
	is.Equal(len(claims), 1)
	m.Step(placer.ClaimAnswered{Lease: claims[0].Lease, Attempt: 7000001}, at(0.3))
	m.Step(placer.StopAnswered{Worker: "w1", Lease: l}, at(0.4))
	again := find[placer.ClaimRow](m.Step(placer.Ticked{}, at(3)))
	is.Equal(len(again), 1)
	recorded := job.Outcome{Job: j.ID(), Attempt: 7000001, State: job.Succeeded, Answer: job.NewAnswer([]byte("billed"))}
	cs := m.Step(placer.ClaimAnswered{Lease: again[0].Lease, Attempt: 7000001, Recorded: recorded}, at(3.1))
	answers := find[placer.Answer](cs)
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome, recorded)
}

// The same, and the platform never tells: the order is lost, with the winner's
// attempt, since the platform's record takes no older one.
func TestClaimHeldElsewhereEndsAsLost(t *testing.T) {
	is := is.New(t)
	m := placing(t)
	j := newJob(t, "salon-1", job.Repeatable(false))
	l := find[placer.HoldOn](m.Step(placer.Submitted{Job: j}, at(0.1)))[0].Hold.Lease
	c := find[placer.ClaimRow](m.Step(placer.HoldAnswered{Worker: "w1", Lease: l}, at(0.2)))[0]
	m.Step(placer.ClaimAnswered{Lease: c.Lease, Attempt: 7000001}, at(0.3))
	m.Step(placer.StopAnswered{Worker: "w1", Lease: l}, at(0.4))
	m.Step(placer.Submitted{Job: j}, at(20)) // the entry confirms it
	answers := find[placer.Answer](m.Step(placer.Ticked{}, at(31)))
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome.State, job.Lost)
	is.Equal(answers[0].Outcome.Attempt, 7000001)
}

// A host stops while it holds the claim of a billed order whose hold was refused.
// Nobody else could start the order or say that it did not run, so it says so
// before it goes; else the salon would hear lost.
func TestDrainingPlacerGivesItsUnusedClaimUp(t *testing.T) {
	is := is.New(t)
	m := placing(t)
	j := newJob(t, "salon-1", job.Repeatable(false))
	l := find[placer.HoldOn](m.Step(placer.Submitted{Job: j}, at(0.1)))[0].Hold.Lease
	c := find[placer.ClaimRow](m.Step(placer.HoldAnswered{Worker: "w1", Lease: l}, at(0.2)))[0]
	m.Step(placer.Ticked{}, at(7)) // too late to start
	m.Step(placer.StopAnswered{Worker: "w1", Lease: l}, at(7.1))
	m.Step(placer.ClaimAnswered{Lease: c.Lease, Won: true}, at(7.2))
	m.Drain()
	is.True(!m.Settled())
	answers := find[placer.Answer](m.Step(placer.Ticked{}, at(7.3)))
	is.Equal(len(answers), 1)
	is.Equal(answers[0].Outcome.State, job.NotRun)
	is.Equal(answers[0].Outcome.Attempt, c.Lease.Attempt)
	m.Step(placer.OutcomeTaken{Job: j.ID()}, at(7.4))
	is.True(m.Settled())
}
