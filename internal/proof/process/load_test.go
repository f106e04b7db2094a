package process_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/host/api"
	"guavaglade.example/guavaglade/internal/host/server"
	"guavaglade.example/guavaglade/internal/operator/client"
	"guavaglade.example/guavaglade/internal/work/job"
)

// balancer deals requests out over the hosts that say they are ready, as the
// platform's balancer does: it asks each of them often and is a little behind.
type balancer struct {
	mu    sync.Mutex
	ready []string
	next  int
}

func (b *balancer) watch(r *rig, done <-chan struct{}) {
	for {
		var up []string
		for _, a := range r.callers() {
			if ready(a) {
				up = append(up, a)
			}
		}
		b.mu.Lock()
		b.ready = up
		b.mu.Unlock()
		select {
		case <-done:
			return
		case <-time.After(pollEvery):
		}
	}
}

func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// result is what a caller was told of one request.
type result struct {
	kind     string
	id       job.ID
	view     api.JobView
	problem  *client.Error // the last refusal, nil if it was taken
	cut      []string      // connections that broke, and why
	begun    time.Time
	at       time.Time // when it ended
	entry    string    // the host that answered
	repeated int       // times asked for again
}

// load is callers that ask until it is ended. Each asks again after a cut, with
// the same request id, as a caller does; a refusal is final.
type load struct {
	r        *rig
	balancer balancer
	done     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	results  []result
}

// kinds is what callers ask for in turn, and for how long it runs.
var kinds = []struct {
	name   string
	millis int
}{{"quick", 50}, {"bill", 100}, {"quick", 200}, {"forecast", 300}, {"quick", 50}, {"gang", 150}, {"bill", 50}, {"quick", 20}}

// begin starts callers that ask until the load is ended.
func begin(r *rig, callers int) *load {
	l := &load{r: r, done: make(chan struct{})}
	go l.balancer.watch(r, l.done)
	r.until("a ready host", func() bool { return l.balancer.pick() != "" })
	for c := range callers {
		l.wg.Go(func() {
			for i := 0; !closed(l.done); i++ {
				k := kinds[(i+c)%len(kinds)]
				l.ask(k.name, fmt.Sprintf("c%d-%d", c, i), k.millis)
			}
		})
	}
	return l
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// end ends the load and returns what became of each request.
func (l *load) end() []result {
	close(l.done)
	l.wg.Wait()
	return l.results
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results)
}

func (l *load) ask(kind, id string, millis int) result {
	res := result{kind: kind, id: job.NewID("norte", id), begun: time.Now()}
	request := server.Request{RequestID: id, Service: "refill", Job: kind, Input: fmt.Appendf(nil, `{"runMillis": %d}`, millis)}
	address := l.balancer.pick()
	for end := time.Now().Add(patience); time.Now().Before(end); res.repeated++ {
		v, err := client.New([]string{address}, callerKey, nil).Submit(l.r.ctx, request, 20*time.Second)
		res.view, res.entry, res.problem = v, address, problemOf(err)
		switch {
		case res.problem != nil, err == nil && v.State.Final():
			res.at = time.Now()
			l.keep(res)
			return res
		case err != nil:
			res.cut = append(res.cut, err.Error())
			address = l.balancer.pick()
			time.Sleep(pollEvery)
		case v.AskAgainAt != "":
			address = v.AskAgainAt
		}
	}
	l.keep(res)
	return res
}

func (l *load) keep(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// starts returns how often members of each job were started at all workers.
func (r *rig) starts() map[job.ID]int {
	r.t.Helper()
	all := map[job.ID]int{}
	for _, t := range r.targets {
		res, err := http.Get("http://" + t.Address + "/v1/starts")
		if err != nil {
			r.t.Fatal(err)
		}
		var one map[job.ID]int
		err = json.NewDecoder(res.Body).Decode(&one)
		_ = res.Body.Close()
		if err != nil {
			r.t.Fatal(err)
		}
		for id, n := range one {
			all[id] += n
		}
	}
	return all
}

// audit holds what callers were told against what the workers counted, and
// returns the counts by what callers were told.
func (r *rig) audit(results []result) map[string]int {
	r.t.Helper()
	starts := r.starts()
	told := map[string]int{}
	for _, res := range results {
		told[res.told()]++
		for _, c := range res.cut {
			told["cut"]++
			r.t.Logf("cut: %s %s", res.id, c)
		}
		n := starts[res.id]
		switch {
		case res.view.State == job.Succeeded && n == 0:
			r.t.Errorf("%s succeeded and was never started", res.id)
		case res.view.State == job.NotRun && n > 0, res.problem != nil && res.problem.State == string(job.NotRun) && n > 0 && res.repeated == 0:
			r.t.Errorf("%s was not run, as its caller was told, and was started %d times", res.id, n)
		case res.kind == "bill" && n > 1:
			r.t.Errorf("%s may run once and was started %d times", res.id, n)
		}
		if want := "done " + string(res.id); res.view.State == job.Succeeded && string(res.view.Answer.Body()) != want {
			r.t.Errorf("%s was answered %q", res.id, res.view.Answer.Body())
		}
	}
	return told
}

// story logs all that is known of a job.
func (r *rig) story(id job.ID) {
	s, err := r.operator().Explain(r.ctx, string(id))
	r.t.Logf("%s: %s %s %v", id, s.State, s.Reason, err)
	for _, l := range s.Lines {
		r.t.Logf("  %s %s %s %s %s", l.At.Format("15:04:05.000"), l.State, l.Step, l.Peer, l.Text)
	}
}

func (res result) told() string {
	switch {
	case res.problem != nil && res.problem.State != "":
		return fmt.Sprintf("refused %d %s", res.problem.Status, res.problem.State)
	case res.problem != nil:
		return fmt.Sprintf("problem %d", res.problem.Status)
	case res.at.IsZero():
		return "no answer"
	default:
		return string(res.view.State)
	}
}

func tally(told map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(told)) {
		parts = append(parts, fmt.Sprintf("%s=%d", k, told[k]))
	}
	return strings.Join(parts, " ")
}
