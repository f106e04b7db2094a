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

// callTime bounds a call that does not wait for a job.
const callTime = 15 * time.Second

// target is how a command reaches the hosts.
type target struct {
	Host []string `long:"host" default:"127.0.0.1:7301" description:"IP:port of a host; give several to try each in turn"`
	Key  string   `long:"key" env:"GUAVAGLADE_KEY" description:"key of a client account or operator"`
	CA   string   `long:"ca" description:"PEM file of the authority that signed the hosts' certificate; the hosts are then called over TLS"`
	JSON bool     `long:"json" description:"print JSON"`
}

// client returns a client of the hosts, over TLS if an authority is named.
func (t target) client() (*client.Client, error) {
	if t.CA == "" {
		return client.New(t.Host, t.Key, nil), nil
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s: no certificate in it", t.CA)
	}
	hosts := make([]string, 0, len(t.Host))
	for _, h := range t.Host {
		if !strings.Contains(h, "://") {
			h = "https://" + h
		}
		hosts = append(hosts, h)
	}
	rt := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	return client.New(hosts, t.Key, rt), nil
}

func (t target) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTime)
}

// print writes a value as JSON, or as text by f.
func (t target) print(s streams, v any, f func(w *tabwriter.Writer)) error {
	if t.JSON {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(s.out, 2, 8, 2, ' ', 0)
	f(w)
	return w.Flush()
}

func usage(format string, args ...any) error {
	return &flags.Error{Type: flags.ErrRequired, Message: fmt.Sprintf(format, args...)}
}
