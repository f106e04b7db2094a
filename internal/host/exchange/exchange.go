package exchange

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/config/catalog"
	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/host/entry"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/host/peer"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
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
)

// watchBody is both sides of a watch.
type watchBody struct {
	Row     leader.Row `json:"row"`
	Version int64      `json:"version"`         // of the configuration in force on the sender
	From    string     `json:"from,omitempty"`  // the sender's address
	StoreUp bool       `json:"storeUp"`         // the store serves the sender
	Power   float64    `json:"power,omitempty"` // cores that the sender has
	Peers   []peerBody `json:"peers,omitempty"` // hosts that the store serves, as the leader knows them, the most powerful first
}

// peerBody is a host as the leader knows it.
type peerBody struct {
	Address string  `json:"address"`
	Power   float64 `json:"power"` // cores
}

// succeedBody asks a host to take the leader row over.
type succeedBody struct {
	Row     leader.Row `json:"row"`
	Version int64      `json:"version"` // of the leader row
}

type stateBody struct {
	State progress.State `json:"state"`
	Known bool           `json:"known"`
}

// settledBody says what became of a relayed request.
type settledBody struct {
	Done        bool   `json:"done"`
	NotAccepted bool   `json:"notAccepted,omitempty"` // nothing was stored and nothing will be
	NoJob       bool   `json:"noJob,omitempty"`
	Why         string `json:"why,omitempty"`
}

// Leading is the part of an election that peers ask about.
type Leading interface {
	Leader() leader.Row
	Own() *leader.Term
	Look(ctx context.Context) error
	Succeed(ctx context.Context, r leader.Row, version int64) bool
}

// Storing is the part of an entry that peers use.
type Storing interface {
	SubmitHere(ctx context.Context, j *graph.Job) error
	CancelHere(ctx context.Context, id graph.JobID) error
}

// Exchange answers peers and asks them.
type Exchange struct {
	net     *peer.Net
	own     string  // address for peers
	power   float64 // cores that this host has
	leading Leading
	storing Storing
	up      func() bool // the store serves this host
	desk    *dispatcher.Dispatcher
	keeper  *catalog.Keeper
	adopted func(version int64, from string) // told of a configuration that a peer had
	mu      sync.Mutex
	heard   time.Time          // when a peer answered last
	seen    map[string]watcher // hosts that watch this one, by address
	peers   []peerBody         // hosts that the store serves, as the leader last said
}

// watcher is a host that watches the leader.
type watcher struct {
	at      time.Time // of its last watch
	storeUp bool
	power   float64
}

// New returns an exchange. Bind must be called before it is used.
func New(own string, power float64, desk *dispatcher.Dispatcher, k *catalog.Keeper, up func() bool, adopted func(version int64, from string)) *Exchange {
	return &Exchange{own: own, power: power, desk: desk, keeper: k, up: up, adopted: adopted, seen: map[string]watcher{}}
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
		return answer(params, func(in graph.JobID) (any, error) {
			state, known, err := x.desk.State(ctx, in)
			return stateBody{State: state, Known: known}, err
		})
	case methodPending:
		return answer(params, func(in string) (any, error) { return x.desk.Pending(ctx, in) })
	case methodCatalog:
		return x.keeper.Stored(), nil
	case methodLook:
		return nil, x.leading.Look(ctx)
	case methodSucceed:
		return answer(params, func(in succeedBody) (any, error) { return x.leading.Succeed(ctx, in.Row, in.Version), nil })
	case methodSubmit:
		return answer(params, func(in graph.Job) (any, error) { return settled(x.storing.SubmitHere(ctx, &in)), nil })
	case methodCancel:
		return answer(params, func(in graph.JobID) (any, error) { return settled(x.storing.CancelHere(ctx, in)), nil })
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

// watched answers a watcher after a while, or at once when the term ends, and
// gets its configuration if that is newer.
func (x *Exchange) watched(ctx context.Context, in watchBody) (any, error) {
	x.noteWatcher(in)
	if in.Version > x.keeper.Version() && in.From != "" {
		go x.fetch(context.WithoutCancel(ctx), in.From)
	}
	t := x.leading.Own()
	if t == nil {
		return nil, dispatcher.ErrNotLeading
	}
	select {
	case <-ctx.Done():
	case <-t.Over():
		return nil, dispatcher.ErrNotLeading
	case <-time.After(watchWait):
	}
	return watchBody{Row: x.leading.Leader(), Version: x.keeper.Version(), Peers: x.listed()}, nil
}

func (x *Exchange) noteWatcher(in watchBody) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.heard = time.Now()
	x.seen[in.From] = watcher{at: time.Now(), storeUp: in.StoreUp, power: in.Power}
}

