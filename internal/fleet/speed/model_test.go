package speed

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
)

// If targets that are alike were told apart by chance, deployments of one kind of targets would get
// other decisions than without the model. The test for a spread is repeated each second, and estimates
// are wrong by factors of up to 5.
func TestAlikeTargetsStayAlike(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		f := newDrawnFleet(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{8, 50, 350}).Draw(t, "targets"))
		if rapid.Bool().Draw(t, "heavyTailed") {
			f.noise = heavyTailed
		}
		if len(f.slowness) == 8 {
			f.runSmall(rapid.Just(120).Draw(t, "seconds"), t)
			return
		}
		m := New()
		for range rapid.SampledFrom([]int{60, 300}).Draw(t, "seconds") {
			f.run(m, 1, 0.6)
			if !f.allAlike(m) {
				t.Fatalf("targets that are alike are told apart after %v: spread %v", f.now.Sub(begin), m.Spread())
			}
		}
	})
}

// runSmall checks a fleet on which each step runs on most targets.
func (f *drawnFleet) runSmall(seconds int, t *rapid.T) {
	m := New()
	for range seconds {
		f.drawStep(5, m.Observe)
		m.Fit(f.now)
		f.now = f.now.Add(time.Second)
		if !f.allAlike(m) {
			t.Fatalf("targets that are alike are told apart after %v: spread %v", f.now.Sub(begin), m.Spread())
		}
	}
}

// Faults slow some targets down by a factor of 4 for 8 s. A model that took this for lasting slowness
// would keep urgent work off them after the fault has passed.
func TestShortFaultsAreNoSpread(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(3, 350)
	f.fault = func(i int, at float64) float64 {
		if (int(at)/8+i)%40 == 0 { // each target once in 320 s
			return math.Log(4)
		}
		return 0
	}
	m := New()
	for range 300 {
		f.run(m, 1, 0.6)
		is.True(f.allAlike(m))
	}
}

// With a fifth of the targets twice as fast as the others, most of them must be told after three to
// five runs each, and hardly any other: urgent work comes from the first minute on.
func TestTwoKindsAreToldAfterFewRuns(t *testing.T) {
	for seed := range uint64(5) {
		is := is.New(t)
		f := newDrawnFleet(seed, 350)
		f.setFast(5)
		m := New()
		f.run(m, 70, 1) // four runs on each target on average
		fast, told, wrong := f.count(m)
		t.Logf("seed %d: %d of %d fast targets told, %d of %d others told wrongly; spread %.2f, noise %.2f", seed, told, fast, wrong, 350-fast, m.Spread(), m.Noise())
		is.True(told >= fast*3/4)
		is.True(wrong <= 350/50)
	}
}

// Half a minute with 20 steps shows one run on each target on average. The spread must be found by
// then, since a deployment may be under its greatest load in its first minutes.
func TestFewObservationsShowTheSpread(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(1, 350)
	f.setFast(5)
	m := New()
	f.run(m, 30, 0.67)
	fast, told, wrong := f.count(m)
	t.Logf("%d of %d fast targets told, %d others told wrongly; spread %.2f", told, fast, wrong, m.Spread())
	is.True(m.Spread() > 0)
	is.True(wrong <= 350/50)
}

// Noise with a tenth of outliers, as long waits on a busy target cause, must not hide the kinds.
func TestTwoKindsWithHeavyTails(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(2, 350)
	f.setFast(5)
	f.noise = heavyTailed
	m := New()
	f.run(m, 120, 1)
	fast, told, wrong := f.count(m)
	t.Logf("%d of %d fast targets told, %d others told wrongly; spread %.2f", told, fast, wrong, m.Spread())
	is.True(told >= fast*2/3)
	is.True(wrong <= 350/25)
}

// One fast rack of eight among 350 targets hardly shows in the spread of the fleet. It must be found
// all the same, and not be drawn to the others.
func TestOneFastRack(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(4, 350)
	for i := range 8 {
		f.slowness[i] = math.Log(0.5)
	}
	m := New()
	f.run(m, 150, 1)
	fast, told, wrong := f.count(m)
	t.Logf("%d of %d fast targets told, %d others told wrongly; spread %.2f", told, fast, wrong, m.Spread())
	is.True(told >= fast-1)
	is.True(wrong <= 350/50)
}

