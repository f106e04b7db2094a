package server

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/config/inforce"
	"guavaglade.example/guavaglade/internal/fleet/remote"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/host/admission"
	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/host/member"
	"guavaglade.example/guavaglade/internal/host/peer"
	"guavaglade.example/guavaglade/internal/host/retry"
	"guavaglade.example/guavaglade/internal/host/settings"
	"guavaglade.example/guavaglade/internal/host/ticket"
	"guavaglade.example/guavaglade/internal/platform/budget"
	"guavaglade.example/guavaglade/internal/platform/ledger"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/report/burn"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/placer"
)

// How often a host does what.
const (
	tickEvery        = 100 * time.Millisecond
	pollConfig       = 2 * time.Second
	pollTargetsEvery = time.Second
	idleTargets      = 10 * time.Second // between two readings on a host that does not place
	catchUpEvery     = time.Second
	sweepEvery       = 30 * time.Second
	watchEvery       = 5 * time.Second
	adoptEvery       = 5 * time.Second
	callTime         = 2 * time.Second // bounds a call to a peer or the platform
	workerShare      = 8               // connections to a worker from one host of up to eight
	answeredBeat     = 4               // every fourth heartbeat wants an answer
	protocol         = 1               // newest protocol version between hosts
	maxLoopBacklog   = 4096
)

// Node is one running host.
type Node struct {
	settings   settings.Settings
	platform   table.Platform
	ledger     *ledger.Ledger
	pending    *ledger.Pending // what could not be written while the platform was down
	writes     *budget.Bucket
	reads      *budget.Bucket
	net        *peer.Net
	log        logr.Logger
	metrics    tally.Scope
	workerRT   http.RoundTripper
	peerTLS    peer.Client // nil for plain TCP
	peerDial   peer.Dial   // nil for the usual one
	workerDial peer.Dial   // nil for the usual one
	burn       *burn.Recorder
	gate       admission.Gate
	retries    *retry.Caller // of calls to the platform that are idempotent
	services   *retry.Caller // circuits of the services, by name
	id         string        // peer address with incarnation

	work  chan func()
	ended chan struct{}  // closed when the loop has ended
	wg    sync.WaitGroup // goroutines that wait for something

	// The loop owns all of the following.
	members    *member.Table
	config     inforce.Keeper
	fetching   int64 // version that is being fetched from a peer; 0 for none
	entry      *intake.Machine
	waiting    map[job.ID]chan struct{} // closed when the job is final
	placer     *placer.Machine          // nil while another host places
	term       int                      // rises each time the placer begins or ends here
	targets    []table.Target           // the platform's list as last read
	targetsAt  time.Time                // when it was last asked for
	workerAt   map[string]string        // the list's addresses, by worker id
	workers    map[string]target.Worker // by id
	addresses  map[string]string        // of the workers, by id
	delivering map[delivery]bool        // outcomes on their way to an entry
	stories    map[string][]toldBody    // lines for each entry; no key: nobody sends them
	ticked     time.Time                // when the loop last ticked
	keeping    keeping
	confirming map[string][]intake.Give // due to be confirmed, by placer
	durable    map[job.ID]bool          // jobs of this entry whose row is written
	copies     map[job.ID]job.Job       // jobs that are not durable, kept for another entry
	tickets    *ticket.Book
	stopping   bool
	told       map[string]bool // what the last look at the zone found amiss
	inherited  []burn.Snapshot // of hosts that stopped as planned and handed over
	askAgainAt string          // caller address of the host that took over at a planned stop
}

// ErrEnded says that the host has ended.
var ErrEnded = errors.New("host has ended")

// Option sets one property of a new node.
type Option func(*Node)

// WithLog sets where the node logs; without it nothing is logged.
func WithLog(l logr.Logger) Option { return func(n *Node) { n.log = l } }

// WithMetrics sets where the node counts; without it nothing is counted.
func WithMetrics(s tally.Scope) Option { return func(n *Node) { n.metrics = s } }

// WithPeerTLS sets the TLS of outgoing connections to other hosts.
func WithPeerTLS(c peer.Client) Option { return func(n *Node) { n.peerTLS = c } }

// WithDials sets how the node reaches peers and workers, by default as usual.
func WithDials(peers, workers peer.Dial) Option {
	return func(n *Node) { n.peerDial, n.workerDial = peers, workers }
}

