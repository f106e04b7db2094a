package schedule

import (
	"fmt"
	"slices"
	"strings"
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
	s.releaseReserved()
	place, owners, ok := s.zone.Reclaim(r, now)
	if !ok {
		return nil, false
	}
	victims, ok := s.exchange(r, place, owners, now)
	if !ok {
		return nil, false
	}
	return s.claimRoom(it, r, place, victims, now), true
}

// claimRoom notes the claim on room that was exchanged already, and returns the
// stops of those of its victims that have not been asked to.
func (s *Scheduler) claimRoom(it queue.Item, r placement.Request, place cell.Assignment, victims []*runner, now time.Time) []Decision {
	var ds []Decision
	c := &claim{item: it, request: r, place: place, deadline: now.Add(Grace)}
	for _, v := range victims {
		c.victims = append(c.victims, v.item.Job.ID())
		if !v.stopBy.IsZero() {
			continue
		}
		v.stopBy = c.deadline
		ds = append(ds, Decision{
			Action: Stop, Job: v.item.Job, Deadline: c.deadline,
			Reason: fmt.Sprintf("its room is reclaimed for %s of account %s", it.Job.ID(), it.Job.Account()),
		})
	}
	s.claims = append(s.claims, c)
	return ds
}

// exchange gives the owners' room to the request and returns the runners that
// must end before it may start. It changes nothing and returns false if that
// cannot be. An owner is a runner, or what is left of one that stops, or room
// that one is to move to, or a claimant that can be stopped itself.
func (s *Scheduler) exchange(r placement.Request, place cell.Assignment, owners []string, now time.Time) (victims []*runner, ok bool) {
	holders := s.freeAll(owners)
	if err := s.zone.Take(r, place, now); err != nil {
		s.restoreAll(holders)
		return nil, false
	}
	for _, o := range owners {
		for _, v := range s.occupants(o) {
			if !slices.Contains(victims, v) {
				victims = append(victims, v)
			}
		}
	}
	for _, v := range victims {
		s.keepOccupied(v, now)
	}
	return victims, true
}

// occupants returns the runners whose tasks may still stand on an owner's room,
// which the owner no longer holds.
func (s *Scheduler) occupants(owner string) []*runner {
	if r, ok := s.running[job.ID(owner)]; ok {
		return []*runner{r}
	}
	if c := s.claimOf(job.ID(owner)); c != nil {
		s.removeClaim(c)
		s.queue.Restore(c.item)
		var rs []*runner
		for _, id := range c.victims {
			rs = append(rs, s.running[id])
		}
		return rs
	}
	id, _, _ := strings.Cut(owner, roomMark)
	r, ok := s.running[job.ID(id)]
	switch {
	case !ok:
		return nil
	case owner == moveOwner(r):
		r.moveTo = nil // nothing of it stands there yet
		return nil
	default:
		r.leftover = slices.DeleteFunc(r.leftover, func(o string) bool { return o == owner })
		return []*runner{r}
	}
}

// roomMark parts a job's id from what its further room is for. Job ids end in a
// hash and hold no such mark after it.
const roomMark = "|"

func moveOwner(r *runner) string { return string(r.item.Job.ID()) + roomMark + "move" }

// keepOccupied keeps from others what of a stopping runner's accelerators no
// claimant has, until it has ended: its tasks still stand there. They count as
// work that can be stopped, so that the next claim may have them.
func (s *Scheduler) keepOccupied(r *runner, now time.Time) {
	for i, g := range r.place {
		free, _, _, _ := s.zone.Inventory().Free(g.Worker)
		rest := cell.Grant{Worker: g.Worker, Accelerators: g.Accelerators & free}
		if rest.Accelerators == 0 {
			continue
		}
		s.kept++
		owner := fmt.Sprintf("%s%s%d.%d", r.item.Job.ID(), roomMark, i, s.kept)
		shape := r.request.Shape
		if s.hold(owner, rest, shape.Cores(), shape.Memory(), now) || s.hold(owner, rest, 0, 0, now) {
			r.leftover = append(r.leftover, owner)
		}
	}
}

func (s *Scheduler) freeAll(owners []string) []placement.Holder {
	holders := make([]placement.Holder, 0, len(owners))
	for _, o := range owners {
		if h, ok := s.zone.Holder(o); ok {
			holders = append(holders, h)
			s.zone.Free(o)
		}
	}
	return holders
}

// restoreAll gives holders back what they were freed of a moment ago. Nothing
// was taken since and all can be stopped, so the zone cannot refuse it.
func (s *Scheduler) restoreAll(holders []placement.Holder) {
	for _, h := range holders {
		_ = s.zone.Take(h.Request, h.Assignment, h.Since)
		s.zone.Checkpointed(h.Request.Owner, h.Checkpoint)
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
			s.dropClaim(c, now)
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
func (s *Scheduler) dropClaim(c *claim, now time.Time) {
	s.removeClaim(c)
	s.zone.Free(string(c.item.Job.ID()))
	for _, v := range c.victims {
		s.keepOccupied(s.running[v], now)
	}
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
