package schedule

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Costs and gains of tidying up.
const (
	tidyEvery   = time.Second
	tidyHorizon = time.Minute // for which room that was made whole is reckoned to be of use
	leastGain   = 0.05        // of fragmentation, that is worth a move
)

// tidy moves small stoppable gangs together while nothing waits, so that the
// free room holds one more gang of the largest guaranteed shape: the next large
// gang then starts at once. It moves only where that is worth far more than the
// work it costs, by the weights of the service whose gangs are moved, and one
// group of workers at a time.
func (s *Scheduler) tidy(now time.Time) []Decision {
	shape, ok := s.largestGuaranteed()
	if !ok || s.without[Compaction] || s.Queued() > 0 || now.Before(s.tidied.Add(tidyEvery)) || s.moving() {
		return nil
	}
	s.tidied = now
	for _, workers := range s.groups(shape) {
		wider, ok := s.oneMore(shape, workers)
		if !ok {
			continue
		}
		owners, cost, ok := s.movable(wider, workers, now)
		if !ok || cost*gainFactor > s.gainOf(shape, owners) {
			continue
		}
		if victims, ok := s.moveAway(wider, shape, owners, now); ok {
			return s.stopMoved(victims, now)
		}
	}
	return nil
}

func (s *Scheduler) largestGuaranteed() (largest cell.Shape, ok bool) {
	for _, g := range s.guarantees {
		if g.Shape().Total() > largest.Total() {
			largest = g.Shape()
		}
	}
	return largest, largest.Total() >= leastCompacted
}

// moving reports whether a moved gang has not ended yet.
func (s *Scheduler) moving() bool {
	for _, r := range s.running {
		if r.moveTo != nil {
			return true
		}
	}
	return false
}

// oneMore returns the shape of one gang more than the workers have free room
// for, as one wide gang; ok is false if it would be too large.
func (s *Scheduler) oneMore(shape cell.Shape, workers []string) (wider cell.Shape, ok bool) {
	members := 0
	for _, w := range workers {
		mask, cores, memory, slots := s.zone.Inventory().Free(w)
		room := ending{accelerators: cell.Grant{Accelerators: mask}.Count(), cores: cores, memory: memory}
		members += room.members(shape, slots)
	}
	gangs := members/shape.Members() + 1
	wider, err := cell.NewShape(gangs*shape.Members(), shape.Accelerators(), shape.Cores(), shape.Memory(), shape.Adjacency())
	return wider, err == nil
}

// gainOf weighs one more gang of free room by the service that the first of the
// owners belongs to.
func (s *Scheduler) gainOf(shape cell.Shape, owners []string) float64 {
	weights := s.running[job.ID(owners[0])].request.Weights
	return tidyHorizon.Seconds() * weights.Fragmentation * float64(shape.Total())
}

// moveAway finds the owners new room off the room that they are to leave, and
// reports whether the fragmentation falls by it. If not, nothing is changed.
func (s *Scheduler) moveAway(wider, shape cell.Shape, owners []string, now time.Time) (victims []*runner, ok bool) {
	before := s.zone.Fragmentation(shape)
	holders := s.freeAll(owners)
	cleared := placement.Request{Owner: roomMark + "tidy", Shape: wider, Stoppable: true}
	ok = true
	if _, ok = s.take(cleared, now); ok {
		for _, o := range owners {
			victims = append(victims, s.running[job.ID(o)])
			ok = ok && s.rehouse(s.running[job.ID(o)], now)
		}
	}
	s.zone.Free(cleared.Owner)
	if ok && s.zone.Fragmentation(shape) <= before-leastGain {
		for _, v := range victims {
			s.keepOccupied(v, now)
		}
		return victims, true
	}
	s.undo(cleared, holders)
	return nil, false
}

func (s *Scheduler) stopMoved(victims []*runner, now time.Time) []Decision {
	ds := make([]Decision, 0, len(victims))
	for _, v := range victims {
		v.stopBy = now.Add(Grace)
		ds = append(ds, Decision{Action: Stop, Job: v.item.Job, Deadline: v.stopBy, Reason: "it moves to make room for large gangs"})
	}
	return ds
}
