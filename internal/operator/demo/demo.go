package demo

import (
	"context"
	_ "embed" // the demo's configuration text
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/host/api"
	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/operator/client"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/site"
	"guavaglade.example/guavaglade/internal/work/progress"
	"guavaglade.example/guavaglade/internal/work/request"
)

//go:embed demo.ini
var configuration string

// Keys of the demo. They are valid in the demo only.
const (
	operatorKey = "demo-operator"
	accountKey  = "demo-norte"
	otherKey    = "demo-sur"
)

// Inputs of the demo's jobs, which the stand-in targets interpret.
var (
	quickInput = []byte(`{"runMillis": 200}`)
	slowInput  = []byte(`{"runMillis": 3000}`)
)

const (
	quickTime    = 200 * time.Millisecond
	pollInterval = 20 * time.Millisecond
)

// errUnexpected is the error for a request whose outcome is not the expected one.
var errUnexpected = errors.New("unexpected outcome")

// outcome is the result of a request of the demo, and the state that it should have.
type outcome struct {
	scenario string
	view     api.JobView
	err      error
	want     progress.State
	duration time.Duration
}

// Run runs the demo and prints the outcome of each request and, if all are as expected,
// the burn report. Another outcome is an error.
func Run(ctx context.Context, out io.Writer, log logr.Logger) error {
	d, err := start(ctx, credential.NewKey(operatorKey).Hash(), log)
	if err != nil {
		return err
	}
	outcomes, err := runRequests(ctx, d, out)
	if err == nil {
		err = printOutcomes(out, outcomes)
	}
	if err == nil {
		err = printBurn(ctx, d, out)
	}
	return errors.Join(err, d.close())
}

// printBurn prints the burn report of all hosts.
func printBurn(ctx context.Context, d *deployment, out io.Writer) error {
	r, err := client.New(d.hosts.CallerAddresses(0), operatorKey, nil).Burn(ctx)
	if err != nil {
		return err
	}
	return r.WriteText(out)
}

// runRequests applies the configuration and runs the scenarios one after another.
func runRequests(ctx context.Context, d *deployment, out io.Writer) ([]outcome, error) {
	if err := apply(ctx, d, out); err != nil {
		return nil, err
	}
	var outcomes []outcome
	outcomes = append(outcomes, submitToAll(ctx, d, 12, "small jobs", accountKey, "refill.label", quickInput, progress.Completed)...)
	outcomes = append(outcomes,
		submit(ctx, d, 0, "gang of 16", accountKey, "refill.plan", "gang", quickInput, progress.Completed),
		submit(ctx, d, 1, "at most once", accountKey, "refill.bill", "bill", quickInput, progress.Completed),
		submit(ctx, d, 2, "repeated request", accountKey, "refill.bill", "bill", quickInput, progress.Completed),
		submit(ctx, d, 2, "too large to place", accountKey, "refill.huge", "huge", quickInput, progress.NotRun),
	)
	outcomes = append(outcomes, reclaim(ctx, d)...)
	outcomes = append(outcomes, evacuation(ctx, d, out)...)
	return append(outcomes, plannedStop(ctx, d)...), nil
}

// reclaim fills all zones with preemptible jobs on borrowed capacity and then submits a
// job under another account's guarantee.
func reclaim(ctx context.Context, d *deployment) []outcome {
	borrowers := targetsPerRack * len(site.Zones) // each takes a whole target
	borrowed := make(chan []outcome)
	go func() {
		borrowed <- submitToHost(ctx, d, borrowers, 0, "borrows idle capacity", "refill.forecast", slowInput)
	}()
	if !awaitRunning(ctx, d, borrowers) {
		return append(<-borrowed, outcome{scenario: "reclaim", err: errUnexpected, want: progress.Completed})
	}
	urgent := submit(ctx, d, 0, "reclaims its guarantee", otherKey, "refill.urgent", "urgent", quickInput, progress.Completed)
	return append(<-borrowed, urgent)
}

// evacuation evacuates a zone, runs jobs, which must all start in other zones, and
// restores the zone.
func evacuation(ctx context.Context, d *deployment, out io.Writer) []outcome {
	zone := site.Zones[0]
	if err := setEvacuated(ctx, d, out, zone, true); err != nil {
		return []outcome{{scenario: "evacuation", err: err, want: progress.Completed}}
	}
	before := startsIn(d, zone)
	outcomes := runConcurrently(2*targetsPerRack, func(i int) outcome {
		return submit(ctx, d, i, "while "+zone+" is evacuated", accountKey, "refill.label", fmt.Sprintf("evacuated-%d", i), quickInput, progress.Completed)
	})
	if n := startsIn(d, zone) - before; n > 0 {
		outcomes = append(outcomes, outcome{scenario: "evacuation", err: fmt.Errorf("%d starts in zone %s: %w", n, zone, errUnexpected), want: progress.Completed})
	}
	if err := setEvacuated(ctx, d, out, zone, false); err != nil {
		outcomes = append(outcomes, outcome{scenario: "restoration", err: err, want: progress.Completed})
	}
	return outcomes
}