// served returns the hosts that watch this one and that the store serves, with at
// least so much power, the most powerful first.
func (x *Exchange) served(least float64) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var list []string
	for address, w := range x.seen {
		switch {
		case time.Since(w.at) > watcherGone:
			delete(x.seen, address)
		case w.storeUp && w.power >= least:
			list = append(list, address)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(x.seen[b].power, x.seen[a].power), cmp.Compare(a, b))
	})
	return list
}

// Rank implements leader.Peer. A host that the leader's last list lacks comes after
// all that are in it: the store may not have served it, or it had just begun.
func (x *Exchange) Rank(muchMore float64) (rank int, outpowered bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	rank = slices.IndexFunc(x.peers, func(p peerBody) bool { return p.Address == x.own })
	if rank < 0 {
		rank = len(x.peers)
	}
	return rank, len(x.peers) > 0 && x.peers[0].Power >= x.power*muchMore
}

// listed returns the hosts that the store serves, for watchers.
func (x *Exchange) listed() []peerBody {
	list := x.served(0)
	x.mu.Lock()
	defer x.mu.Unlock()
	peers := make([]peerBody, 0, len(list))
	for _, address := range list {
		peers = append(peers, peerBody{Address: address, Power: x.seen[address].power})
	}
	return peers
}

// Watch implements leader.Peer.
func (x *Exchange) Watch(ctx context.Context, address string, term int64) (leader.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	var out watchBody
	in := watchBody{Row: leader.Row{Term: term}, Version: x.keeper.Version(), From: x.own, StoreUp: x.up(), Power: x.power}
	if err := x.net.Call(ctx, address, methodWatch, in, &out); err != nil {
		return leader.Row{}, err
	}
	x.mu.Lock()
	x.peers, x.heard = out.Peers, time.Now()
	x.mu.Unlock()
	if out.Version > x.keeper.Version() {
		go x.fetch(context.WithoutCancel(ctx), address)
	}
	return out.Row, nil
}

// askedSuccessors bounds how many hosts are asked whether they could succeed.
const askedSuccessors = 3

// Successors implements leader.Peer. A host that last said that the store serves
// it may not have asked since: each is asked to read the row now.
func (x *Exchange) Successors(ctx context.Context, least float64) []string {
	ctx, cancel := context.WithTimeout(ctx, lookTime)
	defer cancel()
	list := x.served(least)
	list = list[:min(len(list), askedSuccessors)]
	answers := make(chan string, len(list))
	for _, address := range list {
		go func() {
			if x.net.Call(ctx, address, methodLook, nil, nil) != nil {
				address = ""
			}
			answers <- address
		}()
	}
	able := map[string]bool{}
	for range list {
		able[<-answers] = true
	}
	return slices.DeleteFunc(list, func(a string) bool { return !able[a] })
}

// HandOver implements leader.Peer.
func (x *Exchange) HandOver(ctx context.Context, address string, r leader.Row, version int64) bool {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var took bool
	err := x.net.Call(ctx, address, methodSucceed, succeedBody{Row: r, Version: version}, &took)
	return err == nil && took
}

// fetch gets the configuration of a peer.
func (x *Exchange) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	var stored []byte
	if err := x.net.Call(ctx, address, methodCatalog, nil, &stored); err != nil || len(stored) == 0 {
		return // it travels with the next watch, too
	}
	if ok, err := x.keeper.Offer(stored); err == nil && ok {
		x.adopted(x.keeper.Version(), address)
	}
}

