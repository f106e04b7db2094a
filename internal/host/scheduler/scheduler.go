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

// Ports are the ways to what is outside.
type Ports struct {
	Store   store.Store
	Line    order.Transport
	Roster  dispatcher.Roster
	Adviser order.Adviser // nil: none
}

// Identity says which host this is.
type Identity struct {
	Name  string  // of the host
	Zone  string  // its availability zone
	Peers string  // IP:port where other hosts reach it
	Power float64 // cores that it has; 0: not known
}

// Configuration says where the configuration is stored and how it is read.
type Configuration struct {
	Key    store.Key
	Decode catalog.Decode
	// Evacuated returns the availability zone that a row of the same table and partition
	// evacuates while it is there; nil: rows do not.
	Evacuated func(store.Key) (zone string, ok bool)
}

// Scheduler is one process of the system.
type Scheduler struct {
	identity Identity
	config   Configuration
	grace    time.Duration // a planned stop takes at most so long
	unready  time.Duration // of it, while the balancer learns of it
	log      logr.Logger
	metrics  tally.Scope
	store    *store.Monitor
	keeper   *catalog.Keeper
	zones    *evacuation.Register // of the rows that evacuate zones
	currency *currency            // of what the keeper has
	desk     *dispatcher.Dispatcher
	endpoint *rpc.Endpoint
	election *leader.Election
	entry    *entry.Entry
	net      *peer.Transport
	burn     *burn.Recorder // of jobs that ended while this host led
	stopping atomic.Bool
}

// Option sets one property of a new station.
type Option func(*options)

type options struct {
	metrics tally.Scope
	grace   time.Duration
	bounds  dispatch.Bounds
	peerTLS peer.ClientTLS // nil: peers are reached without TLS
	unready time.Duration
}

// WithMetrics sets where the station counts; without it nothing is counted.
func WithMetrics(s tally.Scope) Option { return func(o *options) { o.metrics = s } }

// WithGrace sets how long a planned stop may take at most, by default 6 s.
func WithGrace(d time.Duration) Option { return func(o *options) { o.grace = d } }

// WithPeerTLS sets how peers are reached over TLS.
func WithPeerTLS(c peer.ClientTLS) Option { return func(o *options) { o.peerTLS = c } }

// WithUnreadyTime sets how long a planned stop goes on taking requests while the
// balancer sees that the host is not ready, by default unreadyTime.
func WithUnreadyTime(d time.Duration) Option { return func(o *options) { o.unready = d } }

// WithBounds sets the figures of the deployment, by default those for trials.
func WithBounds(b dispatch.Bounds) Option { return func(o *options) { o.bounds = b } }

// defaultGrace is how long a planned stop may take where nothing else is said.
const defaultGrace = 6 * time.Second

// New returns a station that is not running yet. Each process has an incarnation
// of its own, so that a later one at the same address is told from it.
func New(id Identity, p Ports, c Configuration, log logr.Logger, opts ...Option) *Scheduler {
	set := options{metrics: tally.NoopScope, grace: defaultGrace, unready: unreadyTime, bounds: dispatch.DefaultBounds()}
	for _, o := range opts {
		o(&set)
	}
	holder := id.Name + "#" + strconv.FormatInt(time.Now().UnixNano(), 36)
	s := &Scheduler{
		identity: id, config: c, grace: set.grace, unready: set.unready, log: log, metrics: set.metrics,
		keeper: catalog.NewKeeper(c.Decode), zones: evacuation.NewRegister(), currency: newCurrency(boottime.Now), burn: burn.New(holder),
	}
	s.store = store.NewMonitor(store.NewInstrumented(p.Store, set.metrics), leader.RowKey, s.storeChanged)
	desk := []dispatcher.Option{
		dispatcher.WithCatalog(s.keeper), dispatcher.WithMetrics(set.metrics), dispatcher.WithJobEnded(s.recordOutcome),
		dispatcher.WithEvacuations(s.Evacuations), dispatcher.WithRecovered(s.store.Recovered),
	}
	if p.Adviser != nil {
		desk = append(desk, dispatcher.WithAdviser(p.Adviser))
	}
	s.desk = dispatcher.New(s.store, order.NewInstrumented(p.Line, set.metrics), p.Roster, set.bounds, log, desk...)
	s.endpoint = rpc.New(
		id.Peers, s.desk, s.keeper, s.store.Up, rpc.WithCores(id.Power), rpc.WithZone(id.Zone), rpc.WithLog(log),
		rpc.WithStoreAnswered(s.store.LastAnswer),
		rpc.WithAdopted(s.adopted), rpc.WithBurnSnapshot(func() burn.Snapshot { return s.burn.Snapshot(time.Now()) }),
	)
	s.net = peer.New(s.endpoint.Handle, set.peerTLS, nil, log)
	s.election = leader.New(s.store, s.endpoint, s.desk.Lead, holder, id.Peers, log, leader.WithCores(id.Power))
	s.entry = entry.New(s.store, s.endpoint, s.endpoint, log)
	s.endpoint.Bind(s.net, s.election, s.entry)
	return s
}

