package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Snapshot is what a model knows, for the model of the next leader.
type Snapshot struct {
	Spread  float64 // as Model.Spread; 0: all targets count as alike
	Noise   float64 // as Model.Noise
	Targets []Known // those that are known to differ first, then the most certain first
}

// Known is what is known of one target.
type Known struct {
	Target    Target
	Log       float64 // as Estimate.Log
	Deviation float64 // as Estimate.Deviation
}

// Snapshot returns what the model knows as of the last Fit. It has no targets while the spread is not
// significant.
func (m *Model) Snapshot() Snapshot {
	s := Snapshot{Spread: m.Spread(), Noise: m.noise}
	if !m.spread.significant {
		return s
	}
	for _, t := range m.targets {
		if !t.forgotten && t.known() {
			s.Targets = append(s.Targets, Known{Target: t.name, Log: t.slowness, Deviation: math.Sqrt(t.variance)})
		}
	}
	s.Sort()
	return s
}

// Sort sorts the targets by how much is lost without them.
func (s Snapshot) Sort() {
	slices.SortFunc(s.Targets, func(a, b Known) int {
		return cmp.Or(cmp.Compare(a.usual(), b.usual()), cmp.Compare(a.Deviation, b.Deviation),
			cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.StartedAt, b.Target.StartedAt))
	})
}

// usual returns 0 if the target is known to be faster or slower than the median, otherwise 1. A target
// that is left out counts as the median.
func (k Known) usual() int {
	if (Estimate{k.Log, k.Deviation}).Level() != 0 {
		return 0
	}
	return 1
}

// withoutPrior returns the part of what is known that comes from observations, to which the fit adds the
// distribution over the fleet again. The precision is not positive if there is none.
func (k Known) withoutPrior(m *Model) (mean, precision float64) {
	if k.Deviation <= 0 || math.IsNaN(k.Deviation) || math.IsNaN(k.Log) || math.IsInf(k.Log, 0) {
		return 0, 0
	}
	whole := 1 / (k.Deviation * k.Deviation)
	precision = whole - m.prior(k.Log, whole)
	return k.Log * whole / precision, precision
}

// Restore adds what an earlier model knew at a time. Targets that this model knows already keep what it
// knows. A snapshot without a spread or targets changes nothing.
func (m *Model) Restore(s Snapshot, at time.Time) {
	if len(s.Targets) == 0 || s.Spread < minSpread {
		return
	}
	if !m.spread.significant {
		m.spread = spread{significant: true, variance: s.Spread * s.Spread}
		if m.observations == 0 {
			m.noise = max(s.Noise, minNoise)
		}
	}
	for _, k := range s.Targets {
		t := m.targetOf(k.Target)
		mean, precision := k.withoutPrior(m)
		if t.summary.precision > 0 || precision <= 0 {
			continue
		}
		t.summary.add(mean, precision, at)
		if len(t.observations) == 0 {
			t.slowness, t.variance = k.Log, k.Deviation*k.Deviation
		}
	}
	m.changed = true
}
