package exchange_test

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
	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/host/entry"
	"guavaglade.example/guavaglade/internal/host/exchange"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/host/peer"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// desk leads or not, and counts what it is asked.
type desk struct {
	leads   bool
	pending int
	asked   int
}

func (d *desk) err() error {
	d.asked++
	if !d.leads {
		return dispatcher.ErrNotLeading
	}
	return nil
}

func (d *desk) Submitted(context.Context, *graph.Job) error      { return d.err() }
func (d *desk) Cancelled(context.Context, graph.JobID) error     { return d.err() }
func (d *desk) Pending(context.Context, string) (int, error)     { return d.pending, d.err() }
func (d *desk) Fleet(context.Context) (view.Fleet, error)        { return view.Fleet{}, d.err() }
func (d *desk) Jobs(context.Context, string) ([]view.Job, error) { return nil, d.err() }
func (d *desk) State(context.Context, graph.JobID) (view.JobStatus, bool, error) {
	return view.JobStatus{Queue: "refill"}, true, d.err()
}

func (d *desk) History(context.Context, graph.JobID) (view.History, bool, error) {
	return view.History{}, true, d.err()
}

// election says who leads.
type election struct {
	row  leader.Row
	term *leader.Term // nil: another host leads
}

func (e *election) Leader() leader.Row                                     { return e.row }
func (e *election) OwnTerm() *leader.Term                                  { return e.term }
func (e *election) ReadRow(context.Context) error                          { return nil }
func (e *election) AcceptTransfer(context.Context, leader.Row, int64) bool { return true }

// rows is a host's way to the store.
type rows struct {
	err   error
	asked int
}

func (r *rows) SubmitHere(context.Context, *graph.Job) error {
	r.asked++
	return r.err
}

func (r *rows) CancelHere(context.Context, graph.JobID, entry.Caller) error {
	r.asked++
	return r.err
}

// host is one host of a test.
type host struct {
	*exchange.Exchange
	address string
	desk    desk
	elected election
	rows    rows
	up      bool
	quiet   time.Duration // of the store
	calls   chan net.Conn // connections that others make
	away    bool          // nobody reaches it
}

// Accept, Close and Addr implement net.Listener.
func (h *host) Accept() (net.Conn, error) {
	c, open := <-h.calls
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (h *host) Close() error {
	close(h.calls)
	return nil
}

func (h *host) Addr() net.Addr { return &net.TCPAddr{} }

// among runs f with hosts that reach each other, in a bubble with its own time.
// The first one leads.
func among(t *testing.T, n int, f func(ctx context.Context, is *is.I, hosts []*host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		hosts := make([]*host, n)
		dial := func(_ context.Context, _, address string) (net.Conn, error) {
			for _, h := range hosts {
				if h.address == address && !h.away {
					near, far := net.Pipe()
					h.calls <- far
					return near, nil
				}
			}
			return nil, syscall.ECONNREFUSED
		}
		var nets []*peer.Net
		for i := range hosts {
			h := &host{address: fmt.Sprintf("10.0.0.%d:1", i), up: true, calls: make(chan net.Conn)}
			hosts[i] = h
			h.Exchange = exchange.New(h.address, &h.desk, catalog.NewKeeper(nil), func() bool { return h.up }, exchange.WithPower(float64(n-i)), exchange.WithZone([]string{"leon", "celaya"}[i/2%2]),
				exchange.WithStoreAnswered(func() time.Time { return time.Now().Add(-h.quiet) }))
			node := peer.New(h.Handle, nil, dial, logr.Discard())
			h.Bind(node, &h.elected, &h.rows)
			h.elected.row.Address = "10.0.0.0:1"
			nets = append(nets, node)
			go func() { _ = node.Serve(h) }()
		}
		hosts[0].desk.leads, hosts[0].elected.term = true, leader.NewTerm(1, time.Now())
		f(t.Context(), is.New(t), hosts)
		for _, node := range nets {
			node.Close()
		}
		for _, h := range hosts {
			_ = h.Close()
		}
		time.Sleep(time.Minute) // what nobody waits for ends, too
	})
}

// watch has hosts watch the first one, all at once, so many times.
func watch(ctx context.Context, is *is.I, times int, first *host, from ...*host) {
	for range times {
		answers := make(chan error, len(from))
		for _, h := range from {
			go func() {
				_, err := h.Watch(ctx, first.address, 1)
				answers <- err
			}()
		}
		for range from {
			is.NoErr(<-answers)
		}
	}
}

// The leader of a large site told each of 300 hosts of all 300, twice a second:
// what it sent grew with the square of the hosts, and its processor was full.
func TestWatchersAreToldOfTheMostPowerfulOnly(t *testing.T) {
	among(t, 40, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 2, hosts[0], hosts[1:]...) // who watches is known from the first time
		rank := func(i int) int {
			r, _ := hosts[i].Rank(1.5)
			return r
		}
		is.Equal(rank(1), 0) // the most powerful of those that watch
		is.Equal(rank(9), 8)
		is.Equal(rank(39), 12) // after all that are told
	})
}

