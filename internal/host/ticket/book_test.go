package ticket_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/host/ticket"
	"guavaglade.example/guavaglade/internal/work/job"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func book(t *testing.T, seed byte, incarnation int64, opts ...ticket.Option) *ticket.Book {
	t.Helper()
	b, err := ticket.New("10.0.0.1:7000", incarnation, rand.NewChaCha8([32]byte{seed}), opts...)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A salon sends a billed order twice in a zone that is cut off, and another
// order with the same ticket. The first one runs, the second copy is the same
// order, the other order is refused.
func TestTicketIsSpentOnce(t *testing.T) {
	is := is.New(t)
	b := book(t, 1, 4)
	text, err := b.Issue("salon", start.Add(time.Minute))
	is.NoErr(err)
	fresh, err := b.Spend(text, "salon", "salon-1", start)
	is.NoErr(err)
	is.True(fresh)
	fresh, err = b.Spend(text, "salon", "salon-1", start.Add(time.Hour))
	is.NoErr(err)
	is.True(!fresh)
	_, err = b.Spend(text, "salon", "salon-2", start)
	is.True(errors.Is(err, ticket.ErrSpent))
	_, err = b.Spend(text, "kiosk", "salon-1", start)
	is.True(errors.Is(err, ticket.ErrForged))
}

// The placer of a cut-off zone changes while an order waits; both placers hold
// it and ask for leave to start it. Only one of them gets it, and gets it again
// if its answer was lost.
func TestTicketGivesLeaveToOnePlacer(t *testing.T) {
	is := is.New(t)
	b := book(t, 1, 4)
	text, err := b.Issue("salon", start.Add(time.Minute))
	is.NoErr(err)
	l := target.Lease{Job: "salon-1", Attempt: 1}
	won, err := b.Claim(text, l, "first")
	is.NoErr(err)
	is.True(!won) // not spent yet
	_, err = b.Spend(text, "salon", "salon-1", start)
	is.NoErr(err)
	for _, c := range []struct {
		name string
		l    target.Lease
		by   string
		won  bool
	}{
		{"first", l, "first", true},
		{"first again", l, "first", true},
		{"another placer", l, "second", false},
		{"another attempt", target.Lease{Job: "salon-1", Attempt: 2}, "first", false},
		{"another job", target.Lease{Job: "salon-2", Attempt: 1}, "first", false},
	} {
		won, err := b.Claim(text, c.l, c.by)
		is.NoErr(err)
		if won != c.won {
			t.Errorf("%s: won is %v, want %v", c.name, won, c.won)
		}
	}
}

func TestSpendRefuses(t *testing.T) {
	is := is.New(t)
	good, other := book(t, 1, 4), book(t, 2, 4)
	text, err := good.Issue("salon", start.Add(time.Minute))
	is.NoErr(err)
	foreign, err := other.Issue("salon", start.Add(time.Minute))
	is.NoErr(err)
	restarted := book(t, 3, 5)
	cases := []struct {
		name string
		book *ticket.Book
		text string
		at   time.Time
		want error
	}{
		{"not a ticket", good, "hello", start, ticket.ErrForged},
		{"no payload", good, ".e30", start, ticket.ErrForged},
		{"bad base64", good, "!.!", start, ticket.ErrForged},
		{"signature cut", good, text[:len(text)-4], start, ticket.ErrForged},
		{"another key", good, foreign, start, ticket.ErrForged},
		{"expired", good, text, start.Add(time.Minute), ticket.ErrExpired},
		{"host restarted", restarted, text, start, ticket.ErrElsewhere},
		{"no room", book(t, 1, 4, ticket.WithCapacity(0)), text, start, ticket.ErrFull},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := c.book.Spend(c.text, "salon", "salon-1", c.at)
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
	read, err := ticket.Read(text)
	is.NoErr(err)
	is.Equal(read.Host(), "10.0.0.1:7000")
	is.Equal(read.Incarnation(), int64(4))
}

// A burst of tickets is spent during a long cut. What is remembered of them
// ends by its stored time, not before a ticket could be spent again.
func TestBookForgetsAfterTheDeadline(t *testing.T) {
	is := is.New(t)
	b := book(t, 1, 4, ticket.WithCapacity(2))
	spend := func(id job.ID, at time.Time) error {
		text, err := b.Issue("salon", at.Add(time.Minute))
		is.NoErr(err)
		_, err = b.Spend(text, "salon", id, at)
		return err
	}
	is.NoErr(spend("1", start))
	is.NoErr(spend("2", start))
	is.True(errors.Is(spend("3", start.Add(time.Second)), ticket.ErrFull))
	is.NoErr(spend("4", start.Add(ticket.KeepFor)))
	is.Equal(b.Spent(), 1)
}
