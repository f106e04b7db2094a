package rpc_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/config/catalog"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/host/entry"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/host/peer"
	"guavaglade.example/guavaglade/internal/host/rpc"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/dispatch"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// testDispatcher implements rpc.Dispatcher and counts its calls.
type testDispatcher struct {
	leads      bool
	pending    int
	calls      int
	handedOver []dispatch.Handover
}

// err counts a call and returns its error.
func (d *testDispatcher) err() error {
	d.calls++
	if !d.leads {
		return dispatcher.ErrNotLeading
	}
	return nil
}

func (d *testDispatcher) Submitted(context.Context, *graph.Job) error  { return d.err() }
func (d *testDispatcher) Cancelled(context.Context, graph.JobID) error { return d.err() }
func (d *testDispatcher) AcceptHandover(_ context.Context, h dispatch.Handover) error {
	d.handedOver = append(d.handedOver, h)
	return d.err()
}
func (d *testDispatcher) Pending(context.Context, string) (int, error) { return d.pending, d.err() }

func (d *testDispatcher) Fleet(context.Context) (view.Fleet, error)        { return view.Fleet{}, d.err() }
func (d *testDispatcher) Jobs(context.Context, string) ([]view.Job, error) { return nil, d.err() }
func (d *testDispatcher) Status(context.Context, graph.JobID) (view.JobStatus, bool, error) {
	return view.JobStatus{Queue: "refill"}, true, d.err()
}

func (d *testDispatcher) History(context.Context, graph.JobID) (view.History, bool, error) {
	return view.History{}, true, d.err()
}

// testElection implements rpc.Election.
type testElection struct {
	row  leader.Row
	term *leader.Term // nil: another host leads
}

func (e *testElection) Leader() leader.Row                                     { return e.row }
func (e *testElection) OwnTerm() *leader.Term                                  { return e.term }
func (e *testElection) ReadRow(context.Context) error                          { return nil }
func (e *testElection) Watched(string, leader.Watch)                           {}
func (e *testElection) Mark() int64                                            { return 1 }
func (e *testElection) AcceptTransfer(context.Context, leader.Row, int64) bool { return true }

// testWriter implements rpc.JobWriter and counts its calls.
type testWriter struct {
	err   error
	calls int
}

func (w *testWriter) SubmitHere(context.Context, *graph.Job) error {
	w.calls++
	return w.err
}

func (w *testWriter) CancelHere(context.Context, graph.JobID, entry.Caller) error {
	w.calls++
	return w.err
}

// host is one host of a test. It is the net.Listener of its transport.
type host struct {
	*rpc.Endpoint
	address          string
	dispatcher       testDispatcher
	election         testElection
	writer           testWriter
	storeUp          bool
	sinceStoreAnswer time.Duration // since the store last answered
	accepted         chan net.Conn // connections from other hosts
	unreachable      bool          // by other hosts
}

