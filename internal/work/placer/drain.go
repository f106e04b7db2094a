package placer

import "guavaglade.example/guavaglade/internal/work/gang"

// Drain has the machine begin nothing more. What it has begun it completes:
// starts under way, renewals, outcomes.
func (m *Machine) Drain() { m.draining = true }

// Draining reports whether Drain was called.
func (m *Machine) Draining() bool { return m.draining }

// Settled reports whether another placer can take over without loss: no start
// is under way and no outcome waits to be taken.
func (m *Machine) Settled() bool {
	for _, r := range m.records {
		if r.outcome != nil && r.takenAt.IsZero() || r.unusedClaim() {
			return false
		}
		if r.gang == nil {
			continue
		}
		switch r.gang.Phase() {
		case gang.Holding, gang.Claiming, gang.Starting:
			return false
		}
	}
	return true
}

// unusedClaim reports whether the placer holds a claim, or asks for one, that
// only it could use and has not used. The claim keeps every other placer from
// the job, so that a host that stops must first say that it did not run.
func (r *record) unusedClaim() bool {
	return r.outcome == nil && r.gang == nil && (r.claimed || r.claiming && r.elsewhere.IsZero()) && !r.ran && !r.job.Repeatable()
}
