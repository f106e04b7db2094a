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
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/host/steady"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/work/dispatch"
)

// Figures of the shell.
const (
	tickEvery  = 100 * time.Millisecond // the finest bound that decisions keep is a retry after 200 ms
	adviceTime = 5 * time.Second        // bounds a call for advice, which takes its time for each target that it names
	startSpare = 200 * time.Millisecond // what a start takes to arrive, of the time in which a draining target may get work
	scanEvery  = time.Second            // for jobs whose message was lost
	storeTime  = 2 * time.Second        // bounds a call to the store
	storePause = 150 * time.Millisecond // between two tries
	holdExtra  = 600 * time.Millisecond // bounds a report beyond the time that it waits
	backlog    = 4096                   // events that wait for the loop
	// leastListing and listFactor: how long a list of targets is waited for at least, and
	// as a multiple of what the last one took.
	leastListing = 500 * time.Millisecond
	listFactor   = 4
)

// Roster lists the targets that are registered.
type Roster interface {
	Targets(ctx context.Context) ([]roster.Target, error)
}

// ErrNotLeading says that this host does not lead, or has not read all jobs yet.
var ErrNotLeading = errors.New("not leading")

// Dispatcher leads, whenever its host is told to.
type Dispatcher struct {
	store   store.Store
	line    order.Transport
	roster  Roster
	bounds  dispatch.Bounds
	clock   steady.Clock
	adviser order.Adviser // nil: none
	metrics tally.Scope
	keeper  *catalog.Keeper // nil: no configuration
	settled func(dispatch.JobEnded)
	// evacuations tells which zones are evacuated; nil: none ever is.
	evacuations func() evacuation.Status
	// regained returns a channel that is closed when the store serves this host again.
	regained func() <-chan struct{}
	log      logr.Logger
	mu       sync.Mutex
	now      *office // nil while another host leads
}

// Option sets one property of a new dispatcher.
type Option func(*Dispatcher)

// WithClock sets the clock by which leases are measured, by default the
// system's.
func WithClock(c steady.Clock) Option { return func(d *Dispatcher) { d.clock = c } }

// WithMetrics sets where the leader counts; without it nothing is counted.
func WithMetrics(s tally.Scope) Option { return func(d *Dispatcher) { d.metrics = s } }

// WithAdviser sets who is asked for advice.
func WithAdviser(a order.Adviser) Option { return func(d *Dispatcher) { d.adviser = a } }

// WithOutcomes sets who is told of jobs that have ended. It must not block.
func WithOutcomes(f func(dispatch.JobEnded)) Option { return func(d *Dispatcher) { d.settled = f } }

// WithCatalog sets where the configuration in force is found. Without one no
// account has a guarantee.
func WithCatalog(k *catalog.Keeper) Option { return func(d *Dispatcher) { d.keeper = k } }

// WithEvacuations sets where the evacuated zones are asked for. Without it no zone is
// ever evacuated.
func WithEvacuations(f func() evacuation.Status) Option {
	return func(d *Dispatcher) { d.evacuations = f }
}

// WithRegained sets where a channel is found that is closed when the store serves this
// host again after an outage; without it what an outage held up is asked for at its usual
// time.
func WithRegained(f func() <-chan struct{}) Option {
	return func(d *Dispatcher) { d.regained = f }
}

// New returns a dispatcher that does not lead yet.
func New(s store.Store, l order.Transport, r Roster, b dispatch.Bounds, log logr.Logger, opts ...Option) *Dispatcher {
	b.Parts, b.MaxListAge = Parts, max(b.DrainTime-startSpare, 3*b.DrainTime/4)
	d := &Dispatcher{store: s, line: l, roster: r, bounds: b, clock: steady.Now, metrics: tally.NoopScope, settled: func(dispatch.JobEnded) {}, regained: func() <-chan struct{} { return nil }, log: log}
	for _, o := range opts {
		o(d)
	}
	if d.evacuations != nil && b.EvacuateTime > 0 {
		d.bounds.MaxEvacuationAge = max(b.EvacuateTime-startSpare, 3*b.EvacuateTime/4)
	}
	return d
}

// office is one term while it lasts.
type office struct {
	*Dispatcher
	ctx        context.Context
	term       *leader.Term
	machine    *dispatch.Machine
	stories    *stories // what the machine decided
	gate       *limiter.Limiter
	work       chan func(now time.Time)
	fences     [Parts]int64
	configured int64         // version of the configuration that the machine was told
	scanned    int64         // version up to which the jobs table was scanned
	listing    time.Duration // how long the next list of targets is waited for
	// toldWaiting is when a line last told that orders wait.
	toldWaiting time.Time
	wg          sync.WaitGroup
}

