package speed

import (
	"math"
	"time"
)

// Parameters of the test for a spread of speeds.
const (
	// minSeparation is the shortest time between two observations that are compared: a fault slows
	// all runs of a target down for some seconds, which does not show that targets differ for good.
	minSeparation = 10 * time.Second
	// maxResidual bounds the residuals that are compared. A target that is slow for a short time
	// appears to need four times as long, a kind of targets seldom more than twice.
	maxResidual = 0.8
	// minPairs is the least number of pairs for the test.
	minPairs = 20
	// significance is how many times its standard error the average product must exceed. The test is
	// repeated for as long as the service runs, and a false result changes decisions.
	significance = 6
	// minSpread is the least standard deviation of log slowness that counts. Less than 7 % does
	// not matter for any decision.
	minSpread = 0.07
	// joinedShare is the share of the known targets with a single observation from which the fitted
	// spread is not taken as evidence, as after the targets of a service were replaced.
	joinedShare = 0.25
	// A spread ceases to be significant if the products are below a quarter of what is expected by
	// ceaseMargin standard errors, or the fitted spread is far below minSpread.
	ceaseShare  = 0.25
	ceaseMargin = 2
)

// spread is the distribution of slownesses over the fleet.
type spread struct {
	significant bool
	variance    float64 // of the log of the slowness; 0 if it is not significant
}

// update tests whether targets differ and estimates how much. Residuals of one target in different
// steps are independent if targets are alike, so their products have mean 0 and the standard
// deviation of the residuals' variance.
//
// Once targets are known to differ, work is placed by that, and most steps may run on targets of one
// speed, which show no difference. So only steps that ran on targets that differ by the fitted
// slownesses can show that they do not differ any more.
func (s *spread) update(m *Model) {
	p := m.sumProducts()
	if s.significant {
		square, errors, joined := m.slownessSquares()
		if p.ceased() || !joined && square-errors < ceaseShare*minSpread*minSpread {
			*s = spread{}
			return
		}
		s.variance = max(square, minSpread*minSpread)
		return
	}
	if p.pairs < minPairs {
		return
	}
	deviation := p.variance() / math.Sqrt(float64(p.pairs))
	estimate := p.sum / float64(p.pairs)
	if estimate > significance*deviation && estimate > minSpread*minSpread {
		*s = spread{significant: true, variance: estimate}
	}
}

// products are sums over pairs of observations of one target in different steps.
type products struct {
	sum            float64 // of the products of their baselines
	pairs          int
	expected       float64 // of the products that the fitted slownesses let expect, of pairs that differ
	differing      float64 // of the products of the baselines of these pairs
	differingPairs int
	squares        float64 // of the baselines of all observations
	observations   int
}

// variance returns the variance of the baselines.
func (p products) variance() float64 { return p.squares / float64(p.observations) }

// ceased reports whether the pairs that should show a difference do not.
func (p products) ceased() bool {
	if p.differingPairs < minPairs {
		return false
	}
	deviation := p.variance() * math.Sqrt(float64(p.differingPairs))
	return p.differing+ceaseMargin*deviation < ceaseShare*p.expected
}

// sumProducts sums over all pairs of observations that may be compared.
func (m *Model) sumProducts() products {
	var p products
	for _, t := range m.targets {
		for i, a := range t.observations {
			if !a.comparable() {
				continue
			}
			ra := clamp(a.baseline)
			p.squares += ra * ra
			p.observations++
			for _, b := range t.observations[:i] {
				if !b.comparable() || a.step == b.step || a.at.Sub(b.at) < minSeparation && b.at.Sub(a.at) < minSeparation {
					continue
				}
				product := ra * clamp(b.baseline)
				p.sum += product
				p.pairs++
				if math.Abs(a.predicted) >= kindMargin && math.Abs(b.predicted) >= kindMargin {
					p.expected += clamp(a.predicted) * clamp(b.predicted)
					p.differing += product
					p.differingPairs++
				}
			}
		}
	}
	return p
}

// slownessSquares returns the averages of the squares of the slownesses of the known targets, and of
// their errors. joined reports whether many of them have just joined: each of these has an error as large
// as the spread, so the averages say nothing about it.
func (m *Model) slownessSquares() (square, errors float64, joined bool) {
	n, recent := 0.0, 0.0
	for _, t := range m.targets {
		if t.known() {
			square += t.slowness * t.slowness
			errors += t.variance
			n++
			if len(t.observations) == 1 && t.summary.precision == 0 {
				recent++
			}
		}
	}
	return square / max(n, 1), errors / max(n, 1), recent > joinedShare*n
}

// clamp returns a residual within maxResidual.
func clamp(residual float64) float64 { return max(min(residual, maxResidual), -maxResidual) }
