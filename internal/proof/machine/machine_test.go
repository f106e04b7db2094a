package machine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/platform/ledger"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Spans of a case, from its start.
const (
	trouble   = 30 * time.Second  // jobs come and faults begin
	healed    = 50 * time.Second  // every fault has ended
	liveUntil = 200 * time.Second // every accepted job has its final answer
)

// asked is a job that a caller asked for, and what the workers saw of it.
type asked struct {
	job      job.Job
	entry    *host
	inc      int64 // of the entry that accepted it
	attempts map[target.Lease]bool
	final    bool
	notRun   bool // the caller was told so
}

// request is a job as it is drawn.
type request struct {
	at, run, startIn     int // ms; startIn 0: none
	host                 int
	members, accel       int
	repeatable, long     bool
	ticket, fail, cancel bool
	cancelAt             int // ms after at
}

// fault is one trouble as it is drawn.
type fault struct {
	kind, at, lasts, which int // ms
}

// The kinds of faults.
const (
	killHost = iota
	pauseHost
	cutZones
	cutPlatform
	platformDown
	platformSlow
	platformLoses
	isolateHost
	isolateWorker
	leavingByList
	leavingByWord
	noisyNet
	operatorsRace
	faultKinds
)

// script is a whole case.
type script struct {
	seed   uint64
	jobs   []request
	faults []fault
}

func drawScript(t *rapid.T) script {
	ms := func(from, to int) *rapid.Generator[int] { return rapid.IntRange(from, to) }
	s := script{seed: rapid.Uint64().Draw(t, "seed")}
	jobs := rapid.Custom(func(t *rapid.T) request {
		return request{
			at: ms(500, 20000).Draw(t, "at"), run: ms(10, 8000).Draw(t, "run"),
			startIn: rapid.SampledFrom([]int{0, 0, 3000, 10000}).Draw(t, "startIn"),
			host:    ms(0, 3).Draw(t, "host"), members: ms(1, 4).Draw(t, "members"), accel: ms(1, 4).Draw(t, "accel"),
			repeatable: rapid.Bool().Draw(t, "repeatable"), long: ms(0, 3).Draw(t, "long") == 0,
			ticket: ms(0, 3).Draw(t, "ticket") == 0, fail: ms(0, 9).Draw(t, "fail") == 0,
			cancel: ms(0, 7).Draw(t, "cancel") == 0, cancelAt: ms(0, 9000).Draw(t, "cancelAt"),
		}
	})
	faults := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind: ms(0, faultKinds-1).Draw(t, "kind"), at: ms(0, int(trouble/time.Millisecond)).Draw(t, "at"),
			lasts: ms(100, 20000).Draw(t, "lasts"), which: ms(0, 11).Draw(t, "which"),
		}
	})
	s.jobs = rapid.SliceOfN(jobs, 1, 8).Draw(t, "jobs")
	s.faults = rapid.SliceOfN(faults, 0, 6).Draw(t, "faults")
	return s
}

