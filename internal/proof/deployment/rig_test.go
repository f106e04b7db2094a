package deployment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"guavaglade.example/guavaglade/internal/config/catalog"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/host/entry"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/host/peer"
	"guavaglade.example/guavaglade/internal/host/rpc"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

const service = "refill"

// rig is a deployment in virtual time.
type rig struct {
	t       testing.TB
	faults  []string // promises found broken
	ctx     context.Context
	end     context.CancelFunc
	rnd     *rand.Rand
	table   *rows.Table
	shared  *pool.Shared
	wires   *wires
	hosts   []*host
	jobs    []*submission
	logs    []string
	logging sync.Mutex
	began   time.Time
	nextID  int
	reborn  int // lives of targets that were begun later
	clients sync.WaitGroup
}

// host is one process of the system.
type host struct {
	rig      *rig
	name     string
	address  string
	link     *rows.Link
	line     *pool.Transport
	election *leader.Election
	entry    *entry.Entry
	net      *peer.Transport
	end      context.CancelFunc
	over     chan struct{} // closed when its election has ended
	dead     bool
}

// submission is a job as its client sees it.
type submission struct {
	job       *graph.Job
	mu        sync.Mutex
	accepted  bool
	cancelled bool
	state     progress.State
}

func (s *submission) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *submission) get() (accepted, cancelled bool, state progress.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.cancelled, s.state
}

// newRig returns a deployment of hosts and racks of four targets, started.
func newRig(t testing.TB, seed uint64, hosts, racks int) *rig {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{
		t: t, ctx: ctx, end: cancel, rnd: rand.New(rand.NewPCG(seed, 1)), table: rows.New(8 * time.Millisecond),
		wires: newWires(), began: time.Now(),
	}
	p := pool.New(pool.DefaultBounds())
	for rack := range racks {
		for i := range 4 {
			p.Add(r.target(rack, i, 1), 1-0.02*r.rnd.Float64(), time.Now())
		}
	}
	r.shared = pool.Share(ctx, p)
	for i := range hosts {
		r.hosts = append(r.hosts, r.start(fmt.Sprintf("host%d", i), 1))
	}
	return r
}

func (r *rig) target(rack, i, life int) roster.Target {
	name := fmt.Sprintf("r%d-%d", rack, i)
	return roster.Target{
		ID: fmt.Sprintf("%s#%d", name, life), Address: name, Zone: fmt.Sprintf("zone%d", rack), Service: service,
		Capacity: graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8},
		Labels:   []string{"a", fmt.Sprintf("r1-%d", rack)}, Rack: fmt.Sprintf("r1-%d", rack),
	}
}

func (r *rig) start(name string, life int) *host {
	ctx, end := context.WithCancel(r.ctx)
	h := &host{rig: r, name: name, address: name, end: end, over: make(chan struct{})}
	log := r.logger(name)
	h.link = rows.NewLink(r.table, rand.New(rand.NewPCG(r.rnd.Uint64(), 2)))
	h.line = pool.NewTransport(r.shared, time.Millisecond, rand.New(rand.NewPCG(r.rnd.Uint64(), 3)))
	monitor := store.NewMonitor(h.link, leader.RowKey, func(up bool, err error) { log.Info("store", "serves", up, "error", fmt.Sprint(err)) })
	desk := dispatcher.New(monitor, h.line, r.shared, dispatch.DefaultBounds(), log, dispatcher.WithClock(time.Now))
	x := rpc.New(h.address, desk, catalog.NewKeeper(nil), monitor.Up, rpc.WithCores(1))
	h.net = peer.New(x.Handle, nil, r.wires.dial(h.address), logr.Discard())
	h.election = leader.New(monitor, x, desk.Lead, fmt.Sprintf("%s#%d", name, life), h.address, log, leader.WithClock(time.Now), leader.WithRandom(r.draw()))
	h.entry = entry.New(monitor, x, x, log)
	x.Bind(h.net, h.election, h.entry)
	go monitor.Run(ctx)
	listener := r.wires.listen(h.address)
	go func() { _ = h.net.Serve(listener) }()
	go func() {
		h.election.Run(ctx)
		_ = listener.Close()
		h.net.Close()
		close(h.over)
	}()
	return h
}

