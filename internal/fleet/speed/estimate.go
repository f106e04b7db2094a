package speed

import "math"

// Estimate is what is known of the long-term slowness of a target: how many times longer runs take
// there than on the median target. The zero Estimate is that of a target with slowness 1.
type Estimate struct {
	log       float64 // expected natural logarithm of the slowness
	deviation float64 // its standard deviation
}

// Parameters of the classes of targets.
const (
	// boundDeviations is how many standard deviations Lower and Upper are away from the expected
	// value: 1 in 10 is beyond each.
	boundDeviations = 1.28
	// kindMargin is by how much the log of the slowness of a fast or slow target differs at least
	// from the median.
	kindMargin = 0.2
)

// Expected returns the expected slowness; exactly 1 if targets are alike.
func (e Estimate) Expected() float64 { return math.Exp(e.log) }

// Log returns the natural logarithm of Expected.
func (e Estimate) Log() float64 { return e.log }

// Deviation returns the standard deviation of the log of the slowness.
func (e Estimate) Deviation() float64 { return e.deviation }

// Lower returns a slowness that the target exceeds with a probability of nine in ten.
func (e Estimate) Lower() float64 { return math.Exp(e.log - boundDeviations*e.deviation) }

// Upper returns a slowness below which the target is with a probability of nine in ten.
func (e Estimate) Upper() float64 { return math.Exp(e.log + boundDeviations*e.deviation) }

// Fast reports whether the target is known to be faster than the median.
func (e Estimate) Fast() bool { return e.log+boundDeviations*e.deviation < -kindMargin }

// Slow reports whether the target is known to be slower than the median.
func (e Estimate) Slow() bool { return e.log-boundDeviations*e.deviation > kindMargin }

// Of returns the estimate of a target as of the last Fit: the zero Estimate if targets are alike or
// nothing is known of this one.
func (m *Model) Of(name Target) Estimate {
	t := m.byTarget[name]
	if t == nil || !m.spread.significant {
		return Estimate{}
	}
	return Estimate{log: t.slowness, deviation: math.Sqrt(t.variance)}
}

// Spread returns the standard deviation of the log of the slowness over the fleet; 0 while it is not
// significant.
func (m *Model) Spread() float64 { return math.Sqrt(m.spread.variance) }

// Noise returns the standard deviation of the log of the run time of like runs on like targets.
func (m *Model) Noise() float64 { return m.noise }

// kindStep is the difference of the log of the slowness between two levels: a factor of 1.4. Within a
// kind, expected slownesses differ by less.
const kindStep = 0.35

// Level returns the slowness in steps of a factor of 1.4: negative for a target that is known to be
// faster than the median, positive for one that is known to be slower, otherwise 0.
func (e Estimate) Level() int {
	level := int(math.Round(e.log / kindStep))
	switch {
	case e.Fast():
		return min(level, -1)
	case e.Slow():
		return max(level, 1)
	}
	return 0
}
