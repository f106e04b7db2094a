package keeper_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/host/keeper"
	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/job"
)

// The keeper restarts and loses its memory, or gets an ask late, while the placer
// goes on leaving out what it has sent before: the keeper must renew exactly the leases of the ask or
// say that it cannot, never another set.
func TestKeeperNeverRenewsAnotherSet(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		var sender, receiver keeper.Sets
		var late []keeper.Ask
		for i := range 40 {
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				receiver = keeper.Sets{}
			}
			want := keeper.Ask{Token: int64(i), Worker: fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker")), At: "127.0.0.1:1"}
			for n := range rapid.IntRange(0, 2).Draw(t, "leases") {
				want.Leases = append(want.Leases, target.Lease{Job: job.ID(fmt.Sprint("j", n)), Attempt: 1})
			}
			packed := sender.Pack(want)
			if rapid.IntRange(0, 9).Draw(t, "late") == 0 {
				late = append(late, packed) // the placer does without the keeper meanwhile
				sender = keeper.Sets{}
				continue
			}
			for len(late) > 0 && rapid.Bool().Draw(t, "arrives") {
				_, _ = receiver.Unpack(late[0])
				late = late[1:]
			}
			got, err := receiver.Unpack(packed)
			if errors.Is(err, keeper.ErrMissing) {
				sender.Forget(want.Worker)
				continue
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("ask %d: got %v, want %v", i, got, want)
			}
		}
	})
}

func TestAskIsShortWhenNothingChanged(t *testing.T) {
	is := is.New(t)
	var sender keeper.Sets
	a := keeper.Ask{Token: 1, Worker: "w1", At: "127.0.0.1:1", Leases: []target.Lease{{Job: "j", Attempt: 1}}}
	is.Equal(sender.Pack(a), a) // the first is whole
	a.Token = 2
	packed := sender.Pack(a)
	is.True(packed.Same != 0)
	is.Equal(packed, keeper.Ask{Token: 2, Worker: "w1", Same: packed.Same})
	a.Token, a.Leases = 3, nil
	is.Equal(sender.Pack(a), a) // another set is sent, also an empty one
}

func TestResultSurvives(t *testing.T) {
	is := is.New(t)
	rep := target.Report{Worker: "w1", Change: 7, Leaving: true}
	got, err := keeper.ResultOf(1, rep, nil).Report("w1")
	is.NoErr(err)
	is.Equal(got, rep)
	_, err = keeper.ResultOf(1, rep, fmt.Errorf("renew: %w", target.ErrUnreached)).Report("w1")
	is.True(errors.Is(err, target.ErrUnknown)) // what the keeper knows of a failure is not the placer's proof
	_, err = keeper.ResultOf(1, rep, keeper.ErrMissing).Report("w1")
	is.True(errors.Is(err, keeper.ErrMissing))
}
