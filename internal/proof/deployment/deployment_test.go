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
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

const service = "refill"

// deployment runs hosts over stand-ins of the store and the targets, in virtual time.
type deployment struct {
	t            testing.TB
	violations   []string // guarantees found broken
	ctx          context.Context
	cancelCtx    context.CancelFunc
	rnd          *rand.Rand
	table        *rows.Table // the store
	pool         *pool.Shared
	network      *network
	hosts        []*host
	submissions  []*submission
	logs         []string // of all hosts
	logMu        sync.Mutex
	startedAt    time.Time
	lastID       int            // of a job
	incarnations int            // of targets, added after the start
	clients      sync.WaitGroup // submissions and cancellations under way
}

// host is one process of the system.
type host struct {
	deployment    *deployment
	name          string
	address       string
	storeLink     *rows.Link
	transport     *pool.Transport
	election      *leader.Election
	entry         *entry.Entry
	peerTransport *peer.Transport
	cancelCtx     context.CancelFunc
	done          chan struct{} // closed when its election has ended
	down          bool          // killed or stopped
}

// submission is a job as its client sees it.
type submission struct {
	job       *graph.Job
	mu        sync.Mutex
	accepted  bool           // its submission was acknowledged
	cancelled bool           // a cancellation was acknowledged
	crashes   bool           // a task of it crashes its targets
	state     progress.State // of the last answer to awaitEnds
}

func (s *submission) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *submission) get() (accepted, cancelled bool, state progress.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.cancelled, s.state
}

// newDeployment starts a deployment with the given numbers of hosts and of racks, each
// of four targets and a zone of its own. The seed decides the speed of the targets' clocks,
// the random numbers of hosts, which calls and orders meet faults, and whether targets that crash
// return under their ids.
func newDeployment(t testing.TB, seed uint64, hosts, racks int) *deployment {
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{
		t: t, ctx: ctx, cancelCtx: cancel, rnd: rand.New(rand.NewPCG(seed, 1)), table: rows.New(8 * time.Millisecond),
		network: newNetwork(), startedAt: time.Now(),
	}
	bounds := pool.DefaultBounds()
	bounds.KeepIDs = seed%2 == 0
	p := pool.New(bounds)
	for rack := range racks {
		for i := range 4 {
			p.Add(d.target(rack, i, 1), 1-0.02*d.rnd.Float64(), time.Now())
		}
	}
	d.pool = pool.Share(ctx, p)
	for i := range hosts {
		d.hosts = append(d.hosts, d.start(fmt.Sprintf("host%d", i), 1))
	}
	return d
}

// target returns the roster entry of an incarnation of a rack's i-th target.
func (d *deployment) target(rack, i, incarnation int) roster.Target {
	name := fmt.Sprintf("r%d-%d", rack, i)
	return roster.Target{
		ID: fmt.Sprintf("%s#%d", name, incarnation), Address: name, Zone: fmt.Sprintf("zone%d", rack), Service: service,
		Capacity: graph.Resources{CPU: 64000, MemoryMB: 262144, Accelerators: 8},
		Labels:   []string{"a", fmt.Sprintf("r1-%d", rack)}, Rack: fmt.Sprintf("r1-%d", rack),
	}
}

// start starts a process of a host, with its own links to the store and the targets. The
// caller adds it to d.hosts.
func (d *deployment) start(name string, incarnation int) *host {
	ctx, cancel := context.WithCancel(d.ctx)
	h := &host{deployment: d, name: name, address: name, cancelCtx: cancel, done: make(chan struct{})}
	log := d.logger(name)
	h.storeLink = rows.NewLink(d.table, rand.New(rand.NewPCG(d.rnd.Uint64(), 2)))
	h.transport = pool.NewTransport(d.pool, time.Millisecond, rand.New(rand.NewPCG(d.rnd.Uint64(), 3)))
	monitor := store.NewMonitor(h.storeLink, leader.RowKey, func(up bool, err error) {
		log.Info("store availability changed", "serves", up, "error", fmt.Sprint(err))
	})
	var endpoint *rpc.Endpoint
	disp := dispatcher.New(monitor, h.transport, d.pool, dispatch.DefaultBounds(), log, dispatcher.WithClock(time.Now), dispatcher.WithStoreLatency(monitor.TypicalLatency),
		dispatcher.WithHandover(func(ctx context.Context, h dispatch.Handover) error { return endpoint.Handover(ctx, h) }))
	endpoint = rpc.New(h.address, disp, catalog.NewKeeper(nil), monitor.Up, rpc.WithCores(1))
	h.peerTransport = peer.New(endpoint.Handle, nil, d.network.dial(h.address), logr.Discard())
	h.election = leader.New(monitor, endpoint, disp.Lead, fmt.Sprintf("%s#%d", name, incarnation), h.address, log, leader.WithClock(time.Now), leader.WithLease(dispatch.DefaultBounds().GrantedLease(), dispatch.DefaultBounds().Lease), leader.WithRandom(d.randomSource()), leader.WithStoreLatency(monitor.TypicalLatency))
	h.entry = entry.New(monitor, endpoint, endpoint, log)
	endpoint.Bind(h.peerTransport, h.election, h.entry)
	go monitor.Run(ctx)
	listener := d.network.listen(h.address)
	go func() { _ = h.peerTransport.Serve(listener) }()
	go func() {
		h.election.Run(ctx)
		_ = listener.Close()
		h.peerTransport.Close()
		close(h.done)
	}()
	return h
}

