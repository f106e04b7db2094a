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
	initialLossFactor = 2.0
	finalLossFactor   = 4.0
	lateLossFactor    = 1.0
)

// reclaimMargin is kept of the time within which guaranteed work must have
// begun: for the note in the store, the way to the targets, and a tick.
const reclaimMargin = 500 * time.Millisecond

// allowedLoss returns how many core-seconds may be thrown away now to make room
// for a step, whole or for one of its tasks.
func (m *Machine) allowedLoss(s *step, tasks int, now time.Time) float64 {
	if m.guaranteeDue(s, now) {
		return math.Inf(1)
	}
	size := coreEquivalents(s.spec.Needs) * s.spec.Estimate.Seconds() * float64(tasks)
	nowMS := m.wallMS(now)
	slack := s.latestStartForObjective() - s.releaseTime()
	switch {
	case nowMS >= s.latestStartForObjective() || slack <= 0:
		return lateLossFactor * size
	default:
		used := float64(nowMS-s.releaseTime()) / float64(slack)
		return (initialLossFactor + (finalLossFactor-initialLossFactor)*used) * size
	}
}

// guaranteeDue reports whether a step must have begun by the time that its account
// is guaranteed, and that time is near: room is then cleared at any cost.
func (m *Machine) guaranteeDue(s *step, now time.Time) bool {
	j := s.job
	if j.spec.Priority != 0 || len(s.spec.After) > 0 || !m.withinGuarantee(j.spec.Account) {
		return false
	}
	// A stop and a start follow each other. On a host that orders slowly, room that is
	// cleared at the usual time comes too late.
	due := s.releaseTime() + (m.bounds.ReclaimTime - m.bounds.MaxStopTime - reclaimMargin - 2*m.orderTime).Milliseconds()
	return m.wallMS(now) >= due
}

// withinGuarantee reports whether all that an account's open jobs of priority 0
// want is guaranteed to it.
func (m *Machine) withinGuarantee(account string) bool {
	guaranteed := m.guaranteed[account]
	if guaranteed == 0 {
		return false
	}
	if m.pass.wanted == nil {
		m.pass.wanted = m.wantedByAccount()
	}
	return m.pass.wanted[account] <= guaranteed
}

// wantedByAccount returns how many accelerators the open jobs of priority 0 want.
func (m *Machine) wantedByAccount() map[string]int {
	wanted := map[string]int{}
	for _, j := range m.jobs {
		if j.spec.Priority != 0 || j.finished() {
			continue
		}
		for _, s := range j.steps {
			if !s.done {
				wanted[j.spec.Account] += s.tasksLeft * s.spec.Needs.Accelerators
			}
		}
	}
	return wanted
}
