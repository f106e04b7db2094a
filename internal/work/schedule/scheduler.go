package schedule

import (
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/guarantee"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/fleet/quarantine"
	"guavaglade.example/guavaglade/internal/work/estimate"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/queue"
)

// Times of the scheduler.
const (
	Grace       = 1500 * time.Millisecond // from the warning of a victim to its hard stop
	RetryFull   = 30 * time.Second        // after which an account whose queue is full may ask again
	retryIdle   = time.Second             // a blocked bucket is tried again after it, whatever happened
	startPause  = 200 * time.Millisecond  // after the first refused start; doubles with each
	longestWait = 5 * time.Second         // bound of the pause after refused starts
)

// Scheduler holds the queue and the room of one zone.
type Scheduler struct {
	zone        *placement.Zone
	config      *text.Config
	guarantees  []guarantee.Guarantee // in force in the zone
	without     [guards]bool
	perAccount  int
	queue       *queue.Queue
	running     map[job.ID]*runner
	claims      []*claim   // in the order in which they were made
	answers     []Decision // refusals, throttles and stops that the next Decide gives
	shares      shares
	histories   estimate.Histories
	watch       *quarantine.Watch
	ill         map[string]bool      // workers that the watch barred in the zone
	leaving     map[string]bool      // workers that Bar barred
	refused     map[job.ID]int       // refused starts in a row
	possible    map[queue.Class]bool // classes that the zone could place once under the configuration
	reserved    reservation          // of the head that finds no room
	compactions attempts
	shifts      attempts
	blocked     map[queue.Class]attempt // when a class last found no room
	tidied      time.Time               // when tidying up was last tried
	kept        int                     // rooms kept for stopping runners so far, to name them apart
	epoch       int64                   // grows with whatever may make room
}

// runner is a job that was started and has not ended.
type runner struct {
	item     queue.Item
	request  placement.Request
	place    cell.Assignment
	since    time.Time
	stopBy   time.Time       // when its grace is over; zero if it was not asked to stop
	leftover []string        // owners that keep the rest of its room while it stops
	moveTo   cell.Assignment // the room that is kept for it elsewhere while it stops
	over     map[string]bool // workers on which it was over its cores at the last report
	progress progress        // of its parts
	held     map[string]int  // cores that it was throttled to, by worker
}

// New returns a scheduler for the zone with an empty queue.
func New(z *placement.Zone, opts ...Option) *Scheduler {
	s := &Scheduler{
		zone: z, running: map[job.ID]*runner{}, watch: quarantine.New(), ill: map[string]bool{}, leaving: map[string]bool{},
		refused: map[job.ID]int{}, possible: map[queue.Class]bool{}, blocked: map[queue.Class]attempt{},
	}
	for _, o := range opts {
		o(s)
	}
	s.queue = queue.New(s.perAccount)
	return s
}

// Zone returns the room that the scheduler decides about.
func (s *Scheduler) Zone() *placement.Zone { return s.zone }

// Queued returns how many jobs wait.
func (s *Scheduler) Queued() int { return s.queue.Len() + len(s.claims) }

// Configure puts a configuration in force; what runs is not cut by it. If its
// guarantees cannot all be packed on the workers that are there now, it is in
// force all the same, since it was accepted for the whole system, and the error
// says which guarantee is at risk.
func (s *Scheduler) Configure(c *text.Config, zone string) error {
	s.config, s.guarantees = c, c.Guarantees(zone)
	clear(s.possible)
	s.epoch++
	if err := s.zone.SetGuarantees(s.guarantees); err != nil {
		s.zone.ImposeGuarantees(s.guarantees)
		return fmt.Errorf("configure zone %s: in force, but at risk: %w", zone, err)
	}
	return nil
}

