package credential_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/host/credential"
)

// A key belongs to the account with its hash, in either case of letters. Unknown and
// empty keys belong to none.
func TestKeyFindsItsAccount(t *testing.T) {
	is := is.New(t)
	body := fmt.Sprintf("[account a]\nkeyHash = %s\n[account b]\noperator = true\nkeyHash = %s\n",
		credential.NewKey("one").Hash(), strings.ToUpper(credential.NewKey("two").Hash()))
	c, err := text.Parse([]byte(body))
	is.NoErr(err)
	for secret, want := range map[string]string{"one": "a", "two": "b", "three": "", "": ""} {
		a, ok := credential.NewKey(secret).Account(c)
		is.Equal(ok, want != "")
		is.Equal(a.Name(), want)
	}
	_, ok := credential.NewKey("one").Account(nil)
	is.True(!ok)
	is.True(!credential.Key{}.Matches(credential.Key{}.Hash())) // the zero key belongs to no account
	is.True(!credential.NewKey("one").Matches(""))
}

// The scheme is compared without regard to case, and other schemes and empty keys are
// refused.
func TestBearer(t *testing.T) {
	for header, want := range map[string]bool{
		"Bearer one": true, "bearer  one ": true, "Basic one": false, "Bearer": false, "Bearer ": false, "": false,
	} {
		k, ok := credential.Bearer(header)
		if ok != want || ok && k.Hash() != credential.NewKey("one").Hash() {
			t.Errorf("%q: got %v, want %v", header, ok, want)
		}
	}
}

// No verb, logger, encoder or wrapped error may show the secret, also where the key is a
// field of another value.
func TestKeyIsNeverPrinted(t *testing.T) {
	k := credential.NewKey("s3cret")
	holder := struct{ K credential.Key }{k}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%v %+v %#v %s %q %x %d %v %+v", k, k, k, k, k, k, k, holder, &holder)
	slog.New(slog.NewTextHandler(&out, nil)).Info("caller", "key", k, "holder", holder)
	slog.New(slog.NewJSONHandler(&out, nil)).Info("caller", "key", k, "holder", holder)
	if err := json.NewEncoder(&out).Encode(holder); err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(&out, errors.Join(fmt.Errorf("refuse %v", k)))
	if strings.Contains(out.String(), "s3cret") || strings.Contains(out.String(), "733363726574") {
		t.Fatalf("key shown in %s", out.String())
	}
}

// authority signs certificates for hosts at 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert, key}
}

func (a authority) pem() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.cert.Raw})
}

// issue returns a certificate for 127.0.0.1, for servers and clients, and its key.
func (a authority) issue(t *testing.T, serial int64) (certPEM, keyPEM []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	body, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: body})
}

// host names the credential files of a host.
type host struct{ cert, key, ca string }

// newHost returns file names in a new directory. The files do not exist yet.
func newHost(t *testing.T) host {
	t.Helper()
	dir := t.TempDir()
	return host{filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")}
}

func writeFile(t *testing.T, file string, body []byte) {
	t.Helper()
	if err := os.WriteFile(file, body, 0o600); err != nil {
		t.Fatal(err)
	}
}

// install writes a new certificate and key of the authority, and the authority's own
// certificate, to the host's files.
func (h host) install(t *testing.T, a authority, serial int64) {
	t.Helper()
	cert, key := a.issue(t, serial)
	writeFile(t, h.cert, cert)
	writeFile(t, h.key, key)
	writeFile(t, h.ca, a.pem())
}

func (h host) mutualTLS(t *testing.T, onError credential.ErrorHandler) *credential.MutualTLS {
	t.Helper()
	m, err := credential.NewMutualTLS(h.cert, h.key, h.ca, onError)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// connect makes one connection and returns the serial number of the server's
// certificate, once both sides have accepted each other.
func connect(t *testing.T, server *tls.Config, client func(address string) (*tls.Config, error)) (int64, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = tls.Server(c, server).Write([]byte("x"))
	}()
	config, err := client(l.Addr().String())
	if err != nil {
		return 0, err
	}
	c, err := tls.Dial("tcp", l.Addr().String(), config)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		return 0, err
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Hosts of one authority accept each other. Both server and client refuse a host of
// another authority, and a server refuses a client without a certificate.
func TestMutualTLSRefusesUnknownAuthority(t *testing.T) {
	is := is.New(t)
	known, unknown := newAuthority(t), newAuthority(t)
	a, b, stranger := newHost(t), newHost(t), newHost(t)
	a.install(t, known, 1)
	b.install(t, known, 2)
	stranger.install(t, unknown, 3)
	serial, err := connect(t, a.mutualTLS(t, nil).ServerConfig(), b.mutualTLS(t, nil).ClientConfig)
	is.NoErr(err)
	is.Equal(serial, int64(1))

	_, err = connect(t, a.mutualTLS(t, nil).ServerConfig(), stranger.mutualTLS(t, nil).ClientConfig)
	is.True(err != nil) // the client does not trust the server's authority
	writeFile(t, stranger.ca, known.pem())
	_, err = connect(t, a.mutualTLS(t, nil).ServerConfig(), stranger.mutualTLS(t, nil).ClientConfig)
	is.True(err != nil) // the server does not trust the client's authority
	_, err = connect(t, a.mutualTLS(t, nil).ServerConfig(), func(string) (*tls.Config, error) {
		return &tls.Config{RootCAs: poolOf(known), ServerName: "127.0.0.1"}, nil
	})
	is.True(err != nil) // no client certificate
}

func poolOf(a authority) *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.cert)
	return p
}

