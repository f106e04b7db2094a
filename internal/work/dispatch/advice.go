package dispatch

import (
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// The policy of some queues lets only some targets run a step, and only an advice service
// knows which. It issues a ticket for each target that may, which the start carries. The
// service answers one call at a time, and more slowly the more targets a call names.

// Limits of calls for advice.
const (
	// maxAdviceTargets bounds the targets that one call names; the service takes a
	// hundred. A step of the usual width needs about thirty, if a part of them is
	// allowed.
	maxAdviceTargets = 30
	// ticketMargin is the part of a ticket's validity that is reserved for saving the run
	// and sending its start.
	ticketMargin = 200 * time.Millisecond
	// advicePause is the pause after a call that was refused or not answered.
	advicePause = 250 * time.Millisecond
)

// Advise asks which targets may run a step. The answer goes to Machine.Advised.
type Advise struct {
	Step    graph.StepID
	Targets []string
}

func (Advise) command() {}

// permits holds the answers of the advice service for a step.
type permits struct {
	tickets map[string]ticket // by target id
	denied  map[string]bool   // target ids that got no ticket in the last answer about them
}

// ticket permits a step to run on one target.
type ticket struct {
	text        string    // as the start carries it
	until       time.Time // end of its validity
	incarnation int64     // of the target, by target.incarnation: it is not valid for a later one
}

// permitted reports whether a target may run the step now; a step of a queue without
// advice may run anywhere.
func (s *step) permitted(t *target, now time.Time) bool {
	if !s.job.spec.Advised {
		return true
	}
	k, ok := s.permits.tickets[t.ID]
	return ok && k.incarnation == t.incarnation && now.Add(ticketMargin).Before(k.until)
}

// ticket returns the text of the ticket for a start of the step on a target; empty if
// there is none.
func (s *step) ticket(t *target) string { return s.permits.tickets[t.ID].text }

// nextUnstarted returns the first task of the step that is not done, has no run and is not paused, or
// nil. A gang is pending until it is done.
func (s *step) nextUnstarted(now time.Time) *task {
	for _, x := range s.tasks {
		if !x.done && len(x.runs) == 0 && !now.Before(x.pausedUntil) {
			return x
		}
	}
	return nil
}

// requestAdvice issues an Advise that asks for permission to run a pending step on
// targets that could take its tasks, if that could have it placed now: those with capacity
// first. Of the other steps, it keeps the first one of a pass for requestEarlyAdvice.
func (m *Machine) requestAdvice(s *step, now time.Time) {
	if !s.job.spec.Advised || m.advicePending || now.Before(m.nextAdviceAt) {
		return
	}
	x := s.nextUnstarted(now)
	if x == nil {
		return
	}
	n := m.adviceNeedOf(x, now)
	ids := n.targets()
	switch {
	case len(ids) == 0:
	case n.helps(s, s.spec.Gang && s.spec.SameRack && !m.takesSlowerSet(s, now)):
		m.sendAdvise(Advise{Step: s.id, Targets: ids})
	case m.pass.earlyAdvice == nil:
		m.pass.earlyAdvice = &Advise{Step: s.id, Targets: ids}
	}
}

// requestEarlyAdvice asks for a step that cannot be placed now, if no other step needs advice: it finds
// its permissions there when capacity is freed. Such steps would use up all calls otherwise, since
// permissions expire while they wait, and those that could be placed would wait with them.
func (m *Machine) requestEarlyAdvice() {
	if a := m.pass.earlyAdvice; a != nil && !m.advicePending {
		m.sendAdvise(*a)
	}
}

// sendAdvise issues an Advise.
func (m *Machine) sendAdvise(a Advise) {
	m.advicePending = true
	m.commands = append(m.commands, a)
}

// adviceNeed is what advice could change for a step.
type adviceNeed struct {
	withCapacity, others []string // targets without a permission that have capacity for a task now, and that have not
	// How many tasks fit, by rack: now on the targets that are not denied, now on those that are permitted,
	// and on the former if all runs there had ended that do end.
	fitting, permitted, ifEmpty map[string]int
}

// adviceNeedOf returns what advice could change for the step of a task, which is not started.
func (m *Machine) adviceNeedOf(x *task, now time.Time) adviceNeed {
	s := x.step
	n := adviceNeed{fitting: map[string]int{}, permitted: map[string]int{}, ifEmpty: map[string]int{}}
	m.targetsConsidered += len(m.sortedTargets)
	for _, t := range m.sortedTargets {
		if s.permits.denied[t.ID] || !s.eligibleWithoutAdvice(t, now) || !s.spec.Charge().FitsIn(t.Capacity) {
			continue
		}
		fitting := m.tasksThatCouldBePlaced(x, t, now)
		n.fitting[t.Rack] += fitting
		n.ifEmpty[t.Rack] += s.tasksThatFitIfEmpty(t)
		switch {
		case s.permitted(t, now):
			n.permitted[t.Rack] += fitting
		case fitting > 0:
			n.withCapacity = append(n.withCapacity, t.ID)
		default:
			n.others = append(n.others, t.ID)
		}
	}
	return n
}

// targets returns the targets to ask for in one call.
func (n adviceNeed) targets() []string {
	ids := slices.Concat(n.withCapacity, n.others)
	return ids[:min(len(ids), maxAdviceTargets)]
}

// helps reports whether the step could be placed now with more permissions, and not with those that it
// has: then something else keeps it from being placed. A gang that waits for one rack is placed only there,
// if any could hold it.
func (n adviceNeed) helps(s *step, awaitsRack bool) bool {
	needed := 1
	if s.spec.Gang {
		needed = len(s.tasks)
	}
	enough := sum
	if awaitsRack && most(n.ifEmpty) >= needed {
		enough = most
	}
	return len(n.withCapacity) > 0 && enough(n.fitting) >= needed && enough(n.permitted) < needed
}

// sum returns the sum of the counts.
func sum(counts map[string]int) (n int) {
	for _, k := range counts {
		n += k
	}
	return n
}

// most returns the largest of the counts.
func most(counts map[string]int) (n int) {
	for _, k := range counts {
		n = max(n, k)
	}
	return n
}

// tasksThatCouldBePlaced returns how many tasks like this one of its step fit on a target now or, if they
// are urgent, after preemption.
func (m *Machine) tasksThatCouldBePlaced(x *task, t *target, now time.Time) int {
	s := x.step
	if m.reservedForOther(t, s) || x.excludes(t, now) || m.startsTooClose(x, t, now) {
		return 0
	}
	free := t.freeCapacity()
	if s.job.spec.Priority == 0 {
		free = m.preemptibleCapacity(t, now)
	}
	return min(tasksThatFit(s.spec.Charge(), free), max(s.perTargetLeft(t), 0))
}

// Advised applies the answer of the advice service; the caller calls it when a call for
// advice has ended. The tickets are valid for a time from asked, when the call was sent:
// they were issued no earlier. err is set if there was no answer.
func (m *Machine) Advised(a Advise, granted []order.Permit, valid time.Duration, asked time.Time, err error, now time.Time) {
	m.advicePending = false
	m.placementDue = true
	if err != nil {
		m.nextAdviceAt = now.Add(advicePause)
		m.log.Decided("no advice", "step", a.Step, "targets", len(a.Targets), "error", err.Error())
		return
	}
	s := m.findStep(a.Step)
	if s == nil {
		return
	}
	m.log.Decided("advice", "step", a.Step, "targets", len(a.Targets), "granted", len(granted), "validMS", valid.Milliseconds())
	if s.permits.tickets == nil {
		s.permits = permits{tickets: map[string]ticket{}, denied: map[string]bool{}}
	}
	if valid == 0 {
		valid = s.job.spec.AdviceValid
	}
	for _, id := range a.Targets {
		s.permits.denied[id] = true
	}
	for _, g := range granted {
		delete(s.permits.denied, g.Target)
		k := ticket{text: g.Ticket, until: asked.Add(valid)}
		if t := m.targets[g.Target]; t != nil {
			k.incarnation = t.incarnation
		}
		s.permits.tickets[g.Target] = k
	}
}

// findStep returns the step, or nil if its job is not known or its occurrence is not open.
func (m *Machine) findStep(id graph.StepID) *step {
	j := m.jobs[id.Job]
	if j == nil {
		return nil
	}
	if x := j.findTask(id.Task(0)); x != nil {
		return x.step
	}
	return nil
}
