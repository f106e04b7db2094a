package process_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	cryptorand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/host/process"
	"guavaglade.example/guavaglade/internal/host/scheduler"
	"guavaglade.example/guavaglade/internal/host/settings"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
)

// running is a process that runs in a test, on free ports.
type running struct {
	*process.Process
	callers net.Listener
	peers   net.Listener
	stop    context.CancelFunc
	ended   chan error
}

// settingsWith returns settings for the listeners, with more settings text appended.
func settingsWith(t *testing.T, callers, peers net.Listener, more string) settings.Settings {
	t.Helper()
	s, err := settings.Parse("host.ini", []byte("[host]\nzone = leon\ncallerAddress = "+callers.Addr().String()+
		"\npeerAddress = "+peers.Addr().String()+"\n[platform]\naddress = 127.0.0.1:1\n"+more))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// start runs a process with no targets and more settings text.
func start(t *testing.T, more string) *running {
	t.Helper()
	return startWithMetrics(t, more, tally.NoopScope)
}

// startWithMetrics is start with a scope for the metrics.
func startWithMetrics(t *testing.T, more string, scope tally.Scope) *running {
	t.Helper()
	is := is.New(t)
	r := &running{callers: listen(t), peers: listen(t), ended: make(chan error, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	r.stop = cancel
	rnd := rand.New(rand.NewPCG(1, 1))
	shared := pool.Share(ctx, pool.New(pool.DefaultBounds()))
	ports := scheduler.Ports{Store: rows.NewLink(rows.New(0), rnd), Transport: pool.NewTransport(shared, 0, rnd), Roster: shared}
	var err error
	r.Process, err = process.New(settingsWith(t, r.callers, r.peers, more), r.callers, r.peers, ports, scope, nil, logr.Discard())
	is.NoErr(err)
	go func() { r.ended <- r.Run(ctx) }()
	return r
}

// request sends a request with a key and returns the status.
func (r *running) request(t *testing.T, method, path, key, body string) int {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+r.callers.Addr().String()+path, strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, res.Body)
	is.NoErr(res.Body.Close())
	return res.StatusCode
}

const quickStop = "[limits]\nunreadyTime = 1ms\n"

// An operator replaces the hash of a leaked key in the settings and sends SIGHUP. The old
// key must be refused from then on, and a new limit of the body applies.
func TestReloadAppliesKeyAndLimit(t *testing.T) {
	is := is.New(t)
	r := start(t, quickStop+"[operator]\nkeyHash = "+credential.NewKey("seen").Hash()+"\n")
	getConfiguration := func(key string) int { return r.request(t, http.MethodGet, "/v1/configuration", key, "") }
	is.True(getConfiguration("seen") != http.StatusUnauthorized)
	is.Equal(getConfiguration("fresh"), http.StatusUnauthorized)

	r.Reload(settingsWith(t, r.callers, r.peers, "[limits]\nmaxBody = 16\n[operator]\nkeyHash = "+credential.NewKey("fresh").Hash()+"\n"))
	is.Equal(getConfiguration("seen"), http.StatusUnauthorized)
	is.True(getConfiguration("fresh") != http.StatusUnauthorized)
	is.Equal(r.request(t, http.MethodPut, "/v1/configuration", "fresh", `{"text": "seventeen bytes"}`), http.StatusRequestEntityTooLarge)
	r.stop()
	is.NoErr(<-r.ended)
}

// A planned stop closes the listeners for callers and peers and returns no error.
func TestPlannedStopClosesBothListeners(t *testing.T) {
	is := is.New(t)
	r := start(t, quickStop)
	is.Equal(r.request(t, http.MethodGet, "/healthz", "", ""), http.StatusOK)
	r.stop()
	is.NoErr(<-r.ended)
	for _, l := range []net.Listener{r.callers, r.peers} {
		c, err := net.DialTimeout("tcp", l.Addr().String(), time.Second)
		if err == nil {
			_ = c.Close()
		}
		is.True(err != nil)
	}
}

// Two hosts are given the same port. The error of the second names the address, and the
// other listener is closed.
func TestListenErrorNamesAddress(t *testing.T) {
	is := is.New(t)
	inUse, free := listen(t), listen(t)
	is.NoErr(free.Close())
	_, _, err := process.Listen(settingsWith(t, inUse, free, ""))
	is.True(strings.Contains(err.Error(), "callers"))
	is.True(strings.Contains(err.Error(), inUse.Addr().String()))
	_, _, err = process.Listen(settingsWith(t, free, inUse, ""))
	is.True(strings.Contains(err.Error(), "peers"))
	again, err := net.Listen("tcp", free.Addr().String())
	is.NoErr(err) // the address was released
	is.NoErr(again.Close())
	is.NoErr(inUse.Close())
}

// writeCertificate writes a self-signed certificate for 127.0.0.1 that is valid for an
// hour, and returns the settings text that names it.
func writeCertificate(t *testing.T) (more string, expires time.Time, roots *x509.CertPool) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), cryptorand.Reader)
	is.NoErr(err)
	expires = time.Now().Add(time.Hour).Truncate(time.Second)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: expires, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(cryptorand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	dir := t.TempDir()
	cert, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	is.NoErr(os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	is.NoErr(os.WriteFile(keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600))
	parsed, err := x509.ParseCertificate(der)
	is.NoErr(err)
	roots = x509.NewCertPool()
	roots.AddCert(parsed)
	more = fmt.Sprintf("[tls]\ncallerCert = %[1]s\ncallerKey = %[2]s\npeerCert = %[1]s\npeerKey = %[2]s\npeerCA = %[1]s\n", cert, keyFile)
	return more, expires, roots
}

// An expired certificate disconnects all callers at once. A metric gives the time of
// expiry for each listener, so that an alert can fire before it.
func TestCertificatesAreServedWithExpiryMetric(t *testing.T) {
	is := is.New(t)
	more, expires, roots := writeCertificate(t)
	scope := tally.NewTestScope("", nil)
	r := startWithMetrics(t, quickStop+more, scope)
	https := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	res, err := https.Get("https://" + r.callers.Addr().String() + "/healthz")
	is.NoErr(err)
	is.NoErr(res.Body.Close())
	is.Equal(res.StatusCode, http.StatusOK)
	https.CloseIdleConnections()
	expiries := map[string]float64{}
	for _, g := range scope.Snapshot().Gauges() {
		if g.Name() == "certificate_expiry_timestamp_seconds" {
			expiries[g.Tags()["to"]] = g.Value()
		}
	}
	is.Equal(expiries, map[string]float64{"callers": float64(expires.Unix()), "peers": float64(expires.Unix())})
	r.stop()
	is.NoErr(<-r.ended)
}
