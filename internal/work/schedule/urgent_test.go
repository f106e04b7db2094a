package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/placement"
	"guavaglade.example/guavaglade/internal/work/job"
	"guavaglade.example/guavaglade/internal/work/schedule"
)

// fleet returns a scheduler for a zone with nothing running: of racks of eight
// workers, with the guarantees of a user if there are three racks or more.
func fleet(t *testing.T, workers int, opts ...schedule.Option) *schedule.Scheduler {
	t.Helper()
	s := schedule.New(placement.NewZone(nil), opts...)
	for i := range workers {
		w, err := cell.NewWorker(fmt.Sprintf("w%02d", i), "z", fmt.Sprintf("r%d", i/8), 8, 64, 256<<10, 8)
		if err != nil {
			t.Fatal(err)
		}
		s.Zone().AddWorker(w)
	}
	body := configText("recargaBella")
	if workers < 24 {
		body = fmt.Sprintf(smallText, 1, 2) // nothing is guaranteed
	}
	if err := s.Configure(parse(t, body), "z"); err != nil {
		t.Fatal(err)
	}
	return s
}

func newJob(t *testing.T, id, account, shape string, opts ...job.Option) job.Job {
	t.Helper()
	all := append([]job.Option{job.WithKind(shape), job.Repeatable(true), job.SubmittedAt(epoch, "", "z")}, opts...)
	j, err := job.New(job.ID(id), account, "s", shapeOf(t, shape), all...)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// fill submits jobs of one accelerator until the zone is full, and starts them.
func fill(t *testing.T, s *schedule.Scheduler) {
	t.Helper()
	for i := range 24 * 8 {
		s.Submit(newJob(t, fmt.Sprintf("lent%d", i), "formulas", "1 1 any", job.Stoppable(true)), epoch)
	}
	if ds := s.Decide(epoch); len(ds) != 24*8 {
		t.Fatalf("%d of %d jobs started", len(ds), 24*8)
	}
}

// A kiosk asks for urgent work while its account's room is lent to others, all
// of it. The borrowers are warned; some checkpoint in time and one never does.
// The urgent job must start within 2.1 s of its arrival, and nobody may take
// its room in between.
func TestUrgentWorkStartsInTimeInAFullZone(t *testing.T) {
	is := is.New(t)
	s := fleet(t, 24)
	fill(t, s)
	arrival := epoch.Add(time.Minute)
	urgent := newJob(t, "urgent", "kioscos", "1 8 worker", job.Urgent(true), job.SubmittedAt(arrival, "", "z"))
	s.Submit(urgent, arrival)
	stops := s.Decide(arrival)
	is.Equal(len(stops), 8)                                    // a worker's eight borrowers are warned
	is.Equal(s.NextWake(arrival), arrival.Add(schedule.Grace)) // to stop hard whoever is left
	s.Submit(newJob(t, "thief", "formulas", "1 1 any"), arrival)
	for i, d := range stops {
		is.Equal(d.Action, schedule.Stop)
		is.Equal(d.Deadline, arrival.Add(schedule.Grace))
		if i > 0 {
			s.Ended(d.Job.ID(), schedule.Reclaimed, "", arrival.Add(time.Second))
		}
	}
	is.Equal(len(s.Decide(arrival.Add(time.Second))), 0) // one still runs, and nobody else gets the room
	hard := s.Decide(arrival.Add(schedule.Grace))
	is.Equal(len(hard), 1) // the last is stopped hard
	is.Equal(hard[0].Action, schedule.Stop)
	is.Equal(hard[0].Deadline, arrival.Add(schedule.Grace))
	stopped := arrival.Add(schedule.Grace + 200*time.Millisecond)
	s.Ended(hard[0].Job.ID(), schedule.Reclaimed, "", stopped)
	started := s.Decide(stopped)
	is.Equal(started[0].Action, schedule.Start)
	is.Equal(started[0].Job.ID(), urgent.ID())
	is.True(stopped.Sub(arrival) <= startWithin)
	is.Equal(s.Queued(), 9) // the victims and the thief wait
}

// A reclaimed job is queued again. If it had to go behind those that came after
// it, a borrower could be put back again and again and never end.
func TestReclaimedJobKeepsItsPlace(t *testing.T) {
	is := is.New(t)
	s := fleet(t, 24)
	fill(t, s)
	s.Submit(newJob(t, "later", "formulas", "1 1 any", job.Stoppable(true), job.SubmittedAt(epoch.Add(time.Second), "", "z")), epoch.Add(time.Second))
	s.Ended("lent7", schedule.Reclaimed, "", epoch.Add(2*time.Second))
	ds := s.Decide(epoch.Add(2 * time.Second))
	is.Equal(len(ds), 1)
	is.Equal(ds[0].Job.ID(), job.ID("lent7"))
}

// A job that can never run, one whose deadline is past and one above its
// account's bound are answered at once, and never started.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	s := fleet(t, 24, schedule.PerAccount(2))
	s.Submit(newJob(t, "tooLarge", "formulas", "9 8 rack"), epoch)
	s.Submit(newJob(t, "keptOut", "formulas", "24 8 any"), epoch)
	ds := s.Decide(epoch)
	is.Equal(len(ds), 2)
	is.Equal([]schedule.Action{ds[0].Action, ds[1].Action}, []schedule.Action{schedule.Refuse, schedule.Refuse})
	is.True(ds[0].RetryAfter.IsZero()) // asking again makes no sense
	for i := range 3 {
		s.Submit(newJob(t, fmt.Sprintf("burst%d", i), "kioscos", "1 1 any"), epoch)
	}
	ds = s.Decide(epoch)
	is.Equal(ds[0].Action, schedule.Refuse)
	is.Equal(ds[0].Job.ID(), job.ID("burst2"))
	is.Equal(ds[0].RetryAfter, epoch.Add(schedule.RetryFull))
	is.Equal(len(ds), 3)
	s = fleet(t, 24)
	fill(t, s)
	s.Submit(newJob(t, "late", "entregas", "1 1 any", job.StartBy(epoch.Add(time.Second))), epoch)
	is.Equal(len(s.Decide(epoch)), 0)
	is.Equal(s.NextWake(epoch), epoch.Add(time.Second))
	ds = s.Decide(epoch.Add(time.Second))
	is.Equal(len(ds), 1)
	is.Equal(ds[0].Action, schedule.Refuse)
}

