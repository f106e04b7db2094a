package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/target"
)

// Bounds of a connection to a worker.
const (
	// CallTime bounds a call that does not wait for a change.
	CallTime = 2 * time.Second
	// MaxBody bounds what is read of one answer, in bytes.
	MaxBody = 64 << 20
)

// Transport returns what all clients of a host share. connections is this
// host's share of the connections that each worker takes. If dial is nil, the
// usual one is used with a short timeout.
func Transport(connections int, dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: 500 * time.Millisecond}).DialContext
	}
	return &http.Transport{
		DialContext: dial, MaxConnsPerHost: connections, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute,
		DisableCompression: true, // answers are short; the header that offers it is not
	}
}

// Client is a worker at an address.
type Client struct {
	address string // IP:port
	http    *http.Client
}

var _ target.Worker = (*Client)(nil)

// New returns a client of the worker at IP:port.
func New(address string, rt http.RoundTripper) *Client {
	return &Client{address: address, http: &http.Client{Transport: rt}}
}

// Hold asks the worker to hold members of a gang.
func (c *Client) Hold(ctx context.Context, h target.Hold) error {
	body := struct {
		target.Hold
		TTLMillis int64 `json:"ttlMillis"`
	}{h, left(h.Expires)}
	return c.call(ctx, "hold", h.Lease, body, nil)
}

// Start asks the worker to start what it holds.
func (c *Client) Start(ctx context.Context, l target.Lease) error {
	return c.call(ctx, "start", l, l, nil)
}

// Renew renews leases and returns what changed.
func (c *Client) Renew(ctx context.Context, r target.Renewal) (target.Report, error) {
	// A host that was paused between making a renewal and sending it would
	// renew for no time at all, which ends the leases, or for a time that its
	// holder has given up already.
	if len(r.Leases) > 0 && left(r.Expires) == 0 {
		return target.Report{}, fmt.Errorf("renew: worker %s: the deadline has passed: %w", c.address, target.ErrUnreached)
	}
	body := struct {
		Leases     []target.Lease `json:"leases,omitempty"`
		TTLMillis  int64          `json:"ttlMillis"`
		Since      int64          `json:"since"`
		WaitMillis int64          `json:"waitMillis,omitempty"`
	}{r.Leases, left(r.Expires), r.Since, left(r.Wait)}
	ctx, cancel := context.WithTimeout(ctx, CallTime+time.Duration(body.WaitMillis)*time.Millisecond)
	defer cancel()
	var rep target.Report
	err := c.post(ctx, "renew", body, &rep)
	if err != nil {
		return target.Report{}, fmt.Errorf("renew: worker %s: %w", c.address, err)
	}
	return rep, nil
}

// Stop ends a lease.
func (c *Client) Stop(ctx context.Context, s target.Stop) error {
	body := struct {
		Lease       target.Lease `json:"lease"`
		Checkpoint  bool         `json:"checkpoint,omitempty"`
		GraceMillis int64        `json:"graceMillis,omitempty"`
	}{s.Lease, s.Checkpoint, left(s.Grace)}
	return c.call(ctx, "stop", s.Lease, body, nil)
}

// Throttle caps the cores of a lease.
func (c *Client) Throttle(ctx context.Context, l target.Lease, cores float64) error {
	body := struct {
		Lease target.Lease `json:"lease"`
		Cores float64      `json:"cores"`
	}{l, cores}
	return c.call(ctx, "throttle", l, body, nil)
}

func (c *Client) call(ctx context.Context, step string, l target.Lease, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTime)
	defer cancel()
	if err := c.post(ctx, step, body, into); err != nil {
		return fmt.Errorf("%s %s: worker %s: %w", step, l, c.address, err)
	}
	return nil
}

func (c *Client) post(ctx context.Context, step string, body, into any) error {
	value, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrUnreached, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+"/v1/"+step, bytes.NewReader(value))
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrUnreached, err)
	}
	req.Header.Set("User-Agent", "") // sends none: most of a renewal of an idle worker is headers
	res, err := c.http.Do(req)
	if err != nil {
		return sendError(err)
	}
	defer func() { _ = res.Body.Close() }()
	return readAnswer(res, into)
}

// sendError tells a dial that failed, before which nothing was sent, from a
// connection that broke, after which the worker may have done it.
func sendError(err error) error {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return fmt.Errorf("%w: %w", target.ErrUnreached, err)
	}
	return fmt.Errorf("%w: %w", target.ErrUnknown, err)
}

func readAnswer(res *http.Response, into any) error {
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxBody))
	if err != nil {
		return fmt.Errorf("%w: %w", target.ErrUnknown, err)
	}
	reason := strings.TrimSpace(string(body))
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusConflict, http.StatusBadRequest:
		return fmt.Errorf("%w: %s", target.ErrRefused, reason)
	case http.StatusGone:
		return fmt.Errorf("%w: %s", target.ErrLapsed, reason)
	default:
		return fmt.Errorf("%w: status %d: %s", target.ErrUnknown, res.StatusCode, reason)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", target.ErrUnknown, err)
	}
	return nil
}

// left returns the milliseconds until a deadline, 0 for none or a past one.
// Deadlines cross to a worker as time left, since its clock is its own.
func left(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(0, time.Until(t).Milliseconds())
}
