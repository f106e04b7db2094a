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
		if r.outcome != nil && r.takenAt.IsZero() {
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
