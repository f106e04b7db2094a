package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
)

// Bounds of holds. A hold is a time in which a job has nothing running on any target while a task's
// turn has come, there is capacity for it twice over on calm targets and less than half of the
// capacity of all targets is in use.
const (
	// maxUnplacedHold is how long a hold may last in which the job has no runs.
	maxUnplacedHold = 3 * time.Second
	// maxRunHold is how long a hold may last in which the job has the same runs, under one leader and
	// while none of their targets answers again after it did not. A lease is last renewed by a poll
	// that is sent when the target is cut off: maxPollWait + pollTimeout until that poll fails, then up
	// to longestLease for the lease, and a tick, a save and a start: 2.6 s + 6.34 s + 0.3 s.
	maxRunHold = 9300 * time.Millisecond
)

// hold is a hold of one step.
type hold struct {
	step     graph.StepID
	from, to time.Time
	runs     string // of the job, with how often each target has returned; empty if it had none
	term     int64  // of the leader, which does not know what leases an earlier one granted
	why      string // as of maxUnplacedHold after its start
}

func (h hold) duration() time.Duration { return h.to.Sub(h.from) }

// tooLong reports whether the hold lasted longer than the runs of its job explain.
func (h hold) tooLong() bool {
	if h.runs == "" {
		return h.duration() > maxUnplacedHold
	}
	return h.duration() > maxRunHold
}

func (h hold) String() string {
	return fmt.Sprintf("%s held for %s from %.3f: %s", h.step, h.duration(), h.from.Sub(time.Unix(1000, 0)).Seconds(), h.why)
}

// holdWatch records the holds of a simulation.
type holdWatch struct {
	d       *simulation
	open    map[graph.StepID]*hold
	holds   []hold                    // that lasted longer than maxUnplacedHold
	calm    func(address string) bool // whether a target is under no disruption
	stopped func() bool               // whether nothing can be started at all, so that time does not count
	silent  map[string]bool           // ids of targets that did not answer when last looked at
	returns map[string]int            // how often a target has answered again
}

// watchHolds has the holds recorded from now on.
func (d *simulation) watchHolds(calm func(address string) bool, stopped func() bool) *holdWatch {
	w := &holdWatch{d: d, open: map[graph.StepID]*hold{}, calm: calm, stopped: stopped, silent: map[string]bool{}, returns: map[string]int{}}
	d.advanced = func() {
		if d.now.UnixMilli()%50 == 0 {
			w.look()
		}
	}
	return w
}

// look looks for holds that begin, go on or end.
func (w *holdWatch) look() {
	d := w.d
	if w.stopped() {
		w.closeAll()
		return
	}
	for _, t := range d.m.sortedTargets {
		silent := t.reach != reachable
		if w.silent[t.ID] && !silent {
			w.returns[t.ID]++
		}
		w.silent[t.ID] = silent
	}
	for id, spec := range d.specs {
		step, held := w.heldStep(id, spec)
		for s, h := range w.open {
			if s.Job == id && (!held || s != step) {
				w.closeHold(h)
			}
		}
		if !held {
			continue
		}
		runs := w.runsOf(id)
		if runs == "" && d.awaitsLease(step) {
			runs = "none, and a lease is awaited"
		}
		h := w.open[step]
		if h != nil && (h.runs != runs || runs != "" && h.term != d.m.Term()) {
			w.closeHold(h)
			h = nil
		}
		if h == nil {
			h = &hold{step: step, from: d.now, runs: runs, term: d.m.Term()}
			w.open[step] = h
		}
		h.to = d.now
		if h.why == "" && h.duration() >= maxUnplacedHold {
			h.why = d.whyHeld(step)
		}
	}
}

func (w *holdWatch) closeHold(h *hold) {
	if h.duration() > maxUnplacedHold {
		w.holds = append(w.holds, *h)
	}
	delete(w.open, h.step)
}

func (w *holdWatch) closeAll() {
	for _, h := range w.open {
		w.closeHold(h)
	}
}

// tooLong returns the holds that lasted too long, those that go on included.
func (w *holdWatch) tooLong() (list []string) {
	w.closeAll()
	for _, h := range w.holds {
		if h.tooLong() {
			list = append(list, h.String())
		}
	}
	return list
}

