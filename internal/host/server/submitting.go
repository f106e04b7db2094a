package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"time"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/host/admission"
	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/host/retry"
	"guavaglade.example/guavaglade/internal/platform/ledger"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Request is what a caller asks for.
type Request struct {
	Account   string `json:"-"` // set from the caller's key
	RequestID string `json:"requestId"`
	Service   string `json:"service"`
	Job       string `json:"job"`
	Input     []byte `json:"input,omitempty"` // base64 in JSON
	Ticket    string `json:"ticket,omitempty"`
}

// Refusal is an answer to a request that was not taken.
type Refusal struct {
	Status     int       `json:"status"`              // of HTTP
	NotRun     bool      `json:"notRun"`              // it did not run and will not run
	RetryAfter time.Time `json:"retryAfter,omitzero"` // when asking again makes sense; zero for never
	Reason     string    `json:"reason"`
}

// Error returns the reason.
func (r *Refusal) Error() string { return r.Reason }

func refuse(status int, format string, args ...any) *Refusal {
	return &Refusal{Status: status, NotRun: true, Reason: fmt.Sprintf(format, args...)}
}

func (r *Refusal) retry(at time.Time) *Refusal {
	r.RetryAfter = at
	return r
}

// platformPeer names the platform among the peers that are called again.
const platformPeer = "platform"

// A service that fails so often in a row is taken to keep failing for a while.
const (
	serviceFailures = 5
	serviceRest     = 5 * time.Second
)

var errFailing = errors.New("service keeps failing")

// requestID is what a caller may choose: it becomes part of keys and paths.
var requestID = regexp.MustCompile(`^[A-Za-z0-9._-]{1,100}$`)

// Submit takes a request and returns what is known of its job at once or, if
// until is not zero, when it is final or until has passed. A request that is
// not taken gets a *Refusal.
func (n *Node) Submit(ctx context.Context, r Request, until time.Time) (View, error) {
	now := time.Now()
	j, err := n.jobOf(ctx, r, now)
	if err != nil {
		return View{}, err
	}
	if r.Ticket != "" {
		return n.submitTicketed(ctx, r, j, until)
	}
	if v, ok, err := n.known(ctx, j, until); ok || err != nil {
		return own(v, j, err)
	}
	if err := n.takes(ctx, j); err != nil {
		return View{}, err
	}
	err = n.secure(ctx, j)
	if other := (*ledger.OtherZoneError)(nil); errors.As(err, &other) {
		return n.elsewhere(ctx, j, other.Zone, until)
	}
	if err != nil {
		return View{}, err
	}
	if err := n.Accept(ctx, j); err != nil {
		return View{}, err
	}
	if until.IsZero() {
		until = now
	}
	v, _, err := n.Wait(ctx, j.ID(), until)
	return v, err
}

// elsewhere answers a request that was submitted in another zone before. If no
// host there answers for it any more, this one does: it asks that zone's placer.
func (n *Node) elsewhere(ctx context.Context, j job.Job, zone string, until time.Time) (View, error) {
	v, ok, err := n.Find(ctx, j.ID(), until)
	if err != nil || ok {
		return own(v, j, err)
	}
	ev := intake.Accepted{Job: j, Adopted: true, Zone: zone}
	if err := n.ask(ctx, func() { n.stepEntry(context.WithoutCancel(ctx), ev, time.Now()) }); err != nil {
		return View{}, err
	}
	v, _, err = n.Wait(ctx, j.ID(), until)
	return v, err
}

// own returns what is known of a job to whoever asks for the same: another
// request under the same id must not get the answer of the first.
func own(v View, j job.Job, err error) (View, error) {
	other := v.Job.ID() != "" && (v.Job.Service() != j.Service() || v.Job.Kind() != j.Kind() || !bytes.Equal(v.Job.Input(), j.Input()))
	if err == nil && other {
		return View{}, refuse(http.StatusConflict, "request id %s stands for another request, for job %s.%s", j.Request(), v.Job.Service(), v.Job.Kind())
	}
	return v, err
}

// jobOf makes the job that a request asks for.
func (n *Node) jobOf(ctx context.Context, r Request, now time.Time) (job.Job, error) {
	if !requestID.MatchString(r.RequestID) {
		return job.Job{}, refuse(http.StatusBadRequest, "requestId %q: want 1 to 100 letters, digits, dots, dashes, underscores", r.RequestID)
	}
	config, err := n.Config(ctx)
	if err != nil {
		return job.Job{}, err
	}
	service, ok := config.Service(r.Service)
	if !ok {
		return job.Job{}, refuse(http.StatusBadRequest, "no service %q in the configuration in force", r.Service)
	}
	kind, ok := service.Kind(r.Job)
	if !ok {
		return job.Job{}, refuse(http.StatusBadRequest, "service %s runs no job %q", r.Service, r.Job)
	}
	return n.jobOfKind(r, kind, now)
}

func (n *Node) jobOfKind(r Request, kind text.Kind, now time.Time) (job.Job, error) {
	var startBy time.Time
	if kind.StartIn() > 0 {
		startBy = now.Add(kind.StartIn())
	}
	return job.New(
		job.NewID(r.Account, r.RequestID), r.Account, r.Service, kind.Shape(),
		job.WithKind(r.Job), job.WithRequest(r.RequestID), job.Repeatable(kind.Repeatable()), job.Long(kind.Long()),
		job.Urgent(kind.Urgent()), job.Stoppable(kind.Stoppable()), job.Guaranteed(kind.Guaranteed()),
		job.Declared(kind.Declared()), job.StartBy(startBy), job.SubmittedAt(now, n.id, n.settings.Zone()),
		job.WithTicket(r.Ticket), job.WithInput(r.Input),
	)
}