// Accept implements net.Listener.
func (h *host) Accept() (net.Conn, error) {
	c, open := <-h.accepted
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (h *host) Close() error {
	close(h.accepted)
	return nil
}

// Addr implements net.Listener.
func (h *host) Addr() net.Addr { return &net.TCPAddr{} }

// withHosts calls f with n hosts that reach each other, in a synctest bubble. The first one
// leads, and each has more cores than the next.
func withHosts(t *testing.T, n int, f func(ctx context.Context, is *is.I, hosts []*host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		hosts := make([]*host, n)
		dial := func(_ context.Context, _, address string) (net.Conn, error) {
			for _, h := range hosts {
				if h.address == address && !h.unreachable {
					near, far := net.Pipe()
					h.accepted <- far
					return near, nil
				}
			}
			return nil, syscall.ECONNREFUSED
		}
		var transports []*peer.Transport
		for i := range hosts {
			h := &host{address: fmt.Sprintf("10.0.0.%d:1", i), storeUp: true, accepted: make(chan net.Conn)}
			hosts[i] = h
			h.Endpoint = rpc.New(h.address, &h.dispatcher, catalog.NewKeeper(nil), func() bool { return h.storeUp }, rpc.WithCores(float64(n-i)), rpc.WithZone([]string{"leon", "celaya"}[i/2%2]),
				rpc.WithStoreAnswered(func() time.Time { return time.Now().Add(-h.sinceStoreAnswer) }))
			transport := peer.New(h.Handle, nil, dial, logr.Discard())
			h.Bind(transport, &h.election, &h.writer)
			h.election.row.Address = "10.0.0.0:1"
			transports = append(transports, transport)
			go func() { _ = transport.Serve(h) }()
		}
		hosts[0].dispatcher.leads, hosts[0].election.term = true, leader.NewTerm(1, time.Now())
		f(t.Context(), is.New(t), hosts)
		for _, transport := range transports {
			transport.Close()
		}
		for _, h := range hosts {
			_ = h.Close()
		}
		time.Sleep(time.Minute) // let handlers without a waiting caller end
	})
}

// watch has hosts watch the first one the given number of times, all at the same time. Each
// round takes as long as the leader delays its answer.
func watch(ctx context.Context, is *is.I, times int, first *host, from ...*host) {
	for range times {
		answers := make(chan error, len(from))
		for _, h := range from {
			go func() {
				_, err := h.Watch(ctx, first.address, leader.Watch{Term: 1})
				answers <- err
			}()
		}
		for range from {
			is.NoErr(<-answers)
		}
	}
}

// If the leader of a large site sent the list of all 300 hosts to each of them, twice a second,
// its traffic would grow with the square of the number of hosts and saturate its CPU. So it
// lists twelve, and the others rank after these.
func TestWatchersGetLargestHostsOnly(t *testing.T) {
	withHosts(t, 40, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 2, hosts[0], hosts[1:]...) // the first watch makes the watchers known
		rank := func(i int) int {
			r, _ := hosts[i].Rank(1.5)
			return r
		}
		is.Equal(rank(1), 0) // the largest watcher
		is.Equal(rank(9), 8)
		is.Equal(rank(39), 12) // after all that are listed
	})
}

// The store is unavailable to all hosts, and the leader is lost in that time. The leader's
// last list is empty, since it holds hosts with access to the store only. If hosts ranked
// by it, the smallest would take over as early as the others when the store is back, take
// ten times as long to restore the state, and be replaced by a larger one at once.
func TestLargerHostsRankFirstAfterOutage(t *testing.T) {
	withHosts(t, 4, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 2, hosts[0], hosts[1:]...)
		for _, h := range hosts {
			h.storeUp = false
		}
		watch(ctx, is, 2, hosts[0], hosts[1:]...)
		rank, muchLarger := hosts[3].Rank(1.5)
		is.Equal(rank, 2)
		is.True(muchLarger)
		rank, muchLarger = hosts[1].Rank(1.5)
		is.Equal(rank, 0)
		is.True(!muchLarger)
	})
}

// Clients poll each host for the number of pending jobs. If the host asked the leader each
// time, they would be refused between two leaders, although they accept a count that is a
// second old.
func TestPendingCountsAreCached(t *testing.T) {
	withHosts(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		countPending := func() (int, error) { return hosts[1].Pending(ctx, "refill") }
		hosts[0].dispatcher.pending = 3
		for range 5 {
			n, err := countPending()
			is.NoErr(err)
			is.Equal(n, 3)
		}
		is.Equal(hosts[0].dispatcher.calls, 1)

		hosts[0].dispatcher.pending = 4
		time.Sleep(300 * time.Millisecond)
		n, err := countPending()
		is.NoErr(err)
		is.Equal(n, 4) // the leader is asked again

		hosts[0].dispatcher.leads, hosts[0].election.term = false, nil
		time.Sleep(time.Second)
		n, err = countPending()
		is.NoErr(err)
		is.Equal(n, 4) // a second old

		time.Sleep(time.Second)
		_, err = countPending()
		is.True(err != nil) // too old to be returned
	})
}

