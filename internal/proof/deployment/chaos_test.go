package deployment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// request is a job that a client submits.
type request struct {
	At       time.Duration // since the start of the run
	Priority int
	Steps    []graph.Step
	Work     time.Duration // of each task
	Fails    int           // of 100 runs
	Cancel   time.Duration // since the submission; 0: not cancelled
	Crashes  bool          // the first task crashes each target that starts it
}

// drawStep draws a step, which depends on the first step unless it is that.
func drawStep(t *rapid.T, first bool) graph.Step {
	s := graph.Step{
		Count:    rapid.IntRange(1, 12).Draw(t, "count"),
		Needs:    needs(rapid.SampledFrom([]int{1, 1, 2, 4, 8}).Draw(t, "accelerators")),
		Estimate: time.Duration(rapid.IntRange(1, 6).Draw(t, "estimate")) * time.Second,
	}
	switch rapid.IntRange(0, 5).Draw(t, "sort") {
	case 0, 1:
		s.Gang, s.Count = true, min(s.Count, 6)
		s.SameRack = rapid.Bool().Draw(t, "sameRack")
	case 2:
		s.Checkpointing = true
	case 3:
		s.PerTarget = 2
	}
	if !first {
		s.After = []int{0}
	}
	return s
}

// drawRequest draws a request for a job of one or two steps, which may be cancelled.
func drawRequest(t *rapid.T) request {
	q := request{
		At:       time.Duration(rapid.IntRange(1000, 20000).Draw(t, "at")) * time.Millisecond,
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Steps:    []graph.Step{drawStep(t, true)},
		Work:     time.Duration(rapid.IntRange(300, 5000).Draw(t, "work")) * time.Millisecond,
		Fails:    rapid.SampledFrom([]int{0, 0, 5, 60}).Draw(t, "fails"),
	}
	if rapid.IntRange(0, 3).Draw(t, "more") == 0 {
		q.Steps = append(q.Steps, drawStep(t, false))
	}
	if rapid.IntRange(0, 6).Draw(t, "cancels") == 0 {
		q.Cancel = time.Duration(rapid.IntRange(20, 3000).Draw(t, "cancel")) * time.Millisecond
	}
	q.Crashes = rapid.IntRange(0, 9).Draw(t, "crashes") == 0
	return q
}

// script is a whole run: what clients submit and which faults are injected. It is
// recorded as JSON under the names of the fields.
type script struct {
	Seed     uint64
	Requests []request
	Troubles []fault
}

func drawScript(t *rapid.T) script {
	return script{
		Seed:     rapid.Uint64().Draw(t, "seed"),
		Requests: rapid.SliceOfN(rapid.Custom(drawRequest), 4, 25).Draw(t, "requests"),
		Troubles: rapid.SliceOfN(rapid.Custom(drawFault), 1, 7).Draw(t, "troubles"),
	}
}

// Faults of all kinds are injected, also several at once, while clients submit jobs of
// all kinds; both are random by seed. No guarantee is violated, and once all faults are over
// every accepted job ends.
func TestChaos(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) {
		s := drawScript(rt)
		if violations, log := s.run(t); len(violations) > 0 {
			text, _ := json.Marshal(s) // numbers and strings always marshal
			rt.Fatalf("%v\n%s\n%s\nadd this to testdata/chaos: %s", s.Troubles, strings.Join(violations, "\n"), log, text)
		}
	})
}

// Runs the scripts of faults and jobs that have found defects, and checks them as TestChaos
// does. testdata/chaos/README.md says which defects.
func TestChaosRegressions(t *testing.T) {
	files, err := filepath.Glob("testdata/chaos/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			var s script
			if err := json.Unmarshal(text, &s); err != nil {
				t.Fatal(err)
			}
			if violations, log := s.run(t); len(violations) > 0 {
				t.Errorf("%s\n%s", strings.Join(violations, "\n"), log)
			}
		})
	}
}

// run executes a script on four hosts and three racks for 33 s of virtual time, ends all
// faults, waits for the jobs to end and returns the violations and the newest log lines.
func (s script) run(t *testing.T) (violations []string, log string) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, s.Seed, 4, 3)
		defer d.close()
		began := time.Now()
		schedule := func(d time.Duration, f func()) {
			time.AfterFunc(time.Until(began.Add(d)), f)
		}
		events := make(chan func(), 256)
		for _, f := range s.Troubles {
			schedule(f.At, func() { events <- func() { d.inject(f) } })
			schedule(f.At+f.For, func() { events <- func() { d.heal(f) } })
		}
		for _, q := range s.Requests {
			schedule(q.At, func() { events <- func() { d.submitRequest(q, events) } })
		}
		end := time.After(33 * time.Second)
		for running := true; running; {
			select {
			case f := <-events:
				f()
			case <-end:
				running = false
			}
		}
		d.healAll()
		d.awaitEnds(120 * time.Second)
		violations, log = d.violations, d.recentLogs()
	})
	return violations, log
}

// submitRequest submits the job of a request. If q.Cancel is set, it sends an event that
// cancels the job after that time, whether it has been accepted or not. Which runs fail depends on
// the ids of their tasks and their numbers alone.
func (d *deployment) submitRequest(q request, events chan func()) {
	j := d.newJob(q.Priority, q.Steps...)
	b := succeedsAfter(q.Work)
	b.Fails = func(id graph.TaskID, run int) bool {
		return int(hash(id.String(), run)%100) < q.Fails
	}
	b.Crashes = func(id graph.TaskID, _ int) bool { return q.Crashes && id.Step == 0 && id.Index == 0 }
	s := d.submit(j, b)
	s.crashes = q.Crashes
	if q.Cancel > 0 {
		time.AfterFunc(q.Cancel, func() {
			events <- func() { d.cancel(s) }
		})
	}
}

// hash returns a pseudo-random number that depends on its arguments alone.
func hash(text string, n int) uint32 {
	h := uint32(2166136261) + uint32(n)*97
	for _, c := range []byte(text) {
		h = (h ^ uint32(c)) * 16777619
	}
	return h >> 7
}
