package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/host/keeper"
	"guavaglade.example/guavaglade/internal/work/gang"
	"guavaglade.example/guavaglade/internal/work/placer"
)

// Times of keeping.
const (
	gatherFor     = 10 * time.Millisecond // asks and results wait so long for others
	distrustFor   = 10 * time.Second      // a keeper that did not answer is not asked again
	pausedAfter   = time.Second           // without a tick: this host was paused
	shortestAlign = 500 * time.Millisecond
)

// renewing is a renewal that a keeper was asked for.
type renewing struct {
	command placer.RenewOn
	term    int
	keeper  string
}

// keeping is what a host remembers as a placer that asks and as a keeper that is
// asked. The loop owns it.
type keeping struct {
	token      int64                      // of the newest ask
	asked      map[int64]renewing         // asks without a result, by token
	askedOf    map[string]int64           // the open ask of each worker
	asks       map[string][]keeper.Ask    // that gather for a keeper
	results    map[string][]keeper.Result // that gather for a placer
	toKeeper   map[string]*keeper.Sets    // what each keeper was sent
	fromPlacer map[string]*keeper.Sets    // what each placer has sent
	distrusted map[string]time.Time       // keepers that are done without until then
}

func newKeeping() keeping {
	return keeping{
		asked: map[int64]renewing{}, askedOf: map[string]int64{}, asks: map[string][]keeper.Ask{},
		results: map[string][]keeper.Result{}, toKeeper: map[string]*keeper.Sets{},
		fromPlacer: map[string]*keeper.Sets{}, distrusted: map[string]time.Time{},
	}
}

// askBody and resultBody are what placer and keeper send to each other.
type askBody struct {
	From string       `json:"from"` // the placer
	Asks []keeper.Ask `json:"asks"`
}

type resultBody struct {
	Results []keeper.Result `json:"results"`
}

// renew has the worker's leases renewed: by its keeper, or from here if that is
// this host, or if the keeper did not answer the ask before.
func (n *Node) renew(ctx context.Context, c placer.RenewOn, now time.Time) {
	if token, open := n.keeping.askedOf[c.Worker]; open {
		n.distrust(n.keeping.asked[token].keeper, now)
		n.settleAsk(token)
	}
	k, ok := n.members.Keeper(n.settings.Zone(), c.Worker, now)
	// A new placer's first question to a worker goes straight there: the keeper
	// may be the very host whose death made this one the placer.
	first := c.Renewal.Wait.IsZero()
	if !ok || first || idOf(k) == n.id || now.Before(n.keeping.distrusted[idOf(k)]) || n.workerAt[c.Worker] == "" {
		n.renewHere(ctx, n.term, c)
		return
	}
	n.keeping.token++
	id := idOf(k)
	n.keeping.asked[n.keeping.token] = renewing{command: c, term: n.term, keeper: id}
	n.keeping.askedOf[c.Worker] = n.keeping.token
	a := keeper.Ask{
		Token: n.keeping.token, Worker: c.Worker, At: n.workerAt[c.Worker], Since: c.Renewal.Since, Leases: c.Renewal.Leases,
	}
	a.WaitMS = max(0, c.Renewal.Wait.Sub(now).Milliseconds())
	if n.keeping.toKeeper[id] == nil {
		n.keeping.toKeeper[id] = &keeper.Sets{}
	}
	n.keeping.asks[id] = append(n.keeping.asks[id], n.keeping.toKeeper[id].Pack(a))
	if len(n.keeping.asks[id]) == 1 {
		n.spawn(func() { n.sendAsks(ctx, id) })
	}
}

// renewHere renews from this host.
func (n *Node) renewHere(ctx context.Context, term int, c placer.RenewOn) {
	n.atWorker(c.Worker, func(w target.Worker) {
		rep, err := w.Renew(ctx, c.Renewal)
		n.placerEvent(ctx, term, reportedOf(c, rep, err))
	})
}

func reportedOf(c placer.RenewOn, rep target.Report, err error) placer.Reported {
	return placer.Reported{Worker: c.Worker, Report: rep, Err: err, Renewed: c.Renewal.Leases, Expires: c.Renewal.Expires}
}

// sendAsks sends what has gathered for a keeper. One that cannot be asked is
// done without for a while: the leases must not wait for it.
func (n *Node) sendAsks(ctx context.Context, to string) {
	if err := sleep(ctx, gatherFor); err != nil {
		return
	}
	body := askBody{From: n.id}
	if err := n.ask(ctx, func() {
		body.Asks = n.keeping.asks[to]
		delete(n.keeping.asks, to)
	}); err != nil {
		return
	}
	if err := n.call(ctx, to, "keeper.ask", body, nil); err != nil {
		n.log.Info("keeper", "step", "ask", "peer", to, "error", err.Error())
		n.post(ctx, func() { n.withoutKeeper(ctx, to, body.Asks) })
	}
}

func (n *Node) withoutKeeper(ctx context.Context, id string, asks []keeper.Ask) {
	n.distrust(id, time.Now())
	for _, a := range asks {
		if r, ok := n.settleAsk(a.Token); ok && r.term == n.term {
			n.renewHere(ctx, r.term, r.command)
		}
	}
}

