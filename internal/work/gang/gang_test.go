package gang_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/gang"
	"guavaglade.example/guavaglade/internal/work/job"
)

var (
	start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	lease = target.Lease{Job: "salon-1", Attempt: gang.Attempt(1, 7)}
	place = cell.Assignment{{Member: 0, Worker: "w2", Accelerators: 1}, {Member: 1, Worker: "w1", Accelerators: 1}}
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func newJob(t *testing.T) job.Job {
	t.Helper()
	s, err := cell.NewShape(2, 1, 1, 1, cell.Any)
	if err != nil {
		t.Fatal(err)
	}
	j, err := job.New("salon-1", "salon", "refill", s)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// task is what a worker reports of its part.
func task(t *testing.T, worker string, s target.TaskState) target.Task {
	t.Helper()
	k := target.Task{Lease: lease, Job: newJob(t), Grants: place.On(worker), Workers: 2, State: s}
	if s != target.Held {
		k.Since = start
	}
	if s == target.Succeeded && worker == "w2" {
		k.Answer = job.NewAnswer([]byte("forecast"))
	}
	return k
}

// running returns a gang with both starts acknowledged.
func running(t *testing.T) *gang.Gang {
	t.Helper()
	g, _ := gang.New(newJob(t), lease, place, false, start)
	for _, w := range []string{"w1", "w2"} {
		g.Held(w, nil, at(0.1))
	}
	for _, w := range []string{"w1", "w2"} {
		g.StartAnswered(w, nil, at(0.2))
	}
	if g.Phase() != gang.Running {
		t.Fatalf("phase is %d, want running", g.Phase())
	}
	return g
}

func kinds(steps []gang.Step) string {
	var s string
	for _, k := range steps {
		s += fmt.Sprint([]string{"hold", "claim", "start", "stop"}[k.Kind], " ", k.Worker, ";")
	}
	return s
}

// Two placers want the same two workers at once. Both hold them in the order of
// the workers' ids, whatever the order of the members, so that neither ends up
// with one worker each and waits for the other.
func TestHoldsAreInTheOrderOfWorkers(t *testing.T) {
	is := is.New(t)
	g, steps := gang.New(newJob(t), lease, place, true, start)
	is.Equal(kinds(steps), "hold w1;")
	is.Equal(kinds(g.Held("w1", nil, at(0.1))), "hold w2;")
	is.Equal(kinds(g.Held("w2", nil, at(0.2))), "claim ;")
	is.Equal(kinds(g.Claimed(true, nil, at(0.3))), "start w1;start w2;")
	is.True(!g.Renewable("w1", at(0.4))) // not acknowledged yet
}

// A kiosk's job was held at once and then stood still for six seconds: the
// worker's report of the hold came before the answer to it, and the answer was
// taken for a double.
func TestReportOvertakesTheAnswerToAHold(t *testing.T) {
	is := is.New(t)
	g, _ := gang.New(newJob(t), lease, place, false, start)
	is.Equal(kinds(g.Reported("w1", task(t, "w1", target.Held), at(0.1))), "hold w2;")
	is.Equal(kinds(g.Held("w1", nil, at(0.1))), "")
	is.Equal(kinds(g.Held("w2", nil, at(0.2))), "start w1;start w2;")
}

// The placer's process is frozen between its holds and the last answer. When it
// goes on its leases may be another's already: it sends no start.
func TestNothingIsStartedAfterAPause(t *testing.T) {
	is := is.New(t)
	g, _ := gang.New(newJob(t), lease, place, false, start)
	g.Held("w1", nil, at(0.1))
	steps := g.Held("w2", nil, at(8))
	is.Equal(kinds(steps), "stop w1;stop w2;")
	is.True(!g.MayHaveRun())
}

// The platform takes a claim and its answer is lost. The claim is asked again
// until it is known, and nothing is started before.
func TestUnknownClaimIsAskedAgain(t *testing.T) {
	is := is.New(t)
	g, _ := gang.New(newJob(t), lease, place, true, start)
	g.Held("w1", nil, at(0.1))
	g.Held("w2", nil, at(0.2))
	is.Equal(kinds(g.Ticked(at(2))), "") // asked, not answered: not asked twice
	is.Equal(kinds(g.Claimed(false, table.ErrUnknown, at(2))), "")
	is.Equal(kinds(g.Ticked(at(2.6))), "claim ;")
	is.Equal(kinds(g.Claimed(true, nil, at(2.7))), "start w1;start w2;")
}

// The answer to the start of a billed order is lost. What became of it is asked
// of the worker; only its word that the lease ended unstarted makes it not run.
func TestLostStartAnswerIsSettledByTheWorker(t *testing.T) {
	unstarted := task(t, "w2", target.Stopped)
	unstarted.Since = time.Time{}
	cases := []struct {
		name   string
		report *target.Task
		ran    bool
	}{
		{"silence", nil, true},
		{"it had started", ptr(task(t, "w2", target.Stopped)), true},
		{"it never started", &unstarted, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g, _ := gang.New(newJob(t), lease, place, false, start)
			g.Held("w1", nil, at(0.1))
			g.Held("w2", nil, at(0.2))
			first := task(t, "w1", target.Stopped)
			first.Since = time.Time{}
			g.StartAnswered("w1", target.ErrRefused, at(0.3))
			g.StartAnswered("w2", target.ErrUnknown, at(0.4))
			g.Reported("w1", first, at(0.5))
			if c.report != nil {
				g.Reported("w2", *c.report, at(0.6))
			}
			g.Ticked(at(30))
			is.Equal(g.Phase(), gang.Over)
			is.Equal(g.Result().MayHaveRun, c.ran)
		})
	}
}

func ptr[T any](v T) *T { return &v }

// One member of an overnight matching is lost with its worker. The other one is
// told to write a checkpoint and stop, again until it does, and is renewed no
// more: no gang runs on a part of its workers.
func TestLostMemberStopsTheOthers(t *testing.T) {
	is := is.New(t)
	g := running(t)
	steps := g.Lapsed("w1", at(4))
	is.Equal(kinds(steps), "stop w2;")
	is.True(steps[0].Stop.Checkpoint)
	is.True(!g.Renewable("w2", at(4.1)))
	is.Equal(kinds(g.Ticked(at(5.1))), "stop w2;")
	g.Reported("w2", task(t, "w2", target.Stopped), at(6))
	is.Equal(g.Phase(), gang.Over)
	is.Equal(g.Result().Cause, gang.CauseLost)
}

// A forecast's answer arrives cut. It is fetched again and given whole.
func TestCutAnswerIsFetchedAgain(t *testing.T) {
	is := is.New(t)
	g := running(t)
	cut := task(t, "w2", target.Succeeded)
	is.NoErr(cut.Answer.UnmarshalJSON([]byte(`{"length":8,"digest":"00","body":"Zm9yZQ=="}`)))
	g.Reported("w1", task(t, "w1", target.Succeeded), at(1))
	g.Reported("w2", cut, at(1))
	is.Equal(g.AnswerWanted(), "w2")
	is.Equal(g.Phase(), gang.Running)
	g.Reported("w2", task(t, "w2", target.Succeeded), at(2))
	is.Equal(g.Phase(), gang.Over)
	is.Equal(string(g.Result().Answer.Body()), "forecast")
}

// A host dies and its successor reads the workers' lists. A gang that runs on
// all its workers goes on; one that was caught between two start messages is
// left alone for a while, since its placer may live, and then stopped.
func TestFoundGang(t *testing.T) {
	is := is.New(t)
	whole := gang.Found(task(t, "w1", target.Confirmed), start)
	whole.Reported("w1", task(t, "w1", target.Confirmed), at(0.1))
	is.Equal(whole.Phase(), gang.Checking)
	whole.Reported("w2", task(t, "w2", target.Started), at(0.2))
	is.Equal(whole.Phase(), gang.Running)
	is.True(whole.Renewable("w2", at(0.3)))
	is.Equal(len(whole.Place()), 2)

	part := gang.Found(task(t, "w1", target.Started), start)
	part.Reported("w1", task(t, "w1", target.Started), at(0.1))
	part.Reported("w2", task(t, "w2", target.Held), at(0.2))
	is.True(!part.Renewable("w1", at(0.3)))
	is.Equal(kinds(part.Ticked(at(3))), "")
	is.Equal(kinds(part.Ticked(at(4.1))), "stop w1;stop w2;")
}

// A renewal reaches the worker, its answer is lost, and the worker is cut off. The
// caller takes its job back. By the last deadline that was answered the gang
// would be over at 12 s, and its caller told cancelled, while the worker goes on
// until the deadline of the renewal that it has had.
func TestLostAnswerOfARenewalCountsForTheEnd(t *testing.T) {
	is := is.New(t)
	g := running(t)
	for _, w := range []string{"w1", "w2"} {
		g.Asked(w, at(9).Add(gang.LeaseTime))
	}
	g.End(gang.CauseCancel, "", "cancelled", at(9.5))
	g.Reported("w2", task(t, "w2", target.Stopped), at(9.6))
	g.Ticked(at(12.5))
	is.Equal(g.Phase(), gang.Ending) // w1 may still run
	g.Ticked(at(9).Add(gang.LeaseTime + gang.MessageMax))
	is.Equal(g.Phase(), gang.Over)
}
