package machine

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/platform/ledger"
	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Spans of a case, from its start.
const (
	trouble = 30 * time.Second // jobs come and faults begin
	healed  = 50 * time.Second // every fault has ended
	// Every accepted job has its final answer by then. The longest wait that is
	// allowed is that of a job that must not be repeated for a worker that is in
	// quarantine: it probes that worker itself after ten minutes only.
	liveUntil = 15 * time.Minute
)

// asked is a job that a caller asked for, and what the workers saw of it.
type asked struct {
	job      job.Job
	entries  []*asking
	attempts map[target.Lease]bool
	notRun   bool // a caller was told so
}

// asking is one host that accepted the job and owes it an answer.
type asking struct {
	entry *host
	inc   int64 // of the host
	final bool
}

// owed reports whether an answer is still to come: the host lives and has not
// given it.
func (k *asking) owed() bool { return !k.final && k.entry.alive && k.entry.inc == k.inc }

func (a *asked) by(h *host) *asking {
	for _, k := range a.entries {
		if k.entry == h && k.inc == h.inc {
			return k
		}
	}
	return nil
}

// request is a job as it is drawn.
type request struct {
	at, run, startIn     int // ms; startIn 0: none
	host                 int
	members, accel       int
	repeatable, long     bool
	kiosk, stoppable     bool // the kiosk's work is guaranteed, the salon's may be stoppable
	ticket, fail, cancel bool
	cancelAt             int // ms after at
	again                int // ms after at: asked for again at a host of the other zone; 0: not
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
	splitZone // both hosts of a zone reach the workers, and not each other
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
	drop   bool // a host that is not the placer any more forgets what it placed
	jobs   []request
	faults []fault
}

// drawScript draws what is in a case, which shrinks, and a seed that everything
// in it follows from. Drawn one by one, most numbers would be near their bounds.
func drawScript(t *rapid.T) script {
	bits := rapid.SliceOfN(rapid.Uint64(), 3, 3).Draw(t, "bits")
	s := script{seed: bits[0] ^ bits[1]<<21 ^ bits[2]<<42, drop: rapid.Bool().Draw(t, "drop")}
	for i, in := range rapid.SliceOfN(rapid.Bool(), maxJobs, maxJobs).Draw(t, "jobs") {
		if in {
			s.jobs = append(s.jobs, requestOf(rand.New(rand.NewPCG(s.seed, uint64(i)))))
		}
	}
	for i, in := range rapid.SliceOfN(rapid.Bool(), maxFaults, maxFaults).Draw(t, "faults") {
		if in {
			s.faults = append(s.faults, faultOf(rand.New(rand.NewPCG(s.seed, uint64(maxJobs+i)))))
		}
	}
	return s
}

// The most that is in one case.
const (
	maxJobs   = 12
	maxFaults = 14
)

func requestOf(r *rand.Rand) request {
	return request{
		at: 500 + r.IntN(20000), run: 10 + r.IntN([]int{50, 2000, 8000}[r.IntN(3)]), startIn: []int{0, 0, 3000, 10000}[r.IntN(4)],
		host: r.IntN(4), members: 1 + r.IntN(4), accel: 1 + r.IntN(3),
		repeatable: r.IntN(5) < 2, long: r.IntN(4) == 0, ticket: r.IntN(3) == 0, fail: r.IntN(10) == 0,
		cancel: r.IntN(8) == 0, cancelAt: r.IntN(9000),
		again: max(0, r.IntN(12000)-6000), kiosk: r.IntN(3) == 0, stoppable: r.IntN(2) == 0,
	}
}

func faultOf(r *rand.Rand) fault {
	f := fault{kind: r.IntN(faultKinds), at: r.IntN(int(trouble / time.Millisecond)), which: r.IntN(12)}
	f.lasts = 100 + r.IntN([]int{1000, 5000, 20000}[r.IntN(3)])
	return f
}

// play runs a case and returns the broken invariants, nil for none.
func play(s script, m mutation, trace func(string, ...any)) []string {
	w := newWorld(s.seed, m)
	w.trace, w.drop, w.provable = trace, s.drop, true
	for _, f := range s.faults {
		w.provable = w.provable && f.kind != cutPlatform && f.kind != platformDown && f.kind != isolateHost
	}
	w.write(w.hosts[0], ledger.Config{}, 0, "initial")
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
	account := "salon"
	if r.kiosk {
		account = "kiosk"
	}
	opts = append(opts, job.Guaranteed(r.kiosk), job.Urgent(r.kiosk), job.Stoppable(r.stoppable && !r.kiosk))
	if r.startIn > 0 {
		opts = append(opts, job.StartBy(w.now.Add(millis(r.startIn))))
	}
	id := job.NewID(account, request)
	if r.ticket && !r.repeatable {
		text, err := h.book.Issue(account, w.now.Add(time.Minute))
		if err == nil {
			_, err = h.book.Spend(text, account, id, w.now)
		}
		if err != nil {
			panic(err)
		}
		opts = append(opts, job.WithTicket(text))
	}
	j, err := job.New(id, account, "refill", shape, opts...)
	if err != nil {
		panic(err)
	}
	w.jobs[id] = &asked{job: j, attempts: map[target.Lease]bool{}}
	w.logf("%s accepts %s: %+v", h.id(), id, r)
	w.accept(h, j)
	if other := w.hosts[(r.host+2)%len(w.hosts)]; r.again > 0 && w.provable && j.NeedsClaim() && !j.Repeatable() {
		w.after(millis(r.again), func() {
			if other.alive && !w.now.Before(other.pausedUntil) {
				w.accept(other, j.AdoptedBy(other.id()))
			}
		})
	}
	if r.cancel {
		w.after(millis(r.cancelAt), h.guard(func() { h.enter(intake.CancelAsked{Job: id}) }))
	}
}