// A host without access to the store has the leader write for it, and another host if the
// leader cannot. If the outcome of a write is unknown, no other host is asked, since it
// might write the request twice.
func TestRelayTriesNextHostOnlyIfNothingWasStored(t *testing.T) {
	cases := []struct {
		name   string
		first  error
		second error
		want   error
		calls  int // of the second host
	}{
		{"the leader writes it", nil, nil, nil, 0},
		{"the leader cannot", entry.ErrNotAccepted, nil, nil, 1},
		{"neither can", entry.ErrNotAccepted, entry.ErrNotAccepted, entry.ErrNotAccepted, 1},
		{"outcome unknown", entry.ErrOutcomeUnknown, nil, entry.ErrOutcomeUnknown, 0},
		{"no such job", entry.ErrNoJob, nil, entry.ErrNoJob, 0},
		{"cancelled before", entry.ErrCancelled, nil, entry.ErrCancelled, 0},
		{"over the rate", entry.ErrTooManyCancellations, nil, entry.ErrTooManyCancellations, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withHosts(t, 3, func(ctx context.Context, is *is.I, hosts []*host) {
				_, err := hosts[1].Watch(ctx, hosts[0].address, leader.Watch{Term: 1}) // makes the host known to the leader
				is.NoErr(err)
				_, err = hosts[2].Watch(ctx, hosts[0].address, leader.Watch{Term: 1})
				is.NoErr(err)
				hosts[0].writer.err, hosts[1].writer.err = c.first, c.second
				err = hosts[2].RelayCancel(ctx, "0123456789abcdef", entry.Caller{})
				is.True(errors.Is(err, c.want))
				is.Equal(hosts[1].writer.calls, c.calls)
				is.Equal(hosts[2].writer.calls, 0) // it is not asked itself
			})
		})
	}
}

// The leader is unreachable. A relayed request that did not reach it was not stored, and the
// error says so: the client may repeat it at once.
func TestRelayThatReachesNoHostIsNotAccepted(t *testing.T) {
	withHosts(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		hosts[0].unreachable = true
		err := hosts[1].RelaySubmit(ctx, &graph.Job{ID: "0123456789abcdef"})
		is.True(errors.Is(err, entry.ErrNotAccepted))
	})
}

// In a disconnected zone no host can store anything. Each reports that it cannot serve, and
// the load balancer sends clients to other zones.
func TestCanServeOnlyWithAccessToStore(t *testing.T) {
	withHosts(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		_, err := hosts[1].Watch(ctx, hosts[0].address, leader.Watch{Term: 1})
		is.NoErr(err)
		hosts[1].storeUp = false
		is.True(hosts[1].CanServe()) // by relaying to the leader
		time.Sleep(3 * time.Second)
		is.True(!hosts[1].CanServe()) // the leader has not answered for long
		hosts[1].storeUp = true
		is.True(hosts[1].CanServe())
	})
}

// A zone with the leader in it is disconnected from the store and the other zones. Its hosts
// reach their leader, but must not take this for a store that is unavailable to all. If they
// reported that they can serve, all clients of the zone would be refused until it is
// connected again, although hosts of other zones can serve them.
func TestZoneDisconnectedWithLeaderCannotServe(t *testing.T) {
	withHosts(t, 4, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 4, hosts[0], hosts[1:]...)
		for _, h := range hosts {
			h.storeUp = false
		}
		watch(ctx, is, 4, hosts[0], hosts[1:]...)
		for _, h := range hosts {
			is.True(h.CanServe()) // the store is unavailable to all hosts, so no other host could do better
		}
		watch(ctx, is, 8, hosts[0], hosts[1]) // hosts 2 and 3, in the other zone, are no longer reachable
		is.True(!hosts[0].CanServe())
		is.True(!hosts[1].CanServe())
		hosts[0].storeUp = true
		watch(ctx, is, 4, hosts[0], hosts[1])
		is.True(hosts[1].CanServe()) // by relaying to the leader
	})
}

