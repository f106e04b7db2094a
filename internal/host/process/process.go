package process

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
	"golang.org/x/net/netutil"

	"guavaglade.example/guavaglade/internal/config/version"
	"guavaglade.example/guavaglade/internal/host/api"
	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/host/scheduler"
	"guavaglade.example/guavaglade/internal/host/settings"
)

// Process is one host that serves the product's own interface.
type Process struct {
	scheduler *scheduler.Scheduler
	api       *api.API
	now       settings.Settings // in force
	callers   net.Listener
	peers     net.Listener
	http      *http.Server
	expires   map[string]func() time.Time // of the certificates in use, by whom they are shown to
	metrics   tally.Scope
	log       logr.Logger
}

// Listen takes the addresses that the settings name.
func Listen(s settings.Settings) (callers, peers net.Listener, err error) {
	callers, err = net.Listen("tcp", s.CallerAddress())
	if err != nil {
		return nil, nil, fmt.Errorf("listen for callers: %w", err)
	}
	peers, err = net.Listen("tcp", s.PeerAddress())
	if err != nil {
		_ = callers.Close() // the error is told
		return nil, nil, fmt.Errorf("listen for peers: %w", err)
	}
	return callers, peers, nil
}

// New returns a process on listeners that are open already. The ports lead to the
// platform; shown serves the metrics, nil for none.
func New(s settings.Settings, callers, peers net.Listener, ports scheduler.Ports, scope tally.Scope, shown http.Handler, log logr.Logger) (*Process, error) {
	p := &Process{
		now: s, callers: netutil.LimitListener(callers, s.MaxConnections()), peers: peers,
		expires: map[string]func() time.Time{}, metrics: scope, log: log,
	}
	opts := []scheduler.Option{
		scheduler.WithMetrics(scope), scheduler.WithStopTimeout(s.UnreadyTime() + s.StopGrace()), scheduler.WithUnreadyTime(s.UnreadyTime()),
	}
	secured, err := p.secure(s.TLS())
	if err != nil {
		return nil, err
	}
	opts = append(opts, secured...)
	id := scheduler.Identity{
		Name: s.PeerAddress(), Zone: s.Zone(), PeerAddress: s.PeerAddress(), Cores: float64(runtime.GOMAXPROCS(0)),
	}
	p.scheduler = scheduler.New(id, ports, scheduler.Configuration{Key: version.Key, Decode: version.DecodeCatalog}, log, opts...)
	p.api = api.New(p.scheduler, s, shown)
	p.http = &http.Server{
		Handler: p.api.Handler(), MaxHeaderBytes: s.MaxHeader(),
		ReadTimeout: s.RequestTimeout(), ReadHeaderTimeout: s.RequestTimeout(), WriteTimeout: s.MaxWait() + s.RequestTimeout(),
	}
	return p, nil
}

// secure puts TLS on the listeners, and returns how peers are reached over it, as
// far as files are named for it.
func (p *Process) secure(files settings.TLS) ([]scheduler.Option, error) {
	report := func(err error) { p.log.Error(err, "tls", "step", "read") }
	if files.CallerCert != "" {
		c, err := credential.NewCertificate(files.CallerCert, files.CallerKey, report)
		if err != nil {
			return nil, err
		}
		p.callers = tls.NewListener(p.callers, c.Server())
		p.expires["callers"] = c.Expires
	}
	if files.PeerCert == "" {
		return nil, nil
	}
	m, err := credential.NewMutual(files.PeerCert, files.PeerKey, files.PeerCA, report)
	if err != nil {
		return nil, err
	}
	p.peers = tls.NewListener(p.peers, m.Server())
	p.expires["peers"] = m.Expires
	return []scheduler.Option{scheduler.WithPeerTLS(m.Client)}, nil
}

// expiryEvery is the time between two looks at when certificates expire: they are
// replaced days before.
const expiryEvery = time.Minute

// showExpiries shows when the certificates in use expire.
func (p *Process) showExpiries() {
	for to, at := range p.expires {
		p.metrics.Tagged(map[string]string{"to": to}).Gauge("certificate_expiry_timestamp_seconds").Update(float64(at().Unix()))
	}
}

// followExpiries goes on showing them until the context ends.
func (p *Process) followExpiries(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(expiryEvery):
			p.showExpiries()
		}
	}
}

// Reload takes over what a running host can of settings that were read again. It
// must not be called by two goroutines at once.
func (p *Process) Reload(next settings.Settings) {
	now, done := p.now.Reload(next)
	p.now = now
	p.api.SetSettings(now)
	p.log.Info("reload", "changed", fmt.Sprint(done.Changed), "needRestart", fmt.Sprint(done.Restart))
}

// Run serves until the context ends, then stops as planned: leadership is given
// up, the balancer is told, callers who wait get an answer, and nothing in
// progress is cut.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p.showExpiries()
	go p.followExpiries(ctx)
	go func() {
		err := p.http.Serve(p.callers)
		if !errors.Is(err, http.ErrServerClosed) {
			p.log.Error(err, "callers no longer served")
		}
		cancel(err)
	}()
	return p.scheduler.Run(ctx, p.peers, p.drain)
}

// drain finishes what callers wait for.
func (p *Process) drain(ctx context.Context) {
	begun := time.Now()
	if err := p.http.Shutdown(ctx); err != nil {
		p.log.Info("stop", "step", "callers", "afterMS", time.Since(begun).Milliseconds(), "error", err.Error())
	}
}
