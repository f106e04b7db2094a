package leader_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/standin/rows"
)

const storeLatency = 5 * time.Millisecond

var errGone = errors.New("does not answer")

// noPeers implements leader.Peers for a host that reaches no other one.
type noPeers struct{}

func (noPeers) Watch(context.Context, string, leader.Watch) (leader.Answer, error) {
	return leader.Answer{}, errGone
}
func (noPeers) Candidates(context.Context, float64) []string                       { return nil }
func (noPeers) Rank(float64) (int, bool)                                           { return 0, false }
func (noPeers) TransferLeadership(context.Context, string, leader.Row, int64) bool { return false }

// network is a set of hosts that reach each other.
type network struct {
	mu    sync.Mutex
	hosts map[string]*host
}

// start starts a host and adds it to the network.
func (n *network) start(table *rows.Table, name string, seed uint64) *host {
	h := startHostWithPeers(networkPeers{network: n, own: name}, table, name, seed)
	n.mu.Lock()
	defer n.mu.Unlock()
	h.network, n.hosts[name] = n, h
	return h
}

func (n *network) host(name string) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts[name]
}

// networkPeers implements leader.Peers for one host of a network. It answers as package
// rpc does.
type networkPeers struct {
	noPeers
	network *network
	own     string
}

// Watch implements leader.Peers.
func (p networkPeers) Watch(ctx context.Context, address string, w leader.Watch) (leader.Answer, error) {
	h := p.network.host(address)
	if h != nil && !h.leads() && h.Leader().Term > w.Term && h.Leader().Address != address {
		return leader.Answer{Row: h.Leader()}, nil
	}
	if h == nil || !h.leads() || p.network.host(p.own) == nil {
		return leader.Answer{}, errGone
	}
	h.Watched(p.own, w)
	time.Sleep(400 * time.Millisecond)
	return leader.Answer{Row: h.Leader(), Mark: h.Mark()}, ctx.Err()
}

// Candidates implements leader.Peers. No host is larger than another.
func (p networkPeers) Candidates(ctx context.Context, minCores float64) (candidates []string) {
	if minCores > 0 {
		return nil
	}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		if h := p.network.host(name); name != p.own && h != nil && h.ReadRow(ctx) == nil {
			candidates = append(candidates, name)
		}
	}
	return candidates
}

// TransferLeadership implements leader.Peers.
func (p networkPeers) TransferLeadership(ctx context.Context, address string, r leader.Row, version int64) bool {
	h := p.network.host(address)
	return h != nil && h.AcceptTransfer(ctx, r, version)
}

// host takes part in an election.
type host struct {
	*leader.Election
	name    string
	network *network // nil if the host reaches no other one
	link    *rows.Link
	terms   []int64 // in which it led
	led     []*ledTerm
	cancel  context.CancelFunc
	done    chan struct{}
}

// startHost starts a host that reaches no other one.
func startHost(table *rows.Table, name string, seed uint64) *host {
	return startHostWithPeers(noPeers{}, table, name, seed)
}

// startHostWithPeers starts a host. Its sleeps between reads of the row are random by seed.
func startHostWithPeers(peers leader.Peers, table *rows.Table, name string, seed uint64) *host {
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{name: name, link: rows.NewLink(table, rand.New(rand.NewPCG(seed, 1))), cancel: cancel, done: make(chan struct{})}
	lead := func(ctx context.Context, t *leader.Term, earlier leader.Predecessors) error {
		h.terms = append(h.terms, t.Number())
		l := &ledTerm{Term: t, beganAt: time.Now(), earlierEnd: earlier.LeasesEnd(longestLease)}
		h.led = append(h.led, l)
		<-ctx.Done()
		l.endedAt = time.Now()
		return ctx.Err()
	}
	randN := rand.New(rand.NewPCG(seed, 2)).Int64N
	monitor := store.NewMonitor(h.link, leader.RowKey, func(up bool, _ error) { h.StoreChanged(up) })
	h.Election = leader.New(monitor, peers, lead, name+"#1", name, logr.Discard(), leader.WithClock(time.Now), leader.WithRandom(randN), leader.WithLease(longestLease, longestLease), leader.WithCores(1), leader.WithStoreLatency(monitor.TypicalLatency))
	go monitor.Run(ctx)
	go func() {
		h.Run(ctx)
		close(h.done)
	}()
	return h
}

