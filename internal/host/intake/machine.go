package intake

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"guavaglade.example/guavaglade/internal/work/job"
)

// Times and bounds of an entry.
const (
	// GiveAgainAfter is how long a placer may be silent before it is given the
	// job again. The placer, or its incarnation, may have changed unseen.
	GiveAgainAfter = time.Second
	// RefusedAgainAfter is how long after a refusal a placer is given the job
	// again. The entry may have seen before the placer itself that it places.
	RefusedAgainAfter = 200 * time.Millisecond
	// ConfirmEvery is how often a job that was taken is given again, so that a
	// placer that lost its memory without a change of address gets it back.
	ConfirmEvery = 10 * time.Second
	// KeepFor is how long an outcome is kept for callers that ask again.
	KeepFor = 15 * time.Minute
	// MaxEnded and MaxAnswers bound what is kept of ended jobs: their number
	// and the bytes of their answers. The oldest are forgotten first.
	MaxEnded   = 10000
	MaxAnswers = 64 << 20
	// MaxLines bounds the story of one job; the oldest lines go first, the
	// first line stays.
	MaxLines = 64
)

// unknownPlacer stands for the placers of the entry before.
const unknownPlacer = "unknown"

// Line is one line of a job's story.
type Line struct {
	At    time.Time `json:"at"`
	State job.State `json:"state,omitempty"`
	Step  string    `json:"step"`
	Peer  string    `json:"peer,omitempty"` // the host that says so
	Text  string    `json:"text"`
}

// Machine is the state of one entry host.
type Machine struct {
	zone    string
	placers map[string]string // by zone: address with incarnation
	records map[job.ID]*Record
	ended   []job.ID // jobs with an outcome that have a record, oldest first
	answers int      // bytes of their answers
}

// Record is what the entry knows of a job.
type Record struct {
	job       job.Job
	state     job.State
	zone      string          // whose placer the job is given to
	placer    string          // whom it was given to last; empty for nobody
	givenTo   map[string]bool // placers that may have started it or may still
	taken     bool            // the placer said that it has it
	giveAt    time.Time       // when it is given again
	cancelled bool
	outcome   job.Outcome // valid if state is final
	forgetAt  time.Time   // valid if state is final
	lines     []Line
}

// Job returns the job.
func (r *Record) Job() job.Job { return r.job }

// State returns where the job stands as far as the entry knows.
func (r *Record) State() job.State { return r.state }

// Outcome returns the outcome; ok is false while the job is not final.
func (r *Record) Outcome() (o job.Outcome, ok bool) { return r.outcome, r.state.Final() }

// Lines returns the job's story, oldest first.
func (r *Record) Lines() []Line { return append([]Line(nil), r.lines...) }

// New returns the machine of an entry host in a zone.
func New(zone string) *Machine {
	return &Machine{zone: zone, placers: map[string]string{}, records: map[job.ID]*Record{}}
}

// Record returns what is known of a job; ok is false if nothing is.
func (m *Machine) Record(id job.ID) (r *Record, ok bool) {
	r, ok = m.records[id]
	return r, ok
}

// Records returns all that is known, sorted by job id.
func (m *Machine) Records() []*Record {
	rs := make([]*Record, 0, len(m.records))
	for _, r := range m.records {
		rs = append(rs, r)
	}
	sort.Slice(rs, func(i, j int) bool { return rs[i].job.ID() < rs[j].job.ID() })
	return rs
}

// Open returns how many jobs have no outcome yet.
func (m *Machine) Open() int {
	n := 0
	for _, r := range m.records {
		if !r.state.Final() {
			n++
		}
	}
	return n
}

