package dispatch

import (
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// A leader that is replaced while it is disconnected may have read ends that it cannot save, and have
// seen leases lapse on targets that the next leader never reaches. If the targets have left by
// the time that the connection is back, nobody else can tell: the work would be withheld and done again.

// Handover is what the leader of an earlier term passes on to the present one.
type Handover struct {
	Term   int64       `json:"term"` // that has ended
	Ends   []ListedEnd `json:"ends,omitempty"`
	Lapsed []string    `json:"lapsed,omitempty"` // incarnations of targets that did not answer until all leases there had lapsed
}

// ListedEnd is the end of a run that a target has listed.
type ListedEnd struct {
	Target     string          `json:"target"` // the incarnation that listed it
	Task       string          `json:"task"`
	Run        int             `json:"run"`
	Reason     order.EndReason `json:"reason"`
	Checkpoint string          `json:"checkpoint,omitempty"`
}

// Empty reports whether there is nothing to pass on.
func (h Handover) Empty() bool { return len(h.Ends) == 0 && len(h.Lapsed) == 0 }

// lapsedTarget is an incarnation of a target that did not answer until all leases there had lapsed.
type lapsedTarget struct {
	incarnation string
	at          time.Time
}

// lapsedRetention is how long lapsed targets are kept to be handed over: a leader that is
// disconnected ceases to act after 10 s.
const lapsedRetention = 30 * time.Second

// recordLapsed records that all leases on a target have lapsed.
func (m *Machine) recordLapsed(t *target, now time.Time) {
	m.lapsed = slices.DeleteFunc(m.lapsed, func(l lapsedTarget) bool { return now.Sub(l.at) > lapsedRetention })
	m.lapsed = append(m.lapsed, lapsedTarget{t.incarnationName(), now})
}

// withdrawLapsed removes the record of a target that has answered again.
func (m *Machine) withdrawLapsed(t *target) {
	if len(m.lapsed) > 0 {
		m.lapsed = slices.DeleteFunc(m.lapsed, func(l lapsedTarget) bool { return l.incarnation == t.incarnationName() })
	}
}

// Handover returns what the machine knows and could not save. It is called after the term.
func (m *Machine) Handover() Handover {
	h := Handover{Term: m.term}
	for _, t := range m.sortedTargets {
		for _, e := range t.unsavedEnds {
			if e.job == nil || e.job.savedRev >= e.rev {
				continue
			}
			h.Ends = append(h.Ends, ListedEnd{Target: t.incarnationName(), Task: e.listed.Run.Task.String(), Run: e.listed.Run.Number, Reason: e.listed.Reason, Checkpoint: e.listed.Checkpoint})
		}
	}
	for _, l := range m.lapsed {
		h.Lapsed = append(h.Lapsed, l.incarnation)
	}
	return h
}

// ApplyHandover applies what an earlier leader has passed on, to targets that the machine does not
// reach: the others report themselves. Lapses count only from the term before: a leader between may
// have reached the target and granted other leases.
func (m *Machine) ApplyHandover(h Handover, now time.Time) {
	m.log.Decided("handover", "from", h.Term, "ends", len(h.Ends), "lapsed", len(h.Lapsed))
	for _, e := range h.Ends {
		m.applyListedEnd(e, now)
	}
	if h.Term == m.term-1 {
		for _, name := range h.Lapsed {
			m.applyLapse(name)
		}
	}
	m.placementDue = true
}

// applyLapse ends the wait for leases on a target that has not reported in this term, if all runs there
// are on the incarnation on which an earlier leader has seen them lapse. The runs are released once the
// target is found not to answer.
func (m *Machine) applyLapse(incarnation string) {
	id, _ := parseIncarnation(incarnation)
	t := m.targets[id]
	if t == nil || t.reach != notPolled || len(t.runsWhere(func(r *run) bool { return r.incarnationName() != incarnation })) > 0 {
		return
	}
	t.earlierLeasesLapsed = true
}

// limitEarlierLeases shortens the wait for leases of earlier leaders on a target that has just reported: its
// incarnation refuses their orders from now on, so that no lease there outlasts a whole one.
func (m *Machine) limitEarlierLeases(t *target, now time.Time) {
	if end := now.Add(longestLease(m.bounds.Lease)); end.Before(t.leaseEnd) {
		t.leaseEnd = end
	}
}

// laterIncarnationMayAct reports whether earlier leaders may still have orders executed on a target that
// has ceased to answer, since it may have started again under its id: a later incarnation does not know
// of this term. The list is no evidence against that: an incarnation that cannot reach the store is not
// shown. A target whose start is not known has a new id then.
func (m *Machine) laterIncarnationMayAct(t *target, now time.Time) bool {
	return t.incarnation != 0 && now.Before(t.earlierLeasesEnd)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// leasesLapsed reports whether all leases on a target that does not answer have lapsed.
func (m *Machine) leasesLapsed(t *target, now time.Time) bool {
	switch {
	case t.reach == reachable:
		return false
	case !now.Before(t.leaseEnd):
		return !m.laterIncarnationMayAct(t, now)
	}
	silent := !t.unansweredSince.IsZero() || !t.listed // a target that is not listed is not polled
	return t.reach == notPolled && t.earlierLeasesLapsed && silent
}

// applyListedEnd applies an end that an earlier leader has read. It is not acknowledged: if the
// target answers again, it lists the end itself.
func (m *Machine) applyListedEnd(e ListedEnd, now time.Time) {
	task, err := graph.ParseTaskID(e.Task)
	id, _ := parseIncarnation(e.Target)
	t := m.targets[id]
	if err != nil || t == nil || t.reach == reachable {
		return
	}
	ended := order.Ended{Run: order.Run{Task: task, Number: e.Run}, Reason: e.Reason, Checkpoint: e.Checkpoint}
	r := t.runs[ended.Run]
	if r == nil || r.incarnationName() != e.Target || !r.mayBeOnTarget() {
		return
	}
	m.log.Decided("run ended, as an earlier leader has read", "target", id, "task", e.Task, "run", e.Run, "how", e.Reason)
	m.removeRun(r, now)
	if j := m.jobs[task.Job]; j != nil {
		m.settleEnd(j, t, r, ended, now)
	}
}
