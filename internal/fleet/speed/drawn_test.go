package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
)

var begin = time.Unix(1000, 0)

// drawnFleet draws runs on targets of known slowness.
type drawnFleet struct {
	random   *rand.Rand
	slowness []float64                       // log, by target
	noise    func(r *rand.Rand) float64      // of the log of one run time
	drift    func(i int, s float64) float64  // log slowness of target i after s seconds; nil: slowness
	fault    func(i int, at float64) float64 // added to the log of runs that end then; nil: none
	apart    func(r *rand.Rand) bool         // whether a step runs on fast targets or on others only; nil: it never does
	now      time.Time
	steps    int
	due      float64 // steps that are due
}

// newDrawnFleet returns a fleet of n targets that are alike, with normal noise.
func newDrawnFleet(seed uint64, n int) *drawnFleet {
	return &drawnFleet{
		random: rand.New(rand.NewPCG(seed, 1)), slowness: make([]float64, n), now: begin,
		noise: func(r *rand.Rand) float64 { return 0.2 * r.NormFloat64() },
	}
}

// setFast makes one target in every n fast: it takes half of the time.
func (f *drawnFleet) setFast(n int) {
	for i := range f.slowness {
		if i%n == 0 {
			f.slowness[i] = math.Log(0.5)
		}
	}
}

func (f *drawnFleet) target(i int) Target { return Target{ID: fmt.Sprintf("t%d", i), StartedAt: 7} }

// drawStep draws the runs of one step on random targets, each of which is observed once, and passes
// them to observe. The estimate is wrong by a factor of up to 5 either way.
func (f *drawnFleet) drawStep(tasks int, observe func(o Observation, now time.Time)) {
	f.steps++
	factor := math.Log(5) * (2*f.random.Float64() - 1)
	id := graph.StepID{Job: graph.JobID(fmt.Sprintf("j%d", f.steps))}
	for k, i := range f.draw(tasks) {
		at := f.now.Sub(begin).Seconds()
		s := f.slowness[i]
		if f.drift != nil {
			s = f.drift(i, at)
		}
		if f.fault != nil {
			s += f.fault(i, at)
		}
		observe(Observation{Run: order.Run{Task: id.Task(k), Number: 1}, Target: f.target(i), Ratio: math.Exp(factor + s + f.noise(f.random)), Error: 0.02}, f.now)
	}
}

// draw returns the targets of a step.
func (f *drawnFleet) draw(tasks int) []int {
	var list []int
	apart, fast := f.apart != nil && f.apart(f.random), f.random.IntN(3) == 0
	for _, i := range f.random.Perm(len(f.slowness)) {
		if len(list) < tasks && (!apart || (f.slowness[i] < -0.3) == fast) {
			list = append(list, i)
		}
	}
	return list
}

// run draws steps of 5 to 39 tasks at a rate for some seconds, and fits the model each second.
func (f *drawnFleet) run(m *Model, seconds int, stepsPerSecond float64) {
	for range seconds {
		for f.due += stepsPerSecond; f.due >= 1; f.due-- {
			f.drawStep([]int{5, 13, 39}[f.random.IntN(3)], m.Observe)
		}
		m.Fit(f.now)
		f.now = f.now.Add(time.Second)
	}
}

// count returns how many fast targets are told to be fast, and how many others are told to be fast or
// slow.
func (f *drawnFleet) count(m *Model) (fast, told, wrong int) {
	for i, s := range f.slowness {
		e := m.Of(f.target(i))
		switch {
		case s < -0.3:
			fast++
			if e.Fast() {
				told++
			}
		case e.Fast() || e.Slow():
			wrong++
		}
	}
	return fast, told, wrong
}

// allAlike reports whether the model returns exactly 1 for all targets.
func (f *drawnFleet) allAlike(m *Model) bool {
	for i := range f.slowness {
		if m.Of(f.target(i)) != (Estimate{}) || m.Of(f.target(i)).Expected() != 1 {
			return false
		}
	}
	return m.Spread() == 0
}

// heavyTailed draws noise of which one run in ten takes up to some times as long.
func heavyTailed(r *rand.Rand) float64 {
	x := 0.2 * r.NormFloat64()
	if r.IntN(10) == 0 {
		x += 1.5 * r.ExpFloat64()
	}
	return x
}
