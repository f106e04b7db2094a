package api

import (
	"bytes"
	"net/http"

	"github.com/gorilla/mux"

	"guavaglade.example/guavaglade/internal/host/entry"
	"guavaglade.example/guavaglade/internal/host/scheduler"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// Views serves what operators read of a deployment, from any of its hosts.
type Views struct {
	scheduler *scheduler.Scheduler
}

// NewViews returns the views of a scheduler.
func NewViews(s *scheduler.Scheduler) Views { return Views{s} }

// Handler returns a handler that does not require a key: it must be served at an address
// that only operators can reach. The paths are those of the API.
func (v Views) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/jobs", func(w http.ResponseWriter, r *http.Request) { v.jobs(w, r, "") }).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{id}/explain", func(w http.ResponseWriter, r *http.Request) {
		v.history(w, r, entry.Caller{Operator: true})
	}).Methods(http.MethodGet)
	r.HandleFunc("/v1/inforce", v.inForce).Methods(http.MethodGet)
	r.HandleFunc("/v1/fleet", v.fleet).Methods(http.MethodGet)
	r.HandleFunc("/v1/burn", v.burn).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(noSuchPath)
	addMethodNotAllowed(r)
	return r
}

// jobs answers with the jobs of an account that the leader knows, or with those of all
// accounts if account is empty.
func (v Views) jobs(w http.ResponseWriter, r *http.Request, account string) {
	list, err := v.scheduler.Views().Jobs(r.Context(), account)
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// history answers with a job and the leader's decisions about it in the current term.
func (v Views) history(w http.ResponseWriter, r *http.Request, by entry.Caller) {
	id := jobID(r)
	history, known, err := v.scheduler.Views().History(r.Context(), id)
	switch {
	case err != nil:
		writeUnavailable(w, err)
	case !known:
		v.storedHistory(w, r, id, by)
	case !by.MayAccess(history.Job.Account):
		writeJobNotFound(w, id)
	default:
		writeJSON(w, http.StatusOK, history)
	}
}

// storedHistory answers for a job that the leader does not know. A job is stored before
// the leader is notified, so a job that was just accepted exists but has no history yet.
func (v Views) storedHistory(w http.ResponseWriter, r *http.Request, id graph.JobID, by entry.Caller) {
	status, err := v.scheduler.Entry().Status(r.Context(), id, by)
	if err != nil {
		writeJobError(w, id, err)
		return
	}
	job := view.Job{ID: id, Queue: status.Queue, Account: status.Account, State: status.State}
	writeJSON(w, http.StatusOK, view.History{Job: job, Decisions: []view.Decision{}})
}

// inForce answers with the configuration version in force on each host, as the leader
// knows it.
func (v Views) inForce(w http.ResponseWriter, r *http.Request) {
	list, err := v.scheduler.Views().InForce(r.Context())
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

// fleet answers with the leader's view of targets, zones and accounts.
func (v Views) fleet(w http.ResponseWriter, r *http.Request) {
	f, err := v.scheduler.Views().Fleet(r.Context())
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	writeJSON(w, http.StatusOK, f)
}

// burn answers with the burn report of the hosts, as text or SVG if the parameter format
// says so, otherwise as JSON.
func (v Views) burn(w http.ResponseWriter, r *http.Request) {
	report, err := v.scheduler.Burn(r.Context())
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	var body bytes.Buffer
	contentType, write := "application/json", report.WriteJSON
	switch r.URL.Query().Get("format") {
	case "text":
		contentType, write = "text/plain; charset=utf-8", report.WriteText
	case "svg":
		contentType, write = "image/svg+xml", report.WriteSVG
	}
	if err := write(&body); err != nil {
		writeUnavailable(w, err)
		return
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(body.Bytes()) // fails only if the client has disconnected
}
