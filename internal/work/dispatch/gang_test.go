package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
)

// A pass skips a gang if one that needs no more did not fit in the same pass. The skipped
// gang would not have fitted either, whatever runs and whatever else was placed. The fleet,
// its work and the gangs are random by seed.
func TestUnplaceableGangRulesOutLargerGangs(t *testing.T) {
	seeded.Check(t, func(rt *rapid.T) {
		d := newSimulation(t, rapid.IntRange(1, 3).Draw(rt, "racks"), 8, DefaultBounds())
		for n := range rapid.IntRange(0, 6).Draw(rt, "wide steps") {
			d.m.Accept(d.makeJob(n+1, 2, small(rapid.IntRange(1, 40).Draw(rt, "tasks"))), d.now)
			savedStarts(d)
		}
		d.m.newPass(d.now)
		for n := range rapid.IntRange(2, 12).Draw(rt, "gangs") {
			g := largeGang(rapid.IntRange(1, 20).Draw(rt, "members"), rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(rt, "accelerators"))
			g.SameRack = rapid.Bool().Draw(rt, "same rack")
			d.m.Accept(d.makeJob(100+n, 1, g), d.now)
			s := d.m.pendingSteps[len(d.m.pendingSteps)-1]
			slower := d.m.wallMS(d.now) > s.latestStartForValue()
			if !d.m.isUnplaceable(s, slower, d.now) {
				d.m.placeGang(s, d.now)
				continue
			}
			sets := d.m.targetSets(s, d.now)
			for _, set := range sets {
				if plan, _ := d.m.planWithoutPreemption(s, set.targets, d.now); plan != nil && (set.slowdowns == sets[0].slowdowns || slower) {
					rt.Fatalf("%d members of %d accelerators fit", len(s.tasks), s.spec.Needs.Accelerators)
				}
			}
		}
	})
}

// An urgent gang is pending, and nothing may be preempted for it yet. The leader searches
// for work to preempt a few times a second, not at each decision, and keeps targets reserved
// for the gang between two searches.
func TestPreemptionSearchIsRateLimited(t *testing.T) {
	d := newSimulation(t, 100, 8, DefaultBounds())
	for n := range 100 {
		d.m.Accept(d.makeJob(100+n, 2, small(64)), d.now)
		d.startAll()
	}
	d.now = d.now.Add(30 * time.Second)
	d.m.Accept(d.makeJob(2, 0, urgentGang(8, 8)), d.now)
	s := d.m.pendingSteps[len(d.m.pendingSteps)-1]
	searches, last := 0, s.nextPreemptionAt
	for range 100 {
		d.m.placementDue, d.m.nextPassAt = true, time.Time{}
		d.m.Decide(d.now)
		if s.nextPreemptionAt != last {
			searches, last = searches+1, s.nextPreemptionAt
		}
		d.now = d.now.Add(10 * time.Millisecond)
	}
	if searches < 4 || searches > 6 {
		t.Errorf("%d searches in a second", searches)
	}
	if len(s.reservation) == 0 || !d.m.reservedForOther(s.reservation[0], &step{}) {
		t.Error("targets are not reserved between two searches")
	}
}
