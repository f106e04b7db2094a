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

// submission is a request and the outcome that its caller knows of.
type submission struct {
	id             graph.JobID
	kind           string
	accepted       bool
	outcomeUnknown bool // a try may have been accepted without an answer
	cancelAcked    bool // a cancellation was acknowledged
	cancelSent     bool // a cancellation was sent
	givesUp        bool // the caller cancels it instead of trying again when the outcome is not known
	notStored      bool // a cancellation was answered as that of no job
}

// callers submit jobs to the hosts that are ready, each over its own persistent
// connections.
type callers struct {
	deployment  *deployment
	mu          sync.Mutex
	submissions []*submission
	brokenConns []string // connections that broke under a request
	ready       []*host  // as of the last poll of trackReadiness
}

// taskInputs are the inputs of jobs by kind.
var taskInputs = map[string]string{
	"label": `{"runMillis": 150}`, "plan": `{"runMillis": 400}`, "bill": `{"runMillis": 300}`, "forecast": `{"runMillis": 2500}`,
	"crash": `{"runMillis": 2500, "crash": true}`,
}

// jobKinds are the kinds that callers draw from; a repeated kind is drawn more often.
var jobKinds = []string{"label", "label", "label", "plan", "bill", "forecast"}

const (
	maxTries   = 8
	tryTimeout = 4 * time.Second
	pause      = 150 * time.Millisecond // between two tries, and between two requests
)

// trackReadiness polls which hosts are ready, as a load balancer does, until the context ends.
func (c *callers) trackReadiness(ctx context.Context) {
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
		time.Sleep(pause)
	}
}

// pickReady returns a random host that was ready at the last poll, nil if none was.
func (c *callers) pickReady(rnd *rand.Rand) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return nil
	}
	return c.ready[rnd.IntN(len(c.ready))]
}

// run submits one job after the other until the context ends, and cancels about a tenth of
// those accepted, and those that it gives up. The caller's number and the seed decide which.
func (c *callers) run(ctx context.Context, number int, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, uint64(number)+1))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		kind := jobKinds[rnd.IntN(len(jobKinds))]
		r := request.Request{RequestID: fmt.Sprintf("c%d-%d", number, i), Service: "refill", Job: kind, Input: []byte(taskInputs[kind])}
		s := &submission{id: request.JobID("norte", r.RequestID), kind: kind, givesUp: rnd.IntN(4) == 0}
		c.submit(s, r, rnd, transport)
		switch {
		case s.accepted && rnd.IntN(10) == 0:
			c.cancel(s, rnd, transport)
		case !s.accepted && s.outcomeUnknown:
			for range maxTries {
				if c.cancel(s, rnd, transport); s.cancelAcked {
					break
				}
				time.Sleep(pause)
			}
		}
		c.mu.Lock()
		c.submissions = append(c.submissions, s)
		c.mu.Unlock()
		time.Sleep(pause)
	}
}

// submitCrashing submits a job that crashes each target that starts it.
func (c *callers) submitCrashing(number int) {
	r := request.Request{RequestID: fmt.Sprintf("x%d", number), Service: "refill", Job: "crash", Input: []byte(taskInputs["crash"])}
	s := &submission{id: request.JobID("norte", r.RequestID), kind: "crash"}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	c.submit(s, r, rand.New(rand.NewPCG(uint64(number), 0)), transport)
	c.mu.Lock()
	c.submissions = append(c.submissions, s)
	c.mu.Unlock()
}

// submit sends a request to random ready hosts until it is accepted or given up, at most maxTries times.
// A time when no host is ready counts as a try.
func (c *callers) submit(s *submission, r request.Request, rnd *rand.Rand, transport http.RoundTripper) {
	for range maxTries {
		h := c.pickReady(rnd)
		if h == nil {
			time.Sleep(pause)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
		_, err := client.New([]string{h.caller}, accountKey, transport).Submit(ctx, r, 0)
		cancel()
		if err == nil {
			s.accepted = true
			return
		}
		c.recordError(s, h, err)
		if s.givesUp && s.outcomeUnknown {
			return
		}
		time.Sleep(pause)
	}
}

// recordError records whether a failed try may have been accepted, and connections that
// broke.
func (c *callers) recordError(s *submission, h *host, err error) {
	var answer *client.Error
	if errors.As(err, &answer) && answer.State == string(progress.NotRun) {
		return
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return // nothing was sent
	}
	s.outcomeUnknown = true
	if answer == nil {
		c.mu.Lock()
		c.brokenConns = append(c.brokenConns, fmt.Sprintf("%s at %s: %v", s.id, h.name, err))
		c.mu.Unlock()
	}
}

// cancel cancels a job at a random ready host, in one try, and records whether that was
// acknowledged. It does nothing if no host is ready.
func (c *callers) cancel(s *submission, rnd *rand.Rand, transport http.RoundTripper) {
	h := c.pickReady(rnd)
	if h == nil {
		return
	}
	s.cancelSent = true
	ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
	defer cancel()
	err := client.New([]string{h.caller}, accountKey, transport).Cancel(ctx, string(s.id))
	var answer *client.Error
	s.notStored = errors.As(err, &answer) && answer.Status == http.StatusNotFound
	s.cancelAcked = err == nil || s.notStored
}

// awaitFinal waits until a job has ended and returns its state. It asks the hosts in turn, and
// returns the last answer as an error if the job has not ended by the time given.
func (c *callers) awaitFinal(s *submission, until time.Time) (progress.State, error) {
	err := errors.New("not asked")
	for i := 0; time.Now().Before(until); i++ {
		h := c.deployment.hosts[i%len(c.deployment.hosts)]
		ctx, cancel := context.WithTimeout(context.Background(), tryTimeout)
		v, askErr := client.New([]string{h.caller}, accountKey, nil).Job(ctx, string(s.id), 0)
		cancel()
		if askErr == nil && v.State.Final() {
			return v.State, nil
		}
		err = fmt.Errorf("%s at %s: %q, %w", s.id, h.name, v.State, errors.Join(askErr))
		time.Sleep(pause)
	}
	return "", err
}
