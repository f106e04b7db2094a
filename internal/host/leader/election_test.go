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

const cost = 5 * time.Millisecond

var errGone = errors.New("does not answer")

// nobody is a peer that knows of no other host.
type nobody struct{}

func (nobody) Watch(context.Context, string, int64) (leader.Row, error) {
	return leader.Row{}, errGone
}
func (nobody) Successors(context.Context, float64) []string             { return nil }
func (nobody) Rank(float64) (int, bool)                                 { return 0, false }
func (nobody) HandOver(context.Context, string, leader.Row, int64) bool { return false }

// room is hosts that reach each other.
type room struct {
	mu    sync.Mutex
	seats map[string]*seat
}

// enter has a host take part.
func (r *room) enter(table *rows.Table, name string, seed uint64) *seat {
	s := sitAmong(place{room: r, own: name}, table, name, seed)
	r.mu.Lock()
	defer r.mu.Unlock()
	s.all, r.seats[name] = r, s
	return s
}

func (r *room) at(name string) *seat {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seats[name]
}

// place is one host's view of the others. It answers as package exchange does.
type place struct {
	nobody
	room *room
	own  string
}

// Watch implements leader.Peer.
func (p place) Watch(ctx context.Context, address string, term int64) (leader.Row, error) {
	s := p.room.at(address)
	if s != nil && !s.leads() && s.Leader().Term > term && s.Leader().Address != address {
		return s.Leader(), nil
	}
	if s == nil || !s.leads() {
		return leader.Row{}, errGone
	}
	time.Sleep(400 * time.Millisecond)
	return s.Leader(), ctx.Err()
}

// Successors implements leader.Peer.
func (p place) Successors(ctx context.Context, least float64) (able []string) {
	if least > 0 {
		return nil
	}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		if s := p.room.at(name); name != p.own && s != nil && s.Look(ctx) == nil {
			able = append(able, name)
		}
	}
	return able
}

// HandOver implements leader.Peer.
func (p place) HandOver(ctx context.Context, address string, r leader.Row, version int64) bool {
	return p.room.at(address).Succeed(ctx, r, version)
}

// seat is a host that takes part in an election.
type seat struct {
	*leader.Election
	name string
	all  *room // of those that reach each other; nil: nobody
	link *rows.Link
	led  []int64 // terms that it was given
	end  context.CancelFunc
	over chan struct{}
}

func sit(table *rows.Table, name string, seed uint64) *seat {
	return sitAmong(nobody{}, table, name, seed)
}

func sitAmong(peers leader.Peer, table *rows.Table, name string, seed uint64) *seat {
	ctx, end := context.WithCancel(context.Background())
	s := &seat{name: name, link: rows.NewLink(table, rand.New(rand.NewPCG(seed, 1))), end: end, over: make(chan struct{})}
	lead := func(ctx context.Context, t *leader.Term, _ bool) error {
		s.led = append(s.led, t.Number())
		<-ctx.Done()
		return ctx.Err()
	}
	draw := rand.New(rand.NewPCG(seed, 2)).Int64N
	gauge := store.NewMonitor(s.link, leader.RowKey, func(up bool, _ error) { s.StoreChanged(up) })
	s.Election = leader.New(gauge, peers, lead, name+"#1", name, logr.Discard(), leader.WithClock(time.Now), leader.WithDraw(draw), leader.WithPower(1))
	go gauge.Run(ctx)
	go func() {
		s.Run(ctx)
		close(s.over)
	}()
	return s
}

func (s *seat) leads() bool { return s.Own() != nil }

func leading(seats []*seat) (n int) {
	for _, s := range seats {
		if s.leads() {
			n++
		}
	}
	return n
}

func (s *seat) leave() {
	s.end()
	<-s.over
}

