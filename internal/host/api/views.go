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

// Views is what operators read of a deployment, from any of its hosts.
type Views struct {
	scheduler *scheduler.Scheduler
}

// NewViews returns the views of a scheduler.
func NewViews(s *scheduler.Scheduler) Views { return Views{s} }

// Handler returns the views without a question for a key: they are to be served at
// an address that only operators reach. The paths are those of the API.
func (v Views) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/jobs", func(w http.ResponseWriter, r *http.Request) { v.jobs(w, r, "") }).Methods(http.MethodGet)
	r.HandleFunc("/v1/jobs/{id}/explain", func(w http.ResponseWriter, r *http.Request) {
		v.story(w, r, entry.Caller{Operator: true})
	}).Methods(http.MethodGet)
	r.HandleFunc("/v1/inforce", v.inForce).Methods(http.MethodGet)
	r.HandleFunc("/v1/fleet", v.fleet).Methods(http.MethodGet)
	r.HandleFunc("/v1/burn", v.burn).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(noSuchPath)
	refuseOtherMethods(r)
	return r
}

func (v Views) jobs(w http.ResponseWriter, r *http.Request, account string) {
	list, err := v.scheduler.Views().Jobs(r.Context(), account)
	if err != nil {
		unavailable(w, err)
		return
	}
	reply(w, http.StatusOK, list)
}

// story answers with a job and what the leader decided about it in its term.
func (v Views) story(w http.ResponseWriter, r *http.Request, by entry.Caller) {
	id := jobOf(r)
	s, known, err := v.scheduler.Views().History(r.Context(), id)
	switch {
	case err != nil:
		unavailable(w, err)
	case !known:
		v.storedStory(w, r, id, by)
	case !by.MayAccess(s.Job.Account):
		notFound(w, id)
	default:
		reply(w, http.StatusOK, s)
	}
}

// storedStory answers for a job that the leader does not know. One that was accepted
// a moment ago is stored before the leader hears of it: it has no story yet, and is
// not to be denied.
func (v Views) storedStory(w http.ResponseWriter, r *http.Request, id graph.JobID, by entry.Caller) {
	told, err := v.scheduler.Entry().Status(r.Context(), id, by)
	if err != nil {
		notTold(w, id, err)
		return
	}
	job := view.Job{ID: id, Queue: told.Queue, Account: told.Account, State: told.State}
	reply(w, http.StatusOK, view.History{Job: job, Decisions: []view.Decision{}})
}

func (v Views) inForce(w http.ResponseWriter, r *http.Request) {
	list, err := v.scheduler.Views().InForce(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	reply(w, http.StatusOK, list)
}

func (v Views) fleet(w http.ResponseWriter, r *http.Request) {
	f, err := v.scheduler.Views().Fleet(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	reply(w, http.StatusOK, f)
}

// burn answers with the burn report as text, SVG or, by default, JSON.
func (v Views) burn(w http.ResponseWriter, r *http.Request) {
	report, err := v.scheduler.Burn(r.Context())
	if err != nil {
		unavailable(w, err)
		return
	}
	var body bytes.Buffer
	kind, write := "application/json", report.WriteJSON
	switch r.URL.Query().Get("format") {
	case "text":
		kind, write = "text/plain; charset=utf-8", report.WriteText
	case "svg":
		kind, write = "image/svg+xml", report.WriteSVG
	}
	if err := write(&body); err != nil {
		unavailable(w, err)
		return
	}
	w.Header().Set("Content-Type", kind)
	_, _ = w.Write(body.Bytes()) // a reader that has gone needs no answer
}