// The store is away for all hosts, and the leader is lost meanwhile. The weakest host
// was as quick as the others to take over when the store was back, since the leader
// had last told of no host that the store serves: restoring took it ten times as
// long, and it was succeeded at once by a stronger one.
func TestStrongerHostsComeFirstAlsoAfterAnOutage(t *testing.T) {
	among(t, 4, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 2, hosts[0], hosts[1:]...)
		for _, h := range hosts {
			h.up = false
		}
		watch(ctx, is, 2, hosts[0], hosts[1:]...)
		rank, outpowered := hosts[3].Rank(1.5)
		is.Equal(rank, 2)
		is.True(outpowered)
		rank, outpowered = hosts[1].Rank(1.5)
		is.Equal(rank, 0)
		is.True(!outpowered)
	})
}

// Clients ask each host again and again how many jobs wait, and each time the host
// asked the leader. Between two leaders they were refused, though a count of a
// second ago is what they accept.
func TestCountsAreToldAgainForAWhile(t *testing.T) {
	among(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		ask := func() (int, error) { return hosts[1].Pending(ctx, "refill") }
		hosts[0].desk.pending = 3
		for range 5 {
			n, err := ask()
			is.NoErr(err)
			is.Equal(n, 3)
		}
		is.Equal(hosts[0].desk.asked, 1)

		hosts[0].desk.pending = 4
		time.Sleep(300 * time.Millisecond)
		n, err := ask()
		is.NoErr(err)
		is.Equal(n, 4) // it is asked again soon

		hosts[0].desk.leads, hosts[0].elected.term = false, nil
		time.Sleep(time.Second)
		n, err = ask()
		is.NoErr(err)
		is.Equal(n, 4) // a second old

		time.Sleep(time.Second)
		_, err = ask()
		is.True(err != nil) // too old to be told
	})
}

// A host that the store turns away has the leader write for it, and another host if
// the leader cannot either. An answer that leaves open whether it was written is
// the last: the second host might write it twice.
func TestRelayGoesOnOnlyAfterATrueNo(t *testing.T) {
	cases := []struct {
		name   string
		first  error
		second error
		want   error
		asked  int // of the second
	}{
		{"the leader writes it", nil, nil, nil, 0},
		{"the leader cannot", entry.ErrNotAccepted, nil, nil, 1},
		{"nobody can", entry.ErrNotAccepted, entry.ErrNotAccepted, entry.ErrNotAccepted, 1},
		{"not known", entry.ErrOutcomeUnknown, nil, entry.ErrOutcomeUnknown, 0},
		{"no such job", entry.ErrNoJob, nil, entry.ErrNoJob, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			among(t, 3, func(ctx context.Context, is *is.I, hosts []*host) {
				_, err := hosts[1].Watch(ctx, hosts[0].address, 1) // so that the leader knows it
				is.NoErr(err)
				_, err = hosts[2].Watch(ctx, hosts[0].address, 1)
				is.NoErr(err)
				hosts[0].rows.err, hosts[1].rows.err = c.first, c.second
				err = hosts[2].RelayCancel(ctx, "0123456789abcdef", entry.Caller{})
				is.True(errors.Is(err, c.want))
				is.Equal(hosts[1].rows.asked, c.asked)
				is.Equal(hosts[2].rows.asked, 0) // it asks itself by no peer
			})
		})
	}
}

// The leader died a moment ago. A relayed request that did not reach it was not
// stored, and says so; its client may send it again at once.
func TestRelayThatReachesNobodyWasNotAccepted(t *testing.T) {
	among(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		hosts[0].away = true
		err := hosts[1].RelaySubmit(ctx, &graph.Job{ID: "0123456789abcdef"})
		is.True(errors.Is(err, entry.ErrNotAccepted))
	})
}

// In a zone that is cut off no host can store anything. Each says that it does not
// serve, and the balancer sends clients to other zones.
func TestServesOnlyWithAWayToTheStore(t *testing.T) {
	among(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		_, err := hosts[1].Watch(ctx, hosts[0].address, 1)
		is.NoErr(err)
		hosts[1].up = false
		is.True(hosts[1].Serves()) // by the leader
		time.Sleep(3 * time.Second)
		is.True(!hosts[1].Serves()) // not heard for long
		hosts[1].up = true
		is.True(hosts[1].Serves())
	})
}

// A zone is cut off, and the leader is in it. Its hosts heard their leader and took
// themselves for useful, and all clients of the zone were refused until the cut was
// over, while the hosts of the other zones could have served them.
func TestZoneCutOffWithItsLeaderDoesNotServe(t *testing.T) {
	among(t, 4, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 4, hosts[0], hosts[1:]...)
		for _, h := range hosts {
			h.up = false
		}
		watch(ctx, is, 4, hosts[0], hosts[1:]...)
		for _, h := range hosts {
			is.True(h.Serves()) // the store is away for all: refused quickly, and nowhere better
		}
		watch(ctx, is, 8, hosts[0], hosts[1]) // 2 and 3, in the other zone, are not in touch any more
		is.True(!hosts[0].Serves())
		is.True(!hosts[1].Serves())
		hosts[0].up = true
		watch(ctx, is, 4, hosts[0], hosts[1])
		is.True(hosts[1].Serves()) // by the leader
	})
}