// draw returns a source of random numbers of its own.
func (r *rig) draw() func(n int64) int64 {
	rnd := rand.New(rand.NewPCG(r.rnd.Uint64(), 4))
	return rnd.Int64N
}

func (r *rig) logger(name string) logr.Logger {
	return funcr.New(func(_, line string) {
		r.logging.Lock()
		defer r.logging.Unlock()
		r.logs = append(r.logs, fmt.Sprintf("%8.3f %s %s", time.Since(r.began).Seconds(), name, line))
	}, funcr.Options{Verbosity: 1})
}

// kill ends a host at once: nothing that it would say at its end gets out.
func (r *rig) kill(h *host) {
	h.dead = true
	h.link.SetFaults(rows.Faults{Refuse: true})
	h.line.SetFaults(pool.Faults{Unreachable: r.allTargets()})
	h.net.Close()
	h.end()
	<-h.over
}

// stop ends a host as planned.
func (r *rig) stop(h *host) {
	h.dead = true
	h.end()
	<-h.over
}

// restart begins a new process in place of a dead one.
func (r *rig) restart(h *host) *host {
	n := r.start(h.name, 2+r.rnd.IntN(1000))
	r.hosts[slices.Index(r.hosts, h)] = n
	return n
}

func (r *rig) allTargets() map[string]bool {
	all := map[string]bool{}
	r.shared.Do(func(p *pool.Pool, _ time.Time) {
		for _, t := range p.Roster() {
			all[t.ID] = true
		}
	})
	return all
}

// leader returns the host that leads, or nil.
func (r *rig) leader() *host {
	for _, h := range r.hosts {
		if !h.dead && h.election.OwnTerm() != nil {
			return h
		}
	}
	return nil
}

// live returns any host that is not dead, or a dead one if all are.
func (r *rig) live() *host {
	first := r.rnd.IntN(len(r.hosts))
	for i := range r.hosts {
		if h := r.hosts[(first+i)%len(r.hosts)]; !h.dead {
			return h
		}
	}
	return r.hosts[first]
}

// job returns a job of one step.
func (r *rig) job(priority int, step graph.Step) *graph.Job {
	return r.graph(priority, step)
}

// graph returns a job of the steps.
func (r *rig) graph(priority int, steps ...graph.Step) *graph.Job {
	r.nextID++
	return &graph.Job{
		ID: graph.JobID(fmt.Sprintf("%016x", r.nextID)), Queue: "q", Service: service, Account: "kiosks", Priority: priority,
		MaxAttempts: 3, SlackFactor: 3, Allowance: time.Second, Spec: "spec", Steps: steps, AcceptedAt: time.Now().UnixMilli(),
	}
}

// works returns a behaviour that takes so long and never fails.
func works(d time.Duration) pool.Behaviour {
	return pool.Behaviour{Work: func(graph.TaskID) time.Duration { return d }}
}

