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

// Machine makes the scheduling decisions of one term.
type Machine struct {
	bounds             Bounds
	term               int64
	log                Log
	wallOffset         time.Duration // time of day minus the boot-time clock that callers pass
	targets            map[string]*target
	sortedTargets      []*target   // by id, so that decisions do not depend on map order
	racks              [][]*target // sortedTargets grouped by rack; nil: to be rebuilt
	jobs               map[graph.JobID]*job
	recurring          []*job  // jobs that recur, in the order of their arrival
	pendingSteps       []*step // steps with tasks to start, by rank as of the last pass, new ones last
	partitions         []partition
	savedAt            time.Time // when a save last succeeded, of any partition
	commands           []Command // issued since the last Decide
	placementEnabled   bool      // set by EnablePlacement
	placementEnabledAt time.Time
	awaited            *target   // a target whose first report was outstanding when last checked; nil: none
	listAsOf           time.Time // when the current list of targets was read
	staleTargets       int       // listed targets whose entries are stale, as last counted
	entryAges          entryAges // of the current list
	pollCandidates     []*target // targets that may be due for a poll
	newSteps           []*step   // steps enqueued since the last pass
	nextPassAt         time.Time // earliest start of the next pass
	pass               pass
	backlog            backlog
	orderTime          time.Duration              // usual duration of an order
	waitingRuns        []*run                     // runs in the order of placement that awaited capacity; some may not any more
	recheckWaiting     bool                       // capacity was freed, or another run awaits it
	targetsConsidered  int                        // targets considered in this pass, summed over all steps
	reserved           map[*target]map[*step]bool // targets reserved for urgent steps in this pass
	advicePending      bool                       // a call for advice is outstanding
	nextForgetAt       time.Time                  // earliest time to forget jobs
	nextAdviceAt       time.Time                  // earliest time of the next call for advice
	smallestTask       graph.Resources            // needs of the smallest task with one accelerator
	guaranteed         map[string]int             // accelerators guaranteed to jobs of priority 0, by account
	guaranteesExceeded bool                       // the guarantees exceed the usable accelerators
	evacuated          evacuation.Status          // zones evacuated by operators
	placementDue       bool                       // something may have become placeable since the last pass
	superseded         bool                       // a newer term has begun
	leaseLimit         time.Time                  // no lease is granted beyond it; zero: no limit
	tasksWithLosses    map[*task]bool             // under which targets were lost, of jobs that have not ended
	verdictsDue        bool                       // a task with losses may have become guilty
	recentLosses       []recentLoss               // targets lost a short time ago
	lapsed             []lapsedTarget             // targets on which leases have lapsed a short time ago
	speeds             speeds                     // long-term speeds of targets
	lostWork           LostWork                   // work lost in this term, by cause
	headroom           headroomState              // what is kept free for urgent work
}

// Log receives one line for each decision, with alternating keys and values. Its
// methods must not block.
type Log interface {
	Decided(message string, kv ...any)
	// Recorded is like Decided, but the line goes to the history of its job only.
	Recorded(message string, kv ...any)
}

type discardLog struct{}

func (discardLog) Decided(string, ...any)  {}
func (discardLog) Recorded(string, ...any) {}

// Option sets one property of a new machine.
type Option func(*Machine)

// WithLog sets the log of decisions. Without it, decisions are not logged.
func WithLog(l Log) Option { return func(m *Machine) { m.log = l } }

