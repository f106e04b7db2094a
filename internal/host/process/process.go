package process

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/config/version"
	"guavaglade.example/guavaglade/internal/host/admission"
	"guavaglade.example/guavaglade/internal/host/api"
	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/host/scheduler"
	"guavaglade.example/guavaglade/internal/host/settings"
)

// Process is one host that serves the HTTP API of package api.
type Process struct {
	scheduler    *scheduler.Scheduler
	api          *api.API
	settings     settings.Settings // in force
	callers      net.Listener
	peers        net.Listener
	http         *http.Server
	certExpiries map[string]func() time.Time // by metric label "to"
	metrics      tally.Scope
	log          logr.Logger
}

// Listen opens the listeners on the addresses in the settings.
func Listen(s settings.Settings) (callers, peers net.Listener, err error) {
	callers, err = admission.Listen(s.CallerAddress())
	if err != nil {
		return nil, nil, fmt.Errorf("listen for callers: %w", err)
	}
	peers, err = admission.Listen(s.PeerAddress())
	if err != nil {
		_ = callers.Close() // the first error is returned
		return nil, nil, fmt.Errorf("listen for peers: %w", err)
	}
	return callers, peers, nil
}

// New returns a process that serves on open listeners and reaches the platform through
// the ports. The handler serves the metrics; it may be nil. The error is that of reading the
// TLS files; the listeners stay open then.
func New(s settings.Settings, callers, peers net.Listener, ports scheduler.Ports, scope tally.Scope, metricsHandler http.Handler, log logr.Logger) (*Process, error) {
	common := []admission.Option{admission.WithMetrics(scope), admission.WithLog(log)}
	callerGate := admission.New("callers", admission.CallerBudget(s.MaxMemory(), 0).Limited(s.MaxConnections()), append(common,
		admission.WithWriteTimeout(s.RequestTimeout()),
		admission.WithTimeouts(func() admission.Timeouts {
			return admission.Timeouts{Header: s.RequestTimeout(), Body: s.RequestTimeout(), Idle: s.RequestTimeout()}
		}))...)
	peerGate := admission.NewForPeers("peers", admission.PeerBudget(s.MaxMemory(), 0), common...)
	p := &Process{
		settings: s, callers: callerGate.Listener(callers), peers: peerGate.Listener(peers),
		certExpiries: map[string]func() time.Time{}, metrics: scope, log: log,
	}
	opts := []scheduler.Option{
		scheduler.WithMetrics(scope), scheduler.WithStopTimeout(s.UnreadyTime() + s.StopGrace()), scheduler.WithUnreadyTime(s.UnreadyTime()),
	}
	tlsOpts, err := p.enableTLS(s.TLS())
	if err != nil {
		return nil, err
	}
	opts = append(opts, tlsOpts...)
	id := scheduler.Identity{
		Name: s.PeerAddress(), Zone: s.Zone(), PeerAddress: s.PeerAddress(), Cores: float64(runtime.GOMAXPROCS(0)),
	}
	p.scheduler = scheduler.New(id, ports, scheduler.Configuration{Key: version.Key, Decode: version.DecodeCatalog}, log, opts...)
	p.api = api.New(p.scheduler, s, metricsHandler)
	p.http = callerGate.Server(p.api.Handler(), api.Refuse)
	p.http.MaxHeaderBytes = s.MaxHeaderBytes()
	return p, nil
}

// enableTLS wraps the listeners in TLS if the settings name files for it, which are reloaded
// when they change, and returns the options with which peers are reached over TLS.
func (p *Process) enableTLS(files settings.TLS) ([]scheduler.Option, error) {
	logError := func(err error) { p.log.Error(err, "TLS files not reloaded", "step", "read") }
	if files.CallerCert != "" {
		c, err := credential.NewCertificate(files.CallerCert, files.CallerKey, logError)
		if err != nil {
			return nil, err
		}
		p.callers = tls.NewListener(p.callers, c.ServerConfig())
		p.certExpiries["callers"] = c.Expires
	}
	if files.PeerCert == "" {
		return nil, nil
	}
	m, err := credential.NewMutualTLS(files.PeerCert, files.PeerKey, files.PeerCA, logError)
	if err != nil {
		return nil, err
	}
	p.peers = tls.NewListener(p.peers, m.ServerConfig())
	p.certExpiries["peers"] = m.Expires
	return []scheduler.Option{scheduler.WithPeerTLS(m.ClientConfig)}, nil
}

// expiryInterval is the interval of updating the expiry metrics. Certificates are replaced
// days before they expire.
const expiryInterval = time.Minute

// reportExpiries updates the metrics of when the certificates in use expire.
func (p *Process) reportExpiries() {
	for to, at := range p.certExpiries {
		p.metrics.Tagged(map[string]string{"to": to}).Gauge("certificate_expiry_timestamp_seconds").Update(float64(at().Unix()))
	}
}

// watchExpiries calls reportExpiries periodically until the context ends.
func (p *Process) watchExpiries(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(expiryInterval):
			p.reportExpiries()
		}
	}
}

// Reload applies the settings that a running host can change, and logs those that need a
// restart. It must not be called concurrently.
func (p *Process) Reload(next settings.Settings) {
	settings, reloaded := p.settings.Reload(next)
	p.settings = settings
	p.api.SetSettings(settings)
	p.log.Info("reload", "changed", fmt.Sprint(reloaded.Changed), "needRestart", fmt.Sprint(reloaded.NeedRestart))
}

// Run serves until the context ends, then performs a planned stop: the host resigns
// leadership, reports that it is not ready, and finishes the requests in progress. If the
// listener for callers fails, that is logged and begins a planned stop as well; if the one
// for peers does, Run returns the error at once.
func (p *Process) Run(ctx context.Context) error {
	debug.SetMemoryLimit(p.settings.MaxMemory() / 2) // the rest is for sockets and what the collector lags behind
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.reportExpiries()
	go p.watchExpiries(ctx)
	go func() {
		err := p.http.Serve(p.callers)
		if !errors.Is(err, http.ErrServerClosed) {
			p.log.Error(err, "caller listener failed")
		}
		cancel(err)
	}()
	return p.scheduler.Run(ctx, p.peers, p.drain)
}

// drain closes the listener for callers and waits for the requests in progress until the
// context ends.
func (p *Process) drain(ctx context.Context) {
	start := time.Now()
	if err := p.http.Shutdown(ctx); err != nil {
		p.log.Info("requests not drained", "step", "callers", "afterMS", time.Since(start).Milliseconds(), "error", err.Error())
	}
}
