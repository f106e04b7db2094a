package scheduler

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/config/catalog"
	"guavaglade.example/guavaglade/internal/fleet/evacuation"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/host/boottime"
	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/host/entry"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/host/peer"
	"guavaglade.example/guavaglade/internal/host/rpc"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/report/burn"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// Ports are the interfaces to what is outside the scheduler.
type Ports struct {
	Store     store.Store
	Transport order.Transport
	Roster    dispatcher.Roster
	Adviser   order.Adviser // may be nil
}

// Identity identifies the host.
type Identity struct {
	Name        string  // of the host
	Zone        string  // its availability zone
	PeerAddress string  // IP:port where other hosts reach it
	Cores       float64 // 0: not known
}

// Configuration says where the configuration is stored and how it is read.
type Configuration struct {
	Key    store.Key
	Decode catalog.Decode
	// EvacuatedZone returns the availability zone that a row of the same table and
	// partition evacuates while it exists. If it is nil, no rows evacuate zones.
	EvacuatedZone func(store.Key) (zone string, ok bool)
}

// Scheduler is one instance of the scheduler.
type Scheduler struct {
	identity      Identity
	config        Configuration
	stopTimeout   time.Duration // of a planned stop, with unreadyTime
	unreadyTime   time.Duration // for which a planned stop keeps serving requests
	longFeedWait  time.Duration // of a read of the configuration's change feed while the leader reports
	log           logr.Logger
	metrics       tally.Scope
	store         *store.Monitor
	keeper        *catalog.Keeper
	zones         *evacuation.Register // evacuated by rows
	freshness     *freshness           // of the keeper's configuration
	dispatcher    *dispatcher.Dispatcher
	endpoint      *rpc.Endpoint
	election      *leader.Election
	entry         *entry.Entry
	peerTransport *peer.Transport
	burn          *burn.Recorder // jobs that ended while this host led
	stopping      atomic.Bool
}

// Option sets one property of a new scheduler.
type Option func(*options)

type options struct {
	metrics     tally.Scope
	stopTimeout time.Duration
	bounds      dispatch.Bounds
	peerTLS     peer.ClientTLS // nil: peers are reached without TLS
	unreadyTime time.Duration
	applyTime   time.Duration
	storeWrites float64 // 0: not known
}

// WithMetrics sets the scope of the metrics, by default none.
func WithMetrics(s tally.Scope) Option { return func(o *options) { o.metrics = s } }

// WithStopTimeout sets how long a planned stop may take at most, by default 6 s.
func WithStopTimeout(d time.Duration) Option { return func(o *options) { o.stopTimeout = d } }

// WithPeerTLS sets how peers are reached over TLS.
func WithPeerTLS(c peer.ClientTLS) Option { return func(o *options) { o.peerTLS = c } }

// WithUnreadyTime sets how long a planned stop keeps serving requests while the load
// balancer detects that the host is not ready, by default 2.2 s.
func WithUnreadyTime(d time.Duration) Option { return func(o *options) { o.unreadyTime = d } }

// WithApplyTime sets within which time a new configuration has to be in force, by default 2 s.
func WithApplyTime(d time.Duration) Option { return func(o *options) { o.applyTime = d } }

// WithStoreWrites sets how many write calls a second the store takes from all hosts; 0: not known.
func WithStoreWrites(perSecond float64) Option {
	return func(o *options) { o.storeWrites = perSecond }
}

// WithBounds sets the bounds of dispatching, by default dispatch.DefaultBounds.
func WithBounds(b dispatch.Bounds) Option { return func(o *options) { o.bounds = b } }

const (
	defaultStopTimeout = 6 * time.Second
	defaultApplyTime   = 2 * time.Second
)

