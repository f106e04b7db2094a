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

// loopback is the IP of all hosts; ports are free ones.
const loopback = "127.0.0.1"

// nowhere stands for the platform's address, which the ports know.
const nowhere = loopback + ":1"

// Ways gives a host its ways to the platform.
type Ways func(host int, log logr.Logger) scheduler.Ports

// Zones are the availability zones of a site.
var Zones = []string{"leon", "celaya", "irapuato"}

// Site is hosts of the system.
type Site struct {
	ways    Ways
	perZone int
	more    []settings.Option
	log     logr.Logger
	hosts   []*Host
}

// Host is one host of a site.
type Host struct {
	settings settings.Settings
	stop     context.CancelFunc
	over     chan struct{} // closed when it has ended
	err      error         // valid then
}

// Caller returns the IP:port for callers.
func (h *Host) Caller() string { return h.settings.CallerAddress() }

// Peer returns the IP:port for other hosts.
func (h *Host) Peer() string { return h.settings.PeerAddress() }

// Stop begins a planned stop.
func (h *Host) Stop() { h.stop() }

// Ended waits until the host has ended, and returns why if that was not by a
// planned stop.
func (h *Host) Ended() error {
	<-h.over
	return h.err
}

// Option sets one property of a new site.
type Option func(*Site)

// WithHosts sets the hosts of each zone, by default two.
func WithHosts(perZone int) Option { return func(s *Site) { s.perZone = perZone } }

// WithSettings sets properties of all hosts' settings.
func WithSettings(opts ...settings.Option) Option {
	return func(s *Site) { s.more = append(s.more, opts...) }
}

// WithOperatorKey lets the key with the hash apply the first configuration.
func WithOperatorKey(hash string) Option { return WithSettings(settings.WithOperatorKeyHash(hash)) }

// WithLog sets the log of all hosts, by default none.
func WithLog(l logr.Logger) Option { return func(s *Site) { s.log = l } }

// Start starts a site. Stop must be called at its end.
func Start(ways Ways, opts ...Option) (*Site, error) {
	s := &Site{ways: ways, perZone: 2, log: logr.Discard()}
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

func (s *Site) start(i int) (*Host, error) {
	zone := Zones[i%len(Zones)]
	of, err := settings.New(zone, loopback+":0", loopback+":0", nowhere, s.more...)
	if err != nil {
		return nil, err
	}
	callers, peers, err := process.Listen(of)
	if err != nil {
		return nil, err
	}
	of, err = settings.New(zone, callers.Addr().String(), peers.Addr().String(), nowhere, s.more...)
	if err != nil {
		return nil, err
	}
	log := s.log.WithValues("host", i)
	scope, shown, closer := metrics.New()
	p, err := process.New(of, callers, peers, s.ways(i, log), scope, shown, log)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	h := &Host{settings: of, stop: stop, over: make(chan struct{})}
	go func() {
		h.err = errors.Join(p.Run(ctx), closer.Close())
		close(h.over)
	}()
	return h, nil
}

// Hosts returns the hosts, the zones in turn.
func (s *Site) Hosts() []*Host { return s.hosts }

// Callers returns the addresses for callers, beginning with one host's: a client
// goes on to the next if that does not answer.
func (s *Site) Callers(first int) []string {
	var list []string
	for i := range s.hosts {
		list = append(list, s.hosts[(first+i)%len(s.hosts)].Caller())
	}
	return list
}

// Stop stops all hosts as planned.
func (s *Site) Stop() error {
	for _, h := range s.hosts {
		h.Stop()
	}
	var faults []error
	for i, h := range s.hosts {
		if err := h.Ended(); err != nil {
			faults = append(faults, fmt.Errorf("host %d: %w", i, err))
		}
	}
	return errors.Join(faults...)
}