// New returns a node that is not running yet. incarnation must be higher than
// that of any earlier process at the same peer address. It refuses settings
// whose budgets are not above 0.
func New(s settings.Settings, p table.Platform, incarnation int64, opts ...Option) (*Node, error) {
	n := &Node{
		settings: s, platform: p, log: logr.Discard(), metrics: tally.NoopScope,
		id:    s.PeerAddress() + "#" + strconv.FormatInt(incarnation, 10),
		work:  make(chan func(), maxLoopBacklog),
		ended: make(chan struct{}),
		members: member.New(member.Host{
			Address: s.PeerAddress(), Zone: s.Zone(), Incarnation: incarnation, Protocol: protocol,
		}, member.WithSeeds(seedsOf(s)...)),
		entry: intake.New(s.Zone()), waiting: map[job.ID]chan struct{}{},
		workers: map[string]target.Worker{}, addresses: map[string]string{}, delivering: map[delivery]bool{}, durable: map[job.ID]bool{}, stories: map[string][]toldBody{}, confirming: map[string][]intake.Give{},
		keeping: newKeeping(), copies: map[job.ID]job.Job{},
	}
	for _, o := range opts {
		o(n)
	}
	n.net = peer.New(n.handle, n.peerTLS, n.peerDial, n.log)
	n.workerRT = remote.Transport(workerShare, n.workerDial)
	n.burn, n.retries = burn.New(n.id), retry.New()
	n.services = retry.New(retry.WithTries(1), retry.WithCircuit(serviceFailures, serviceRest))
	gate, err := admission.New(s.QueueLimit())
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", n.id, err)
	}
	n.gate = gate
	if err := n.openLedger(); err != nil {
		return nil, fmt.Errorf("host %s: %w", n.id, err)
	}
	book, err := ticket.New(s.PeerAddress(), incarnation, crand.Reader)
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", n.id, err)
	}
	n.tickets = book
	return n, nil
}

func seedsOf(s settings.Settings) []member.Host {
	var seeds []member.Host
	for _, p := range s.Peers() {
		seeds = append(seeds, member.Host{Address: p.Address, Zone: p.Zone})
	}
	return seeds
}

// ID returns the host's peer address with its incarnation.
func (n *Node) ID() string { return n.id }

// Settings returns what the node was told at its start.
func (n *Node) Settings() settings.Settings { return n.settings }

// Log returns where the node logs.
func (n *Node) Log() logr.Logger { return n.log }

// Metrics returns where the node counts.
func (n *Node) Metrics() tally.Scope { return n.metrics }

// Run serves peers on the listener until the context ends, and closes it.
func (n *Node) Run(ctx context.Context, peers net.Listener) error {
	serve := make(chan error, 1)
	go func() { serve <- n.net.Serve(peers) }()
	defer func() {
		_ = peers.Close()
		n.net.Close()
		<-serve
	}()
	n.every(ctx, tickEvery, n.tick)
	n.every(ctx, member.BeatEvery, n.beat)
	n.every(ctx, pollConfig, n.pollConfiguration)
	n.every(ctx, pollTargetsEvery, n.pollTargets)
	n.every(ctx, adoptEvery, n.adoptOrphans)
	n.every(ctx, catchUpEvery, n.catchUp)
	n.every(ctx, sweepEvery, n.sweep)
	n.every(ctx, watchEvery, n.watchZone)
	n.log.Info("running", "host", n.id, "zone", n.settings.Zone())
	for {
		select {
		case f := <-n.work:
			f()
		case <-ctx.Done():
			close(n.ended)
			n.wg.Wait()
			return nil
		}
	}
}

// every has the loop call f at once and then after each interval, with a
// little jitter so that hosts started together do not act together.
func (n *Node) every(ctx context.Context, d time.Duration, f func(context.Context, time.Time)) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		for {
			n.post(ctx, func() { f(ctx, time.Now()) })
			select {
			case <-time.After(d + time.Duration(rand.Int64N(int64(d)/10+1))):
			case <-ctx.Done():
				return
			}
		}
	}()
}

// post has the loop run f, unless the context or the loop ends first.
func (n *Node) post(ctx context.Context, f func()) {
	select {
	case n.work <- f:
	case <-ctx.Done():
	case <-n.ended:
	}
}

// ask has the loop run f and waits until it did. An error means that f was not
// run and never will be: a caller that gave up may have returned what f writes.
func (n *Node) ask(ctx context.Context, f func()) error {
	var taken atomic.Bool // by the loop or by the caller that gives up
	done := make(chan struct{})
	n.post(ctx, func() {
		if taken.CompareAndSwap(false, true) {
			f()
			close(done)
		}
	})
	var err error
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-n.ended:
		err = ErrEnded
	}
	if !taken.CompareAndSwap(false, true) {
		<-done
		return nil
	}
	return fmt.Errorf("ask host %s: %w", n.id, err)
}

// spawn runs f, which may wait, outside of the loop.
func (n *Node) spawn(f func()) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
}

func (n *Node) tick(ctx context.Context, now time.Time) {
	n.ticked = now
	n.followPlacers(ctx, now)
	n.stepEntry(ctx, intake.Ticked{}, now)
	if n.placer != nil {
		n.stepPlacer(ctx, placer.Ticked{}, now)
	}
}

// call asks the host with the id, itself included.
func (n *Node) call(ctx context.Context, id, method string, params, result any) error {
	if id != n.id {
		ctx, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		return n.net.Call(ctx, addressOf(id), method, params, result)
	}
	value, err := json.Marshal(params)
	if err != nil {
		return fmt.Errorf("%s: own host: %w", method, err)
	}
	res, err := n.handle(ctx, method, value)
	if err != nil {
		return fmt.Errorf("%s: own host: %w", method, err)
	}
	if value, err = json.Marshal(res); err != nil || result == nil {
		return err
	}
	return json.Unmarshal(value, result)
}

// addressOf returns the address of a host's id.
func addressOf(id string) string {
	address, _, _ := strings.Cut(id, "#")
	return address
}

func idOf(h member.Host) string {
	return h.Address + "#" + strconv.FormatInt(h.Incarnation, 10)
}