// Lead carries out a term until the context ends or a newer term is found.
func (d *Dispatcher) Lead(ctx context.Context, t *leader.Term, clean bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o := &office{
		Dispatcher: d, ctx: ctx, term: t, work: make(chan func(time.Time), backlog), stories: newStories(d.log),
		gate: limiter.NewLimiter(time.Now),
	}
	o.machine = dispatch.New(t.Number(), d.bounds, dispatch.WithLog(o.stories))
	began := o.clock()
	if err := o.restore(); err != nil {
		return fmt.Errorf("term %d: %w", t.Number(), err)
	}
	heirEnd := began.Add(d.bounds.Lease + d.bounds.Lease/16 + leader.Grace)
	if clean {
		heirEnd = heirEnd.Add(-leader.Grace)
	}
	d.log.Info("restored", "term", t.Number(), "jobs", o.machine.Counts().Jobs, "tookMS", o.clock().Sub(began).Milliseconds())
	err := o.run(heirEnd)
	cancel()
	d.set(nil)
	o.wg.Wait()
	return err
}

func (d *Dispatcher) set(o *office) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.now = o
}

func (d *Dispatcher) office() *office {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.now
}

// restore fences all parts and reads their rows.
func (o *office) restore() error {
	type result struct {
		part    int
		jobs    []accepted
		fence   int64
		version int64
		err     error
	}
	results := make(chan result, Parts)
	for p := range Parts {
		go func() {
			r := result{part: p}
			if r.fence, r.err = fence(o.ctx, o.store, p, o.term.Number()); r.err == nil {
				r.jobs, r.version, r.err = o.readUntil(p)
			}
			results <- r
		}()
	}
	now := o.clock()
	o.machine.SetWallOffset(o.clock.WallOffset())
	for i := range Parts {
		r := <-results
		if r.err != nil {
			return r.err
		}
		o.fences[r.part] = r.fence
		if i == 0 || r.version < o.scanned {
			o.scanned = r.version
		}
		for _, a := range r.jobs {
			o.machine.Restore(a.spec, a.progress, a.version, a.cancelled, now)
		}
	}
	return nil
}

// readUntil reads a part, again and again until the store answers.
func (o *office) readUntil(part int) ([]accepted, int64, error) {
	for {
		ctx, cancel := context.WithTimeout(o.ctx, storeTime)
		jobs, version, err := readPart(ctx, o.store, part, o.odd)
		cancel()
		if err == nil {
			return jobs, version, nil
		}
		if o.ctx.Err() != nil {
			return nil, 0, err
		}
		o.log.Info("rows not read", "part", part, "error", err.Error())
		pause(o.ctx, storePause)
	}
}

func (o *office) odd(r store.Row, err error) {
	o.log.Info("row ignored", "table", r.Key.Table, "part", r.Key.Partition, "name", r.Key.Name, "version", r.Version, "error", fmt.Sprint(err))
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// run is the loop that owns the machine.
func (o *office) run(heirEnd time.Time) error {
	listed, err := o.firstList()
	if err != nil {
		return err
	}
	o.listing = listPatience(o.clock().Sub(listed))
	o.configure()
	o.set(o)
	o.every(o.bounds.DrainTime/2, listed, o.list) // the list is most of what an idle leader reads
	o.every(scanEvery, o.clock(), o.scan)
	o.machine.EnablePlacement(heirEnd, o.clock())
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		now := o.clock()
		if o.evacuations != nil {
			o.machine.SetEvacuated(o.evacuations(), now)
		}
		o.machine.SetMaxPendingStarts(o.gate.MaxPendingStarts())
		o.machine.SetOrderTime(o.gate.MeanLatency())
		for _, c := range o.machine.Decide(now) {
			o.carryOut(c, now)
		}
		if o.machine.Deposed() {
			return errNewerTerm
		}
		var due <-chan time.Time
		if at, more := o.machine.NextDecision(now); more {
			due = time.After(max(at.Sub(now), 0))
		}
		select {
		case <-o.ctx.Done():
			return o.ctx.Err()
		case f := <-o.work:
			f(o.clock())
		case <-due:
		case <-tick.C:
			o.configure()
			o.machine.SetWallOffset(o.clock.WallOffset())
			o.machine.Tick(o.clock())
			o.count()
		}
		o.drain()
	}
}