// heldStep returns the first step of a job of which a task's turn has come and that has room, if
// nothing of the job runs.
func (w *holdWatch) heldStep(id graph.JobID, spec *graph.Job) (graph.StepID, bool) {
	d := w.d
	if d.state(id).Final() || d.p.RunningOf(id) > 0 {
		return graph.StepID{}, false
	}
	for i := range spec.Steps {
		s := graph.StepID{Job: id, Step: i}
		turn := d.p.DoneOf(s) < spec.Steps[i].Count
		for _, a := range spec.Steps[i].After {
			turn = turn && d.p.DoneOf(graph.StepID{Job: id, Step: a}) == spec.Steps[a].Count
		}
		if turn {
			return s, w.hasRoom(s, &spec.Steps[i])
		}
	}
	return graph.StepID{}, false
}

// excluded reports whether a task of a step that is not done is kept from a target on which it
// failed.
func (d *simulation) excluded(id graph.StepID, targetID string) bool {
	s, t := d.findStep(id), d.m.targets[targetID]
	if s == nil || t == nil {
		return false
	}
	return slices.ContainsFunc(s.tasks, func(x *task) bool { return !x.done && x.excludes(t, d.now) })
}

// runsOf identifies the runs that a job has.
func (w *holdWatch) runsOf(id graph.JobID) string {
	j := w.d.m.jobs[id]
	if j == nil {
		return ""
	}
	var names []string
	for _, r := range j.sortedLiveRuns() {
		names = append(names, fmt.Sprintf("%s.%d@%s+%d", r.Task, r.Number, r.target.ID, w.returns[r.target.ID]))
	}
	return strings.Join(names, " ")
}

// hasRoom reports whether a step fits twice over on calm targets, and less than half of all
// capacity is in use. A gang that wants one rack must fit twice over on one rack. Targets on which
// a task of the step has failed do not count: TestTaskDoesNotAvoidItsOnlyTarget.
func (w *holdWatch) hasRoom(id graph.StepID, s *graph.Step) bool {
	fits, used, all := map[string]int{}, 0, 0
	for _, x := range w.d.p.Roster() {
		use := w.d.p.UsedOn(x.ID)
		used += use.Accelerators
		all += x.Capacity.Accelerators
		if !w.calm(x.Address) || x.Draining || s.Label != "" && !slices.Contains(x.Labels, s.Label) || w.d.hidden[x.Address] {
			continue
		}
		if w.d.excluded(id, x.ID) || w.d.specs[id.Job].Advised && !mayRun(id, x.ID) {
			continue
		}
		rack := ""
		if s.SameRack || s.Gang && s.DataRack != "" {
			rack = x.Rack
		}
		n := tasksThatFit(s.Charge(), x.Capacity.Minus(use))
		if s.PerTarget > 0 {
			n = min(n, s.PerTarget)
		}
		fits[rack] += n
	}
	need := 1
	if s.Gang {
		need = s.Count
	}
	most := 0
	for _, n := range fits {
		most = max(most, n)
	}
	return most >= 2*need && 2*used < all
}

// findStep returns the step as the machine has it; nil: it does not know it.
func (d *simulation) findStep(id graph.StepID) *step {
	if d.m.jobs[id.Job] == nil {
		return nil
	}
	return d.m.findStep(id)
}

// runsOfStep identifies the runs that the tasks of a step have.
func (d *simulation) runsOfStep(id graph.StepID) string {
	var names []string
	if s := d.findStep(id); s != nil {
		for _, x := range s.tasks {
			for _, r := range x.runs {
				names = append(names, fmt.Sprintf("%d.%d@%s", x.index, r.Number, r.target.ID))
			}
		}
	}
	return strings.Join(names, " ")
}

