package exchange

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
	"guavaglade.example/guavaglade/internal/work/graph"
)

// The methods.
const (
	methodWatch     = "watch"
	methodLook      = "look"
	methodSucceed   = "succeed"
	methodSubmitted = "submitted"
	methodCancelled = "cancelled"
	methodState     = "state"
	methodPending   = "pending"
	methodCatalog   = "catalog"
	methodSubmit    = "submit"
	methodCancel    = "cancel"
	methodJobs      = "jobs"
	methodStory     = "story"
	methodFleet     = "fleet"
	methodInForce   = "inForce"
	methodBurn      = "burn"
)

// Figures of the exchange.
const (
	// watchWait is how long the leader lets a watcher wait: a third of the time
	// after which it is taken for silent.
	watchWait = 400 * time.Millisecond
	// watchTime bounds a watch, so that a leader that is cut off shows.
	watchTime = watchWait + 500*time.Millisecond
	// askTime bounds every other call: within a zone one takes a millisecond.
	askTime = 400 * time.Millisecond
	// lookTime bounds asking hosts whether they could succeed: a leader that cannot
	// keep up is slow to send and to receive.
	lookTime = 1500 * time.Millisecond
	// relayTime bounds a call that has a peer write to the store.
	relayTime = 1100 * time.Millisecond
	// watcherGone is how long after its last watch a host counts as alive.
	watcherGone = 2 * time.Second
	// inTouchFor is how long after its last word a host, or the store, counts as reached:
	// on a calm day each is heard of within 600 ms. Clients of a zone that is cut off are
	// refused meanwhile; the balancer needs more than one such answer to turn away.
	inTouchFor = 800 * time.Millisecond
)

// Leading is the part of an election that peers ask about.
type Leading interface {
	Leader() leader.Row
	OwnTerm() *leader.Term
	ReadRow(ctx context.Context) error
	AcceptTransfer(ctx context.Context, r leader.Row, version int64) bool
}

// Storing is the part of an entry that peers use.
type Storing interface {
	SubmitHere(ctx context.Context, j *graph.Job) error
	CancelHere(ctx context.Context, id graph.JobID, by entry.Caller) error
}

// Desk is what a leader answers by. Its methods fail with dispatcher.ErrNotLeading
// on a host that does not lead.
type Desk interface {
	Submitted(ctx context.Context, j *graph.Job) error
	Cancelled(ctx context.Context, id graph.JobID) error
	State(ctx context.Context, id graph.JobID) (told view.JobStatus, known bool, err error)
	Pending(ctx context.Context, queue string) (int, error)
	Jobs(ctx context.Context, account string) ([]view.Job, error)
	History(ctx context.Context, id graph.JobID) (story view.History, known bool, err error)
	Fleet(ctx context.Context) (view.Fleet, error)
}

// Exchange answers peers and asks them.
type Exchange struct {
	net       *peer.Net
	own       string  // address for peers
	zone      string  // availability zone of this host; empty: not known
	power     float64 // cores that this host has
	leading   Leading
	storing   Storing
	up        func() bool      // the store serves this host
	answered  func() time.Time // when the store answered last
	desk      Desk
	keeper    *catalog.Keeper
	adopted   func(version int64, from string) // told of a configuration that a peer had
	outcomes  func() burn.Snapshot             // what this host counted of jobs that ended
	log       logr.Logger
	mu        sync.Mutex
	heard     time.Time          // when the leader last told what it reaches
	seen      map[string]watcher // hosts that watch this one, by address
	peers     []peerBody         // hosts that the store serves, as the leader last said
	ranked    []peerBody         // the same, when there last were any
	reach     reachBody          // what the leader last said that it reaches
	mostZones int                // the most zones that were in touch with a leader at once
	told      []peerBody         // what watchers are told, not changed once made; nil: nothing yet
	toldAt    time.Time          // when that was made
	counts    map[string]count   // of jobs that have not started, by queue
}

