package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/host/api"
	"guavaglade.example/guavaglade/internal/report/burn"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/request"
)

// MaxBody bounds what is read of one answer, in bytes.
const MaxBody = 64 << 20

// Client calls hosts with a key. A call goes to the first host that takes the
// connection, as it would behind a balancer.
type Client struct {
	bases []string // http://IP:port
	key   string
	http  *http.Client
}

// New returns a client of the hosts at the addresses, each IP:port or a URL.
// If rt is nil, the default transport is used.
func New(addresses []string, key string, rt http.RoundTripper) *Client {
	bases := make([]string, 0, len(addresses))
	for _, a := range addresses {
		if !strings.Contains(a, "://") {
			a = "http://" + a
		}
		bases = append(bases, strings.TrimSuffix(a, "/"))
	}
	return &Client{bases: bases, key: key, http: &http.Client{Transport: rt}}
}

// Error is a problem that a host answered with.
type Error struct {
	api.Problem
	Peer string // the host's address
}

// Error returns the detail with the host and the faults, if any.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%d) from %s", e.Detail, e.Status, e.Peer)
	for _, f := range e.Faults {
		s += "\n" + f
	}
	return s
}

// Submit asks for a job and waits up to wait for its end; 0 does not wait.
func (c *Client) Submit(ctx context.Context, r request.Request, wait time.Duration) (api.JobView, error) {
	var v api.JobView
	err := c.do(ctx, http.MethodPost, "/v1/jobs?wait="+wait.String(), r, &v)
	return v, err
}

// Job returns where a job stands, waiting up to wait for its end.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (api.JobView, error) {
	var v api.JobView
	err := c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?wait="+wait.String(), nil, &v)
	return v, err
}

// Jobs returns the account's jobs, or all to an operator.
func (c *Client) Jobs(ctx context.Context) ([]view.Job, error) {
	var vs []view.Job
	err := c.do(ctx, http.MethodGet, "/v1/jobs", nil, &vs)
	return vs, err
}

// Explain returns a job with its story.
func (c *Client) Explain(ctx context.Context, id string) (view.History, error) {
	var s view.History
	err := c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/explain", nil, &s)
	return s, err
}

// Cancel says that a job is no longer wanted.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.do(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, &struct{}{})
}

// Configuration returns the text in force on the host.
func (c *Client) Configuration(ctx context.Context) (api.ConfigurationView, error) {
	var v api.ConfigurationView
	err := c.do(ctx, http.MethodGet, "/v1/configuration", nil, &v)
	return v, err
}

// Apply makes a text current that was based on a version.
func (c *Client) Apply(ctx context.Context, base int64, change, text string) (api.ConfigurationView, error) {
	body := struct {
		Base   int64  `json:"base"`
		Change string `json:"change"`
		Text   string `json:"text"`
	}{base, change, text}
	var v api.ConfigurationView
	err := c.do(ctx, http.MethodPut, "/v1/configuration", body, &v)
	return v, err
}

// changeTries bounds how often a change is made again that another one was faster than.
const changeTries = 5

// SetEvacuated has the configuration text say that a zone is evacuated, or not any more.
// It returns the version that says so; unchanged tells that the one in force did already.
func (c *Client) SetEvacuated(ctx context.Context, zone string, on bool) (v api.ConfigurationView, unchanged bool, err error) {
	for range changeTries {
		if v, err = c.Configuration(ctx); err != nil {
			return v, false, err
		}
		body, changed := text.SetEvacuated([]byte(v.Text), zone, on)
		if !changed {
			return v, true, nil
		}
		v, err = c.Apply(ctx, v.Version, uuid.NewString(), string(body))
		var problem *Error
		if !errors.As(err, &problem) || problem.Status != http.StatusConflict {
			return v, false, err
		}
	}
	return v, false, err
}

// InForce returns what each host has in force.
func (c *Client) InForce(ctx context.Context) ([]view.InForce, error) {
	var rows []view.InForce
	err := c.do(ctx, http.MethodGet, "/v1/inforce", nil, &rows)
	return rows, err
}

// Fleet returns what the leader holds of targets and accounts.
func (c *Client) Fleet(ctx context.Context) (view.Fleet, error) {
	var f view.Fleet
	err := c.do(ctx, http.MethodGet, "/v1/fleet", nil, &f)
	return f, err
}

// Burn returns the burn report of all hosts.
func (c *Client) Burn(ctx context.Context) (burn.Report, error) {
	var r burn.Report
	err := c.do(ctx, http.MethodGet, "/v1/burn", nil, &r)
	return r, err
}

func (c *Client) do(ctx context.Context, method, path string, body, into any) error {
	var value []byte
	if body != nil {
		var err error
		if value, err = json.Marshal(body); err != nil {
			return fmt.Errorf("%s %s: %w", method, path, err)
		}
	}
	last := fmt.Errorf("%s %s: no host is named", method, path)
	for _, base := range c.bases {
		res, err := c.send(ctx, method, base+path, value)
		if err != nil {
			last = fmt.Errorf("%s %s: %w", method, path, err)
			continue
		}
		return answer(res, base, into)
	}
	return last
}

func (c *Client) send(ctx context.Context, method, target string, value []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	return c.http.Do(req)
}

func answer(res *http.Response, base string, into any) error {
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxBody))
	if err != nil {
		return fmt.Errorf("read the answer of %s: %w", base, err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		problem := &Error{Peer: base}
		if err := json.Unmarshal(body, &problem.Problem); err != nil {
			return fmt.Errorf("%s: status %d", base, res.StatusCode)
		}
		return problem
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("read the answer of %s: %w", base, err)
	}
	return nil
}
