package machine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"guavaglade.example/guavaglade/internal/work/gang"
	"guavaglade.example/guavaglade/internal/work/job"
)

var epoch = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

// slowest is the longest that a message of the fakes is on its way. The
// protocol assumes gang.MessageMax.
const slowest = gang.MessageMax - 100*time.Millisecond

// happening is something that the world does at a time.
type happening struct {
	at  time.Time
	seq int // keeps the order of those at the same time
	do  func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// node is an end of the network: a host, a worker or the platform.
type node struct{ name, zone string }

// noise is how often, of 100 messages, one is lost, doubled or slow.
type noise struct{ lose, double, slow int }

// world is the virtual clock, the network and everything on it.
type world struct {
	now      time.Time
	seq      int
	agenda   agenda
	rnd      *rand.Rand
	noise    noise
	cuts     map[string]int // by pair of zones or nodes, or by node: cuts in force
	hosts    []*host
	workers  []*worker
	platform *platform
	broken   mutation
	drop     bool
	provable bool // the platform is always reached: "not run" of a job asked for twice can be proven
	gangs    gangBook
	jobs     map[job.ID]*asked
	faults   []string // broken invariants, the first one first
	changes  map[int64]string
	trace    func(format string, args ...any) // nil: none
}

func newWorld(seed uint64, m mutation) *world {
	w := &world{
		now: epoch, rnd: rand.New(rand.NewPCG(seed, 7)), cuts: map[string]int{}, broken: m,
		gangs: gangBook{}, jobs: map[job.ID]*asked{}, changes: map[int64]string{},
	}
	w.platform = newPlatform(w)
	for _, zone := range []string{"a", "b"} {
		for i := range 3 {
			w.workers = append(w.workers, newWorker(w, zone, i))
		}
		for i := range 2 {
			w.hosts = append(w.hosts, newHost(w, zone, i))
		}
	}
	for _, h := range w.hosts {
		h.begin()
	}
	return w
}

func (w *world) logf(format string, args ...any) {
	if w.trace != nil {
		w.trace("%8s "+format, append([]any{w.now.Sub(epoch)}, args...)...)
	}
}

// violate notes a broken invariant.
func (w *world) violate(invariant, format string, args ...any) {
	w.logf("VIOLATED "+invariant+": "+format, args...)
	w.faults = append(w.faults, fmt.Sprintf("%s at %s: %s", invariant, w.now.Sub(epoch), fmt.Sprintf(format, args...)))
}

func (w *world) at(t time.Time, do func()) {
	if t.Before(w.now) {
		t = w.now
	}
	w.seq++
	heap.Push(&w.agenda, happening{t, w.seq, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// run lets time pass until the end, or until done says so.
func (w *world) run(end time.Time, done func() bool) {
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) && len(w.faults) == 0 && !done() {
		h := heap.Pop(&w.agenda).(happening)
		w.now = h.at
		h.do()
	}
}

// chance is true n times of 100.
func (w *world) chance(n int) bool { return n > 0 && w.rnd.IntN(100) < n }

func pair(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + "|" + b
}

func (w *world) reachable(from, to node) bool {
	return w.cuts[from.name] == 0 && w.cuts[to.name] == 0 &&
		w.cuts[pair(from.zone, to.zone)] == 0 && w.cuts[pair(from.name, to.name)] == 0
}

// send delivers a message: in time, late, twice or never.
func (w *world) send(from, to node, deliver func()) {
	if !w.reachable(from, to) || w.chance(w.noise.lose) {
		return
	}
	w.after(w.delay(), deliver)
	if w.chance(w.noise.double) {
		w.after(w.delay(), deliver)
	}
}

func (w *world) delay() time.Duration {
	if w.chance(w.noise.slow) {
		return time.Duration(w.rnd.Int64N(int64(slowest)))
	}
	return time.Millisecond + time.Duration(w.rnd.Int64N(int64(3*time.Millisecond)))
}

// call sends a request and delivers the reply. do runs at the callee and gives
// the reply, or nil for silence. Silence is noticed by the caller at its timeout;
// a reply that comes later, or twice, is still delivered.
func (w *world) call(from, to node, timeout time.Duration, do func() func(), silent func()) {
	answered := false
	w.send(from, to, func() {
		if reply := do(); reply != nil {
			w.send(to, from, func() { answered = true; reply() })
		}
	})
	w.after(timeout, func() {
		if !answered {
			silent()
		}
	})
}
