package demo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/host/process"
	"guavaglade.example/guavaglade/internal/host/settings"
	"guavaglade.example/guavaglade/internal/standin/fleet"
	"guavaglade.example/guavaglade/internal/standin/platform"
)

// bench is everything that runs in the demo.
type bench struct {
	platform *platform.Server
	address  string // of the platform
	fleet    *fleet.Fleet
	hosts    []*host
	log      logr.Logger
}

type host struct {
	caller string // IP:port
	stop   context.CancelFunc
	ended  chan error
}

var zones = []string{"leon", "celaya", "irapuato"}

// startBench starts the platform, the fleet and hosts in each zone.
func startBench(ctx context.Context, perZone int, operatorKeyHash string, log logr.Logger) (*bench, error) {
	store := platform.NewStore()
	b := &bench{platform: platform.NewServer(store), log: log}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the platform: %w", err)
	}
	b.address = l.Addr().String()
	go func() {
		h := &http.Server{Handler: b.platform.Handler(), ReadHeaderTimeout: time.Second}
		if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error(err, "platform")
		}
	}()
	workers, err := fleet.Sizes{Zones: zones, Count: 12, PerRack: 4, Accelerators: 8, Cores: 64, Memory: 256 << 10, Slots: 8}.Workers()
	if err != nil {
		return nil, err
	}
	if b.fleet, err = fleet.Launch("127.0.0.1", 0, workers); err != nil {
		return nil, err
	}
	store.Register(b.fleet.Targets()...)
	return b, b.startHosts(ctx, perZone, operatorKeyHash)
}

func (b *bench) startHosts(ctx context.Context, perZone int, keyHash string) error {
	type pair struct {
		zone           string
		callers, peers net.Listener
	}
	var pairs []pair
	var peers []settings.Peer
	for i := range perZone * len(zones) {
		callers, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen for callers: %w", err)
		}
		others, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen for peers: %w", err)
		}
		zone := zones[i%len(zones)]
		pairs = append(pairs, pair{zone, callers, others})
		peers = append(peers, settings.Peer{Address: others.Addr().String(), Zone: zone})
	}
	for _, p := range pairs {
		s, err := settings.New(p.zone, p.callers.Addr().String(), p.peers.Addr().String(), b.address,
			settings.WithPeers(peers...), settings.WithOperatorKey(keyHash))
		if err != nil {
			return err
		}
		if err := b.startHost(ctx, s, p.callers, p.peers); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) startHost(ctx context.Context, s settings.Settings, callers, peers net.Listener) error {
	p, err := process.New(s, callers, peers, b.log.WithValues("at", s.PeerAddress()), time.Now())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	h := &host{caller: callers.Addr().String(), stop: stop, ended: make(chan error, 1)}
	go func() { h.ended <- p.Run(ctx) }()
	b.hosts = append(b.hosts, h)
	return nil
}

// callers returns the addresses of all hosts, the one at first in front.
func (b *bench) callers(first int) []string {
	var as []string
	for i := range b.hosts {
		as = append(as, b.hosts[(first+i)%len(b.hosts)].caller)
	}
	return as
}

// stop stops all hosts as planned and then the stand-ins.
func (b *bench) stop() error {
	var failed []string
	for _, h := range b.hosts {
		h.stop()
	}
	for _, h := range b.hosts {
		if err := <-h.ended; err != nil {
			failed = append(failed, err.Error())
		}
	}
	b.fleet.Close()
	if len(failed) > 0 {
		return fmt.Errorf("stop: %s", strings.Join(failed, "; "))
	}
	return nil
}