// New returns a scheduler that does not run yet. Each process has its own holder name in
// the leader row, so that a later process at the same address is distinguished from it.
func New(id Identity, p Ports, c Configuration, log logr.Logger, opts ...Option) *Scheduler {
	set := options{metrics: tally.NoopScope, stopTimeout: defaultStopTimeout, unreadyTime: defaultUnreadyTime, applyTime: defaultApplyTime, bounds: dispatch.DefaultBounds()}
	for _, o := range opts {
		o(&set)
	}
	holder := id.Name + "#" + strconv.FormatInt(time.Now().UnixNano(), 36)
	s := &Scheduler{
		identity: id, config: c, stopTimeout: set.stopTimeout, unreadyTime: set.unreadyTime, log: log, metrics: set.metrics,
		keeper: catalog.NewKeeper(c.Decode), zones: evacuation.NewRegister(), burn: burn.New(holder),
		longFeedWait: longFeedWait(set.applyTime),
	}
	s.freshness = newFreshness(boottime.Now, s.longFeedWait)
	s.store = store.NewMonitor(store.NewInstrumented(p.Store, set.metrics), leader.RowKey, s.storeChanged, store.WithIdleTime(s.idleTime))
	dispatcherOpts := []dispatcher.Option{
		dispatcher.WithCatalog(s.keeper), dispatcher.WithMetrics(set.metrics), dispatcher.WithJobEnded(s.recordOutcome),
		dispatcher.WithEvacuations(s.Evacuations), dispatcher.WithRecovered(s.store.Recovered), dispatcher.WithStoreLatency(s.store.TypicalLatency),
		dispatcher.WithHandover(func(ctx context.Context, h dispatch.Handover) error { return s.endpoint.Handover(ctx, h) }),
	}
	if p.Adviser != nil {
		dispatcherOpts = append(dispatcherOpts, dispatcher.WithAdviser(p.Adviser))
	}
	s.dispatcher = dispatcher.New(s.store, order.NewInstrumented(p.Transport, set.metrics), p.Roster, set.bounds, log, dispatcherOpts...)
	s.endpoint = rpc.New(
		id.PeerAddress, s.dispatcher, s.keeper, s.store.Up, rpc.WithCores(id.Cores), rpc.WithZone(id.Zone), rpc.WithLog(log),
		rpc.WithStoreAnswered(s.store.LastAnswer),
		rpc.WithAdopted(s.logAdopted), rpc.WithBurnSnapshot(func() burn.Snapshot { return s.burn.Snapshot(time.Now()) }),
	)
	s.peerTransport = peer.New(s.endpoint.Handle, set.peerTLS, nil, log)
	s.election = leader.New(s.store, s.endpoint, s.dispatcher.Lead, holder, id.PeerAddress, log, leader.WithCores(id.Cores), leader.WithLease(set.bounds.GrantedLease(), set.bounds.Lease), leader.WithStoreLatency(s.store.TypicalLatency))
	entryOpts := []entry.Option{entry.WithMetrics(set.metrics), entry.WithRetention(set.bounds.Retention), entry.WithHosts(s.endpoint.Hosts)}
	if set.storeWrites > 0 {
		entryOpts = append(entryOpts, entry.WithStoreWrites(set.storeWrites))
	}
	s.entry = entry.New(s.store, s.endpoint, s.endpoint, log, entryOpts...)
	s.endpoint.Bind(s.peerTransport, s.election, s.entry)
	return s
}

// storeChanged tells the election whether the store is available, and logs it.
func (s *Scheduler) storeChanged(up bool, err error) {
	s.election.StoreChanged(up)
	if up {
		s.log.Info("store recovered", "host", s.identity.Name)
		return
	}
	s.log.Info("store lost", "host", s.identity.Name, "error", fmt.Sprint(err))
}

func (s *Scheduler) logAdopted(version int64, from string) {
	s.log.Info("configuration in force", "version", version, "from", from)
}

// recordOutcome records a job that ended, for the burn report. It counts as good if it
// completed, and within its own objective if the configuration has none for its service.
func (s *Scheduler) recordOutcome(d dispatch.JobEnded) {
	objectives := s.keeper.Current().Objectives()
	good := d.State == progress.Completed
	if objectives[d.Job.Service].Within == 0 {
		good = good && d.Took <= d.Job.Objective()
	}
	s.burn.SetObjectives(objectives)
	s.burn.Record(d.Job.Service, d.Job.Account, d.Took, good, time.Now())
}

