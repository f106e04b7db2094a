package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/speed"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// kindSpeed is how many times faster the fast targets of newTwoKinds are.
const kindSpeed = 2.5

// newTwoKinds returns a simulation with two racks of eight targets, two of which on each rack are fast. The machine learns their speeds if that is set.
func newTwoKinds(t testing.TB, learns bool) *simulation {
	d := newSimulation(t, 2, 8, DefaultBounds())
	if learns {
		WithSpeeds()(d.m)
	}
	for _, x := range d.m.sortedTargets {
		if isFast(x) {
			d.p.SetSpeed(x.ID, kindSpeed)
		}
	}
	return d
}

// isFast reports whether a target of newTwoKinds is fast.
func isFast(x *target) bool {
	return strings.HasSuffix(x.Address, "-2") || strings.HasSuffix(x.Address, "-5")
}

// checkpointed returns a step of single tasks with checkpoints whose estimate is wrong: their work
// takes twice as long.
func checkpointed(count int) graph.Step {
	s := small(count)
	s.Checkpointing = true
	return s
}

// varied returns the work of tasks that varies by some percents.
func varied(work time.Duration) pool.Behaviour {
	return pool.Behaviour{Work: func(id graph.TaskID) time.Duration {
		return work + work*time.Duration(id.Index*7%11-5)/100
	}}
}

// submitTasks submits a job of single tasks on all targets, which are not urgent.
func (d *simulation) submitTasks(work time.Duration) graph.JobID {
	return d.submitJob(&graph.Job{Priority: 2, SlackFactor: 3, Allowance: 3 * time.Second, Steps: []graph.Step{checkpointed(116)}}, varied(work))
}

// learnSpeeds runs jobs until the machine can know the speeds.
func (d *simulation) learnSpeeds() {
	for range 4 {
		d.submitTasks(5 * time.Second)
		d.run(7 * time.Second)
	}
}

// Targets that are steadily slower than the fastest of the same step were taken for stragglers: their
// runs were stopped again and again, and gangs with them, although nothing was wrong.
func TestSteadilySlowerTargetsAreNoStragglers(t *testing.T) {
	is := is.New(t)
	d := newTwoKinds(t, true)
	d.learnSpeeds()
	for _, x := range d.m.sortedTargets {
		is.Equal(x.speed.Fast(), isFast(x))
		is.True(!x.speed.Slow())
	}
	is.Equal(d.logged("target speeds differ"), 1)
	is.Equal(d.m.Speeds()["s"].Fast, 4)
	for _, v := range d.m.Fleet(d.now).Targets {
		is.Equal(v.Slowness > 0 && v.Slowness < 0.6, strings.Contains(v.ID, "-2#") || strings.Contains(v.ID, "-5#"))
	}
	d.submitTasks(20 * time.Second)
	d.run(25 * time.Second)
	is.Equal(d.logged("it runs slowly"), 0)
	d.run(10 * time.Second)
	d.check()
}

// The test above shows nothing if the targets are not taken for stragglers without speeds.
func TestSteadilySlowerTargetsWithoutSpeeds(t *testing.T) {
	is := is.New(t)
	d := newTwoKinds(t, false)
	d.submitTasks(20 * time.Second)
	d.run(25 * time.Second)
	is.True(d.logged("it runs slowly") > 0)
	for _, x := range d.m.sortedTargets {
		is.Equal(x.speed.Expected(), 1.0)
	}
	is.Equal(len(d.m.Speeds()), 0)
}

// A fast target that fails to half the speed of the others is faulty, like any other. Without regard
// to its own speed it would still pass for one of the others.
func TestFastTargetThatSlowsDownIsSlow(t *testing.T) {
	is := is.New(t)
	d := newTwoKinds(t, true)
	d.learnSpeeds()
	bad := d.m.sortedTargets[2]
	is.True(isFast(bad))
	d.p.SetSpeed(bad.ID, 0.6)
	slow := false
	d.submitTasks(20 * time.Second)
	for range 5 {
		d.run(2 * time.Second)
		slow = slow || bad.health.Slow(d.now)
	}
	is.True(slow)
}

// A run on a fast target ends before its target leaves, though its estimate is longer: without regard
// to the speed it would be stopped in vain before its first progress is measured.
func TestRemainingTimeBySpeed(t *testing.T) {
	is := is.New(t)
	d := newTwoKinds(t, true)
	d.learnSpeeds()
	fast := d.m.sortedTargets[2]
	is.True(fast.expectedTime(10*time.Second) < 6*time.Second)
	x := &task{step: &step{spec: &graph.Step{Estimate: 10 * time.Second}}}
	r := &run{task: x, target: fast, beganAt: d.now}
	is.True(r.expectedRemaining(d.now) < 6*time.Second)
	r.target = d.m.sortedTargets[0]
	is.True(r.expectedRemaining(d.now) > 9*time.Second)
}

// A target that has started again may be another machine: what was learned of it must not count.
func TestSpeedEndsWithIncarnation(t *testing.T) {
	is := is.New(t)
	d := newTwoKinds(t, true)
	d.learnSpeeds()
	fast := d.m.sortedTargets[2]
	is.True(fast.speed.Fast())
	list := d.roster()
	list[2].StartedAt = fast.incarnation + 1000
	is.Equal(list[2].ID, fast.ID)
	d.m.UpdateTargets(list, d.now, d.now)
	is.True(!fast.speed.Fast())
	d.submitTasks(time.Second)
	d.m.fitSpeeds(d.now.Add(time.Minute))
	is.True(!fast.speed.Fast())
}

// Targets are replaced for as long as a term lasts. Guards against speeds that are kept of all targets that
// there ever were: memory and the time of a fit would grow, and the median would be that of targets that
// have left. One that is missing from the list for a short time must not be learned anew.
func TestSpeedsOfTargetsThatHaveLeftAreDropped(t *testing.T) {
	is := is.New(t)
	d := newTwoKinds(t, true)
	d.learnSpeeds()
	d.run(10 * time.Second)
	name := d.m.sortedTargets[2].speedName()
	left := d.roster()
	for range 3 { // each time all are replaced
		for i := range left {
			left[i].ID, left[i].StartedAt = left[i].ID+"x", left[i].StartedAt+1000
		}
		d.m.UpdateTargets(left, d.now, d.now)
		d.m.Tick(d.now)
		is.Equal(len(d.m.targets), 16)
		observe := func() {
			for i, x := range d.m.sortedTargets {
				id := graph.TaskID{StepID: graph.StepID{Step: int(d.now.Unix())}, Index: i}
				ratio := 1.0
				if isFast(x) { // of the same two kinds, so that the spread does not cease
					ratio = 1 / kindSpeed
				}
				d.m.speeds.byService["s"].model.Observe(speed.Observation{Run: order.Run{Task: id, Number: 1}, Target: x.speedName(), Ratio: ratio}, d.now)
			}
			d.m.fitSpeeds(d.now)
		}
		d.now = d.now.Add(10 * time.Second)
		observe()
		if name.ID != "" {
			is.True(d.m.speeds.byService["s"].model.Of(name).Fast())
			name = speed.Target{}
		}
		d.now = d.now.Add(20 * time.Minute)
		observe()
		is.Equal(d.m.speeds.byService["s"].model.Targets(), 16)
	}
}
