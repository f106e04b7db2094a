package process_test

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/host/server"
	"guavaglade.example/guavaglade/internal/operator/client"
	"guavaglade.example/guavaglade/internal/platform/remote"
	"guavaglade.example/guavaglade/internal/platform/table"
)

var long = flag.Bool("long", false, "run the long forms and the measurements")

const (
	operatorKey = "automation"
	callerKey   = "norte"
	patience    = 60 * time.Second // a bound on every wait, not a verdict
	pollEvery   = 20 * time.Millisecond
)

// configuration has a job for each class that the load asks for.
var configuration = `
[service refill]
objectiveTarget = 0.99
objectiveWithin = 10s
[job refill.quick]
accelerators = 1
[job refill.bill]
accelerators = 1
repeatable = false
[job refill.gang]
members = 2
accelerators = 8
adjacency = rack
[job refill.forecast]
accelerators = 1
long = true
stoppable = true
[account norte]
keyHash = ` + credential.NewKey(callerKey).Hash() + `
[account automation]
operator = true
keyHash = ` + credential.NewKey(operatorKey).Hash() + "\n"

var (
	binary string
	rigs   atomic.Int32
	zones  = []string{"leon", "celaya", "irapuato"}
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

// run builds the binary once for all tests.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "guavaglade")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "guavaglade")
	out, err := exec.Command("go", "build", "-o", binary, "guavaglade.example/guavaglade/cmd/guavaglade").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// rig is a platform, a fleet and hosts, each a process of its own.
type rig struct {
	t        *testing.T
	ctx      context.Context
	ip       string          // a loopback IP of its own, so that no client's port is in the way
	given    map[string]bool // addresses that free has returned
	platform string
	targets  []table.Target
	hosts    []*host
}

type host struct {
	zone, callers, peers, file string
	cmd                        *exec.Cmd
}

// start starts everything and puts the configuration in force.
func start(t *testing.T, hosts, workers int) *rig {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Minute)
	t.Cleanup(cancel)
	pid := os.Getpid()
	r := &rig{t: t, ctx: ctx, given: map[string]bool{}, ip: fmt.Sprintf("127.%d.%d.%d", 1+pid>>8&0x7f, pid&0xff, rigs.Add(1))}
	r.platform = r.free()
	r.command("standin", "platform", "--listen", r.platform)
	r.until("the platform", func() bool { _, err := r.list(); return err == nil })
	r.command("standin", "fleet", "--platform", r.platform, "--ip", r.ip, "--port", "0", "--zones", strings.Join(zones, ","), "--workers", fmt.Sprint(workers))
	r.until("the fleet", func() bool { r.targets, _ = r.list(); return len(r.targets) == workers })
	for i := range hosts {
		r.hosts = append(r.hosts, &host{zone: zones[i%len(zones)], callers: r.free(), peers: r.free(), file: filepath.Join(t.TempDir(), "host.ini")})
	}
	for _, h := range r.hosts {
		r.settings(h)
		r.serve(h)
	}
	r.apply(0, configuration)
	for _, h := range r.hosts {
		r.untilReady(h)
	}
	r.until("the zones' placers with all workers", r.placed)
	return r
}

func (r *rig) list() ([]table.Target, error) {
	return remote.New(r.platform, nil).Targets(r.ctx)
}

// placed reports whether each zone has a placer that knows its workers.
func (r *rig) placed() bool {
	views, err := r.operator().Fleet(r.ctx)
	n := 0
	for _, v := range views {
		n += len(v.Workers)
	}
	return err == nil && n == len(r.targets)
}

