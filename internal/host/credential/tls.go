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
// replaced at any time. It is safe for concurrent use.
type Certificate struct {
	reloader *reloader[*tls.Certificate]
}

// NewCertificate reads the files. Its error names the files that cannot be used. onError
// may be nil.
func NewCertificate(certFile, keyFile string, onError ErrorHandler) (*Certificate, error) {
	r, err := newReloader(onError, parsePair, certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("certificate: %w", err)
	}
	return &Certificate{r}, nil
}

// parsePair parses a certificate and its key. It fails if they do not match.
func parsePair(contents [][]byte) (*tls.Certificate, error) {
	pair, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, err
	}
	return &pair, nil
}

// Expires returns when the certificate in use expires. It reads the files first, as a
// handshake does.
func (c *Certificate) Expires() time.Time { return c.reloader.current().Leaf.NotAfter }

// ServerConfig returns the TLS configuration for connections of callers, which need no
// client certificate.
func (c *Certificate) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.reloader.current(), nil
		},
	}
}

// MutualTLS authenticates this host to other hosts and other hosts to this one, from PEM
// files that may be replaced at any time. It is safe for concurrent use.
type MutualTLS struct {
	cert        *Certificate
	authorities *reloader[*x509.CertPool]
}

// NewMutualTLS reads the files: the host's own certificate and key, and the certificates
// of the authorities that must have issued those of other hosts. onError may be nil.
func NewMutualTLS(certFile, keyFile, caFile string, onError ErrorHandler) (*MutualTLS, error) {
	cert, err := NewCertificate(certFile, keyFile, onError)
	if err != nil {
		return nil, fmt.Errorf("mutual TLS: %w", err)
	}
	pool, err := newReloader(onError, parsePool, caFile)
	if err != nil {
		return nil, fmt.Errorf("mutual TLS: authorities: %w", err)
	}
	return &MutualTLS{cert, pool}, nil
}

// Expires returns when the host's own certificate expires. It reads its files first, as
// a handshake does.
func (m *MutualTLS) Expires() time.Time { return m.cert.Expires() }

// parsePool parses the certificates of authorities. It fails if there are none.
func parsePool(contents [][]byte) (*x509.CertPool, error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(contents[0]) {
		return nil, errors.New("no certificate in the file")
	}
	return pool, nil
}

// ServerConfig returns the TLS configuration for connections that other hosts open. It
// refuses a host without a certificate of one of the authorities.
//
// Sessions are not resumed: a resumed session skips the check, so that a host whose
// authority was removed from the file could reconnect.
func (m *MutualTLS) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{*m.cert.reloader.current()},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              m.authorities.current(),
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration for one connection to the host at an
// IP:port. The host must present a certificate of one of the authorities with that IP
// among its subject alternative names. Each connection needs a new configuration, since
// it contains the current authorities.
func (m *MutualTLS) ClientConfig(address string) (*tls.Config, error) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, fmt.Errorf("mutual TLS: connect to %s: %w", address, err)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ServerName: ip,
		RootCAs:    m.authorities.current(),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return m.cert.reloader.current(), nil
		},
	}, nil
}