// Small jobs keep coming while a gang waits for a whole rack. They may pass it,
// but only those that end before its planned start or stand elsewhere: the
// planned start never moves back.
func TestBackfillNeverMovesThePlannedStart(t *testing.T) {
	is := is.New(t)
	s := fleet(t, 8, schedule.Without(schedule.Compaction, schedule.Estimates)) // declared times are right here
	is.NoErr(s.Configure(parse(t, fmt.Sprintf(smallText, 1, 2)), "z"))          // no guarantees
	fixed := []job.Option{job.Declared(time.Hour)}
	for i := range 4 {
		s.Submit(newJob(t, fmt.Sprintf("fixed%d", i), "formulas", "1 8 worker", fixed...), epoch)
	}
	is.Equal(len(s.Decide(epoch)), 4)
	s.Submit(newJob(t, "gang", "entregas", "8 8 rack", job.Stoppable(true)), epoch)
	s.Decide(epoch)
	head, planned, ok := s.Planned()
	is.True(ok)
	is.Equal(head, job.ID("gang"))
	ends := map[job.ID]time.Time{}
	for i := range 200 {
		now := epoch.Add(time.Duration(i) * 20 * time.Second)
		run := time.Duration(1+i*37%120) * time.Minute
		s.Submit(newJob(t, fmt.Sprintf("small%d", i), "kioscos", "1 2 any", job.Declared(run), job.SubmittedAt(now, "", "z")), now)
		for _, d := range s.Decide(now) {
			if d.Job.ID() == "gang" {
				is.True(!now.After(planned.Add(20 * time.Second))) // the step of this test
				return
			}
			ends[d.Job.ID()] = now.Add(d.Job.Declared())
		}
		if _, at, ok := s.Planned(); ok && now.Before(planned) {
			is.Equal(at, planned)
		}
		for i := range 4 {
			ends[job.ID(fmt.Sprintf("fixed%d", i))] = planned
		}
		for id, at := range ends {
			if !at.After(now) {
				s.Ended(id, schedule.Done, "", now)
			}
		}
	}
	t.Fatal("the gang never started")
}

