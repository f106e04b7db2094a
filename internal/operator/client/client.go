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

// MaxResponseBytes is the most that is read of a response.
const MaxResponseBytes = 64 << 20

// Client calls hosts with a key. A call is sent to the hosts in turn until one responds,
// also with an error, so a request whose response was lost can reach a second host.
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

// Error is a problem document that a host responded with.
type Error struct {
	api.Problem
	Peer string // the host's address
}

// Error returns the detail, status and host, the job if the answer names one, and the faults, one on each
// line.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%d) from %s", e.Detail, e.Status, e.Peer)
	if e.ID != "" {
		s += ", job " + string(e.ID)
	}
	for _, f := range e.Faults {
		s += "\n" + f
	}
	return s
}

// Submit submits a job and waits up to wait for its end; 0 does not wait. Submitting the
// same request id again refers to the same job.
func (c *Client) Submit(ctx context.Context, r request.Request, wait time.Duration) (api.JobView, error) {
	var v api.JobView
	err := c.do(ctx, http.MethodPost, "/v1/jobs?wait="+wait.String(), r, &v)
	return v, err
}

// Job returns the status of a job when it has ended, at the latest after wait, or after the
// host's limit on waits if that is shorter.
func (c *Client) Job(ctx context.Context, id string, wait time.Duration) (api.JobView, error) {
	var v api.JobView
	err := c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"?wait="+wait.String(), nil, &v)
	return v, err
}

// Jobs returns the account's jobs, or all jobs for an operator's key.
func (c *Client) Jobs(ctx context.Context) ([]view.Job, error) {
	var vs []view.Job
	err := c.do(ctx, http.MethodGet, "/v1/jobs", nil, &vs)
	return vs, err
}

// Explain returns a job with the history of decisions about it.
func (c *Client) Explain(ctx context.Context, id string) (view.History, error) {
	var s view.History
	err := c.do(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(id)+"/explain", nil, &s)
	return s, err
}

// Cancel cancels a job. It does not wait for its tasks to stop.
func (c *Client) Cancel(ctx context.Context, id string) error {
	return c.do(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(id), nil, &struct{}{})
}

// Configuration returns the configuration text in force on the host that responds.
func (c *Client) Configuration(ctx context.Context) (api.ConfigurationView, error) {
	var v api.ConfigurationView
	err := c.do(ctx, http.MethodGet, "/v1/configuration", nil, &v)
	return v, err
}

// Apply makes a configuration text current that is based on a version. If the response
// is lost, the call may be repeated with the same change id.
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

// maxChangeAttempts bounds the attempts at a change that conflicts with other changes.
const maxChangeAttempts = 5

// SetEvacuated sets in the configuration text whether a zone is evacuated. It returns
// the version that says so; unchanged reports that the version in force already did. It
// tries again, up to maxChangeAttempts times in total, if another change comes first.
func (c *Client) SetEvacuated(ctx context.Context, zone string, on bool) (v api.ConfigurationView, unchanged bool, err error) {
	for range maxChangeAttempts {
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

// InForce returns the configuration version in force on each host, as the leader knows
// it.
func (c *Client) InForce(ctx context.Context) ([]view.InForce, error) {
	var rows []view.InForce
	err := c.do(ctx, http.MethodGet, "/v1/inforce", nil, &rows)
	return rows, err
}

// Fleet returns the leader's view of targets and accounts.
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

// do sends a request with the body as JSON, none if it is nil, to the hosts in turn. It
// decodes the first response into result; an error response is an *Error.
func (c *Client) do(ctx context.Context, method, path string, body, result any) error {
	var value []byte
	if body != nil {
		var err error
		if value, err = json.Marshal(body); err != nil {
			return fmt.Errorf("%s %s: %w", method, path, err)
		}
	}
	last := fmt.Errorf("%s %s: no host address given", method, path)
	for _, base := range c.bases {
		res, err := c.send(ctx, method, base+path, value)
		if err != nil {
			last = fmt.Errorf("%s %s: %w", method, path, err)
			continue
		}
		return decodeResponse(res, base, result)
	}
	return last
}

// send sends one request with the key. The caller must close the body of the response.
func (c *Client) send(ctx context.Context, method, address string, value []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(value))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	return c.http.Do(req)
}

// decodeResponse decodes a response and closes its body. An error status yields an
// *Error if the body is a problem document.
func decodeResponse(res *http.Response, base string, result any) error {
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxResponseBytes))
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
	if err := json.Unmarshal(body, result); err != nil {
		return fmt.Errorf("read the answer of %s: %w", base, err)
	}
	return nil
}
