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
[account norte]
keyHash = %s
[account automation]
keyHash = %s
operator = true
[job refill.change%d]
`

// deployment is hosts over a stand-in platform.
type deployment struct {
	t       *testing.T
	site    *standin.Site
	hosts   []*host
	mu      sync.Mutex
	targets []*proxy
	faults  []string
	version int64 // of the configuration that was accepted last
	changes int
}

// ownIP returns an IP of loopback that other runs do not use.
func ownIP(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&63, os.Getpid()&255, n)
}

// Numbers of IPs: the platform has one, and each host.
const (
	platformIP = 2
	hostIP     = 10
)

func newDeployment(ctx context.Context, t *testing.T, dir string) *deployment {
	d := &deployment{t: t}
	ip := ownIP(platformIP)
	size := standin.Size{Racks: 3, PerRack: 3, Zones: zones, AdvertisedAddress: func(address string) string { return d.through(ip, address) }}
	var err error
	if d.site, err = standin.Open(ctx, ip+":0", "refill", size); err != nil {
		t.Fatal(err)
	}
	d.site.ReadJobsFromStore()
	hash := credential.NewKey(operatorKey).Hash()
	for i := range hostCount {
		h, err := newHost(dir, ownIP(hostIP+i), zones[i%len(zones)], d.site.Address(), hash, i)
		if err != nil {
			t.Fatal(err)
		}
		d.hosts = append(d.hosts, h)
		h.start()
	}
	return d
}

// through puts a proxy before a worker, once.
func (d *deployment) through(ip, address string) string {
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

func (d *deployment) fault(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, fmt.Sprintf(format, args...))
}

// change makes the next configuration current, trying until it is known to be. As
// an operator does who lost a race, it starts again from the version that won.
func (d *deployment) change(until time.Time) {
	d.mu.Lock()
	d.changes++
	n, base := d.changes, d.version
	d.mu.Unlock()
	hash := func(key string) string { return credential.NewKey(key).Hash() }
	text := fmt.Sprintf(configuration, hash(accountKey), hash(operatorKey), n)
	for i := 0; time.Now().Before(until); i++ {
		ctx, cancel := context.WithTimeout(context.Background(), tryTime)
		v, err := client.New([]string{d.hosts[i%hostCount].caller}, operatorKey, nil).Apply(ctx, base, fmt.Sprint("change", n), text)
		cancel()
		if err == nil {
			d.mu.Lock()
			d.version = max(d.version, v.Version)
			d.mu.Unlock()
			return
		}
		var told *client.Error
		if errors.As(err, &told) && told.Status == http.StatusConflict {
			base = told.Current
			continue
		}
		time.Sleep(between)
	}
	d.fault("change %d of the configuration was not accepted", n)
}

// inForce wants the host to have the newest configuration soon.
func (d *deployment) inForce(h *host) error {
	err := errors.New("not asked")
	for until := time.Now().Add(settleTime); time.Now().Before(until); time.Sleep(between) {
		ctx, cancel := context.WithTimeout(context.Background(), tryTime)
		v, asked := client.New([]string{h.caller}, operatorKey, nil).Configuration(ctx)
		cancel()
		if asked == nil && v.Version >= d.version {
			return nil
		}
		err = errors.Join(fmt.Errorf("version %d, accepted was %d", v.Version, d.version), asked)
	}
	return err
}

// end ends the hosts that are left, as planned, and everything else.
func (d *deployment) end() {
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