// Burn returns the burn report over all hosts that answer. It fails without a leader.
func (s *Scheduler) Burn(ctx context.Context) (burn.Report, error) {
	snapshot, err := s.endpoint.Burn(ctx)
	if err != nil {
		return burn.Report{}, err
	}
	return snapshot.Report(time.Now(), s.keeper.Current().Objectives())
}

// Views returns the endpoint that answers what operators and clients read.
func (s *Scheduler) Views() *rpc.Endpoint { return s.endpoint }

// Store returns the store as the scheduler uses it.
func (s *Scheduler) Store() store.Store { return s.store }

// StoreUp reports whether the store serves this host, judged by the outcomes of its calls.
func (s *Scheduler) StoreUp() bool { return s.store.Up() }

// Entry returns the entry, which serves requests of clients.
func (s *Scheduler) Entry() *entry.Entry { return s.entry }

// Catalog returns the keeper of the configuration in force.
func (s *Scheduler) Catalog() *catalog.Keeper { return s.keeper }

// AwaitCatalog waits briefly if the configuration in force may be outdated, as after the
// process was paused. While the store is unavailable it does not wait, since a newer
// configuration could not be read.
func (s *Scheduler) AwaitCatalog(ctx context.Context) {
	if s.store.Up() {
		s.freshness.await(ctx)
	}
}

// Log returns the log.
func (s *Scheduler) Log() logr.Logger { return s.log }

// Metrics returns the scope of the metrics.
func (s *Scheduler) Metrics() tally.Scope { return s.metrics }

// Stopping reports whether a planned stop has begun. Clients are then asked not to reuse
// their connections.
func (s *Scheduler) Stopping() bool { return s.stopping.Load() }

// Ready reports whether the load balancer should send clients to this host: not before a
// configuration is in force, nor after a planned stop has begun. A host that
// cannot store jobs, as in a disconnected zone, would refuse all of them; if no host of a
// zone is ready, its clients go to the next zone.
func (s *Scheduler) Ready() bool {
	return !s.stopping.Load() && s.keeper.Current() != nil && s.endpoint.CanServe()
}

const (
	// defaultUnreadyTime is how long a stopping host keeps serving requests: the load
	// balancer checks readiness every second and needs two failed checks.
	defaultUnreadyTime = 2200 * time.Millisecond
	// stopMargin is the part of the stop timeout that is left after draining.
	stopMargin = 700 * time.Millisecond
)

// Run serves peers on the listener until the context ends, then performs a planned stop:
// it resigns leadership at once, waits until the load balancer sees that the host is not
// ready, and calls drain to finish the requests in progress. If the listener fails, it returns
// an error at once, and the host takes part in the election until the context ends.
func (s *Scheduler) Run(ctx context.Context, peers net.Listener, drain func(ctx context.Context)) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.peerTransport.Serve(peers) }()
	s.log.Info("host started", "host", s.identity.Name, "zone", s.identity.Zone, "peers", s.identity.PeerAddress)
	go s.followConfig(background)
	go s.store.Run(background)
	electionDone := make(chan struct{})
	go func() {
		s.election.Run(ctx)
		close(electionDone)
	}()
	select {
	case err := <-serveErr:
		return fmt.Errorf("host %s: serve peers: %w", s.identity.Name, err)
	case <-ctx.Done():
	}
	s.stop(background, electionDone, drain)
	_ = peers.Close() // ends the loop that serves it
	return nil
}

// stop performs a planned stop within the stop timeout: it waits for unreadyTime, drains,
// waits until the election has ended and closes the connections to peers.
func (s *Scheduler) stop(ctx context.Context, electionDone chan struct{}, drain func(ctx context.Context)) {
	s.log.Info("planned stop began", "host", s.identity.Name)
	s.stopping.Store(true)
	stopCtx, cancel := context.WithTimeout(ctx, max(s.stopTimeout-stopMargin, s.unreadyTime))
	defer cancel()
	select {
	case <-time.After(s.unreadyTime):
	case <-stopCtx.Done():
	}
	drain(stopCtx)
	select {
	case <-electionDone:
	case <-stopCtx.Done():
	}
	s.peerTransport.Close()
	s.log.Info("host stopped", "host", s.identity.Name)
}
