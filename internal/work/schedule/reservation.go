package schedule

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/work/estimate"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/queue"
)

// reservation is the planned start of the head: the first borrower that finds
// no room. Without it a gang would wait for as long as small jobs keep coming,
// since these take each accelerator as it becomes free. Jobs that would outlast
// the planned start do not get the workers it is planned on.
type reservation struct {
	head    job.ID      // empty for none
	class   queue.Class // of the head
	at      time.Time   // the planned start
	workers []string    // where it is planned
	owners  []string    // what keeps these workers' free room, while it is kept
	planned time.Time   // when a plan was last made
}

// startedBy drops the reservation if it was the job's.
func (v *reservation) startedBy(id job.ID) {
	if v.head == id {
		v.head = ""
	}
}

// Planned returns the head that holds the reservation and its planned start;
// ok is false if there is none.
func (s *Scheduler) Planned() (head job.ID, at time.Time, ok bool) {
	if s.reserved.head == "" || !s.queue.Has(s.reserved.head) {
		return "", time.Time{}, false
	}
	return s.reserved.head, s.reserved.at, true
}

// reserve plans the start of a job that finds no room, if no other holds the
// reservation. The head keeps it until it starts or is gone, and is planned
// anew when its time has come without room.
func (s *Scheduler) reserve(it queue.Item, now time.Time) {
	v := &s.reserved
	if s.without[Reservation] {
		return
	}
	if v.head != "" && s.queue.Has(v.head) && (v.head != it.Job.ID() || now.Before(v.at)) {
		return
	}
	if v.head == it.Job.ID() && now.Before(v.planned.Add(retryIdle)) {
		return
	}
	s.releaseReserved()
	at, workers, ok := s.plan(it.Job.Shape(), now)
	*v = reservation{planned: now}
	if !ok || !at.After(now) {
		// Room is free but not for this job: a guarantee stands before it.
		// Keeping that room idle would not let it start any sooner.
		return
	}
	v.head, v.class, v.at, v.workers = it.Job.ID(), queue.ClassOf(it.Job), at, workers
}

// outlasts reports whether a job started now may run past the planned start of
// the head. A job of the head's own class is not kept from the head's room: one
// that was submitted before the head but arrived after it stands before it in
// their bucket, and neither would ever start.
func (s *Scheduler) outlasts(j job.Job, now time.Time) bool {
	if _, _, ok := s.Planned(); !ok || s.reserved.class == queue.ClassOf(j) {
		return false
	}
	return now.Add(s.estimated(j, safeShare)).After(s.reserved.at)
}

// holdReserved keeps or frees the reserved workers' free room.
func (s *Scheduler) holdReserved(on bool, now time.Time) {
	if !on {
		s.releaseReserved()
		return
	}
	if len(s.reserved.owners) > 0 {
		return
	}
	for _, w := range s.reserved.workers {
		free, cores, memory, _ := s.zone.Inventory().Free(w)
		owner := fmt.Sprintf("%s/reserved/%s", s.reserved.head, w)
		if s.hold(owner, cell.Grant{Worker: w, Accelerators: free}, max(cores, 0), max(memory, 0), now) {
			s.reserved.owners = append(s.reserved.owners, owner)
		}
	}
}

func (s *Scheduler) releaseReserved() {
	for _, o := range s.reserved.owners {
		s.zone.Free(o)
	}
	s.reserved.owners = nil
}

// place is when and where one more member of a shape fits.
type place struct {
	worker string
	at     time.Time
}

// plan returns when, by the estimated ends of what runs, a gang of the shape
// finds room, and on which workers; ok is false if never. It takes one pass
// over the running gangs and one over the workers.
func (s *Scheduler) plan(shape cell.Shape, now time.Time) (at time.Time, workers []string, ok bool) {
	groups := map[string][]place{} // by what a gang must not leave
	var names []string
	for _, w := range s.zone.Inventory().Workers() {
		if !large(w, shape) || s.zone.Inventory().Barred(w.ID()) {
			continue
		}
		group := ""
		switch shape.Adjacency() {
		case cell.SameRack:
			group = w.Rack()
		case cell.SameWorker:
			group = w.ID()
		}
		if _, seen := groups[group]; !seen {
			names = append(names, group)
		}
		groups[group] = append(groups[group], s.places(w.ID(), shape, s.endsOn(w.ID(), now), now)...)
	}
	for _, name := range names {
		ps := groups[name]
		if len(ps) < shape.Members() {
			continue
		}
		sort.SliceStable(ps, func(i, j int) bool { return ps[i].at.Before(ps[j].at) })
		last := ps[shape.Members()-1].at
		if !ok || last.Before(at) {
			at, workers, ok = last, distinct(ps[:shape.Members()]), true
		}
	}
	return at, workers, ok
}

func distinct(ps []place) []string {
	var ids []string
	for _, p := range ps {
		if !slices.Contains(ids, p.worker) {
			ids = append(ids, p.worker)
		}
	}
	return ids
}

// ending is what a running gang's member gives back, and when.
type ending struct {
	at           time.Time
	accelerators int
	cores        int
	memory       int
}

// endsOn returns what runs on a worker, the earliest estimated end first. What
// stops there for a claimant is not counted: that room is the claimant's.
func (s *Scheduler) endsOn(worker string, now time.Time) []ending {
	var ends []ending
	for _, o := range s.zone.Inventory().Owners(worker) {
		r, ok := s.running[job.ID(o)]
		if !ok {
			continue
		}
		at := estimate.End(r.since, s.estimated(r.item.Job, middleShare), now)
		if !r.stopBy.IsZero() {
			at = r.stopBy
		}
		for _, g := range r.place {
			if g.Worker == worker {
				ends = append(ends, ending{at, g.Count(), r.request.Shape.Cores(), r.request.Shape.Memory()})
			}
		}
	}
	slices.SortStableFunc(ends, func(a, b ending) int { return a.at.Compare(b.at) })
	return ends
}

// large reports whether a member of the shape fits on the worker at all.
func large(w cell.Worker, shape cell.Shape) bool {
	return w.Accelerators() >= shape.Accelerators() && w.Cores() >= shape.Cores() && w.Memory() >= shape.Memory()
}

// places returns when each further member of the shape fits on a worker.
func (s *Scheduler) places(worker string, shape cell.Shape, ends []ending, now time.Time) []place {
	mask, cores, memory, slots := s.zone.Inventory().Free(worker)
	room := ending{at: now, accelerators: cell.Grant{Accelerators: mask}.Count(), cores: cores, memory: memory}
	var ps []place
	for i := -1; i < len(ends); i++ {
		if i >= 0 {
			e := ends[i]
			room = ending{e.at, room.accelerators + e.accelerators, room.cores + e.cores, room.memory + e.memory}
			slots++
		}
		for range room.members(shape, slots) - len(ps) {
			ps = append(ps, place{worker, room.at})
		}
	}
	return ps
}

// members returns how many members of the shape fit.
func (e ending) members(shape cell.Shape, slots int) int {
	n := slots
	if shape.Accelerators() > 0 {
		n = min(n, e.accelerators/shape.Accelerators())
	}
	if shape.Cores() > 0 {
		n = min(n, e.cores/shape.Cores())
	}
	if shape.Memory() > 0 {
		n = min(n, e.memory/shape.Memory())
	}
	return n
}
