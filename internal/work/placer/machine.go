package placer

import (
	"fmt"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/schedule"
)

// Times of the leases.
const (
	LeaseTime  = 10 * time.Second // from a renewal to the lapse
	RenewEvery = 3 * time.Second  // from a renewal to the next
)

// Machine is the state of one zone's placer.
type Machine struct {
	zone      string
	scheduler *schedule.Scheduler
	workers   map[string]*worker
	gangs     map[job.ID]*gang
	attempts  map[job.ID]int
	outcomes  map[job.ID]Answer // not yet taken by the entry
	answered  time.Time         // when the outcomes were last given
}

type worker struct {
	change  int64 // newest change seen
	renewed time.Time
}

type gang struct {
	job      job.Job
	lease    target.Lease
	place    cell.Assignment
	workers  []string // in the fixed order of holds
	held     int
	started  map[string]bool
	ended    map[string]target.Task
	claimed  bool
	stopping bool
	expires  time.Time
}

// New returns the machine of a zone.
func New(zone string, p placement.Policy) *Machine {
	return &Machine{
		zone:      zone,
		scheduler: schedule.New(placement.NewZone(p)),
		workers:   map[string]*worker{},
		gangs:     map[job.ID]*gang{},
		attempts:  map[job.ID]int{},
		outcomes:  map[job.ID]Answer{},
	}
}

// Step takes an event at a time and returns what is to be done about it.
func (m *Machine) Step(ev Event, now time.Time) []Command {
	var cs []Command
	switch e := ev.(type) {
	case Submitted:
		cs = m.submitted(e, now)
	case CancelAsked:
		cs = m.cancelAsked(e, now)
	case HoldAnswered:
		cs = m.holdAnswered(e, now)
	case ClaimAnswered:
		cs = m.claimAnswered(e, now)
	case StartAnswered:
		cs = m.startAnswered(e, now)
	case Reported:
		cs = m.reported(e, now)
	case TargetsListed:
		m.targetsListed(e)
	case Configured:
		if err := m.scheduler.Configure(e.Config, m.zone); err != nil {
			cs = append(cs, Tell{Step: "configured", Text: err.Error()})
		}
	case OutcomeTaken:
		delete(m.outcomes, e.Job)
	case Ticked:
		cs = m.ticked(now)
	}
	return append(cs, m.decide(now)...)
}

func (m *Machine) submitted(e Submitted, now time.Time) []Command {
	if a, ok := m.outcomes[e.Job.ID()]; ok {
		return []Command{a}
	}
	if _, ok := m.gangs[e.Job.ID()]; ok {
		return nil
	}
	if m.scheduler.Waiting(e.Job.ID()) {
		return nil
	}
	m.scheduler.Submit(e.Job, now)
	return []Command{Tell{Job: e.Job, State: job.Queued, Step: "queued", Text: "in the queue of zone " + m.zone}}
}

func (m *Machine) cancelAsked(e CancelAsked, now time.Time) []Command {
	if g, ok := m.gangs[e.Job]; ok {
		return m.finish(g, job.Outcome{State: job.Cancelled, Reason: "cancelled by its caller"}, now)
	}
	return nil
}

func (m *Machine) decide(now time.Time) []Command {
	var cs []Command
	for _, d := range m.scheduler.Decide(now) {
		switch d.Action {
		case schedule.Start:
			cs = append(cs, m.begin(d, now)...)
		case schedule.Refuse:
			cs = append(cs, m.answer(d.Job, job.Outcome{Job: d.Job.ID(), State: job.NotRun, Reason: d.Reason, RetryAfter: d.RetryAfter, At: now}))
		case schedule.Stop:
		}
	}
	return cs
}

func (m *Machine) begin(d schedule.Decision, now time.Time) []Command {
	id := d.Job.ID()
	m.attempts[id]++
	g := &gang{
		job: d.Job, place: d.Assignment, workers: d.Assignment.Workers(),
		lease:   target.Lease{Job: id, Attempt: m.attempts[id]},
		started: map[string]bool{}, ended: map[string]target.Task{},
		expires: now.Add(LeaseTime),
	}
	m.gangs[id] = g
	tell := Tell{Job: d.Job, State: job.Starting, Step: "placed", Text: fmt.Sprintf("on %s: %s", strings.Join(g.workers, " "), d.Reason)}
	return []Command{tell, m.hold(g)}
}

func (m *Machine) hold(g *gang) Command {
	w := g.workers[g.held]
	return HoldOn{Worker: w, Hold: target.Hold{
		Lease: g.lease, Job: g.job, Grants: g.place.On(w), Workers: len(g.workers), Expires: g.expires,
	}}
}

func (m *Machine) holdAnswered(e HoldAnswered, now time.Time) []Command {
	g, ok := m.gangs[e.Lease.Job]
	if !ok || g.lease != e.Lease || g.held >= len(g.workers) || g.workers[g.held] != e.Worker {
		return nil
	}
	if e.Err != nil {
		return m.abort(g, schedule.NotStarted, e.Worker, now)
	}
	g.held++
	if g.held < len(g.workers) {
		return []Command{m.hold(g)}
	}
	if g.job.NeedsClaim() {
		return []Command{ClaimRow{Lease: g.lease, Job: g.job}}
	}
	return m.startAll(g)
}

