package dispatch

import (
	"math"
	"time"
)

// Factors that bound the work lost to preemption for urgent work, as multiples of the
// urgent work itself. The bound is low at the start of the urgent work's slack, since
// runs often end and free their capacity in time, and reaches break-even at its end: a job
// that ends in time earns about four times what its own work would cost as waste.
const (
	initialLossFactor = 2.0
	finalLossFactor   = 4.0
	lateLossFactor    = 1.0
)

// reclaimMargin is the part of the time within which guaranteed work must have begun that
// is kept for saving the runs, reaching the targets, and a tick.
const reclaimMargin = 500 * time.Millisecond

// allowedLoss returns how many core-seconds of work may be lost now to preemption for a
// number of a step's tasks.
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

// guaranteeDue reports whether a step is guaranteed to its account and must begin now to
// meet the guarantee. It may then preempt with any loss.
func (m *Machine) guaranteeDue(s *step, now time.Time) bool {
	j := s.job
	if j.spec.Priority != 0 || len(s.spec.After) > 0 || !m.withinGuarantee(j.spec.Account) {
		return false
	}
	// A start follows a stop, so two orders are allowed for: on a host whose orders are
	// slow, preempting at the usual time would be too late.
	due := s.releaseTime() + (m.bounds.ReclaimTime - m.bounds.MaxStopTime - reclaimMargin - 2*m.orderTime).Milliseconds()
	return m.wallMS(now) >= due
}

// withinGuarantee reports whether an account is guaranteed all accelerators that its open
// jobs of priority 0 need.
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

// wantedByAccount returns how many accelerators the open jobs of priority 0 need, by
// account.
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
