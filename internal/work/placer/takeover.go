package placer

import (
	"sort"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/work/gang"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/schedule"
)

// foundFor is how long a gang that was found ended is kept for an entry that
// asks for its job.
const foundFor = time.Minute

// unaskedAfter is when a gang that was found ended is settled although no entry
// asked for its job: its record in the platform must not stay open, since an
// entry of another zone may wait for it.
const unaskedAfter = 5 * time.Second

// takingOver reports whether it is too early to queue what is given: until every
// worker was heard, a job that seems new may run already on one of them, and
// would be refused for its passed deadline or begun a second time.
func (m *Machine) takingOver(now time.Time) bool {
	if m.taken {
		return false
	}
	heard := m.listed
	for _, w := range m.workers {
		heard = heard && !w.heard.IsZero()
	}
	m.taken = heard || m.listed && !now.Before(m.since.Add(TakeoverWait))
	return !m.taken
}

// foreignReported takes a worker's word on a lease that this placer did not
// make or has forgotten: another placer's that died, or that lives still.
//
// A job that has an attempt of its own here, or an outcome, leaves the other
// lease alone: nobody here renews it, so it lapses unless its placer lives.
func (m *Machine) foreignReported(id string, t target.Task, now time.Time) []Command {
	if r, ok := m.records[t.Lease.Job]; ok && (r.gang != nil || r.outcome != nil) {
		return nil
	}
	g, ok := m.found[t.Lease.Job]
	if ok && g.Lease().Attempt > t.Lease.Attempt {
		return nil
	}
	if !ok || g.Lease() != t.Lease {
		if t.State == target.Stopped && t.Since.IsZero() {
			return nil
		}
		g = m.find(t, now)
	}
	return m.foundStep(g, g.Reported(id, t, now), now)
}

// find begins to wait for the other workers of a gang. Its job, if it waits
// here, leaves the queue until it is known how the gang stands.
func (m *Machine) find(t target.Task, now time.Time) *gang.Gang {
	id := t.Lease.Job
	g := gang.Found(t, now)
	m.found[id], m.foundAt[id] = g, now
	if r, ok := m.records[id]; ok {
		m.scheduler.Cancel(id)
		r.retryAt = now
	}
	m.dirty = true
	return g
}

// foundStep adopts a found gang that runs on all its workers, and settles one
// that is over for the job that asks for it.
func (m *Machine) foundStep(g *gang.Gang, steps []gang.Step, now time.Time) []Command {
	var cs []Command
	for _, s := range steps {
		cs = append(cs, commandOf(g, s))
	}
	switch g.Phase() {
	case gang.Running:
		return append(cs, m.adopt(g, now)...)
	case gang.Over:
		return append(cs, m.foundOver(g, now)...)
	default:
		return cs
	}
}

func (m *Machine) lose(id job.ID) {
	delete(m.found, id)
	delete(m.foundAt, id)
	m.dirty = true
}

// adopt goes on with a gang that another placer started. If its room is not
// free here, which two placers at once can cause, it is stopped.
func (m *Machine) adopt(g *gang.Gang, now time.Time) []Command {
	id := g.Job().ID()
	m.lose(id)
	r, ok := m.records[id]
	if !ok {
		r = m.add(g.Job(), now)
	}
	r.gang, r.retryAt, r.elsewhere, r.ran = g, time.Time{}, time.Time{}, true
	m.attach(g)
	cs := []Command{r.tell(job.Running, "adopted", "found on all its workers")}
	if err := m.scheduler.Adopt(r.job, g.Place(), g.Since()); err != nil {
		return append(cs, m.carry(r, g.End(gang.CauseLost, "", "adopt: "+err.Error(), now), now)...)
	}
	return cs
}

// foundOver settles the job of a found gang that is over. Without a job that
// asks for it the gang is kept for a while.
func (m *Machine) foundOver(g *gang.Gang, now time.Time) []Command {
	id := g.Job().ID()
	r, ok := m.records[id]
	if !ok {
		return nil
	}
	m.lose(id)
	res := g.Result()
	r.ran = r.ran || res.MayHaveRun
	o := job.Outcome{Attempt: g.Lease().Attempt, Reason: res.Reason}
	switch {
	case res.Cause == gang.CauseDone && !res.Broken:
		o.State, o.Answer = job.Succeeded, res.Answer
	case !r.job.Repeatable() && res.MayHaveRun && res.Cause == gang.CauseCrashed:
		o.State = job.Failed
	case !r.job.Repeatable() && res.MayHaveRun:
		o.State = job.Lost
	default:
		r.retryAt = now
		return nil
	}
	return m.close(r, schedule.Done, "", o, now)
}

// unasked reports whether a found gang ended with an outcome that belongs in the
// platform's record and that no entry has asked for.
func (m *Machine) unasked(g *gang.Gang, now time.Time) bool {
	id := g.Job().ID()
	if m.found[id] != g || m.records[id] != nil || g.Phase() != gang.Over || now.Before(m.foundAt[id].Add(unaskedAfter)) {
		return false
	}
	res := g.Result()
	final := res.Cause == gang.CauseDone && !res.Broken || !g.Job().Repeatable() && res.MayHaveRun
	return final && g.Job().NeedsClaim()
}

// tickFound lets time pass for the found gangs.
func (m *Machine) tickFound(now time.Time) []Command {
	ids := make([]job.ID, 0, len(m.found))
	for id := range m.found {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	var cs []Command
	for _, id := range ids {
		g := m.found[id]
		cs = append(cs, m.foundStep(g, g.Ticked(now), now)...)
		if m.unasked(g, now) {
			m.add(g.Job(), now).retryAt = now
			cs = append(cs, m.foundOver(g, now)...)
		}
		if m.found[id] != nil && g.Phase() == gang.Over && !now.Before(m.foundAt[id].Add(foundFor)) {
			m.lose(id)
		}
	}
	return cs
}