func (s *Scheduler) storeChanged(up bool, err error) {
	s.election.StoreChanged(up)
	if up {
		s.log.Info("store regained", "host", s.identity.Name)
		return
	}
	s.log.Info("store lost", "host", s.identity.Name, "error", fmt.Sprint(err))
}

func (s *Scheduler) adopted(version int64, from string) {
	s.log.Info("configuration in force", "version", version, "from", from)
}

// recordOutcome counts a job that ended, for the burn report.
func (s *Scheduler) recordOutcome(d dispatch.JobEnded) {
	objectives := s.keeper.Current().Objectives()
	well := d.State == progress.Completed
	if objectives[d.Job.Service].Within == 0 {
		well = well && d.Took <= d.Job.Objective()
	}
	s.burn.SetObjectives(objectives)
	s.burn.Record(d.Job.Service, d.Job.Account, d.Took, well, time.Now())
}

// Burn returns the burn report of all hosts that answer.
func (s *Scheduler) Burn(ctx context.Context) (burn.Report, error) {
	counted, err := s.endpoint.Burn(ctx)
	if err != nil {
		return burn.Report{}, err
	}
	return counted.Report(time.Now(), s.keeper.Current().Objectives())
}

// Views returns what operators and clients read.
func (s *Scheduler) Views() *rpc.Endpoint { return s.endpoint }

// Store returns the store as the station reaches it.
func (s *Scheduler) Store() store.Store { return s.store }

// StoreUp reports whether the store serves this host, as far as is known.
func (s *Scheduler) StoreUp() bool { return s.store.Up() }

// Entry returns what serves requests.
func (s *Scheduler) Entry() *entry.Entry { return s.entry }

// Catalog returns the configuration in force.
func (s *Scheduler) Catalog() *catalog.Keeper { return s.keeper }

// AwaitCatalog waits a moment if the host cannot know whether its configuration is
// the newest, as after its process stood still. While the store is away it does not
// wait: the configuration in force is what there is.
func (s *Scheduler) AwaitCatalog(ctx context.Context) {
	if s.store.Up() {
		s.currency.await(ctx)
	}
}

// Log returns where the station logs.
func (s *Scheduler) Log() logr.Logger { return s.log }

// Metrics returns where the station counts.
func (s *Scheduler) Metrics() tally.Scope { return s.metrics }

// Stopping reports whether a planned stop has begun: clients are told not to use
// their connections again.
func (s *Scheduler) Stopping() bool { return s.stopping.Load() }

// Ready reports whether clients should be sent here. A host on which nothing can
// be stored, as in a zone that is cut off, would refuse them all; if all hosts of
// a zone say so, its clients go to the next zone.
func (s *Scheduler) Ready() bool {
	return !s.stopping.Load() && s.keeper.Current() != nil && s.endpoint.CanServe()
}

// Figures of a planned stop.
const (
	// unreadyTime is how long a host that is to end goes on taking requests: the
	// balancer asks each second and needs two refusals.
	unreadyTime = 2200 * time.Millisecond
	// stopMargin is kept of the time that a planned stop may take.
	stopMargin = 700 * time.Millisecond
)

// Run serves peers on the listener until the context ends, then stops as planned:
// it gives up leadership at once, lets the balancer see that it is not ready, and
// has drain finish what clients wait for. An error says that it could not serve.
func (s *Scheduler) Run(ctx context.Context, peers net.Listener, drain func(ctx context.Context)) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	failed := make(chan error, 1)
	go func() { failed <- s.net.Serve(peers) }()
	s.log.Info("host starts", "host", s.identity.Name, "zone", s.identity.Zone, "peers", s.identity.Peers)
	go s.followConfig(life)
	go s.store.Run(life)
	elected := make(chan struct{})
	go func() {
		s.election.Run(ctx)
		close(elected)
	}()
	select {
	case err := <-failed:
		return fmt.Errorf("host %s: peers: %w", s.identity.Name, err)
	case <-ctx.Done():
	}
	s.stop(life, elected, drain)
	_ = peers.Close() // its loop ends by this
	return nil
}

// stop ends the station within the time that a planned stop may take.
func (s *Scheduler) stop(ctx context.Context, elected chan struct{}, drain func(ctx context.Context)) {
	s.log.Info("host stops", "host", s.identity.Name)
	s.stopping.Store(true)
	last, cancel := context.WithTimeout(ctx, max(s.grace-stopMargin, s.unready))
	defer cancel()
	select {
	case <-time.After(s.unready):
	case <-last.Done():
	}
	drain(last)
	select {
	case <-elected:
	case <-last.Done():
	}
	s.net.Close()
	s.log.Info("host stopped", "host", s.identity.Name)
}