// An operator replaces a certificate and, a moment later, its key. In between the two
// files do not match, and connections must be served with the old pair. Once the key is
// replaced, they must be served with the new pair.
func TestReplacedFilesAreUsedWithoutRestart(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t)
	server, client := newHost(t), newHost(t)
	server.install(t, ca, 1)
	client.install(t, ca, 2)
	var reports []error
	s := server.mutualTLS(t, func(err error) { reports = append(reports, err) })
	c := client.mutualTLS(t, nil)
	config := s.ServerConfig()
	use := func(want int64) {
		t.Helper()
		serial, err := connect(t, config, c.ClientConfig)
		is.NoErr(err)
		is.Equal(serial, want)
	}
	use(1)
	cert, key := ca.issue(t, 3)
	writeFile(t, server.cert, cert)
	use(1)
	use(1)
	is.Equal(len(reports), 1) // once, not at each connection
	is.NoErr(os.Remove(server.key))
	use(1)
	is.Equal(len(reports), 2)
	writeFile(t, server.key, key)
	use(3)
	is.Equal(len(reports), 2)
}

// When an authority is removed from the file, its hosts must be refused from the next
// connection on.
func TestReplacedAuthorityIsUsedWithoutRestart(t *testing.T) {
	is := is.New(t)
	old, replacement := newAuthority(t), newAuthority(t)
	a, b := newHost(t), newHost(t)
	a.install(t, old, 1)
	b.install(t, old, 2)
	server, client := a.mutualTLS(t, nil).ServerConfig(), b.mutualTLS(t, nil).ClientConfig
	_, err := connect(t, server, client)
	is.NoErr(err)
	writeFile(t, a.ca, replacement.pem())
	_, err = connect(t, server, client)
	is.True(err != nil)
	writeFile(t, a.ca, append(old.pem(), replacement.pem()...))
	_, err = connect(t, server, client)
	is.NoErr(err)
}

// A certificate for callers is replaced, together with its key. The next connection must
// be served with it.
func TestCallersGetReplacedCertificate(t *testing.T) {
	is := is.New(t)
	ca, h := newAuthority(t), newHost(t)
	h.install(t, ca, 1)
	c, err := credential.NewCertificate(h.cert, h.key, nil)
	is.NoErr(err)
	caller := func(string) (*tls.Config, error) {
		return &tls.Config{RootCAs: poolOf(ca), ServerName: "127.0.0.1"}, nil
	}
	serial, err := connect(t, c.ServerConfig(), caller)
	is.NoErr(err)
	is.Equal(serial, int64(1))
	h.install(t, ca, 2)
	serial, err = connect(t, c.ServerConfig(), caller)
	is.NoErr(err)
	is.Equal(serial, int64(2))
	is.True(c.Expires().After(time.Now()))
}

// Missing files and files without a certificate or key are errors when they are first
// read.
func TestUnusableFilesAreRefusedAtStart(t *testing.T) {
	is := is.New(t)
	ca, h := newAuthority(t), newHost(t)
	_, err := credential.NewMutualTLS(h.cert, h.key, h.ca, nil)
	is.True(errors.Is(err, os.ErrNotExist))
	h.install(t, ca, 1)
	writeFile(t, h.ca, []byte("nothing"))
	_, err = credential.NewMutualTLS(h.cert, h.key, h.ca, nil)
	is.True(err != nil)
	writeFile(t, h.key, []byte("nothing"))
	_, err = credential.NewCertificate(h.cert, h.key, nil)
	is.True(err != nil)
}
