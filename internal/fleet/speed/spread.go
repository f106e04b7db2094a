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
	// A spread ceases to be significant if the average product is below a quarter of its
	// value by ceaseMargin standard errors.
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
func (s *spread) update(m *Model) {
	sum, pairs, squares, n := 0.0, 0, 0.0, 0
	for _, t := range m.targets {
		for i, a := range t.observations {
			if !a.comparable() {
				continue
			}
			ra := clamp(a.baseline)
			squares += ra * ra
			n++
			for _, b := range t.observations[:i] {
				if !b.comparable() || a.step == b.step || a.at.Sub(b.at) < minSeparation && b.at.Sub(a.at) < minSeparation {
					continue
				}
				sum += ra * clamp(b.baseline)
				pairs++
			}
		}
	}
	if pairs < minPairs {
		return
	}
	estimate := sum / float64(pairs)
	deviation := squares / float64(n) / math.Sqrt(float64(pairs))
	switch {
	case s.significant && estimate+ceaseMargin*deviation < ceaseShare*s.variance:
		*s = spread{}
	case s.significant && estimate > minSpread*minSpread:
		s.variance = estimate
	case !s.significant && estimate > significance*deviation && estimate > minSpread*minSpread:
		*s = spread{significant: true, variance: estimate}
	}
}

// clamp returns a residual within maxResidual.
func clamp(residual float64) float64 { return max(min(residual, maxResidual), -maxResidual) }