// ledTerm is a term in which a host led.
type ledTerm struct {
	*leader.Term
	beganAt, endedAt time.Time
	earlierEnd       time.Time // when it took all leases of earlier terms to have lapsed
}

// longestLease is the longest lease that a leader grants.
const longestLease = 6 * time.Second

// leasesEnd returns when the last lease of the term may have lapsed.
func (l *ledTerm) leasesEnd() time.Time {
	end := l.endedAt.Add(longestLease)
	if l.Deadline().Before(end) {
		return l.Deadline()
	}
	return end
}

// checkLeases fails the test if a leader may have taken leases of an earlier term to have lapsed
// that had not. It is called once all terms have ended.
func checkLeases(t *testing.T, seed uint64, hosts []*host) {
	t.Helper()
	var all []*ledTerm
	for _, h := range hosts {
		all = append(all, h.led...)
	}
	for _, before := range all {
		for _, after := range all {
			if before.Number() < after.Number() && before.leasesEnd().After(after.earlierEnd) {
				t.Errorf("seed %d: leases of term %d may last %s longer than term %d expects", seed, before.Number(), before.leasesEnd().Sub(after.earlierEnd), after.Number())
			}
		}
	}
}

func (h *host) leads() bool { return h.OwnTerm() != nil }

func countLeaders(hosts []*host) (n int) {
	for _, h := range hosts {
		if h.leads() {
			n++
		}
	}
	return n
}

// stop ends the host's part in the election. If it leads, it resigns.
func (h *host) stop() {
	h.cancel()
	<-h.done
}

// Several hosts start at the same time, and one of them leads. It is stopped and resigns:
// another one leads at once, with a higher term.
func TestOneHostLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows.New(storeLatency)
		var hosts []*host
		for i := range 5 {
			hosts = append(hosts, startHost(table, string(rune('a'+i)), uint64(i)))
		}
		time.Sleep(2 * time.Second)
		is.Equal(countLeaders(hosts), 1)
		for i, h := range hosts {
			if h.leads() {
				h.stop()
				hosts = append(hosts[:i:i], hosts[i+1:]...)
				break
			}
		}
		time.Sleep(leader.ReadInterval * 2)
		is.Equal(countLeaders(hosts), 1)
		is.Equal(hosts[0].Leader().Term, int64(2))
		for _, h := range hosts {
			h.stop()
		}
	})
}

// The leader is disconnected from the store and does not know whether others reach it.
// Its row does not change for Lease, and another host takes it over. The old leader may
// send orders for no longer than Grace.
func TestUnchangedRowIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows.New(storeLatency)
		a, b := startHost(table, "a", 1), (*host)(nil)
		time.Sleep(time.Second)
		is.True(a.leads())
		b = startHost(table, "b", 2)
		time.Sleep(3 * time.Second)
		is.True(!b.leads())
		term := a.OwnTerm()
		a.link.SetFaults(rows.Faults{Unresponsive: true})
		time.Sleep(leader.Lease / 2)
		is.True(!b.leads())
		time.Sleep(leader.Lease + 2*leader.ReadInterval)
		is.True(b.leads())
		is.Equal(b.OwnTerm().Number(), int64(2))
		time.Sleep(leader.Grace)
		is.True(!term.Valid(time.Now()))
		is.True(!a.leads())
		a.stop()
		b.stop()
	})
}

// runEightHosts has eight hosts elect a leader, calls disturb with them, and returns the
// terms before and after. It fails if no single host leads afterwards, or if two hosts led
// in the same term. The hosts' sleeps between reads of the row are random by seed.
func runEightHosts(t *testing.T, seed uint64, disturb func(hosts []*host)) (before, after int64) {
	table := rows.New(storeLatency)
	peers := &network{hosts: map[string]*host{}}
	var hosts []*host
	for i, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		hosts = append(hosts, peers.start(table, name, seed*10+uint64(i)))
	}
	time.Sleep(3 * time.Second)
	before = hosts[0].Leader().Term
	disturb(hosts)
	time.Sleep(3 * time.Second)
	if n := countLeaders(hosts); n != 1 {
		t.Errorf("seed %d: %d hosts lead, want 1", seed, n)
	}
	after = hosts[0].Leader().Term
	holder := map[int64]string{}
	for _, h := range hosts {
		h.stop()
		for _, n := range h.terms {
			if other, taken := holder[n]; taken {
				t.Errorf("seed %d: term %d was held by both %s and %s", seed, n, other, h.name)
			}
			holder[n] = h.name
		}
	}
	checkLeases(t, seed, hosts)
	return before, after
}