// Option sets one property of a new exchange.
type Option func(*Exchange)

// WithPower sets the cores that the host has, by default not known.
func WithPower(cores float64) Option { return func(x *Exchange) { x.power = cores } }

// WithZone sets the availability zone of the host, by default not known.
func WithZone(zone string) Option { return func(x *Exchange) { x.zone = zone } }

// WithAdopted sets who is told of a configuration that a peer had.
func WithAdopted(f func(version int64, from string)) Option {
	return func(x *Exchange) { x.adopted = f }
}

// WithCounted sets where the host's counts of jobs that ended are found, by
// default nowhere.
func WithCounted(f func() burn.Snapshot) Option { return func(x *Exchange) { x.outcomes = f } }

// WithStoreAnswered sets where the host knows when the store answered it last, by
// default a moment ago.
func WithStoreAnswered(f func() time.Time) Option { return func(x *Exchange) { x.answered = f } }

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(x *Exchange) { x.log = log } }

// New returns an exchange of the host with the address for peers; up reports
// whether the store serves it. Bind must be called before the exchange is used.
func New(own string, desk Desk, k *catalog.Keeper, up func() bool, opts ...Option) *Exchange {
	x := &Exchange{
		own: own, desk: desk, keeper: k, up: up, seen: map[string]watcher{}, counts: map[string]count{}, log: logr.Discard(), answered: time.Now,
		adopted: func(int64, string) {}, outcomes: func() burn.Snapshot { return burn.Snapshot{} },
	}
	for _, o := range opts {
		o(x)
	}
	return x
}

// Bind sets what the exchange works with that itself needs the exchange.
func (x *Exchange) Bind(n *peer.Net, l Leading, s Storing) { x.net, x.leading, x.storing = n, l, s }

// Handle answers a peer's call.
func (x *Exchange) Handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodWatch:
		return answer(params, func(in watchBody) (any, error) { return x.watched(ctx, in) })
	case methodSubmitted:
		return answer(params, func(in graph.Job) (any, error) { return nil, x.desk.Submitted(ctx, &in) })
	case methodCancelled:
		return answer(params, func(in graph.JobID) (any, error) { return nil, x.desk.Cancelled(ctx, in) })
	case methodState:
		return answer(params, func(in graph.JobID) (any, error) { return x.ownState(ctx, in) })
	case methodPending:
		return answer(params, func(in string) (any, error) { return x.desk.Pending(ctx, in) })
	case methodCatalog:
		return x.keeper.Stored(), nil
	case methodLook:
		return nil, x.leading.ReadRow(ctx)
	case methodSucceed:
		return answer(params, func(in succeedBody) (any, error) { return x.leading.AcceptTransfer(ctx, in.Row, in.Version), nil })
	case methodSubmit:
		return answer(params, func(in graph.Job) (any, error) { return settled(x.storing.SubmitHere(ctx, &in)), nil })
	case methodCancel:
		return answer(params, func(in cancelBody) (any, error) { return settled(x.storing.CancelHere(ctx, in.Job, in.By)), nil })
	}
	return x.handleView(ctx, method, params)
}

// handleView answers a peer's call for what operators and clients read.
func (x *Exchange) handleView(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodJobs:
		return answer(params, func(in string) (any, error) { return x.desk.Jobs(ctx, in) })
	case methodStory:
		return answer(params, func(in graph.JobID) (any, error) { return x.ownStory(ctx, in) })
	case methodFleet:
		return x.ownFleet(ctx)
	case methodInForce:
		return x.ownInForce(), nil
	case methodBurn:
		return x.outcomes(), nil
	}
	return nil, fmt.Errorf("%s: %w", method, peer.ErrNoMethod)
}

func answer[T any](params json.RawMessage, f func(T) (any, error)) (any, error) {
	var in T
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, fmt.Errorf("%w: %w", peer.ErrBadParams, err)
	}
	return f(in)
}
