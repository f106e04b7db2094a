package speed

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A new leader must know the speeds at once, and keep them while it has too few observations of its own:
// otherwise urgent work would be placed anywhere for a minute after each takeover.
func TestRestoredModelKnowsTheSpeeds(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(11, 350)
	f.setFast(5)
	before := New()
	f.run(before, 70, 1)
	_, toldBefore, _ := f.count(before)
	m := New()
	m.Restore(before.Snapshot(), f.now)
	fast, told, wrong := f.count(m)
	is.Equal(told, toldBefore)
	for range 40 {
		f.run(m, 1, 0.7)
		_, told, wrong = f.count(m)
		is.True(told >= fast*3/4)
		is.True(wrong <= 350/50)
	}
	is.True(told >= toldBefore)
}

// If the fleet was replaced by targets that are alike, a restored spread must cease.
func TestRestoredSpreadCeases(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(12, 100)
	f.setFast(5)
	before := New()
	f.run(before, 70, 1)
	is.True(before.Spread() > 0)
	for i := range f.slowness {
		f.slowness[i] = 0
	}
	m := New()
	m.Restore(before.Snapshot(), f.now)
	is.True(m.Spread() > 0)
	f.run(m, 200, 1)
	is.True(f.allAlike(m))
}

// Once speeds are known, urgent steps run on fast targets and others on the rest, and hardly any step shows
// the difference. The spread must not cease for that: decisions would change back and forth.
func TestSpreadLastsIfSpeedsAreSeldomCompared(t *testing.T) {
	for seldom, name := range []string{"never", "seldom"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newDrawnFleet(16, 350)
			f.setFast(5)
			m := New()
			f.run(m, 90, 1)
			fast, told, _ := f.count(m)
			is.True(told >= fast*3/4)
			f.apart = func(r *rand.Rand) bool { return seldom == 0 || r.IntN(20) > 0 }
			for range 30 {
				f.run(m, 60, 1)
				_, told, wrong := f.count(m)
				is.True(told >= fast*3/4)
				is.True(wrong <= 350/50)
			}
			_, told, wrong := f.count(m)
			t.Logf("%d of %d fast targets told, %d others told wrongly; spread %.2f, noise %.2f", told, fast, wrong, m.Spread(), m.Noise())
		})
	}
}

// A snapshot of targets that are alike must not make them differ.
func TestSnapshotOfAlikeTargets(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(13, 100)
	before := New()
	f.run(before, 60, 1)
	is.Equal(len(before.Snapshot().Targets), 0)
	m := New()
	m.Restore(before.Snapshot(), f.now)
	is.True(f.allAlike(m))
}

// The first targets of a snapshot are those that matter most, since a row holds a limited number: those
// that differ from the median.
func TestSnapshotOrder(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(14, 100)
	f.setFast(5)
	m := New()
	f.run(m, 70, 1)
	s := m.Snapshot()
	fast, told, _ := f.count(m)
	is.True(told > fast/2)
	for _, k := range s.Targets[:told] {
		is.True((Estimate{k.Log, k.Deviation}).Fast())
	}
	is.Equal(len(s.Targets), 100)
}

// A target that was not observed for a day must not use up memory for ever.
func TestTargetsAreRemoved(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(15, 50)
	m := New()
	f.run(m, 20, 1)
	is.Equal(len(m.targets), 50)
	f.now = f.now.Add(2 * targetRetention)
	f.drawStep(5, m.Observe)
	m.Fit(f.now)
	f.now = f.now.Add(targetRetention + time.Hour)
	f.drawStep(5, m.Observe)
	m.Fit(f.now)
	is.True(len(m.targets) <= 10)
	is.Equal(len(m.targets), len(m.byTarget))
}
