package leader_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/standin/rows"
)

// lose disconnects a host from the store and from all others for good.
func (n *network) lose(h *host) {
	h.link.SetFaults(rows.Faults{Unresponsive: true})
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, h.name)
}

// awaitLeader waits until a host other than those that are lost leads.
func awaitLeader(hosts []*host, lost map[*host]bool) *host {
	for {
		for _, h := range hosts {
			if h.leads() && !lost[h] {
				return h
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// startNetwork starts eight hosts that reach each other.
func startNetwork(table *rows.Table, seed uint64) (*network, []*host) {
	n, hosts := &network{hosts: map[string]*host{}}, []*host(nil)
	for i, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		hosts = append(hosts, n.start(table, name, seed*10+uint64(i)))
	}
	return n, hosts
}

// Leaders lose power one after the other. Guards against a next leader that awaits the leases of the one before for
// longer than the longest lease, while the store was available all the time.
func TestLeasesOfLostLeaderAreAwaitedForALease(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			table := rows.New(storeLatency)
			n, hosts := startNetwork(table, seed)
			lost, lostAt := map[*host]bool{}, []time.Time(nil)
			time.Sleep(3*time.Second + time.Duration(seed)*25*time.Millisecond)
			for range 3 {
				h := awaitLeader(hosts, lost)
				time.Sleep(time.Duration(seed) * 150 * time.Millisecond)
				n.lose(h)
				lost[h] = true
				lostAt = append(lostAt, time.Now())
			}
			awaitLeader(hosts, lost)
			for _, h := range hosts {
				h.stop()
			}
			checkLeases(t, seed, hosts)
			for _, at := range lostAt {
				next := firstTermAfter(hosts, at)
				const slack = 500 * time.Millisecond // between two watches, until the last renewal is seen
				if wait := next.earlierEnd.Sub(at); wait > longestLease+slack {
					t.Errorf("seed %d: leases are awaited until %s after a leader was lost", seed, wait)
				}
			}
		})
	}
}

// firstTermAfter returns the first term that began after a time.
func firstTermAfter(hosts []*host, at time.Time) *ledTerm {
	var first *ledTerm
	for _, h := range hosts {
		for _, l := range h.led {
			if l.beganAt.After(at) && (first == nil || l.beganAt.Before(first.beganAt)) {
				first = l
			}
		}
	}
	return first
}

// The store is unavailable to all hosts for longer than leases last. Guards against a leader that ends all leases
// although no other host can lead: it acts on for Grace, but only if it hears from all hosts.
func TestLeaderActsOnWhileTheStoreIsAwayForAll(t *testing.T) {
	for name, lose := range map[string]bool{"all hosts watch it": false, "one host is silent": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := rows.New(storeLatency)
				n, hosts := startNetwork(table, 1)
				time.Sleep(3 * time.Second)
				first := awaitLeader(hosts, nil)
				term, renewedBy := first.OwnTerm(), time.Now()
				for _, h := range hosts {
					h.link.SetFaults(rows.Faults{Unresponsive: true})
				}
				if lose {
					for _, h := range hosts {
						if h != first {
							n.lose(h)
							break
						}
					}
				}
				time.Sleep(leader.Grace - 2*time.Second)
				is.Equal(term.Valid(time.Now()), !lose)
				is.True(!term.Deadline().After(renewedBy.Add(leader.Grace)))
				for _, h := range hosts {
					h.stop()
				}
				checkLeases(t, 1, hosts)
			})
		})
	}
}

// unreliablePeers implements leader.Peers over a network on which messages to some hosts are lost, and others arrive
// late although their sender has given up.
type unreliablePeers struct {
	networkPeers
	rnd  *rand.Rand
	bad  *sync.Map     // by address: whether messages from and to it are unreliable
	late time.Duration // delay of a late message at most
}

func (p *unreliablePeers) isBad(address string) bool {
	bad, ok := p.bad.Load(address)
	return ok && bad.(bool)
}

// Watch implements leader.Peers.
func (p *unreliablePeers) Watch(ctx context.Context, address string, w leader.Watch) (leader.Answer, error) {
	if !p.isBad(address) && !p.isBad(p.own) {
		return p.networkPeers.Watch(ctx, address, w)
	}
	switch h := p.network.host(address); p.rnd.IntN(4) {
	case 0:
		return p.networkPeers.Watch(ctx, address, w)
	case 1:
		if h != nil {
			late := time.Duration(p.rnd.Int64N(int64(p.late)))
			time.AfterFunc(late, func() { h.Watched(p.own, w) })
		}
	}
	time.Sleep(900 * time.Millisecond)
	return leader.Answer{}, errGone
}

// The store goes away for all hosts or for some, messages between hosts are lost or late, and hosts start again at
// their addresses. No leader may take a lease of an earlier one to have lapsed that may be in force.
func TestWatchesKeepLeasesAwaited(t *testing.T) {
	for seed := range uint64(150) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 11))
			table := rows.New(storeLatency)
			n := &network{hosts: map[string]*host{}}
			bad := &sync.Map{}
			var hosts, stopped []*host
			started := uint64(0)
			start := func(name string) *host {
				started++
				peers := &unreliablePeers{networkPeers: networkPeers{network: n, own: name}, rnd: rand.New(rand.NewPCG(seed, 100+started)), bad: bad, late: 5 * time.Second}
				h := startHostWithPeers(peers, table, name, seed*100+started)
				n.mu.Lock()
				defer n.mu.Unlock()
				h.network, n.hosts[name] = n, h
				return h
			}
			for _, name := range []string{"a", "b", "c", "d"} {
				hosts = append(hosts, start(name))
			}
			time.Sleep(4 * time.Second)
			for range 6 {
				for i, h := range hosts {
					faulty := rnd.IntN(3) > 0
					h.link.SetFaults(rows.Faults{Unresponsive: faulty && rnd.IntN(2) == 0, Refuse: faulty})
					bad.Store(h.name, rnd.IntN(5) == 0)
					if rnd.IntN(8) == 0 {
						h.link.SetFaults(rows.Faults{Unresponsive: true}) // nothing of it gets out any more
						h.stop()
						stopped = append(stopped, h)
						hosts[i] = start(h.name)
					}
				}
				time.Sleep(time.Second + time.Duration(rnd.Int64N(int64(9*time.Second))))
				if rnd.IntN(2) == 0 {
					for _, h := range hosts {
						h.link.SetFaults(rows.Faults{})
					}
					time.Sleep(time.Duration(rnd.Int64N(int64(3 * time.Second))))
				}
			}
			time.Sleep(leader.Grace)
			for _, h := range hosts {
				h.stop()
			}
			checkLeases(t, seed, append(hosts, stopped...))
		})
	}
}