// Step takes an event at a time and returns what is to be done about it.
func (m *Machine) Step(ev Event, now time.Time) []Command {
	switch e := ev.(type) {
	case Accepted:
		return m.accepted(e, now)
	case PlacersSeen:
		return m.placersSeen(e, now)
	case Taken:
		m.tookIt(e, now)
	case NotTaken:
		m.notTaken(e, now)
	case PlacerBegun:
		return m.placerBegun(e, now)
	case OutcomeArrived:
		return m.outcomeArrived(e, now)
	case Told:
		m.told(e)
	case CancelAsked:
		return m.cancelAsked(e, now)
	case Ticked:
		return m.ticked(now)
	}
	return nil
}

func (m *Machine) accepted(e Accepted, now time.Time) []Command {
	if _, ok := m.records[e.Job.ID()]; ok {
		return nil
	}
	r := &Record{job: e.Job, state: job.Queued, zone: cmp.Or(e.Zone, m.zone), givenTo: map[string]bool{}}
	// The entry before may have given the job to a placer that started it. So
	// no placer's word that it was not run is enough for an adopted job.
	if e.Adopted {
		r.givenTo[unknownPlacer] = true
	}
	r.add(Line{At: now, State: job.Queued, Step: "admitted", Text: fmt.Sprintf("shape %s of account %s", e.Job.Shape(), e.Job.Account())})
	m.records[e.Job.ID()] = r
	return m.give(r, now)
}

func (m *Machine) give(r *Record, now time.Time) []Command {
	known := r.taken && r.placer == m.placers[r.zone]
	r.placer, r.taken = m.placers[r.zone], false
	r.giveAt = now.Add(GiveAgainAfter)
	if r.placer == "" {
		return nil
	}
	r.givenTo[r.placer] = true
	cs := []Command{Give{Placer: r.placer, Job: r.job, Known: known}}
	if r.cancelled {
		cs = append(cs, CancelAt{Placer: r.placer, Job: r.job.ID()})
	}
	return cs
}

func (m *Machine) placersSeen(e PlacersSeen, now time.Time) []Command {
	m.placers = e.Placers
	var cs []Command
	for _, r := range m.Records() {
		if !r.state.Final() && r.placer != m.placers[r.zone] {
			cs = append(cs, m.give(r, now)...)
		}
	}
	return cs
}

func (m *Machine) tookIt(e Taken, now time.Time) {
	r, ok := m.records[e.Job]
	if !ok || r.placer != e.Placer {
		return
	}
	r.taken = true
	r.giveAt = now.Add(ConfirmEvery)
}

func (m *Machine) notTaken(e NotTaken, now time.Time) {
	r, ok := m.records[e.Job]
	if !ok || r.placer != e.Placer || r.taken {
		return
	}
	r.giveAt = now.Add(RefusedAgainAfter)
}

// placerBegun gives the jobs again to a placer that took them before and has
// forgotten them. A placer that ends and begins on the same host keeps its
// identity; without this a job that it had taken waits until ConfirmEvery.
func (m *Machine) placerBegun(e PlacerBegun, now time.Time) []Command {
	var cs []Command
	for _, r := range m.Records() {
		if !r.state.Final() && r.placer == e.Placer {
			cs = append(cs, m.give(r, now)...)
		}
	}
	return cs
}

func (m *Machine) outcomeArrived(e OutcomeArrived, now time.Time) []Command {
	r, ok := m.records[e.Outcome.Job]
	if !ok || r.state.Final() || !e.Outcome.State.Final() {
		return nil
	}
	// An answer that was cut or crossed on its way is not passed on: the
	// placer keeps the outcome until it is taken and gives it again.
	if !e.Outcome.Answer.Whole() {
		r.add(Line{At: now, Step: "answer", Peer: e.Placer, Text: "the answer is not whole; asked again"})
		return nil
	}
	if e.Outcome.State == job.NotRun {
		return m.notRun(r, e, now)
	}
	return m.finish(r, e.Outcome, now)
}

