package leader_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/leader"
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

// seat is a host that takes part in an election.
type seat struct {
	*leader.Election
	link *rows.Link
	end  context.CancelFunc
	over chan struct{}
}

func sit(table *rows.Table, name string, seed uint64) *seat {
	ctx, end := context.WithCancel(context.Background())
	s := &seat{link: rows.NewLink(table, rand.New(rand.NewPCG(seed, 1))), end: end, over: make(chan struct{})}
	lead := func(ctx context.Context, _ *leader.Term, _ bool) error {
		<-ctx.Done()
		return ctx.Err()
	}
	draw := rand.New(rand.NewPCG(seed, 2)).Int64N
	s.Election = leader.New(s.link, nobody{}, lead, name+"#1", name, logr.Discard(), leader.WithClock(time.Now), leader.WithDraw(draw))
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
