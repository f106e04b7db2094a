package cancellation

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/graph"
)

func TestScopeCovers(t *testing.T) {
	is := is.New(t)
	own, other, open := &graph.Job{Account: "kiosks", Queue: "q"}, &graph.Job{Account: "salons", Queue: "q"}, &graph.Job{Queue: "open"}
	for _, c := range []struct {
		scope Scope
		want  [3]bool
	}{
		{Account("kiosks"), [3]bool{true, false, true}},
		{Account(""), [3]bool{false, false, true}},
		{Queue("open"), [3]bool{false, false, true}},
		{All(), [3]bool{true, true, true}},
	} {
		is.Equal([3]bool{c.scope.Covers(own), c.scope.Covers(other), c.scope.Covers(open)}, c.want)
	}
}

// A set keeps each cancellation until its deadline, and stays within its limits whatever is added.
func TestSetKeepsCancellations(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) {
		held := map[graph.JobID]int64{} // deadlines
		s, now := Set{}, int64(0)
		scope := func(id graph.JobID) Scope { return Account("a" + string(id[len(id)-1])) }
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now += int64(rapid.IntRange(0, 9).Draw(rt, "elapsed"))
			id := graph.JobID(fmt.Sprintf("%016x", rapid.IntRange(0, 400).Draw(rt, "id")))
			next, err := s.With(id, scope(id), now, now+500)
			if err == nil {
				s, held[id] = next, now+500
			} else if !errors.Is(err, ErrFull) {
				rt.Fatal(err)
			}
			if s.Len() > MaxEntries || len(s.Encode()) > MaxBytes {
				rt.Fatalf("%d cancellations, %d bytes", s.Len(), len(s.Encode()))
			}
			decoded, err := Decode(s.Encode())
			if err != nil {
				rt.Fatal(err)
			}
			for id, want := range held {
				if got, _ := decoded.Deadline(id, scope(id)); want > now && got != want {
					rt.Fatalf("deadline of %s is %d at %d, want %d", id, got, now, want)
				}
			}
		}
	})
}

// One account cannot use up a set, and all together cannot exceed its limit.
func TestSetIsShared(t *testing.T) {
	is := is.New(t)
	s := Set{}
	add := func(account, n int) (err error) {
		var next Set
		if next, err = s.With(graph.JobID(fmt.Sprintf("%016x", account<<8+n)), Account(fmt.Sprint("account", account)), 1, 100); err == nil {
			s = next
		}
		return err
	}
	for account := range MaxEntries / MaxPerScope {
		for n := range MaxPerScope {
			is.NoErr(add(account, n))
		}
		is.True(errors.Is(add(account, MaxPerScope), ErrFull))
	}
	is.True(errors.Is(add(99, 0), ErrFull))
	is.Equal(s.Unexpired(100, 200).Len(), 0) // their time is over
	_, err := Set{}.With("00000000000000aa", Account(strings.Repeat("a", MaxBytes)), 1, 100)
	is.True(errors.Is(err, ErrFull))
}

// Guards against cancellations that hold for ever: the store's clock has begun anew.
func TestDeadlineFollowsClockThatBeganAnew(t *testing.T) {
	is := is.New(t)
	s, err := Set{}.With("00000000000000aa", All(), 1_000_000, 1_150_000)
	is.NoErr(err)
	deadline, _ := s.Unexpired(10, 150_010).Deadline("00000000000000aa", All())
	is.Equal(deadline, int64(150_010))
}