// Leaders lose and regain the store in turn, their writes are executed late or not answered, and
// they resign soon after they began. No leader may take a lease of an earlier one to have lapsed
// that may be in force.
func TestLeasesOfEarlierLeadersAreAwaited(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 9))
			runEightHosts(t, seed, func(hosts []*host) {
				faults := []rows.Faults{
					{Unresponsive: true},
					{Refuse: true},
					{LostAnswers: 0.8},
					{LateWrites: 0.7, LateBy: 2 * time.Second},
					{LateWrites: 0.5, LateBy: 4 * time.Second, LostAnswers: 0.5},
				}
				for range 6 {
					for _, h := range hosts {
						if h.leads() {
							h.link.SetFaults(faults[rnd.IntN(len(faults))])
						}
					}
					time.Sleep(500*time.Millisecond + time.Duration(rnd.IntN(3500))*time.Millisecond)
					if rnd.IntN(2) == 0 {
						for _, h := range hosts {
							h.link.SetFaults(rows.Faults{})
						}
					}
				}
				for _, h := range hosts {
					h.link.SetFaults(rows.Faults{})
				}
				time.Sleep(leader.Grace)
			})
		})
	}
}

// A leader is replaced without knowing it, and the next one resigns soon after. The third must
// await the leases of the first, too.
func TestLeasesAreAwaitedAcrossAShortTerm(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			table := rows.New(storeLatency)
			hosts := []*host{startHost(table, "a", seed)}
			time.Sleep(time.Second)
			hosts = append(hosts, startHost(table, "b", seed+100), startHost(table, "c", seed+200))
			time.Sleep(time.Second)
			hosts[0].link.SetFaults(rows.Faults{Unresponsive: true})
			for !hosts[1].leads() && !hosts[2].leads() {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(time.Duration(seed) * 200 * time.Millisecond)
			for _, h := range hosts[1:] {
				if h.leads() {
					h.stop()
				}
			}
			time.Sleep(2 * time.Second)
			for _, h := range hosts {
				h.stop()
			}
			checkLeases(t, seed, hosts)
		})
	}
}

// A renewal is written late, and the leader's next attempt finds it. The leader must not count it
// from that attempt on: another host has seen it before, and counts from then.
func TestRenewalWrittenLateIsNotCountedFromALaterAttempt(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			table := rows.New(storeLatency)
			a := startHost(table, "a", seed)
			time.Sleep(time.Second)
			b := startHost(table, "b", seed+100)
			const betweenRenewals = 700 * time.Millisecond // into the half second between two of them
			time.Sleep(leader.RenewInterval + betweenRenewals)
			a.link.SetFaults(rows.Faults{LateWrites: 1, LateBy: betweenRenewals})
			time.Sleep(leader.RenewInterval)
			a.link.SetFaults(rows.Faults{Refuse: true})
			time.Sleep(leader.RenewInterval)
			a.link.SetFaults(rows.Faults{})
			time.Sleep(leader.RenewInterval)
			a.link.SetFaults(rows.Faults{Unresponsive: true})
			time.Sleep(leader.Grace)
			hosts := []*host{a, b}
			for _, h := range hosts {
				h.stop()
			}
			checkLeases(t, seed, hosts)
		})
	}
}

