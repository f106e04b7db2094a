package rpc

import (
	"cmp"
	"context"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/host/peer"
)

// watchMessage is the request of a watch as well as its reply.
type watchMessage struct {
	Row     leader.Row   `json:"row"`
	Version int64        `json:"version"`         // of the configuration in force on the sender
	From    string       `json:"from,omitempty"`  // the sender's address
	StoreUp bool         `json:"storeUp"`         // the store is available to the sender
	Cores   float64      `json:"power,omitempty"` // of the sender
	Peers   []peerInfo   `json:"peers,omitempty"` // hosts to which the store is available, as the leader knows them, largest first
	Zone    string       `json:"zone,omitempty"`  // availability zone of the watcher
	Reach   reachability `json:"reach,omitzero"`  // of the leader
	Mark    int64        `json:"mark,omitempty"`  // leader.Answer.Mark, or leader.Watch.Mark in a request
}

// reachability describes what a leader reaches.
type reachability struct {
	StoreUp bool `json:"storeUp"`         // the store is available to it
	Zones   int  `json:"zones"`           // availability zones with a host that watches it, including its own; 0 if unknown
	Hosts   int  `json:"hosts,omitempty"` // that watch it, and itself; 0 if unknown
}

// peerInfo is a host as the leader knows it.
type peerInfo struct {
	Address string  `json:"address"`
	Cores   float64 `json:"power"`
}

// transferRequest asks a host to take over the leader row.
type transferRequest struct {
	Row     leader.Row `json:"row"`
	Version int64      `json:"version"` // of the leader row
}

// watcher is a host that watches this one, as its last watch described it.
type watcher struct {
	at      time.Time // of its last watch
	storeUp bool      // the store is available to it
	cores   float64
	version int64 // of the configuration in force there
	zone    string
}

// handleWatch records the watcher and answers after watchDelay. If this host does not lead,
// or when its term ends, it redirects the watcher at once. It fetches the watcher's
// configuration if that is newer.
func (e *Endpoint) handleWatch(ctx context.Context, in watchMessage) (any, error) {
	e.recordWatcher(in)
	e.election.Watched(in.From, leader.Watch{Term: in.Row.Term, Mark: in.Mark})
	if in.Version > e.keeper.Version() && in.From != "" {
		go e.fetchConfiguration(context.WithoutCancel(ctx), in.From)
	}
	t := e.election.OwnTerm()
	if t == nil {
		return e.redirect(in.Row.Term)
	}
	select {
	case <-ctx.Done():
	case <-t.Done():
		return e.redirect(in.Row.Term)
	case <-time.After(watchDelay):
	}
	return watchMessage{Row: e.election.Leader(), Version: e.keeper.Version(), Peers: e.listPeers(), Reach: e.ownReach(), Mark: e.election.Mark()}, nil
}

// redirect names the current leader to a host that watches this one for the given term, or
// fails with dispatcher.ErrNotLeading if it knows of no other leader of a newer term. If
// the store is unavailable to the watcher, it cannot read the leader row, and would otherwise
// watch a former leader until the store is available again.
func (e *Endpoint) redirect(term int64) (any, error) {
	if row := e.election.Leader(); row.Term > term && row.Address != e.address {
		return watchMessage{Row: row}, nil
	}
	return nil, dispatcher.ErrNotLeading
}

func (e *Endpoint) recordWatcher(in watchMessage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.watchers[in.From] = watcher{at: time.Now(), storeUp: in.StoreUp, cores: in.Cores, version: in.Version, zone: in.Zone}
}

// ownReach returns what this host reaches as a leader, and raises maxZones accordingly.
func (e *Endpoint) ownReach() reachability {
	up := e.storeUp()
	e.mu.Lock()
	defer e.mu.Unlock()
	zones, hosts := map[string]bool{e.zone: true}, 1
	for _, w := range e.watchers {
		if time.Since(w.at) <= reachableFor { // a zone counts if one of its hosts is reachable
			zones[w.zone] = true
			hosts++
		}
	}
	e.maxZones, e.hosts = max(e.maxZones, len(zones)), hosts
	return reachability{StoreUp: up, Zones: len(zones), Hosts: hosts}
}