// distrust does without a keeper for a while, and sends it whole asks after.
func (n *Node) distrust(id string, now time.Time) {
	n.keeping.distrusted[id] = now.Add(distrustFor)
	delete(n.keeping.toKeeper, id)
}

// forgetKeeping drops what is remembered of hosts that are no longer live: each
// incarnation has a name of its own, and nothing else would ever drop it.
func (n *Node) forgetKeeping(now time.Time) {
	live := map[string]bool{n.id: true}
	for _, id := range n.peerIDs("", now) {
		live[id] = true
	}
	gone := func(id string, _ *keeper.Sets) bool { return !live[id] }
	maps.DeleteFunc(n.keeping.fromPlacer, gone)
	maps.DeleteFunc(n.keeping.toKeeper, gone)
	maps.DeleteFunc(n.keeping.distrusted, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// settleAsk forgets an ask; ok is false if it was settled before.
func (n *Node) settleAsk(token int64) (r renewing, ok bool) {
	r, ok = n.keeping.asked[token]
	if !ok {
		return renewing{}, false
	}
	delete(n.keeping.asked, token)
	if n.keeping.askedOf[r.command.Worker] == token {
		delete(n.keeping.askedOf, r.command.Worker)
	}
	return r, true
}

// kept takes a keeper's results, from the loop.
func (n *Node) kept(ctx context.Context, b resultBody, now time.Time) {
	for _, res := range b.Results {
		r, ok := n.settleAsk(res.Token)
		if !ok || r.term != n.term || n.placer == nil {
			continue
		}
		rep, err := res.Report(r.command.Worker)
		if errors.Is(err, keeper.ErrMissing) {
			if sets := n.keeping.toKeeper[r.keeper]; sets != nil {
				sets.Forget(r.command.Worker)
			}
			n.renewHere(ctx, r.term, r.command)
			continue
		}
		n.stepPlacer(ctx, reportedOf(r.command, rep, err), now)
	}
}

// handleAsk is the keeper's side: it renews once for each ask.
func (n *Node) handleAsk(ctx context.Context, params json.RawMessage) (any, error) {
	var b askBody
	if err := n.read("keeper.ask", params, &b); err != nil {
		return nil, err
	}
	var paused error
	keep := context.WithoutCancel(ctx)
	err := n.ask(ctx, func() {
		now := time.Now()
		// After a pause the ask may be old, and the placer may have given the
		// leases up since: renewing them now would keep alive what nobody
		// answers for. The placer renews by itself instead.
		if now.Sub(n.ticked) > pausedAfter {
			paused = fmt.Errorf("keeper %s was paused", n.id)
			return
		}
		n.keep(keep, b, now)
	})
	return struct{}{}, errors.Join(err, paused)
}

func (n *Node) keep(ctx context.Context, b askBody, now time.Time) {
	if n.keeping.fromPlacer[b.From] == nil {
		n.keeping.fromPlacer[b.From] = &keeper.Sets{}
	}
	for _, packed := range b.Asks {
		a, err := n.keeping.fromPlacer[b.From].Unpack(packed)
		if err != nil {
			n.giveResult(ctx, b.From, keeper.ResultOf(a.Token, target.Report{}, err))
			continue
		}
		w := n.workerOf(a.Worker, a.At)
		r := target.Renewal{Leases: a.Leases, Since: a.Since, Expires: now.Add(gang.LeaseTime), Wait: aligned(now, a.WaitMS)}
		n.spawn(func() {
			rep, err := w.Renew(ctx, r)
			n.post(ctx, func() { n.giveResult(ctx, b.From, keeper.ResultOf(a.Token, rep, err)) })
		})
	}
}

// aligned returns until when to wait for news. All of a keeper's workers are
// waited for until the same moment, so that what has nothing to tell comes back
// together and is one message.
func aligned(now time.Time, waitMS int64) time.Time {
	if waitMS == 0 {
		return time.Time{}
	}
	end := now.Truncate(placer.RenewEvery).Add(placer.RenewEvery)
	if end.Sub(now) < shortestAlign {
		end = end.Add(placer.RenewEvery)
	}
	return end
}

// giveResult gathers results for a placer, from the loop.
func (n *Node) giveResult(ctx context.Context, to string, r keeper.Result) {
	n.keeping.results[to] = append(n.keeping.results[to], r)
	if len(n.keeping.results[to]) == 1 {
		n.spawn(func() { n.sendResults(ctx, to) })
	}
}

func (n *Node) sendResults(ctx context.Context, to string) {
	if err := sleep(ctx, gatherFor); err != nil {
		return
	}
	var body resultBody
	if err := n.ask(ctx, func() {
		body.Results = n.keeping.results[to]
		delete(n.keeping.results, to)
	}); err != nil {
		return
	}
	if err := n.call(ctx, to, "placer.kept", body, nil); err != nil {
		n.log.Info("keeper", "step", "result", "peer", to, "error", err.Error())
		n.post(ctx, func() { delete(n.keeping.fromPlacer, to) })
	}
}
