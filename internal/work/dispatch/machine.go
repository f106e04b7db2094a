package dispatch

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/evacuation"
	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// Machine decides for one term.
type Machine struct {
	bounds             Bounds
	term               int64
	log                Log
	wallOffset         time.Duration // time of day minus the boot time that is passed in
	targets            map[string]*target
	sortedTargets      []*target   // by id, so that decisions do not depend on map order
	racks              [][]*target // the same by rack; nil: to be put together anew
	jobs               map[graph.JobID]*job
	recurring          []*job  // in the order in which they came
	openSteps          []*step // steps that have tasks to start, in the order in which they came
	parts              []part
	commands           []Command
	placementEnabled   bool // placing is allowed
	placementEnabledAt time.Time
	listAsOf           time.Time // when the list of targets was read that is known
	pollCandidates     []*target // for which a poll is to be considered
	newSteps           []*step   // that came up since the last pass
	nextPassAt         time.Time // the next pass is not before
	pass               pass
	backlog            backlog
	orderTime          time.Duration              // that an order usually takes
	waitingRuns        []*run                     // that wait for room, in the order in which they were placed; some may have ceased to
	recheckWaiting     bool                       // room came free, or more waits for it
	targetsConsidered  int                        // targets considered in this pass, over all steps
	reserved           map[*target]map[*step]bool // targets kept for urgent steps, in this pass
	advicePending      bool                       // a call for advice is outstanding
	nextForgetAt       time.Time                  // no jobs are forgotten before
	nextAdviceAt       time.Time                  // no call for advice before
	smallestTask       graph.Resources            // needs of the smallest task with one accelerator
	guaranteed         map[string]int             // accelerators for jobs of priority 0, by account
	guaranteesExceeded bool                       // the guarantees do not fit in the room that may be used
	evacuated          evacuation.Status          // the zones that operators evacuate
	placementDue       bool                       // something may be startable that was not
	deposed            bool
}

// Log takes in what was decided, one line for each decision. Its methods must
// not block. kv are keys and values in turn.
type Log interface {
	Decided(what string, kv ...any)
}

type discardLog struct{}

func (discardLog) Decided(string, ...any) {}

// Option sets one property of a new machine.
type Option func(*Machine)

// WithLog sets where decisions are logged; without it they are not.
func WithLog(l Log) Option { return func(m *Machine) { m.log = l } }

// New returns a machine for a term, which must be above 0 and higher than any
// earlier leader's.
func New(term int64, b Bounds, opts ...Option) *Machine {
	m := &Machine{
		bounds: b, term: term, log: discardLog{}, targets: map[string]*target{}, jobs: map[graph.JobID]*job{},
		parts: make([]part, b.Parts),
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// PartOf returns the part in which the rows of a job are.
func PartOf(id graph.JobID, parts int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return int(h.Sum32() % uint32(parts))
}

// Term returns the machine's term.
func (m *Machine) Term() int64 { return m.term }

// Deposed reports whether a target or the store has shown that a newer term
// has begun. The machine gives no commands from then on.
func (m *Machine) Deposed() bool { return m.deposed }

// Depose ends the machine's term.
func (m *Machine) Depose() { m.deposed = true }

// SetGuarantees tells how many accelerators each client account is guaranteed for
// its jobs of priority 0.
func (m *Machine) SetGuarantees(byAccount map[string]int) {
	m.guaranteed = byAccount
	m.checkGuarantees()
}

// SetWallOffset tells the time of day minus the boot time that the other methods
// are given.
func (m *Machine) SetWallOffset(offset time.Duration) { m.wallOffset = offset }

// wallMS returns the time of day in milliseconds since 1970.
func (m *Machine) wallMS(now time.Time) int64 { return now.Add(m.wallOffset).UnixMilli() }

// EnablePlacement allows placing: all accepted jobs and all registered targets were told.
// What an earlier leader recorded on targets that do not report is believed over at
// predecessorLeasesEnd: by then all leases have lapsed that it can have granted.
func (m *Machine) EnablePlacement(predecessorLeasesEnd, now time.Time) {
	m.placementEnabled, m.placementEnabledAt, m.placementDue = true, now, true
	for _, t := range m.sortedTargets {
		if t.reach == notPolled {
			t.leaseEnd = predecessorLeasesEnd
		}
	}
}

// Tick does what is due.
func (m *Machine) Tick(now time.Time) {
	m.openRecurring(now)
	for _, t := range slices.Clone(m.sortedTargets) {
		t.updateWarmUp(now)
		m.tickTarget(t, now)
		if t.removable() {
			delete(m.targets, t.ID)
			m.sortedTargets = removeFrom(m.sortedTargets, t)
			m.racks = nil
		}
	}
	m.checkZonesReachable(now)
	for _, t := range m.sortedTargets {
		m.considerPoll(t)
	}
	m.forgetEnded(now)
	m.placementDue, m.recheckWaiting = true, true
}

// UpdateTargets takes in the targets that the platform's list had at a time, all of them.
func (m *Machine) UpdateTargets(list []roster.Target, asOf, now time.Time) {
	m.listAsOf = asOf
	present := map[string]bool{}
	for i := range list {
		present[list[i].ID] = true
		m.updateTarget(list[i], now)
	}
	for _, t := range m.sortedTargets {
		if t.listed && !present[t.ID] {
			t.listed = false
			m.log.Decided("target left the list", "target", t.ID, "runs", len(t.runs))
		}
	}
	m.placementDue = true
	m.checkGuarantees()
}

// listIsCurrent reports whether the list is young enough to place by. A leader that is
// overloaded, or that reads the list slowly, would otherwise start work on a target
// that said long ago that it leaves.
func (m *Machine) listIsCurrent(now time.Time) bool {
	return m.bounds.MaxListAge == 0 || now.Sub(m.listAsOf) <= m.bounds.MaxListAge
}

func (m *Machine) updateTarget(l roster.Target, now time.Time) {
	t := m.targets[l.ID]
	if t == nil {
		t = m.addTarget(l)
	}
	if l.Draining && !t.Draining {
		t.drainingAt = now
		m.log.Decided("target drains", "target", t.ID, "remainsMS", l.RemainingMS, "runs", len(t.runs))
	}
	if l.RemainingMS != t.RemainingMS {
		t.remainsToldAt = now
	}
	if l.ColdRemainingMS != t.ColdRemainingMS {
		t.startWarmUp(l.ColdRemainingMS, now)
	}
	if t.Rack != l.Rack {
		m.racks = nil
	}
	t.Target, t.listed, t.evacuated = l, true, m.evacuated.Has(l.Zone)
	m.considerPoll(t)
}

func (m *Machine) addTarget(l roster.Target) *target {
	t := &target{Target: l, runs: map[order.Run]*run{}}
	m.targets[l.ID] = t
	at, _ := slices.BinarySearchFunc(m.sortedTargets, t, func(a, b *target) int { return strings.Compare(a.ID, b.ID) })
	m.sortedTargets = slices.Insert(m.sortedTargets, at, t)
	m.racks = nil
	return t
}
