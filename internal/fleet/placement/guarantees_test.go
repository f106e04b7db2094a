package placement_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/guarantee"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/proof/seeded"
)

// verdict is what a check of a fleet's books against the exhaustive search found.
type verdict struct {
	risky, falselyRisky int // guarantees at risk, and those where all could be packed
}

// firm reports whether a holder keeps its room against a reclaim.
func firm(h placement.Holder) bool { return h.Claims || !h.Request.Stoppable }

// check returns an error if an accelerator is given twice or an account cannot
// get back what is not reported at risk.
func (f *fleet) check() (verdict, error) {
	if _, err := f.bins(func(placement.Holder) bool { return true }); err != nil {
		return verdict{}, err
	}
	bins, err := f.bins(firm)
	if err != nil {
		return verdict{}, err
	}
	left := f.unclaimed()
	all := shapesOf(left)
	var v verdict
	for _, g := range f.zone.AtRisk() {
		left[kind(g.Account(), g.Shape())] -= g.Count()
		v.risky++
	}
	if v.risky > 0 && packable(bins, all) {
		v.falselyRisky++
	}
	for g, n := range left {
		if n < 0 {
			return v, fmt.Errorf("%v is claimed or at risk %d times too often", g, -n)
		}
	}
	if shapes := shapesOf(left); !packable(bins, shapes) {
		return v, fmt.Errorf("unclaimed %v cannot be packed on %v", shapes, bins)
	}
	return v, f.getBack(left)
}

func shapesOf(left map[guarantee.Guarantee]int) []cell.Shape {
	var shapes []cell.Shape
	for g, n := range left {
		for range n {
			shapes = append(shapes, g.Shape())
		}
	}
	return shapes
}

// getBack asks for each unclaimed guarantee once.
func (f *fleet) getBack(left map[guarantee.Guarantee]int) error {
	for g, n := range left {
		r := placement.Request{Owner: "back", Account: g.Account(), Shape: g.Shape(), Guaranteed: true}
		if n < 1 {
			continue
		}
		if _, ok := f.zone.Place(r); ok {
			continue
		}
		if _, _, ok := f.zone.Reclaim(r, f.now); !ok {
			return fmt.Errorf("%v has no place and nothing to reclaim", g)
		}
	}
	return nil
}

// A client account uses its guarantee seldom, and others run on its room in
// the meantime. Jobs come and go, workers and racks are lost and come back,
// the operators change the guarantees. When the account asks, it must get its
// room, unless the zone has said that the guarantee is at risk.
func TestGuaranteesCanBeGivenBack(t *testing.T) {
	risky, falsely := 0, 0
	seeded.Check(t, func(t *rapid.T) {
		f := newFleet(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		var story []string
		defer func() {
			p := recover()
			if s, ok := p.(string); ok {
				t.Fatalf("%s, after:\n%s", s, strings.Join(story, "\n"))
			}
			if p != nil {
				panic(p)
			}
		}()
		for range 15 {
			for range 1 + f.pick(3) {
				story = append(story, f.step())
			}
			v, err := f.check()
			risky += v.risky
			falsely += v.falselyRisky
			if err != nil {
				t.Fatalf("%v, after:\n%s", err, strings.Join(story, "\n"))
			}
		}
		f.restore()
		if _, err := f.check(); err != nil || f.zone.AtRisk() != nil {
			t.Fatalf("with all back: %v, at risk %v", err, f.zone.AtRisk())
		}
	})
	t.Logf("at risk %d, of these all packable %d", risky, falsely)
}

// restore brings all workers back and ends all work.
func (f *fleet) restore() {
	for len(f.away) > 0 {
		f.comeBack()
	}
	for _, id := range f.ids() {
		f.barred[id] = false
		f.zone.Bar(id, false)
	}
	for len(f.owners) > 0 {
		f.drop(0)
	}
}

// The same streams without the plan: the check of the test above must find
// accounts that cannot get back their room, or it would show nothing.
func TestCheckFindsBreachesWithoutPlan(t *testing.T) {
	breaches := 0
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFleet(rng.IntN, placement.WithoutPlan())
		for range 30 {
			f.step()
			if f.breached() {
				breaches++
				break
			}
		}
	}
	t.Logf("streams with a breach: %d of 50", breaches)
	if breaches == 0 {
		t.Fatal("no breach without the plan: the check cannot fail")
	}
}

