package api

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"guavaglade.example/guavaglade/internal/host/entry"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
	"guavaglade.example/guavaglade/internal/work/request"
)

// JobView is a job as its client sees it.
type JobView struct {
	ID    graph.JobID    `json:"id"`
	Job   string         `json:"job"` // service and name
	State progress.State `json:"state"`
	// Reason is why the job failed; empty if it did not.
	Reason string `json:"reason,omitempty"`
}

// Intervals of reading the state of a job whose end a client waits for.
const (
	minPollInterval = 50 * time.Millisecond  // most small jobs take longer
	maxPollInterval = 400 * time.Millisecond // each read costs a call to the leader
)

// waitDeadline returns until when a client wants to wait, the zero time without the
// parameter wait. The settings limit it.
func (a *API) waitDeadline(r *http.Request, now time.Time) (time.Time, error) {
	q := r.URL.Query().Get("wait")
	if q == "" {
		return time.Time{}, nil
	}
	d, err := time.ParseDuration(q)
	if err != nil || d < 0 {
		return time.Time{}, fmt.Errorf("wait=%s: want a duration such as 20s", q)
	}
	return now.Add(min(d, a.settings.Load().MaxWait())), nil
}

// submit stores a job of the caller's account and answers with its state. The operator's
// key of the settings cannot submit jobs, since it has no account.
func (a *API) submit(w http.ResponseWriter, r *http.Request, c caller) {
	now := time.Now()
	var body request.Request
	if !a.decodeBody(w, r, &body) {
		return
	}
	until, err := a.waitDeadline(r, now)
	if err != nil {
		Problem{Status: http.StatusBadRequest, Detail: err.Error()}.write(w, now)
		return
	}
	if c.account.Name() == "" {
		Problem{Status: http.StatusForbidden, Detail: "the key does not belong to a client account"}.write(w, now)
		return
	}
	j, err := body.Resolve(c.config, c.account.Name(), now)
	if err == nil {
		err = a.scheduler.Entry().Submit(r.Context(), j)
	}
	if err != nil {
		writeSubmitError(w, request.JobID(c.account.Name(), body.RequestID), err)
		return
	}
	a.replySubmitted(w, r, j, until)
}

// replySubmitted writes the response for a stored job once the job has ended or the
// deadline has passed. If the request id was used before, the stored job is the earlier
// one; one of another kind is an error.
func (a *API) replySubmitted(w http.ResponseWriter, r *http.Request, j *graph.Job, until time.Time) {
	by := entry.Caller{Account: j.Account}
	jobStatus, err := a.awaitEnd(r.Context(), j.ID, by, until)
	if err != nil { // the job is accepted even if its state cannot be read
		jobStatus = view.JobStatus{State: progress.Queued, Queue: j.Queue, Account: j.Account}
	}
	if jobStatus.Queue != j.Queue {
		Problem{
			Status: http.StatusUnprocessableEntity,
			Detail: fmt.Sprintf("the request id was used for %s before; this request was not accepted", jobStatus.Queue),
		}.write(w, time.Now())
		return
	}
	status := http.StatusAccepted
	if jobStatus.State.Final() {
		status = http.StatusOK
	}
	writeJSON(w, status, JobView{ID: j.ID, Job: jobStatus.Queue, State: jobStatus.State, Reason: jobStatus.Reason})
}

// awaitEnd returns the status of a job once it has ended or the deadline has passed. It
// reads the status at least once. Until the deadline it tries again after any error but
// ErrNoJob.
func (a *API) awaitEnd(ctx context.Context, id graph.JobID, by entry.Caller, until time.Time) (view.JobStatus, error) {
	for interval := minPollInterval; ; interval = min(2*interval, maxPollInterval) {
		status, err := a.scheduler.Entry().Status(ctx, id, by)
		remaining := time.Until(until)
		if errors.Is(err, entry.ErrNoJob) || err == nil && status.State.Final() || remaining <= 0 {
			return status, err
		}
		select {
		case <-time.After(min(interval, remaining)):
		case <-ctx.Done():
			return status, ctx.Err()
		}
	}
}

// retryDelay is the time after which a request that was refused should be repeated: outages of the
// store or the leader are rarely shorter.
const retryDelay = time.Second

