package dispatch

import (
	"cmp"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// State returns the state of a job as clients may see it, and whether the job is known.
func (m *Machine) State(id graph.JobID) (progress.State, bool) {
	j := m.jobs[id]
	if j == nil {
		return "", false
	}
	return j.visibleState(), true
}

// visibleState returns the state that clients may see.
func (j *job) visibleState() progress.State {
	if !j.published.Final() && j.started {
		return progress.Running
	}
	return j.published
}

// visibleReason returns why the job failed, once clients may see that it has.
func (j *job) visibleReason() string {
	if j.published != progress.Failed {
		return ""
	}
	return j.reason
}

// Status returns the status of a job as clients may see it, and whether the job is known.
func (m *Machine) Status(id graph.JobID) (view.JobStatus, bool) {
	j := m.jobs[id]
	if j == nil {
		return view.JobStatus{}, false
	}
	return view.JobStatus{State: j.visibleState(), Queue: j.spec.Queue, Account: j.spec.Account, Reason: j.visibleReason()}, true
}

// Pending returns the number of a queue's accepted jobs that have not started.
func (m *Machine) Pending(queue string) int {
	n := 0
	for _, j := range m.jobs {
		if j.spec.Queue == queue && !j.started && !j.finished() {
			n++
		}
	}
	return n
}

// Jobs returns the jobs of a client account, or all jobs if account is empty, in order of
// acceptance.
func (m *Machine) Jobs(account string) []view.Job {
	list := []view.Job{}
	for _, j := range m.jobs {
		if account == "" || j.spec.Account == account {
			list = append(list, j.view())
		}
	}
	slices.SortFunc(list, func(a, b view.Job) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Job returns one job, and whether it is known.
func (m *Machine) Job(id graph.JobID) (view.Job, bool) {
	j := m.jobs[id]
	if j == nil {
		return view.Job{}, false
	}
	return j.view(), true
}

func (j *job) view() view.Job {
	v := view.Job{
		ID: j.spec.ID, Queue: j.spec.Queue, Account: j.spec.Account, Priority: j.spec.Priority, State: j.visibleState(),
		Reason: j.visibleReason(), Accepted: time.UnixMilli(j.spec.AcceptedAt).UTC(), Runs: len(j.liveRuns),
	}
	if j.endedAt != 0 {
		v.Ended = time.UnixMilli(j.endedAt).UTC()
	}
	v.Done = j.closedCount() * j.spec.Tasks()
	v.Tasks = v.Done
	for _, s := range j.steps {
		v.Tasks += len(s.tasks)
		v.Done += len(s.tasks) - s.tasksLeft
	}
	return v
}

// Fleet returns the machine's targets, zones and accounts.
func (m *Machine) Fleet(now time.Time) view.Fleet {
	f := view.Fleet{
		Term: m.term, PendingSteps: len(m.pendingSteps), Zones: m.zones(), Targets: []view.Target{}, Accounts: []view.Account{},
		Guaranteed: m.totalGuaranteed(), Usable: m.usableAccelerators(), LostWork: m.lostWork.view(),
	}
	for _, t := range m.sortedTargets {
		f.Targets = append(f.Targets, view.Target{
			ID: t.ID, Zone: t.Zone, Rack: t.Rack, Service: t.Service, Accelerators: t.Capacity.Accelerators,
			Cores: t.Capacity.CPU / 1000, MemoryMB: t.Capacity.MemoryMB,
			Free: t.freeCapacity().Accelerators, Runs: len(t.runs), State: t.viewState(now),
			Slowness: t.viewSlowness(),
		})
	}
	wanted := m.wantedByAccount()
	for name, guaranteed := range m.guaranteed {
		f.Accounts = append(f.Accounts, view.Account{Name: name, Guaranteed: guaranteed, Wanted: wanted[name]})
	}
	slices.SortFunc(f.Accounts, func(a, b view.Account) int { return cmp.Compare(a.Name, b.Name) })
	return f
}

// zones returns the availability zones that have targets or are evacuated, by name.
func (m *Machine) zones() []view.Zone {
	byName := map[string]*view.Zone{}
	at := func(name string) *view.Zone {
		if byName[name] == nil {
			byName[name] = &view.Zone{Name: name, Evacuated: m.evacuated.Has(name)}
		}
		return byName[name]
	}
	for _, name := range m.evacuated.Zones {
		at(name)
	}
	for _, t := range m.sortedTargets {
		if !t.listed {
			continue
		}
		z := at(t.Zone)
		z.Targets++
		z.Accelerators += t.Capacity.Accelerators
		z.Free += t.freeCapacity().Accelerators
		z.Runs += len(t.runs)
	}
	list := make([]view.Zone, 0, len(byName))
	for _, z := range byName {
		list = append(list, *z)
	}
	slices.SortFunc(list, func(a, b view.Zone) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// viewState returns the target's state in the view: whether it gets work, or why not.
func (t *target) viewState(now time.Time) string {
	switch {
	case !t.listed:
		return "unlisted"
	case t.reach == notPolled:
		return "unheld"
	case t.reach == unreachable:
		return "silent"
	case t.Draining:
		return "draining"
	case t.evacuated:
		return "evacuated"
	case t.entryIsStale() || t.entryExpired(now):
		return "stale"
	case t.health.Quarantined(now) || t.health.Suspect(now):
		return "doubted"
	}
	return "ready"
}

// Counts are the sizes of a machine's collections.
type Counts struct {
	Jobs, Targets, Reachable, Runs, PendingSteps, Evacuated int
	// OverCapacity is the number of listed targets whose capacity is less than what runs there need.
	OverCapacity int
}

// Counts returns the current sizes of the machine's collections.
func (m *Machine) Counts() Counts {
	c := Counts{Jobs: len(m.jobs), Targets: len(m.targets), PendingSteps: len(m.pendingSteps), Evacuated: len(m.evacuated.Zones)}
	for _, t := range m.sortedTargets {
		if t.reach == reachable {
			c.Reachable++
		}
		if t.listed && t.overCapacity() {
			c.OverCapacity++
		}
		c.Runs += len(t.runs)
	}
	return c
}
