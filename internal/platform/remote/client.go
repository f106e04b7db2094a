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
	"net/url"
	"strconv"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/platform/table"
)

// MaxBody bounds what is read of one answer, in bytes.
const MaxBody = 64 << 20

// Client is a table.Platform at an address.
type Client struct {
	address string // IP:port
	http    *http.Client

	mu      sync.Mutex
	tag     string         // entity tag of the newest list of targets; empty for none
	targets []table.Target // the list with that tag
}

var _ table.Platform = (*Client)(nil)

// New returns a client of the platform at IP:port. If rt is nil, a transport
// with a dial timeout of one second is used.
func New(address string, rt http.RoundTripper) *Client {
	if rt == nil {
		d := &net.Dialer{Timeout: time.Second}
		rt = &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute}
	}
	return &Client{address: address, http: &http.Client{Transport: rt}}
}

// Get returns the row, with version 0 if it is not there.
func (c *Client) Get(ctx context.Context, key string) (table.Row, error) {
	var row table.Row
	err := c.read(ctx, "get "+key, "/v1/row?"+url.Values{"key": {key}}.Encode(), &row)
	return row, err
}

// List returns at most limit rows with the prefix after a key.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	var rows []table.Row
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	err := c.read(ctx, "list "+prefix, "/v1/rows?"+q.Encode(), &rows)
	return rows, err
}

// Apply makes a group of writes, each with a condition of its own.
func (c *Client) Apply(ctx context.Context, writes []table.Write) ([]table.Result, error) {
	var answers []struct {
		Row      table.Row `json:"row"`
		Conflict bool      `json:"conflict"`
	}
	if err := c.write(ctx, http.MethodPost, "/v1/writes", writes, &answers); err != nil {
		return nil, fmt.Errorf("apply %d writes: %w", len(writes), err)
	}
	if len(answers) != len(writes) {
		return nil, fmt.Errorf("apply %d writes: platform %s answered %d: %w", len(writes), c.address, len(answers), table.ErrUnknown)
	}
	results := make([]table.Result, len(answers))
	for i, a := range answers {
		results[i].Row = a.Row
		if a.Conflict {
			results[i].Err = fmt.Errorf("write %s: platform %s: version %d: %w", writes[i].Key, c.address, a.Row.Version, table.ErrConflict)
		}
	}
	return results, nil
}

// PutObject stores a body under a key.
func (c *Client) PutObject(ctx context.Context, key string, body []byte) error {
	if err := c.write(ctx, http.MethodPut, "/v1/object?"+url.Values{"key": {key}}.Encode(), body, nil); err != nil {
		return fmt.Errorf("put object %s: %w", key, err)
	}
	return nil
}

// GetObject returns the body under a key.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	var body []byte
	err := c.read(ctx, "get object "+key, "/v1/object?"+url.Values{"key": {key}}.Encode(), &body)
	return body, err
}

// Targets returns the lagging list of workers. The list is long and seldom
// changes, so it is asked for by its entity tag and read only when that is
// another. The caller must not change the list.
func (c *Client) Targets(ctx context.Context) ([]table.Target, error) {
	c.mu.Lock()
	tag, kept := c.tag, c.targets
	c.mu.Unlock()
	res, err := c.send(ctx, http.MethodGet, "/v1/targets", nil, tag)
	if err != nil {
		return nil, fmt.Errorf("list targets: platform %s: %w: %w", c.address, table.ErrUnavailable, err)
	}
	defer func() { _ = res.Body.Close() }()
	if tag != "" && res.StatusCode == http.StatusNotModified {
		return kept, nil
	}
	var ts []table.Target
	if err := readAnswer(res, &ts); err != nil {
		return nil, fmt.Errorf("list targets: platform %s: %w: %w", c.address, table.ErrUnavailable, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tag, c.targets = res.Header.Get("ETag"), ts
	return ts, nil
}

// Register puts workers on the platform's list. Only the stand-in fleet does.
func (c *Client) Register(ctx context.Context, ts []table.Target) error {
	if err := c.write(ctx, http.MethodPost, "/v1/targets", ts, nil); err != nil {
		return fmt.Errorf("register %d workers: %w", len(ts), err)
	}
	return nil
}

func (c *Client) read(ctx context.Context, step, path string, into any) error {
	if err := c.do(ctx, http.MethodGet, path, nil, into); err != nil {
		return fmt.Errorf("%s: platform %s: %w: %w", step, c.address, table.ErrUnavailable, err)
	}
	return nil
}

func (c *Client) write(ctx context.Context, method, path string, body, into any) error {
	value, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("platform %s: %w: %w", c.address, table.ErrUnavailable, err)
	}
	err = c.do(ctx, method, path, value, into)
	if err == nil {
		return nil
	}
	// Only a failed dial and the platform's own refusal prove that nothing took
	// effect. After any other failure the write may be there.
	kind := table.ErrUnknown
	var dial *net.OpError
	var refused statusError
	if errors.As(err, &dial) && dial.Op == "dial" || errors.As(err, &refused) {
		kind = table.ErrUnavailable
	}
	return fmt.Errorf("platform %s: %w: %w", c.address, kind, err)
}

// statusError is an answer other than 200.
type statusError int

func (e statusError) Error() string { return "status " + strconv.Itoa(int(e)) }

func (c *Client) do(ctx context.Context, method, path string, body []byte, into any) error {
	res, err := c.send(ctx, method, path, body, "")
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	return readAnswer(res, into)
}

// send makes a request; a tag that is not empty asks for what has another one.
func (c *Client) send(ctx context.Context, method, path string, body []byte, tag string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	return c.http.Do(req)
}

func readAnswer(res *http.Response, into any) error {
	if res.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, MaxBody))
		return statusError(res.StatusCode)
	}
	if into == nil {
		_, err := io.Copy(io.Discard, res.Body)
		return err
	}
	return json.NewDecoder(io.LimitReader(res.Body, MaxBody)).Decode(into)
}
