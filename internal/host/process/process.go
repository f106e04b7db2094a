package process

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"golang.org/x/net/netutil"

	"guavaglade.example/guavaglade/internal/host/api"
	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/host/peer"
	"guavaglade.example/guavaglade/internal/host/server"
	"guavaglade.example/guavaglade/internal/host/settings"
	"guavaglade.example/guavaglade/internal/host/traffic"
	"guavaglade.example/guavaglade/internal/platform/remote"
)

const (
	metricsEvery = time.Second // between two passings of the counts to /metrics
	platformIdle = 16          // connections to the platform that are kept for the next calls
)

// Process is one host that serves.
type Process struct {
	node    *server.Node
	callers net.Listener
	peers   net.Listener
	http    *http.Server
	log     logr.Logger
	metrics func() error // ends the metrics
}

// Option sets one property of a new process.
type Option func(*options)

type options struct {
	dial traffic.Dial // nil: the usual one
}

// WithDial sets how the process reaches peers, workers and the platform. Tests
// cut the network with it.
func WithDial(d traffic.Dial) Option { return func(o *options) { o.dial = d } }

// Listen takes the addresses that the settings name.
func Listen(s settings.Settings) (callers, peers net.Listener, err error) {
	callers, err = net.Listen("tcp", s.CallerAddress())
	if err != nil {
		return nil, nil, fmt.Errorf("listen for callers: %w", err)
	}
	peers, err = net.Listen("tcp", s.PeerAddress())
	if err != nil {
		_ = callers.Close()
		return nil, nil, fmt.Errorf("listen for peers: %w", err)
	}
	return callers, peers, nil
}

// New returns a process on listeners that are open already. The incarnation is
// the time of the start, so that it rises with each start at the address.
func New(s settings.Settings, callers, peers net.Listener, log logr.Logger, started time.Time, more ...Option) (*Process, error) {
	set := options{}
	for _, o := range more {
		o(&set)
	}
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "guavaglade", CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsEvery)
	callers = traffic.New(scope, "callers").Listener(netutil.LimitListener(callers, s.MaxConnections()))
	withPeers := traffic.New(scope, "peers")
	peers = withPeers.Listener(peers)
	opts := []server.Option{
		server.WithLog(log), server.WithMetrics(scope),
		server.WithDials(peer.Dial(withPeers.Dial(set.dial)), peer.Dial(traffic.New(scope, "workers").Dial(set.dial))),
	}
	callers, peers, opts, err := secured(s, callers, peers, opts, log)
	if err != nil {
		return nil, err
	}
	toPlatform := &http.Transport{
		DialContext: traffic.New(scope, "platform").Dial(set.dial), MaxIdleConnsPerHost: platformIdle, IdleConnTimeout: time.Minute,
	}
	node, err := server.New(s, remote.New(s.Platform(), toPlatform), started.UnixMilli(), opts...)
	if err != nil {
		return nil, err
	}
	p := &Process{node: node, callers: callers, peers: peers, log: log, metrics: closer.Close}
	p.http = &http.Server{
		Handler: api.New(node, reporter.HTTPHandler()).Handler(), MaxHeaderBytes: s.MaxHeader(),
		ReadTimeout: s.RequestTimeout(), ReadHeaderTimeout: s.RequestTimeout(), WriteTimeout: s.MaxWait() + s.RequestTimeout(),
	}
	return p, nil
}

// secured puts TLS on the listeners and on connections to peers, as far as the
// settings name files for it.
func secured(s settings.Settings, callers, peers net.Listener, opts []server.Option, log logr.Logger) (net.Listener, net.Listener, []server.Option, error) {
	report := func(err error) { log.Error(err, "tls", "step", "read") }
	files := s.TLS()
	if files.CallerCert != "" {
		c, err := credential.NewCertificate(files.CallerCert, files.CallerKey, report)
		if err != nil {
			return nil, nil, nil, err
		}
		callers = tls.NewListener(callers, c.Server())
	}
	if files.PeerCert != "" {
		m, err := credential.NewMutual(files.PeerCert, files.PeerKey, files.PeerCA, report)
		if err != nil {
			return nil, nil, nil, err
		}
		peers = tls.NewListener(peers, m.Server())
		opts = append(opts, server.WithPeerTLS(m.Client))
	}
	return callers, peers, opts, nil
}

// Node returns the host's node.
func (p *Process) Node() *server.Node { return p.node }

// Run serves until the context ends, then stops as planned: the balancer is
// told, the placer's and the entry's work is handed over, callers who wait get
// an answer, and nothing in progress is cut.
func (p *Process) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	failed := make(chan error, 2)
	go func() { failed <- p.node.Run(life, p.peers) }()
	go func() { failed <- p.http.Serve(p.callers) }()
	select {
	case err := <-failed:
		return fmt.Errorf("host %s: %w", p.node.ID(), err)
	case <-ctx.Done():
	}
	p.stop(life)
	end()
	for range 2 {
		if err := <-failed; err != nil && !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("host %s: %w", p.node.ID(), err)
		}
	}
	return p.metrics()
}

func (p *Process) stop(ctx context.Context) {
	s := p.node.Settings()
	ctx, cancel := context.WithTimeout(ctx, s.StopGrace()+s.RequestTimeout())
	defer cancel()
	if err := p.node.Stop(ctx, time.Now().Add(s.StopGrace())); err != nil {
		p.log.Error(err, "stop", "host", p.node.ID())
	}
	if err := p.http.Shutdown(ctx); err != nil {
		p.log.Error(err, "stop", "host", p.node.ID(), "step", "callers")
	}
}
