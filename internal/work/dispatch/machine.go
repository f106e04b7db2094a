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
	bounds     Bounds
	term       int64
	log        Log
	wall       time.Duration // time of day minus the steady time that is passed in
	targets    map[string]*target
	byID       []*target   // by id, so that decisions do not depend on map order
	racks      [][]*target // the same by rack; nil: to be put together anew
	jobs       map[graph.JobID]*job
	recurring  []*job  // in the order in which they came
	open       []*step // steps that have tasks to start, in the order in which they came
	parts      []part
	out        []Command
	begun      bool // placing is allowed
	begunAt    time.Time
	listAsOf   time.Time // when the list of targets was read that is known
	touched    []*target // for which a hold is to be considered
	fresh      []*step   // that came up since the last pass
	passAt     time.Time // the next pass is not before
	pass       pass
	backlog    backlog
	orderTime  time.Duration              // that an order usually takes
	waiting    []*run                     // that wait for room, in the order in which they were placed; some may have ceased to
	recheck    bool                       // room came free, or more waits for it
	considered int                        // targets considered in this pass, over all steps
	heldBack   map[*target]map[*step]bool // targets kept for urgent steps, in this pass
	advising   bool                       // a call for advice is outstanding
	forgetAt   time.Time                  // no jobs are forgotten before
	adviseAt   time.Time                  // no call for advice before
	smallest   graph.Resources            // needs of the smallest task with one accelerator
	guaranteed map[string]int             // accelerators for jobs of priority 0, by account
	short      bool                       // the guarantees do not fit in the room that may be used
	evacuated  evacuation.Status          // the zones that operators evacuate
	changed    bool                       // something may be startable that was not
	deposed    bool
}

// Log takes in what was decided, one line for each decision. Its methods must
// not block. kv are keys and values in turn.
type Log interface {
	Decided(what string, kv ...any)
}

type silence struct{}

func (silence) Decided(string, ...any) {}

// Option sets one property of a new machine.
type Option func(*Machine)

// WithLog sets where decisions are logged; without it they are not.
func WithLog(l Log) Option { return func(m *Machine) { m.log = l } }

// New returns a machine for a term, which must be above 0 and higher than any
// earlier leader's.
func New(term int64, b Bounds, opts ...Option) *Machine {
	m := &Machine{
		bounds: b, term: term, log: silence{}, targets: map[string]*target{}, jobs: map[graph.JobID]*job{},
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
	m.judgeGuarantees()
}

// SetWall tells the time of day minus the steady time that the other methods
// are given.
func (m *Machine) SetWall(offset time.Duration) { m.wall = offset }

// wallMS returns the time of day in milliseconds since 1970.
func (m *Machine) wallMS(now time.Time) int64 { return now.Add(m.wall).UnixMilli() }

// Begin allows placing: all accepted jobs and all registered targets were told.
// What an earlier leader noted on targets that do not report is believed over at
// heirEnd: by then all leases have lapsed that it can have granted.
func (m *Machine) Begin(heirEnd, now time.Time) {
	m.begun, m.begunAt, m.changed = true, now, true
	for _, t := range m.byID {
		if t.reach == unheld {
			t.leaseEnd = heirEnd
		}
	}
}

// Tick does what is due.
func (m *Machine) Tick(now time.Time) {
	m.openDue(now)
	for _, t := range slices.Clone(m.byID) {
		t.warmUp(now)
		m.tickTarget(t, now)
		if t.forgotten() {
			delete(m.targets, t.ID)
			m.byID = without(m.byID, t)
			m.racks = nil
		}
	}
	m.judgeZones(now)
	for _, t := range m.byID {
		m.touchTarget(t)
	}
	m.forgetEnded(now)
	m.changed, m.recheck = true, true
}

// Listed takes in the targets that the platform's list had at a time, all of them.
func (m *Machine) Listed(list []roster.Target, asOf, now time.Time) {
	m.listAsOf = asOf
	present := map[string]bool{}
	for i := range list {
		present[list[i].ID] = true
		m.listOne(list[i], now)
	}
	for _, t := range m.byID {
		if t.listed && !present[t.ID] {
			t.listed = false
			m.log.Decided("target left the list", "target", t.ID, "runs", len(t.runs))
		}
	}
	m.changed = true
	m.judgeGuarantees()
}

// listFresh reports whether the list is young enough to place by. A leader that is
// overloaded, or that reads the list slowly, would otherwise start work on a target
// that said long ago that it leaves.
func (m *Machine) listFresh(now time.Time) bool {
	return m.bounds.ListAge == 0 || now.Sub(m.listAsOf) <= m.bounds.ListAge
}

func (m *Machine) listOne(l roster.Target, now time.Time) {
	t := m.targets[l.ID]
	if t == nil {
		t = m.addTarget(l)
	}
	if l.Draining && !t.Draining {
		t.drainingAt = now
		m.log.Decided("target drains", "target", t.ID, "remainsMS", l.RemainingMS, "runs", len(t.runs))
	}
	if l.RemainingMS != t.RemainingMS {
		t.remainsAt = now
	}
	if l.ColdRemainingMS != t.ColdRemainingMS {
		t.noteCold(l.ColdRemainingMS, now)
	}
	if t.Rack != l.Rack {
		m.racks = nil
	}
	t.Target, t.listed, t.evacuated = l, true, m.evacuated.Has(l.Zone)
	m.touchTarget(t)
}

func (m *Machine) addTarget(l roster.Target) *target {
	t := &target{Target: l, runs: map[order.Run]*run{}}
	m.targets[l.ID] = t
	at, _ := slices.BinarySearchFunc(m.byID, t, func(a, b *target) int { return strings.Compare(a.ID, b.ID) })
	m.byID = slices.Insert(m.byID, at, t)
	m.racks = nil
	return t
}
