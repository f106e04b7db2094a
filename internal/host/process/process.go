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
	"guavaglade.example/guavaglade/internal/host/settings"
	"guavaglade.example/guavaglade/internal/host/station"
)

// Process is one host that serves the product's own interface.
type Process struct {
	station *station.Station
	callers net.Listener
	peers   net.Listener
	http    *http.Server
	log     logr.Logger
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
func New(s settings.Settings, callers, peers net.Listener, ports station.Ports, scope tally.Scope, shown http.Handler, log logr.Logger) (*Process, error) {
	callers = netutil.LimitListener(callers, s.MaxConnections())
	opts := []station.Option{
		station.WithMetrics(scope), station.WithGrace(s.UnreadyTime() + s.StopGrace()), station.WithUnreadyTime(s.UnreadyTime()),
	}
	callers, peers, opts, err := secured(s, callers, peers, opts, log)
	if err != nil {
		return nil, err
	}
	id := station.Identity{
		Name: s.PeerAddress(), Zone: s.Zone(), Peers: s.PeerAddress(), Power: float64(runtime.GOMAXPROCS(0)),
	}
	st := station.New(id, ports, station.Configuration{Key: version.Key, Decode: version.Catalog}, log, opts...)
	p := &Process{station: st, callers: callers, peers: peers, log: log}
	p.http = &http.Server{
		Handler: api.New(st, s, shown).Handler(), MaxHeaderBytes: s.MaxHeader(),
		ReadTimeout: s.RequestTimeout(), ReadHeaderTimeout: s.RequestTimeout(), WriteTimeout: s.MaxWait() + s.RequestTimeout(),
	}
	return p, nil
}

// secured puts TLS on the listeners and on connections to peers, as far as the
// settings name files for it.
func secured(s settings.Settings, callers, peers net.Listener, opts []station.Option, log logr.Logger) (net.Listener, net.Listener, []station.Option, error) {
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
		opts = append(opts, station.WithPeerTLS(m.Client))
	}
	return callers, peers, opts, nil
}

// Run serves until the context ends, then stops as planned: leadership is given
// up, the balancer is told, callers who wait get an answer, and nothing in
// progress is cut.
func (p *Process) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		err := p.http.Serve(p.callers)
		if !errors.Is(err, http.ErrServerClosed) {
			p.log.Error(err, "callers no longer served")
		}
		cancel(err)
	}()
	return p.station.Run(ctx, p.peers, p.drain)
}

// drain finishes what callers wait for.
func (p *Process) drain(ctx context.Context) {
	begun := time.Now()
	if err := p.http.Shutdown(ctx); err != nil {
		p.log.Info("stop", "step", "callers", "afterMS", time.Since(begun).Milliseconds(), "error", err.Error())
	}
}