func (m *Machine) claimAnswered(e ClaimAnswered, now time.Time) []Command {
	g, ok := m.gangs[e.Lease.Job]
	if !ok || g.lease != e.Lease || g.claimed {
		return nil
	}
	if e.Err != nil || !e.Won {
		return m.abort(g, schedule.NotStarted, "", now)
	}
	g.claimed = true
	return m.startAll(g)
}

func (m *Machine) startAll(g *gang) []Command {
	cs := []Command{Tell{Job: g.job, State: job.Starting, Step: "held", Text: "all members are held"}}
	for _, w := range g.workers {
		cs = append(cs, StartOn{Worker: w, Lease: g.lease, Deadline: g.expires})
	}
	return cs
}

func (m *Machine) startAnswered(e StartAnswered, now time.Time) []Command {
	g, ok := m.gangs[e.Lease.Job]
	if !ok || g.lease != e.Lease {
		return nil
	}
	if e.Err != nil {
		if !g.job.Repeatable() {
			return m.finish(g, job.Outcome{State: job.Lost, Reason: e.Err.Error()}, now)
		}
		return m.abort(g, schedule.NotStarted, e.Worker, now)
	}
	g.started[e.Worker] = true
	if len(g.started) < len(g.workers) {
		return nil
	}
	cs := []Command{Tell{Job: g.job, State: job.Running, Step: "started", Text: "all starts are acknowledged"}}
	for _, w := range g.workers {
		cs = append(cs, m.renew(w, now))
	}
	return cs
}

func (m *Machine) renew(w string, now time.Time) Command {
	state := m.workers[w]
	state.renewed = now
	r := target.Renewal{Since: state.change, Expires: now.Add(LeaseTime), Wait: now.Add(RenewEvery)}
	for _, g := range m.gangs {
		if len(g.started) == len(g.workers) && len(g.place.On(w)) > 0 {
			r.Leases = append(r.Leases, g.lease)
		}
	}
	return RenewOn{Worker: w, Renewal: r}
}

func (m *Machine) reported(e Reported, now time.Time) []Command {
	state, ok := m.workers[e.Worker]
	if !ok || e.Err != nil {
		return nil
	}
	state.change = e.Report.Change
	var cs []Command
	for _, t := range e.Report.Tasks {
		cs = append(cs, m.taskReported(e.Worker, t, now)...)
	}
	return append(cs, m.renew(e.Worker, now))
}

func (m *Machine) taskReported(w string, t target.Task, now time.Time) []Command {
	g, ok := m.gangs[t.Lease.Job]
	if !ok || g.lease != t.Lease || !t.State.Ended() {
		return nil
	}
	g.ended[w] = t
	if t.State != target.Succeeded {
		return m.finish(g, job.Outcome{State: job.Failed, Reason: t.Reason}, now)
	}
	if len(g.ended) < len(g.workers) {
		return nil
	}
	return m.finish(g, job.Outcome{State: job.Succeeded, Answer: g.ended[g.workers[0]].Answer}, now)
}

func (m *Machine) finish(g *gang, o job.Outcome, now time.Time) []Command {
	o.Job, o.Attempt, o.At = g.job.ID(), g.lease.Attempt, now
	cs := m.stopAll(g)
	delete(m.gangs, g.job.ID())
	m.scheduler.Ended(g.job.ID(), schedule.Done, "", now)
	return append(cs, m.answer(g.job, o))
}

func (m *Machine) abort(g *gang, end schedule.End, worker string, now time.Time) []Command {
	cs := m.stopAll(g)
	delete(m.gangs, g.job.ID())
	m.scheduler.Ended(g.job.ID(), end, worker, now)
	return cs
}

func (m *Machine) stopAll(g *gang) []Command {
	var cs []Command
	for _, w := range g.workers {
		if _, ended := g.ended[w]; !ended {
			cs = append(cs, StopOn{Worker: w, Stop: target.Stop{Lease: g.lease}})
		}
	}
	return cs
}

func (m *Machine) answer(j job.Job, o job.Outcome) Command {
	a := Answer{Job: j, Outcome: o}
	m.outcomes[j.ID()] = a
	return a
}

func (m *Machine) targetsListed(e TargetsListed) {
	for _, t := range e.Targets {
		w, err := cell.NewWorker(t.ID, t.Zone, t.Rack, t.Accelerators, t.Cores, t.Memory, t.Slots)
		if err != nil {
			continue
		}
		if _, ok := m.workers[t.ID]; !ok {
			m.workers[t.ID] = &worker{}
		}
		m.scheduler.Zone().AddWorker(w)
		m.scheduler.Zone().Bar(t.ID, t.Leaving)
	}
}

func (m *Machine) ticked(now time.Time) []Command {
	var cs []Command
	for id, w := range m.workers {
		if !now.Before(w.renewed.Add(2 * RenewEvery)) {
			cs = append(cs, m.renew(id, now))
		}
	}
	if now.Before(m.answered.Add(time.Second)) {
		return cs
	}
	m.answered = now
	for _, a := range m.outcomes {
		cs = append(cs, a)
	}
	return cs
}
