package demo

import (
	"context"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/host/scheduler"
	"guavaglade.example/guavaglade/internal/standin/site"
	"guavaglade.example/guavaglade/platform"
	"guavaglade.example/guavaglade/platform/standin"
)

// Size of the deployment.
const (
	targetsPerRack        = 4 // each zone has one rack
	acceleratorsPerTarget = 8
)

// deployment is a set of hosts and their stand-in platform.
type deployment struct {
	platform *standin.Site
	hosts    *site.Site
	cancel   context.CancelFunc
}

// start starts a deployment. The key with the given hash may apply the first
// configuration.
func start(ctx context.Context, keyHash string, log logr.Logger) (*deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	size := standin.Size{Racks: len(site.Zones), PerRack: targetsPerRack, Zones: site.Zones}
	p, err := standin.Open(ctx, "127.0.0.1:0", "refill", size)
	if err != nil {
		cancel()
		return nil, err
	}
	p.ReadJobsFromStore()
	ports := func(_ int, log logr.Logger) scheduler.Ports { return platform.Ports(p.Address(), log) }
	hosts, err := site.Start(ports, site.WithOperatorKey(keyHash), site.WithLog(log))
	if err != nil {
		p.Close()
		cancel()
		return nil, err
	}
	return &deployment{platform: p, hosts: hosts, cancel: cancel}, nil
}

// close stops all hosts as planned, then the platform.
func (d *deployment) close() error {
	err := d.hosts.Stop()
	d.platform.Close()
	d.cancel()
	return err
}
