package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/config/catalog"
	"guavaglade.example/guavaglade/internal/fleet/evacuation"
	"guavaglade.example/guavaglade/internal/fleet/limiter"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/host/boottime"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/work/dispatch"
)

// Intervals, timeouts and sizes.
const (
	tickInterval    = 100 * time.Millisecond // the shortest delay that decisions keep is a retry after 200 ms
	adviceTimeout   = 5 * time.Second        // of a call for advice, which takes longer the more targets it names
	startMargin     = 200 * time.Millisecond // for a start to arrive, out of the time in which a draining target may get work
	scanInterval    = time.Second            // of the scan for jobs whose notification was lost
	storeTimeout    = 2 * time.Second        // of a call to the store
	storeRetryDelay = 150 * time.Millisecond // between two attempts
	// minWriteTimeout and writeTimeoutFactor set the timeout of the first attempts of a write: a
	// multiple of what calls to the store take, with a minimum.
	minWriteTimeout    = 400 * time.Millisecond
	writeTimeoutFactor = 8
	minReportMargin    = 600 * time.Millisecond // for a report to arrive, beyond the time that the poll waits at the target
	maxQueuedEvents    = 4096                   // events that wait for the main loop
	// minListTimeout and listTimeoutFactor set the timeout of reading the list of targets:
	// a multiple of what the last read took, with a minimum.
	minListTimeout    = 500 * time.Millisecond
	listTimeoutFactor = 4
)

// Roster lists the registered targets.
type Roster interface {
	Targets(ctx context.Context) ([]roster.Target, error)
}

// ErrNotLeading is returned if this host does not lead, or has not read all jobs and
// targets yet.
var ErrNotLeading = errors.New("not leading")

// Dispatcher schedules all work while its host leads. Its notifications and queries fail
// with ErrNotLeading otherwise, and until a term has read all jobs and targets.
type Dispatcher struct {
	store      store.Store
	transport  order.Transport
	roster     Roster
	bounds     dispatch.Bounds
	clock      boottime.Clock
	adviser    order.Adviser // nil: none
	metrics    tally.Scope
	keeper     *catalog.Keeper // nil: no configuration
	onJobEnded func(dispatch.JobEnded)
	// evacuations returns which zones are evacuated; nil: none ever is.
	evacuations func() evacuation.Status
	// storeLatency returns how long calls to the store take.
	storeLatency func() time.Duration
	// recovered returns a channel that is closed when the store serves this host again.
	recovered func() <-chan struct{}
	// passOn passes what a term has left to the present leader; nil: it is dropped.
	passOn  func(ctx context.Context, h dispatch.Handover) error
	log     logr.Logger
	mu      sync.Mutex
	serving *leadership // nil while another host leads
}

// Option sets one property of a new dispatcher.
type Option func(*Dispatcher)

// WithClock sets the clock by which leases are measured, by default the
// system's.
func WithClock(c boottime.Clock) Option { return func(d *Dispatcher) { d.clock = c } }

// WithMetrics sets the scope of the leader's metrics, by default none.
func WithMetrics(s tally.Scope) Option { return func(d *Dispatcher) { d.metrics = s } }

// WithAdviser sets the advice service. Without one no step of a queue that needs advice
// starts.
func WithAdviser(a order.Adviser) Option { return func(d *Dispatcher) { d.adviser = a } }

// WithJobEnded sets a function that the main loop calls for each job that has ended. It
// must not block.
func WithJobEnded(f func(dispatch.JobEnded)) Option { return func(d *Dispatcher) { d.onJobEnded = f } }

// WithCatalog sets the keeper of the configuration in force. Without one no account
// has a guarantee.
func WithCatalog(k *catalog.Keeper) Option { return func(d *Dispatcher) { d.keeper = k } }

// WithEvacuations sets the function that returns the evacuated zones. Without it no
// zone is ever evacuated.
func WithEvacuations(f func() evacuation.Status) Option {
	return func(d *Dispatcher) { d.evacuations = f }
}

// WithRecovered sets a function that returns a channel which is closed when the store
// serves this host again after an outage. Without it, calls that an outage held up are
// repeated at their usual time.
func WithRecovered(f func() <-chan struct{}) Option {
	return func(d *Dispatcher) { d.recovered = f }
}

// WithHandover sets the function that passes what a term has left to the present leader. Without
// it, that is dropped.
func WithHandover(passOn func(ctx context.Context, h dispatch.Handover) error) Option {
	return func(d *Dispatcher) { d.passOn = passOn }
}

