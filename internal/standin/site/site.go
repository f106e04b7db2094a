package site

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

// unreadyTime is short, since no balancer stands before a site.
const unreadyTime = 300 * time.Millisecond

// loopback takes any free port of this machine.
const loopback = "127.0.0.1:0"

// Site is a platform, a fleet and hosts that run. It is not safe for use by
// several goroutines.
type Site struct {
	sizes    fleet.Sizes
	perZone  int    // hosts of each zone
	keyHash  string // of the operator's first key
	extra    []settings.Option
	log      logr.Logger
	store    *platform.Store
	platform *platform.Server
	http     *http.Server // of the platform
	address  string       // of the platform
	fleet    *fleet.Fleet
	hosts    []*Host
	net      *Net
}

// Host is one host of a site.
type Host struct {
	settings settings.Settings
	process  *process.Process
	stop     context.CancelFunc
	outlet   *outlet
	doors    []net.Listener // of callers and peers
	ended    chan error     // filled once
}

// Zone returns the host's availability zone.
func (h *Host) Zone() string { return h.settings.Zone() }

// Caller returns the IP:port that callers reach.
func (h *Host) Caller() string { return h.settings.CallerAddress() }

// Process returns the host's process.
func (h *Host) Process() *process.Process { return h.process }

// Stop begins a planned stop; Ended tells how it went.
func (h *Host) Stop() { h.stop() }

// Peer returns the host's peer address.
func (h *Host) Peer() string { return h.settings.PeerAddress() }

// Kill ends the host at once, as kill -9 does: its connections break in both
// directions, nothing is handed over and nobody is told. It returns when the
// host has ended.
func (h *Host) Kill() {
	h.outlet.kill()
	for _, l := range h.doors {
		_ = l.Close()
	}
	_ = h.Ended() // it says that its listeners are closed
}

// Ended waits until the host has ended and returns its error.
func (h *Host) Ended() error {
	err := <-h.ended
	h.ended <- err
	return err
}

// Option sets one property of a new site.
type Option func(*Site)

// WithHosts sets the hosts of each zone, by default two.
func WithHosts(perZone int) Option { return func(s *Site) { s.perZone = perZone } }

// WithFleet sets the fleet, by default 12 workers in three zones.
func WithFleet(f fleet.Sizes) Option { return func(s *Site) { s.sizes = f } }

// WithSettings sets what all hosts are told beside their addresses and peers.
func WithSettings(opts ...settings.Option) Option {
	return func(s *Site) { s.extra = append(s.extra, opts...) }
}

// WithLog sets where all hosts log, by default nowhere.
func WithLog(l logr.Logger) Option { return func(s *Site) { s.log = l } }

// WithOperatorKey sets the hash of the key that may apply the first text.
func WithOperatorKey(hash string) Option { return func(s *Site) { s.keyHash = hash } }

// Start starts a site. Its hosts end, as planned, when the context does.
func Start(ctx context.Context, opts ...Option) (*Site, error) {
	s := &Site{
		perZone: 2, log: logr.Discard(), net: NewNet(),
		sizes: fleet.Sizes{
			Zones: []string{"leon", "celaya", "irapuato"}, Count: 12, PerRack: 4,
			Accelerators: 8, Cores: 64, Memory: 256 << 10, Slots: 8,
		},
	}
	for _, o := range opts {
		o(s)
	}
	if err := s.startPlatform(); err != nil {
		return nil, err
	}
	if err := s.startFleet(); err != nil {
		return nil, err
	}
	return s, s.startHosts(ctx)
}

func (s *Site) startPlatform() error {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return fmt.Errorf("listen for the platform: %w", err)
	}
	s.address = l.Addr().String()
	s.store = platform.NewStore()
	s.platform = platform.NewServer(s.store)
	s.http = &http.Server{Handler: s.platform.Handler(), ReadHeaderTimeout: time.Second}
	go func() {
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error(err, "platform")
		}
	}()
	return nil
}