// ask calls the leader, or this host's own desk if it leads.
func (x *Exchange) ask(ctx context.Context, method string, in, out any) error {
	row := x.leading.Leader()
	if row.Address == "" {
		return dispatcher.ErrNotLeading
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	return x.net.Call(ctx, row.Address, method, in, out)
}

func (x *Exchange) leads() bool { return x.leading.Own() != nil }

// Submitted tells the leader of a job that was accepted and stored.
func (x *Exchange) Submitted(ctx context.Context, j *graph.Job) error {
	if x.leads() {
		return x.desk.Submitted(ctx, j)
	}
	return x.ask(ctx, methodSubmitted, j, nil)
}

// Cancelled tells the leader of a job whose cancelling was stored.
func (x *Exchange) Cancelled(ctx context.Context, id graph.JobID) error {
	if x.leads() {
		return x.desk.Cancelled(ctx, id)
	}
	return x.ask(ctx, methodCancelled, id, nil)
}

// State asks the leader for a job's state.
func (x *Exchange) State(ctx context.Context, id graph.JobID) (progress.State, bool, error) {
	if x.leads() {
		return x.desk.State(ctx, id)
	}
	var out stateBody
	err := x.ask(ctx, methodState, id, &out)
	return out.State, out.Known, err
}

// Pending asks the leader how many jobs of a queue have not started.
func (x *Exchange) Pending(ctx context.Context, queue string) (int, error) {
	if x.leads() {
		return x.desk.Pending(ctx, queue)
	}
	n := 0
	err := x.ask(ctx, methodPending, queue, &n)
	return n, err
}

func settled(err error) settledBody {
	if err == nil {
		return settledBody{Done: true}
	}
	return settledBody{NotAccepted: errors.Is(err, entry.ErrNotAccepted), NoJob: errors.Is(err, entry.ErrNoJob), Why: err.Error()}
}

func (b settledBody) err() error {
	switch {
	case b.Done:
		return nil
	case b.NoJob:
		return entry.ErrNoJob
	case b.NotAccepted:
		return fmt.Errorf("%w: %s", entry.ErrNotAccepted, b.Why)
	}
	return fmt.Errorf("%w: %s", entry.ErrNotKnown, b.Why)
}

// RelaySubmit implements entry.Relay.
func (x *Exchange) RelaySubmit(ctx context.Context, j *graph.Job) error {
	return x.relay(ctx, methodSubmit, j)
}

// RelayCancel implements entry.Relay.
func (x *Exchange) RelayCancel(ctx context.Context, id graph.JobID) error {
	return x.relay(ctx, methodCancel, id)
}

// relay has another host write to the store: the first that answers of those
// that the store serves.
func (x *Exchange) relay(ctx context.Context, method string, in any) error {
	ctx, cancel := context.WithTimeout(ctx, relayTime)
	defer cancel()
	err := fmt.Errorf("%w: no host known that the store serves", entry.ErrNotAccepted)
	for _, address := range x.relays() {
		var out settledBody
		callErr := x.net.Call(ctx, address, method, in, &out)
		switch {
		case callErr == nil && out.Done:
			return nil
		case callErr == nil:
			if err = out.err(); !errors.Is(err, entry.ErrNotAccepted) {
				return err
			}
		case peer.Answered(callErr), errors.Is(callErr, peer.ErrUnreached):
			err = fmt.Errorf("%w: %w", entry.ErrNotAccepted, callErr)
		default:
			return fmt.Errorf("%w: %w", entry.ErrNotKnown, callErr)
		}
	}
	return err
}

// Serves reports whether a request can be stored now: by this host, or by a peer
// that it was in touch with lately.
func (x *Exchange) Serves() bool {
	if x.up() {
		return true
	}
	x.mu.Lock()
	heard := time.Since(x.heard) < watcherGone/2
	x.mu.Unlock()
	return heard && len(x.relays()) > 0
}

// relayTries bounds how many hosts are asked for one request.
const relayTries = 2

// relays returns the hosts to ask, in turn.
func (x *Exchange) relays() []string {
	list := x.served(0) // of a leader that the store turns away
	if len(list) == 0 {
		x.mu.Lock()
		for _, p := range x.peers {
			list = append(list, p.Address)
		}
		x.mu.Unlock()
	}
	if row := x.leading.Leader(); row.Address != "" {
		list = append([]string{row.Address}, list...)
	}
	list = slices.DeleteFunc(list, func(a string) bool { return a == x.own })
	return list[:min(len(list), relayTries)]
}