func (w *world) accept(h *host, j job.Job) {
	a := w.jobs[j.ID()]
	a.entries = append(a.entries, &asking{entry: h, inc: h.inc})
	h.enter(intake.Accepted{Job: j})
}

// finished checks what a caller is told.
func (w *world) finished(h *host, c intake.Finish) {
	a, o := w.jobs[c.Job.ID()], c.Outcome
	w.logf("%s finishes %s: %s (%s)", h.id(), c.Job.ID(), o.State, o.Reason)
	k := a.by(h)
	if k == nil || k.final || o.Job != c.Job.ID() {
		w.violate("ownAnswer", "%s finished %s with the outcome of %s a second time or at another host", h.id(), c.Job.ID(), o.Job)
	}
	k.final = true
	a.notRun = a.notRun || o.State == job.NotRun
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
		for _, k := range a.entries {
			if k.owed() {
				return false
			}
		}
	}
	return true
}

func (w *world) checkEnd() {
	for id, a := range w.jobs {
		for _, k := range a.entries {
			if k.owed() {
				r, _ := k.entry.entry.Record(id)
				w.violate("liveness", "%s has no final answer at %s: %s", id, k.entry.id(), r.State())
			}
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
	case splitZone:
		other := w.hosts[f.which%len(w.hosts)^1]
		cutKey(pair(h.name, other.name))
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

// change has an operator read the configuration through a host and, a little
// later, change it. Of two changes with the same base one is accepted.
func (w *world) change(h *host, id string) {
	read := func(err error, then func(ledger.Config)) {
		if err != nil || !h.alive {
			return
		}
		if c, err := h.ledger.Current(context.Background()); err == nil {
			then(c)
		}
	}
	w.platform.ask(h, func(err error) func() {
		var base ledger.Config
		read(err, func(c ledger.Config) { base = c })
		return func() {
			w.platform.ask(h, func(err error) func() {
				written := base
				if w.broken.ignoreBase {
					read(err, func(c ledger.Config) { written = c })
				}
				if err == nil {
					w.write(h, base, written.Version, id)
				}
				return func() {}
			})
		}
	})
}

func (w *world) write(h *host, base ledger.Config, version int64, id string) {
	c, err := h.ledger.Change(context.Background(), version, id, textOf(version))
	if err != nil || c.Change != id {
		return
	}
	if c.Version != base.Version+1 {
		w.violate("changeBase", "%s was based on version %d and became version %d", id, base.Version, c.Version)
	}
	w.accepted(c)
}

// textOf returns a configuration under which the kiosk can reclaim room that the
// salon's stoppable work has borrowed.
func textOf(version int64) []byte {
	return fmt.Appendf(nil, `
[service refill]
completionWeight = 0.%d
[account salon]
operator = true
keyHash = %064d
[account kiosk]
keyHash = %064d
[guarantee kiosk.order]
zones = a, b
members = 2
accelerators = 2
cores = 1
memory = 100
`, version%10, 1, 2)
}

func (w *world) accepted(c ledger.Config) {
	if other, ok := w.changes[c.Version]; ok && other != c.Change {
		w.violate("oneChange", "version %d is both %s and %s", c.Version, other, c.Change)
	}
	w.changes[c.Version] = c.Change
	w.platform.versions = append(w.platform.versions, c)
}

// cases is how many cases TestManyCases plays; -cases=20000 makes a longer run.
var cases = flag.Int("cases", 2000, "cases of the whole system to play")

// scripts gives the case of a seed, which the mutations count by as well.
var scripts = rapid.Custom(drawScript)

const shards = 8

// TestManyCases plays the cases of the seeds from 0, some side by side.
func TestManyCases(t *testing.T) {
	for shard := range shards {
		t.Run(fmt.Sprintf("shard=%d", shard), func(t *testing.T) {
			t.Parallel()
			for seed := shard; seed < *cases; seed += shards {
				if broken := play(scripts.Example(seed), mutation{}, nil); broken != nil {
					t.Fatalf("seed %d: %s", seed, broken[0])
				}
			}
		})
	}
}

// TestWholeSystemUnderFaults plays cases that rapid draws and, if one breaks a
// promise, makes smaller and tells step by step.
func TestWholeSystemUnderFaults(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		s := drawScript(t)
		if broken := play(s, mutation{}, nil); broken != nil {
			play(s, mutation{}, t.Logf)
			t.Fatal(broken[0])
		}
	})
}
