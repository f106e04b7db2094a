package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/queue"
)

// Costs and gains of a compaction.
const (
	moveCost       = 3 * time.Second        // of work that a move costs each accelerator, beside what may be lost
	putBackCost    = 60 * time.Second       // of waiting that a move costs a gang without new room
	lateShare      = 0.2                    // share of the work since the newest checkpoint that a move is reckoned to lose
	gainFactor     = 4                      // the waiting saved is worth so many times the work it costs
	leastWait      = 10 * time.Second       // a planned start nearer than this is waited for
	attemptEvery   = 500 * time.Millisecond // between two attempts of all classes
	mostClasses    = 4096                   // whose attempts are remembered
	leastCompacted = 4                      // accelerators of a gang that others are moved for
	mostShifted    = 8                      // accelerators of a gang that is shifted to lent room
	shiftTries     = 16                     // gangs that are tried for a shift
	mostMoved      = 32                     // gangs that one compaction moves
)

// compact makes room for the head by moving small stoppable gangs to room that
// is free elsewhere. Nobody is put back into the queue for it: each victim's new
// room is taken before it is asked to stop. It is done only where the waiting
// that it saves is far more than the work that it costs. ok is false if it is not.
func (s *Scheduler) compact(it queue.Item, r placement.Request, now time.Time) (ds []Decision, ok bool) {
	if s.without[Compaction] || r.Shape.Total() < leastCompacted || !s.compactions.due(queue.ClassOf(it.Job), now) {
		return nil, false
	}
	s.releaseReserved()
	at, _, ok := s.plan(r.Shape, now)
	if !ok || at.Sub(now) < leastWait {
		return nil, false
	}
	saved := at.Sub(now).Seconds() * worth(r)
	for _, workers := range s.groups(r.Shape) {
		owners, cost, ok := s.movable(r.Shape, workers, now)
		if !ok || saved < gainFactor*cost {
			continue
		}
		if ds, ok := s.move(it, r, owners, saved/gainFactor-cost, now); ok {
			return ds, true
		}
	}
	return nil, false
}

// attempts bounds how often something costly is tried. The zero attempts has
// tried nothing.
type attempts struct {
	last time.Time
	of   map[queue.Class]time.Time
}

// due reports whether a class is due for an attempt, and notes it.
func (a *attempts) due(c queue.Class, now time.Time) bool {
	if now.Before(a.last.Add(attemptEvery)) || now.Before(a.of[c].Add(2*attemptEvery)) {
		return false
	}
	if a.of == nil || len(a.of) > mostClasses {
		a.of = map[queue.Class]time.Time{}
	}
	a.last, a.of[c] = now, now
	return true
}

// groups returns the workers that a gang of the shape must not leave, by group,
// without those that hold no member of it.
func (s *Scheduler) groups(shape cell.Shape) [][]string {
	var groups [][]string
	last := ""
	for _, w := range s.zone.Inventory().Workers() {
		if !large(w, shape) {
			continue
		}
		name := ""
		switch shape.Adjacency() {
		case cell.SameRack:
			name = w.Rack()
		case cell.SameWorker:
			name = w.ID()
		}
		if len(groups) == 0 || name != last {
			groups = append(groups, nil)
		}
		last = name
		groups[len(groups)-1] = append(groups[len(groups)-1], w.ID())
	}
	return groups
}

// clearing is what it takes to clear a worker of all that can be moved.
type clearing struct {
	owners  []string
	cost    float64 // accelerator seconds
	members int     // of the shape that fit then
}

// movable returns the gangs whose moves would make room for the shape on the
// workers at the least cost, worker by worker; ok is false if none would.
func (s *Scheduler) movable(shape cell.Shape, workers []string, now time.Time) (owners []string, cost float64, ok bool) {
	clearings := make([]clearing, 0, len(workers))
	for _, w := range workers {
		if c := s.clear(shape, w, now); c.members > 0 && !s.zone.Inventory().Barred(w) {
			clearings = append(clearings, c)
		}
	}
	slices.SortStableFunc(clearings, func(a, b clearing) int {
		return cmp.Compare(a.cost/float64(a.members), b.cost/float64(b.members))
	})
	members := 0
	for _, c := range clearings {
		for _, o := range c.owners {
			if !slices.Contains(owners, o) {
				owners = append(owners, o)
			}
		}
		cost += c.cost
		members += c.members
		if members >= shape.Members() {
			return owners, cost, len(owners) > 0 && len(owners) <= mostMoved
		}
	}
	return nil, 0, false
}

