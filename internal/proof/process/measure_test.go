package process_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/operator/client"
	"guavaglade.example/guavaglade/internal/standin/fleet"
	"guavaglade.example/guavaglade/internal/standin/site"
)

// The measurements run with -long only and pass no verdict on what they measure.
const (
	measureHosts = 8
	measureFor   = 10 * time.Second
	settleFor    = 8 * time.Second
	busyCallers  = 16
	changes      = 100
	ticksPerSec  = 100 // of the times in /proc/PID/stat
)

var sizes = []int{48, 96, 184} // workers of all zones together

// TestMeasureHosts measures processor time and resident memory of each host, at
// rest and under load.
func TestMeasureHosts(t *testing.T) {
	for _, workers := range measured() {
		r := start(t, measureHosts, workers)
		time.Sleep(settleFor)
		r.usage(fmt.Sprintf("%d workers, idle", workers))
		l := begin(r, busyCallers)
		before := l.count()
		r.usage(fmt.Sprintf("%d workers, busy", workers))
		t.Logf("%d workers: %.1f requests a second", workers, float64(l.count()-before)/measureFor.Seconds())
		r.audit(l.end())
		for _, h := range r.hosts {
			r.kill(h)
		}
	}
}

// measured returns the sizes to measure; none without the flag.
func measured() []int {
	if !*long {
		return nil
	}
	return sizes
}

// usage logs what each host uses: percent of a core and megabytes.
func (r *rig) usage(what string) {
	r.t.Helper()
	var before []float64
	for _, h := range r.hosts {
		before = append(before, r.cpu(h))
	}
	time.Sleep(measureFor)
	var cpu, memory []float64
	for i, h := range r.hosts {
		cpu = append(cpu, 100*(r.cpu(h)-before[i])/measureFor.Seconds())
		memory = append(memory, r.resident(h))
	}
	r.t.Logf("%s: percent of a core for each host %s; MB resident %s", what, spread(cpu), spread(memory))
}

// cpu returns the processor time of a host in seconds.
func (r *rig) cpu(h *host) float64 {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid))
	if err != nil {
		r.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, err1 := strconv.ParseFloat(fields[11], 64)
	system, err2 := strconv.ParseFloat(fields[12], 64)
	if err1 != nil || err2 != nil {
		r.t.Fatal(err1, err2)
	}
	return (user + system) / ticksPerSec
}

// resident returns the resident memory of a host in megabytes.
func (r *rig) resident(h *host) float64 {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
	if err != nil {
		r.t.Fatal(err)
	}
	pages, err := strconv.ParseFloat(strings.Fields(string(statm))[1], 64)
	if err != nil {
		r.t.Fatal(err)
	}
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

func spread(values []float64) string {
	slices.Sort(values)
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return fmt.Sprintf("mean %.2f, least %.2f, most %.2f", sum/float64(len(values)), values[0], values[len(values)-1])
}

// TestMeasureChanges measures the time from the acceptance of a change until it
// is in force on all hosts.
func TestMeasureChanges(t *testing.T) {
	if !*long {
		return
	}
	r := start(t, measureHosts, 48)
	time.Sleep(settleFor)
	var took []time.Duration
	for v := int64(1); v <= changes; v++ {
		at := client.New([]string{r.hosts[int(v)%len(r.hosts)].callers}, operatorKey, nil)
		var accepted time.Time
		r.until("a change accepted", func() bool {
			_, err := at.Apply(r.ctx, v, fmt.Sprint("measure-", v), fmt.Sprintf("%s# %d\n", configuration, v))
			accepted = time.Now()
			return err == nil
		})
		r.everywhere(v + 1)
		took = append(took, time.Since(accepted))
	}
	slices.Sort(took)
	t.Logf("%d changes in force on %d hosts: p50 %s, p90 %s, p99 %s, most %s", len(took), len(r.hosts),
		took[len(took)/2], took[len(took)*9/10], took[len(took)*99/100], took[len(took)-1])
}

// everywhere waits until each host has the version in force.
func (r *rig) everywhere(version int64) {
	var wg sync.WaitGroup
	for _, h := range r.hosts {
		wg.Go(func() {
			c := client.New([]string{h.callers}, operatorKey, nil)
			for {
				if v, err := c.Configuration(r.ctx); err == nil && v.Version >= version || r.ctx.Err() != nil {
					return
				}
				time.Sleep(pollEvery)
			}
		})
	}
	wg.Wait()
}

// TestMeasureTraffic measures the bytes that each host sends and receives, as
// counted on the connections of a site in this process: those that the host has
// made to peers, workers and the platform, and those that its peers have made.
// Callers' connections are not counted.
func TestMeasureTraffic(t *testing.T) {
	for _, workers := range measured() {
		b, err := site.Start(t.Context(), site.WithHosts(3), site.WithOperatorKey(credential.NewKey(operatorKey).Hash()),
			site.WithFleet(fleet.Sizes{Zones: zones, Count: workers, PerRack: 8, Accelerators: 8, Cores: 64, Memory: 256 << 10, Slots: 8}))
		if err != nil {
			t.Fatal(err)
		}
		r := &rig{t: t, ctx: t.Context(), platform: b.PlatformAddress(), targets: b.Fleet().Targets()}
		for _, h := range b.Hosts() {
			r.hosts = append(r.hosts, &host{zone: h.Zone(), callers: h.Caller(), peers: h.Peer()})
		}
		r.apply(0, configuration)
		r.until("the zones' placers with all workers", r.placed)
		time.Sleep(settleFor)
		r.traffic(b, fmt.Sprintf("%d workers, idle", workers))
		l := begin(r, busyCallers)
		before := l.count()
		r.traffic(b, fmt.Sprintf("%d workers, busy", workers))
		t.Logf("%d workers: %.1f requests a second", workers, float64(l.count()-before)/measureFor.Seconds())
		l.end()
		if err := b.Stop(); err != nil {
			t.Error(err)
		}
	}
}

// traffic logs the bytes a second of each host by what is at the far end.
func (r *rig) traffic(b *site.Site, what string) {
	r.t.Helper()
	before := r.counted(b)
	time.Sleep(measureFor)
	after := r.counted(b)
	for _, kind := range []string{"peers", "workers", "platform", "all"} {
		var rates []float64
		for i := range after {
			rates = append(rates, float64(after[i][kind]-before[i][kind])/measureFor.Seconds())
		}
		r.t.Logf("%s: bytes a second for each host, %s: %s", what, kind, spread(rates))
	}
}

// counted returns the bytes of each host so far, by what is at the far end.
func (r *rig) counted(b *site.Site) (all []map[string]int64) {
	worker := map[string]bool{}
	for _, t := range r.targets {
		worker[t.Address] = true
	}
	for _, h := range b.Hosts() {
		kinds := map[string]int64{}
		for to, n := range b.Net().Traffic(h.Peer()) {
			kind := "peers"
			if worker[to] {
				kind = "workers"
			}
			if to == r.platform {
				kind = "platform"
			}
			kinds[kind] += n
			kinds["all"] += n
		}
		all = append(all, kinds)
	}
	return all
}
