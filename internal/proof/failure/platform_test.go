package failure_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/settings"
	"guavaglade.example/guavaglade/internal/platform/ledger"
	"guavaglade.example/guavaglade/internal/standin/platform"
	"guavaglade.example/guavaglade/internal/standin/site"
	"guavaglade.example/guavaglade/internal/work/job"
)

// TestPlatformDown tells of the platform's store that is down for long. What may
// run twice is served. A long job is served, its caller is told that it is not
// durable, and its outcome is kept once the platform is back. What may run once
// only is refused as not run, unless its caller has a ticket: that is served
// once, however often it is asked for.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := open(t)
	ticket, err := s.caller(0).Ticket(s.ctx)
	is.NoErr(err)
	s.Platform().SetFaults(platform.Faults{Down: true})

	s.succeeds(0, "quick", "quick", 10)
	v, err := s.submit(0, "forecast", "forecast", 10)
	is.NoErr(err)
	is.Equal(v.State, job.Succeeded)
	is.True(!v.Durable)

	_, err = s.submit(0, "bill", "refused", 10)
	is.True(notRun(err)) // refused, with a time to come back
	ticketed := request("bill", "ticketed", 10)
	ticketed.Ticket = ticket.Ticket
	for _, host := range []int{0, 1, 0} {
		v, err = s.caller(host).Submit(s.ctx, ticketed, wait)
		is.NoErr(err)
		is.Equal(v.State, job.Succeeded)
	}
	is.Equal(s.starts("ticketed"), 1)

	_, err = s.operator(0).Apply(s.ctx, 1, "change-2", configuration+"# two\n")
	is.Equal(problem(err).Type, "notAccepted")
	is.True(s.inForce(1))

	s.Platform().SetFaults(platform.Faults{})
	rows := ledger.New(s.Store(), "reader")
	s.until("the outcome of the long job in the table", func() bool {
		o, ok, err := rows.Outcome(s.ctx, job.NewID("norte", "forecast"))
		return err == nil && ok && o.State == job.Succeeded
	})
	s.until("the same change accepted", func() bool {
		_, err := s.operator(0).Apply(s.ctx, 1, "change-2", configuration+"# two\n")
		return err == nil
	})
	s.until("version 2 in force", func() bool { return s.inForce(2) })
	is.Equal(s.starts("refused"), 0)
}

// TestBurstBeyondShare tells of a burst of jobs that may run once only, which
// takes more writes than a host's share of the platform. The platform works: no
// caller may be refused as if it did not, and each job runs once, a little later.
func TestBurstBeyondShare(t *testing.T) {
	t.Parallel()
	const writes, reads, bills = 60, 2000, 48 // 10 writes a second for each host
	s := open(t, site.WithSettings(settings.WithPlatformRates(writes, reads)))
	at := s.placer() // whose claims take the share
	each(bills, func(i int) {
		time.Sleep(time.Duration(i) * 30 * time.Millisecond) // the claims of the first meet the last
		s.succeeds(at, "bill", fmt.Sprint("bill-", i), 10)
	})
	for i := range bills {
		if n := s.starts(fmt.Sprint("bill-", i)); n != 1 {
			t.Errorf("bill-%d was started %d times", i, n)
		}
	}
}

// TestAnswersLost tells of a platform that makes each write and loses the
// answer. Whoever asked cannot know: a job that may run once only must not be
// started twice when the claim is asked for again, and a change of configuration
// must not be made twice, nor an operator be told that it was refused.
func TestAnswersLost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := open(t)
	s.Platform().SetFaults(platform.Faults{LoseAnswers: true})
	const bills = 12
	done := make(chan struct{})
	go func() {
		defer close(done)
		each(bills, func(i int) {
			id := fmt.Sprint("bill-", i)
			v, err := s.submit(i%len(s.Hosts()), "bill", id, 10)
			n := s.starts(id)
			switch {
			case err != nil && notRun(err) && n == 0, err == nil && v.State == job.Succeeded && n == 1:
			case err == nil && v.State == job.NotRun && n == 0:
			default:
				t.Errorf("%s: %+v %v, started %d times", id, v, err, n)
			}
		})
	}()
	_, err := s.operator(0).Apply(s.ctx, 1, "change-2", configuration+"# two\n")
	if err != nil {
		is.Equal(problem(err).Type, "notKnownYet") // and never that it was refused
	}
	s.Platform().SetFaults(platform.Faults{})
	c, err := s.operator(1).Apply(s.ctx, 1, "change-2", configuration+"# two\n")
	is.NoErr(err)
	is.Equal(c.Version, int64(2)) // made once
	<-done
	for i := range bills {
		is.True(s.starts(fmt.Sprint("bill-", i)) <= 1)
	}
}

// TestOperatorsRace tells of eight operators that rewrite the same version at
// once at different hosts. One change is accepted. The others are told what is
// current, and theirs are not in force anywhere.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := open(t)
	const operators = 8
	results := make([]error, operators)
	each(operators, func(i int) {
		_, results[i] = s.operator(i%len(s.Hosts())).Apply(s.ctx, 1, fmt.Sprint("by-", i), fmt.Sprintf("%s# by %d\n", configuration, i))
	})
	winner := -1
	for i, err := range results {
		switch {
		case err == nil && winner < 0:
			winner = i
		case err == nil:
			t.Errorf("both %d and %d were accepted", winner, i)
		default:
			is.Equal(problem(err).Status, http.StatusConflict)
			is.Equal(problem(err).Current, int64(2))
		}
	}
	is.True(winner >= 0)
	s.until("version 2 in force", func() bool { return s.inForce(2) })
	for i := range s.Hosts() {
		c, err := s.operator(i).Configuration(s.ctx)
		is.NoErr(err)
		is.Equal(c.Change, fmt.Sprint("by-", winner))
	}
}
