package crowd_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/operator/client"
	"guavaglade.example/guavaglade/internal/proof/crowd"
	"guavaglade.example/guavaglade/internal/work/request"
)

const (
	memory      = 256 << 20 // the default of the settings
	maxBody     = 1 << 20   // as above
	connections = 800
	crowdTime   = 3 * time.Second
	patience    = 60 * time.Second // of an ordinary caller, who repeats a request
	operatorKey = "crowd-operator"
	accountKey  = "crowd-norte"
)

// host is a process of `guavaglade serve` with default limits.
type host struct {
	t              *testing.T
	process        *crowd.Process
	callers, peers string // IP:port
}

// start starts a host on a stand-in platform and applies a configuration.
func start(t *testing.T) *host {
	t.Helper()
	site := crowd.Platform(t)
	addresses := crowd.FreeAddresses(t, 2)
	hash := func(key string) string { return credential.NewKey(key).Hash() }
	path := filepath.Join(t.TempDir(), "host.ini")
	text := fmt.Sprintf("[host]\nzone = leon\ncallerAddress = %s\npeerAddress = %s\n[platform]\naddress = %s\n[operator]\nkeyHash = %s\n",
		addresses[0], addresses[1], site.Address(), hash(operatorKey))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h := &host{t: t, callers: addresses[0], peers: addresses[1]}
	h.process = crowd.Start(t, exec.Command(crowd.Build(t), "serve", "--settings", path), memory, h.callers, h.peers)
	config := fmt.Sprintf("[service refill]\n[job refill.label]\naccelerators = 1\n[account norte]\nkeyHash = %s\n[account automation]\nkeyHash = %s\noperator = true\n",
		hash(accountKey), hash(operatorKey))
	h.repeat("configuration", func(ctx context.Context) error {
		_, err := client.New([]string{h.callers}, operatorKey, nil).Apply(ctx, 0, "first", config)
		return err
	})
	h.submit("calm")
	return h
}

// repeat calls f until it succeeds, or fails the test.
func (h *host) repeat(what string, f func(context.Context) error) {
	h.t.Helper()
	var err error
	for until := time.Now().Add(patience); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		err = f(ctx)
		cancel()
		if err == nil {
			return
		}
	}
	h.t.Errorf("%s: %v", what, err)
}

// submit submits a job as an ordinary caller does, and again until it is accepted.
func (h *host) submit(id string) {
	h.t.Helper()
	h.repeat("job "+id, func(ctx context.Context) error {
		_, err := client.New([]string{h.callers}, accountKey, nil).Submit(ctx, request.Request{RequestID: id, Service: "refill", Job: "label"}, 0)
		return err
	})
}

// largestBody returns the body of a job that is as large as the settings allow.
func largestBody(id string) []byte {
	job := fmt.Sprintf(`{"requestId":%q,"service":"refill","job":"label"}`, id)
	return append(bytes.Repeat([]byte(" "), maxBody-len(job)), job...)
}

// Guards against a host that is ended for its memory when many clients send requests that are
// legal and large, stop short of their end, or never end.
func TestCrowd(t *testing.T) {
	post := crowd.Request{Line: "POST /v1/jobs", Header: "Host: h\r\nContent-Type: application/json\r\nAuthorization: Bearer " + accountKey + "\r\n"}
	body := largestBody("large")
	for _, c := range []struct {
		name   string
		peers  bool
		client crowd.Client
	}{
		{"whole bodies", false, crowd.Body(post, body, 0)},
		{"bodies short of 100 bytes", false, crowd.Body(post, body, 100)},
		{"large chunks", false, crowd.Chunks(post, body, 64<<10-1)},
		{"heads of many fields", false, crowd.Head(post, 30000)},
		{"empty lines without end to peers", true, crowd.Endless("", "\r\n")},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			h := start(t)
			address := h.callers
			if c.peers {
				address = h.peers
			}
			w := crowd.Open(address, connections, c.client, 0)
			time.Sleep(crowdTime)
			if h.process.Alive() {
				h.submit("during")
			}
			w.Close()
			if h.process.Alive() {
				h.submit("after")
			}
			u := h.process.Worst()
			t.Logf("peak %d MB, held with unread bytes %d MB, sockets %d", u.Peak>>20, u.Held>>20, u.Sockets)
			is.True(h.process.Alive())
			is.True(u.Peak <= memory)
			is.True(u.Held <= memory)
		})
	}
}

// Guards against limits that refuse a single request as large as the settings allow.
func TestCrowdLimitsServeLargestRequest(t *testing.T) {
	h := start(t)
	for _, chunked := range []bool{false, true} {
		h.repeat(fmt.Sprintf("largest job, chunked %v", chunked), func(ctx context.Context) error {
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers+"/v1/jobs", bytes.NewReader(largestBody(fmt.Sprint("largest", chunked))))
			if err != nil {
				return err
			}
			req.Header.Set("Authorization", "Bearer "+accountKey)
			if chunked {
				req.ContentLength = -1
			}
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				return err
			}
			defer func() { _ = res.Body.Close() }()
			if res.StatusCode != http.StatusAccepted {
				return fmt.Errorf("status %d", res.StatusCode)
			}
			return nil
		})
	}
}
