package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// slowStops returns the bounds of a machine and of targets that take 900 ms to stop a run.
func slowStops() (Bounds, pool.Bounds) {
	b, targets := DefaultBounds(), pool.DefaultBounds()
	b.MaxStopTime, b.ReclaimTime = 900*time.Millisecond, 3400*time.Millisecond
	targets.StopTime = 2 * b.MaxStopTime // runs stop after half of it
	return b, targets
}

// newWorkload returns a workload on some racks of eight targets.
func newWorkload(t testing.TB, racks int, b Bounds, targets pool.Bounds, rate float64, seed uint64, opts ...Option) *workload {
	return &workload{
		simulation: newSimulationOf(t, racks, 8, b, targets, opts...), rnd: rand.New(rand.NewPCG(seed, 0)), rate: rate, widthFactor: 1,
	}
}

// commandsOf returns all commands of a scripted load with a change of the leader in between.
func commandsOf(t *testing.T, seed uint64, opts ...Option) []string {
	w := newWorkload(t, 6, DefaultBounds(), pool.DefaultBounds(), 8, seed, opts...)
	var list []string
	w.dropCommand = func(c Command) bool {
		text := fmt.Sprintf("%+v", c)
		if e, ok := c.(JobEnded); ok { // whose job is a pointer
			text = fmt.Sprintf("%s %s %s", e.Job.ID, e.State, e.Took)
		}
		list = append(list, fmt.Sprintf("%d %T %s", w.now.UnixMilli(), c, text))
		return false
	}
	w.runWithLoad(12 * time.Second)
	w.changeLeader()
	w.runWithLoad(8 * time.Second)
	return list
}

// Where stops take no longer than the slack of the urgent jobs, every command is as it is without
// headroom. Guards against a deployment with short stops being served in another way.
func TestShortStopsLeaveDecisionsUnchanged(t *testing.T) {
	for seed := range uint64(2) {
		is := is.New(t)
		without, with := commandsOf(t, seed), commandsOf(t, seed, WithHeadroom())
		is.True(len(without) > 1000)
		is.Equal(len(with), len(without))
		for i := range without {
			is.Equal(with[i], without[i])
		}
	}
}

// burst is a load of many tasks and long gangs that fills a fleet, and of urgent gangs: a steady
// rate, and six seconds of three times that.
type burst struct {
	*workload
	urgent, others []graph.JobID
}

// shortUrgentGang returns a gang whose slack is shorter than a stop of 900 ms.
func shortUrgentGang(count, accelerators int) graph.Step {
	s := urgentGang(count, accelerators)
	s.Estimate = 800 * time.Millisecond
	return s
}

// submitUrgent submits an urgent gang of three members.
func (b *burst) submitUrgent() {
	g := shortUrgentGang(3, gangAccelerators[b.rnd.IntN(len(gangAccelerators))])
	b.urgent = append(b.urgent, b.submit(0, g.Estimate, g))
}

// fill submits long gangs and single tasks until as many steps wait as the fleet needs to stay
// full.
func (b *burst) fill() {
	waiting := 0
	for _, s := range b.m.pendingSteps {
		if !s.done && s.job.spec.Priority > 0 && s.nextUnstarted(b.now) != nil {
			waiting++
		}
	}
	for ; waiting < 6; waiting++ {
		if b.rnd.IntN(4) == 0 {
			g := largeGang(4, gangAccelerators[b.rnd.IntN(len(gangAccelerators))])
			b.others = append(b.others, b.submit(1, g.Estimate, g))
			continue
		}
		t := small(2 + b.rnd.IntN(14))
		b.others = append(b.others, b.submit(2, t.Estimate, t))
	}
}

// runBurst runs the load and returns it once all jobs have ended.
func runBurst(t *testing.T, seed uint64, opts ...Option) *burst {
	bounds, targets := slowStops()
	b := &burst{workload: newWorkload(t, 4, bounds, targets, 0, seed, opts...)}
	for second := range 22 {
		rate := 1.0
		if second >= 10 && second < 16 {
			rate *= 3
		}
		for until := b.now.Add(time.Second); b.now.Before(until); {
			b.fill()
			b.run(max(simulationStep, min(until.Sub(b.now), time.Duration(b.rnd.ExpFloat64()/rate*float64(time.Second)))))
			if b.now.Before(until) {
				b.submitUrgent()
			}
		}
	}
	for waited := 0; waited < 40 && len(b.endedAt) < len(b.submittedAt); waited++ {
		b.run(time.Second)
	}
	b.check()
	return b
}

// lateShare returns the share of jobs that ended after their objective.
func (b *burst) lateShare(jobs []graph.JobID) float64 {
	late := 0
	for _, id := range jobs {
		if b.duration(id) > b.specs[id].Objective() {
			late++
		}
	}
	return float64(late) / float64(len(jobs))
}

// A burst of urgent gangs meets a fleet that is full of other work, where stops take longer than
// their slack. Without headroom each has to preempt and is late; with it, far fewer are, and the
// other work is not later for it.
func TestHeadroomInBurst(t *testing.T) {
	is := is.New(t)
	var urgentWithout, urgentWith, othersWithout, othersWith float64
	const seeds = 3
	for seed := range uint64(seeds) {
		without, with := runBurst(t, seed), runBurst(t, seed, WithHeadroom())
		urgentWithout += without.lateShare(without.urgent) / seeds
		urgentWith += with.lateShare(with.urgent) / seeds
		othersWithout += without.lateShare(without.others) / seeds
		othersWith += with.lateShare(with.others) / seeds
		t.Logf("seed %d: %d urgent and %d others without headroom, %d urgent and %d others with it", seed, len(without.urgent), len(without.others), len(with.urgent), len(with.others))
	}
	t.Logf("late: urgent %.3f -> %.3f, others %.3f -> %.3f", urgentWithout, urgentWith, othersWithout, othersWith)
	is.True(urgentWith < 0.6*urgentWithout)
	is.True(othersWith <= othersWithout+0.02)
}
