package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"guavaglade.example/guavaglade/internal/operator/client"
)

// callTimeout is the timeout of a call, besides the time to wait for a job.
const callTimeout = 15 * time.Second

// hostOptions are the options of a command that calls hosts.
type hostOptions struct {
	Host []string `long:"host" default:"127.0.0.1:7301" description:"IP:port of a host; repeat the option to try several in turn"`
	Key  string   `long:"key" env:"GUAVAGLADE_KEY" description:"key of a client account or operator"`
	CA   string   `long:"ca" description:"PEM file of the certificate authority of the hosts; calls then use TLS"`
	JSON bool     `long:"json" description:"print JSON"`
}

// client returns a client of the hosts, over TLS if a certificate authority is given.
func (o hostOptions) client() (*client.Client, error) {
	if o.CA == "" {
		return client.New(o.Host, o.Key, nil), nil
	}
	pem, err := os.ReadFile(o.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s: contains no certificate", o.CA)
	}
	hosts := make([]string, 0, len(o.Host))
	for _, h := range o.Host {
		if !strings.Contains(h, "://") {
			h = "https://" + h
		}
		hosts = append(hosts, h)
	}
	rt := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return client.New(hosts, o.Key, rt), nil
}

// context returns a context that ends after callTimeout.
func (o hostOptions) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}

// print writes the value as JSON if that was requested, else as text with f.
func (o hostOptions) print(s streams, v any, f func(w *tabwriter.Writer)) error {
	if o.JSON {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(s.out, 2, 8, 2, ' ', 0)
	f(w)
	return w.Flush()
}

// usageError returns an error for which the exit code is Usage.
func usageError(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrRequired, Message: fmt.Sprintf(format, args...)}
}
