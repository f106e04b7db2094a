package dispatch

import (
	"cmp"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/headroom"
)

// Preempted runs release their capacity only once they have stopped. An urgent job with less
// slack than that is late whenever it has to preempt, and in a burst it always has to: work of
// lower priority takes free capacity as soon as it appears. So some capacity is kept free of
// it, as much as package headroom expects such jobs to need during one stop.

// headroomState is what the machine needs to keep headroom.
type headroomState struct {
	everywhere  bool                         // it is on for all services
	services    map[string]bool              // services for which it is on
	arrivals    map[string]*headroom.Tracker // by service, whether or not it is on
	withholding map[string]*withholding      // by service; none: no work is withheld there
}

// WithHeadroom keeps headroom for urgent work on all services. Without it, SetHeadroom says
// on which.
func WithHeadroom() Option { return func(m *Machine) { m.headroom.everywhere = true } }

// SetHeadroom sets the services on which headroom is kept for urgent work. It keeps the map. It
// is called for each new version of the configuration.
func (m *Machine) SetHeadroom(services map[string]bool) { m.headroom.services = services }

// keepsHeadroom reports whether headroom is kept on a service.
func (m *Machine) keepsHeadroom(service string) bool {
	return m.headroom.everywhere || m.headroom.services[service]
}

// jobArrived counts the arrival of a job by its acceptance, which may be long ago if a new
// leader restores it. Of a job that recurs, occurrenceArrived counts each occurrence.
func (m *Machine) jobArrived(j *job, now time.Time) {
	if j.spec.Repeat == 0 {
		m.urgentArrived(j, j.spec.AcceptedAt, now)
	}
}

// occurrenceArrived counts the arrival of the next occurrence of a job that recurs by the time
// at which it is due.
func (m *Machine) occurrenceArrived(j *job, now time.Time) {
	if j.spec.Repeat > 0 {
		m.urgentArrived(j, j.spec.Due(j.opened), now)
	}
}

// urgentArrived counts an arrival at a time, in milliseconds since 1970, if the job is urgent.
func (m *Machine) urgentArrived(j *job, at int64, now time.Time) {
	if j.spec.Priority != 0 {
		return
	}
	tracker := m.headroom.arrivals[j.spec.Service]
	if tracker == nil {
		tracker = headroom.New(m.bounds.MaxStopTime)
		m.headroom.arrivals = put(m.headroom.arrivals, j.spec.Service, tracker)
	}
	// The victims are stopped before the start is sent, so two orders are allowed for.
	slack := j.objective - j.spec.CriticalPath() - 2*m.orderTime
	tracker.Arrived(headroom.Arrival{At: at, Needs: firstNeeds(j.spec), Slack: slack}, m.wallMS(now))
}

// firstNeeds returns what all tasks need that depend on no others.
func firstNeeds(spec *graph.Job) graph.Resources {
	var needs graph.Resources
	for i := range spec.Steps {
		if s := &spec.Steps[i]; len(s.After) == 0 {
			needs = needs.Plus(s.Charge().Times(s.Count))
		}
	}
	return needs
}

// expectedUrgent returns the capacity to keep free on a service, zero if none.
func (m *Machine) expectedUrgent(service string, now time.Time) graph.Resources {
	tracker := m.headroom.arrivals[service]
	if tracker == nil || !m.keepsHeadroom(service) {
		return graph.Resources{}
	}
	usable := 0
	for _, t := range m.sortedTargets {
		if t.Service == service && t.acceptsStarts(now) {
			usable += t.Capacity.Accelerators
		}
	}
	return tracker.Headroom(m.wallMS(now), usable)
}

// HeadroomAccelerators returns how many accelerators are to be kept free on all services
// together; the caller calls it for metrics.
func (m *Machine) HeadroomAccelerators(now time.Time) int {
	n := 0
	for service := range m.headroom.arrivals {
		n += m.expectedUrgent(service, now).Accelerators
	}
	return n
}

// keptFree is the free capacity that is kept for urgent work, by target; nil stands for none.
type keptFree map[*target]graph.Resources