// Hosts returns how many hosts the leader has reached when it last reported that, itself included; 0 if
// no leader has. A leader's own count is as of the last watch that it answered.
func (e *Endpoint) Hosts() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.hosts
}

// storePeerAddresses returns the addresses of the hosts that watch this one, have access to
// the store and have at least minCores cores, largest first.
func (e *Endpoint) storePeerAddresses(minCores float64) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	peers := e.storePeers(minCores)
	list := make([]string, 0, len(peers))
	for _, p := range peers {
		list = append(list, p.Address)
	}
	return list
}

// storePeers returns the hosts of storePeerAddresses, and forgets the watchers whose last
// watch is older than watcherExpiry. The caller holds e.mu.
func (e *Endpoint) storePeers(minCores float64) []peerInfo {
	var list []peerInfo
	for address, w := range e.watchers {
		switch {
		case time.Since(w.at) > watcherExpiry:
			delete(e.watchers, address)
		case w.storeUp && w.cores >= minCores && time.Since(w.at) <= reachableFor:
			list = append(list, peerInfo{Address: address, Cores: w.cores})
		}
	}
	slices.SortFunc(list, func(a, b peerInfo) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Address, b.Address))
	})
	return list
}

// Rank implements leader.Peers: it returns how many hosts precede this one in the leader's
// last list, largest first, and whether the first has at least ratio times this host's
// cores. A host that is not in the list ranks after all listed ones: it may have had no
// access to the store, or it had just started. While the store is unavailable to all hosts
// the list is empty, and the one before is used.
func (e *Endpoint) Rank(ratio float64) (rank int, muchLarger bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rank = slices.IndexFunc(e.ranking, func(p peerInfo) bool { return p.Address == e.address })
	if rank < 0 {
		rank = len(e.ranking)
	}
	return rank, len(e.ranking) > 0 && e.ranking[0].Cores >= e.cores*ratio
}

// Size and age of the list of hosts that is sent to watchers.
const (
	// maxListedPeers bounds the number of hosts in the list. A watcher needs two to relay
	// requests, and its rank if it is among the first ten that may lead next. With all
	// hosts listed, the leader's traffic would grow with the square of their number: with
	// 300 hosts the lists were three fifths of all bytes that it sent.
	maxListedPeers = 12
	// listMaxAge is how long a list is reused: a quarter of the time between two watches of
	// a host.
	listMaxAge = 100 * time.Millisecond
)

// listPeers returns the maxListedPeers largest hosts that watch this one and to which the
// store is available. The list may be listMaxAge old.
func (e *Endpoint) listPeers() []peerInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listed == nil || time.Since(e.listedAt) >= listMaxAge {
		list := e.storePeers(0)
		e.listed = append([]peerInfo{}, list[:min(len(list), maxListedPeers)]...)
		e.listedAt = time.Now()
	}
	return e.listed
}

// Watch implements leader.Peers. It also reports this host's state to the leader, and records
// what the leader reports. If the host at the address does not lead, and the store is
// unavailable to this host, it asks other hosts which leader they watch.
func (e *Endpoint) Watch(ctx context.Context, address string, w leader.Watch) (leader.Answer, error) {
	a, err := e.watch(ctx, address, w)
	if err == nil || e.storeUp() {
		return a, err
	}
	for _, other := range e.otherPeers(address) {
		if a, otherErr := e.watch(ctx, other, leader.Watch{Term: w.Term}); otherErr == nil && a.Row.Term > w.Term {
			return a, nil
		}
	}
	return leader.Answer{}, err
}

