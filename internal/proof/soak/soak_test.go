package soak

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/operator/command"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seeds     = flag.Int("soak.seeds", 2, "number of seeds")
	logDir    = flag.String("soak.keep", "", "directory for the logs of runs that fail")
)

// TestMain also runs the hosts: each is a process of the test binary.
func TestMain(m *testing.M) {
	if os.Getenv(asHostVariable) != "" {
		os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const (
	operatorKey    = "soak-operator"
	accountKey     = "soak-norte"
	hostCount      = 5
	callerCount    = 5
	trafficTime    = 8 * time.Second
	maxFaultStart  = 6 * time.Second // all faults start before
	faultTimeRange = 4 * time.Second
	settleTimeout  = 45 * time.Second // for accepted jobs and changes after the last fault
)

// fault is one fault to inject, with its start and duration.
type fault struct {
	at, length time.Duration
	kind       string
	which      int  // index of the host or target, taken modulo their number
	mode       mode // of the proxies, if the fault is one of connections
}

func (f fault) String() string {
	return fmt.Sprintf("%.1fs %s %d %v for %.1fs", f.at.Seconds(), f.kind, f.which, f.mode, f.length.Seconds())
}

var faultKinds = []string{"kill", "kill", "pause", "stop", "store", "store", "all stores", "target", "target", "hang", "lose target", "change", "forget"}

// drawFault draws a fault of one of the kinds, which starts within maxFaultStart. A kind that
// is listed twice is drawn more often.
func drawFault(rnd *rand.Rand, kinds []string) fault {
	return fault{
		at:     time.Duration(rnd.Int64N(int64(maxFaultStart))),
		length: 300*time.Millisecond + time.Duration(rnd.Int64N(int64(faultTimeRange))),
		kind:   kinds[rnd.IntN(len(kinds))], which: rnd.IntN(1000), mode: modes[rnd.IntN(len(modes))],
	}
}

// inject starts a fault, waits for its length and ends it. A planned stop, a change of the
// configuration and the compaction of the store's feed ("forget") end by themselves.
func (d *deployment) inject(f fault) {
	h := d.hosts[f.which%hostCount]
	switch f.kind {
	case "kill":
		<-h.signal(syscall.SIGKILL)
		time.Sleep(f.length)
		h.start()
	case "pause":
		h.signal(syscall.SIGSTOP)
		time.Sleep(f.length)
		h.signal(syscall.SIGCONT)
	case "stop":
		h.stop()
		h.start()
	case "store":
		d.injectProxyFault(f, h.store)
	case "all stores":
		var all []*proxy
		for _, h := range d.hosts {
			all = append(all, h.store)
		}
		d.injectProxyFault(f, all...)
	case "target":
		d.mu.Lock()
		p := d.targets[f.which%len(d.targets)]
		d.mu.Unlock()
		d.injectProxyFault(f, p)
	case "crash target", "shrink target":
		d.disturbTarget(f)
	case "change":
		d.changeConfig(time.Now().Add(settleTimeout))
	case "forget":
		d.site.Table.Compact()
	default:
		d.injectTargetFault(f)
	}
}

// injectProxyFault sets the mode of proxies for the length of the fault.
func (d *deployment) injectProxyFault(f fault, ps ...*proxy) {
	for _, p := range ps {
		p.set(f.mode)
	}
	time.Sleep(f.length)
	for _, p := range ps {
		p.set(modePass)
	}
}

// injectTargetFault stalls a target for the length of the fault, or kills it for good unless
// six targets or fewer are left.
func (d *deployment) injectTargetFault(f fault) {
	var id string
	d.site.Shared.Do(func(p *pool.Pool, now time.Time) {
		list := p.Roster()
		id = list[f.which%len(list)].ID
		if f.kind == "hang" {
			p.SetStalled(id, true)
			return
		}
		if len(list) > 6 { // leaves enough for each kind of job
			p.Kill(id, now)
		}
	})
	time.Sleep(f.length)
	d.site.Shared.Do(func(p *pool.Pool, _ time.Time) { p.SetStalled(id, false) })
}

// extraFaults are drawn apart from the others, so that the scripts of earlier seeds stay.
var extraFaults = []string{"crash target", "shrink target", "crashing job"}

// disturbTarget crashes a target, which comes back, or halves its capacity for the length of
// the fault.
func (d *deployment) disturbTarget(f fault) {
	var t roster.Target
	setCapacity := func(c graph.Resources) {
		d.site.Shared.Do(func(p *pool.Pool, now time.Time) { p.SetCapacity(t.ID, c, now) })
	}
	d.site.Shared.Do(func(p *pool.Pool, now time.Time) {
		list := p.Roster()
		if len(list) == 0 {
			return // all have crashed
		}
		t = list[f.which%len(list)]
		if f.kind == "crash target" {
			p.Crash(t.ID, now)
		}
	})
	if f.kind == "shrink target" && t.ID != "" {
		setCapacity(graph.Resources{CPU: t.Capacity.CPU / 2, MemoryMB: t.Capacity.MemoryMB / 2, Accelerators: t.Capacity.Accelerators / 2})
		time.Sleep(f.length)
		setCapacity(t.Capacity)
	}
}

// run executes a script of faults on a new deployment while callers submit jobs, waits for the
// accepted jobs to end and returns the violations. It keeps the logs if there are any.
func run(t *testing.T, seed uint64, script []fault, plannedOnly bool) []string {
	dir, err := os.MkdirTemp(*logDir, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := newDeployment(ctx, t, dir)
	defer d.shutDown()
	d.changeConfig(time.Now().Add(settleTimeout))
	c := &callers{deployment: d}
	c.traffic(ctx, seed, script)
	violations := append(c.check(plannedOnly), d.check()...)
	t.Log(c.summary())
	if len(violations) == 0 {
		_ = os.RemoveAll(dir) // a directory that stays is harmless
	} else {
		t.Logf("logs: %s", dir)
	}
	return violations
}

// traffic runs the callers for trafficTime and the whole script. Then it resumes paused hosts,
// starts those that are down and ends the faults of all links to the store.
func (c *callers) traffic(ctx context.Context, seed uint64, script []fault) {
	d := c.deployment
	requestCtx, stop := context.WithTimeout(ctx, trafficTime)
	defer stop()
	var all sync.WaitGroup
	go c.trackReadiness(ctx)
	for i := range callerCount {
		all.Go(func() { c.run(requestCtx, i, seed) })
	}
	for _, f := range script {
		all.Go(func() {
			time.Sleep(f.at)
			if f.kind == "crashing job" {
				c.submitCrashing(f.which)
				return
			}
			d.inject(f)
		})
	}
	all.Wait()
	for _, h := range d.hosts {
		h.signal(syscall.SIGCONT)
		h.store.set(modePass)
		h.start()
	}
}

// check waits for the accepted jobs to end and compares the answers that callers got with
// what became of their jobs. If hosts make planned stops only, no connection may have broken.
func (c *callers) check(plannedOnly bool) (violations []string) {
	until := time.Now().Add(settleTimeout)
	for _, s := range c.submissions {
		violations = append(violations, c.checkSubmission(s, until)...)
	}
	if plannedOnly {
		violations = append(violations, c.brokenConns...)
	}
	return violations
}

// summary returns counts of what the callers and targets saw, for the log of the test.
func (c *callers) summary() string {
	accepted, cancelled, notStored, starts := 0, 0, 0, 0
	for _, s := range c.submissions {
		if s.accepted {
			accepted++
		}
		if s.cancelAcked {
			cancelled++
		}
		if s.notStored {
			notStored++
		}
	}
	c.deployment.site.Shared.Do(func(p *pool.Pool, _ time.Time) { starts = p.Starts() })
	return fmt.Sprintf("%d requests, %d accepted, %d cancelled (%d of which were not stored), %d connections broken, %d starts", len(c.submissions), accepted, cancelled, notStored, len(c.brokenConns), starts)
}

// checkSubmission returns a violation if a bill started twice, if a job answered as not run
// has started, or if an accepted job has not ended or ended in a way that its kind and its
// cancellation do not allow.
func (c *callers) checkSubmission(s *submission, until time.Time) (violations []string) {
	starts := 0
	c.deployment.site.Shared.Do(func(p *pool.Pool, _ time.Time) { starts = p.StartsOf(s.id) })
	if s.kind == "bill" && starts > 1 {
		violations = append(violations, fmt.Sprintf("%s must run at most once and was started %d times", s.id, starts))
	}
	if s.notStored && (s.accepted || starts > 0) {
		violations = append(violations, fmt.Sprintf("%s was answered as not there when it was cancelled; accepted %t, %d starts", s.id, s.accepted, starts))
	}
	if !s.accepted {
		if !s.outcomeUnknown && starts > 0 {
			violations = append(violations, fmt.Sprintf("%s was answered as not run and was started", s.id))
		}
		return violations
	}
	state, err := c.awaitFinal(s, until)
	switch {
	case err != nil:
		return append(violations, fmt.Sprintf("%s (%s) has not ended: %v", s.id, s.kind, err))
	case state == progress.Completed, state == progress.Cancelled && s.cancelSent, state == progress.Failed && s.kind == "bill", state == progress.Failed && s.kind == "crash":
		return violations
	}
	return append(violations, fmt.Sprintf("%s (%s, cancelled %t) is %s", s.id, s.kind, s.cancelAcked, state))
}

// check waits until every host has the newest configuration and returns the violations that
// targets, operators and the hosts' processes showed.
func (d *deployment) check() []string {
	d.site.Shared.Do(func(p *pool.Pool, _ time.Time) {
		for _, b := range p.Breaches() {
			d.recordViolation("%s", b)
		}
	})
	for _, h := range d.hosts {
		if err := d.awaitConfig(h); err != nil {
			d.recordViolation("%s: %v", h.name, err)
		}
		h.mu.Lock()
		d.violations = append(d.violations, h.violations...)
		h.mu.Unlock()
	}
	return d.violations
}

// report fails the test if there are violations, and prints the seed and script with them.
func report(t *testing.T, seed uint64, script []fault, violations []string) {
	t.Helper()
	if len(violations) == 0 {
		return
	}
	lines := make([]string, 0, len(script))
	for _, f := range script {
		lines = append(lines, f.String())
	}
	t.Errorf("seed %d\n%s\nscript:\n%s", seed, strings.Join(violations, "\n"), strings.Join(lines, "\n"))
}

// regressionSeeds are seeds that have failed, with the cause.
var regressionSeeds = map[uint64]string{
	123:  "this test gave two hosts the same port",
	242:  "of two changes with the same base, the refused one was retried repeatedly with its stale base",
	2006: "the stand-in allowed for the last change of a target's capacity only, not for one just before it",
}

// seedsWithoutExtraFaults are regression seeds whose scripts have no faults of extraFaults.
var seedsWithoutExtraFaults = map[uint64]bool{123: true, 242: true}

// For each seed, 4 to 9 random faults of all kinds occur one after the other or together, and
// up to four more: targets that crash or shrink, and jobs that crash each target they run on.
// Accepted jobs end as they must, nothing runs twice, jobs answered as not run do not run,
// and in the end the newest configuration is in force on every host.
func TestFaults(t *testing.T) {
	list := slices.Sorted(maps.Keys(regressionSeeds))
	for i := range *seeds {
		list = append(list, *firstSeed+uint64(i))
	}
	for _, seed := range list {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			var script []fault
			for range 4 + rnd.IntN(6) {
				script = append(script, drawFault(rnd, faultKinds))
			}
			if !seedsWithoutExtraFaults[seed] {
				extra := rand.New(rand.NewPCG(seed, 2))
				for range 1 + extra.IntN(4) {
					script = append(script, drawFault(extra, extraFaults))
				}
			}
			report(t, seed, script, run(t, seed, script, false))
		})
	}
}

// Hosts make planned stops, one after the other and together, while the configuration
// changes, at random times by the first seed. No connection breaks under a caller's request,
// and all that TestFaults checks holds.
func TestPlannedStops(t *testing.T) {
	seed := *firstSeed
	rnd := rand.New(rand.NewPCG(seed, 1))
	var script []fault
	for range 6 {
		script = append(script, drawFault(rnd, []string{"stop", "stop", "change"}))
	}
	report(t, seed, script, run(t, seed, script, true))
}
