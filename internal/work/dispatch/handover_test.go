package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// takeOverWithout has a new leader take over that does not reach the first target, on which a task of
// a step runs that another one depends on. It returns the target's address and the task.
func takeOverWithout(t *testing.T) (d *simulation, id graph.JobID, address string, run order.Run) {
	t.Helper()
	d = newSimulation(t, 1, 2, DefaultBounds())
	second := small(1)
	second.After = []int{0}
	id = d.submit(2, 30*time.Second, small(1), second)
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
	d.m.ApplyHandover(Handover{Term: d.m.Term() - 1, Lapsed: []string{d.m.jobs[id].steps[0].tasks[0].runs[0].target.incarnationName()}}, d.now)
	d.run(2 * time.Second) // until the target's first poll has failed
	runs := d.m.jobs[id].steps[0].tasks[0].runs
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Number, run.Number+1)
}

// What is handed over of another incarnation, another run, or a target that reports itself must change
// nothing: the run goes on.
func TestHandoverOfOtherRunsIsIgnored(t *testing.T) {
	for name, change := range map[string]func(d *simulation, h *Handover){
		"other incarnation": func(_ *simulation, h *Handover) {
			id, startedAt := parseIncarnation(h.Ends[0].Target)
			h.Ends[0].Target = incarnationName(id, startedAt+1)
			h.Lapsed[0] = h.Ends[0].Target
		},
		"other run": func(_ *simulation, h *Handover) { h.Ends[0].Run++; h.Lapsed = nil },
		"malformed": func(_ *simulation, h *Handover) { h.Ends[0].Task = "x"; h.Lapsed[0] = "@" },
		"reachable": func(d *simulation, _ *Handover) {
			clear(d.disconnected)
			d.run(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, id, _, run := takeOverWithout(t)
			target := d.m.jobs[id].steps[0].tasks[0].runs[0].target.incarnationName()
			h := Handover{Term: d.m.Term() - 1, Ends: []ListedEnd{{Target: target, Task: run.Task.String(), Run: run.Number, Reason: order.Done}}, Lapsed: []string{target}}
			change(d, &h)
			d.m.ApplyHandover(h, d.now)
			d.run(2 * time.Second)
			runs := d.m.jobs[id].steps[0].tasks[0].runs
			is.Equal(len(runs), 1)
			is.Equal(runs[0].Number, run.Number)
		})
	}
}

// The leader before has seen all leases on a target lapse. The next one has reached it and granted
// another since, and lost it: the run goes on until that has lapsed.
func TestHandedOverLapseOfTargetThatHasReportedIsIgnored(t *testing.T) {
	is := is.New(t)
	d, id, address, run := takeOverWithout(t)
	target := d.m.jobs[id].steps[0].tasks[0].runs[0].target
	clear(d.disconnected)
	d.run(2 * time.Second)
	is.Equal(target.reach, reachable)
	d.disconnected[address] = true
	d.run(3 * time.Second)
	is.Equal(target.reach, unreachable)
	d.m.ApplyHandover(Handover{Term: d.m.Term() - 1, Lapsed: []string{target.incarnationName()}}, d.now)
	d.run(300 * time.Millisecond)
	is.Equal(d.m.jobs[id].steps[0].tasks[0].runs[0].Number, run.Number)
	is.Equal(len(d.p.Breaches()), 0)
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

// A leader that was frozen hands over that all leases on a target have lapsed, to the second leader
// after it. The one between has reached the target and renewed the lease of its run, which the second
// one must not start elsewhere.
func TestLapseIsNotHandedOverAcrossATerm(t *testing.T) {
	is := is.New(t)
	d := newSimulation(t, 1, 2, DefaultBounds())
	id := d.submit(2, 30*time.Second, small(1))
	d.run(time.Second)
	target, frozen := d.m.jobs[id].steps[0].tasks[0].runs[0].target, d.m
	d.changeLeader()
	d.run(8 * time.Second)
	frozen.PollFailed(target.ID, Poll{Target: target.address(), Sent: d.now}, order.ErrUnanswered, d.now)
	frozen.Tick(d.now)
	h := frozen.Handover()
	is.Equal(h.Lapsed, []string{target.incarnationName()})
	d.disconnected[target.Address] = true
	d.changeLeader()
	d.run(500 * time.Millisecond)
	d.m.ApplyHandover(h, d.now)
	d.run(time.Second)
	for _, b := range d.p.Breaches() { // the lease that the leader between has granted lasts for another four seconds
		t.Error(b)
	}
	is.Equal(d.p.StartsOf(id), 1)
}

// A lapse is handed over before the target's first report to the new leader, which lists the run as
// done. The job must not be given up for that: nobody has found that its target does not answer.
func TestHandedOverLapseDoesNotForestallFirstReport(t *testing.T) {
	is := is.New(t)
	s := newFixture()
	id := graph.JobID("00000000000000ba")
	j := testJob(id, 1)
	j.AtMostOnce = true
	placed := &progress.Step{Placements: []progress.Placement{{Target: "t1", Run: 1}}, LastRuns: map[int]int{0: 1}}
	s.Restore(j, &progress.Job{State: progress.Queued, Steps: map[string]*progress.Step{"0.0": placed}}, 5, false, s.now)
	s.EnablePlacement(s.now.Add(6*time.Second), s.now)
	s.saves() // the first poll is sent
	s.ApplyHandover(Handover{Term: s.Term() - 1, Lapsed: []string{"t1"}}, s.now)
	s.Tick(s.now)
	s.report(order.Report{Ended: []order.Ended{{Number: 1, Run: testRun(id, 0, 1), Reason: order.Done}}})
	s.saves()
	state, _ := s.State(id)
	is.Equal(state, progress.Completed)
}