// free returns an address that nothing listens on, never the same twice: a port
// that is let go may be the next free one again, and two processes that are told
// to listen there never both start.
func (r *rig) free() string {
	for {
		l, err := net.Listen("tcp", r.ip+":0")
		if err != nil {
			r.t.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if !r.given[address] {
			r.given[address] = true
			return address
		}
	}
}

// settings writes the host's INI file.
func (r *rig) settings(h *host) {
	var b strings.Builder
	fmt.Fprintf(&b, "[host]\nzone = %s\ncallerAddress = %s\npeerAddress = %s\n", h.zone, h.callers, h.peers)
	fmt.Fprintf(&b, "[platform]\naddress = %s\n[limits]\nstopGrace = 2s\n", r.platform)
	fmt.Fprintf(&b, "[operator]\nkeyHash = %s\n", credential.NewKey(operatorKey).Hash())
	for _, z := range zones {
		var as []string
		for _, o := range r.hosts {
			if o.zone == z && o != h {
				as = append(as, o.peers)
			}
		}
		if len(as) > 0 {
			fmt.Fprintf(&b, "[peers %s]\naddresses = %s\n", z, strings.Join(as, ", "))
		}
	}
	if err := os.WriteFile(h.file, []byte(b.String()), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// command starts a process that is ended by its own id with the test; what it
// says goes to the test's log if the test fails.
func (r *rig) command(args ...string) *exec.Cmd {
	cmd := exec.Command(binary, args...)
	out, err := os.CreateTemp(r.t.TempDir(), "log")
	if err != nil {
		r.t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
		r.tail(out, strings.Join(args, " "))
	})
	return cmd
}

// tail shows the end of a process's log of a failed test.
func (r *rig) tail(f *os.File, name string) {
	const lines = 30
	_, err := f.Seek(0, 0)
	if !r.t.Failed() || err != nil {
		return
	}
	var last []string
	for s := bufio.NewScanner(f); s.Scan(); {
		last = append(last, s.Text())
	}
	r.t.Logf("%s:\n%s", name, strings.Join(last[max(0, len(last)-lines):], "\n"))
}

func (r *rig) serve(h *host) { h.cmd = r.command("serve", "--settings", h.file) }

// stop stops a host as planned and fails the test unless it ends with exit 0.
func (r *rig) stop(h *host) {
	r.t.Helper()
	if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		r.t.Fatal(err)
	}
	if err := h.cmd.Wait(); err != nil {
		r.t.Errorf("planned stop of %s: %v", h.peers, err)
	}
}

func (r *rig) kill(h *host) {
	r.t.Helper()
	if err := h.cmd.Process.Kill(); err != nil {
		r.t.Fatal(err)
	}
	_ = h.cmd.Wait()
}

// apply makes a text current, trying until a host takes it.
func (r *rig) apply(base int64, text string) {
	r.t.Helper()
	r.until("the configuration accepted", func() bool {
		_, err := r.operator().Apply(r.ctx, base, fmt.Sprint("change-", base), text)
		return err == nil
	})
}

func (r *rig) operator() *client.Client { return client.New(r.callers(), operatorKey, nil) }

func (r *rig) callers() []string {
	var as []string
	for _, h := range r.hosts {
		as = append(as, h.callers)
	}
	return as
}

// until polls until the condition holds and fails the test if it never does.
func (r *rig) until(what string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(pollEvery) {
		if time.Now().After(end) {
			r.t.Fatalf("waited %s in vain for %s", patience, what)
		}
	}
}

func (r *rig) untilReady(h *host) {
	r.t.Helper()
	r.until(h.peers+" ready", func() bool { return ready(h.callers) })
}

func ready(address string) bool {
	res, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// placer returns the host that places for a zone, once all hosts say the same.
func (r *rig) placer(zone string) *host {
	r.t.Helper()
	var found *host
	r.until("a placer of "+zone, func() bool {
		for i, h := range r.hosts {
			rows, err := client.New([]string{h.callers}, operatorKey, nil).InForce(r.ctx)
			p := r.placerIn(rows, zone)
			if err != nil || p == nil || i > 0 && p != found {
				return false
			}
			found = p
		}
		return true
	})
	return found
}

func (r *rig) placerIn(rows []server.InForce, zone string) *host {
	for _, row := range rows {
		address, _, _ := strings.Cut(row.Host, "#")
		for _, h := range r.hosts {
			if row.Placer && row.Zone == zone && h.peers == address {
				return h
			}
		}
	}
	return nil
}

// problemOf returns the problem that a host answered with; nil for a request
// that was cut.
func problemOf(err error) *client.Error {
	var p *client.Error
	errors.As(err, &p)
	return p
}
