package schedule

import (
	"fmt"
	"slices"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/queue"
)

// claim is a guaranteed or urgent job that waits for its victims to stop. The
// zone's books give it the room from the first moment, so nobody else can take
// it in between; the rest of the victims' room is kept by leftover owners until
// the victim has ended.
type claim struct {
	item     queue.Item
	request  placement.Request
	place    cell.Assignment
	victims  []job.ID // those that have not ended
	deadline time.Time
	overdue  bool // the hard stops were asked for
}

func (s *Scheduler) claimOf(id job.ID) *claim {
	for _, c := range s.claims {
		if c.item.Job.ID() == id {
			return c
		}
	}
	return nil
}

// reclaim makes room for a job by stopping others. ok is false if no victims
// would do.
func (s *Scheduler) reclaim(it queue.Item, r placement.Request, now time.Time) (ds []Decision, ok bool) {
	place, owners, ok := s.zone.Reclaim(r, now)
	if !ok {
		return nil, false
	}
	if !s.exchange(r, place, owners, now) {
		return nil, false
	}
	c := &claim{item: it, request: r, place: place, deadline: now.Add(Grace)}
	for _, o := range owners {
		victim, fresh := s.victimOf(o)
		if !slices.Contains(c.victims, victim.item.Job.ID()) {
			c.victims = append(c.victims, victim.item.Job.ID())
		}
		if fresh {
			victim.stopBy = c.deadline
			ds = append(ds, Decision{
				Action: Stop, Job: victim.item.Job, Deadline: c.deadline,
				Reason: fmt.Sprintf("its room is reclaimed for %s of account %s", it.Job.ID(), it.Job.Account()),
			})
		}
	}
	s.claims = append(s.claims, c)
	return ds, true
}

// exchange gives the victims' room to the request, and what is left of it to
// leftover owners. It changes nothing and returns false if that cannot be.
func (s *Scheduler) exchange(r placement.Request, place cell.Assignment, owners []string, now time.Time) bool {
	holders := make([]placement.Holder, 0, len(owners))
	for _, o := range owners {
		h, ok := s.zone.Holder(o)
		if victim, _ := s.victimOf(o); !ok || victim == nil {
			return false
		}
		holders = append(holders, h)
	}
	for _, o := range owners {
		s.zone.Free(o)
	}
	if err := s.zone.Take(r, place, now); err != nil {
		for _, h := range holders {
			s.restore(h)
		}
		return false
	}
	for i, h := range holders {
		victim, _ := s.victimOf(owners[i])
		s.keepLeftover(victim, h, place, now)
	}
	return true
}

// restore gives a holder back what it was freed of a moment ago.
func (s *Scheduler) restore(h placement.Holder) {
	// Nothing was taken since it was freed, so this cannot be refused.
	_ = s.zone.Take(h.Request, h.Assignment, h.Since)
	if !h.Checkpoint.IsZero() {
		s.zone.Checkpointed(h.Request.Owner, h.Checkpoint)
	}
}

// victimOf returns the runner that an owner's room belongs to, itself or as a
// leftover; fresh says that it has not been asked to stop.
func (s *Scheduler) victimOf(owner string) (r *runner, fresh bool) {
	if r, ok := s.running[job.ID(owner)]; ok {
		return r, r.stopBy.IsZero()
	}
	for _, r := range s.running {
		if slices.Contains(r.leftover, owner) {
			return r, false
		}
	}
	return nil, false
}

// keepLeftover keeps the accelerators of a victim that the claimant does not
// get, until the victim has ended. They count as work that can be stopped, so
// that the next claim may have them.
func (s *Scheduler) keepLeftover(victim *runner, h placement.Holder, place cell.Assignment, now time.Time) {
	for i, g := range h.Assignment {
		mask, cores, memory := g.Accelerators, h.Request.Shape.Cores(), h.Request.Shape.Memory()
		for _, taken := range place.On(g.Worker) {
			mask &^= taken.Accelerators
			cores, memory = 0, 0
		}
		rest := cell.Grant{Worker: g.Worker, Accelerators: mask}
		if mask == 0 && cores == 0 {
			continue
		}
		owner := fmt.Sprintf("%s/leftover%d", h.Request.Owner, i)
		if s.hold(owner, rest, cores, memory, now) {
			victim.leftover = append(victim.leftover, owner)
		}
	}
}

// hold takes the accelerators of a grant for an owner that is no job. ok is
// false if they are not free, or no slot is, in which case nobody gets them.
func (s *Scheduler) hold(owner string, g cell.Grant, cores, memory int, now time.Time) bool {
	shape, err := cell.NewShape(1, g.Count(), cores, memory, cell.Any)
	if err != nil {
		return false
	}
	r := placement.Request{Owner: owner, Shape: shape, Stoppable: true}
	return s.zone.Take(r, cell.Assignment{g}, now) == nil
}

// ripen starts the claims whose victims have all ended, and asks for the hard
// stop of those that have not when the grace is over.
func (s *Scheduler) ripen(now time.Time) []Decision {
	var ds []Decision
	for _, c := range slices.Clone(s.claims) {
		switch {
		case !s.stands(c.place):
			s.dropClaim(c)
			s.queue.Restore(c.item)
		case len(c.victims) == 0:
			s.removeClaim(c)
			s.run(c.item, c.request, c.place, now)
			ds = append(ds, Decision{Action: Start, Job: c.item.Job, Assignment: c.place, Reason: "its reclaimed room is free"})
		case !c.overdue && !now.Before(c.deadline):
			c.overdue = true
			ds = append(ds, s.stopHard(c, now)...)
		}
	}
	return ds
}

func (s *Scheduler) stopHard(c *claim, now time.Time) []Decision {
	ds := make([]Decision, 0, len(c.victims))
	for _, v := range c.victims {
		ds = append(ds, Decision{Action: Stop, Job: s.running[v].item.Job, Deadline: now, Reason: "its grace is over"})
	}
	return ds
}

// stands reports whether all workers of a place are still there.
func (s *Scheduler) stands(a cell.Assignment) bool {
	for _, g := range a {
		if _, ok := s.zone.Inventory().Worker(g.Worker); !ok {
			return false
		}
	}
	return true
}

// dropClaim gives up a claim and its room. Its victims stop all the same.
func (s *Scheduler) dropClaim(c *claim) {
	s.removeClaim(c)
	s.zone.Free(string(c.item.Job.ID()))
	s.epoch++
}

func (s *Scheduler) removeClaim(c *claim) {
	s.claims = slices.DeleteFunc(s.claims, func(o *claim) bool { return o == c })
}

// victimEnded frees what was kept for a victim and takes it off the claims.
func (s *Scheduler) victimEnded(id job.ID, r *runner) {
	for _, o := range r.leftover {
		s.zone.Free(o)
	}
	for _, c := range s.claims {
		c.victims = slices.DeleteFunc(c.victims, func(v job.ID) bool { return v == id })
	}
}