// A zone is cut off. One of its hosts led until then, and the others of the zone go on
// asking it. What it was told before it led says that all is well, and being asked is no
// sign of it: as long as one host of the zone says that it serves, the balancer keeps all
// clients of the zone there.
func TestFormerLeaderInACutZoneDoesNotServe(t *testing.T) {
	among(t, 4, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 2, hosts[0], hosts[1], hosts[2])
		hosts[0].elected.term, hosts[0].desk.leads = nil, false
		hosts[1].elected.term = leader.NewTerm(2, time.Now())
		watch(ctx, is, 2, hosts[1], hosts[0], hosts[2])
		hosts[0].up, hosts[1].up = false, false
		hosts[1].elected.term = nil
		for range 6 {
			time.Sleep(500 * time.Millisecond)
			_, err := hosts[0].Watch(ctx, hosts[1].address, 2)
			is.True(err != nil)
		}
		is.True(!hosts[1].Serves())
		is.True(!hosts[0].Serves())
	})
}

// A zone is cut off silently: no connection breaks, and the store counts as lost a second
// later at the earliest. A host that has heard neither of it nor of the leader for longer
// than either is ever silent says at once that it does not serve.
func TestSilenceOfAllOutsideIsACut(t *testing.T) {
	among(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 1, hosts[0], hosts[1])
		hosts[1].quiet = 900 * time.Millisecond
		is.True(hosts[1].Serves()) // the leader was heard of: the store may be slow
		time.Sleep(900 * time.Millisecond)
		is.True(!hosts[1].Serves())
		hosts[1].quiet = 0
		is.True(hosts[1].Serves())
	})
}

// A zone is cut off with resets: the leader cannot be reached, and the store is lost. What
// the leader told a moment ago holds no more.
func TestUnreachedLeaderIsNoSignOfService(t *testing.T) {
	among(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 1, hosts[0], hosts[1])
		hosts[1].up = false
		is.True(hosts[1].Serves())                     // by the leader
		_, err := hosts[1].Watch(ctx, "10.9.9.9:1", 1) // refused
		is.True(err != nil)
		is.True(!hosts[1].Serves())
	})
}

// The store turns the leader away, and other hosts with it. The leader hands over; the
// others cannot read who leads now, and asked the old leader until the store served them
// again: all their clients were refused for seconds. It names its successor, and so do
// hosts that watch it if the old leader is gone.
func TestHostsThatTheStoreTurnsAwayFindTheNextLeader(t *testing.T) {
	among(t, 4, func(ctx context.Context, is *is.I, hosts []*host) {
		watch(ctx, is, 2, hosts[0], hosts[1:]...)
		next := leader.Row{Term: 2, Holder: "host2", Address: hosts[2].address}
		hosts[0].elected, hosts[0].desk.leads = election{row: next}, false
		hosts[2].elected, hosts[2].desk.leads = election{row: next, term: leader.NewTerm(2, time.Now())}, true
		hosts[3].elected.row = next
		hosts[0].up, hosts[1].up = false, false

		row, err := hosts[1].Watch(ctx, hosts[0].address, 1)
		is.NoErr(err)
		is.Equal(row, next)
		row, err = hosts[1].Watch(ctx, row.Address, row.Term)
		is.NoErr(err)
		is.Equal(row, next)
		is.True(hosts[1].Serves()) // by it

		row, err = hosts[1].Watch(ctx, "10.9.9.9:1", 1) // the old leader is gone
		is.NoErr(err)
		is.Equal(row, next)
		hosts[1].up = true
		_, err = hosts[1].Watch(ctx, "10.9.9.9:1", 1)
		is.True(err != nil) // the store tells, and when it may be taken over
	})
}

// A host asks the leader, and itself if it leads; without a leader it says so at
// once.
func TestWhoIsAskedForAState(t *testing.T) {
	among(t, 2, func(ctx context.Context, is *is.I, hosts []*host) {
		for _, h := range hosts {
			told, known, err := h.State(ctx, "0123456789abcdef")
			is.NoErr(err)
			is.True(known)
			is.Equal(told.Queue, "refill")
		}
		is.Equal(hosts[0].desk.asked, 2)
		hosts[1].elected.row = leader.Row{}
		_, _, err := hosts[1].State(ctx, "0123456789abcdef")
		is.True(errors.Is(err, dispatcher.ErrNotLeading))
	})
}

// A host of a newer version says something that this one does not know, or that
// this one reads otherwise.
func TestOddCallsAreRefused(t *testing.T) {
	is := is.New(t)
	x := exchange.New("a", &desk{}, catalog.NewKeeper(nil), func() bool { return true })
	_, err := x.Handle(t.Context(), "dance", nil)
	is.True(errors.Is(err, peer.ErrNoMethod))
	_, err = x.Handle(t.Context(), "submitted", json.RawMessage(`"not a job"`))
	is.True(errors.Is(err, peer.ErrBadParams))
}
