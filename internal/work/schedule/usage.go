package schedule

import (
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/work/job"
)

// Used takes a worker's report of what a job's members on it use, in cores and
// MB. The next Decide throttles a job that takes cores, or stops one that takes
// memory, which others on the worker were granted. Room that nobody was granted
// may be used. Reports lag, so cores are acted on when two in a row are over;
// memory at once, since a worker without memory kills whatever comes next. A
// report on a job that does not run there changes nothing.
func (s *Scheduler) Used(id job.ID, worker string, cores, memory int, now time.Time) {
	r, ok := s.running[id]
	members := 0
	if ok {
		members = len(r.place.On(worker))
	}
	if members == 0 {
		return
	}
	s.histories.Used(s.kind(r.item.Job), cores/members, memory/members)
	r.progress.used(worker, float64(cores)/float64(members), now)
	_, spareCores, spareMemory, _ := s.zone.Inventory().Free(worker)
	shape := r.request.Shape
	if memory > members*shape.Memory()+max(spareMemory, 0) {
		s.stopOver(r, worker, memory, now)
		return
	}
	s.throttle(r, worker, cores, members*shape.Cores(), max(spareCores, 0))
}

func (s *Scheduler) stopOver(r *runner, worker string, memory int, now time.Time) {
	if !r.stopBy.IsZero() {
		return
	}
	r.stopBy = now.Add(Grace)
	s.answers = append(s.answers, Decision{
		Action: Stop, Job: r.item.Job, Deadline: r.stopBy, Worker: worker,
		Reason: fmt.Sprintf("it uses %d MB on %s, of which others were granted a part", memory, worker),
	})
}

func (s *Scheduler) throttle(r *runner, worker string, cores, granted, spare int) {
	over := cores > granted+spare
	if over && r.over[worker] && r.held[worker] != max(granted, 1) {
		if r.held == nil {
			r.held = map[string]int{}
		}
		r.held[worker] = max(granted, 1)
		s.answers = append(s.answers, Decision{
			Action: Throttle, Job: r.item.Job, Worker: worker, Cores: max(granted, 1),
			Reason: fmt.Sprintf("it uses %d cores on %s, of which others were granted a part", cores, worker),
		})
	}
	if r.over == nil {
		r.over = map[string]bool{}
	}
	r.over[worker] = over
}
