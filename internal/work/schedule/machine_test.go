package schedule_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/schedule"
)

// world is what stands on the workers, whatever the scheduler believes.
type world struct {
	*schedule.Scheduler
	now      time.Time
	workers  []cell.Worker
	gone     map[string]bool
	stands   map[string]job.ID // by worker and accelerator
	running  map[job.ID]cell.Assignment
	jobs     map[job.ID]job.Job
	order    []job.ID // of running jobs, the oldest first
	stops    []job.ID // asked for and not yet done
	answered map[job.ID]bool
	configs  []*text.Config
}

const smallText = "[service s]\ncompletionWeight = 0.5\nfragmentationWeight = 0.5\n[account a]\noperator = true\nkeyHash = %064d\nweight = 1\n[account b]\nkeyHash = %064d\nweight = 2\n"

const smallGuarantee = "[guarantee %s]\nmembers = %d\naccelerators = %d\ncores = %d\nmemory = %d\nadjacency = %s\nzones = z\ncount = 1\n"

func newWorld(t *rapid.T) *world {
	w := &world{
		now: epoch, gone: map[string]bool{}, stands: map[string]job.ID{}, running: map[job.ID]cell.Assignment{},
		jobs: map[job.ID]job.Job{}, answered: map[job.ID]bool{},
	}
	w.Scheduler = schedule.New(placement.NewZone(nil), schedule.PerAccount(12))
	for i := range 5 {
		worker, err := cell.NewWorker(fmt.Sprintf("w%d", i), "z", fmt.Sprintf("r%d", i/3), 4, 32, 128<<10, 8)
		if err != nil {
			t.Fatal(err)
		}
		w.workers = append(w.workers, worker)
		w.Zone().AddWorker(worker)
	}
	base := fmt.Sprintf(smallText, 1, 2)
	one := fmt.Sprintf(smallGuarantee, "a.big", 2, 4, 8, 32<<10, "rack")
	two := fmt.Sprintf(smallGuarantee, "b.small", 1, 2, 4, 16<<10, "any")
	for _, body := range []string{base, base + one, base + one + two} {
		c, err := text.Parse([]byte(body))
		if err != nil {
			t.Fatal(err)
		}
		w.configs = append(w.configs, c)
	}
	if err := w.Configure(w.configs[2], "z"); err != nil {
		t.Fatal(err)
	}
	return w
}

var smallShapes = []struct {
	account, shape string
	guaranteed     bool
}{
	{"a", "1 1 any", false},
	{"b", "1 2 any", false},
	{"a", "4 1 any", false},
	{"b", "1 4 worker", false},
	{"a", "3 4 rack", false},
	{"b", "2 2 worker", false},
	{"a", "2 4 rack", true},
	{"b", "1 2 any", true},
	{"a", "9 4 any", false},
}

func (w *world) submit(t *rapid.T) {
	k := rapid.SampledFrom(smallShapes).Draw(t, "kind")
	id := job.ID(fmt.Sprintf("j%d", len(w.jobs)))
	opts := []job.Option{
		job.WithKind(k.shape), job.Repeatable(true), job.Guaranteed(k.guaranteed), job.SubmittedAt(w.now, "", "z"),
		job.Stoppable(rapid.Bool().Draw(t, "stoppable")), job.Urgent(rapid.IntRange(0, 4).Draw(t, "urgent") == 0),
		job.Declared(time.Duration(rapid.IntRange(1, 900).Draw(t, "declared")) * time.Second),
	}
	if rapid.IntRange(0, 5).Draw(t, "hasDeadline") == 0 {
		opts = append(opts, job.StartBy(w.now.Add(20*time.Second)))
	}
	j, err := job.New(id, k.account, "s", shapeOf(t, k.shape), opts...)
	if err != nil {
		t.Fatal(err)
	}
	w.jobs[id] = j
	w.Submit(j, w.now)
}

// decide asks for decisions and checks them against what stands on the workers.
func (w *world) decide(t *rapid.T) {
	for _, d := range w.Decide(w.now) {
		id := d.Job.ID()
		switch d.Action {
		case schedule.Start:
			w.start(t, id, d.Assignment)
		case schedule.Stop:
			if w.running[id] == nil {
				t.Fatalf("%s is to stop but does not run", id)
			}
			w.stops = append(w.stops, id)
		case schedule.Refuse, schedule.Fail:
			if w.running[id] != nil || w.answered[id] {
				t.Fatalf("%s is answered while it runs or twice: %s", id, d.Reason)
			}
			w.answered[id] = true
		}
	}
}

func (w *world) start(t *rapid.T, id job.ID, a cell.Assignment) {
	shape := w.jobs[id].Shape()
	if w.answered[id] || w.running[id] != nil || len(a) != shape.Members() {
		t.Fatalf("%s: answered %v, runs %v, placed on %v for %v", id, w.answered[id], w.running[id], a, shape)
	}
	for _, g := range a {
		if g.Count() != shape.Accelerators() {
			t.Fatalf("%s: member %d has %d accelerators", id, g.Member, g.Count())
		}
		for i := range 4 {
			at := fmt.Sprintf("%s/%d", g.Worker, i)
			if g.Accelerators>>i&1 == 0 {
				continue
			}
			if other, taken := w.stands[at]; taken {
				t.Fatalf("%s is given %s, where %s stands", id, at, other)
			}
			w.stands[at] = id
		}
	}
	w.running[id] = a
	w.order = append(w.order, id)
}