// Many hosts start together: one leads. It stops as planned and gives the row back:
// another leads at once, with a higher term.
func TestOneLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows.New(cost)
		var seats []*seat
		for i := range 5 {
			seats = append(seats, sit(table, string(rune('a'+i)), uint64(i)))
		}
		time.Sleep(2 * time.Second)
		is.Equal(leading(seats), 1)
		for i, s := range seats {
			if s.leads() {
				s.leave()
				seats = append(seats[:i:i], seats[i+1:]...)
				break
			}
		}
		time.Sleep(leader.Look * 2)
		is.Equal(leading(seats), 1)
		is.Equal(seats[0].Leader().Term, int64(2))
		for _, s := range seats {
			s.leave()
		}
	})
}

// The leader is cut off from the store and does not know whether others reach it.
// Its row stands still for the lease, and another host takes it over; the cut off
// one gives orders for no longer than its grace.
func TestRowThatStandsStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows.New(cost)
		a, b := sit(table, "a", 1), (*seat)(nil)
		time.Sleep(time.Second)
		is.True(a.leads())
		b = sit(table, "b", 2)
		time.Sleep(3 * time.Second)
		is.True(!b.leads())
		term := a.Own()
		a.link.Set(rows.Trouble{Silent: true})
		time.Sleep(leader.Lease / 2)
		is.True(!b.leads())
		time.Sleep(leader.Lease + 2*leader.Look)
		is.True(b.leads())
		is.Equal(b.Own().Number(), int64(2))
		time.Sleep(leader.Grace)
		is.True(!term.Valid(time.Now()))
		is.True(!a.leads())
		a.leave()
		b.leave()
	})
}

// outage has eight hosts elect a leader, is told all of them, and returns the terms
// before and after.
func outage(t *testing.T, seed uint64, strike func(seats []*seat)) (before, after int64) {
	table := rows.New(cost)
	peers := &room{seats: map[string]*seat{}}
	var seats []*seat
	for i, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		seats = append(seats, peers.enter(table, name, seed*10+uint64(i)))
	}
	time.Sleep(3 * time.Second)
	before = seats[0].Leader().Term
	strike(seats)
	time.Sleep(3 * time.Second)
	if n := leading(seats); n != 1 {
		t.Errorf("seed %d: %d lead", seed, n)
	}
	after = seats[0].Leader().Term
	holder := map[int64]string{}
	for _, s := range seats {
		s.leave()
		for _, n := range s.led {
			if other, taken := holder[n]; taken {
				t.Errorf("seed %d: term %d is that of %s and of %s", seed, n, other, s.name)
			}
			holder[n] = s.name
		}
	}
	return before, after
}

// The store is away for four seconds and serves again. The leader is well and its
// watchers hear from it, but its row stood still meanwhile. A watcher that had not
// looked for a second took the row over in the moment in which the store was back;
// or the leader itself, whose last write timed out just after that, believed that
// the store turned only it away, and handed over. All that ran had to be learnt anew.
func TestLeaderOutlivesAnOutageOfTheStore(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			before, after := outage(t, seed, func(seats []*seat) {
				for _, s := range seats {
					s.link.Set(rows.Trouble{Refuse: seed%2 == 0, Silent: seed%2 == 1})
				}
				time.Sleep(4*time.Second + time.Duration(seed)*67*time.Millisecond)
				for _, s := range seats {
					s.link.Set(rows.Trouble{})
				}
			})
			if after != before {
				t.Errorf("seed %d: term %d, was %d", seed, after, before)
			}
		})
	}
}

// The store turns the leader away and serves the other hosts. It hands over well
// before its row could be taken over.
func TestLeaderThatIsTurnedAwayHandsOver(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			before, after := outage(t, seed, func(seats []*seat) {
				var left time.Time
				for _, s := range seats {
					if s.leads() {
						s.link.Set(rows.Trouble{Refuse: true})
						left = time.Now()
					}
				}
				for leading(seats) != 1 || seats[0].Leader().Term+seats[1].Leader().Term < 3 {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(left); took > leader.Lease {
					t.Errorf("seed %d: %s until another led", seed, took)
				}
			})
			if after < before {
				t.Errorf("seed %d: term %d, was %d", seed, after, before)
			}
		})
	}
}