// keptFrom returns the free capacity that is kept from a step, nil if it may use all.
func (m *Machine) keptFrom(s *step, now time.Time) keptFree {
	if s.job.spec.Priority == 0 || !m.keepsHeadroom(s.job.spec.Service) || !s.canWait(m.wallMS(now)) {
		return nil
	}
	service := s.job.spec.Service
	kept, ok := m.pass.kept[service]
	if !ok {
		kept = m.keepFree(service, now)
		m.pass.kept = put(m.pass.kept, service, kept)
	}
	return kept
}

// on returns the capacity that is kept free on a target.
func (k keptFree) on(t *target) graph.Resources { return k[t] }

// besides returns the free capacity of a target that is not kept.
func (k keptFree) besides(t *target) graph.Resources {
	return t.freeCapacity().Minus(k.on(t))
}

// keepFree selects the free capacity that is kept for urgent work on a service in this pass; nil
// if there is no urgent work to expect, or most of the capacity is free. It takes the racks
// with the most free accelerators first, and there the targets with the most: urgent gangs
// need several targets of one rack, and what is left to other work is scattered capacity that
// they can hardly use. As other work then ends on these racks, more of the headroom
// gathers there.
func (m *Machine) keepFree(service string, now time.Time) keptFree {
	want := m.expectedUrgent(service, now)
	if want.Accelerators == 0 || m.mostlyIdle(service, now) {
		return nil
	}
	m.targetsConsidered += len(m.sortedTargets)
	kept, left := keptFree{}, want.Accelerators
	for _, rack := range m.racksByFreeAccelerators(service, want, now) {
		for _, f := range rack.targets {
			n := min(f.accelerators, left)
			kept[f.target] = shareOf(want, n)
			if left -= n; left == 0 {
				return kept
			}
		}
	}
	return kept
}

// shareOf returns a number of accelerators out of an amount, with the cores and memory in
// proportion.
func shareOf(amount graph.Resources, accelerators int) graph.Resources {
	return graph.Resources{
		CPU:          amount.CPU * accelerators / amount.Accelerators,
		MemoryMB:     amount.MemoryMB * accelerators / amount.Accelerators,
		Accelerators: accelerators,
	}
}

// freeAccelerators is how many free accelerators of a target urgent work can use.
type freeAccelerators struct {
	target       *target
	accelerators int // at least 1
}

// freeRack holds the targets of a rack with free accelerators, those with the most first.
type freeRack struct {
	targets      []freeAccelerators
	accelerators int // of all
}

// racksByFreeAccelerators returns the racks of a service with accelerators that urgent work can
// use now, those with the most first. A target that is reserved for an urgent step has
// none: they are already kept from other work.
func (m *Machine) racksByFreeAccelerators(service string, needs graph.Resources, now time.Time) []freeRack {
	var racks []freeRack
	for _, rack := range m.targetsByRack() {
		var free freeRack
		for _, t := range rack {
			if t.Service != service || !t.acceptsWork(now) || len(m.reserved[t]) > 0 {
				continue
			}
			if n := acceleratorsFor(needs, t.freeCapacity()); n > 0 {
				free.targets = append(free.targets, freeAccelerators{t, n})
				free.accelerators += n
			}
		}
		if free.accelerators > 0 {
			slices.SortStableFunc(free.targets, func(a, b freeAccelerators) int { return cmp.Compare(b.accelerators, a.accelerators) })
			racks = append(racks, free)
		}
	}
	slices.SortStableFunc(racks, func(a, b freeRack) int { return cmp.Compare(b.accelerators, a.accelerators) })
	return racks
}

// acceleratorsFor returns how many free accelerators work can use that needs cores and
// memory in proportion to an amount.
func acceleratorsFor(needs, free graph.Resources) int {
	n := free.Accelerators
	if needs.CPU > 0 {
		n = min(n, free.CPU*needs.Accelerators/needs.CPU)
	}
	if needs.MemoryMB > 0 {
		n = min(n, free.MemoryMB*needs.Accelerators/needs.MemoryMB)
	}
	return n
}