// randomSource returns an independent source of random numbers.
func (d *deployment) randomSource() func(n int64) int64 {
	rnd := rand.New(rand.NewPCG(d.rnd.Uint64(), 4))
	return rnd.Int64N
}

// logger returns a logger that adds its lines to d.logs, with the virtual time and the name.
func (d *deployment) logger(name string) logr.Logger {
	return funcr.New(func(_, line string) {
		d.logMu.Lock()
		defer d.logMu.Unlock()
		d.logs = append(d.logs, fmt.Sprintf("%8.3f %s %s", time.Since(d.startedAt).Seconds(), name, line))
	}, funcr.Options{Verbosity: 1})
}

// kill stops a host abruptly: it is disconnected first, so that nothing it sends while
// it stops gets out. It waits until the host has ended.
func (d *deployment) kill(h *host) {
	h.down = true
	h.storeLink.SetFaults(rows.Faults{Refuse: true})
	h.transport.SetFaults(pool.Faults{Unreachable: d.allTargetIDs()})
	h.peerTransport.Close()
	h.cancelCtx()
	<-h.done
}

// stop performs a planned stop of a host, and waits until it has ended.
func (d *deployment) stop(h *host) {
	h.down = true
	h.cancelCtx()
	<-h.done
}

// restart starts a new process in place of one that is down. Its links to the store and the
// targets have no faults; disconnections from other hosts stay.
func (d *deployment) restart(h *host) *host {
	n := d.start(h.name, 2+d.rnd.IntN(1000))
	d.hosts[slices.Index(d.hosts, h)] = n
	return n
}

func (d *deployment) allTargetIDs() map[string]bool {
	all := map[string]bool{}
	d.pool.Do(func(p *pool.Pool, _ time.Time) {
		for _, t := range p.Roster() {
			all[t.ID] = true
		}
	})
	return all
}

// leader returns the first host that is up and considers itself the leader, or nil.
func (d *deployment) leader() *host {
	for _, h := range d.hosts {
		if !h.down && h.election.OwnTerm() != nil {
			return h
		}
	}
	return nil
}

// anyHost returns a random host that is up, or one that is down if all are.
func (d *deployment) anyHost() *host {
	first := d.rnd.IntN(len(d.hosts))
	for i := range d.hosts {
		if h := d.hosts[(first+i)%len(d.hosts)]; !h.down {
			return h
		}
	}
	return d.hosts[first]
}

// singleStepJob returns a job with one step.
func (d *deployment) singleStepJob(priority int, step graph.Step) *graph.Job {
	return d.newJob(priority, step)
}

// newJob returns a job with the given steps, a new id and three attempts per task.
func (d *deployment) newJob(priority int, steps ...graph.Step) *graph.Job {
	d.lastID++
	return &graph.Job{
		ID: graph.JobID(fmt.Sprintf("%016x", d.lastID)), Queue: "q", Service: service, Account: "kiosks", Priority: priority,
		MaxAttempts: 3, SlackFactor: 3, Allowance: time.Second, Spec: "spec", Steps: steps, AcceptedAt: time.Now().UnixMilli(),
	}
}

// succeedsAfter returns the behaviour of tasks that take the given time and never fail.
func succeedsAfter(d time.Duration) pool.Behaviour {
	return pool.Behaviour{Work: func(graph.TaskID) time.Duration { return d }}
}