// The store is unavailable for four seconds or longer. The leader is healthy and answers
// its watchers, but its row does not change in that time. Once the store is back, a watcher
// that has not read the row for a second must not take it over, and the leader, whose last
// write times out just then, must not conclude that the store refuses only itself, and
// resign. Otherwise the next leader has to restore the state of all running tasks. Calls are
// refused for even seeds and unanswered for odd ones, and the outage grows with the seed.
func TestLeaderKeepsTermThroughStoreOutage(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			before, after := runEightHosts(t, seed, func(hosts []*host) {
				for _, h := range hosts {
					h.link.SetFaults(rows.Faults{Refuse: seed%2 == 0, Unresponsive: seed%2 == 1})
				}
				time.Sleep(4*time.Second + time.Duration(seed)*67*time.Millisecond)
				for _, h := range hosts {
					h.link.SetFaults(rows.Faults{})
				}
			})
			if after != before {
				t.Errorf("seed %d: term %d, want %d", seed, after, before)
			}
		})
	}
}

// The store refuses the leader and serves the other hosts. The leader transfers the
// leadership within Lease, before its row could be taken over.
func TestLeaderRefusedByStoreTransfersLeadership(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			before, after := runEightHosts(t, seed, func(hosts []*host) {
				var refusedAt time.Time
				for _, h := range hosts {
					if h.leads() {
						h.link.SetFaults(rows.Faults{Refuse: true})
						refusedAt = time.Now()
					}
				}
				for countLeaders(hosts) != 1 || hosts[0].Leader().Term+hosts[1].Leader().Term < 3 {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(refusedAt); took > leader.Lease {
					t.Errorf("seed %d: another host led after %s", seed, took)
				}
			})
			if after < before {
				t.Errorf("seed %d: term %d, want at least %d", seed, after, before)
			}
		})
	}
}

// The store refuses the leader and some other hosts. The leader transfers the leadership,
// and the hosts that cannot read the row ask it which host leads: after four seconds each of
// them watches the new leader.
func TestHostsRefusedByStoreFollowNextLeader(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			runEightHosts(t, seed, func(hosts []*host) {
				refused := map[*host]bool{}
				for i, h := range hosts {
					if h.leads() || i%3 == 0 {
						h.link.SetFaults(rows.Faults{Refuse: true})
						refused[h] = true
					}
				}
				time.Sleep(4 * time.Second)
				for h := range refused {
					if watched := h.network.host(h.Leader().Address); watched == nil || !watched.leads() {
						t.Errorf("seed %d: %s watches %q, which does not lead", seed, h.name, h.Leader().Address)
					}
				}
				for h := range refused {
					h.link.SetFaults(rows.Faults{})
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// The leader is disconnected from the store, another host takes the row over, and the
// connection is restored while the first one reads back its last write. It finds the new
// row and must not overwrite it, using the version just read: the next host to take over
// would get a term that is already in use, and two leaders would start the same tasks
// with one fencing token. The seed sets for how long the first leader is disconnected.
func TestSupersededLeaderDoesNotOverwriteRow(t *testing.T) {
	for seed := range uint64(80) {
		synctest.Test(t, func(t *testing.T) {
			runEightHosts(t, seed, func(hosts []*host) {
				for _, h := range hosts {
					if h.leads() {
						h.link.SetFaults(rows.Faults{Unresponsive: true})
						time.Sleep(time.Second + time.Duration(seed)*50*time.Millisecond)
						h.link.SetFaults(rows.Faults{})
						break
					}
				}
				time.Sleep(2 * time.Second)
				for _, h := range hosts { // the present leader is superseded as well
					if h.leads() {
						h.link.SetFaults(rows.Faults{Unresponsive: true})
					}
				}
				time.Sleep(4 * time.Second)
				for _, h := range hosts {
					h.link.SetFaults(rows.Faults{})
				}
				time.Sleep(leader.Grace)
			})
		})
	}
}

// slowPeers answers slowly that there is no larger host.
type slowPeers struct{ noPeers }

// Candidates implements leader.Peers.
func (slowPeers) Candidates(ctx context.Context, minCores float64) []string {
	if minCores > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(1500 * time.Millisecond):
		}
	}
	return nil
}

// A leader checks every two seconds for a larger host, and under load the others are slow
// to answer. The leader must renew its row meanwhile: otherwise another small host takes
// it over and fails in the same way.
func TestSlowCandidateCheckDoesNotDelayRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows.New(storeLatency)
		a := startHostWithPeers(slowPeers{}, table, "a", 1)
		time.Sleep(time.Second)
		b := startHostWithPeers(slowPeers{}, table, "b", 2)
		time.Sleep(20 * time.Second)
		is.True(a.leads())
		is.Equal(a.Leader().Term, int64(1))
		a.stop()
		b.stop()
	})
}

