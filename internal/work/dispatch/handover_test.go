package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// takeOverWithout has a new leader take over that does not reach the first target, on which a task of
// a step runs that another one depends on. It returns the target's address and the task.
func takeOverWithout(t *testing.T) (d *simulation, id graph.JobID, address string, run order.Run) {
	t.Helper()
	d = newSimulation(t, 1, 2, DefaultBounds())
	second := small(1)
	second.After = []int{0}
	id = d.submit(2, 3*time.Second, small(1), second)
	d.run(time.Second)
	r := d.m.jobs[id].steps[0].tasks[0].runs[0]
	d.disconnected[r.target.Address] = true
	d.changeLeader()
	d.run(500 * time.Millisecond)
	return d, id, r.target.Address, r.Run
}

// The next leader does not reach the target that has listed an end. It must take the end from the
// leader before, and begin the next step.
func TestHandedOverEndUnblocksNextStep(t *testing.T) {
	is := is.New(t)
	d, id, address, run := takeOverWithout(t)
	target := d.m.jobs[id].steps[0].tasks[0].runs[0].target
	is.Equal(target.Address, address)
	d.m.ApplyHandover(Handover{Ends: []ListedEnd{{Target: target.incarnationName(), Task: run.Task.String(), Run: run.Number, Reason: order.Done}}}, d.now)
	d.run(300 * time.Millisecond)
	is.True(d.m.jobs[id].steps[0].done)
	is.Equal(len(d.m.jobs[id].steps[1].tasks[0].runs), 1)
}

// The leader before has waited until all leases on a target had lapsed. The next one, which has never
// reached it, must start its work elsewhere without waiting as well.
func TestHandedOverLapseReleasesRuns(t *testing.T) {
	is := is.New(t)
	d, id, _, run := takeOverWithout(t)
	d.m.ApplyHandover(Handover{Lapsed: []string{d.m.jobs[id].steps[0].tasks[0].runs[0].target.incarnationName()}}, d.now)
	d.run(300 * time.Millisecond)
	runs := d.m.jobs[id].steps[0].tasks[0].runs
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Number, run.Number+1)
}

// What is handed over of another incarnation, another run, or a target that reports itself must change
// nothing: the run goes on.
func TestHandoverOfOtherRunsIsIgnored(t *testing.T) {
	for name, change := range map[string]func(d *simulation, h *Handover){
		"other incarnation": func(_ *simulation, h *Handover) { h.Ends[0].Target += "@zz"; h.Lapsed[0] += "@zz" },
		"other run":         func(_ *simulation, h *Handover) { h.Ends[0].Run++; h.Lapsed = nil },
		"malformed":         func(_ *simulation, h *Handover) { h.Ends[0].Task = "x"; h.Lapsed[0] = "@" },
		"reachable": func(d *simulation, _ *Handover) {
			clear(d.disconnected)
			d.run(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, id, _, run := takeOverWithout(t)
			target := d.m.jobs[id].steps[0].tasks[0].runs[0].target.incarnationName()
			h := Handover{Ends: []ListedEnd{{Target: target, Task: run.Task.String(), Run: run.Number, Reason: order.Done}}, Lapsed: []string{target}}
			change(d, &h)
			d.m.ApplyHandover(h, d.now)
			runs := d.m.jobs[id].steps[0].tasks[0].runs
			is.Equal(len(runs), 1)
			is.Equal(runs[0].Number, run.Number)
		})
	}
}

// A leader that cannot save hands over the ends that it has read, and the targets whose leases have
// lapsed, but not those that have answered since.
func TestHandoverHoldsWhatIsNotSaved(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 3, DefaultBounds())
	d.submit(2, time.Second, small(1))
	lasting := small(24)
	lasting.Estimate = time.Minute
	d.submit(2, time.Minute, lasting)
	d.run(900 * time.Millisecond)
	d.slowSaveTime = time.Hour
	d.disconnected["r0-1"], d.disconnected["r0-2"] = true, true
	d.run(12 * time.Second)
	delete(d.disconnected, "r0-2")
	d.run(time.Second)
	h := d.m.Handover()
	reasons := map[order.EndReason]int{}
	for _, e := range h.Ends {
		reasons[e.Reason]++
	}
	is.Equal(reasons, map[order.EndReason]int{order.Done: 1, order.Lapsed: 8}) // the latter on the target that has returned
	is.Equal(h.Lapsed, []string{d.m.targets["r0-1#1"].incarnationName()})
}