// play runs a case and returns the broken invariants, nil for none.
func play(s script, m mutation, trace func(string, ...any)) []string {
	w := newWorld(s.seed, m)
	w.trace = trace
	for i, r := range s.jobs {
		w.at(epoch.Add(millis(r.at)), func() { w.submit(i, r) })
	}
	for i, f := range s.faults {
		w.at(epoch.Add(millis(f.at)), func() { w.strike(i, f) })
	}
	w.run(epoch.Add(trouble), func() bool { return false })
	w.run(epoch.Add(liveUntil), func() bool { return w.now.After(epoch.Add(healed)) && w.settled() })
	if len(w.faults) == 0 {
		w.checkEnd()
	}
	return w.faults
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// submit asks a host for a job, as a caller would.
func (w *world) submit(i int, r request) {
	h := w.hosts[r.host]
	if !h.alive || w.now.Before(h.pausedUntil) {
		return
	}
	shape, err := cell.NewShape(r.members, r.accel, 1, 100, cell.Any)
	if err != nil {
		panic(err)
	}
	request := fmt.Sprintf("r%d", i)
	opts := []job.Option{
		job.WithRequest(request), job.Repeatable(r.repeatable), job.Long(r.long), job.SubmittedAt(w.now, h.id(), h.zone),
		job.WithInput(fmt.Appendf(nil, `{"runMillis":%d,"fail":%v}`, r.run, r.fail)),
	}
	if r.startIn > 0 {
		opts = append(opts, job.StartBy(w.now.Add(millis(r.startIn))))
	}
	id := job.NewID("salon", request)
	if r.ticket && !r.repeatable {
		text, err := h.book.Issue("salon", w.now.Add(time.Minute))
		if err == nil {
			_, err = h.book.Spend(text, "salon", id, w.now)
		}
		if err != nil {
			panic(err)
		}
		opts = append(opts, job.WithTicket(text))
	}
	j, err := job.New(id, "salon", "refill", shape, opts...)
	if err != nil {
		panic(err)
	}
	w.jobs[id] = &asked{job: j, entry: h, inc: h.inc, attempts: map[target.Lease]bool{}}
	w.logf("%s accepts %s: %+v", h.id(), id, r)
	h.enter(intake.Accepted{Job: j})
	if r.cancel {
		w.after(millis(r.cancelAt), h.guard(func() { h.enter(intake.CancelAsked{Job: id}) }))
	}
}

// finished checks what a caller is told.
func (w *world) finished(h *host, c intake.Finish) {
	a, o := w.jobs[c.Job.ID()], c.Outcome
	w.logf("%s finishes %s: %s (%s)", h.id(), c.Job.ID(), o.State, o.Reason)
	if a.final || a.entry != h || a.inc != h.inc || o.Job != c.Job.ID() {
		w.violate("ownAnswer", "%s finished %s with the outcome of %s a second time or at another host", h.id(), c.Job.ID(), o.Job)
	}
	a.final, a.notRun = true, o.State == job.NotRun
	if o.State == job.Succeeded && string(o.Answer.Body()) != "done "+string(c.Job.ID()) {
		w.violate("wholeAnswer", "%s was answered %q", c.Job.ID(), o.Answer.Body())
	}
	if a.notRun && len(a.attempts) > 0 {
		w.violate("notRun", "%s is told not run and was started %d times", c.Job.ID(), len(a.attempts))
	}
}

// settled reports whether every job whose entry lives is final.
func (w *world) settled() bool {
	for _, a := range w.jobs {
		if !a.final && a.entry.alive && a.entry.inc == a.inc {
			return false
		}
	}
	return true
}

func (w *world) checkEnd() {
	for id, a := range w.jobs {
		if !a.final && a.entry.alive && a.entry.inc == a.inc {
			r, _ := a.entry.entry.Record(id)
			w.violate("liveness", "%s has no final answer: %s", id, r.State())
		}
	}
}

// strike begins a fault and plans its end.
func (w *world) strike(i int, f fault) {
	h, k := w.hosts[f.which%len(w.hosts)], w.workers[f.which%len(w.workers)]
	w.logf("fault %d on %s / %s for %s", f.kind, h.id(), k.name, millis(f.lasts))
	begin := func(undo func()) { w.after(millis(f.lasts), undo) }
	count := func(n *int, by int) { *n += by; begin(func() { *n -= by }) }
	cutKey := func(key string) { w.cuts[key]++; begin(func() { w.cuts[key]-- }) }
	switch f.kind {
	case killHost:
		if h.alive {
			h.kill()
			begin(h.begin)
		}
	case pauseHost:
		h.pausedUntil = w.now.Add(millis(f.lasts))
	case cutZones:
		cutKey(pair("a", "b"))
	case cutPlatform:
		cutKey(pair(h.zone, "platform"))
	case platformDown:
		count(&w.platform.down, 1)
	case platformSlow:
		count(&w.platform.slow, 1)
	case platformLoses:
		count(&w.platform.losing, 50)
	case isolateHost:
		cutKey(h.name)
	case isolateWorker:
		cutKey(k.name)
	case leavingByList:
		k.leaves = true
		begin(func() { k.leaves = false })
	case leavingByWord:
		k.SetLeaving(true)
		begin(func() { k.SetLeaving(false) })
	case noisyNet:
		count(&w.noise.lose, 10)
		count(&w.noise.double, 20)
		count(&w.noise.slow, 20)
	case operatorsRace:
		w.change(w.hosts[f.which%len(w.hosts)], fmt.Sprintf("first%d", i))
		w.change(w.hosts[(f.which+1)%len(w.hosts)], fmt.Sprintf("second%d", i))
	}
}

// change has an operator change the configuration through a host; of two with
// the same base one is accepted.
func (w *world) change(h *host, id string) {
	w.platform.ask(h, func(err error) func() {
		if err != nil || !h.alive {
			return func() {}
		}
		ctx := context.Background()
		base, err := h.ledger.Current(ctx)
		if err != nil {
			return func() {}
		}
		c, err := h.ledger.Change(ctx, base.Version, id, fmt.Appendf(nil, "[service refill]\ncompletionWeight = 0.%d\n", base.Version%10))
		if err == nil && c.Change == id {
			w.accepted(c)
		}
		return func() {}
	})
}

func (w *world) accepted(c ledger.Config) {
	if other, ok := w.changes[c.Version]; ok && other != c.Change {
		w.violate("oneChange", "version %d is both %s and %s", c.Version, other, c.Change)
	}
	w.changes[c.Version] = c.Change
	w.platform.versions = append(w.platform.versions, c)
}

// TestWholeSystemUnderFaults plays drawn cases over the real decision code.
// -rapid.checks=N plays more of them.
func TestWholeSystemUnderFaults(t *testing.T) {
	check(t, func(t *rapid.T) {
		s := drawScript(t)
		if broken := play(s, mutation{}, nil); broken != nil {
			play(s, mutation{}, t.Logf)
			t.Fatal(broken[0])
		}
	})
}
