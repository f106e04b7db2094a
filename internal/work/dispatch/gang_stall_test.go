package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// One of the targets of a gang stalls its member, and the others go on. Guards against a target that
// stalls its runs and gets more of them, because a gang that stalls as a whole is no such evidence.
func TestTargetThatStallsItsGangMemberIsQuarantined(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	step := largeGang(4, 2)
	step.PerTarget = 1
	id := d.submit(1, 20*time.Second, step)
	d.run(time.Second)
	bad := d.m.jobs[id].steps[0].tasks[2].runs[0].target
	d.p.SetStalled(bad.ID, true)
	d.run(8 * time.Second) // stalled after three, and the others' next two reports
	is.True(bad.health.Quarantined(d.now))
	for _, x := range d.m.sortedTargets {
		is.True(x == bad || !x.health.Suspect(d.now))
	}
	d.p.SetStalled(bad.ID, false)
	d.run(60 * time.Second)
	d.check()
}

// All members of a gang have done their work but one, whose target stalls. Guards against a target
// that is never found at fault, since no other member can show progress any more.
func TestStallOfTheLastGangMemberIsItsTargetsFault(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	s.Restore(testJob("00000000000000bd", 2), nil, 0, false, s.now)
	x := s.jobs["00000000000000bd"].steps[0]
	x.spec.Gang = true
	for i, percent := range []int{100, 40} {
		r := &run{Run: testRun("00000000000000bd", i, 1), task: x.tasks[i], target: &target{}, phase: running}
		r.updateProgress(percent, s.now)
		x.tasks[i].runs = []*run{r}
	}
	is.True(x.tasks[1].runs[0].stalledAlone())
	x.tasks[0].runs[0].percent = 99
	is.True(!x.tasks[1].runs[0].stalledAlone())
}

// All members of a gang with checkpoints report no progress since one of their targets stalls. Guards
// against the gang being started again on the same targets while others are free.
func TestGangMovesOffAllTargetsThatMayStallIt(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 4, DefaultBounds())
	step := largeGang(2, 8)
	step.Checkpointing = true
	id := d.submit(1, 8*time.Second, step)
	d.run(time.Second)
	first := map[*target]bool{}
	for _, x := range d.m.jobs[id].steps[0].tasks {
		first[x.runs[0].target] = true
		d.p.SetStalled(x.runs[0].target.ID, true)
	}
	d.run(6 * time.Second)
	for _, x := range d.m.jobs[id].steps[0].tasks {
		is.Equal(len(x.runs), 1)
		is.True(!first[x.runs[0].target])
	}
	for x := range first {
		is.True(!x.health.Quarantined(d.now))
	}
	d.run(30 * time.Second)
	d.check()
}