// Targets that change places within half an hour must be told by their present speed: an estimate
// that holds on to the past would send urgent work to the wrong ones.
func TestDriftingTargets(t *testing.T) {
	is := is.New(t)
	const span = 1800
	f := newDrawnFleet(5, 100)
	f.drift = func(i int, at float64) float64 {
		if i%5 == 0 {
			return math.Log(0.5) * min(at/span, 1) // become fast
		}
		if i%5 == 1 {
			return math.Log(0.5) * max(1-at/span, 0) // cease to be
		}
		return 0
	}
	m := New()
	f.run(m, span+600, 0.5)
	square, n := 0.0, 0
	for i := range f.slowness {
		e := m.Of(f.target(i))
		d := e.Log() - f.drift(i, span+600)
		square += d * d
		n++
	}
	t.Logf("root mean square error of the log %.3f", math.Sqrt(square/float64(n)))
	is.True(math.Sqrt(square/float64(n)) < 0.12)
}

// The estimates must be those of a slow and obvious method: alternating medians over all observations
// until nothing changes (median polish).
func TestAgreesWithMedianPolish(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		f := newDrawnFleet(rapid.Uint64().Draw(t, "seed"), 60)
		f.setFast(rapid.IntRange(3, 8).Draw(t, "one fast in"))
		m, polish := New(), &medianPolish{}
		for i := range 45 { // below maxPerTarget on average
			f.drawStep(13, func(o Observation, now time.Time) {
				m.Observe(o, now)
				polish.observe(o)
			})
			if i%5 == 4 {
				m.Fit(f.now)
			}
			f.now = f.now.Add(time.Second)
		}
		want := polish.fit()
		square, n := 0.0, 0
		for i := range f.slowness {
			name := f.target(i)
			if polish.count[name] < 5 {
				continue
			}
			d := m.Of(name).Log() - want[name]
			square += d * d
			n++
		}
		if rms := math.Sqrt(square / float64(n)); rms > 0.15 {
			t.Fatalf("root mean square difference %.3f over %d targets; spread %v", rms, n, m.Spread())
		}
	})
}

// medianPolish fits all observations by alternating medians.
type medianPolish struct {
	all   []Observation
	count map[Target]int
}

func (p *medianPolish) observe(o Observation) {
	if p.count == nil {
		p.count = map[Target]int{}
	}
	p.all = append(p.all, o)
	p.count[o.Target]++
}

func (p *medianPolish) fit() map[Target]float64 {
	factors, slowness := map[any]float64{}, map[Target]float64{}
	for range 100 {
		byStep, byTarget := map[any][]float64{}, map[Target][]float64{}
		for _, o := range p.all {
			id := o.Run.Task.StepID
			byStep[id] = append(byStep[id], math.Log(o.Ratio)-slowness[o.Target])
		}
		for id, list := range byStep {
			factors[id] = median(list)
		}
		for _, o := range p.all {
			byTarget[o.Target] = append(byTarget[o.Target], math.Log(o.Ratio)-factors[o.Run.Task.StepID])
		}
		for name, list := range byTarget {
			slowness[name] = median(list)
		}
	}
	var all []float64
	for _, s := range slowness {
		all = append(all, s)
	}
	middle := median(all)
	for name := range slowness {
		slowness[name] -= middle
	}
	return slowness
}

// Another incarnation may be another machine: what was known of the one before must not count for it.
func TestIncarnationsAreApart(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(6, 100)
	f.setFast(5)
	m := New()
	f.run(m, 60, 1)
	is.True(m.Of(f.target(0)).Fast())
	next := f.target(0)
	next.StartedAt++
	is.Equal(m.Of(next), Estimate{})
	m.Forget(f.target(0))
	is.Equal(m.Of(f.target(0)), Estimate{})
}