// WithStoreLatency sets the function that returns how long calls to the store take. Without it,
// they are taken to be short.
func WithStoreLatency(f func() time.Duration) Option {
	return func(d *Dispatcher) { d.storeLatency = f }
}

// New returns a dispatcher that does not lead yet. It replaces Partitions and MaxListAge of
// the bounds, and MaxEvacuationAge if WithEvacuations and EvacuateTime are set.
func New(s store.Store, t order.Transport, r Roster, b dispatch.Bounds, log logr.Logger, opts ...Option) *Dispatcher {
	b.Partitions, b.MaxListAge = Partitions, max(b.DrainTime-startMargin, 3*b.DrainTime/4)
	d := &Dispatcher{store: s, transport: t, roster: r, bounds: b, clock: boottime.Now, metrics: tally.NoopScope, onJobEnded: func(dispatch.JobEnded) {}, recovered: func() <-chan struct{} { return nil }, storeLatency: func() time.Duration { return 0 }, log: log}
	for _, o := range opts {
		o(d)
	}
	if d.evacuations != nil && b.EvacuateTime > 0 {
		d.bounds.MaxEvacuationAge = max(b.EvacuateTime-startMargin, 3*b.EvacuateTime/4)
	}
	return d
}

// leadership is one term of leadership while it is served.
type leadership struct {
	*Dispatcher
	ctx            context.Context
	term           *leader.Term
	machine        *dispatch.Machine
	histories      *histories // of the jobs, in this term
	limiter        *limiter.Limiter
	starts         waitingStarts
	events         chan func(now time.Time) // for the main loop
	fences         [Partitions]int64
	configVersion  int64                     // version of the configuration that the machine has
	scannedVersion int64                     // version up to which the jobs table was scanned
	listTimeout    time.Duration             // of reading the list of targets next time
	speedServices  map[string]bool           // of which speeds are learned
	speedRows      chan []dispatch.SpeedsRow // for the main loop
	lostCounted    lostCounts
	// waitingLoggedAt is when waiting orders were last logged.
	waitingLoggedAt time.Time
	wg              sync.WaitGroup
}

// Lead serves a term until the context ends or a newer term is found, and returns which as
// an error. After the main loop it waits for the term's calls to the store, but not for
// those to targets.
func (d *Dispatcher) Lead(ctx context.Context, t *leader.Term, earlier leader.Predecessors) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &leadership{
		Dispatcher: d, ctx: ctx, term: t, events: make(chan func(time.Time), maxQueuedEvents), histories: newHistories(d.log),
		limiter: limiter.New(time.Now), speedRows: make(chan []dispatch.SpeedsRow, 1),
	}
	l.machine = dispatch.New(t.Number(), d.bounds, dispatch.WithLog(l.histories))
	if d.keeper != nil {
		l.learnSpeeds(d.keeper.Current().LearnsSpeeds()) // read while jobs are
	}
	began := l.clock()
	if err := l.restore(); err != nil {
		return fmt.Errorf("term %d: %w", t.Number(), err)
	}
	d.log.Info("restored", "term", t.Number(), "jobs", l.machine.Counts().Jobs, "tookMS", l.clock().Sub(began).Milliseconds())
	clockSlack := d.bounds.Lease / 16 // a target's clock may be 2 % slow
	err := l.run(earlier.LeasesEnd(d.bounds.Lease).Add(clockSlack))
	cancel()
	d.setServing(nil)
	l.recordLostWork()
	l.wg.Wait()
	if h := l.machine.Handover(); d.passOn != nil && !h.Empty() {
		go d.handOver(context.WithoutCancel(ctx), t.Number(), h)
	}
	return err
}

func (d *Dispatcher) setServing(l *leadership) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.serving = l
}

// current returns the term that is being served, or nil.
func (d *Dispatcher) current() *leadership {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.serving
}

// restore writes the fence rows of all partitions and passes their jobs to the machine. It
// sets scannedVersion to the lowest version at which a partition was read.
func (l *leadership) restore() error {
	type result struct {
		partition int
		jobs      []storedJob
		fence     int64
		version   int64
		err       error
	}
	results := make(chan result, Partitions)
	for p := range Partitions {
		go func() {
			r := result{partition: p}
			if r.fence, r.err = writeFence(l.ctx, l.store, p, l.term.Number(), l.writeTimeout); r.err == nil {
				r.jobs, r.version, r.err = l.readPartitionUntilAnswered(p)
			}
			results <- r
		}()
	}
	now := l.clock()
	l.machine.SetWallOffset(l.clock.WallOffset())
	for i := range Partitions {
		r := <-results
		if r.err != nil {
			return r.err
		}
		l.fences[r.partition] = r.fence
		if i == 0 || r.version < l.scannedVersion {
			l.scannedVersion = r.version
		}
		for _, a := range r.jobs {
			l.machine.Restore(a.spec, a.progress, a.version, a.cancelled, now)
		}
	}
	return nil
}