func (w *world) end(id job.ID, end schedule.End, worker string) {
	if w.running[id] == nil {
		return
	}
	for at, owner := range w.stands {
		if owner == id {
			delete(w.stands, at)
		}
	}
	delete(w.running, id)
	w.order = slices.DeleteFunc(w.order, func(o job.ID) bool { return o == id })
	w.answered[id] = end == schedule.Done || end == schedule.Dropped
	w.Ended(id, end, worker, w.now)
}

func (w *world) stopAll() {
	for _, id := range w.stops {
		w.end(id, schedule.Reclaimed, "")
	}
	w.stops = nil
}

// some draws a running job and ends it; without one it does nothing.
func (w *world) some(t *rapid.T, end schedule.End) {
	if len(w.order) == 0 {
		return
	}
	id := rapid.SampledFrom(w.order).Draw(t, "running")
	w.end(id, end, w.running[id][0].Worker)
}

func (w *world) lose(t *rapid.T) {
	id := rapid.SampledFrom(w.workers).Draw(t, "worker").ID()
	w.gone[id] = true
	w.Zone().RemoveWorker(id)
	for _, j := range slices.Clone(w.order) {
		if len(w.running[j].On(id)) > 0 {
			w.end(j, schedule.WorkerGone, id)
		}
	}
}

func (w *world) restore() {
	for _, worker := range w.workers {
		if w.gone[worker.ID()] {
			delete(w.gone, worker.ID())
			w.Zone().AddWorker(worker)
		}
	}
}

// drain lets what runs end, one job a round, and checks that everything that
// waits is started or answered within a bounded number of rounds.
func (w *world) drain(t *rapid.T) {
	w.restore()
	for range 40 + 6*len(w.jobs) {
		w.now = w.now.Add(5 * time.Second)
		w.decide(t)
		w.stopAll()
		if len(w.order) > 0 {
			w.end(w.order[0], schedule.Done, "")
		}
	}
	if len(w.running) > 0 || w.Queued() > 0 {
		t.Fatalf("after all rounds %d jobs run and %d wait, on an idle zone", len(w.running), w.Queued())
	}
	for id := range w.jobs {
		if !w.answered[id] {
			t.Fatalf("%s was neither run nor answered", id)
		}
	}
}

// A zone goes through arrivals, ends of every kind, reclaims, cancellations,
// lost and returning workers and changes of configuration, in any order. No
// accelerator may be given twice, no gang placed in part, no refused job
// started; what is guaranteed starts at once when asked for; and in the end
// everything that waited has run or was answered.
func TestSchedulerKeepsItsPromises(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 8 {
			w.submit(t)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":       func(t *rapid.T) { w.decide(t) },
			"submit": w.submit,
			"pass": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			},
			"done":       func(t *rapid.T) { w.some(t, schedule.Done) },
			"stops":      func(*rapid.T) { w.stopAll() },
			"notStarted": func(t *rapid.T) { w.some(t, schedule.NotStarted) },
			"crashed":    func(t *rapid.T) { w.some(t, schedule.Crashed) },
			"cancel": func(t *rapid.T) {
				id := job.ID(fmt.Sprintf("j%d", rapid.IntRange(0, len(w.jobs)).Draw(t, "job")))
				if w.Cancel(id) {
					w.answered[id] = true
				}
				w.end(id, schedule.Dropped, "")
			},
			"lose":   w.lose,
			"return": func(*rapid.T) { w.restore() },
			"configure": func(t *rapid.T) {
				_ = w.Configure(rapid.SampledFrom(w.configs).Draw(t, "config"), "z")
			},
			"guarantee": w.claimGuarantee,
		})
		w.drain(t)
	})
}

// claimGuarantee submits a job that its account is guaranteed room for, if its
// guarantee is not at risk and nothing of it is claimed, and checks that it
// starts as soon as its victims have stopped.
func (w *world) claimGuarantee(t *rapid.T) {
	if len(w.Zone().AtRisk()) > 0 || len(w.gone) > 0 || w.Configure(w.configs[2], "z") != nil || len(w.Zone().AtRisk()) > 0 {
		return
	}
	shape := shapeOf(t, "2 4 rack")
	for _, j := range w.jobs {
		if j.Account() == "a" && (j.Guaranteed() || j.Urgent()) && !w.answered[j.ID()] {
			return
		}
	}
	id := job.ID(fmt.Sprintf("j%d", len(w.jobs)))
	j, err := job.New(id, "a", "s", shape, job.Guaranteed(true), job.Repeatable(true), job.SubmittedAt(w.now, "", "z"))
	if err != nil {
		t.Fatal(err)
	}
	w.jobs[id] = j
	w.Submit(j, w.now)
	for range 2 {
		w.decide(t)
		w.stopAll()
	}
	if w.running[id] == nil && len(w.Quarantined()) == 0 && !w.answered[id] {
		t.Fatalf("%s is guaranteed its room but does not run after its victims have stopped", id)
	}
}