// otherPeers returns the addresses of the largest hosts that the last leader listed, at most
// maxOtherPeers, without this one and the excluded one.
func (e *Endpoint) otherPeers(excluded string) (list []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.ranking {
		if p.Address != e.address && p.Address != excluded && len(list) < maxOtherPeers {
			list = append(list, p.Address)
		}
	}
	return list
}

// watch watches one host. From the answer of a leader it records the list of hosts and the
// reachability, and fetches the leader's configuration if that is newer. A host that does
// not lead may name the leader, which is returned, but reports nothing else. If there is no
// answer, the leader's last report is no longer used.
func (e *Endpoint) watch(ctx context.Context, address string, w leader.Watch) (leader.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	var out watchMessage
	in := watchMessage{Row: leader.Row{Term: w.Term}, Mark: w.Mark, Version: e.keeper.Version(), From: e.address, StoreUp: e.storeUp(), Cores: e.cores, Zone: e.zone}
	if err := e.transport.Call(ctx, address, methodWatch, in, &out); err != nil {
		if !peer.Answered(err) {
			e.leaderLost()
		}
		return leader.Answer{}, err
	}
	if out.Row.Address != address {
		return leader.Answer{Row: out.Row}, nil
	}
	e.mu.Lock()
	e.peers, e.reach, e.leaderReportedAt = out.Peers, out.Reach, time.Now()
	e.maxZones = max(e.maxZones, out.Reach.Zones)
	if out.Reach.Hosts > 0 {
		e.hosts = out.Reach.Hosts
	}
	if len(out.Peers) > 0 {
		e.ranking = out.Peers
	}
	e.mu.Unlock()
	if out.Version > e.keeper.Version() {
		go e.fetchConfiguration(context.WithoutCancel(ctx), address)
	}
	return leader.Answer{Row: out.Row, Mark: out.Mark}, nil
}

// leaderLost records that the leader is unreachable, so that its last report is no longer
// used.
func (e *Endpoint) leaderLost() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaderReportedAt = time.Time{}
}

// LeaderReports reports whether another host leads and has reported a short time ago that the
// store is available to it. It also names the leader's configuration then, so that this host
// learns of a newer one without the store.
func (e *Endpoint) LeaderReports() bool {
	if e.election.OwnTerm() != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reach.StoreUp && time.Since(e.leaderReportedAt) < reachableFor
}

// maxOtherPeers bounds how many hosts are asked which leader they watch.
const maxOtherPeers = 3

// maxCandidates bounds how many hosts are asked whether they could lead.
const maxCandidates = 3

// Candidates implements leader.Peers. It asks the maxCandidates largest hosts only. A host
// that last reported access to the store may have lost it since, so each is asked to read
// the leader row now.
func (e *Endpoint) Candidates(ctx context.Context, minCores float64) []string {
	ctx, cancel := context.WithTimeout(ctx, candidatesTimeout)
	defer cancel()
	list := e.storePeerAddresses(minCores)
	list = list[:min(len(list), maxCandidates)]
	answers := make(chan string, len(list))
	for _, address := range list {
		go func() {
			if e.transport.Call(ctx, address, methodReadRow, nil, nil) != nil {
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

// TransferLeadership implements leader.Peers. If the host does not answer within callTimeout,
// it returns false although the host may have taken over.
func (e *Endpoint) TransferLeadership(ctx context.Context, address string, r leader.Row, version int64) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var accepted bool
	err := e.transport.Call(ctx, address, methodTransfer, transferRequest{Row: r, Version: version}, &accepted)
	return err == nil && accepted
}

// fetchConfiguration gets the configuration of a peer and puts it in force if it is newer and
// valid. Failures are ignored: the next watch causes another attempt.
func (e *Endpoint) fetchConfiguration(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var stored []byte
	if err := e.transport.Call(ctx, address, methodCatalog, nil, &stored); err != nil || len(stored) == 0 {
		return
	}
	if ok, err := e.keeper.Offer(stored); err == nil && ok {
		e.adopted(e.keeper.Version(), address)
	}
}
