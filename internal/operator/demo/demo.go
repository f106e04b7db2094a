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

// Keys of the demo. They open nothing but the demo.
const (
	operatorKey = "demo-operator"
	accountKey  = "demo-norte"
	otherKey    = "demo-sur"
)

// What the demo's jobs do, as the stand-in targets read it.
var (
	quick = []byte(`{"runMillis": 200}`)
	slow  = []byte(`{"runMillis": 3000}`)
)

const (
	quickRun  = 200 * time.Millisecond
	pollEvery = 20 * time.Millisecond
)

// errUnexpected says that a request of the demo came out otherwise than it must.
var errUnexpected = errors.New("a request came out otherwise than it must")

// row is a request of the demo and what became of it.
type row struct {
	part  string
	view  api.JobView
	err   error
	want  progress.State
	taken time.Duration
}

// Run runs the demo and prints what became of each request.
func Run(ctx context.Context, out io.Writer, log logr.Logger) error {
	b, err := start(ctx, credential.NewKey(operatorKey).Hash(), log)
	if err != nil {
		return err
	}
	rows, err := play(ctx, b, out)
	if err == nil {
		err = printRows(out, rows)
	}
	if err == nil {
		err = printBurn(ctx, b, out)
	}
	return errors.Join(err, b.close())
}

// printBurn prints the burn report of all hosts.
func printBurn(ctx context.Context, b *deployment, out io.Writer) error {
	r, err := client.New(b.hosts.CallerAddresses(0), operatorKey, nil).Burn(ctx)
	if err != nil {
		return err
	}
	return r.WriteText(out)
}

func play(ctx context.Context, b *deployment, out io.Writer) ([]row, error) {
	if err := apply(ctx, b, out); err != nil {
		return nil, err
	}
	var rows []row
	rows = append(rows, many(ctx, b, 12, "small jobs", accountKey, "refill.label", quick, progress.Completed)...)
	rows = append(rows,
		one(ctx, b, 0, "gang of 16", accountKey, "refill.plan", "gang", quick, progress.Completed),
		one(ctx, b, 1, "may run once only", accountKey, "refill.bill", "bill", quick, progress.Completed),
		one(ctx, b, 2, "same request again", accountKey, "refill.bill", "bill", quick, progress.Completed),
		one(ctx, b, 2, "can never run", accountKey, "refill.huge", "huge", quick, progress.NotRun),
	)
	rows = append(rows, reclaim(ctx, b)...)
	rows = append(rows, evacuation(ctx, b, out)...)
	return append(rows, plannedStop(ctx, b)...), nil
}

// reclaim fills all zones with borrowed work that can be stopped and then asks for
// the room that another account is guaranteed.
func reclaim(ctx context.Context, b *deployment) []row {
	borrowers := targetsPerRack * len(site.Zones) // each fills a target
	lent := make(chan []row)
	go func() { lent <- sameHost(ctx, b, borrowers, 0, "borrows idle room", "refill.forecast", slow) }()
	if !running(ctx, b, borrowers) {
		return append(<-lent, row{part: "reclaim", err: errUnexpected, want: progress.Completed})
	}
	urgent := one(ctx, b, 0, "takes its guarantee back", otherKey, "refill.urgent", "urgent", quick, progress.Completed)
	return append(<-lent, urgent)
}

// evacuation evacuates a zone, runs jobs that all start in the others, and restores it.
func evacuation(ctx context.Context, b *deployment, out io.Writer) []row {
	zone := site.Zones[0]
	if err := evacuate(ctx, b, out, zone, true); err != nil {
		return []row{{part: "evacuation", err: err, want: progress.Completed}}
	}
	before := startsIn(b, zone)
	rows := gather(2*targetsPerRack, func(i int) row {
		return one(ctx, b, i, "while "+zone+" is evacuated", accountKey, "refill.label", fmt.Sprintf("evacuated-%d", i), quick, progress.Completed)
	})
	if n := startsIn(b, zone) - before; n > 0 {
		rows = append(rows, row{part: "evacuation", err: fmt.Errorf("%d starts in zone %s: %w", n, zone, errUnexpected), want: progress.Completed})
	}
	if err := evacuate(ctx, b, out, zone, false); err != nil {
		rows = append(rows, row{part: "restoration", err: err, want: progress.Completed})
	}
	return rows
}

