package dispatch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// workload submits random jobs of the three kinds that clients submit: large gangs, urgent
// gangs and wide steps of small tasks.
type workload struct {
	*simulation
	rnd         *rand.Rand
	rate        float64 // jobs per second, of all kinds
	widthFactor float64 // width of steps relative to the current load
}

// gangAccelerators are the numbers of accelerators that members of gangs need.
var gangAccelerators = []int{1, 2, 4, 8, 8}

// submitNext submits one random job.
func (s *workload) submitNext() {
	width := func(mean float64) int { return max(1, int(s.rnd.ExpFloat64()*mean*s.widthFactor)) }
	around := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * (0.7 + 0.6*s.rnd.Float64()))
	}
	n := gangAccelerators[s.rnd.IntN(len(gangAccelerators))]
	switch x := s.rnd.Float64(); {
	case x < 0.17:
		g := largeGang(min(width(4), 16), n)
		g.SameRack = s.rnd.Float64() < 0.6
		s.submit(1, around(8500*time.Millisecond), g)
	case x < 0.80:
		g := urgentGang(min(width(2.5), 12), n)
		g.SameRack = s.rnd.Float64() < 0.8
		s.submit(0, around(2500*time.Millisecond), g)
	default:
		t := small(min(width(13), 90))
		t.Checkpointing = s.rnd.Float64() < 0.45
		s.submit(2, around(6100*time.Millisecond), t)
	}
}

// runWithLoad runs the simulation for some time while jobs are submitted.
func (s *workload) runWithLoad(span time.Duration) {
	for until := s.now.Add(span); s.now.Before(until); {
		s.run(max(simulationStep, time.Duration(s.rnd.ExpFloat64()/s.rate*float64(time.Second))))
		s.submitNext()
	}
}

// shareInTime returns the share of the jobs of a priority submitted before a time that have
// ended within a multiple of their estimate.
func (s *workload) shareInTime(priority int, within float64, before time.Time) float64 {
	n, good := 0, 0
	for id, submittedAt := range s.submittedAt {
		j := s.m.jobs[id]
		if j == nil || j.spec.Priority != priority || submittedAt.After(before) {
			continue
		}
		n++
		if at, ok := s.endedAt[id]; ok && at.Sub(submittedAt) <= time.Duration(within*float64(j.spec.Steps[0].Estimate)) {
			good++
		}
	}
	if n == 0 {
		return 1
	}
	return float64(good) / float64(n)
}

// BenchmarkDecide measures one simulated second of a machine with the stand-in targets, for
// several sizes of deployments.
func BenchmarkDecide(b *testing.B) {
	for _, x := range []struct {
		name              string
		racks, perRack    int
		rate, widthFactor float64
	}{
		{"48", 6, 8, 4, 1}, {"48full", 6, 8, 9, 1}, {"350", 18, 20, 12, 2}, {"350full", 18, 20, 28, 2}, {"920", 46, 20, 30, 2}, {"1100", 138, 8, 33, 4},
	} {
		b.Run(x.name, func(b *testing.B) {
			s := &workload{simulation: newSimulation(b, x.racks, x.perRack, DefaultBounds()), rnd: rand.New(rand.NewPCG(1, 2)), rate: x.rate, widthFactor: x.widthFactor}
			s.runWithLoad(15 * time.Second)
			b.ResetTimer()
			for b.Loop() {
				s.runWithLoad(time.Second)
			}
			b.ReportMetric(float64(s.m.Counts().Runs), "runs")
			b.ReportMetric(float64(s.m.Counts().PendingSteps), "waiting")
			b.ReportMetric(s.shareInTime(0, 3, s.now.Add(-10*time.Second)), "urgentInTime")
		})
	}
}

// BenchmarkCrowdedPass measures one pass over 300 pending urgent gangs, for several numbers
// of targets, all full of work that is too costly to preempt.
func BenchmarkCrowdedPass(b *testing.B) {
	for _, racks := range []int{6, 44, 138} {
		b.Run(strconv.Itoa(racks*8), func(b *testing.B) {
			d := newSimulation(b, racks, 8, DefaultBounds())
			for n := range racks {
				d.m.Accept(d.makeJob(n+1, 2, small(64)), d.now)
				d.startAll()
			}
			d.now = d.now.Add(30 * time.Second)
			for n := range 300 {
				d.m.Accept(d.makeJob(1000+n, 0, urgentGang(1+n%16, []int{1, 2, 4, 8, 8}[n%5])), d.now)
			}
			d.m.Decide(d.now)
			for b.Loop() {
				d.now = d.now.Add(20 * time.Millisecond)
				d.m.placementDue, d.m.nextPassAt = true, time.Time{}
				d.m.Decide(d.now)
			}
		})
	}
}
