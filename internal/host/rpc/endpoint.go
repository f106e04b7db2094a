package rpc

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/config/catalog"
	"guavaglade.example/guavaglade/internal/host/entry"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/host/peer"
	"guavaglade.example/guavaglade/internal/report/burn"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// Names of the methods.
const (
	methodWatch     = "watch"
	methodReadRow   = "look"
	methodTransfer  = "succeed"
	methodSubmitted = "submitted"
	methodCancelled = "cancelled"
	methodStatus    = "state"
	methodPending   = "pending"
	methodCatalog   = "catalog"
	methodSubmit    = "submit"
	methodCancel    = "cancel"
	methodJobs      = "jobs"
	methodHistory   = "story"
	methodFleet     = "fleet"
	methodInForce   = "inForce"
	methodBurn      = "burn"
	methodHandover  = "handover"
)

// Timeouts of calls, and how long a host counts as reachable.
const (
	// watchDelay is how long the leader delays its answer to a watch: about a third of
	// leader.Lease.
	watchDelay = 400 * time.Millisecond
	// watchTimeout bounds a watch, so that a disconnected leader is detected.
	watchTimeout = watchDelay + 500*time.Millisecond
	// callTimeout bounds every other call. Within a zone a call takes a millisecond.
	callTimeout = 400 * time.Millisecond
	// candidatesTimeout bounds asking hosts whether they could lead: an overloaded leader
	// is slow to send and to receive.
	candidatesTimeout = 1500 * time.Millisecond
	// relayTimeout bounds a call that has a peer write to the store.
	relayTimeout = 1100 * time.Millisecond
	// watcherExpiry is how long after its last watch a host counts as alive.
	watcherExpiry = 2 * time.Second
	// reachableFor is how long after its last message a host or the store counts as
	// reachable: in normal operation a message comes from each within 600 ms. In that time
	// clients of a disconnected zone are still sent there and refused; the load balancer
	// needs more than one failed readiness check to send them elsewhere.
	reachableFor = 800 * time.Millisecond
)

// Election is the part of an election that peers use.
type Election interface {
	Leader() leader.Row
	OwnTerm() *leader.Term
	ReadRow(ctx context.Context) error
	AcceptTransfer(ctx context.Context, r leader.Row, version int64) bool
	Watched(address string, w leader.Watch)
	Mark() int64
}

// JobWriter is the part of an entry that peers use.
type JobWriter interface {
	SubmitHere(ctx context.Context, j *graph.Job) error
	CancelHere(ctx context.Context, id graph.JobID, by entry.Caller) error
}

// Dispatcher answers for the leader. Its methods fail with dispatcher.ErrNotLeading on a
// host that does not lead.
type Dispatcher interface {
	Submitted(ctx context.Context, j *graph.Job) error
	Cancelled(ctx context.Context, id graph.JobID) error
	AcceptHandover(ctx context.Context, h dispatch.Handover) error
	Status(ctx context.Context, id graph.JobID) (status view.JobStatus, known bool, err error)
	Pending(ctx context.Context, queue string) (int, error)
	Jobs(ctx context.Context, account string) ([]view.Job, error)
	History(ctx context.Context, id graph.JobID) (history view.History, known bool, err error)
	Fleet(ctx context.Context) (view.Fleet, error)
}

// Endpoint makes calls to peers and answers theirs.
type Endpoint struct {
	transport        *peer.Transport
	address          string  // of this host, for peers
	zone             string  // availability zone of this host; empty if unknown
	cores            float64 // of this host
	election         Election
	writer           JobWriter
	storeUp          func() bool      // whether the store is available to this host
	storeAnsweredAt  func() time.Time // when the store last answered
	dispatcher       Dispatcher
	keeper           *catalog.Keeper
	adopted          func(version int64, from string) // called for a configuration that came from a peer
	burnSnapshot     func() burn.Snapshot             // counts of jobs that ended, as reported by this host
	log              logr.Logger
	mu               sync.Mutex
	leaderReportedAt time.Time               // when the leader last reported its reachability
	watchers         map[string]watcher      // hosts that watch this one or did lately, by address
	peers            []peerInfo              // hosts to which the store is available, as last listed by the leader
	ranking          []peerInfo              // the last such list that was not empty
	reach            reachability            // of the leader, as last reported
	maxZones         int                     // the most zones that a leader reached at once
	hosts            int                     // as of Hosts
	listed           []peerInfo              // sent to watchers, immutable; nil before the first
	listedAt         time.Time               // when listed was made
	pendingCounts    map[string]pendingCount // by queue
}

// Option sets one property of a new endpoint.
type Option func(*Endpoint)