// New returns a machine for a term, which must be positive and higher than that of
// every earlier leader.
func New(term int64, b Bounds, opts ...Option) *Machine {
	m := &Machine{
		bounds: b, term: term, log: discardLog{}, targets: map[string]*target{}, jobs: map[graph.JobID]*job{},
		partitions: make([]partition, b.Partitions),
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// PartitionOf returns the partition that holds the rows of a job.
func PartitionOf(id graph.JobID, partitions int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return int(h.Sum32() % uint32(partitions))
}

// Term returns the machine's term.
func (m *Machine) Term() int64 { return m.term }

// Superseded reports whether a newer term has begun, as a target or the store has shown.
// Decide returns no commands from then on, and the caller ends the term.
func (m *Machine) Superseded() bool { return m.superseded }

// MarkSuperseded ends the machine's term. The caller uses it when the store shows a newer
// term.
func (m *Machine) MarkSuperseded() { m.superseded = true }

// SetGuarantees sets how many accelerators each client account is guaranteed for its
// jobs of priority 0, and logs when the guarantees cease to fit in the usable capacity or
// fit again. It keeps the map. It is called for each new version of the configuration.
func (m *Machine) SetGuarantees(byAccount map[string]int) {
	m.guaranteed = byAccount
	m.checkGuarantees()
}

// SetLeaseLimit sets a time beyond which no lease is granted: the next leader may start work
// elsewhere from then on. The caller moves it on with each renewal of the term.
func (m *Machine) SetLeaseLimit(at time.Time) { m.leaseLimit = at }

// SetWallOffset sets the time of day minus the boot-time clock that callers pass as
// now. It is called before jobs are restored and before each Tick.
func (m *Machine) SetWallOffset(offset time.Duration) { m.wallOffset = offset }

// wallMS returns the time of day in milliseconds since 1970.
func (m *Machine) wallMS(now time.Time) int64 { return now.Add(m.wallOffset).UnixMilli() }

// EnablePlacement allows placement. It is called once, after all accepted jobs were
// restored and the first list of targets was read. Runs that an earlier leader recorded
// on targets that do not report are taken to have ended at predecessorLeasesEnd, when
// all leases that it can have granted have lapsed. No start of it is executed after that.
func (m *Machine) EnablePlacement(predecessorLeasesEnd, now time.Time) {
	m.placementEnabled, m.placementEnabledAt, m.placementDue = true, now, true
	runs := 0
	for _, t := range m.sortedTargets {
		if t.reach == notPolled {
			t.leaseEnd, t.earlierLeasesEnd = predecessorLeasesEnd, predecessorLeasesEnd
		}
		for _, r := range t.runs {
			r.startsExpireAt = predecessorLeasesEnd
		}
		runs += len(t.runs)
	}
	m.log.Decided("placement enabled", "term", m.term, "targets", len(m.sortedTargets), "recordedRuns", runs, "earlierLeasesMS", max(predecessorLeasesEnd.Sub(now), 0).Milliseconds())
	m.orderFirstPolls()
}

// Tick does what is due by time alone: it opens occurrences, repeats orders, polls
// targets and forgets ended jobs. It is called at short, regular intervals.
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
	m.countStale()
	for _, t := range m.sortedTargets {
		m.considerPoll(t)
	}
	m.forgetEnded(now)
	m.fitSpeeds(now)
	m.saveSpeeds(now)
	m.checkWithholding(now)
	m.verdictsDue = len(m.tasksWithLosses) > 0 // an open loss may count by now
	m.placementDue, m.recheckWaiting = true, true
}

// UpdateTargets replaces the list of targets by the platform's complete list as of a
// time. It is called after each read of that list.
func (m *Machine) UpdateTargets(list []roster.Target, asOf, now time.Time) {
	before := m.listAsOf
	m.listAsOf = asOf
	present := map[string]bool{}
	for i := range list {
		present[list[i].ID] = true
		m.updateTarget(list[i], asOf, before, now)
	}
	for _, t := range m.sortedTargets {
		if t.listed && !present[t.ID] {
			t.listed = false
			m.log.Decided("target left the list", "target", t.ID, "runs", len(t.runs))
		}
	}
	m.countEntryAges()
	for _, t := range m.sortedTargets {
		m.withdrawStarts(t, now)
	}
	m.placementDue = true
	m.countStale()
	m.checkGuarantees()
}

// listIsCurrent reports whether the list of targets is recent enough for placement. With
// an older list, a leader that is overloaded or reads the list slowly would start work on
// a target that announced long ago that it drains.
func (m *Machine) listIsCurrent(now time.Time) bool {
	return m.bounds.MaxListAge == 0 || now.Sub(m.listAsOf) <= m.bounds.MaxListAge
}

// updateTarget applies the entry of a target in the list, which was read as of a time, and the list
// before it as of another.
func (m *Machine) updateTarget(l roster.Target, asOf, before, now time.Time) {
	t := m.targets[l.ID]
	if t != nil && t.isOutdated(l.StartedAt) {
		t.listed = true // its new incarnation has not written its entry yet
		return
	}
	if t == nil {
		t = m.addTarget(l)
		if m.placementEnabled { // those that a new leader finds may be old
			t.addedAt = now
		}
	}
	if l.StartedAt > t.incarnation {
		t.assumeUnansweredStarts(now)
	}
	m.observeStart(t, l.StartedAt, now)
	if l.StartedAt != t.Target.StartedAt { // what is compared below was that of an earlier incarnation
		t.Draining, t.RemainingMS, t.ColdRemainingMS = false, 0, 0
	}
	if l.Draining && !t.Draining {
		t.drainingAt = now
		m.log.Decided("target started draining", "target", t.ID, "remainsMS", l.RemainingMS, "runs", len(t.runs))
	}
	if l.RemainingMS != t.RemainingMS {
		t.remainingReportedAt = now
	}
	if l.ColdRemainingMS != t.ColdRemainingMS {
		t.startWarmUp(l.ColdRemainingMS, now)
	}
	if t.Rack != l.Rack {
		m.racks = nil
	}
	if l.Capacity != t.Capacity && l.StartedAt == t.Target.StartedAt {
		m.log.Decided("target capacity changed", "target", t.ID, "before", formatResources(t.Capacity), "now", formatResources(l.Capacity), "inUse", formatResources(t.used), "runs", len(t.runs), "ordersPending", t.ordersPending(), "entryAgeMS", t.entryAge(now).Milliseconds())
	}
	m.entryRead(t, l, asOf, before)
	t.Target, t.listed, t.evacuated = l, true, m.evacuated.Has(l.Zone)
	m.considerPoll(t)
}

// addTarget adds a target that has no runs yet.
func (m *Machine) addTarget(l roster.Target) *target {
	t := &target{Target: l, runs: map[order.Run]*run{}}
	m.targets[l.ID] = t
	at, _ := slices.BinarySearchFunc(m.sortedTargets, t, func(a, b *target) int { return strings.Compare(a.ID, b.ID) })
	m.sortedTargets = slices.Insert(m.sortedTargets, at, t)
	m.racks = nil
	return t
}