// whyHeld explains why no task of a step runs: the runs that its tasks have or, if they have none,
// what keeps the step and each target from being used.
func (d *simulation) whyHeld(id graph.StepID) string {
	s := d.findStep(id)
	if s == nil {
		return "the job is not known"
	}
	var why []string
	add := func(format string, args ...any) { why = append(why, fmt.Sprintf(format, args...)) }
	add("gang %t, %d tasks left, blocked by %d, queued %t, rank of pass in %s, list aged %s", s.spec.Gang, s.tasksLeft, s.blockedBy, s.queued, d.m.nextPassAt.Sub(d.now), d.now.Sub(d.m.listAsOf))
	if s.blockedBy > 0 {
		for _, a := range s.spec.After {
			before := graph.StepID{Job: id.Job, Step: a}
			add("waits for %s: runs %q", before, d.runsOfStep(before))
			if b := d.findStep(before); b != nil {
				for _, x := range b.tasks {
					for _, r := range x.runs {
						add("%s", d.describeRun(r))
					}
				}
			}
		}
	}
	if s.pausedUntil.After(d.now) {
		add("paused for %s", s.pausedUntil.Sub(d.now))
	}
	if slices.ContainsFunc(s.tasks, func(x *task) bool { return x.awaitsVerdict(d.now) }) {
		add("awaits a verdict")
	}
	if s.spec.Gang && s.attemptsMayBeExhausted(0, d.now) {
		add("attempts may be exhausted")
	}
	tasks, runs := 0, 0
	for _, x := range s.tasks {
		if x.done {
			continue
		}
		tasks++
		if x.pausedUntil.After(d.now) {
			add("task %d paused for %s", x.index, x.pausedUntil.Sub(d.now))
		}
		for _, r := range x.runs {
			if runs++; runs <= 4 {
				add("%s", d.describeRun(r))
			}
		}
	}
	if runs > 0 || tasks == 0 {
		return strings.Join(why, "; ")
	}
	for _, x := range s.tasks {
		if x.done {
			continue
		}
		for _, t := range d.m.sortedTargets {
			add("%s: %s", t.ID, d.whyNotOn(x, t))
		}
		break
	}
	return strings.Join(why, "; ")
}

// awaitsLease reports whether a gang without runs waits until the leases of a silent target have
// lapsed: its last run may have failed there, or the target may have crashed under it.
func (d *simulation) awaitsLease(id graph.StepID) bool {
	s := d.findStep(id)
	if s == nil || !s.spec.Gang {
		return false
	}
	return s.attemptsMayBeExhausted(0, d.now) || slices.ContainsFunc(s.tasks, func(x *task) bool { return x.awaitsVerdict(d.now) })
}

// describeRun describes a run that is not on its target, for a hold.
func (d *simulation) describeRun(r *run) string {
	t := r.target
	return fmt.Sprintf("run %d.%d on %s: phase %d, placed %s ago, sent %s ago, starts %d, unanswered %d, answered %t, pending %t, expired %t; target: reach %d, listed %t, responsive %t, drains %t, lease left %s",
		r.task.index, r.Number, t.ID, r.phase, d.now.Sub(r.placedAt), d.now.Sub(r.sentAt), r.startsSent, r.unanswered, !r.orderAnsweredAt.IsZero(), r.orderPending, r.startsExpired,
		t.reach, t.listed, t.responsive(), t.Draining, t.leaseEnd.Sub(d.now))
}

// whyNotOn explains what keeps a task from a target.
func (d *simulation) whyNotOn(x *task, t *target) string {
	s, now := x.step, d.now
	switch {
	case !t.listed:
		return "not listed"
	case t.reach != reachable:
		return fmt.Sprintf("reach %d", t.reach)
	case !t.responsive():
		return "missed an order"
	case t.clockMS == 0:
		return "clock not known"
	case t.Draining:
		return "drains"
	case t.evacuated:
		return "evacuated"
	case !t.entryIsCurrent():
		return "entry of an earlier incarnation"
	case now.Before(t.suspendedUntil):
		return "suspended"
	case t.health.Quarantined(now):
		return "quarantined"
	case !s.eligible(t, now):
		return "label, permit or probation"
	case x.excludes(t, now):
		return "excluded since the task failed there"
	case d.m.reservedForOther(t, s):
		return "reserved"
	case !s.spec.Charge().FitsIn(t.freeCapacity()):
		return fmt.Sprintf("no room: free %+v, waiting %+v, runs %d", t.freeCapacity(), t.waitingCharge, len(t.runs))
	case s.perTargetLeft(t) <= 0:
		return "limit per target"
	case d.m.startsTooClose(x, t, now):
		return "a suspect begins there"
	}
	return "free"
}