// A job takes memory and cores that its neighbours were granted. Its cores are
// held to its grant, on the second report since reports lag; for memory it is
// stopped. What nobody was granted may be used.
func TestOveruseIsThrottledOrStopped(t *testing.T) {
	is := is.New(t)
	s := fleet(t, 24)
	fill(t, s) // each member is granted 2 cores and 8 GB; 48 cores and 192 GB of a worker are nobody's
	a := s.Zone().Inventory().Owners("w00")[0]
	s.Used(job.ID(a), "w00", 50, 8<<10, epoch)
	s.Used(job.ID(a), "w00", 50, 8<<10, epoch)
	is.Equal(len(s.Decide(epoch)), 0) // two granted and 48 spare
	s.Used(job.ID(a), "w00", 51, 8<<10, epoch)
	is.Equal(len(s.Decide(epoch)), 0) // once may be lag
	s.Used(job.ID(a), "w00", 51, 8<<10, epoch)
	ds := s.Decide(epoch)
	is.Equal(len(ds), 1)
	is.Equal(ds[0].Action, schedule.Throttle)
	is.Equal(ds[0].Cores, 2)
	s.Used(job.ID(a), "w00", 1, 201<<10, epoch)
	ds = s.Decide(epoch)
	is.Equal(len(ds), 1)
	is.Equal(ds[0].Action, schedule.Stop)
}

// One worker fails whatever it starts at once, so it is always free and draws
// the whole queue to it. It must be barred after a few distinct jobs, and come
// back by a probe; a job that fails everywhere must fail for good instead.
func TestFastFailingWorkerIsBarred(t *testing.T) {
	is := is.New(t)
	s := fleet(t, 24)
	crashes, ill := 0, ""
	for i := range 300 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		s.Submit(newJob(t, fmt.Sprintf("j%d", i), "formulas", "1 1 any", job.SubmittedAt(now, "", "z")), now)
		for _, d := range s.Decide(now) {
			w := d.Assignment[0].Worker
			if ill == "" {
				ill = w // the one that the policy likes best
			}
			if w == ill {
				s.Ended(d.Job.ID(), schedule.Crashed, w, now)
				crashes++
			} else {
				s.Ended(d.Job.ID(), schedule.Done, "", now)
			}
		}
	}
	is.Equal(s.Quarantined(), []string{ill})
	is.True(crashes <= 4) // three and a probe, of 300
}

// A job fails on every worker. The workers run others well, so after three of
// them it is the job that is at fault: it is answered, and no worker is barred.
func TestFailingJobFailsForGood(t *testing.T) {
	is := is.New(t)
	s := fleet(t, 24)
	s.Submit(newJob(t, "bad", "formulas", "1 8 worker"), epoch)
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * time.Second)
		s.Submit(newJob(t, fmt.Sprintf("good%d", i), "kioscos", "1 8 worker", job.SubmittedAt(now, "", "z")), now)
		for _, d := range s.Decide(now) {
			if d.Action == schedule.Fail {
				is.Equal(len(s.Quarantined()), 0)
				is.Equal(s.Queued(), 0)
				return
			}
			w := d.Assignment[0].Worker
			end := schedule.Done
			if d.Job.ID() == "bad" {
				end = schedule.Crashed
			}
			s.Ended(d.Job.ID(), end, w, now)
		}
	}
	t.Fatal("the job was tried for ever")
}

// One worker of a gang is slow: it uses a tenth of the others' cores, report
// after report, and is not done when they are. Both are reported, by its name.
func TestStragglersAreReported(t *testing.T) {
	is := is.New(t)
	s := fleet(t, 24)
	s.Submit(newJob(t, "gang", "formulas", "4 8 rack"), epoch)
	workers := s.Decide(epoch)[0].Assignment.Workers()
	for i := range 4 { // in the first there is nothing yet to compare with
		is.Equal(len(s.Stragglers(epoch)), 0)
		for n, w := range workers {
			s.Used("gang", w, []int{10, 1, 12, 11}[n], 1, epoch.Add(time.Duration(i)*time.Second))
		}
	}
	slow := s.Stragglers(epoch)
	is.Equal(len(slow), 1)
	is.Equal(slow[0].Worker, workers[1])
	s.Used("gang", workers[1], 9, 1, epoch) // it has caught up
	is.Equal(len(s.Stragglers(epoch)), 0)
	s.PartEnded("gang", workers[0], epoch.Add(100*time.Second))
	s.PartEnded("gang", workers[2], epoch.Add(100*time.Second))
	s.PartEnded("gang", workers[3], epoch.Add(110*time.Second))
	is.Equal(len(s.Stragglers(epoch.Add(165*time.Second))), 0)
	late := s.Stragglers(epoch.Add(166 * time.Second))
	is.Equal(len(late), 1)
	is.Equal(late[0].Worker, workers[1])
}
