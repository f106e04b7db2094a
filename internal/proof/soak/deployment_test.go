package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/operator/client"
	"guavaglade.example/guavaglade/platform/standin"
)

var zones = []string{"leon", "celaya", "irapuato"}

// configuration is the text of each change, with the hashes of the keys of norte and
// automation and a number that makes each text differ.
const configuration = `[service refill]
[job refill.label]
accelerators = 1
[job refill.plan]
members = 2
accelerators = 8
adjacency = rack
[job refill.bill]
accelerators = 1
repeatable = false
[job refill.forecast]
accelerators = 4
stoppable = true
[job refill.crash]
accelerators = 1
[account norte]
keyHash = %s
[account automation]
keyHash = %s
operator = true
[job refill.change%d]
`

// deployment runs hosts over a stand-in platform.
type deployment struct {
	t          *testing.T
	site       *standin.Site
	hosts      []*host
	mu         sync.Mutex
	targets    []*proxy // one before each target
	violations []string
	version    int64 // of the last accepted configuration
	changes    int   // of the configuration, begun
}

// loopbackIP returns a loopback address that concurrent runs do not use.
func loopbackIP(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, n)
}

// Numbers for loopbackIP: one of the platform, and the first of the hosts.
const (
	platformIP = 2
	hostIP     = 10
)

// newDeployment opens the stand-in platform, with a proxy before each target, and starts
// hostCount hosts, which keep their settings and logs in the directory.
func newDeployment(ctx context.Context, t *testing.T, dir string) *deployment {
	d := &deployment{t: t}
	ip := loopbackIP(platformIP)
	size := standin.Size{Racks: 3, PerRack: 3, Zones: zones, AdvertisedAddress: func(address string) string { return d.proxyFor(ip, address) }}
	var err error
	if d.site, err = standin.Open(ctx, ip+":0", "refill", size); err != nil {
		t.Fatal(err)
	}
	d.site.ReadJobsFromStore()
	hash := credential.NewKey(operatorKey).Hash()
	for i := range hostCount {
		h, err := newHost(dir, loopbackIP(hostIP+i), zones[i%len(zones)], d.site.Address(), hash, i)
		if err != nil {
			t.Fatal(err)
		}
		d.hosts = append(d.hosts, h)
		h.start()
	}
	return d
}

// proxyFor returns the address of the proxy for a target, which it opens at the first call. If
// that fails, it fails the test and returns the target's own address.
func (d *deployment) proxyFor(ip, address string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.targets {
		if p.to == address {
			return p.address()
		}
	}
	p, err := newProxy(ip, address)
	if err != nil {
		d.t.Error(err)
		return address
	}
	d.targets = append(d.targets, p)
	return p.address()
}

// recordViolation records a violation that check returns.
func (d *deployment) recordViolation(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// changeConfig applies the next configuration and retries until it is known to be
// accepted. If another change was accepted first, it retries from that version, as an
// operator does. It records a violation if the change was not accepted by the time given.
func (d *deployment) changeConfig(until time.Time) {
	d.mu.Lock()
	d.changes++
	n, base := d.changes, d.version
	d.mu.Unlock()
	hash := func(key string) string { return credential.NewKey(key).Hash() }
	text := fmt.Sprintf(configuration, hash(accountKey), hash(operatorKey), n)
	for i := 0; time.Now().Before(until); i++ {
		ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
		v, err := client.New([]string{d.hosts[i%hostCount].caller}, operatorKey, nil).Apply(ctx, base, fmt.Sprint("change", n), text)
		cancel()
		if err == nil {
			d.mu.Lock()
			d.version = max(d.version, v.Version)
			d.mu.Unlock()
			return
		}
		var answer *client.Error
		if errors.As(err, &answer) && answer.Status == http.StatusConflict {
			base = answer.Current
			continue
		}
		time.Sleep(pause)
	}
	d.recordViolation("change %d of the configuration was not accepted", n)
}

// awaitConfig waits until the host has the newest accepted configuration, and returns an error
// if it has not after settleTimeout.
func (d *deployment) awaitConfig(h *host) error {
	err := errors.New("not asked")
	for until := time.Now().Add(settleTimeout); time.Now().Before(until); time.Sleep(pause) {
		ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
		v, askErr := client.New([]string{h.caller}, operatorKey, nil).Configuration(ctx)
		cancel()
		if askErr == nil && v.Version >= d.version {
			return nil
		}
		err = errors.Join(fmt.Errorf("version %d in force, accepted was %d", v.Version, d.version), askErr)
	}
	return err
}

// shutDown performs planned stops of all running hosts at once, and then closes everything
// else.
func (d *deployment) shutDown() {
	var all sync.WaitGroup
	for _, h := range d.hosts {
		all.Go(func() {
			h.stop()
			_ = h.log.Close()
			h.store.close()
		})
	}
	all.Wait()
	d.site.Close()
	for _, p := range d.targets {
		p.close()
	}
}
