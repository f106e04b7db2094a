package dispatch

import (
	"math"
	"time"
)

// How much work may be thrown away for urgent work, as a multiple of the urgent
// work itself. At the start of its slack little is, since room often comes free
// by itself; at its end up to what the users' prices make even: a job that ends
// in time earns about four times what its own work is worth as waste.
const (
	lossAtFirst = 2.0
	lossAtLast  = 4.0
	lossTooLate = 1.0
)

// reclaimMargin is kept of the time within which guaranteed work must have
// begun: for the note in the store, the way to the targets, and a tick.
const reclaimMargin = 500 * time.Millisecond

// allowedLoss returns how many core-seconds may be thrown away now to make room
// for a step, whole or for one of its tasks.
func (m *Machine) allowedLoss(s *step, tasks int, now time.Time) float64 {
	if m.mustBegin(s, now) {
		return math.Inf(1)
	}
	size := weight(s.spec.Needs) * s.spec.Estimate.Seconds() * float64(tasks)
	wall := m.wallMS(now)
	slack := s.latestStart() - s.anchor()
	switch {
	case wall >= s.latestStart() || slack <= 0:
		return lossTooLate * size
	default:
		used := float64(wall-s.anchor()) / float64(slack)
		return (lossAtFirst + (lossAtLast-lossAtFirst)*used) * size
	}
}

// mustBegin reports whether a step must have begun by the time that its account
// is guaranteed, and that time is near: room is then cleared at any cost.
func (m *Machine) mustBegin(s *step, now time.Time) bool {
	j := s.job
	if j.spec.Priority != 0 || len(s.spec.After) > 0 || !m.withinGuarantee(j.spec.Account) {
		return false
	}
	// A stop and a start follow each other. On a host that orders slowly, room that is
	// cleared at the usual time comes too late.
	due := s.anchor() + (m.bounds.ReclaimTime - m.bounds.StopTime - reclaimMargin - 2*m.orderTime).Milliseconds()
	return m.wallMS(now) >= due
}

// withinGuarantee reports whether all that an account's open jobs of priority 0
// want is guaranteed to it.
func (m *Machine) withinGuarantee(account string) bool {
	sure := m.guaranteed[account]
	if sure == 0 {
		return false
	}
	if m.pass.wanted == nil {
		m.pass.wanted = m.wantedByAccount()
	}
	return m.pass.wanted[account] <= sure
}

// wantedByAccount returns how many accelerators the open jobs of priority 0 want.
func (m *Machine) wantedByAccount() map[string]int {
	wanted := map[string]int{}
	for _, j := range m.jobs {
		if j.spec.Priority != 0 || j.over() {
			continue
		}
		for _, s := range j.steps {
			if !s.done {
				wanted[j.spec.Account] += s.undone * s.spec.Needs.Accelerators
			}
		}
	}
	return wanted
}