// writeSubmitError writes why a job was not accepted. If its outcome is not known, the answer has its
// id, by which the client can read or cancel it.
func writeSubmitError(w http.ResponseWriter, id graph.JobID, err error) {
	now := time.Now()
	switch {
	case errors.Is(err, request.ErrInvalid), errors.Is(err, graph.ErrInvalid):
		Problem{Status: http.StatusBadRequest, Detail: err.Error(), State: string(progress.NotRun)}.write(w, now)
	case errors.Is(err, request.ErrNotFound):
		Problem{Status: http.StatusNotFound, Detail: err.Error(), State: string(progress.NotRun)}.write(w, now)
	case errors.Is(err, entry.ErrCancelled):
		Problem{Status: http.StatusGone, Type: "cancelled", Detail: err.Error(), State: string(progress.NotRun), ID: id}.write(w, now)
	case errors.Is(err, entry.ErrNotAccepted):
		Problem{
			Status: http.StatusServiceUnavailable, Type: "notAccepted", Detail: err.Error(),
			State: string(progress.NotRun), RetryAfter: now.Add(retryDelay),
		}.write(w, now)
	default:
		Problem{Status: http.StatusGatewayTimeout, Type: "notKnownYet", Detail: err.Error(), ID: id, RetryAfter: now.Add(retryDelay)}.write(w, now)
	}
}

// jobID returns the job id in the path of a request.
func jobID(r *http.Request) graph.JobID { return graph.JobID(mux.Vars(r)["id"]) }

// entry returns the caller in the form in which the entry checks access.
func (c caller) entry() entry.Caller {
	return entry.Caller{Account: c.account.Name(), Operator: c.operator}
}

// writeJobNotFound answers for a job that does not exist or belongs to another account;
// the caller cannot tell which.
func writeJobNotFound(w http.ResponseWriter, id graph.JobID) {
	Problem{Status: http.StatusNotFound, Detail: fmt.Sprintf("no job %s", id)}.write(w, time.Now())
}

// writeJobError writes an error of the entry about a job.
func writeJobError(w http.ResponseWriter, id graph.JobID, err error) {
	switch {
	case errors.Is(err, entry.ErrNoJob):
		writeJobNotFound(w, id)
	case errors.Is(err, entry.ErrTooManyCancellations):
		now := time.Now()
		Problem{Status: http.StatusTooManyRequests, Detail: err.Error(), RetryAfter: now.Add(retryDelay)}.write(w, now)
	default:
		writeUnavailable(w, err)
	}
}

// get answers with the state of a job, after the job has ended or the wait that the
// client asked for is over.
func (a *API) get(w http.ResponseWriter, r *http.Request, c caller) {
	id := jobID(r)
	until, err := a.waitDeadline(r, time.Now())
	if err != nil {
		Problem{Status: http.StatusBadRequest, Detail: err.Error()}.write(w, time.Now())
		return
	}
	status, err := a.awaitEnd(r.Context(), id, c.entry(), until)
	if err != nil {
		writeJobError(w, id, err)
		return
	}
	writeJSON(w, http.StatusOK, JobView{ID: id, Job: status.Queue, State: status.State, Reason: status.Reason})
}

// explain answers with a job's history, if the caller may access the job.
func (a *API) explain(w http.ResponseWriter, r *http.Request, c caller) {
	Views{a.scheduler}.history(w, r, c.entry())
}

// cancel answers once the cancellation is stored, also with 404, that of a job which is not there: none
// of its id is stored later. Running tasks are stopped later.
func (a *API) cancel(w http.ResponseWriter, r *http.Request, c caller) {
	id := jobID(r)
	if err := a.scheduler.Entry().Cancel(r.Context(), id, c.entry()); err != nil {
		writeJobError(w, id, err)
		return
	}
	writeJSON(w, http.StatusAccepted, struct {
		ID graph.JobID `json:"id"`
	}{id})
}

// list answers with the jobs of the caller's account, or with all jobs for an operator.
func (a *API) list(w http.ResponseWriter, r *http.Request, c caller) {
	Views{a.scheduler}.jobs(w, r, c.accountFilter())
}

// guarantees answers with the guarantees and the current demand of accounts: those of the
// caller's account, or all for an operator.
func (a *API) guarantees(w http.ResponseWriter, r *http.Request, c caller) {
	f, err := a.scheduler.Views().Fleet(r.Context())
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	rows := []view.Account{}
	for _, g := range f.Accounts {
		if c.operator || g.Name == c.account.Name() {
			rows = append(rows, g)
		}
	}
	writeJSON(w, http.StatusOK, rows)
}