// count shows what the machine holds.
func (o *office) count() {
	c := o.machine.Counts()
	sure, usable := o.machine.Guarantees()
	for name, n := range map[string]int{
		"jobs": c.Jobs, "targets": c.Targets, "targets_held": c.Reachable, "runs": c.Runs, "steps_waiting": c.OpenSteps,
		"zones_evacuated": c.Evacuated, "accelerators_usable": usable, "accelerators_guaranteed": sure,
	} {
		o.metrics.Gauge(name).Update(float64(n))
	}
	o.metrics.Gauge("term").Update(float64(o.term.Number()))
	l := o.gate.Stats()
	if now := o.clock(); l.Waiting > 0 && now.Sub(o.toldWaiting) >= time.Second {
		o.toldWaiting = now
		o.log.Info("orders wait", "waiting", l.Waiting, "oldestMS", l.LongestWait.Milliseconds(), "limit", l.Limit, "perSecond", int(l.Rate), "delayMS", l.Delay.Milliseconds(), "stepsWaiting", c.OpenSteps)
	}
	o.metrics.Gauge("orders_limit").Update(float64(l.Limit))
	o.metrics.Gauge("orders_waiting").Update(float64(l.Waiting))
	o.metrics.Gauge("orders_rate").Update(l.Rate)
	o.metrics.Gauge("order_wait_seconds").Update(l.LongestWait.Seconds())
	o.metrics.Gauge("order_delay_seconds").Update(l.Delay.Seconds())
}

// configure tells the machine of a newer configuration.
func (o *office) configure() {
	if o.keeper == nil {
		return
	}
	now := o.keeper.Current()
	if now == nil || now.Version() == o.configured {
		return
	}
	o.configured = now.Version()
	sure := map[string]int{}
	for _, a := range now.Accounts() {
		sure[a.Name] = a.Guaranteed
	}
	o.machine.SetGuarantees(sure)
	o.log.Info("decides by configuration", "version", now.Version(), "accounts", len(sure))
}

// drain takes in all events that wait, so that one decision covers them.
func (o *office) drain() {
	now := o.clock()
	for range backlog {
		select {
		case f := <-o.work:
			f(now)
		default:
			return
		}
	}
}

// firstList waits for the list of targets, and returns when it was asked for.
func (o *office) firstList() (time.Time, error) {
	for {
		asOf := o.clock()
		list, err := o.targets(o.ctx, storeTime)
		if err == nil {
			o.machine.UpdateTargets(list, asOf, o.clock())
			return asOf, nil
		}
		if o.ctx.Err() != nil {
			return asOf, err
		}
		o.log.Info("targets not listed", "error", err.Error())
		pause(o.ctx, storePause)
	}
}

func (o *office) targets(ctx context.Context, patience time.Duration) ([]roster.Target, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	list, err := o.roster.Targets(ctx)
	if err != nil || o.keeper == nil {
		return list, err
	}
	list = slices.Clone(list)
	for i := range list {
		list[i].Draining = list[i].Draining || o.keeper.Current().Draining(list[i].ID)
	}
	return list, nil
}

// every runs f again and again, each time d after it began last, or at once if it
// took longer. It began last at the time given. When the store is regained, f is cut
// short and runs anew: by then its call may be lost, and much waits for it. One that
// failed runs again after a pause.
func (o *office) every(d time.Duration, last time.Time, f func(ctx context.Context) error) {
	next := last.Add(d)
	o.spawn(func() {
		for o.ctx.Err() == nil {
			select {
			case <-o.ctx.Done():
				return
			case <-o.regained():
			case <-time.After(max(next.Sub(o.clock()), 0)):
			}
			next = o.clock().Add(d)
			cut, err := store.RunUntilRecovered(o.ctx, o.regained(), f)
			switch {
			case cut:
				next = o.clock()
			case err != nil:
				next = o.clock().Add(storePause)
			}
		}
	})
}

func (o *office) spawn(f func()) {
	o.wg.Add(1)
	go func() {
		defer o.wg.Done()
		f()
	}()
}

// order runs f, which talks to a target, beside the loop. The end of the term does
// not wait for it: it sends nothing more by then, and a call to a target that does not
// answer would hold up the next leader.
func (o *office) order(f func()) { go f() }

// post gives the loop an event, unless the term ends first.
func (o *office) post(f func(now time.Time)) {
	select {
	case o.work <- f:
	case <-o.ctx.Done():
	}
}

// list reads the list of targets.
func (o *office) list(ctx context.Context) error {
	asOf := o.clock()
	list, err := o.targets(ctx, o.listing)
	if err != nil {
		o.listing = min(2*o.listing, storeTime)
		o.log.V(1).Info("targets not listed", "error", err.Error())
		return err
	}
	o.listing = listPatience(o.clock().Sub(asOf))
	o.post(func(now time.Time) { o.machine.UpdateTargets(list, asOf, now) })
	return nil
}

// listPatience returns how long the next list is waited for if one took so long: an
// answer that was lost must not hold placing up until the usual time-out.
func listPatience(took time.Duration) time.Duration {
	return min(max(leastListing, listFactor*took), storeTime)
}
