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

// hasUnstartedTasks reports whether a task of the step is not done and has no run. A gang is pending
// until it is done.
func (s *step) hasUnstartedTasks() bool {
	return slices.ContainsFunc(s.tasks, func(x *task) bool { return !x.done && len(x.runs) == 0 })
}

// requestAdvice issues an Advise that asks for permission to run a pending step on
// targets that could take its tasks: those with free capacity first.
func (m *Machine) requestAdvice(s *step, now time.Time) {
	if !s.job.spec.Advised || m.advicePending || now.Before(m.nextAdviceAt) || !s.hasUnstartedTasks() {
		return
	}
	var ids []string
	for _, withCapacity := range []bool{true, false} {
		for _, t := range m.sortedTargets {
			if len(ids) == maxAdviceTargets || s.permits.denied[t.ID] || s.permitted(t, now) || !s.eligibleWithoutAdvice(t, now) || !s.spec.Charge().FitsIn(t.Capacity) {
				continue
			}
			if s.spec.Charge().FitsIn(t.freeCapacity()) == withCapacity {
				ids = append(ids, t.ID)
			}
		}
	}
	if len(ids) == 0 {
		return
	}
	m.advicePending = true
	m.commands = append(m.commands, Advise{Step: s.id, Targets: ids})
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