// A zone is disconnected. One of its hosts led until then, and its other hosts keep
// calling it. The reports it received before it led, and the calls of the others, are no
// evidence that it can serve. As long as one host of the zone reports that it can, the
// load balancer sends all clients of the zone there.
func TestFormerLeaderInDisconnectedZoneCannotServe(t *testing.T) {
	withHosts(t, 4, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 2, hosts[0], hosts[1], hosts[2])
		hosts[0].election.term, hosts[0].dispatcher.leads = nil, false
		hosts[1].election.term = leader.NewTerm(2, time.Now())
		watch(ctx, is, 2, hosts[1], hosts[0], hosts[2])
		hosts[0].storeUp, hosts[1].storeUp = false, false
		hosts[1].election.term = nil
		for range 6 {
			time.Sleep(500 * time.Millisecond)
			_, err := hosts[0].Watch(ctx, hosts[1].address, leader.Watch{Term: 2})
			is.True(err != nil)
		}
		is.True(!hosts[1].CanServe())
		is.True(!hosts[0].CanServe())
	})
}

// A zone is disconnected, but its connections are not reset, and the store counts as down a
// second later at the earliest. A host that has no answer from the store or the leader for
// longer than is normal reports at once that it cannot serve.
func TestUnresponsiveStoreAndLeaderAreDetected(t *testing.T) {
	withHosts(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 1, hosts[0], hosts[1])
		hosts[1].sinceStoreAnswer = 900 * time.Millisecond
		is.True(hosts[1].CanServe()) // the leader has answered: the store may be slow
		time.Sleep(900 * time.Millisecond)
		is.True(!hosts[1].CanServe())
		hosts[1].sinceStoreAnswer = 0
		is.True(hosts[1].CanServe())
	})
}

// A zone is disconnected: its hosts have no access to the store, and connections to the
// leader are reset. The leader's last report no longer counts, however recent: the hosts
// must not report that they can serve clients.
func TestReportOfUnreachableLeaderIsDropped(t *testing.T) {
	withHosts(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 1, hosts[0], hosts[1])
		hosts[1].storeUp = false
		is.True(hosts[1].CanServe())                                       // by relaying to the leader
		_, err := hosts[1].Watch(ctx, "10.9.9.9:1", leader.Watch{Term: 1}) // refused
		is.True(err != nil)
		is.True(!hosts[1].CanServe())
	})
}

// The store is unavailable to the leader and some other hosts. The leader transfers the
// leadership. The others cannot read the leader row. If they watched the old leader until
// the store is available to them again, their clients would be refused for seconds. So
// the old leader names the new one, and if it is gone, hosts that watch the new one do.
func TestHostsWithoutStoreFindNextLeader(t *testing.T) {
	withHosts(t, 4, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 2, hosts[0], hosts[1:]...)
		next := leader.Row{Term: 2, Holder: "host2", Address: hosts[2].address}
		hosts[0].election, hosts[0].dispatcher.leads = testElection{row: next}, false
		hosts[2].election, hosts[2].dispatcher.leads = testElection{row: next, term: leader.NewTerm(2, time.Now())}, true
		hosts[3].election.row = next
		hosts[0].storeUp, hosts[1].storeUp = false, false

		a, err := hosts[1].Watch(ctx, hosts[0].address, leader.Watch{Term: 1})
		is.NoErr(err)
		is.Equal(a.Row, next)
		a, err = hosts[1].Watch(ctx, a.Row.Address, leader.Watch{Term: a.Row.Term})
		is.NoErr(err)
		is.Equal(a.Row, next)
		is.True(hosts[1].CanServe()) // by relaying to the new leader

		a, err = hosts[1].Watch(ctx, "10.9.9.9:1", leader.Watch{Term: 1}) // the old leader is gone
		is.NoErr(err)
		is.Equal(a.Row, next)
		hosts[1].storeUp = true
		_, err = hosts[1].Watch(ctx, "10.9.9.9:1", leader.Watch{Term: 1})
		is.True(err != nil) // a host with access to the store reads the row instead
	})
}