// Without a bound on what is kept, a leader that serves for days would run out of memory.
func TestObservationsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(7, 50)
	f.setFast(5)
	m := New()
	for range 600 {
		f.run(m, 1, 3)
		for _, x := range m.targets {
			is.True(len(x.observations) <= maxPerTarget)
		}
		is.True(m.observations <= minObservations)
	}
	is.Equal(len(m.steps), len(m.byStep))
	fast, told, wrong := f.count(m)
	is.Equal(told, fast)
	is.Equal(wrong, 0)
}

// Ratios that cannot come from a run would make every estimate of their step useless.
func TestInvalidRatiosAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(8, 10)
	m := New()
	f.drawStep(5, func(o Observation, now time.Time) {
		for _, r := range []float64{0, -1, math.Inf(1), math.NaN()} {
			o.Ratio = r
			m.Observe(o, now)
		}
	})
	is.Equal(m.observations, 0)
	is.True(!m.Changed())
}

// Several tasks of a step often run on one target. If they were compared with each other, a fast target
// would appear like the others.
func TestTasksOfOneStepOnOneTarget(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(10, 60)
	f.setFast(5)
	m := New()
	for range 60 {
		f.drawStep(5, func(o Observation, now time.Time) {
			for k := range 8 {
				o := o
				o.Run.Task.Index = 10*o.Run.Task.Index + k
				o.Ratio *= math.Exp(0.1 * f.random.NormFloat64())
				m.Observe(o, now)
			}
		})
		m.Fit(f.now)
		f.now = f.now.Add(time.Second)
	}
	fast, told, wrong := f.count(m)
	t.Logf("%d of %d fast targets told, %d others told wrongly", told, fast, wrong)
	is.True(told >= fast*3/4)
	is.True(wrong <= 1)
}

// A run that is observed again, as its progress is reported, counts once.
func TestRunCountsOnce(t *testing.T) {
	is := is.New(t)
	f := newDrawnFleet(9, 10)
	m := New()
	f.drawStep(5, func(o Observation, now time.Time) {
		m.Observe(o, now)
		o.Ratio *= 1.1
		m.Observe(o, now.Add(time.Second))
	})
	is.Equal(m.observations, 5)
}

// Decisions compare levels. A target whose speed is uncertain must not be preferred or avoided.
func TestLevels(t *testing.T) {
	is := is.New(t)
	is.Equal(Estimate{}.Level(), 0)
	is.Equal(Estimate{log: math.Log(0.5), deviation: 0.1}.Level(), -2)
	is.Equal(Estimate{log: math.Log(0.5), deviation: 0.5}.Level(), 0)
	is.Equal(Estimate{log: -0.3, deviation: 0.05}.Level(), -1)
	is.Equal(Estimate{log: math.Log(2), deviation: 0.1}.Level(), 2)
	is.Equal(Estimate{log: 0.1, deviation: 0.01}.Level(), 0)
	is.True(Estimate{log: 0.1, deviation: 0.1}.Lower() < 1)
	is.True(Estimate{log: -0.1, deviation: 0.1}.Upper() > 1)
}

func BenchmarkObserve(b *testing.B) {
	f := newDrawnFleet(1, 6000)
	f.setFast(5)
	m := New()
	var drawn []Observation
	for range 2000 {
		f.drawStep(39, func(o Observation, _ time.Time) { drawn = append(drawn, o) })
	}
	b.ResetTimer()
	for i := range b.N {
		m.Observe(drawn[i%len(drawn)], f.now)
	}
}

func BenchmarkFit(b *testing.B) {
	for _, n := range []int{350, 6000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			f := newDrawnFleet(1, n)
			f.setFast(5)
			m := New()
			for range 12 * n / 39 {
				f.drawStep(39, m.Observe)
				f.now = f.now.Add(time.Second)
			}
			m.Fit(f.now)
			b.ResetTimer()
			for range b.N {
				m.changed = true
				m.Fit(f.now)
			}
			b.ReportMetric(m.Spread(), "spread")
		})
	}
}