// setEvacuated evacuates or restores a zone and waits until the leader has that in force.
func setEvacuated(ctx context.Context, d *deployment, out io.Writer, zone string, on bool) error {
	c := client.New(d.hosts.CallerAddresses(0), operatorKey, nil)
	v, _, err := c.SetEvacuated(ctx, zone, on)
	if err != nil {
		return err
	}
	began := time.Now()
	for {
		f, err := c.Fleet(ctx)
		if err == nil && slices.ContainsFunc(f.Zones, func(z view.Zone) bool { return z.Name == zone && z.Evacuated == on }) {
			_, err = fmt.Fprintf(out, "version %d: zone %s evacuated %t, in force after %s; usable %d of %d accelerators\n",
				v.Version, zone, on, time.Since(began).Round(time.Millisecond), f.Usable, targetsPerRack*acceleratorsPerTarget*len(site.Zones))
			return err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("zone %s: wait for version %d in force: %w", zone, v.Version, ctx.Err())
		}
	}
}

// startsIn returns the number of runs started in a zone.
func startsIn(d *deployment, zone string) (n int) {
	d.platform.Shared.Do(func(p *pool.Pool, _ time.Time) {
		for _, t := range p.Roster() {
			if t.Zone == zone {
				n += p.StartsOn(t.ID)
			}
		}
	})
	return n
}

// awaitRunning waits until at least the wanted number of jobs is running. It returns
// false if the context ends first. Errors of the calls are ignored.
func awaitRunning(ctx context.Context, d *deployment, want int) bool {
	c := client.New(d.hosts.CallerAddresses(0), operatorKey, nil)
	for ctx.Err() == nil {
		n := 0
		jobs, _ := c.Jobs(ctx)
		for _, v := range jobs {
			if v.State == progress.Running {
				n++
			}
		}
		if n >= want {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

// plannedStop stops the second host while callers wait there for their jobs, which must
// complete.
func plannedStop(ctx context.Context, d *deployment) []outcome {
	const callers = 8
	done := make(chan []outcome)
	go func() {
		done <- submitToHost(ctx, d, callers, 1, "host stops while caller waits", "refill.label", slowInput)
	}()
	time.Sleep(quickTime)
	d.hosts.Hosts()[1].Stop()
	outcomes := <-done
	if err := d.hosts.Hosts()[1].Wait(); err != nil {
		outcomes = append(outcomes, outcome{scenario: "planned stop", err: err, want: progress.Completed})
	}
	return outcomes
}

// apply applies the configuration and waits until all hosts have it in force.
func apply(ctx context.Context, d *deployment, out io.Writer) error {
	c := client.New(d.hosts.CallerAddresses(0), operatorKey, nil)
	if _, err := c.Apply(ctx, 0, "demo-1", configuration); err != nil {
		return fmt.Errorf("apply the demo's configuration: %w", err)
	}
	began := time.Now()
	for {
		rows, err := c.InForce(ctx)
		if err != nil {
			return err
		}
		if len(rows) == len(d.hosts.Hosts()) && allInForce(rows, 1) {
			_, err = fmt.Fprintf(out, "version 1 in force on %d hosts of %d zones after %s\n", len(rows), len(site.Zones), time.Since(began).Round(time.Millisecond))
			return err
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("wait for version 1 in force: %w", ctx.Err())
		}
	}
}

func allInForce(rows []view.InForce, version int64) bool {
	for _, r := range rows {
		if r.Version != version {
			return false
		}
	}
	return true
}

// submit submits a job to the hosts, beginning with the given one, and waits up to 20 s
// for its end.
func submit(ctx context.Context, d *deployment, first int, scenario, key, kind, id string, input []byte, want progress.State) outcome {
	began := time.Now()
	service, name, _ := strings.Cut(kind, ".")
	r := request.Request{RequestID: id, Service: service, Job: name, Input: input}
	v, err := client.New(d.hosts.CallerAddresses(first), key, nil).Submit(ctx, r, 20*time.Second)
	return outcome{scenario: scenario, view: v, err: err, want: want, duration: time.Since(began)}
}

// submitToAll submits jobs concurrently, to the hosts in turn.
func submitToAll(ctx context.Context, d *deployment, n int, scenario, key, kind string, input []byte, want progress.State) []outcome {
	return runConcurrently(n, func(i int) outcome {
		return submit(ctx, d, i, scenario, key, kind, fmt.Sprintf("%s-%d", kind, i), input, want)
	})
}

// submitToHost submits jobs of the first account concurrently, beginning with one host
// for all of them. All must complete.
func submitToHost(ctx context.Context, d *deployment, n, host int, scenario, kind string, input []byte) []outcome {
	return runConcurrently(n, func(i int) outcome {
		return submit(ctx, d, host, scenario, accountKey, kind, fmt.Sprintf("%s-at%d-%d", kind, host, i), input, progress.Completed)
	})
}

// runConcurrently calls f with 0 to n-1, all at once, and returns the outcomes in that
// order.
func runConcurrently(n int, f func(i int) outcome) []outcome {
	outcomes := make([]outcome, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { outcomes[i] = f(i) })
	}
	wg.Wait()
	return outcomes
}

// printOutcomes prints a table of the outcomes. It returns an error if one of them is
// not the expected one.
func printOutcomes(out io.Writer, outcomes []outcome) error {
	w := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SCENARIO\tJOB\tSTATE\tTIME\tREMARK")
	bad := 0
	for _, r := range outcomes {
		reason := ""
		if r.err != nil {
			reason = r.err.Error()
		}
		if r.err != nil || r.view.State != r.want {
			bad++
			reason = fmt.Sprintf("want %s: %s", r.want, reason)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.scenario, r.view.ID, r.view.State, r.duration.Round(time.Millisecond), reason)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d: %w", bad, len(outcomes), errUnexpected)
	}
	return nil
}