// A host asks the leader for the status of a job, or itself if it leads. Without a leader
// it fails at once.
func TestStatusIsAskedOfLeader(t *testing.T) {
	withHosts(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		for _, h := range hosts {
			status, known, err := h.Status(ctx, "0123456789abcdef")
			is.NoErr(err)
			is.True(known)
			is.Equal(status.Queue, "refill")
		}
		is.Equal(hosts[0].dispatcher.calls, 2)
		hosts[1].election.row = leader.Row{}
		_, _, err := hosts[1].Status(ctx, "0123456789abcdef")
		is.True(errors.Is(err, dispatcher.ErrNotLeading))
	})
}

// What a former leader has left reaches the present one whole, and is kept while there is none.
func TestHandoverReachesLeader(t *testing.T) {
	withHosts(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		h := dispatch.Handover{
			Ends:   []dispatch.ListedEnd{{Target: "t1@abc", Task: "0123456789abcdef.0.0.1", Run: 2, Reason: order.Done, Checkpoint: "c"}},
			Lapsed: []string{"t2"},
		}
		is.NoErr(hosts[1].Handover(ctx, h))
		is.Equal(hosts[0].dispatcher.handedOver, []dispatch.Handover{h})
		hosts[1].election.row = leader.Row{}
		is.True(errors.Is(hosts[1].Handover(ctx, h), dispatcher.ErrNotLeading))
	})
}

// A host of a newer version calls a method that this one does not know, or sends parameters
// of another type. The errors say which.
func TestUnknownMethodAndBadParamsAreRefused(t *testing.T) {
	is := is.New(t)
	e := rpc.New("a", &testDispatcher{}, catalog.NewKeeper(nil), func() bool { return true })
	_, err := e.Handle(t.Context(), "dance", nil)
	is.True(errors.Is(err, peer.ErrNoMethod))
	_, err = e.Handle(t.Context(), "submitted", json.RawMessage(`"not a job"`))
	is.True(errors.Is(err, peer.ErrBadParams))
}

// Hosts rest their own calls to the store while the leader reports that it has access. They
// must not rely on a leader without access, nor on one that has fallen silent, nor does the
// leader rely on itself.
func TestLeaderReportsOnlyWithAccessToStore(t *testing.T) {
	withHosts(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		own, follower := hosts[0], hosts[1]
		own.election.term = leader.NewTerm(1, time.Now())
		is.True(!follower.LeaderReports()) // it has not reported yet
		_, err := follower.Watch(ctx, own.address, leader.Watch{Term: 1})
		is.NoErr(err)
		is.True(follower.LeaderReports())
		is.True(!own.LeaderReports())
		time.Sleep(time.Second) // without a report
		is.True(!follower.LeaderReports())
		own.storeUp = false
		_, err = follower.Watch(ctx, own.address, leader.Watch{Term: 1})
		is.NoErr(err)
		is.True(!follower.LeaderReports())
	})
}

// Each host knows how many hosts share the store's write rate: the leader by its watchers, the others by
// its report.
func TestHostsAreCounted(t *testing.T) {
	withHosts(t, 3, func(ctx context.Context, is *is.I, hosts []*host) {
		is.Equal(hosts[1].Hosts(), 0) // not known yet
		watch(ctx, is, 2, hosts[0], hosts[1], hosts[2])
		for _, h := range hosts {
			is.Equal(h.Hosts(), 3)
		}
	})
}
