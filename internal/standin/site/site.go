package site

import (
	"context"
	"errors"
	"fmt"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/host/process"
	"guavaglade.example/guavaglade/internal/host/scheduler"
	"guavaglade.example/guavaglade/internal/host/settings"
	"guavaglade.example/guavaglade/internal/report/metrics"
)

// loopback is the IP of all hosts; their ports are chosen by the system.
const loopback = "127.0.0.1"

// noPlatform is a placeholder for the platform's address, which only the hosts' ports
// use.
const noPlatform = loopback + ":1"

// PortsFunc returns a host's connections to the platform.
type PortsFunc func(host int, log logr.Logger) scheduler.Ports

// Zones are the availability zones of a site.
var Zones = []string{"leon", "celaya", "irapuato"}

// Site is a set of hosts of the system.
type Site struct {
	ports    PortsFunc
	perZone  int
	settings []settings.Option
	log      logr.Logger
	hosts    []*Host
}

// Host is one host of a site.
type Host struct {
	settings settings.Settings
	stop     context.CancelFunc
	done     chan struct{} // closed when the host has ended
	err      error         // valid once done is closed
}

// CallerAddress returns the IP:port that serves callers.
func (h *Host) CallerAddress() string { return h.settings.CallerAddress() }

// PeerAddress returns the IP:port that serves other hosts.
func (h *Host) PeerAddress() string { return h.settings.PeerAddress() }

// Stop starts a planned stop. It does not wait for its end.
func (h *Host) Stop() { h.stop() }

// Wait waits until the host has ended and returns the error that ended it, nil after a
// planned stop.
func (h *Host) Wait() error {
	<-h.done
	return h.err
}

// Option sets one property of a new site.
type Option func(*Site)

// WithHosts sets the number of hosts in each zone, by default two.
func WithHosts(perZone int) Option { return func(s *Site) { s.perZone = perZone } }

// WithSettings adds options for the settings of all hosts.
func WithSettings(opts ...settings.Option) Option {
	return func(s *Site) { s.settings = append(s.settings, opts...) }
}

// WithOperatorKey sets the hash of the key that may apply the first configuration.
func WithOperatorKey(hash string) Option { return WithSettings(settings.WithOperatorKeyHash(hash)) }

// WithLog sets the logger of all hosts, by default none.
func WithLog(l logr.Logger) Option { return func(s *Site) { s.log = l } }

// Start starts a site. If a host cannot be started, those started before it are stopped.
// Otherwise the caller must call Stop.
func Start(ports PortsFunc, opts ...Option) (*Site, error) {
	s := &Site{ports: ports, perZone: 2, log: logr.Discard()}
	for _, o := range opts {
		o(s)
	}
	for i := range s.perZone * len(Zones) {
		h, err := s.start(i)
		if err != nil {
			return nil, errors.Join(fmt.Errorf("host %d: %w", i, err), s.Stop())
		}
		s.hosts = append(s.hosts, h)
	}
	return s, nil
}

// start starts host i on free ports. The settings are created twice, since the ports are
// known only once the host listens.
func (s *Site) start(i int) (*Host, error) {
	zone := Zones[i%len(Zones)]
	cfg, err := settings.New(zone, loopback+":0", loopback+":0", noPlatform, s.settings...)
	if err != nil {
		return nil, err
	}
	callers, peers, err := process.Listen(cfg)
	if err != nil {
		return nil, err
	}
	cfg, err = settings.New(zone, callers.Addr().String(), peers.Addr().String(), noPlatform, s.settings...)
	if err != nil {
		return nil, err
	}
	log := s.log.WithValues("host", i)
	scope, handler, closer := metrics.New()
	p, err := process.New(cfg, callers, peers, s.ports(i, log), scope, handler, log)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &Host{settings: cfg, stop: stop, done: make(chan struct{})}
	go func() {
		h.err = errors.Join(p.Run(ctx), closer.Close())
		close(h.done)
	}()
	return h, nil
}

// Hosts returns the hosts. Host i is in zone i modulo the number of zones.
func (s *Site) Hosts() []*Host { return s.hosts }

// CallerAddresses returns the addresses for callers of all hosts, beginning with the
// given host's: a client tries the next if one cannot be reached.
func (s *Site) CallerAddresses(first int) []string {
	var list []string
	for i := range s.hosts {
		list = append(list, s.hosts[(first+i)%len(s.hosts)].CallerAddress())
	}
	return list
}

// Stop stops all hosts as planned, at the same time, and waits for their ends. Hosts
// that have stopped already are no fault.
func (s *Site) Stop() error {
	for _, h := range s.hosts {
		h.Stop()
	}
	var faults []error
	for i, h := range s.hosts {
		if err := h.Wait(); err != nil {
			faults = append(faults, fmt.Errorf("host %d: %w", i, err))
		}
	}
	return errors.Join(faults...)
}
