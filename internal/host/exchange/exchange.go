package exchange

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/config/catalog"
	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/host/peer"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// The methods.
const (
	methodWatch     = "watch"
	methodSubmitted = "submitted"
	methodCancelled = "cancelled"
	methodState     = "state"
	methodPending   = "pending"
	methodCatalog   = "catalog"
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
)

type watchBody struct {
	Row     leader.Row `json:"row"`
	Version int64      `json:"version"`        // of the configuration in force on the sender
	From    string     `json:"from,omitempty"` // the sender's address
}

type stateBody struct {
	State progress.State `json:"state"`
	Known bool           `json:"known"`
}

// Leading is the part of an election that peers ask about.
type Leading interface {
	Leader() leader.Row
	Own() *leader.Term
}

// Exchange answers peers and asks them.
type Exchange struct {
	net     *peer.Net
	own     string // address for peers
	leading Leading
	desk    *dispatcher.Dispatcher
	keeper  *catalog.Keeper
	adopted func(version int64, from string) // told of a configuration that a peer had
}

// New returns an exchange. Bind must be called before it is used.
func New(own string, desk *dispatcher.Dispatcher, k *catalog.Keeper, adopted func(version int64, from string)) *Exchange {
	return &Exchange{own: own, desk: desk, keeper: k, adopted: adopted}
}

// Bind sets what the exchange works with that itself needs the exchange.
func (x *Exchange) Bind(n *peer.Net, l Leading) { x.net, x.leading = n, l }

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

// watched answers a watcher after a while, and gets its configuration if that
// is newer.
func (x *Exchange) watched(ctx context.Context, in watchBody) (any, error) {
	if in.Version > x.keeper.Version() && in.From != "" {
		go x.fetch(context.WithoutCancel(ctx), in.From)
	}
	select {
	case <-ctx.Done():
	case <-time.After(watchWait):
	}
	t := x.leading.Own()
	if t == nil {
		return nil, dispatcher.ErrNotLeading
	}
	return watchBody{Row: x.leading.Leader(), Version: x.keeper.Version()}, nil
}

// Watch implements leader.Peer.
func (x *Exchange) Watch(ctx context.Context, address string, term int64) (leader.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	var out watchBody
	in := watchBody{Row: leader.Row{Term: term}, Version: x.keeper.Version(), From: x.own}
	if err := x.net.Call(ctx, address, methodWatch, in, &out); err != nil {
		return leader.Row{}, err
	}
	if out.Version > x.keeper.Version() {
		go x.fetch(context.WithoutCancel(ctx), address)
	}
	return out.Row, nil
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
