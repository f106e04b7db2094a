package exchange

import (
	"cmp"
	"context"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/host/peer"
)

// watchBody is both sides of a watch.
type watchBody struct {
	Row     leader.Row `json:"row"`
	Version int64      `json:"version"`         // of the configuration in force on the sender
	From    string     `json:"from,omitempty"`  // the sender's address
	StoreUp bool       `json:"storeUp"`         // the store serves the sender
	Power   float64    `json:"power,omitempty"` // cores that the sender has
	Peers   []peerBody `json:"peers,omitempty"` // hosts that the store serves, as the leader knows them, the most powerful first
	Zone    string     `json:"zone,omitempty"`  // availability zone of the watcher
	Reach   reachBody  `json:"reach,omitzero"`  // of the leader
}

// reachBody says what a leader reaches.
type reachBody struct {
	StoreUp bool `json:"storeUp"` // the store serves it
	Zones   int  `json:"zones"`   // availability zones with a host that watches it, its own among them; 0: not known
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

// watcher is a host that watches the leader.
type watcher struct {
	at      time.Time // of its last watch
	storeUp bool
	power   float64
	version int64 // of the configuration in force there
	zone    string
}

// watched answers a watcher after a while, or at once when the term ends, and
// gets its configuration if that is newer.
func (x *Exchange) watched(ctx context.Context, in watchBody) (any, error) {
	x.noteWatcher(in)
	if in.Version > x.keeper.Version() && in.From != "" {
		go x.fetch(context.WithoutCancel(ctx), in.From)
	}
	t := x.leading.OwnTerm()
	if t == nil {
		return x.successor(in.Row.Term)
	}
	select {
	case <-ctx.Done():
	case <-t.Done():
		return x.successor(in.Row.Term)
	case <-time.After(watchWait):
	}
	return watchBody{Row: x.leading.Leader(), Version: x.keeper.Version(), Peers: x.listed(), Reach: x.ownReach()}, nil
}

// successor tells a watcher of a term whom to watch instead. One that the store turns away
// cannot read the leader row, and would ask a leader of old until the store serves it again.
func (x *Exchange) successor(term int64) (any, error) {
	if row := x.leading.Leader(); row.Term > term && row.Address != x.own {
		return watchBody{Row: row}, nil
	}
	return nil, dispatcher.ErrNotLeading
}

func (x *Exchange) noteWatcher(in watchBody) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.seen[in.From] = watcher{at: time.Now(), storeUp: in.StoreUp, power: in.Power, version: in.Version, zone: in.Zone}
}

// ownReach returns what this host reaches while it leads.
func (x *Exchange) ownReach() reachBody {
	up := x.up()
	x.mu.Lock()
	defer x.mu.Unlock()
	zones := map[string]bool{x.zone: true}
	for _, w := range x.seen {
		if time.Since(w.at) <= inTouchFor { // one of a zone is enough
			zones[w.zone] = true
		}
	}
	x.mostZones = max(x.mostZones, len(zones))
	return reachBody{StoreUp: up, Zones: len(zones)}
}

// served returns the hosts that watch this one and that the store serves, with at
// least so much power, the most powerful first.
func (x *Exchange) served(least float64) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	peers := x.servedPeers(least)
	list := make([]string, 0, len(peers))
	for _, p := range peers {
		list = append(list, p.Address)
	}
	return list
}

// servedPeers does what served does; x.mu is held.
func (x *Exchange) servedPeers(least float64) []peerBody {
	var list []peerBody
	for address, w := range x.seen {
		switch {
		case time.Since(w.at) > watcherGone:
			delete(x.seen, address)
		case w.storeUp && w.power >= least && time.Since(w.at) <= inTouchFor:
			list = append(list, peerBody{Address: address, Power: w.power})
		}
	}
	slices.SortFunc(list, func(a, b peerBody) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// Rank implements leader.Peers. A host that the leader's last list lacks comes after
// all that are in it: the store may not have served it, or it had just begun. While
// the store serves nobody the list is empty; what counts is the one before.
func (x *Exchange) Rank(muchMore float64) (rank int, outpowered bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	rank = slices.IndexFunc(x.ranked, func(p peerBody) bool { return p.Address == x.own })
	if rank < 0 {
		rank = len(x.ranked)
	}
	return rank, len(x.ranked) > 0 && x.ranked[0].Power >= x.power*muchMore
}

// Figures of what a watcher is told of other hosts.
const (
	// listedPeers bounds the hosts that are told. A watcher needs two to relay by
	// and its place among the first ten that may lead next. With all of them, what
	// the leader sends would grow with the square of the hosts: at 300 it was three
	// fifths of all its bytes.
	listedPeers = 12
	// listedFor is how long one list is told to all that ask: a quarter of the time
	// between two watches of a host.
	listedFor = 100 * time.Millisecond
)

// listed returns the hosts that the store serves, the most powerful, for watchers.
func (x *Exchange) listed() []peerBody {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.told == nil || time.Since(x.toldAt) >= listedFor {
		list := x.servedPeers(0)
		x.told = append([]peerBody{}, list[:min(len(list), listedPeers)]...)
		x.toldAt = time.Now()
	}
	return x.told
}

// Watch implements leader.Peers. If the host at the address does not lead and the store does
// not serve this one, others are asked whom they watch.
func (x *Exchange) Watch(ctx context.Context, address string, term int64) (leader.Row, error) {
	row, err := x.watch(ctx, address, term)
	if err == nil || x.up() {
		return row, err
	}
	for _, other := range x.known(address) {
		if row, otherErr := x.watch(ctx, other, term); otherErr == nil && row.Term > term {
			return row, nil
		}
	}
	return leader.Row{}, err
}

// known returns hosts that the last leader named, but for this one and the one given.
func (x *Exchange) known(but string) (list []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.ranked {
		if p.Address != x.own && p.Address != but && len(list) < askedOthers {
			list = append(list, p.Address)
		}
	}
	return list
}

// watch watches one host. One that does not lead may name the leader, and tells nothing of
// what is reached.
func (x *Exchange) watch(ctx context.Context, address string, term int64) (leader.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	var out watchBody
	in := watchBody{Row: leader.Row{Term: term}, Version: x.keeper.Version(), From: x.own, StoreUp: x.up(), Power: x.power, Zone: x.zone}
	if err := x.net.Call(ctx, address, methodWatch, in, &out); err != nil {
		if !peer.Answered(err) {
			x.lose()
		}
		return leader.Row{}, err
	}
	if out.Row.Address != address {
		return out.Row, nil
	}
	x.mu.Lock()
	x.peers, x.reach, x.heard = out.Peers, out.Reach, time.Now()
	x.mostZones = max(x.mostZones, out.Reach.Zones)
	if len(out.Peers) > 0 {
		x.ranked = out.Peers
	}
	x.mu.Unlock()
	if out.Version > x.keeper.Version() {
		go x.fetch(context.WithoutCancel(ctx), address)
	}
	return out.Row, nil
}

// lose notes that the leader is not reached: what it told last does not hold any more.
func (x *Exchange) lose() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.heard = time.Time{}
}

// askedOthers bounds how many hosts are asked whom they watch.
const askedOthers = 3

// askedSuccessors bounds how many hosts are asked whether they could succeed.
const askedSuccessors = 3

// Candidates implements leader.Peers. A host that last said that the store serves
// it may not have asked since: each is asked to read the row now.
func (x *Exchange) Candidates(ctx context.Context, least float64) []string {
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

// TransferLeadership implements leader.Peers.
func (x *Exchange) TransferLeadership(ctx context.Context, address string, r leader.Row, version int64) bool {
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
