package placer

import (
	"math"
	"sort"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/gang"
	"guavaglade.example/guavaglade/internal/work/job"
)

// worker is what the placer knows of one worker of its zone.
type worker struct {
	spec     table.Target // as listed last
	listed   bool         // the newest list has it
	change   int64        // newest change seen; 0 asks for the whole list
	heard    time.Time    // when it was heard last; zero for never
	refusing bool         // it says itself that it is leaving
	barred   bool         // as the scheduler was told
	gangs    map[job.ID]*gang.Gang
}

func (m *Machine) targetsListed(e TargetsListed, now time.Time) {
	listed := map[string]bool{}
	for _, t := range e.Targets {
		if t.Zone == m.zone {
			listed[t.ID] = true
			m.targetListed(t)
		}
	}
	if len(listed) == 0 {
		return
	}
	if !m.listed {
		m.listed, m.since = true, now
	}
	for id, w := range m.workers {
		w.listed = listed[id]
		if !w.listed && len(w.gangs) == 0 && !m.fresh(w, now) {
			m.scheduler.Zone().RemoveWorker(id)
			m.keeper.remove(id)
			delete(m.workers, id)
		}
	}
}

// targetListed takes a line of the platform's list. A line with sizes that are
// out of range is passed over: nothing can be placed there.
func (m *Machine) targetListed(t table.Target) {
	c, err := cell.NewWorker(t.ID, t.Zone, t.Rack, t.Accelerators, t.Cores, t.Memory, t.Slots)
	if err != nil {
		return
	}
	w, known := m.workers[t.ID]
	if !known {
		w = &worker{gangs: map[job.ID]*gang.Gang{}, barred: true}
		m.workers[t.ID] = w
		m.keeper.add(t.ID)
	}
	seen := t
	seen.AsOf = w.spec.AsOf
	if known && seen == w.spec {
		return
	}
	w.spec = t
	m.scheduler.Zone().AddWorker(c)
	m.scheduler.Bar(t.ID, w.barred)
	m.dirty = true
}

// leaves reports whether the worker gets no new work because it is leaving: by
// the list, by the operators' text or by its own word.
func (m *Machine) leaves(id string, w *worker) bool {
	return w.spec.Leaving || w.refusing || m.config.Leaving(id)
}

func (m *Machine) fresh(w *worker, now time.Time) bool {
	return !w.heard.IsZero() && now.Before(w.heard.Add(SilentAfter))
}

// bar tells the scheduler which workers get no new work. A worker that was not
// heard, or that has a gang whose standing is not known yet, may be full.
func (m *Machine) bar(now time.Time) {
	unsure := map[string]bool{}
	for _, g := range m.found {
		for _, id := range g.Workers() {
			unsure[id] = unsure[id] || g.Phase() != gang.Over
		}
	}
	for id, w := range m.workers {
		barred := m.leaves(id, w) || !m.fresh(w, now) || unsure[id]
		if barred != w.barred {
			w.barred = barred
			m.scheduler.Bar(id, barred)
		}
	}
}

// renew asks a worker for its news and renews the leases of the gangs that run
// on all of their workers, and of no others.
func (m *Machine) renew(id string, now time.Time) Command {
	w := m.workers[id]
	m.keeper.ask(id, now)
	r := target.Renewal{Since: w.change, Expires: now.Add(LeaseTime), Wait: now.Add(RenewEvery)}
	if !m.fresh(w, now) {
		// Nothing is placed on a worker that was not heard, so a new placer
		// must not wait for news that an idle worker does not have.
		r.Wait = time.Time{}
	}
	for _, g := range w.gangs {
		if g.Renewable(id, now) {
			r.Leases = append(r.Leases, g.Lease())
			g.Asked(id, r.Expires.Add(m.hop))
		}
		if g.AnswerWanted() == id || g.Phase() == gang.Checking {
			r.Since = 0
		}
	}
	sort.Slice(r.Leases, func(i, j int) bool { return r.Leases[i].Job < r.Leases[j].Job })
	return RenewOn{Worker: id, Renewal: r}
}

func (m *Machine) reported(e Reported, now time.Time) []Command {
	w, ok := m.workers[e.Worker]
	if !ok {
		return nil
	}
	if e.Err != nil || e.Report.Worker != "" && e.Report.Worker != e.Worker {
		m.keeper.failed(e.Worker, now)
		return nil
	}
	m.dirty = m.dirty || !m.fresh(w, now) || w.refusing != e.Report.Leaving
	w.heard, w.refusing = now, e.Report.Leaving
	restarted := e.Report.Change < w.change
	w.change = e.Report.Change
	if restarted {
		w.change = 0
	}
	m.renewed(e)
	cs := m.tasksReported(e, now)
	m.keeper.answered(e.Worker, len(e.Report.Tasks) > 0, now)
	if m.wantsAnswer(e.Worker) {
		m.keeper.failed(e.Worker, now)
	}
	return append(cs, m.renewDue(e.Worker, now)...)
}

func (m *Machine) renewDue(id string, now time.Time) []Command {
	if t := m.keeper.turns[id]; t.open || now.Before(t.next) || m.keeper.share != nil && !m.keeper.share(id) {
		return nil
	}
	return []Command{m.renew(id, now)}
}

func (m *Machine) wantsAnswer(id string) bool {
	for _, g := range m.workers[id].gangs {
		if g.AnswerWanted() == id {
			return true
		}
	}
	return false
}

// renewed stores the deadlines that the worker accepted.
func (m *Machine) renewed(e Reported) {
	lapsed := map[target.Lease]bool{}
	for _, l := range e.Report.Lapsed {
		lapsed[l] = true
	}
	for _, l := range e.Renewed {
		if r, ok := m.attemptOf(l); ok && !lapsed[l] {
			r.gang.Renewed(e.Worker, e.Expires)
		}
	}
}

func (m *Machine) tasksReported(e Reported, now time.Time) []Command {
	var cs []Command
	for _, t := range e.Report.Tasks {
		cs = append(cs, m.taskReported(e.Worker, t, now)...)
	}
	for _, l := range e.Report.Lapsed {
		if r, ok := m.attemptOf(l); ok {
			cs = append(cs, m.carry(r, r.gang.Lapsed(e.Worker, now), now)...)
		}
	}
	return cs
}

func (m *Machine) taskReported(id string, t target.Task, now time.Time) []Command {
	m.note(t, now)
	r, ok := m.attemptOf(t.Lease)
	if !ok {
		return m.foreignReported(id, t, now)
	}
	if !t.Checkpoint.IsZero() {
		m.scheduler.Zone().Checkpointed(string(t.Lease.Job), t.Checkpoint)
	}
	if r.gang.Phase() == gang.Running && (t.Cores > 0 || t.Memory > 0) {
		m.scheduler.Used(t.Lease.Job, id, int(math.Ceil(t.Cores)), t.Memory, now)
	}
	if t.State == target.Succeeded {
		m.scheduler.PartEnded(t.Lease.Job, id, now)
	}
	before := r.gang.Phase()
	cs := m.carry(r, r.gang.Reported(id, t, now), now)
	return append(m.startedTell(r, before), cs...)
}

// note remembers the newest round of a job, so that later attempts have higher
// numbers whoever made the earlier ones.
func (m *Machine) note(t target.Task, now time.Time) {
	id, round := t.Lease.Job, gang.Round(t.Lease.Attempt)
	if round >= m.heard[id].round {
		m.heard[id] = heardOf{round: round, at: now}
	}
	if r, ok := m.records[id]; ok && round > r.round {
		r.round = round
	}
}