// WithCores sets the number of cores of the host. The default is 0, for unknown.
func WithCores(cores float64) Option { return func(e *Endpoint) { e.cores = cores } }

// WithZone sets the availability zone of the host. The default is unknown.
func WithZone(zone string) Option { return func(e *Endpoint) { e.zone = zone } }

// WithAdopted sets a function that is called when the host takes over a configuration from
// a peer.
func WithAdopted(f func(version int64, from string)) Option {
	return func(e *Endpoint) { e.adopted = f }
}

// WithBurnSnapshot sets the function that returns the host's counts of jobs that ended. By
// default there are none.
func WithBurnSnapshot(f func() burn.Snapshot) Option { return func(e *Endpoint) { e.burnSnapshot = f } }

// WithStoreAnswered sets the function that returns when the store last answered the host.
// The default is the current time.
func WithStoreAnswered(f func() time.Time) Option {
	return func(e *Endpoint) { e.storeAnsweredAt = f }
}

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(e *Endpoint) { e.log = log } }

// New returns an endpoint of the host with the given address for peers. storeUp reports
// whether the store is available to the host. Bind must be called before the endpoint is
// used.
func New(address string, d Dispatcher, k *catalog.Keeper, storeUp func() bool, opts ...Option) *Endpoint {
	e := &Endpoint{
		address: address, dispatcher: d, keeper: k, storeUp: storeUp, watchers: map[string]watcher{}, pendingCounts: map[string]pendingCount{}, log: logr.Discard(), storeAnsweredAt: time.Now,
		adopted: func(int64, string) {}, burnSnapshot: func() burn.Snapshot { return burn.Snapshot{} },
	}
	for _, o := range opts {
		o(e)
	}
	return e
}

// Bind sets the dependencies that themselves depend on the endpoint.
func (e *Endpoint) Bind(t *peer.Transport, l Election, w JobWriter) {
	e.transport, e.election, e.writer = t, l, w
}

// Handle answers a peer's call. The error wraps peer.ErrNoMethod or peer.ErrBadParams, or is
// that of the called method.
func (e *Endpoint) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodWatch:
		return decodeAndCall(params, func(in watchMessage) (any, error) { return e.handleWatch(ctx, in) })
	case methodSubmitted:
		return decodeAndCall(params, func(in graph.Job) (any, error) { return nil, e.dispatcher.Submitted(ctx, &in) })
	case methodCancelled:
		return decodeAndCall(params, func(in graph.JobID) (any, error) { return nil, e.dispatcher.Cancelled(ctx, in) })
	case methodHandover:
		return decodeAndCall(params, func(in dispatch.Handover) (any, error) { return nil, e.dispatcher.AcceptHandover(ctx, in) })
	case methodStatus:
		return decodeAndCall(params, func(in graph.JobID) (any, error) { return e.localStatus(ctx, in) })
	case methodPending:
		return decodeAndCall(params, func(in string) (any, error) { return e.dispatcher.Pending(ctx, in) })
	case methodCatalog:
		return e.keeper.Stored(), nil
	case methodReadRow:
		return nil, e.election.ReadRow(ctx)
	case methodTransfer:
		return decodeAndCall(params, func(in transferRequest) (any, error) { return e.election.AcceptTransfer(ctx, in.Row, in.Version), nil })
	case methodSubmit:
		return decodeAndCall(params, func(in graph.Job) (any, error) { return newRelayReply(e.writer.SubmitHere(ctx, &in)), nil })
	case methodCancel:
		return decodeAndCall(params, func(in cancelRequest) (any, error) {
			return newRelayReply(e.writer.CancelHere(ctx, in.Job, in.By)), nil
		})
	}
	return e.handleView(ctx, method, params)
}

// handleView answers a peer's call for a view that operators and clients read.
func (e *Endpoint) handleView(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodJobs:
		return decodeAndCall(params, func(in string) (any, error) { return e.dispatcher.Jobs(ctx, in) })
	case methodHistory:
		return decodeAndCall(params, func(in graph.JobID) (any, error) { return e.localHistory(ctx, in) })
	case methodFleet:
		return e.localFleet(ctx)
	case methodInForce:
		return e.localInForce(), nil
	case methodBurn:
		return e.burnSnapshot(), nil
	}
	return nil, fmt.Errorf("%s: %w", method, peer.ErrNoMethod)
}

// decodeAndCall calls f with the decoded parameters. It fails with peer.ErrBadParams if they
// cannot be decoded.
func decodeAndCall[T any](params json.RawMessage, f func(T) (any, error)) (any, error) {
	var in T
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("%w: %w", peer.ErrBadParams, err)
	}
	return f(in)
}