// The store turns the leader and some other hosts away. The leader hands over, and those
// that cannot read the row learn from it who leads now.
func TestHostsThatAreTurnedAwayFollowTheNextLeader(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			outage(t, seed, func(seats []*seat) {
				away := map[*seat]bool{}
				for i, s := range seats {
					if s.leads() || i%3 == 0 {
						s.link.Set(rows.Trouble{Refuse: true})
						away[s] = true
					}
				}
				time.Sleep(4 * time.Second)
				for s := range away {
					if at := s.all.at(s.Leader().Address); at == nil || !at.leads() {
						t.Errorf("seed %d: %s watches %q, which does not lead", seed, s.name, s.Leader().Address)
					}
				}
				for s := range away {
					s.link.Set(rows.Trouble{})
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// The leader is cut off from the store, another host takes the row over, and the
// cut heals while the first one settles what became of its last write. It then
// found the new row, and wrote its own over it by the version it had found: the next
// host to take over got a term that was given already, and two leaders started the
// same tasks with one fencing token.
func TestSucceededLeaderLeavesTheRow(t *testing.T) {
	for seed := range uint64(80) {
		synctest.Test(t, func(t *testing.T) {
			outage(t, seed, func(seats []*seat) {
				for _, s := range seats {
					if s.leads() {
						s.link.Set(rows.Trouble{Silent: true})
						time.Sleep(time.Second + time.Duration(seed)*50*time.Millisecond)
						s.link.Set(rows.Trouble{})
						break
					}
				}
				time.Sleep(2 * time.Second)
				for _, s := range seats { // whoever leads by now is succeeded, too
					if s.leads() {
						s.link.Set(rows.Trouble{Silent: true})
					}
				}
				time.Sleep(4 * time.Second)
				for _, s := range seats {
					s.link.Set(rows.Trouble{})
				}
				time.Sleep(leader.Grace)
			})
		})
	}
}

// slowToAnswer takes its time to say whether a more powerful host could lead, and
// there is none.
type slowToAnswer struct{ nobody }

// Successors implements leader.Peer.
func (slowToAnswer) Successors(ctx context.Context, least float64) []string {
	if least > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(1500 * time.Millisecond):
		}
	}
	return nil
}

// A leader that has much to do looks every other second for a more powerful host,
// and these are slow to answer. Its row was not renewed meanwhile: another weak host
// took it over, and so on in turn.
func TestLookForAPowerfulHostDoesNotKeepFromRenewing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows.New(cost)
		a := sitAmong(slowToAnswer{}, table, "a", 1)
		time.Sleep(time.Second)
		b := sitAmong(slowToAnswer{}, table, "b", 2)
		time.Sleep(20 * time.Second)
		is.True(a.leads())
		is.Equal(a.Leader().Term, int64(1))
		a.leave()
		b.leave()
	})
}

// The store takes the write that makes a host leader and loses the answer. The host
// reads the row back and leads; nobody else does.
func TestAnswerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows.New(cost)
		a := sit(table, "a", 1)
		a.link.Set(rows.Trouble{Lose: 1})
		time.Sleep(3 * time.Second)
		is.True(a.leads())
		is.Equal(a.Own().Number(), int64(1))
		a.leave()
	})
}

// A row that cannot be read is somebody else's. It is taken over like one whose
// holder is gone.
func TestUnreadableRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := rows.New(cost)
		table.Put(leader.RowKey, []byte("{nonsense"))
		a := sit(table, "a", 1)
		time.Sleep(3 * time.Second)
		is.True(a.leads())
		a.leave()
	})
}

func FuzzDecodeRow(f *testing.F) {
	for _, s := range []string{"", "{}", `{"term":7,"holder":"a#1"}`, `{"term":"x"}`, "\xff", "[]"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		if r, err := leader.DecodeRow(value); err != nil && r != (leader.Row{}) {
			t.Fatal("a row beside an error")
		}
	})
}
