package speed

import (
	"math"
	"slices"
	"time"
)

// Parameters of the fit.
const (
	// noiseFreedom and slownessFreedom are the degrees of freedom of the t distributions of the
	// noise and of the slownesses. With a normal distribution of the slownesses, a few fast
	// targets among many would be drawn halfway to the others.
	noiseFreedom    = 4
	slownessFreedom = 2
	// fadingRuns is the number of runs on a target from which on the distribution of slownesses counts
	// with minPriorShare only, which keeps the fit defined.
	fadingRuns    = 6
	minPriorShare = 1e-6
	// sweeps is the number of iterations of a fit, which starts from the one before.
	sweeps = 2
	// firstSweeps is the number of iterations of the first fit with a spread.
	firstSweeps = 8
	// defaultNoise is assumed until minNoisePairs pairs of observations show the noise.
	defaultNoise  = 0.25
	minNoise      = 0.05
	minNoisePairs = 30
	// madToDeviation is the standard deviation of a normal distribution whose median absolute
	// deviation is 1.
	madToDeviation = 1.4826
)

// Fit updates the estimates from the observations. It reports whether the spread has become
// significant, or has ceased to be.
func (m *Model) Fit(now time.Time) (spreadChanged bool) {
	if !m.changed {
		return false
	}
	m.changed = false
	m.removeOldSteps(now)
	m.fitBaselines()
	m.fitNoise()
	before := m.spread.significant
	m.spread.update(m)
	if !m.spread.significant {
		m.resetSlowness()
		return before
	}
	n := sweeps
	if !before {
		n = firstSweeps
	}
	for range n {
		for _, s := range m.steps {
			m.fitFactor(s)
		}
		for _, t := range m.targets {
			m.fitSlowness(t, now)
		}
		m.center()
	}
	return !before
}

// Changed reports whether there are observations since the last Fit.
func (m *Model) Changed() bool { return m.changed }

// resetSlowness sets all targets to be alike, and the factors accordingly.
func (m *Model) resetSlowness() {
	for _, t := range m.targets {
		t.slowness, t.variance = 0, 0
	}
	for _, s := range m.steps {
		m.fitFactor(s)
	}
}

// studentWeight returns the weight of a residual, relative to its variance.
func studentWeight(residual, variance, freedom float64) float64 {
	return (freedom + 1) / (freedom + residual*residual/variance)
}

// varianceOf returns the variance of an observation due to noise and measurement.
func (m *Model) varianceOf(o *observation) float64 {
	return m.noise*m.noise*o.noiseShare() + o.variance
}

// fitFactor updates the factor of a step and the weights of its observations.
func (m *Model) fitFactor(s *step) {
	sum, weights := 0.0, 0.0
	for _, o := range s.observations {
		o.shown = o.ratio - o.target.slowness
		o.precision = o.weight / (m.varianceOf(o) + o.target.variance)
		sum += o.precision * o.shown
		weights += o.precision
	}
	s.factor, s.factorWeight = sum/weights, weights
	for _, o := range s.observations {
		variance := m.varianceOf(o) + o.target.variance
		o.weight = studentWeight(o.shown-s.factor, variance, noiseFreedom)
	}
}

// evidence returns the slowness of a target that an observation shows by comparison with the other
// observations of its step, and its precision; 0 if there are no others.
func (m *Model) evidence(o *observation, now time.Time) (value, precision float64) {
	s := o.step
	others := s.factorWeight - o.precision
	if len(s.observations) < 2 || others <= 1e-9*s.factorWeight {
		return 0, 0
	}
	factor := (s.factor*s.factorWeight - o.precision*o.shown) / others
	variance := m.varianceOf(o) + 1/others + driftRate*max(now.Sub(o.at).Seconds(), 0)
	return o.ratio - factor, o.weight / variance
}

// fitSlowness updates the slowness of a target.
func (m *Model) fitSlowness(t *target, now time.Time) {
	known := t.summary.asOf(now)
	sum, weights := known.mean*known.precision, known.precision
	for _, o := range t.observations {
		value, precision := m.evidence(o, now)
		sum += value * precision
		weights += precision
	}
	prior := m.prior(t.slowness, weights)
	t.slowness = sum / (weights + prior)
	t.variance = 1 / (weights + prior)
}

// prior returns the precision with which the distribution of slownesses over the fleet counts for a
// target, beside evidence of a precision. It fades with the evidence: if fast targets are seldom compared
// with others, their slownesses depend on each other, and even a weak pull would move all of them to the
// median over time.
func (m *Model) prior(slowness, evidence float64) float64 {
	runs := evidence * m.noise * m.noise
	scale := m.spread.variance
	return studentWeight(slowness, scale, slownessFreedom) / scale * max(1-runs/fadingRuns, minPriorShare)
}

// center shifts the slownesses so that their median over the targets is 0, and the factors
// against it.
func (m *Model) center() {
	values := make([]float64, 0, len(m.targets))
	for _, t := range m.targets {
		if t.known() {
			values = append(values, t.slowness)
		}
	}
	shift := median(values)
	for _, t := range m.targets {
		t.slowness -= shift
		t.summary.mean -= shift
	}
	for _, s := range m.steps {
		s.factor += shift
		for _, o := range s.observations {
			o.shown += shift
		}
	}
}

// median returns the median of values, which it sorts; 0 for none.
func median(values []float64) float64 {
	n := len(values)
	if n == 0 {
		return 0
	}
	slices.Sort(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// fitBaselines compares the observations of each step as if all targets were alike.
func (m *Model) fitBaselines() {
	var values []float64
	for _, s := range m.steps {
		values = values[:0]
		for _, o := range s.observations {
			values = append(values, o.ratio)
		}
		factor, predicted := median(values), 0.0
		for range 2 {
			sum, slowness, weights := 0.0, 0.0, 0.0
			for _, o := range s.observations {
				variance := m.varianceOf(o)
				w := studentWeight(o.ratio-factor, variance, noiseFreedom) / variance
				sum += w * o.ratio
				slowness += w * o.target.slowness
				weights += w
			}
			factor, predicted = sum/weights, slowness/weights
		}
		for _, o := range s.observations {
			o.baseline, o.predicted = o.ratio-factor, o.target.slowness-predicted
		}
	}
}

// fitNoise estimates the noise from the differences between consecutive observations of the same
// target in different steps, which do not depend on the speed of the target.
func (m *Model) fitNoise() {
	var differences []float64
	for _, t := range m.targets {
		for i := 1; i < len(t.observations); i++ {
			a, b := t.observations[i-1], t.observations[i]
			if a.step != b.step && a.comparable() && b.comparable() {
				// What the fitted slownesses predict is 0 while targets count as alike. Otherwise a fast
				// target appears to vary between steps that run beside others and beside its like.
				difference := (a.baseline - a.predicted) - (b.baseline - b.predicted)
				differences = append(differences, math.Abs(difference)/math.Sqrt(a.noiseShare()+b.noiseShare()))
			}
		}
	}
	if len(differences) < minNoisePairs {
		return
	}
	m.noise = max(madToDeviation*median(differences), minNoise)
}

// comparable reports whether the step of an observation has other targets to compare it with.
func (o *observation) comparable() bool { return len(o.step.observations) >= minCompared }

// minCompared is how many targets of a step are needed for its baseline to tell anything: with
// two, the median lies between both.
const minCompared = 3