// known returns what is known of a job that was submitted before: submitting it
// again is idempotent. A job that must outlive its host is also looked up in
// the platform; without the platform a job that may run once only is refused.
func (n *Node) known(ctx context.Context, j job.Job, until time.Time) (View, bool, error) {
	if v, ok, err := n.Wait(ctx, j.ID(), until); ok || err != nil {
		return v, ok, err
	}
	if !j.NeedsClaim() {
		return View{}, false, nil
	}
	bounded, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var o job.Outcome
	var ok bool
	err := n.atPlatform(bounded, func(ctx context.Context) error {
		var err error
		o, ok, err = n.ledger.Outcome(ctx, j.ID())
		return err
	})
	if err == nil {
		return View{Job: j, State: o.State, Outcome: o, Durable: true}, ok, nil
	}
	if j.Repeatable() {
		return View{}, false, nil
	}
	now := time.Now()
	return View{}, false, refuse(http.StatusServiceUnavailable,
		"job %s may run once only and the platform is not reached: %v", j.ID(), err).retry(now.Add(5 * time.Second))
}

// takes refuses a job early while this host holds too many open ones, or while
// a service that the job's own needs keeps failing.
func (n *Node) takes(ctx context.Context, j job.Job) error {
	open := 0
	var config *text.Config
	if err := n.ask(ctx, func() { open, config = n.entry.Open(), n.config.Config() }); err != nil {
		return err
	}
	now := time.Now()
	if !n.gate.Takes(admission.ClassOf(j), open) {
		n.metrics.Counter("jobs_shed").Inc(1)
		return refuse(http.StatusServiceUnavailable, "host %s has %d open jobs", n.id, open).retry(now.Add(admission.ComeBack))
	}
	service, _ := config.Service(j.Service())
	for _, d := range service.DependsOn() {
		if !n.services.Available(d) {
			n.metrics.Counter("jobs_refused_dependency").Inc(1)
			return refuse(http.StatusServiceUnavailable, "service %s needs %s, which keeps failing", j.Service(), d).retry(now.Add(serviceRest))
		}
	}
	return nil
}

// serviceEnded tells the circuit of a job's service how the job came out, so
// that services which need it are refused early while it keeps failing.
func (n *Node) serviceEnded(ctx context.Context, service string, failed bool) {
	_ = n.services.Do(ctx, service, func(context.Context) error {
		if failed {
			return errFailing
		}
		return nil
	})
}

// secure writes the row of a durable job. Without the platform the job is
// taken all the same and its caller is told that it is not durable.
func (n *Node) secure(ctx context.Context, j job.Job) error {
	if !j.Long() {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	err := n.atPlatform(bounded, func(ctx context.Context) error {
		err := n.ledger.Admit(ctx, j)
		var other *ledger.OtherZoneError
		if errors.Is(err, ledger.ErrOtherRequest) || errors.Is(err, ledger.ErrEnded) || errors.As(err, &other) {
			return retry.Permanent(err)
		}
		return err
	})
	if err != nil {
		return n.withoutRow(ctx, j, err)
	}
	return n.ask(ctx, func() { n.durable[j.ID()] = true })
}

// withoutRow says what becomes of a long job whose row was not written: another
// use of its request id is refused, and so is a job that may run once only. A
// repeatable one is held by one more host until the platform is back.
func (n *Node) withoutRow(ctx context.Context, j job.Job, err error) error {
	now := time.Now()
	var other *ledger.OtherZoneError
	switch {
	case errors.As(err, &other):
		return other
	case errors.Is(err, ledger.ErrOtherRequest):
		return refuse(http.StatusConflict, "request id %s: %v", j.Request(), err)
	case errors.Is(err, ledger.ErrEnded):
		return refuse(http.StatusServiceUnavailable, "%v, ask for it again", err).retry(now.Add(time.Second))
	case !j.Repeatable():
		return refuse(http.StatusServiceUnavailable, "job %s may run once only: %v", j.ID(), err).retry(now.Add(5 * time.Second))
	}
	n.log.Info("job", "job", j.ID(), "step", "admit", "durable", false, "error", err.Error())
	n.copyAway(ctx, j)
	if err := n.pending.Admit(j); err != nil {
		n.log.Info("job", "job", j.ID(), "step", "admit", "error", err.Error())
	}
	return nil
}

// Config returns the meaning of the configuration in force; nil if there is none.
func (n *Node) Config(ctx context.Context) (c *text.Config, err error) {
	err = n.ask(ctx, func() { c = n.config.Config() })
	return c, err
}

// Ready returns nil if the balancer may send callers here.
func (n *Node) Ready(ctx context.Context) error {
	var reason string
	if err := n.ask(ctx, func() {
		switch {
		case n.stopping:
			reason = "stopping"
		case n.config.Version() == 0:
			reason = "no configuration in force"
		}
	}); err != nil {
		return err
	}
	if reason != "" {
		return errors.New(reason)
	}
	return nil
}