// submit has a client hand a job in, at any host, again and again with the same
// id until it is accepted or refused five times.
func (r *rig) submit(j *graph.Job, b pool.Behaviour) *submission {
	s := &submission{job: j}
	r.jobs = append(r.jobs, s)
	r.shared.Do(func(p *pool.Pool, _ time.Time) { p.Submit(j, b) })
	hosts := []*host{r.live(), r.live(), r.live(), r.live(), r.live()}
	r.clients.Add(1)
	go func() {
		defer r.clients.Done()
		for _, h := range hosts {
			ctx, cancel := context.WithTimeout(r.ctx, 3*time.Second)
			err := h.entry.Submit(ctx, j)
			cancel()
			if err == nil {
				s.set(func() { s.accepted = true })
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
	}()
	return s
}

// cancel has a client cancel a job until that is acknowledged.
func (r *rig) cancel(s *submission) {
	h := r.live()
	r.clients.Add(1)
	go func() {
		defer r.clients.Done()
		for range 5 {
			ctx, cancel := context.WithTimeout(r.ctx, 3*time.Second)
			err := h.entry.Cancel(ctx, s.job.ID, entry.Caller{Account: s.job.Account})
			cancel()
			if err == nil {
				s.set(func() { s.cancelled = true })
				r.shared.Do(func(p *pool.Pool, now time.Time) { p.RecordCancelled(s.job.ID, now) })
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
	}()
}

// state asks a live host for a job's state.
func (r *rig) state(s *submission) (progress.State, error) {
	ctx, cancel := context.WithTimeout(r.ctx, 3*time.Second)
	defer cancel()
	told, err := r.live().entry.Status(ctx, s.job.ID, entry.Caller{Account: s.job.Account})
	return told.State, err
}

// settle waits until every accepted job has a final state, at most so long, and
// notes a fault for each that has none and for each breach.
func (r *rig) settle(most time.Duration) {
	r.clients.Wait()
	until := time.Now().Add(most)
	var open []string
	for time.Now().Before(until) {
		open = open[:0]
		for _, s := range r.jobs {
			if why := r.unsettled(s); why != "" {
				open = append(open, string(s.job.ID)+" "+why)
			}
		}
		if len(open) == 0 {
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	for _, o := range open {
		r.fault("job %s", o)
	}
	r.shared.Do(func(p *pool.Pool, _ time.Time) {
		for _, b := range p.Breaches() {
			r.fault("%s", b)
		}
	})
}

func (r *rig) fault(format string, args ...any) {
	r.faults = append(r.faults, fmt.Sprintf(format, args...))
}

// unsettled says why a job is not over, or nothing.
func (r *rig) unsettled(s *submission) string {
	accepted, cancelled, state := s.get()
	if !accepted || state.Final() {
		return ""
	}
	now, err := r.state(s)
	if errors.Is(err, entry.ErrUnavailable) {
		return err.Error()
	}
	if err != nil {
		r.fault("job %s was accepted: %v", s.job.ID, err)
		return ""
	}
	s.set(func() { s.state = now })
	if !now.Final() {
		return string(now)
	}
	if now == progress.Completed {
		r.checkComplete(s)
	}
	if now == progress.Cancelled && !cancelled {
		r.fault("job %s is shown as cancelled, and nobody cancelled it", s.job.ID)
	}
	return ""
}

// checkComplete wants every task done of a job that is shown as completed.
func (r *rig) checkComplete(s *submission) {
	tasks := 0
	for _, step := range s.job.Steps {
		tasks += step.Count
	}
	r.shared.Do(func(p *pool.Pool, _ time.Time) {
		if done := p.TasksDone(s.job.ID); done != tasks*s.job.Occurrences() {
			r.fault("job %s is shown as completed with %d of %d tasks done", s.job.ID, done, tasks)
		}
	})
}

const printedLines = 400

// recent returns the newest log lines of all hosts.
func (r *rig) recent() string {
	r.logging.Lock()
	defer r.logging.Unlock()
	lines := r.logs
	if len(lines) > printedLines {
		lines = lines[len(lines)-printedLines:]
	}
	return strings.Join(lines, "\n")
}

// play runs a test in virtual time, ends everything that it started and fails
// the test for each fault.
func play(t *testing.T, seed uint64, hosts, racks int, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, seed, hosts, racks)
		defer func() {
			if t.Failed() {
				t.Log("\n" + r.recent())
			}
			r.close()
		}()
		f(r)
		for _, f := range r.faults {
			t.Error(f)
		}
	})
}

// close ends everything that the rig started.
func (r *rig) close() {
	for _, h := range r.hosts {
		if !h.dead {
			r.stop(h)
		}
	}
	r.end()
	time.Sleep(10 * time.Second) // for goroutines that wait for their time to be over
}