// submit adds a job to the pool and has a client submit it, in the background, to random
// hosts until it is accepted, at most five times.
func (d *deployment) submit(j *graph.Job, b pool.Behaviour) *submission {
	s := &submission{job: j}
	d.submissions = append(d.submissions, s)
	d.pool.Do(func(p *pool.Pool, _ time.Time) { p.Submit(j, b) })
	hosts := []*host{d.anyHost(), d.anyHost(), d.anyHost(), d.anyHost(), d.anyHost()}
	d.clients.Add(1)
	go func() {
		defer d.clients.Done()
		for _, h := range hosts {
			ctx, cancel := context.WithTimeout(d.ctx, 3*time.Second)
			err := h.entry.Submit(ctx, j)
			cancel()
			if err == nil {
				s.update(func() { s.accepted = true })
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
	}()
	return s
}

// cancel has a client cancel a job at a random host, in the background, until that is
// acknowledged, at most five times. That there is no such job acknowledges it, too. The pool learns of
// an acknowledged cancellation.
func (d *deployment) cancel(s *submission) {
	h := d.anyHost()
	d.clients.Add(1)
	go func() {
		defer d.clients.Done()
		for range 5 {
			ctx, cancel := context.WithTimeout(d.ctx, 3*time.Second)
			err := h.entry.Cancel(ctx, s.job.ID, entry.Caller{Account: s.job.Account})
			cancel()
			if err == nil || errors.Is(err, entry.ErrNoJob) {
				s.update(func() { s.cancelled = true })
				d.pool.Do(func(p *pool.Pool, now time.Time) { p.RecordCancelled(s.job.ID, now) })
				return
			}
			time.Sleep(500 * time.Millisecond)
		}
	}()
}

// jobStatus asks a random host for the status of a job.
func (d *deployment) jobStatus(s *submission) (view.JobStatus, error) {
	ctx, cancel := context.WithTimeout(d.ctx, 3*time.Second)
	defer cancel()
	return d.anyHost().entry.Status(ctx, s.job.ID, entry.Caller{Account: s.job.Account})
}

// awaitEnds waits until all clients have finished and every accepted job has a final state.
// After the limit it records a violation for each that has none. Each breach that the pool
// found is recorded, too.
func (d *deployment) awaitEnds(limit time.Duration) {
	d.clients.Wait()
	until := time.Now().Add(limit)
	var unfinished []string
	for time.Now().Before(until) {
		unfinished = unfinished[:0]
		for _, s := range d.submissions {
			if reason := d.unfinishedReason(s); reason != "" {
				unfinished = append(unfinished, string(s.job.ID)+" "+reason)
			}
		}
		if len(unfinished) == 0 {
			break
		}
		time.Sleep(250 * time.Millisecond)
	}
	for _, o := range unfinished {
		d.recordViolation("job %s", o)
	}
	d.pool.Do(func(p *pool.Pool, _ time.Time) {
		for _, b := range p.Breaches() {
			d.recordViolation("%s", b)
		}
	})
}

// recordViolation records a violation, for which the test fails at its end.
func (d *deployment) recordViolation(format string, args ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// unfinishedReason asks for the state of an accepted job and returns the state or error that
// shows that it has not ended, empty otherwise. It records a violation if the job is not
// known, has completed with tasks left, or was cancelled without an acknowledged request.
func (d *deployment) unfinishedReason(s *submission) string {
	accepted, cancelled, state := s.get()
	if !accepted || state.Final() {
		return ""
	}
	status, err := d.jobStatus(s)
	if errors.Is(err, entry.ErrUnavailable) {
		return err.Error()
	}
	if err != nil {
		d.recordViolation("job %s was accepted: %v", s.job.ID, err)
		return ""
	}
	now := status.State
	s.update(func() { s.state = now })
	if !now.Final() {
		return string(now)
	}
	if now == progress.Completed {
		d.checkComplete(s)
	}
	if !s.crashes && strings.Contains(status.Reason, "were lost under it") {
		d.recordViolation("job %s crashes no target and was given up: %s", s.job.ID, status.Reason)
	}
	if s.crashes && now == progress.Completed {
		d.recordViolation("job %s crashes its targets and is completed", s.job.ID)
	}
	if now == progress.Cancelled && !cancelled {
		d.recordViolation("job %s has state cancelled, but no cancellation was acknowledged", s.job.ID)
	}
	return ""
}

// checkComplete records a violation if a completed job has tasks that are not done. The pool
// learns that the job was shown as completed.
func (d *deployment) checkComplete(s *submission) {
	tasks := 0
	for _, step := range s.job.Steps {
		tasks += step.Count
	}
	d.pool.Do(func(p *pool.Pool, now time.Time) {
		p.RecordCompleted(s.job.ID, now)
		if done := p.TasksDone(s.job.ID); done != tasks*s.job.Occurrences() {
			d.recordViolation("job %s has state completed with %d of %d tasks done", s.job.ID, done, tasks)
		}
	})
}

const maxPrintedLines = 400

// recentLogs returns the newest maxPrintedLines log lines of all hosts.
func (d *deployment) recentLogs() string {
	d.logMu.Lock()
	defer d.logMu.Unlock()
	lines := d.logs
	if len(lines) > maxPrintedLines {
		lines = lines[len(lines)-maxPrintedLines:]
	}
	return strings.Join(lines, "\n")
}

// simulate runs a test in virtual time on a new deployment, stops everything that it started
// and fails the test for each violation. A failed test prints the newest log lines.
func simulate(t *testing.T, seed uint64, hosts, racks int, f func(d *deployment)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, seed, hosts, racks)
		defer func() {
			if t.Failed() {
				t.Log("\n" + d.recentLogs())
			}
			d.close()
		}()
		f(d)
		for _, v := range d.violations {
			t.Error(v)
		}
	})
}

// close stops everything that the deployment started. Its last wait takes virtual time only.
func (d *deployment) close() {
	for _, h := range d.hosts {
		if !h.down {
			d.stop(h)
		}
	}
	d.cancelCtx()
	time.Sleep(25 * time.Second) // for goroutines that still wait for a timeout, such as a handover
}