// evacuate evacuates or restores a zone, and waits until the leader has that in force.
func evacuate(ctx context.Context, b *deployment, out io.Writer, zone string, on bool) error {
	c := client.New(b.hosts.CallerAddresses(0), operatorKey, nil)
	v, _, err := c.SetEvacuated(ctx, zone, on)
	if err != nil {
		return err
	}
	begun := time.Now()
	for {
		f, err := c.Fleet(ctx)
		if err == nil && slices.ContainsFunc(f.Zones, func(z view.Zone) bool { return z.Name == zone && z.Evacuated == on }) {
			_, err = fmt.Fprintf(out, "version %d: zone %s evacuated %t, in force after %s; usable %d of %d accelerators\n",
				v.Version, zone, on, time.Since(begun).Round(time.Millisecond), f.Usable, targetsPerRack*acceleratorsPerTarget*len(site.Zones))
			return err
		}
		select {
		case <-time.After(pollEvery):
		case <-ctx.Done():
			return fmt.Errorf("zone %s: wait for version %d in force: %w", zone, v.Version, ctx.Err())
		}
	}
}

// startsIn returns how many runs were started in a zone.
func startsIn(b *deployment, zone string) (n int) {
	b.platform.Shared.Do(func(p *pool.Pool, _ time.Time) {
		for _, t := range p.Roster() {
			if t.Zone == zone {
				n += p.StartsOn(t.ID)
			}
		}
	})
	return n
}

// running waits until so many jobs of the first host run.
func running(ctx context.Context, b *deployment, want int) bool {
	c := client.New(b.hosts.CallerAddresses(0), operatorKey, nil)
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
		time.Sleep(pollEvery)
	}
	return false
}

// plannedStop stops the second host while callers wait at it.
func plannedStop(ctx context.Context, b *deployment) []row {
	const callers = 8
	done := make(chan []row)
	go func() { done <- sameHost(ctx, b, callers, 1, "waits while its host stops", "refill.label", slow) }()
	time.Sleep(quickRun)
	b.hosts.Hosts()[1].Stop()
	rows := <-done
	if err := b.hosts.Hosts()[1].Wait(); err != nil {
		rows = append(rows, row{part: "planned stop", err: err, want: progress.Completed})
	}
	return rows
}

// apply makes the text current and waits until all hosts have it in force.
func apply(ctx context.Context, b *deployment, out io.Writer) error {
	c := client.New(b.hosts.CallerAddresses(0), operatorKey, nil)
	if _, err := c.Apply(ctx, 0, "demo-1", configuration); err != nil {
		return fmt.Errorf("apply the demo's text: %w", err)
	}
	begun := time.Now()
	for {
		rows, err := c.InForce(ctx)
		if err != nil {
			return err
		}
		if len(rows) == len(b.hosts.Hosts()) && everywhere(rows, 1) {
			_, err = fmt.Fprintf(out, "version 1 in force on %d hosts of %d zones after %s\n", len(rows), len(site.Zones), time.Since(begun).Round(time.Millisecond))
			return err
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("wait for version 1 in force: %w", ctx.Err())
		}
	}
}

func everywhere(rows []view.InForce, version int64) bool {
	for _, r := range rows {
		if r.Version != version {
			return false
		}
	}
	return true
}

func one(ctx context.Context, b *deployment, first int, part, key, kind, id string, input []byte, want progress.State) row {
	begun := time.Now()
	service, name, _ := strings.Cut(kind, ".")
	r := request.Request{RequestID: id, Service: service, Job: name, Input: input}
	v, err := client.New(b.hosts.CallerAddresses(first), key, nil).Submit(ctx, r, 20*time.Second)
	return row{part: part, view: v, err: err, want: want, taken: time.Since(begun)}
}

// many submits jobs to all hosts in turn, at once.
func many(ctx context.Context, b *deployment, n int, part, key, kind string, input []byte, want progress.State) []row {
	return gather(n, func(i int) row {
		return one(ctx, b, i, part, key, kind, fmt.Sprintf("%s-%d", kind, i), input, want)
	})
}

// sameHost submits jobs to one host, at once.
func sameHost(ctx context.Context, b *deployment, n, host int, part, kind string, input []byte) []row {
	return gather(n, func(i int) row {
		return one(ctx, b, host, part, accountKey, kind, fmt.Sprintf("%s-at%d-%d", kind, host, i), input, progress.Completed)
	})
}

func gather(n int, f func(i int) row) []row {
	rows := make([]row, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { rows[i] = f(i) })
	}
	wg.Wait()
	return rows
}

func printRows(out io.Writer, rows []row) error {
	w := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "PART\tJOB\tSTATE\tTIME\tREMARK")
	bad := 0
	for _, r := range rows {
		reason := ""
		if r.err != nil {
			reason = r.err.Error()
		}
		if r.err != nil || r.view.State != r.want {
			bad++
			reason = fmt.Sprintf("WANT %s: %s", r.want, reason)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", r.part, r.view.ID, r.view.State, r.taken.Round(time.Millisecond), reason)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d: %w", bad, len(rows), errUnexpected)
	}
	return nil
}
