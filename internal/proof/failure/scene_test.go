package failure_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/host/api"
	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/host/server"
	"guavaglade.example/guavaglade/internal/operator/client"
	"guavaglade.example/guavaglade/internal/standin/fleet"
	"guavaglade.example/guavaglade/internal/standin/platform"
	"guavaglade.example/guavaglade/internal/standin/site"
	"guavaglade.example/guavaglade/internal/work/job"
)

const (
	operatorKey = "automation"
	callerKey   = "norte"
	patience    = 50 * time.Second // a bound on every wait, not a verdict
	pollEvery   = 10 * time.Millisecond
	wait        = 40 * time.Second // of callers, longer than any answer takes
)

var configuration = `
[service refill]
objectiveTarget = 0.99
objectiveWithin = 10s
[job refill.quick]
accelerators = 1
[job refill.bill]
accelerators = 1
repeatable = false
[job refill.forecast]
accelerators = 1
long = true
[account norte]
keyHash = ` + credential.NewKey(callerKey).Hash() + `
[account automation]
operator = true
keyHash = ` + credential.NewKey(operatorKey).Hash() + "\n"

// scene is a site with the configuration in force on all hosts.
type scene struct {
	*site.Site
	t   *testing.T
	ctx context.Context
}

// open starts a site of six hosts and twelve workers in three zones.
func open(t *testing.T, opts ...site.Option) *scene {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel)
	b, err := site.Start(ctx, append(opts, site.WithOperatorKey(credential.NewKey(operatorKey).Hash()))...)
	if err != nil {
		t.Fatal(err)
	}
	s := &scene{b, t, ctx}
	t.Cleanup(func() {
		b.Platform().SetFaults(platform.Faults{})
		if err := b.Stop(); err != nil {
			t.Error(err)
		}
	})
	if _, err := s.operator(0).Apply(ctx, 0, "change-1", configuration); err != nil {
		t.Fatal(err)
	}
	s.until("version 1 in force on all hosts, and all workers known", func() bool {
		return s.inForce(1) && s.known()
	})
	return s
}

func (s *scene) inForce(version int64) bool {
	for i := range s.Hosts() {
		if c, err := s.operator(i).Configuration(s.ctx); err != nil || c.Version != version {
			return false
		}
	}
	return true
}

// known reports whether the hosts have found each other and each zone's placer
// its workers.
func (s *scene) known() bool {
	for i := range s.Hosts() {
		views, err := s.operator(i).Fleet(s.ctx)
		n := 0
		for _, v := range views {
			n += len(v.Workers)
		}
		if err != nil || n != len(s.Fleet().Targets()) {
			return false
		}
	}
	return true
}

// operator returns a client of one host alone, with the operator's key.
func (s *scene) operator(host int) *client.Client {
	return client.New([]string{s.Hosts()[host].Caller()}, operatorKey, nil)
}

func (s *scene) caller(host int) *client.Client {
	return client.New([]string{s.Hosts()[host].Caller()}, callerKey, nil)
}

func request(kind, id string, millis int) server.Request {
	return server.Request{RequestID: id, Service: "refill", Job: kind, Input: fmt.Appendf(nil, `{"runMillis": %d}`, millis)}
}

// submit asks one host for a job and waits for its end.
func (s *scene) submit(host int, kind, id string, millis int) (api.JobView, error) {
	return s.caller(host).Submit(s.ctx, request(kind, id, millis), wait)
}

// succeeds fails the test unless the job comes to a good end with its own answer.
func (s *scene) succeeds(host int, kind, id string, millis int) {
	s.t.Helper()
	v, err := s.submit(host, kind, id, millis)
	if err != nil || v.State != job.Succeeded || string(v.Answer.Body()) != "done "+string(v.ID) {
		s.t.Errorf("%s at host %d: %+v %v", id, host, v, err)
	}
}

// starts returns how often the job was started at all workers.
func (s *scene) starts(id string) int {
	n := 0
	for _, t := range s.Fleet().Targets() {
		n += s.Fleet().Server(t.ID).Starts(job.NewID("norte", id))
	}
	return n
}

func (s *scene) holds(worker string) (n int) {
	s.Fleet().Server(worker).With(func(w *fleet.Worker) { n = w.Holds() })
	return n
}

// until polls until the condition holds and fails the test if it never does.
func (s *scene) until(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(pollEvery) {
		if time.Now().After(end) {
			s.t.Fatalf("waited %s in vain for %s", patience, what)
		}
	}
}

// state polls until a job is in the state.
func (s *scene) state(host int, id string, want job.State) {
	s.t.Helper()
	s.until(id+" "+string(want), func() bool {
		v, err := s.caller(host).Job(s.ctx, string(job.NewID("norte", id)), 0)
		return err == nil && v.State == want
	})
}

// placer returns the host that places for the first zone, once its hosts agree.
func (s *scene) placer() int {
	s.t.Helper()
	found := -1
	s.until("a placer", func() bool {
		var views []server.ZoneView
		for _, i := range s.zone() {
			vs, err := s.operator(i).Fleet(s.ctx)
			if err != nil || len(vs) == 0 {
				return false
			}
			for _, v := range vs {
				if v.Zone == s.Hosts()[0].Zone() {
					views = append(views, v)
				}
			}
		}
		for _, i := range s.zone() {
			if views[0].Placer == s.Hosts()[i].Process().Node().ID() && len(views) > 1 && views[1].Placer == views[0].Placer {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// zone returns the hosts of the first zone.
func (s *scene) zone() (hosts []int) {
	for i, h := range s.Hosts() {
		if h.Zone() == s.Hosts()[0].Zone() {
			hosts = append(hosts, i)
		}
	}
	return hosts
}

// workers returns the workers of the first zone.
func (s *scene) workers() (ids []string) {
	for _, t := range s.Fleet().Targets() {
		if t.Zone == s.Hosts()[0].Zone() {
			ids = append(ids, t.ID)
		}
	}
	return ids
}

// other returns a host of the first zone that is not this one.
func (s *scene) other(host int) int {
	for _, i := range s.zone() {
		if i != host {
			return i
		}
	}
	return host
}

// each runs f so many times at once and waits for all.
func each(n int, f func(i int)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}

// problem returns what a host refused with; the zero problem for none.
func problem(err error) api.Problem {
	var p *client.Error
	if errors.As(err, &p) {
		return p.Problem
	}
	return api.Problem{}
}

// notRun reports whether a request was refused as not run with a time to come back.
func notRun(err error) bool {
	p := problem(err)
	return p.Status == http.StatusServiceUnavailable && p.State == string(job.NotRun) && !p.RetryAfter.IsZero()
}