func (s *Site) startFleet() error {
	workers, err := s.sizes.Workers()
	if err != nil {
		return err
	}
	if s.fleet, err = fleet.Launch("127.0.0.1", 0, workers); err != nil {
		return err
	}
	s.store.Register(s.fleet.Targets()...)
	return nil
}

func (s *Site) startHosts(ctx context.Context) error {
	type pair struct {
		zone           string
		callers, peers net.Listener
	}
	var pairs []pair
	var peers []settings.Peer
	for i := range s.perZone * len(s.sizes.Zones) {
		callers, err := net.Listen("tcp", loopback)
		if err != nil {
			return fmt.Errorf("listen for callers: %w", err)
		}
		others, err := net.Listen("tcp", loopback)
		if err != nil {
			return fmt.Errorf("listen for peers: %w", err)
		}
		zone := s.sizes.Zones[i%len(s.sizes.Zones)]
		pairs = append(pairs, pair{zone, callers, others})
		peers = append(peers, settings.Peer{Address: others.Addr().String(), Zone: zone})
	}
	for _, p := range pairs {
		to, err := settings.New(p.zone, p.callers.Addr().String(), p.peers.Addr().String(), s.address,
			append([]settings.Option{settings.WithPeers(peers...), settings.WithOperatorKey(s.keyHash), settings.WithUnreadyTime(unreadyTime)}, s.extra...)...)
		if err != nil {
			return err
		}
		h, err := s.startHost(ctx, to, p.callers, p.peers)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	return nil
}

func (s *Site) startHost(ctx context.Context, to settings.Settings, callers, peers net.Listener) (*Host, error) {
	out := newOutlet(s.net, to.PeerAddress())
	p, err := process.New(to, &inlet{callers, out, false}, &inlet{peers, out, true},
		s.log.WithValues("at", to.PeerAddress()), time.Now(), process.WithDial(out.dial))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	h := &Host{settings: to, process: p, stop: stop, outlet: out, doors: []net.Listener{callers, peers}, ended: make(chan error, 1)}
	go func() { h.ended <- p.Run(ctx) }()
	return h, nil
}

// Restart starts a host anew at the addresses of one that has ended, as a
// replaced host does: with a new incarnation and without any memory.
func (s *Site) Restart(ctx context.Context, i int) error {
	to := s.hosts[i].settings
	callers, peers, err := process.Listen(to)
	if err != nil {
		return err
	}
	h, err := s.startHost(ctx, to, callers, peers)
	if err != nil {
		return err
	}
	s.hosts[i] = h
	return nil
}

// Zones returns the availability zones.
func (s *Site) Zones() []string { return s.sizes.Zones }

// Hosts returns the hosts, dealt out over the zones in turn.
func (s *Site) Hosts() []*Host { return s.hosts }

// Platform returns the stand-in platform, to switch its faults.
func (s *Site) Platform() *platform.Server { return s.platform }

// PlatformAddress returns the platform's IP:port.
func (s *Site) PlatformAddress() string { return s.address }

// Store returns what the platform stores.
func (s *Site) Store() *platform.Store { return s.store }

// Fleet returns the stand-in targets.
func (s *Site) Fleet() *fleet.Fleet { return s.fleet }

// Net returns the network between the hosts and all else, to cut it.
func (s *Site) Net() *Net { return s.net }

// Callers returns the callers' addresses of all hosts, the one at first in front.
func (s *Site) Callers(first int) []string {
	var as []string
	for i := range s.hosts {
		as = append(as, s.hosts[(first+i)%len(s.hosts)].Caller())
	}
	return as
}

// Stop stops all hosts as planned and then the stand-ins.
func (s *Site) Stop() error {
	var failed []string
	for _, h := range s.hosts {
		h.Stop()
	}
	for _, h := range s.hosts {
		if err := h.Ended(); err != nil && !errors.Is(err, net.ErrClosed) {
			failed = append(failed, err.Error())
		}
	}
	s.fleet.Close()
	_ = s.http.Close()
	if len(failed) > 0 {
		return fmt.Errorf("stop: %s", strings.Join(failed, "; "))
	}
	return nil
}