// breached reports whether an unclaimed guarantee cannot be given back, by the
// exhaustive search.
func (f *fleet) breached() bool {
	bins, err := f.bins(firm)
	if err != nil {
		panic(err)
	}
	return !packable(bins, shapesOf(f.unclaimed()))
}

// An operator writes guarantees that the zone cannot hold all at once. The
// zone must refuse them, and say which does not fit; what can be packed should
// be accepted.
func TestSetGuaranteesAgainstExhaustiveSearch(t *testing.T) {
	possible, refused := 0, 0
	seeded.Check(t, func(t *rapid.T) {
		f := newFleet(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") })
		for range 20 {
			did := f.tryGuarantees()
			possible += did.possible
			refused += did.wronglyRefused
			if did.err != nil {
				t.Fatal(did.err)
			}
		}
	})
	t.Logf("sets that can be packed %d, wrongly refused %d (%.3f %%)", possible, refused, 100*float64(refused)/float64(possible))
	if refused*100 > possible {
		t.Fatalf("%d of %d sets that can be packed were refused, want at most 1 %%", refused, possible)
	}
}

type trial struct {
	possible, wronglyRefused int
	err                      error
}

func (f *fleet) tryGuarantees() trial {
	gs := f.draw()
	err := f.zone.SetGuarantees(gs)
	f.guarantees = gs
	bins, _ := f.bins(firm)
	can := packable(bins, shapesOf(f.unclaimed()))
	var u *guarantee.Unpackable
	switch {
	case err == nil && !can:
		return trial{err: fmt.Errorf("accepted %v, which cannot be packed on %v", gs, bins)}
	case err != nil && !errors.As(err, &u):
		return trial{err: fmt.Errorf("refused %v without naming the shape: %w", gs, err)}
	case err != nil && can:
		return trial{possible: 1, wronglyRefused: 1}
	case can:
		return trial{possible: 1}
	}
	return trial{}
}

// A worker drops out of the list while a gang that cannot be stopped runs on
// it. The operators change the guarantees in the meantime, and the worker comes
// back with the gang still on it. The plan had forgotten the gang and promised
// its accelerators to another account.
func TestGangOnReturnedWorkerIsNotPromisedAway(t *testing.T) {
	is := is.New(t)
	w, err := cell.NewWorker("w0", "z", "r0", 2, 8, 8, 8)
	is.NoErr(err)
	s, err := cell.NewShape(1, 2, 1, 1, cell.SameWorker)
	is.NoErr(err)
	z := placement.NewZone(nil)
	z.AddWorker(w)
	is.NoErr(z.SetGuarantees([]guarantee.Guarantee{kind("a", s)}))
	r := placement.Request{Owner: "gang", Account: "a", Shape: s, Guaranteed: true}
	a, ok := z.Place(r)
	is.True(ok)
	is.NoErr(z.Take(r, a, time.Unix(0, 0)))

	z.RemoveWorker("w0")
	is.NoErr(z.SetGuarantees([]guarantee.Guarantee{kind("b", s)}))
	z.AddWorker(w)
	is.Equal(z.AtRisk(), []guarantee.Guarantee{kind("b", s)}) // the gang still runs there
	z.Free("gang")
	is.Equal(z.AtRisk(), nil) // repaired as soon as it ended
}

// An account runs a gang over two racks, and its guarantee is changed to the
// same gang in one rack. The plan took the room over two racks for the
// guarantee's, and when the gang ended one rack was not enough.
func TestClaimStandsAsCloseAsItsGuarantee(t *testing.T) {
	is := is.New(t)
	z := placement.NewZone(nil)
	for _, id := range []string{"w0", "w1"} {
		w, err := cell.NewWorker(id, "z", "rack-of-"+id, 2, 8, 8, 8)
		is.NoErr(err)
		z.AddWorker(w)
	}
	wide, err := cell.NewShape(2, 1, 0, 0, cell.Any)
	is.NoErr(err)
	narrow, err := cell.NewShape(2, 1, 0, 0, cell.SameRack)
	is.NoErr(err)
	r := placement.Request{Owner: "gang", Account: "a", Shape: wide, Guaranteed: true}
	over := cell.Assignment{{Member: 0, Worker: "w0", Accelerators: 1}, {Member: 1, Worker: "w1", Accelerators: 1}}
	is.NoErr(z.Take(r, over, time.Unix(0, 0)))
	is.NoErr(z.SetGuarantees([]guarantee.Guarantee{kind("a", narrow)}))
	h, _ := z.Holder("gang")
	is.True(!h.Claims)
	is.Equal(len(z.AtRisk()), 1) // one accelerator is free in each rack
	z.Free("gang")
	is.Equal(z.AtRisk(), nil)
}

// A rack switch goes, and an account's gang of two workers is at risk. The
// workers come back one after the other. Work that cannot be stopped must not
// settle on the first one, or the guarantee stays at risk until that ends.
func TestReturningWorkersRepairGuaranteesFirst(t *testing.T) {
	is := is.New(t)
	pair, single := mustShape(2, 4, 1, 1, cell.SameRack), mustShape(1, 4, 1, 1, cell.Any)
	var workers []cell.Worker
	for _, id := range []string{"w0", "w1", "other"} {
		w, err := cell.NewWorker(id, "z", map[string]string{"other": "r1"}[id], 4, 8, 8, 8)
		is.NoErr(err)
		workers = append(workers, w)
	}
	z := placement.NewZone(nil)
	for _, w := range workers {
		z.AddWorker(w)
	}
	is.NoErr(z.SetGuarantees([]guarantee.Guarantee{kind("a", pair)}))
	z.RemoveWorker("w0")
	z.RemoveWorker("w1")
	is.Equal(z.AtRisk(), []guarantee.Guarantee{kind("a", pair)})

	z.AddWorker(workers[0])
	firm := placement.Request{Owner: "firm", Account: "b", Shape: single}
	a, ok := z.Place(firm)
	is.True(ok)
	is.Equal(a[0].Worker, "other")
	is.NoErr(z.Take(firm, a, time.Unix(0, 0)))
	_, ok = z.Place(placement.Request{Owner: "next", Account: "b", Shape: single})
	is.True(!ok) // w0 is the half of the guarantee that is back
	_, ok = z.Place(placement.Request{Owner: "lent", Account: "b", Shape: single, Stoppable: true})
	is.True(ok) // and idle, so it is lent
	z.AddWorker(workers[1])
	is.Equal(z.AtRisk(), nil)
}

// An account asks for two small members where its guarantee is one. The slot of
// the second was counted free although another account's guarantee held it: a
// place was given and then refused, over and over.
func TestSmallMembersDoNotTakeOthersSlots(t *testing.T) {
	is := is.New(t)
	z := placement.NewZone(nil)
	for i, accelerators := range []int{1, 0} {
		w, err := cell.NewWorker(fmt.Sprint("w", i), "z", "r", accelerators, 8, 8, 2-i)
		is.NoErr(err)
		z.AddWorker(w)
	}
	one, two := mustShape(1, 0, 0, 0, cell.SameWorker), mustShape(2, 0, 0, 0, cell.SameWorker)
	is.NoErr(z.SetGuarantees([]guarantee.Guarantee{kind("a", mustShape(1, 1, 0, 0, cell.Any)), kind("b", one)}))
	lent := placement.Request{Owner: "lent", Account: "c", Shape: one, Stoppable: true}
	is.NoErr(z.Take(lent, cell.Assignment{{Worker: "w1"}}, time.Unix(0, 0)))
	_, ok := z.Place(placement.Request{Owner: "two", Account: "b", Shape: two, Guaranteed: true})
	is.True(!ok)
}

// An account is promised a whole worker, and sends a small urgent job first.
// Though another worker was idle, the small job used the guarantee up, and the
// account's large job had to wait.
func TestSmallGangLeavesTheGuaranteeForTheLargeOne(t *testing.T) {
	is := is.New(t)
	z := placement.NewZone(nil)
	for _, id := range []string{"w0", "w1"} {
		w, err := cell.NewWorker(id, "z", "r", 8, 64, 1024, 8)
		is.NoErr(err)
		z.AddWorker(w)
	}
	whole, small := mustShape(1, 8, 1, 1, cell.SameWorker), mustShape(1, 1, 1, 1, cell.Any)
	is.NoErr(z.SetGuarantees([]guarantee.Guarantee{kind("a", whole)}))
	requests := []placement.Request{
		{Owner: "urgent", Account: "a", Shape: small, Urgent: true},
		{Owner: "small", Account: "a", Shape: small, Guaranteed: true},
		{Owner: "large", Account: "a", Shape: whole, Guaranteed: true},
	}
	for i, r := range requests {
		a, ok := z.Place(r)
		is.True(ok)
		is.NoErr(z.Take(r, a, time.Unix(0, 0)))
		h, _ := z.Holder(r.Owner)
		is.Equal(h.Claims, i == 2) // only the large one
	}
}
