package api

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/host/server"
	"guavaglade.example/guavaglade/internal/work/gang"
	"guavaglade.example/guavaglade/internal/work/job"
)

// JobView is a job as its caller sees it.
type JobView struct {
	ID         job.ID      `json:"id"`
	State      job.State   `json:"state"`
	Durable    bool        `json:"durable"`
	Attempt    int         `json:"attempt,omitempty"`
	Reason     string      `json:"reason,omitempty"`
	RetryAfter time.Time   `json:"retryAfter,omitzero"`
	Answer     *job.Answer `json:"answer,omitempty"` // of a succeeded job
	AskAgainAt string      `json:"askAgainAt,omitempty"`
}

// Story is a job with all that became of it, oldest line first.
type Story struct {
	JobView
	Lines []intake.Line `json:"lines"`
}

func viewOf(v server.View) JobView {
	out := JobView{ID: v.Job.ID(), State: v.State, Durable: v.Durable, AskAgainAt: v.AskAgainAt}
	if !v.State.Final() {
		return out
	}
	out.ID, out.Attempt, out.Reason, out.RetryAfter = v.Outcome.Job, gang.Round(v.Outcome.Attempt), v.Outcome.Reason, v.Outcome.RetryAfter
	if v.State == job.Succeeded {
		out.Answer = &v.Outcome.Answer
	}
	return out
}

// waitOf returns until when a caller wants to wait. The wait is optional and
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
	return now.Add(min(d, a.node.Settings().MaxWait())), nil
}

func (a *API) submit(w http.ResponseWriter, r *http.Request, c caller) {
	now := time.Now()
	var body server.Request
	if !a.read(w, r, &body) {
		return
	}
	until, err := a.waitOf(r, now)
	if err != nil {
		Problem{Status: http.StatusBadRequest, Detail: err.Error()}.write(w, now)
		return
	}
	body.Account = c.account.Name()
	if body.Account == "" {
		Problem{Status: http.StatusForbidden, Detail: "the key is no client account's"}.write(w, now)
		return
	}
	v, err := a.node.Submit(r.Context(), body, until)
	if err != nil {
		refused(w, err)
		return
	}
	status := http.StatusAccepted
	if v.State.Final() {
		status = http.StatusOK
	}
	reply(w, status, viewOf(v))
}

// refused answers why a job was not taken.
func refused(w http.ResponseWriter, err error) {
	var no *server.Refusal
	if !errors.As(err, &no) {
		unavailable(w, err)
		return
	}
	p := Problem{Status: no.Status, Detail: no.Error(), RetryAfter: no.RetryAfter}
	if no.NotRun {
		p.State = string(job.NotRun)
	}
	p.write(w, time.Now())
}

// find looks a job up for its own account, or answers that it is not there.
func (a *API) find(w http.ResponseWriter, r *http.Request, c caller) (server.View, bool) {
	id := job.ID(mux.Vars(r)["id"])
	now := time.Now()
	until, err := a.waitOf(r, now)
	if err != nil {
		Problem{Status: http.StatusBadRequest, Detail: err.Error()}.write(w, now)
		return server.View{}, false
	}
	v, ok, err := a.node.Find(r.Context(), id, until)
	if err != nil {
		unavailable(w, err)
		return server.View{}, false
	}
	// Another account's job is not told from one that is not there.
	if !ok || !c.operator && !id.Of(c.account.Name()) {
		Problem{Status: http.StatusNotFound, Detail: fmt.Sprintf("no job %s", id)}.write(w, now)
		return server.View{}, false
	}
	return v, true
}

func (a *API) get(w http.ResponseWriter, r *http.Request, c caller) {
	if v, ok := a.find(w, r, c); ok {
		reply(w, http.StatusOK, viewOf(v))
	}
}

func (a *API) explain(w http.ResponseWriter, r *http.Request, c caller) {
	v, ok := a.find(w, r, c)
	if !ok {
		return
	}
	reply(w, http.StatusOK, Story{viewOf(v), v.Lines})
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request, c caller) {
	v, ok := a.find(w, r, c)
	if !ok {
		return
	}
	if err := a.node.Cancel(r.Context(), v); err != nil {
		unavailable(w, err)
		return
	}
	reply(w, http.StatusAccepted, viewOf(v))
}

func (a *API) ticket(w http.ResponseWriter, r *http.Request, c caller) {
	if c.account.Name() == "" {
		Problem{Status: http.StatusForbidden, Detail: "the key is no client account's"}.write(w, time.Now())
		return
	}
	text, deadline, err := a.node.Ticket(r.Context(), c.account.Name())
	if err != nil {
		unavailable(w, err)
		return
	}
	reply(w, http.StatusOK, TicketView{Ticket: text, Deadline: deadline})
}

// TicketView is a ticket as its caller sees it.
type TicketView struct {
	Ticket   string    `json:"ticket"`
	Deadline time.Time `json:"deadline"` // it cannot be spent after it
}

func (a *API) list(w http.ResponseWriter, r *http.Request, c caller) {
	account := c.account.Name()
	if c.operator {
		account = ""
	}
	views, err := a.node.Jobs(r.Context(), account)
	if err != nil {
		unavailable(w, err)
		return
	}
	jobs := make([]JobView, 0, len(views))
	for _, v := range views {
		one := viewOf(v)
		one.Answer = nil // the list goes without; an empty one would look like the job's
		jobs = append(jobs, one)
	}
	reply(w, http.StatusOK, jobs)
}