// readPartitionUntilAnswered reads a partition, and repeats this until the store answers or
// the term ends.
func (l *leadership) readPartitionUntilAnswered(partition int) ([]storedJob, int64, error) {
	for {
		ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
		jobs, version, err := readPartition(ctx, l.store, partition, l.logMalformed)
		cancel()
		if err == nil {
			return jobs, version, nil
		}
		if l.ctx.Err() != nil {
			return nil, 0, err
		}
		l.log.Info("rows not read", "part", partition, "error", err.Error())
		sleep(l.ctx, storeRetryDelay)
	}
}

func (l *leadership) logMalformed(r store.Row, err error) {
	l.log.Info("malformed row ignored", "table", r.Key.Table, "part", r.Key.Partition, "name", r.Key.Name, "version", r.Version, "error", fmt.Sprint(err))
}

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// run is the main loop, which owns the machine. It begins when the list of targets has been
// read, and returns errNewerTerm if the machine has found a newer term.
// predecessorLeasesEnd is when the last lease ends that an earlier leader may have granted.
func (l *leadership) run(predecessorLeasesEnd time.Time) error {
	listed, err := l.awaitTargets()
	if err != nil {
		return err
	}
	l.listTimeout = nextListTimeout(l.clock().Sub(listed))
	l.applyConfig()
	l.setServing(l)
	l.runEvery(l.bounds.DrainTime/2, listed, l.refreshTargets) // the list is most of what an idle leader reads
	l.runEvery(scanInterval, l.clock(), l.scan)
	l.restoreSpeedsIfRead()
	l.machine.EnablePlacement(predecessorLeasesEnd, l.clock())
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		now := l.clock()
		if l.evacuations != nil {
			l.machine.SetEvacuated(l.evacuations(), now)
		}
		l.machine.SetLeaseLimit(l.term.Deadline())
		l.machine.SetMaxPendingStarts(l.limiter.MaxPendingStarts())
		l.machine.SetOrderTime(l.limiter.MeanLatency())
		for _, c := range l.machine.Decide(now) {
			l.execute(c, now)
		}
		if l.machine.Superseded() {
			return errNewerTerm
		}
		var due <-chan time.Time
		if at, more := l.machine.NextDecision(now); more {
			due = time.After(max(at.Sub(now), 0))
		}
		select {
		case <-l.ctx.Done():
			return l.ctx.Err()
		case f := <-l.events:
			f(l.clock())
		case rows := <-l.speedRows:
			l.restoreSpeeds(rows)
		case <-due:
		case <-tick.C:
			l.applyConfig()
			l.machine.SetWallOffset(l.clock.WallOffset())
			l.machine.Tick(l.clock())
			l.updateMetrics()
		}
		l.drainEvents()
	}
}

// updateMetrics updates the gauges of the dispatch.Machine, the term and the order limiter.
// It logs waiting orders, once a second at most.
func (l *leadership) updateMetrics() {
	c := l.machine.Counts()
	guaranteed, usable := l.machine.Guarantees()
	for name, n := range map[string]int{
		"jobs": c.Jobs, "targets": c.Targets, "targets_held": c.Reachable, "targets_over_capacity": c.OverCapacity, "runs": c.Runs, "steps_waiting": c.PendingSteps,
		"zones_evacuated": c.Evacuated, "accelerators_usable": usable, "accelerators_guaranteed": guaranteed,
		"headroom_accelerators": l.machine.HeadroomAccelerators(l.clock()),
	} {
		l.metrics.Gauge(name).Update(float64(n))
	}
	l.updateSpeedMetrics()
	l.metrics.Gauge("term").Update(float64(l.term.Number()))
	load := l.limiter.Stats()
	if now := l.clock(); load.Waiting > 0 && now.Sub(l.waitingLoggedAt) >= time.Second {
		l.waitingLoggedAt = now
		l.log.Info("orders waiting", "waiting", load.Waiting, "oldestMS", load.LongestWait.Milliseconds(), "limit", load.Limit, "perSecond", int(load.Rate), "delayMS", load.Delay.Milliseconds(), "stepsWaiting", c.PendingSteps)
	}
	l.recordLostWork()
	l.metrics.Gauge("orders_limit").Update(float64(load.Limit))
	l.metrics.Gauge("orders_waiting").Update(float64(load.Waiting))
	l.metrics.Gauge("orders_rate").Update(load.Rate)
	l.metrics.Gauge("order_wait_seconds").Update(load.LongestWait.Seconds())
	l.metrics.Gauge("order_delay_seconds").Update(load.Delay.Seconds())
}

