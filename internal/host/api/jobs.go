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
}

// Figures of waiting for a job's end.
const (
	firstLook = 50 * time.Millisecond  // most small jobs take longer
	lastLook  = 400 * time.Millisecond // a second look costs a call to the leader
)

// waitOf returns until when a client wants to wait. The wait is optional and
// bounded by the settings.
func (a *API) waitOf(r *http.Request, now time.Time) (time.Time, error) {
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

func (a *API) submit(w http.ResponseWriter, r *http.Request, c caller) {
	now := time.Now()
	var body request.Request
	if !a.read(w, r, &body) {
		return
	}
	until, err := a.waitOf(r, now)
	if err != nil {
		Problem{Status: http.StatusBadRequest, Detail: err.Error()}.write(w, now)
		return
	}
	if c.account.Name() == "" {
		Problem{Status: http.StatusForbidden, Detail: "the key is no client account's"}.write(w, now)
		return
	}
	j, err := body.Resolve(c.config, c.account.Name(), now)
	if err == nil {
		err = a.scheduler.Entry().Submit(r.Context(), j)
	}
	if err != nil {
		refused(w, err)
		return
	}
	a.answerSubmitted(w, r, j, until)
}

// answerSubmitted answers for a job that is stored. The request id may have been
// used before: then the job that is stored is the earlier one.
func (a *API) answerSubmitted(w http.ResponseWriter, r *http.Request, j *graph.Job, until time.Time) {
	by := entry.Caller{Account: j.Account}
	told, err := a.await(r.Context(), j.ID, by, until)
	if err != nil { // it is accepted whether it can be told of or not
		told = view.JobStatus{State: progress.Queued, Queue: j.Queue, Account: j.Account}
	}
	if told.Queue != j.Queue {
		Problem{
			Status: http.StatusUnprocessableEntity,
			Detail: fmt.Sprintf("the request id was used for %s before; this request was not taken", told.Queue),
		}.write(w, time.Now())
		return
	}
	status := http.StatusAccepted
	if told.State.Final() {
		status = http.StatusOK
	}
	reply(w, status, JobView{ID: j.ID, Job: told.Queue, State: told.State})
}

// await returns what is told of a job, once it has ended or the time is over.
func (a *API) await(ctx context.Context, id graph.JobID, by entry.Caller, until time.Time) (view.JobStatus, error) {
	for look := firstLook; ; look = min(2*look, lastLook) {
		told, err := a.scheduler.Entry().Status(ctx, id, by)
		left := time.Until(until)
		if errors.Is(err, entry.ErrNoJob) || err == nil && told.State.Final() || left <= 0 {
			return told, err
		}
		select {
		case <-time.After(min(look, left)):
		case <-ctx.Done():
			return told, ctx.Err()
		}
	}
}

// refused answers why a job was not taken.
func refused(w http.ResponseWriter, err error) {
	const comeBack = time.Second // the store and a leader are seldom away for less
	now := time.Now()
	switch {
	case errors.Is(err, request.ErrInvalid), errors.Is(err, graph.ErrInvalid):
		Problem{Status: http.StatusBadRequest, Detail: err.Error(), State: string(progress.NotRun)}.write(w, now)
	case errors.Is(err, request.ErrNotFound):
		Problem{Status: http.StatusNotFound, Detail: err.Error(), State: string(progress.NotRun)}.write(w, now)
	case errors.Is(err, entry.ErrNotAccepted):
		Problem{
			Status: http.StatusServiceUnavailable, Type: "notAccepted", Detail: err.Error(),
			State: string(progress.NotRun), RetryAfter: now.Add(comeBack),
		}.write(w, now)
	default:
		Problem{Status: http.StatusGatewayTimeout, Type: "notKnownYet", Detail: err.Error(), RetryAfter: now.Add(comeBack)}.write(w, now)
	}
}

// jobOf returns the id of the job that a request is about.
func jobOf(r *http.Request) graph.JobID { return graph.JobID(mux.Vars(r)["id"]) }

func (c caller) entry() entry.Caller {
	return entry.Caller{Account: c.account.Name(), Operator: c.operator}
}

// notFound answers for a job that is not there or not the caller's: the two are
// not told apart.
func notFound(w http.ResponseWriter, id graph.JobID) {
	Problem{Status: http.StatusNotFound, Detail: fmt.Sprintf("no job %s", id)}.write(w, time.Now())
}

// notTold answers for a job that the entry could not serve.
func notTold(w http.ResponseWriter, id graph.JobID, err error) {
	if errors.Is(err, entry.ErrNoJob) {
		notFound(w, id)
		return
	}
	unavailable(w, err)
}

func (a *API) get(w http.ResponseWriter, r *http.Request, c caller) {
	id := jobOf(r)
	until, err := a.waitOf(r, time.Now())
	if err != nil {
		Problem{Status: http.StatusBadRequest, Detail: err.Error()}.write(w, time.Now())
		return
	}
	told, err := a.await(r.Context(), id, c.entry(), until)
	if err != nil {
		notTold(w, id, err)
		return
	}
	reply(w, http.StatusOK, JobView{ID: id, Job: told.Queue, State: told.State})
}

func (a *API) explain(w http.ResponseWriter, r *http.Request, c caller) {
	Views{a.scheduler}.story(w, r, c.entry())
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request, c caller) {
	id := jobOf(r)
	if err := a.scheduler.Entry().Cancel(r.Context(), id, c.entry()); err != nil {
		notTold(w, id, err)
		return
	}
	reply(w, http.StatusAccepted, struct {
		ID graph.JobID `json:"id"`
	}{id})
}

func (a *API) list(w http.ResponseWriter, r *http.Request, c caller) {
	Views{a.scheduler}.jobs(w, r, c.mayRead())
}

// guarantees answers with what accounts are guaranteed and want now: an account's
// own, or all to an operator.
func (a *API) guarantees(w http.ResponseWriter, r *http.Request, c caller) {
	f, err := a.scheduler.Views().Fleet(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	rows := []view.Account{}
	for _, g := range f.Accounts {
		if c.operator || g.Name == c.account.Name() {
			rows = append(rows, g)
		}
	}
	reply(w, http.StatusOK, rows)
}
