package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// smallGang returns a gang of tasks that need one accelerator each.
func smallGang(count int) graph.Step {
	return graph.Step{Count: count, Needs: graph.Resources{CPU: 5600, MemoryMB: 8192, Accelerators: 1}, Estimate: 6 * time.Second, Gang: true}
}

// holdOnRacks has long-running tasks hold this many accelerators of each rack.
func (d *simulation) holdOnRacks(accelerators int) {
	racks := map[string]bool{}
	for _, x := range d.p.Roster() {
		if racks[x.Rack] {
			continue
		}
		racks[x.Rack] = true
		lasting := small(accelerators)
		lasting.LongRunning, lasting.DataRack = true, x.Rack
		d.submit(2, time.Second, lasting)
	}
	d.run(500 * time.Millisecond)
}

// A gang waits for the rack that it prefers, on which long-running tasks hold what it needs for
// good, while three quarters of all targets are free. Guards against a gang that begins only once
// its job cannot earn any value any more.
func TestGangDoesNotAwaitRackThatLongRunningTasksHold(t *testing.T) {
	oneRack, rackWithData := smallGang(13), smallGang(13)
	oneRack.SameRack, rackWithData.DataRack = true, "r1-0"
	for name, step := range map[string]graph.Step{"one rack": oneRack, "rack with data": rackWithData} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newSimulation(t, 4, 2, DefaultBounds())
			d.holdOnRacks(4)
			id := d.submit(2, time.Second, step)
			d.runWithListing(3)
			is.True(d.p.StartsOf(id) > 0)
		})
	}
}

// A gang whose queue requires advice may run nowhere, and stays pending. Guards against a larger
// gang that needs no advice and is not tried on free targets, since the first one did not fit.
func TestGangWithoutPermitsDoesNotRuleOutOthers(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 2, 4, DefaultBounds())
	gang := smallGang(2)
	advised := &graph.Job{Priority: 2, SlackFactor: 3, Allowance: time.Second, Steps: []graph.Step{gang}, Advised: true, AdviceValid: 3 * time.Second}
	d.submitJob(advised, pool.Behaviour{Work: func(graph.TaskID) time.Duration { return time.Second }})
	d.run(time.Second)
	gang.Count = 4
	id := d.submit(2, time.Second, gang)
	d.runWithListing(3)
	is.True(d.p.StartsOf(id) > 0)
}

// A gang of which no rack has enough room waits. Guards against a larger gang that is not tried on
// several racks, on which it must run in any case, since the first one did not fit on one.
func TestGangAwaitingOneRackDoesNotRuleOutOneThatFitsNone(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 4, 2, DefaultBounds())
	d.holdOnRacks(4)
	step := smallGang(13)
	step.SameRack = true
	d.submit(2, time.Second, step)
	d.run(500 * time.Millisecond)
	step.Count = 20
	id := d.submit(2, time.Second, step)
	d.runWithListing(3)
	is.True(d.p.StartsOf(id) > 0)
}

// No rack has room for a gang that wants one, since other work is spread over all of them, and most
// accelerators are free. Guards against a gang that waits for its rack until it can earn no value.
func TestGangDoesNotAwaitRackWhileMostTargetsAreFree(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 4, 4, DefaultBounds())
	for rack := range 4 { // one task on each of two targets of the rack
		spread := small(2)
		spread.DataRack, spread.PerTarget, spread.Estimate = fmt.Sprintf("r1-%d", rack), 1, time.Minute
		d.submit(2, time.Minute, spread)
	}
	d.run(time.Second)
	step := largeGang(3, 8)
	step.SameRack, step.Estimate = true, 4*time.Second
	id := d.submit(1, 4*time.Second, step)
	d.runWithListing(6)
	is.True(d.p.StartsOf(id) > 0)
}

// The same on targets without accelerators, of which less than a fifth of the CPU is in use.
func TestGangDoesNotAwaitRackWhileMostCPUIsFree(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 4, 4, DefaultBounds())
	for _, x := range d.p.Roster() {
		d.p.SetCapacity(x.ID, graph.Resources{CPU: 64000, MemoryMB: 262144}, d.now)
	}
	d.listTargets()
	for rack := range 4 { // one task on each of two targets of the rack
		d.submit(2, time.Minute, graph.Step{
			Count: 2, Needs: graph.Resources{CPU: 5600, MemoryMB: 29000}, Estimate: time.Minute, DataRack: fmt.Sprintf("r1-%d", rack), PerTarget: 1,
		})
	}
	d.run(time.Second)
	id := d.submit(1, 4*time.Second, graph.Step{
		Count: 3, Needs: graph.Resources{CPU: 60000, MemoryMB: 75000}, Estimate: 4 * time.Second, Gang: true, SameRack: true,
	})
	d.runWithListing(6)
	is.True(d.p.StartsOf(id) > 0)
}

// A gang's turn comes once an earlier step is done, and a second later there is a rack with room for
// it. Guards against a wait that counts from the acceptance of the job: the gang would take several
// racks at once, on which it holds its targets for three times as long.
func TestGangOfLaterStepAwaitsRackFromItsTurnOn(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 4, 4, DefaultBounds())
	for rack := range 4 { // one task on each of two targets of the rack
		spread := small(2)
		spread.DataRack, spread.PerTarget = fmt.Sprintf("r1-%d", rack), 1
		d.submit(2, 7*time.Second, spread)
	}
	d.run(100 * time.Millisecond)
	first, gang := small(1), largeGang(3, 8)
	first.DataRack, gang.Estimate, gang.After = "r1-0", 4*time.Second, []int{0}
	id := d.submit(1, 6*time.Second, first, gang)
	d.runWithListing(9)
	racks := map[string]bool{}
	for _, x := range d.m.jobs[id].steps[1].tasks {
		is.Equal(len(x.runs), 1)
		racks[x.runs[0].target.Rack] = true
	}
	is.Equal(len(racks), 1)
}
