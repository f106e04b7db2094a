package dispatch

import (
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/evacuation"
)

// SetEvacuated sets which availability zones are evacuated; the caller calls it before
// each decision. Starts there that were not sent are dropped, with the other members of
// their gangs, and placed elsewhere; what runs there may end.
func (m *Machine) SetEvacuated(s evacuation.Status, now time.Time) {
	before := m.evacuated
	m.evacuated = s
	if s.Equal(before) {
		return
	}
	for _, zone := range s.Zones {
		if !before.Has(zone) {
			m.evacuateZone(zone, now)
		}
	}
	for _, zone := range before.Zones {
		if !s.Has(zone) {
			m.restoreZone(zone)
		}
	}
	m.placementDue, m.recheckWaiting = true, true
	m.checkGuarantees()
}

// evacuateZone keeps new work off the targets of a zone and drops their unsent starts.
func (m *Machine) evacuateZone(zone string, now time.Time) {
	targets, runs, unsent := 0, 0, 0
	for _, t := range m.sortedTargets {
		if t.Zone != zone {
			continue
		}
		t.evacuated = true
		targets++
		for _, r := range t.runsWhere(func(r *run) bool { return r.phase == awaitingCapacity || r.phase == recorded }) {
			if t.runs[r.Run] != r {
				continue // dropped with another member of its gang
			}
			unsent++
			m.dropUnsent(r, stopFor(stopEvacuated), now)
		}
		runs += len(t.runs)
	}
	m.log.Decided("zone evacuated", "zone", zone, "targets", targets, "runs", runs, "unsent", unsent, "knownForMS", now.Sub(m.evacuated.AsOf).Milliseconds())
}

// restoreZone lets the targets of a zone get work again.
func (m *Machine) restoreZone(zone string) {
	targets := 0
	for _, t := range m.sortedTargets {
		if t.Zone == zone {
			t.evacuated = false
			targets++
		}
	}
	m.log.Decided("zone restored", "zone", zone, "targets", targets)
}

// dropUnsent drops a run whose start was not sent, and the other members of its gang.
func (m *Machine) dropUnsent(r *run, reason stopReason, now time.Time) {
	m.log.Decided("run given up before it was sent", "target", r.target.ID, "task", r.Task, "run", r.Number, "reason", reason.String())
	m.release(r, now)
	m.stopGang(r, reason.withMember(stopMemberGivenUp), now)
}

// evacuationsAreCurrent reports whether the evacuation status is recent enough to start
// anything. A leader that receives no updates must not start work in a zone that may
// have been evacuated since the last one.
func (m *Machine) evacuationsAreCurrent(now time.Time) bool {
	return m.bounds.MaxEvacuationAge == 0 || now.Sub(m.evacuated.AsOf) <= m.bounds.MaxEvacuationAge
}

// stateIsCurrent reports whether the list of targets and the evacuation status are recent
// enough to start anything.
func (m *Machine) stateIsCurrent(now time.Time) bool {
	return m.listIsCurrent(now) && m.evacuationsAreCurrent(now)
}

// acceptsStarts reports whether starts may be sent to the target: it is in service, and its entry
// is recent, so that its capacity is known.
func (t *target) acceptsStarts(now time.Time) bool {
	return t.inService() && !t.entryIsStale() && !t.entryExpired(now)
}

// inService reports whether the target is listed and not draining, and its zone is not evacuated.
func (t *target) inService() bool {
	return t.listed && !t.Draining && !t.evacuated && t.entryIsCurrent()
}

// usableAccelerators returns the number of accelerators on targets that are in service. Those with stale
// entries count: after an outage of the store most are stale for a heartbeat, which would be logged as
// guarantees that are exceeded.
func (m *Machine) usableAccelerators() int {
	n := 0
	for _, t := range m.sortedTargets {
		if t.inService() {
			n += t.Capacity.Accelerators
		}
	}
	return n
}

// totalGuaranteed returns the number of accelerators guaranteed to all accounts together.
func (m *Machine) totalGuaranteed() int {
	n := 0
	for _, amount := range m.guaranteed {
		n += amount
	}
	return n
}

// Guarantees returns the number of accelerators guaranteed to all accounts together, and
// of those on targets that may get work; the caller calls it for metrics.
func (m *Machine) Guarantees() (guaranteed, usable int) {
	return m.totalGuaranteed(), m.usableAccelerators()
}

// checkGuarantees logs when the guarantees cease to fit in the usable capacity, and when
// they fit again.
func (m *Machine) checkGuarantees() {
	guaranteed, usable := m.totalGuaranteed(), m.usableAccelerators()
	if exceeded := guaranteed > usable; exceeded != m.guaranteesExceeded {
		m.guaranteesExceeded = exceeded
		message := "guarantees fit again"
		if exceeded {
			message = "guarantees exceed the usable capacity"
		}
		m.log.Decided(message, "guaranteed", guaranteed, "usable", usable, "evacuated", slices.Clone(m.evacuated.Zones))
	}
}
