package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/operator/client"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
	"guavaglade.example/guavaglade/internal/work/request"
)

// sent is a request and what its caller was told.
type sent struct {
	id        graph.JobID
	kind      string
	accepted  bool
	unknown   bool // a try may have been taken without an answer
	cancelled bool // a cancelling was acknowledged
	maybe     bool // a cancelling was sent
}

// callers ask for jobs through the hosts that are ready, each over connections that
// it keeps.
type callers struct {
	deployment *deployment
	mu         sync.Mutex
	sent       []*sent
	cut        []string // connections that broke under a request
	ready      []*host
}

// work is what the tasks of each kind of job do.
var work = map[string]string{
	"label": `{"runMillis": 150}`, "plan": `{"runMillis": 400}`, "bill": `{"runMillis": 300}`, "forecast": `{"runMillis": 2500}`,
}

var kinds = []string{"label", "label", "label", "plan", "bill", "forecast"}

const (
	tries   = 8
	tryTime = 4 * time.Second
	between = 150 * time.Millisecond // between two tries, and two requests
)

// balance notes again and again which hosts are ready, as a balancer does.
func (c *callers) balance(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*host
		for _, h := range c.deployment.hosts {
			if h.ready() {
				ready = append(ready, h)
			}
		}
		c.mu.Lock()
		c.ready = ready
		c.mu.Unlock()
		time.Sleep(between)
	}
}

func (c *callers) pick(rnd *rand.Rand) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return nil
	}
	return c.ready[rnd.IntN(len(c.ready))]
}

// run asks for one job after the other until the context ends.
func (c *callers) run(ctx context.Context, number int, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, uint64(number)+1))
	through := &http.Transport{}
	defer through.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		kind := kinds[rnd.IntN(len(kinds))]
		r := request.Request{RequestID: fmt.Sprintf("c%d-%d", number, i), Service: "refill", Job: kind, Input: []byte(work[kind])}
		s := &sent{id: request.JobID("norte", r.RequestID), kind: kind}
		c.ask(s, r, rnd, through)
		if s.accepted && rnd.IntN(10) == 0 {
			c.cancel(s, rnd, through)
		}
		c.mu.Lock()
		c.sent = append(c.sent, s)
		c.mu.Unlock()
		time.Sleep(between)
	}
}

// ask sends a request until it is accepted or the caller gives up.
func (c *callers) ask(s *sent, r request.Request, rnd *rand.Rand, through http.RoundTripper) {
	for range tries {
		h := c.pick(rnd)
		if h == nil {
			time.Sleep(between)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), tryTime)
		_, err := client.New([]string{h.caller}, accountKey, through).Submit(ctx, r, 0)
		cancel()
		if err == nil {
			s.accepted = true
			return
		}
		c.note(s, h, err)
		time.Sleep(between)
	}
}

// note keeps what an error of a try means.
func (c *callers) note(s *sent, h *host, err error) {
	var told *client.Error
	if errors.As(err, &told) && told.State == string(progress.NotRun) {
		return
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return // nothing was sent
	}
	s.unknown = true
	if told == nil {
		c.mu.Lock()
		c.cut = append(c.cut, fmt.Sprintf("%s at %s: %v", s.id, h.name, err))
		c.mu.Unlock()
	}
}

// cancel takes a job back, and tells the targets when that was acknowledged.
func (c *callers) cancel(s *sent, rnd *rand.Rand, through http.RoundTripper) {
	h := c.pick(rnd)
	if h == nil {
		return
	}
	s.maybe = true
	ctx, cancel := context.WithTimeout(context.Background(), tryTime)
	defer cancel()
	if client.New([]string{h.caller}, accountKey, through).Cancel(ctx, string(s.id)) == nil {
		s.cancelled = true
	}
}

// final returns the state of a job once it has ended, asking any host.
func (c *callers) final(s *sent, until time.Time) (progress.State, error) {
	err := errors.New("not asked")
	for i := 0; time.Now().Before(until); i++ {
		h := c.deployment.hosts[i%len(c.deployment.hosts)]
		ctx, cancel := context.WithTimeout(context.Background(), tryTime)
		v, asked := client.New([]string{h.caller}, accountKey, nil).Job(ctx, string(s.id), 0)
		cancel()
		if asked == nil && v.State.Final() {
			return v.State, nil
		}
		err = fmt.Errorf("%s at %s: %q, %w", s.id, h.name, v.State, errors.Join(asked))
		time.Sleep(between)
	}
	return "", err
}
