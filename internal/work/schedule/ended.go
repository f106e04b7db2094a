package schedule

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/queue"
)

// Ended says that a started job is over and how. worker names the worker at
// fault for Crashed, NotStarted and WorkerGone; empty if not known. A job that
// is not running changes nothing, so a doubled report does no harm.
func (s *Scheduler) Ended(id job.ID, end End, worker string, now time.Time) {
	r, ok := s.running[id]
	if !ok {
		return
	}
	s.release(id, r)
	s.note(r, end, worker, now)
	if s.moved(r, end, now) {
		return
	}
	switch end {
	case Done, Dropped:
		s.forget(id)
	case Reclaimed:
		s.again(r, time.Time{})
	case NotStarted:
		s.again(r, now.Add(s.pause(id)))
	case WorkerGone:
		if r.item.Job.Repeatable() {
			s.again(r, time.Time{})
		} else {
			s.forget(id)
		}
	case Crashed:
		s.crashed(r, worker, now)
	}
}

// release gives back all that a runner holds.
func (s *Scheduler) release(id job.ID, r *runner) {
	delete(s.running, id)
	s.zone.Free(string(id))
	s.shares.add(r.item.Job, -1)
	s.victimEnded(id, r)
	s.epoch++
}

// note tells the histories and the watch how a start came out.
func (s *Scheduler) note(r *runner, end End, worker string, now time.Time) {
	id := string(r.item.Job.ID())
	if end == Done {
		s.histories.Ended(s.kind(r.item.Job), now.Sub(r.since), r.item.Job.Declared())
	}
	for _, w := range r.place.Workers() {
		switch {
		case end == Done:
			s.watch.Succeeded(w, id)
		case end == NotStarted && w == worker:
			s.watch.Refused(w, id, s.rackOf(w), now)
		case w != worker || end == WorkerGone || end == Reclaimed || end == Dropped:
			s.watch.Left(w, id)
		}
	}
}

// again queues a job again with its place kept.
func (s *Scheduler) again(r *runner, notBefore time.Time) {
	s.queue.Restore(queue.Item{Job: r.item.Job, Since: r.item.Since, NotBefore: notBefore})
}

// crashed counts the failure against the worker or the job. A job that is at
// fault itself is answered as failed by the next Decide; one that may not run
// twice is not queued again.
func (s *Scheduler) crashed(r *runner, worker string, now time.Time) {
	j := r.item.Job
	atFault := worker != "" && s.watch.Failed(worker, string(j.ID()), s.rackOf(worker), now)
	if !j.Repeatable() {
		s.forget(j.ID())
		return
	}
	if atFault && !s.without[Quarantine] {
		s.forget(j.ID())
		s.answers = append(s.answers, Decision{Action: Fail, Job: j, Reason: "it failed on several workers that run other jobs well"})
		return
	}
	s.again(r, now.Add(s.pause(j.ID())))
}

// pause returns how long a job waits after a failed start: twice as long after
// each, with a jitter that the job's id and the count of its failures give, so
// that jobs refused together do not come back together.
func (s *Scheduler) pause(id job.ID) time.Duration {
	n := s.refused[id]
	s.refused[id] = n + 1
	longest := min(startPause<<min(n, 10), longestWait)
	jitter := rand.New(rand.NewPCG(xxhash.Sum64String(string(id)), uint64(n)))
	return longest/2 + time.Duration(jitter.Int64N(int64(longest/2)))
}

// rackOf returns the ids of the workers in a worker's rack, itself included.
func (s *Scheduler) rackOf(worker string) []string {
	w, ok := s.zone.Inventory().Worker(worker)
	if !ok {
		return []string{worker}
	}
	var ids []string
	for _, o := range s.zone.Inventory().Workers() {
		if o.Rack() == w.Rack() {
			ids = append(ids, o.ID())
		}
	}
	return ids
}

// Bar says whether a worker is leaving and gets no new work. It goes beside the
// quarantine: a worker gets work when neither bars it.
func (s *Scheduler) Bar(worker string, leaving bool) {
	s.zone.Bar(worker, leaving || s.ill[worker])
	if leaving {
		s.leaving[worker] = true
	} else {
		delete(s.leaving, worker)
	}
	s.epoch++
}

// barIll makes the zone's bars follow the watch. It is done at each Decide,
// since whoever lists the workers sets the bars as well.
func (s *Scheduler) barIll() {
	if s.without[Quarantine] {
		return
	}
	for w := range s.ill {
		if !s.watch.Out(w) {
			delete(s.ill, w)
			s.bar(w, s.leaving[w])
			s.epoch++
		}
	}
	for _, w := range s.watch.All() {
		s.ill[w] = true
		s.bar(w, true)
	}
}

// Quarantined returns the workers that are barred for failing what they start.
func (s *Scheduler) Quarantined() []string { return s.watch.All() }

// describe says in a few words why a start is where it is.
func describe(it queue.Item, now time.Time) string {
	return fmt.Sprintf("room is free, after waiting %s", now.Sub(it.Since).Round(time.Millisecond))
}
