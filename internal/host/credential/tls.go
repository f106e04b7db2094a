package credential

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"time"
)

// Certificate is a certificate with its key, from two PEM files that may be
// replaced at any time. It is safe for use by several goroutines.
type Certificate struct {
	files *files[*tls.Certificate]
}

// NewCertificate reads the files. An error says which could not be used.
// Report may be nil.
func NewCertificate(certFile, keyFile string, report Report) (*Certificate, error) {
	f, err := newFiles(report, parsePair, certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	return &Certificate{f}, nil
}

func parsePair(bodies [][]byte) (*tls.Certificate, error) {
	pair, err := tls.X509KeyPair(bodies[0], bodies[1])
	if err != nil {
		return nil, err
	}
	return &pair, nil
}

// Expires returns when the certificate in use is no longer valid.
func (c *Certificate) Expires() time.Time { return c.files.current().Leaf.NotAfter }

// Server returns the TLS configuration towards callers, who need no
// certificate of their own.
func (c *Certificate) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.files.current(), nil
		},
	}
}

// Mutual is a host's proof towards other hosts and its check of theirs, from
// PEM files that may be replaced at any time. It is safe for use by several
// goroutines.
type Mutual struct {
	own         *Certificate
	authorities *files[*x509.CertPool]
}

// NewMutual reads the files: the host's own certificate and key, and the
// certificates of the authorities that other hosts' are checked against.
// Report may be nil.
func NewMutual(certFile, keyFile, caFile string, report Report) (*Mutual, error) {
	own, err := NewCertificate(certFile, keyFile, report)
	if err != nil {
		return nil, fmt.Errorf("mutual TLS: %w", err)
	}
	pool, err := newFiles(report, parsePool, caFile)
	if err != nil {
		return nil, fmt.Errorf("mutual TLS: authorities: %w", err)
	}
	return &Mutual{own, pool}, nil
}

// Expires returns when the host's own certificate is no longer valid.
func (m *Mutual) Expires() time.Time { return m.own.Expires() }

func parsePool(bodies [][]byte) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(bodies[0]) {
		return nil, errors.New("no certificate in the file")
	}
	return pool, nil
}

// Server returns the configuration for connections that other hosts open. It
// refuses a host without a certificate of one of the authorities.
//
// Sessions are not resumed: a resumed one would skip the check, so that a host
// whose authority was taken out of the file could still come back.
func (m *Mutual) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{*m.own.files.current()},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              m.authorities.current(),
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// Client returns the configuration for one connection to another host at
// IP:port. The host must show a certificate of one of the authorities with that
// IP among its subject alternative names. Ask for a new configuration for each
// connection: it holds the authorities of the moment.
func (m *Mutual) Client(address string) (*tls.Config, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("mutual TLS: connect to %s: %w", address, err)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: ip,
		RootCAs:    m.authorities.current(),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return m.own.files.current(), nil
		},
	}, nil
}