// notRun takes a placer's word that it did not start the job and will not. It
// says nothing for other placers: one that had the job before may have started
// it, and the current one may be about to. Without this guard a caller would be
// told not run of a job that runs, after a change of placers or a late copy of
// a refusal.
func (m *Machine) notRun(r *Record, e OutcomeArrived, now time.Time) []Command {
	delete(r.givenTo, e.Placer)
	if e.Placer != r.placer {
		return nil
	}
	if next, ok := m.elsewhere(r, e); ok {
		r.zone, r.job = next, r.job.PassedOn()
		r.add(Line{At: now, Step: "passedOn", Text: "to zone " + next + ": " + e.Outcome.Reason})
		return m.give(r, now)
	}
	o := e.Outcome
	if len(r.givenTo) > 0 {
		o.State, o.Reason = job.Lost, "another placer had it before and may have started it: "+o.Reason
	}
	return m.finish(r, o, now)
}

// elsewhere returns the zone that a job goes to which the home zone can never
// run: one hop, and only if nothing was started.
func (m *Machine) elsewhere(r *Record, e OutcomeArrived) (zone string, ok bool) {
	o := e.Outcome
	never := o.State == job.NotRun && o.Attempt == 0 && o.RetryAfter.IsZero()
	late := !r.job.Deadline().IsZero() && !o.At.Before(r.job.Deadline())
	if !never || late || r.cancelled || r.job.Hops() > 0 {
		return "", false
	}
	zones := e.Zones
	if zones == nil {
		zones = slices.Sorted(maps.Keys(m.placers))
	}
	for _, z := range zones {
		if _, placed := m.placers[z]; placed && z != m.zone {
			return z, true
		}
	}
	return "", false
}

func (m *Machine) finish(r *Record, o job.Outcome, now time.Time) []Command {
	r.state, r.outcome, r.forgetAt = o.State, o, now.Add(KeepFor)
	r.add(Line{At: now, State: o.State, Step: "answered", Text: o.Reason})
	m.ended = append(m.ended, r.job.ID())
	m.answers += len(o.Answer.Body())
	m.forget(now)
	return []Command{Finish{Job: r.job, Outcome: o}}
}

func (m *Machine) told(e Told) {
	r, ok := m.records[e.Job]
	if !ok {
		return
	}
	if !r.state.Final() && e.Line.State != "" && !e.Line.State.Final() {
		r.state = e.Line.State
	}
	r.add(e.Line)
}

func (m *Machine) cancelAsked(e CancelAsked, now time.Time) []Command {
	r, ok := m.records[e.Job]
	if !ok || r.state.Final() || r.cancelled {
		return nil
	}
	r.cancelled = true
	r.add(Line{At: now, Step: "cancel", Text: "asked for by the caller"})
	if r.placer == "" {
		return nil
	}
	return []Command{CancelAt{Placer: r.placer, Job: e.Job}}
}

func (m *Machine) ticked(now time.Time) []Command {
	var cs []Command
	for _, r := range m.Records() {
		if !r.state.Final() && !now.Before(r.giveAt) {
			cs = append(cs, m.give(r, now)...)
		}
	}
	m.forget(now)
	return cs
}

// forget drops ended jobs whose time is over, and the oldest ones beyond the
// bounds. Without the bounds a burst of small jobs, or a few large answers, would
// take the host's memory for as long as outcomes are kept.
func (m *Machine) forget(now time.Time) {
	for len(m.ended) > 0 {
		r := m.records[m.ended[0]]
		over := len(m.ended) > MaxEnded || m.answers > MaxAnswers && len(m.ended) > 1
		if !over && now.Before(r.forgetAt) {
			return
		}
		m.answers -= len(r.outcome.Answer.Body())
		delete(m.records, m.ended[0])
		m.ended = m.ended[1:]
	}
}

func (r *Record) add(l Line) {
	if len(r.lines) == MaxLines {
		r.lines = append(r.lines[:1], r.lines[2:]...)
	}
	r.lines = append(r.lines, l)
}
