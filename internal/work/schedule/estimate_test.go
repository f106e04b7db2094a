package schedule_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/work/estimate"
)

// estimator guesses run times from what ended before.
type estimator interface {
	guess(r request) time.Duration
	ended(r request)
}

type declared struct{}

func (declared) guess(r request) time.Duration { return r.job.Declared() }
func (declared) ended(request)                 {}

// perKind is what the product uses, with or without the declared figure.
type perKind struct {
	estimate.Histories
	useDeclared bool
}

func (p *perKind) guess(r request) time.Duration {
	if p.useDeclared {
		return p.RunDeclared(estimate.Kind{Service: "s", Name: r.job.Kind()}, 0.5, r.job.Declared())
	}
	return p.Run(estimate.Kind{Service: "s", Name: r.job.Kind()}, 0.5, r.job.Declared())
}

func (p *perKind) ended(r request) {
	p.Ended(estimate.Kind{Service: "s", Name: r.job.Kind()}, r.run, r.job.Declared())
}

// clustered divides the histories by k-means as ESAMR (Sun, He, Lu) does for
// stage weights: a job is put into the cluster that is nearest in what is known
// of it before it runs, here its declared run time and its accelerators, and
// gets that cluster's mean. Coordinates are logarithms.
type clustered struct {
	histories [][3]float64 // declared, accelerators, run
	centres   [][3]float64
}

const clusters = 10 // the paper's k

func (c *clustered) guess(r request) time.Duration {
	if len(c.centres) == 0 {
		return r.job.Declared()
	}
	i := nearest(c.centres, point(r), 2)
	return seconds(math.Exp(c.centres[i][2]))
}

func (c *clustered) ended(r request) {
	c.histories = append(c.histories, point(r))
	if len(c.histories)%50 == 0 {
		c.divide(rand.New(rand.NewPCG(1, uint64(len(c.histories)))))
	}
}

func (c *clustered) divide(rng *rand.Rand) {
	c.centres = nil
	for range clusters {
		c.centres = append(c.centres, c.histories[rng.IntN(len(c.histories))])
	}
	for range 20 {
		var sums [clusters][3]float64
		var counts [clusters]float64
		for _, h := range c.histories {
			i := nearest(c.centres, h, 3)
			counts[i]++
			for d := range h {
				sums[i][d] += h[d]
			}
		}
		for i := range c.centres {
			for d := range sums[i] {
				if counts[i] > 0 {
					c.centres[i][d] = sums[i][d] / counts[i]
				}
			}
		}
	}
}

func point(r request) [3]float64 {
	return [3]float64{math.Log(r.job.Declared().Seconds()), math.Log(float64(r.job.Shape().Total())), math.Log(r.run.Seconds())}
}

// nearest returns the centre that is nearest in the first dims coordinates.
func nearest(centres [][3]float64, p [3]float64, dims int) int {
	best, least := 0, math.Inf(1)
	for i, c := range centres {
		sum := 0.0
		for d := range dims {
			sum += (c[d] - p[d]) * (c[d] - p[d])
		}
		if sum < least {
			best, least = i, sum
		}
	}
	return best
}

// BenchmarkEstimate compares ways to know a run time beforehand on the streams
// of BenchmarkPolicy: the error is the factor between guess and truth, as its
// median and its 90th percentile over the jobs of seeds 1 to 5.
func BenchmarkEstimate(b *testing.B) {
	ways := map[string]func() estimator{
		"declared":          func() estimator { return declared{} },
		"perKind":           func() estimator { return &perKind{} },
		"perKindOfDeclared": func() estimator { return &perKind{useDeclared: true} },
		"clustered":         func() estimator { return &clustered{} },
	}
	for _, user := range []string{"recargaBella", "spf"} {
		for _, way := range []string{"declared", "perKind", "perKindOfDeclared", "clustered"} {
			b.Run("user="+user+"/way="+way, func(b *testing.B) {
				for range b.N {
					var factors []float64
					for seed := range uint64(5) {
						factors = append(factors, factorsOf(newStream(b, user, 0.8, seed+1), ways[way]())...)
					}
					slices.Sort(factors)
					b.ReportMetric(factors[len(factors)/2], "factor-median")
					b.ReportMetric(factors[len(factors)*9/10], "factor-p90")
				}
			})
		}
	}
}

// factorsOf lets the jobs of a stream arrive and end in order, each running at
// once, and returns by which factor each guess was wrong.
func factorsOf(s *stream, e estimator) []float64 {
	ends := slices.Clone(s.requests)
	sort.SliceStable(ends, func(i, j int) bool { return ends[i].at+ends[i].run < ends[j].at+ends[j].run })
	var factors []float64
	for _, r := range s.requests {
		for len(ends) > 0 && ends[0].at+ends[0].run <= r.at {
			e.ended(ends[0])
			ends = ends[1:]
		}
		factors = append(factors, math.Exp(math.Abs(math.Log(e.guess(r).Seconds()/r.run.Seconds()))))
	}
	return factors
}
