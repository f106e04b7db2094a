package placement_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/guarantee"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/proof/seeded"
)

// An account asks for its room while others run on it. As little of their work
// as possible should be lost: the choice is held against every set of gangs
// that could be stopped.
func TestReclaimAgainstExhaustiveSearch(t *testing.T) {
	asked, best := 0, 0
	excess := 0.0
	seeded.Check(t, func(t *rapid.T) {
		f := newFleet(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		s := f.shape()
		if f.zone.SetGuarantees([]guarantee.Guarantee{kind("a", s)}) != nil {
			return
		}
		for range 12 {
			f.now = f.now.Add(time.Duration(1+f.pick(100)) * time.Second)
			r := f.request()
			r.Account, r.Stoppable = "b", f.pick(4) > 0
			if a, ok := f.zone.Place(r); ok {
				f.mustTake(r, a)
			}
			if f.pick(3) == 0 {
				f.checkpoint()
			}
		}
		r := placement.Request{Owner: "back", Account: "a", Shape: s, Guaranteed: true}
		_, victims, ok := f.zone.Reclaim(r, f.now)
		if !ok {
			t.Fatalf("nothing to reclaim for %v", r)
		}
		got, least := f.lost(victims), f.leastLost(s)
		if got < least {
			t.Fatalf("stopping %v loses %v, less than the least %v: it makes no room", victims, got, least)
		}
		asked++
		excess += (got - least) / max(least, 1)
		if got == least {
			best++
		}
	})
	t.Logf("reclaims %d, of these the least work lost %d, mean excess %.3f", asked, best, excess/float64(asked))
	if best*100 < asked*90 {
		t.Fatalf("%d of %d reclaims lose the least work, want 90 %%", best, asked)
	}
}

func (f *fleet) lost(owners []string) float64 {
	sum := 0.0
	for _, o := range owners {
		h, _ := f.zone.Holder(o)
		lost := f.now.Sub(h.Since)
		if !h.Checkpoint.IsZero() {
			lost = f.now.Sub(h.Checkpoint)
		}
		sum += lost.Seconds() * float64(max(h.Request.Shape.Total(), 1))
	}
	return sum
}

// leastLost tries every set of gangs that may be stopped.
func (f *fleet) leastLost(s cell.Shape) float64 {
	var loose []string
	for _, o := range f.owners {
		if h, _ := f.zone.Holder(o); !firm(h) {
			loose = append(loose, o)
		}
	}
	least := math.Inf(1)
	for set := range 1 << len(loose) {
		stopped := map[string]bool{}
		var owners []string
		for i, o := range loose {
			if set>>i&1 == 1 {
				stopped[o] = true
				owners = append(owners, o)
			}
		}
		bins, err := f.bins(func(h placement.Holder) bool { return !stopped[h.Request.Owner] })
		if lost := f.lost(owners); err == nil && lost < least && packable(bins, []cell.Shape{s}) {
			least = lost
		}
	}
	return least
}

// Two gangs stand on an account's room. The one that has just written a
// checkpoint loses less, and nothing else is stopped. A gang that claims its
// own account's guarantee is never stopped, nor is one that cannot be.
func TestReclaimStopsTheNewestCheckpoint(t *testing.T) {
	is := is.New(t)
	z := placement.NewZone(nil)
	for _, id := range []string{"w0", "w1", "w2", "w3"} {
		w, err := cell.NewWorker(id, "z", "r0", 8, 64, 1024, 8)
		is.NoErr(err)
		z.AddWorker(w)
	}
	whole := mustShape(1, 8, 1, 1, cell.SameWorker)
	is.NoErr(z.SetGuarantees([]guarantee.Guarantee{kind("a", whole), kind("b", whole)}))
	start := time.Unix(0, 0)
	for _, r := range []placement.Request{
		{Owner: "claims", Account: "b", Shape: whole, Guaranteed: true, Stoppable: true},
		{Owner: "firm", Account: "c", Shape: whole},
		{Owner: "elder", Account: "c", Shape: whole, Stoppable: true},
		{Owner: "fresh", Account: "d", Shape: whole, Stoppable: true},
	} {
		a, ok := z.Place(r)
		is.True(ok)
		is.NoErr(z.Take(r, a, start))
	}
	now := start.Add(time.Hour)
	z.Checkpointed("claims", now)
	z.Checkpointed("fresh", now.Add(-time.Minute))

	_, _, ok := z.Reclaim(placement.Request{Owner: "x", Account: "a", Shape: whole}, now)
	is.True(!ok) // it asks for no guaranteed room
	for _, r := range []placement.Request{
		{Owner: "asked", Account: "a", Shape: whole, Guaranteed: true},
		{Owner: "urgent", Account: "a", Shape: whole, Urgent: true},
	} {
		_, victims, ok := z.Reclaim(r, now)
		is.True(ok)
		is.Equal(victims, []string{"fresh"})
	}
	_, _, ok = z.Reclaim(placement.Request{Owner: "more", Account: "b", Shape: whole, Urgent: true}, now)
	is.True(!ok) // the account's guarantee is claimed already
}
