package schedule

import (
	"time"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Action is what a decision asks for.
type Action int

// The actions.
const (
	Start  Action = iota // start the job on the assignment; its room is taken already
	Stop                 // checkpoint and stop the job by the deadline; it is queued again
	Refuse               // answer the job as not run, with the reason
)

// Decision is one thing to do.
type Decision struct {
	Action     Action
	Job        job.Job
	Assignment cell.Assignment // for Start
	Deadline   time.Time       // for Stop: when the grace is over
	RetryAfter time.Time       // for Refuse: when asking again makes sense; zero for never
	Reason     string          // why, for the job's story
}

// End says how a start came out.
type End int

// The ends of a start.
const (
	Done       End = iota // it ran and is over: succeeded, failed for good or cancelled
	Crashed               // the tasks failed on a worker; may be the worker's or the job's fault
	Reclaimed             // it was checkpointed and stopped: queued again
	NotStarted            // a worker refused the hold or start: queued again
	WorkerGone            // a worker of the gang was lost: queued again if repeatable
)

// Scheduler holds the queue and the room of one zone.
type Scheduler struct {
	zone    *placement.Zone
	config  *text.Config
	waiting []job.Job
	running map[job.ID]job.Job
}

// New returns a scheduler for the zone with an empty queue.
func New(z *placement.Zone) *Scheduler {
	return &Scheduler{zone: z, running: map[job.ID]job.Job{}}
}

// Zone returns the room that the scheduler decides about.
func (s *Scheduler) Zone() *placement.Zone { return s.zone }

// Configure puts a configuration in force; what runs is not cut by it.
func (s *Scheduler) Configure(c *text.Config, zone string) error {
	s.config = c
	return s.zone.SetGuarantees(c.Guarantees(zone))
}

// Submit queues a job. A job that is known already changes nothing.
func (s *Scheduler) Submit(j job.Job, _ time.Time) {
	if _, ok := s.running[j.ID()]; ok || s.Waiting(j.ID()) {
		return
	}
	s.waiting = append(s.waiting, j)
}

// Waiting reports whether the job is in the queue.
func (s *Scheduler) Waiting(id job.ID) bool {
	for _, w := range s.waiting {
		if w.ID() == id {
			return true
		}
	}
	return false
}

// Adopt takes over a job that runs already, as the workers' lists show it. It
// refuses an assignment whose room is taken.
func (s *Scheduler) Adopt(j job.Job, a cell.Assignment, since time.Time) error {
	if err := s.zone.Take(s.request(j), a, since); err != nil {
		return err
	}
	s.drop(j.ID())
	s.running[j.ID()] = j
	return nil
}

// Cancel takes a job out of the queue; it reports whether it was there. A job
// that runs is stopped by the caller and then given to Ended.
func (s *Scheduler) Cancel(id job.ID) bool { return s.drop(id) }

// Ended says that a started job is over and how. worker names the worker at
// fault for Crashed, NotStarted and WorkerGone; empty if not known.
func (s *Scheduler) Ended(id job.ID, end End, _ string, _ time.Time) {
	j, ok := s.running[id]
	if !ok {
		return
	}
	s.zone.Free(string(id))
	delete(s.running, id)
	if end != Done {
		s.waiting = append(s.waiting, j)
	}
}

// Decide returns what to do now. A job it starts has its room taken; a job it
// refuses is forgotten.
func (s *Scheduler) Decide(now time.Time) []Decision {
	var ds []Decision
	var still []job.Job
	for _, j := range s.waiting {
		if err := s.zone.CanEver(j.Shape()); err != nil {
			ds = append(ds, Decision{Action: Refuse, Job: j, Reason: err.Error()})
			continue
		}
		if d, ok := s.start(j, now); ok {
			ds = append(ds, d)
			continue
		}
		still = append(still, j)
	}
	s.waiting = still
	return ds
}

// NextWake returns when Decide should be called again at the latest if nothing
// happens before; the zero time for never.
func (s *Scheduler) NextWake(_ time.Time) time.Time { return time.Time{} }

func (s *Scheduler) start(j job.Job, now time.Time) (Decision, bool) {
	r := s.request(j)
	a, ok := s.zone.Place(r)
	if !ok {
		return Decision{}, false
	}
	if err := s.zone.Take(r, a, now); err != nil {
		return Decision{}, false
	}
	s.running[j.ID()] = j
	return Decision{Action: Start, Job: j, Assignment: a, Reason: "room is free"}, true
}

func (s *Scheduler) request(j job.Job) placement.Request {
	service, _ := s.config.Service(j.Service())
	return placement.Request{
		Owner: string(j.ID()), Account: j.Account(), Shape: j.Shape(),
		Guaranteed: j.Guaranteed(), Stoppable: j.Stoppable(),
		Weights: placement.Weights{Completion: service.Completion(), Fragmentation: service.Fragmentation()},
	}
}

func (s *Scheduler) drop(id job.ID) bool {
	for i, w := range s.waiting {
		if w.ID() == id {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}