// Submit queues a job. A job that is known already changes nothing. If its
// account has too many waiting, the next Decide refuses it and says when to
// ask again.
func (s *Scheduler) Submit(j job.Job, now time.Time) {
	if s.known(j.ID()) {
		return
	}
	since := j.Submitted()
	if since.IsZero() || since.After(now) {
		since = now
	}
	if err := s.queue.Push(queue.Item{Job: j, Since: since}); err != nil {
		s.answers = append(s.answers, Decision{Action: Refuse, Job: j, Reason: err.Error(), RetryAfter: now.Add(RetryFull)})
	}
}

// Waiting reports whether the job waits, in the queue or for its victims.
func (s *Scheduler) Waiting(id job.ID) bool {
	return s.queue.Has(id) || s.claimOf(id) != nil
}

func (s *Scheduler) known(id job.ID) bool {
	if _, ok := s.running[id]; ok || s.Waiting(id) {
		return true
	}
	for _, d := range s.answers {
		if d.Job.ID() == id && (d.Action == Refuse || d.Action == Fail) {
			return true
		}
	}
	return false
}

// Adopt takes over a job that runs already, as the workers' lists show it. It
// refuses an assignment whose room is taken, and a job that is running here.
func (s *Scheduler) Adopt(j job.Job, a cell.Assignment, since time.Time) error {
	if _, ok := s.running[j.ID()]; ok {
		return fmt.Errorf("adopt %s: it runs already", j.ID())
	}
	s.Cancel(j.ID())
	r := s.request(j)
	if err := s.zone.Adopt(r, a, since); err != nil {
		return fmt.Errorf("adopt: %w", err)
	}
	s.run(queue.Item{Job: j, Since: since}, r, a, since)
	return nil
}

// Cancel takes a job out of the queue; it reports whether it was there. A job
// that runs is stopped by the caller and then given to Ended.
func (s *Scheduler) Cancel(id job.ID) bool {
	s.forget(id)
	if c := s.claimOf(id); c != nil {
		s.dropClaim(c, c.deadline)
		return true
	}
	_, ok := s.queue.Remove(id)
	return ok
}

// forget drops what is kept about a job beside its place in the queue.
func (s *Scheduler) forget(id job.ID) {
	delete(s.refused, id)
	s.watch.Forget(string(id))
}

// NextWake returns when Decide should be called again at the latest if nothing
// happens before; the zero time for never.
func (s *Scheduler) NextWake(now time.Time) time.Time {
	wake := s.queue.NextDeadline()
	sooner := func(t time.Time) {
		if !t.IsZero() && (wake.IsZero() || t.Before(wake)) {
			wake = t
		}
	}
	for _, c := range s.claims {
		if !c.overdue {
			sooner(c.deadline)
		}
	}
	if s.queue.Len() > 0 {
		sooner(now.Add(retryIdle))
	}
	if len(s.answers) > 0 {
		sooner(now)
	}
	return wake
}

func (s *Scheduler) run(it queue.Item, r placement.Request, a cell.Assignment, now time.Time) {
	s.running[it.Job.ID()] = &runner{item: it, request: r, place: a, since: now}
	s.shares.add(it.Job, 1)
	for _, w := range a.Workers() {
		s.watch.Started(w, string(it.Job.ID()), now)
	}
}

func (s *Scheduler) request(j job.Job) placement.Request {
	service, _ := s.config.Service(j.Service())
	completion, fragmentation := service.Weights(j.Kind())
	return placement.Request{
		Owner: string(j.ID()), Account: j.Account(), Shape: j.Shape(),
		Guaranteed: j.Guaranteed(), Stoppable: j.Stoppable(), Urgent: j.Urgent(),
		Weights: placement.Weights{Completion: completion, Fragmentation: fragmentation},
	}
}

func (s *Scheduler) kind(j job.Job) estimate.Kind {
	return estimate.Kind{Service: j.Service(), Name: j.Kind()}
}

// estimated returns the run time that a share q of the job's kind stay within.
func (s *Scheduler) estimated(j job.Job, q float64) time.Duration {
	if s.without[Estimates] {
		if j.Declared() > 0 {
			return j.Declared()
		}
		return estimate.Unknown
	}
	return s.histories.RunDeclared(s.kind(j), q, j.Declared())
}
