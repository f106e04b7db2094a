package request

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"time"

	"guavaglade.example/guavaglade/internal/config/catalog"
	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/config/version"
	"guavaglade.example/guavaglade/internal/fleet/shape"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// MaxInputBytes is the largest size of a request's input, which becomes the job's
// spec.
const MaxInputBytes = graph.MaxSpecBytes

// Errors of Request.Resolve.
var (
	// ErrInvalid means that the request is malformed; sending it again does not help.
	ErrInvalid = errors.New("invalid request")
	// ErrNotFound means that the configuration has no such service or job.
	ErrNotFound = errors.New("not in the configuration")
)

// requestIDPattern matches the request ids that clients may choose.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,100}$`)

// Request asks for one job.
type Request struct {
	RequestID string `json:"requestId"` // chosen by the client; the same id is the same job
	Service   string `json:"service"`
	Job       string `json:"job"`             // name of the job in its service
	Input     []byte `json:"input,omitempty"` // passed to each task, base64 on the wire
}

// JobID returns the id of the job for an account's request, a hash of the account and the
// request id.
func JobID(account, requestID string) graph.JobID {
	const half = 8 // bytes; 16 hexadecimal digits
	sum := sha256.Sum256([]byte(strconv.Itoa(len(account)) + ":" + account + "/" + requestID))
	return graph.JobID(hex.EncodeToString(sum[:half]))
}

// Resolve returns the job for an account's request that arrives at a time, with the
// properties that its kind and queue have in the configuration. It stores nothing. The
// error wraps ErrInvalid or ErrNotFound.
func (r Request) Resolve(c *text.Config, account string, at time.Time) (*graph.Job, error) {
	if !requestIDPattern.MatchString(r.RequestID) {
		return nil, fmt.Errorf("%w: requestId %q: want 1 to 100 letters, digits and . _ -", ErrInvalid, r.RequestID)
	}
	if len(r.Input) > MaxInputBytes {
		return nil, fmt.Errorf("%w: input of %d bytes, at most %d", ErrInvalid, len(r.Input), MaxInputBytes)
	}
	s, ok := c.Service(r.Service)
	if !ok {
		return nil, fmt.Errorf("%w: service %q", ErrNotFound, r.Service)
	}
	k, ok := s.Kind(r.Job)
	if !ok {
		return nil, fmt.Errorf("%w: job %q of service %q", ErrNotFound, r.Job, r.Service)
	}
	q := version.Queue(s, k)
	j := &graph.Job{
		ID: JobID(account, r.RequestID), Account: account, Spec: string(r.Input), AtMostOnce: !k.Repeatable(),
		AcceptedAt: at.UnixMilli(), Steps: []graph.Step{stepOf(k)},
	}
	applyQueue(j, q)
	if k.StartIn() > 0 {
		j.StartBy = at.Add(k.StartIn()).UnixMilli()
	}
	if err := j.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return j, nil
}

// applyQueue sets the properties that a job takes from its queue.
func applyQueue(j *graph.Job, q catalog.Queue) {
	j.Queue, j.Service, j.Priority, j.MaxAttempts = q.Name, q.Service, q.Priority, q.MaxAttempts
	j.SlackFactor, j.Allowance = q.SlackFactor, q.Allowance
}

// stepOf returns the step that runs a kind of job. Members that must share a worker
// become one task with the needs of all, so that nothing can place them apart.
func stepOf(k text.Kind) graph.Step {
	s := k.Shape()
	step := graph.Step{
		Count: s.Members(), Gang: s.Members() > 1, SameRack: s.Adjacency() == shape.SameRack,
		Estimate: k.DeclaredRunTime(), Checkpointing: k.Stoppable(),
		Needs: graph.Resources{CPU: s.Cores() * 1000, MemoryMB: s.Memory(), Accelerators: s.Accelerators()},
	}
	if s.Adjacency() == shape.SameWorker {
		step.Needs = step.Needs.Times(step.Count)
		step.Count, step.Gang = 1, false
	}
	return step
}
