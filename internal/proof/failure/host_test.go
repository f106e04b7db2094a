package failure_test

import (
	"errors"
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/work/job"
)

// TestZoneCutOff tells of a zone whose hosts reach each other and their workers
// and nobody else. Both sides go on serving what may run twice. A change that is
// accepted outside comes into force inside after the cut is healed, and no host
// ever goes back.
func TestZoneCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := open(t)
	inside, outside := s.zone(), 1
	far := []string{s.PlatformAddress()}
	for _, h := range s.Hosts() {
		if h.Zone() != s.Hosts()[0].Zone() {
			far = append(far, h.Peer())
		}
	}
	for _, i := range inside {
		s.Net().Cut(s.Hosts()[i].Peer(), far...)
	}
	each(20, func(i int) {
		s.succeeds(inside[i%len(inside)], "quick", fmt.Sprint("in-", i), 10)
		s.succeeds(outside, "quick", fmt.Sprint("out-", i), 10)
	})
	_, err := s.submit(inside[0], "bill", "bill", 10)
	is.True(notRun(err))
	_, err = s.operator(outside).Apply(s.ctx, 1, "change-2", configuration+"# two\n")
	is.NoErr(err)
	for _, i := range inside {
		c, err := s.operator(i).Configuration(s.ctx)
		is.NoErr(err)
		is.Equal(c.Version, int64(1))
	}
	for _, i := range inside {
		s.Net().Heal(s.Hosts()[i].Peer(), far...)
	}
	s.until("version 2 in force", func() bool { return s.inForce(2) })
	s.until("what may run once served again", func() bool {
		v, err := s.submit(inside[0], "bill", "bill", 10)
		return err == nil && v.State == job.Succeeded
	})
	is.Equal(s.starts("bill"), 1)
}

// TestKilledHost tells of a host that dies at once while it places for its zone
// and answers callers. A long job that it answered for goes on and can be found
// at any other host. The caller of a request that may run once only asks again
// in another zone and gets the answer of the one run.
func TestKilledHost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := open(t)
	dead, far := s.placer(), 1
	_, err := s.caller(dead).Submit(s.ctx, request("forecast", "forecast", 4000), 0)
	is.NoErr(err)
	_, err = s.caller(dead).Submit(s.ctx, request("bill", "bill", 4000), 0)
	is.NoErr(err)
	s.state(dead, "forecast", job.Running)
	s.state(dead, "bill", job.Running)
	s.Hosts()[dead].Kill()

	v, err := s.submit(far, "bill", "bill", 4000)
	is.NoErr(err)
	is.Equal(v.State, job.Succeeded)
	is.Equal(s.starts("bill"), 1)
	s.state(far, "forecast", job.Succeeded)
	is.Equal(s.starts("forecast"), 1)
	s.succeeds(s.other(dead), "quick", "quick", 10)
	is.NoErr(s.Restart(s.ctx, dead))
	s.until("the replaced host serves", func() bool {
		v, err := s.submit(dead, "quick", "again", 10)
		return err == nil && v.State == job.Succeeded
	})
}

// TestKilledKeeper tells of a host that does not place and dies while it renews
// its share of the workers for the placer. The jobs run for longer than a lease:
// the placer must renew by itself in time, and none is started twice.
func TestKilledKeeper(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := open(t)
	placer := s.placer()
	const jobs, millis = 8, 14000
	for i := range jobs {
		_, err := s.caller(placer).Submit(s.ctx, request("quick", fmt.Sprint("kept-", i), millis), 0)
		is.NoErr(err)
	}
	for i := range jobs {
		s.state(placer, fmt.Sprint("kept-", i), job.Running)
	}
	s.Hosts()[s.other(placer)].Kill()
	for i := range jobs {
		s.state(placer, fmt.Sprint("kept-", i), job.Succeeded)
		is.Equal(s.starts(fmt.Sprint("kept-", i)), 1)
	}
}

// TestPlannedStop tells of a host that is stopped as planned while it places for
// its zone and callers wait for their answers at it and at its neighbour. No
// request is cut or lost.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := open(t)
	stopped := s.placer()
	done := make(chan struct{})
	const callers = 24
	go func() {
		defer close(done)
		each(callers, func(i int) {
			kinds := []string{"quick", "bill", "forecast"}
			at := []int{stopped, s.other(stopped)}[i%2]
			s.succeeds(at, kinds[i%len(kinds)], fmt.Sprint("wait-", i), 1500)
		})
	}()
	s.until("all submitted", func() bool {
		jobs, err := s.caller(stopped).Jobs(s.ctx) // of all hosts
		is.NoErr(err)
		return len(jobs) == callers
	})
	s.Hosts()[stopped].Stop()
	<-done
	if err := s.Hosts()[stopped].Ended(); !errors.Is(err, net.ErrClosed) {
		is.NoErr(err)
	}
	for i := range callers {
		is.Equal(s.starts(fmt.Sprint("wait-", i)), 1)
	}
	s.succeeds(s.other(stopped), "quick", "after", 10)
}

// TestCancellationWave tells of callers that take everything back at once, what
// waits and what runs. Each job comes to its end as cancelled, none starts
// after that, and all the room is free again.
func TestCancellationWave(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := open(t)
	const jobs = 60 // on 32 accelerators of the zone
	each(jobs, func(i int) {
		_, err := s.caller(0).Submit(s.ctx, request("quick", fmt.Sprint("wave-", i), 60000), 0)
		is.NoErr(err)
	})
	s.until("a full zone", func() bool { return s.free() == 0 })
	each(jobs, func(i int) {
		id := string(job.NewID("norte", fmt.Sprint("wave-", i)))
		_, err := s.caller(i%len(s.Hosts())).Cancel(s.ctx, id)
		is.NoErr(err)
	})
	// A job whose cancellation comes later may start where one has ended.
	ran := func() (n int) {
		for i := range jobs {
			s.state(0, fmt.Sprint("wave-", i), job.Cancelled)
			n += s.starts(fmt.Sprint("wave-", i))
		}
		return n
	}
	before := ran()
	s.until("a free zone", func() bool { return s.free() == 32 })
	each(40, func(i int) { s.succeeds(0, "quick", fmt.Sprint("after-", i), 10) })
	is.Equal(ran(), before)
}

// free returns the free accelerators of the first zone, as its placer knows them.
func (s *scene) free() int {
	views, err := s.operator(0).Fleet(s.ctx)
	if err != nil {
		return -1
	}
	n := 0
	for _, v := range views {
		for _, w := range v.Workers {
			if v.Zone == s.Hosts()[0].Zone() {
				n += w.Free
			}
		}
	}
	return n
}
