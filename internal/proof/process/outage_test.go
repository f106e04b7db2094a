package process_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/platform/ledger"
	"guavaglade.example/guavaglade/internal/platform/remote"
	"guavaglade.example/guavaglade/internal/work/job"
)

// TestPlatformDown tells of the platform's store that refuses everything for a
// while, as seen by callers. What may run twice is served all the same; a long
// job is served from memory and its outcome is written once the platform is
// back; what may run once only is refused as not run, with a time to come back,
// and does not run.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	outage, callers := 5*time.Second, 12
	if *long {
		outage, callers = time.Minute, 48
	}
	r := start(t, 6, 24)
	l := begin(r, callers)
	r.until("some answers", func() bool { return l.count() > 30 })
	r.fault(true)
	down := time.Now()
	time.Sleep(outage)
	r.fault(false)
	back := time.Now()
	r.until("what may run once is served again", func() bool {
		return l.ask("bill", fmt.Sprint("again-", time.Now().UnixNano()), 1).view.State == job.Succeeded
	})
	t.Logf("the first job that may run once is served %s after the platform is back", time.Since(back).Round(time.Millisecond))
	results := l.end()
	r.audit(results)
	r.served(results, down, back)
	r.caughtUp(results, back)
}

// fault switches the stand-in platform off or on.
func (r *rig) fault(down bool) {
	r.t.Helper()
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPut, "http://"+r.platform+"/v1/faults", bytes.NewReader(fmt.Appendf(nil, `{"down": %t}`, down)))
	if err != nil {
		r.t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	_ = res.Body.Close()
}

// served checks what callers were told of requests that fell into the outage.
func (r *rig) served(results []result, down, back time.Time) {
	r.t.Helper()
	told := map[string]int{}
	for _, res := range results {
		during := res.begun.After(down) && res.at.Before(back)
		if during {
			told[res.kind+" "+res.told()]++
		}
		refused := res.problem != nil && res.problem.State == string(job.NotRun) && !res.problem.RetryAfter.IsZero()
		switch {
		case res.view.State == job.Succeeded:
		case res.kind == "bill" && refused:
		default:
			r.story(res.id)
			r.t.Errorf("%s: %s: %v", res.id, res.told(), res.problem)
		}
	}
	r.t.Logf("while the platform was down: %s", tally(told))
	if told["bill refused 503 notRun"] == 0 || told["forecast succeeded"] == 0 || told["quick succeeded"] == 0 {
		r.t.Errorf("while the platform was down: %s", tally(told))
	}
}

// caughtUp waits until the outcome of every long job is in the platform's table.
func (r *rig) caughtUp(results []result, back time.Time) {
	r.t.Helper()
	rows := ledger.New(remote.New(r.platform, nil), "reader")
	n := 0
	for _, res := range results {
		if res.kind != "forecast" {
			continue
		}
		n++
		r.until(string(res.id)+" recorded", func() bool {
			o, ok, err := rows.Outcome(r.ctx, res.id)
			if ok && o.State != res.view.State {
				r.t.Errorf("%s is recorded as %s and was answered as %s", res.id, o.State, res.view.State)
			}
			return ok && err == nil
		})
	}
	r.t.Logf("the outcomes of all %d long jobs are recorded at most %s after the platform is back", n, time.Since(back).Round(time.Millisecond))
}
