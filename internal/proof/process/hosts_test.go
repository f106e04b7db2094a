package process_test

import (
	"fmt"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/host/server"
	"guavaglade.example/guavaglade/internal/operator/client"
	"guavaglade.example/guavaglade/internal/work/job"
)

// TestRollingReplacement tells of an operator who replaces every host, one after
// the other, while callers ask. No caller may see a broken connection or lose
// its request: each host says first that it is not ready, answers those who wait
// or says where to ask again, and hands its jobs over.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	hosts, callers := 6, 12
	if *long {
		hosts, callers = 8, 48
	}
	r := start(t, hosts, 24)
	l := begin(r, callers)
	begun := time.Now()
	for _, h := range r.hosts {
		r.stop(h)
		r.serve(h)
		r.untilReady(h)
	}
	took := time.Since(begun)
	results := l.end()
	told := r.audit(results)
	t.Logf("%d hosts replaced in %s, %d requests: %s", hosts, took.Round(time.Millisecond), len(results), tally(told))
	if told[string(job.Succeeded)] != len(results) || told["cut"] > 0 {
		t.Errorf("of %d requests %s; want all succeeded and none cut", len(results), tally(told))
	}
}

// settled is how long the hosts are left alone before the next kill.
const settled = 4 * time.Second

// TestKilledPlacer tells of a host that dies at once, with everything in its
// memory, while it places for its zone and callers ask. Its peers see it gone,
// another one places from what the workers say, and the work goes on: callers
// that were cut ask again under the same id and get their answer, and what may
// run once only is started at most once.
func TestKilledPlacer(t *testing.T) {
	t.Parallel()
	hosts, callers, kills := 6, 12, 1
	if *long {
		hosts, callers, kills = 8, 48, 10
	}
	r := start(t, hosts, 24)
	l := begin(r, callers)
	for i := range kills {
		r.until("some answers", func() bool { return l.count() > 50*(i+1) })
		time.Sleep(settled) // a host that is back takes its duty back after a while
		dead := r.placer("leon")
		r.kill(dead)
		t.Logf("time to the next placement: %s", r.nextPlacement(dead, i).Round(time.Millisecond))
		r.serve(dead)
		r.untilReady(dead)
	}
	results := l.end()
	told := r.audit(results)
	t.Logf("%d kills, %d requests: %s", kills, len(results), tally(told))
	for _, res := range results {
		// What was under way for a request that may run once only when its
		// placer died can be lost, but is then said to be.
		lost := res.kind == "bill" && res.view.State == job.Lost
		if res.view.State != job.Succeeded {
			r.story(res.id)
		}
		if res.view.State != job.Succeeded && !lost {
			t.Errorf("%s: %s after %d repetitions: %+v %v", res.id, res.told(), res.repeated, res.view, res.problem)
		}
	}
}

// nextPlacement returns how long after now a job of the dead host's zone starts.
func (r *rig) nextPlacement(dead *host, n int) time.Duration {
	r.t.Helper()
	begun := time.Now()
	for _, h := range r.hosts {
		if h.zone != dead.zone || h == dead {
			continue
		}
		id := fmt.Sprint("probe-", n)
		request := server.Request{RequestID: id, Service: "refill", Job: "quick", Input: []byte(`{"runMillis": 1}`)}
		v, err := client.New([]string{h.callers}, callerKey, nil).Submit(r.ctx, request, patience)
		if err != nil || v.State != job.Succeeded {
			r.t.Errorf("after the placer's death: %+v %v", v, err)
		}
		break
	}
	return time.Since(begun)
}