// The store does the write that makes a host leader, and the answer is lost. The host reads
// the row back and leads.
func TestLostAnswerIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows.New(storeLatency)
		a := startHost(table, "a", 1)
		a.link.SetFaults(rows.Faults{LostAnswers: 1})
		time.Sleep(3 * time.Second)
		is.True(a.leads())
		is.Equal(a.OwnTerm().Number(), int64(1))
		a.stop()
	})
}

// A row that cannot be decoded is taken over like one whose holder is gone.
func TestMalformedRowIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows.New(storeLatency)
		table.Put(leader.RowKey, []byte("{nonsense"))
		a := startHost(table, "a", 1)
		time.Sleep(3 * time.Second)
		is.True(a.leads())
		a.stop()
	})
}

// DecodeRow returns either a row or an error for any value.
func FuzzDecodeRow(f *testing.F) {
	for _, s := range []string{"", "{}", `{"term":7,"holder":"a#1"}`, `{"term":"x"}`, "\xff", "[]"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		if r, err := leader.DecodeRow(value); err != nil && r != (leader.Row{}) {
			t.Fatal("row and error returned together")
		}
	})
}

// The store does every write of the leader shortly after the answer was lost. Other hosts see each
// renewal, and none takes over: the leader must not take itself for one that cannot write its row.
func TestLeaderWhoseRenewalsAreNotAnsweredLeadsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows.New(storeLatency)
		a := startHost(table, "a", 1)
		time.Sleep(2 * time.Second)
		a.link.SetFaults(rows.Faults{LateWrites: 1, LateBy: 50 * time.Millisecond})
		time.Sleep(leader.Grace + 2*time.Second)
		a.link.SetFaults(rows.Faults{})
		time.Sleep(leader.RenewInterval)
		a.stop()
		is.Equal(a.terms, []int64{1})
	})
}

// One renewal of a leader is lost, and not answered. It must renew its row again before another host takes
// it over.
func TestOneLostRenewalCostsNoTerm(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			before, after := runEightHosts(t, seed, func(hosts []*host) {
				time.Sleep(time.Duration(seed) * 25 * time.Millisecond) // at any moment between two renewals
				for _, h := range hosts {
					if !h.leads() {
						continue
					}
					h.link.SetFaults(rows.Faults{SilentWrites: true})
					time.Sleep(leader.RenewInterval - 20*time.Millisecond)
					h.link.SetFaults(rows.Faults{})
					break
				}
				time.Sleep(3 * time.Second)
			})
			if after != before {
				t.Errorf("seed %d: term %d, want %d", seed, after, before)
			}
		})
	}
}

// A leader of an earlier version, which grants whole leases for as long as it may act, is replaced
// without knowing it, and the next one is lost or resigns soon after. The third must await the leases of
// the first, although the row that it replaces is of a leader that limits its own.
func TestUnlimitedLeasesAreAwaitedAcrossAShortTerm(t *testing.T) {
	for name, lose := range map[string]func(h *host){
		"resigned": func(h *host) { h.stop() },
		"lost":     func(h *host) { h.link.SetFaults(rows.Faults{Unresponsive: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := rows.New(storeLatency)
				table.Put(leader.RowKey, []byte(`{"term":1,"holder":"old#1","address":"old","beat":9}`))
				written := time.Now()
				a := startHost(table, "a", 1)
				time.Sleep(3 * time.Second)
				lose(a)
				b := startHost(table, "b", 2)
				time.Sleep(3 * time.Second)
				a.stop()
				b.stop()
				for _, h := range []*host{a, b} {
					if len(h.led) != 1 {
						t.Fatalf("%s led in %d terms", h.name, len(h.led))
					}
					if early := written.Add(leader.Grace + longestLease).Sub(h.led[0].earlierEnd); early > 0 {
						t.Errorf("leases of term 1 may last %s longer than %s expects", early, h.name)
					}
				}
			})
		})
	}
}