func (s *Scheduler) clear(shape cell.Shape, worker string, now time.Time) clearing {
	mask, cores, memory, slots := s.zone.Inventory().Free(worker)
	room := ending{accelerators: cell.Grant{Accelerators: mask}.Count(), cores: cores, memory: memory}
	c := clearing{members: room.members(shape, slots)}
	if c.members > 0 {
		return c
	}
	for _, o := range s.zone.Inventory().Owners(worker) {
		r, ok := s.running[job.ID(o)]
		if !ok || !r.request.Stoppable || !r.stopBy.IsZero() || r.request.Shape.Total() >= shape.Total() {
			continue
		}
		c.owners = append(c.owners, o)
		c.cost += s.costOf(r, now)
		for _, g := range r.place.On(worker) {
			room.accelerators += g.Count()
			room.cores += r.request.Shape.Cores()
			room.memory += r.request.Shape.Memory()
			slots++
		}
	}
	c.members = room.members(shape, slots)
	return c
}

// costOf returns what moving a gang costs, in accelerator seconds.
func (s *Scheduler) costOf(r *runner, now time.Time) float64 {
	h, _ := s.zone.Holder(string(r.item.Job.ID()))
	since := r.since
	if h.Checkpoint.After(since) {
		since = h.Checkpoint
	}
	atStake := lateShare * now.Sub(since).Seconds()
	return (moveCost.Seconds() + atStake) * worth(r.request)
}

// shift lets a job that cannot be stopped have room that is not kept for a
// guarantee, by moving a gang that can be stopped from there to lent room.
// Without it such jobs would wait beside free accelerators that only stoppable
// work may have, while stoppable work stands where it need not.
func (s *Scheduler) shift(it queue.Item, r placement.Request, now time.Time) (ds []Decision, ok bool) {
	if s.without[Compaction] || r.Stoppable || s.zone.Fragmentation(r.Shape) == 1 || !s.shifts.due(queue.ClassOf(it.Job), now) {
		return nil, false
	}
	s.releaseReserved()
	var candidates []*runner
	for _, v := range s.running {
		total := v.request.Shape.Total()
		if v.request.Stoppable && v.stopBy.IsZero() && total >= r.Shape.Total() && total <= mostShifted {
			candidates = append(candidates, v)
		}
	}
	slices.SortFunc(candidates, func(a, b *runner) int {
		return cmp.Or(b.since.Compare(a.since), cmp.Compare(a.request.Owner, b.request.Owner))
	})
	for _, v := range candidates[:min(len(candidates), shiftTries)] {
		if ds, ok := s.move(it, r, []string{v.request.Owner}, math.Inf(1), now); ok {
			return ds, true
		}
	}
	return nil, false
}

// worth weighs a second of a gang's time: as one job's by the service's weight
// of completion time, and by its accelerators by that of fragmentation.
func worth(r placement.Request) float64 {
	return r.Weights.Completion + r.Weights.Fragmentation*float64(max(r.Shape.Total(), 1))
}

// move gives the head the owners' room and the owners room elsewhere, all of it
// or nothing.
func (s *Scheduler) move(it queue.Item, r placement.Request, owners []string, spare float64, now time.Time) ([]Decision, bool) {
	holders := s.freeAll(owners)
	place, ok := s.zone.Place(r)
	s.restoreAll(holders)
	if !ok {
		return nil, false
	}
	victims, ok := s.exchange(r, place, owners, now)
	if !ok {
		return nil, false
	}
	for _, v := range victims {
		housed := s.rehouse(v, now)
		if !housed {
			spare -= putBackCost.Seconds() * worth(v.request)
		}
		if !housed && !v.item.Since.After(it.Since) || spare < 0 {
			s.undo(r, holders)
			return nil, false
		}
	}
	return s.claimRoom(it, r, place, victims, now), true
}

// rehouse keeps new room for a victim; it returns false if there is none.
func (s *Scheduler) rehouse(victim *runner, now time.Time) bool {
	request := victim.request
	request.Owner = moveOwner(victim)
	to, ok := s.zone.Place(request)
	if !ok || s.zone.Take(request, to, now) != nil {
		return false
	}
	victim.moveTo = to
	return true
}

// undo takes back an exchange of which some owners may have new room.
func (s *Scheduler) undo(r placement.Request, holders []placement.Holder) {
	s.zone.Free(r.Owner)
	for _, h := range holders {
		victim := s.running[job.ID(h.Request.Owner)]
		s.zone.Free(moveOwner(victim))
		victim.moveTo = nil
		for _, o := range victim.leftover {
			s.zone.Free(o)
		}
		victim.leftover = nil
	}
	s.restoreAll(holders)
}

// moved starts a victim on its new room, if it was moved and the room stands.
func (s *Scheduler) moved(r *runner, end End, now time.Time) bool {
	if r.moveTo == nil {
		return false
	}
	s.zone.Free(moveOwner(r))
	if end != Reclaimed || !s.stands(r.moveTo) || s.zone.Take(r.request, r.moveTo, now) != nil {
		return false
	}
	s.run(r.item, r.request, r.moveTo, now)
	s.answers = append(s.answers, Decision{
		Action: Start, Job: r.item.Job, Assignment: r.moveTo, Reason: "it was moved here to make room for a larger gang",
	})
	return true
}