// applyConfig passes the guarantees of the configuration in force, and the services that keep
// headroom, to the machine if its version has changed.
func (l *leadership) applyConfig() {
	if l.keeper == nil {
		return
	}
	now := l.keeper.Current()
	if now == nil || now.Version() == l.configVersion {
		return
	}
	l.configVersion = now.Version()
	guaranteed := map[string]int{}
	for _, a := range now.Accounts() {
		guaranteed[a.Name] = a.Guaranteed
	}
	l.machine.SetGuarantees(guaranteed)
	l.learnSpeeds(now.LearnsSpeeds())
	l.machine.SetHeadroom(now.Headroom())
	l.log.Info("configuration applied", "version", now.Version(), "accounts", len(guaranteed))
}

// drainEvents handles all waiting events, so that one decision covers them.
func (l *leadership) drainEvents() {
	now := l.clock()
	for range maxQueuedEvents {
		select {
		case f := <-l.events:
			f(now)
		default:
			return
		}
	}
}

// awaitTargets reads the list of targets until this succeeds or the term ends, passes it to
// the machine and returns when the successful read began.
func (l *leadership) awaitTargets() (time.Time, error) {
	for {
		asOf := l.clock()
		list, err := l.readTargets(l.ctx, storeTimeout)
		if err == nil {
			l.machine.UpdateTargets(list, asOf, l.clock())
			return asOf, nil
		}
		if l.ctx.Err() != nil {
			return asOf, err
		}
		l.log.Info("targets not listed", "error", err.Error())
		sleep(l.ctx, storeRetryDelay)
	}
}

// readTargets reads the list of targets, and marks those as draining that the configuration
// drains.
func (l *leadership) readTargets(ctx context.Context, timeout time.Duration) ([]roster.Target, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	list, err := l.roster.Targets(ctx)
	if err != nil || l.keeper == nil {
		return list, err
	}
	list = slices.Clone(list)
	for i := range list {
		list[i].Draining = list[i].Draining || l.keeper.Current().Draining(list[i].ID)
	}
	return list, nil
}

// runEvery runs f periodically until the term ends, each time d after the last run
// began, or at once if that took longer. last is when it last began. When the store
// recovers, f is cancelled and restarted: its call may be lost, and much waits for it. A
// failed run is repeated after storeRetryDelay.
func (l *leadership) runEvery(d time.Duration, last time.Time, f func(ctx context.Context) error) {
	next := last.Add(d)
	l.spawn(func() {
		for l.ctx.Err() == nil {
			select {
			case <-l.ctx.Done():
				return
			case <-l.recovered():
			case <-time.After(max(next.Sub(l.clock()), 0)):
			}
			next = l.clock().Add(d)
			interrupted, err := store.RunUntilRecovered(l.ctx, l.recovered(), f)
			switch {
			case interrupted:
				next = l.clock()
			case err != nil:
				next = l.clock().Add(storeRetryDelay)
			}
		}
	})
}

// spawn runs f in a goroutine for which the end of the term waits.
func (l *leadership) spawn(f func()) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		f()
	}()
}

// spawnDetached runs f, which calls a target, in a goroutine. The end of the term does
// not wait for it: f sends nothing more by then, and a call to a target that does not
// answer would delay the next leader.
func (l *leadership) spawnDetached(f func()) { go f() }

// post queues an event for the main loop, unless the term ends first.
func (l *leadership) post(f func(now time.Time)) {
	select {
	case l.events <- f:
	case <-l.ctx.Done():
	}
}

// refreshTargets reads the list of targets and posts it. It sets the timeout of the next
// read, which a failure doubles.
func (l *leadership) refreshTargets(ctx context.Context) error {
	asOf := l.clock()
	list, err := l.readTargets(ctx, l.listTimeout)
	if err != nil {
		l.listTimeout = min(2*l.listTimeout, storeTimeout)
		l.log.V(1).Info("targets not listed", "error", err.Error())
		return err
	}
	l.listTimeout = nextListTimeout(l.clock().Sub(asOf))
	l.post(func(now time.Time) { l.machine.UpdateTargets(list, asOf, now) })
	return nil
}

// nextListTimeout returns the timeout of the next read of the list after one that took
// the given time. It is shorter than storeTimeout in general: a lost answer must not hold
// up placement that long.
func nextListTimeout(took time.Duration) time.Duration {
	return min(max(minListTimeout, listTimeoutFactor*took), storeTimeout)
}
