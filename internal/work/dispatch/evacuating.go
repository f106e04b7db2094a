package dispatch

import (
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/evacuation"
)

// SetEvacuated tells which availability zones are evacuated. Starts there that were
// not sent are given up, with the other members of their gangs, and placed elsewhere;
// what runs there may end.
func (m *Machine) SetEvacuated(s evacuation.Status, now time.Time) {
	before := m.evacuated
	m.evacuated = s
	if s.Equal(before) {
		return
	}
	for _, zone := range s.Zones {
		if !before.Has(zone) {
			m.evacuate(zone, now)
		}
	}
	for _, zone := range before.Zones {
		if !s.Has(zone) {
			m.restoreZone(zone)
		}
	}
	m.changed, m.recheck = true, true
	m.judgeGuarantees()
}

func (m *Machine) evacuate(zone string, now time.Time) {
	targets, runs, unsent := 0, 0, 0
	for _, t := range m.byID {
		if t.Zone != zone {
			continue
		}
		t.evacuated = true
		targets++
		for _, r := range t.runsThat(func(r *run) bool { return r.phase == waiting || r.phase == noted }) {
			if t.runs[r.Run] != r {
				continue // given up with another member of its gang
			}
			unsent++
			m.giveUpUnsent(r, "its zone is evacuated", now)
		}
		runs += len(t.runs)
	}
	m.log.Decided("zone evacuated", "zone", zone, "targets", targets, "runs", runs, "unsent", unsent, "knownForMS", now.Sub(m.evacuated.AsOf).Milliseconds())
}

func (m *Machine) restoreZone(zone string) {
	targets := 0
	for _, t := range m.byID {
		if t.Zone == zone {
			t.evacuated = false
			targets++
		}
	}
	m.log.Decided("zone restored", "zone", zone, "targets", targets)
}

// giveUpUnsent gives up a run whose start was not sent, and with it its gang.
func (m *Machine) giveUpUnsent(r *run, why string, now time.Time) {
	m.log.Decided("run given up before it was sent", "target", r.target.ID, "task", r.Task, "run", r.Number, "reason", why)
	m.release(r, now)
	m.stopGang(r, "a member was given up: "+why, now)
}

// evacuationsKnown reports whether what is known of evacuations is new enough to start
// anything. A leader that no longer hears of them must not start work in a zone that
// was evacuated meanwhile.
func (m *Machine) evacuationsKnown(now time.Time) bool {
	return m.bounds.EvacuationAge == 0 || now.Sub(m.evacuated.AsOf) <= m.bounds.EvacuationAge
}

// informed reports whether what is known of targets and zones is new enough to start
// anything.
func (m *Machine) informed(now time.Time) bool { return m.listFresh(now) && m.evacuationsKnown(now) }

// takesStarts reports whether starts may be sent to the target, as far as operators and
// the target itself say.
func (t *target) takesStarts() bool { return !t.Draining && !t.evacuated }

// usable returns the accelerators of the targets that may get work.
func (m *Machine) usable() int {
	n := 0
	for _, t := range m.byID {
		if t.listed && t.takesStarts() {
			n += t.Capacity.Accelerators
		}
	}
	return n
}

// guaranteedInAll returns the accelerators that are guaranteed to all accounts together.
func (m *Machine) guaranteedInAll() int {
	n := 0
	for _, sure := range m.guaranteed {
		n += sure
	}
	return n
}

// Guarantees returns the accelerators that are guaranteed to all accounts together, and
// those of the targets that may get work.
func (m *Machine) Guarantees() (guaranteed, usable int) { return m.guaranteedInAll(), m.usable() }

// judgeGuarantees tells when the guarantees cease to fit in the room that may be used,
// and when they fit again.
func (m *Machine) judgeGuarantees() {
	sure, room := m.guaranteedInAll(), m.usable()
	if short := sure > room; short != m.short {
		m.short = short
		what := "guarantees fit again"
		if short {
			what = "guarantees exceed the room that may be used"
		}
		m.log.Decided(what, "guaranteed", sure, "usable", room, "evacuated", slices.Clone(m.evacuated.Zones))
	}
}
