package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/host/scheduler"
	"guavaglade.example/guavaglade/internal/host/settings"
	"guavaglade.example/guavaglade/internal/report/metrics"
)

// API serves clients and operators of one host.
type API struct {
	scheduler *scheduler.Scheduler
	settings  atomic.Pointer[settings.Settings]
	metrics   http.Handler // serves /metrics; nil for none
	inForce   *parsed
}

// New returns the API of a scheduler. If shown is nil, /metrics is not there.
func New(st *scheduler.Scheduler, s settings.Settings, shown http.Handler) *API {
	a := &API{scheduler: st, metrics: shown, inForce: &parsed{}}
	a.settings.Store(&s)
	return a
}

// SetSettings has the requests that come from now on served by other settings.
func (a *API) SetSettings(s settings.Settings) { a.settings.Store(&s) }

// Handler returns the HTTP surface.
func (a *API) Handler() http.Handler {
	inner := a.router()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, int64(a.settings.Load().MaxBody()))
		inner.ServeHTTP(w, r)
	})
}

func (a *API) router() *mux.Router {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", a.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", a.ready).Methods(http.MethodGet)
	if a.metrics != nil {
		r.Handle("/metrics", a.metrics).Methods(http.MethodGet)
	}
	views := Views{a.scheduler}
	v1 := r.PathPrefix("/v1").Subrouter()
	v1.HandleFunc("/jobs", a.as(a.submit)).Methods(http.MethodPost)
	v1.HandleFunc("/jobs", a.as(a.list)).Methods(http.MethodGet)
	v1.HandleFunc("/jobs/{id}", a.as(a.get)).Methods(http.MethodGet)
	v1.HandleFunc("/jobs/{id}", a.as(a.cancel)).Methods(http.MethodDelete)
	v1.HandleFunc("/jobs/{id}/explain", a.as(a.explain)).Methods(http.MethodGet)
	v1.HandleFunc("/configuration", a.asOperator(a.getConfiguration)).Methods(http.MethodGet)
	v1.HandleFunc("/configuration", a.asOperator(a.putConfiguration)).Methods(http.MethodPut)
	v1.HandleFunc("/inforce", a.asOperator(plain(views.inForce))).Methods(http.MethodGet)
	v1.HandleFunc("/fleet", a.asOperator(plain(views.fleet))).Methods(http.MethodGet)
	v1.HandleFunc("/burn", a.asOperator(plain(views.burn))).Methods(http.MethodGet)
	v1.HandleFunc("/guarantees", a.as(a.guarantees)).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(noSuchPath)
	refuseOtherMethods(r)
	r.Use(a.counted)
	return r
}

func noSuchPath(w http.ResponseWriter, r *http.Request) {
	Problem{Status: http.StatusNotFound, Detail: "no such path: " + r.URL.Path}.write(w, time.Now())
}

// counted counts and times the requests of each route by status.
func (a *API) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.scheduler.Stopping() {
			w.Header().Set("Connection", "close")
		}
		begun := time.Now()
		seen := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(seen, r)
		route, _ := mux.CurrentRoute(r).GetPathTemplate()
		scope := a.scheduler.Metrics().Tagged(map[string]string{"route": route, "method": r.Method})
		scope.Histogram("request_seconds", metrics.LatencyBuckets).RecordDuration(time.Since(begun))
		scope.Tagged(map[string]string{"status": strconv.Itoa(seen.status)}).Counter("requests_total").Inc(1)
	})
}

// statusWriter notes the status that was written.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader notes and writes the status.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// caller is who makes a request.
type caller struct {
	account  text.Account
	operator bool
	config   *text.Config
}

// mayRead returns the account whose jobs the caller may list; empty: all.
func (c caller) mayRead() string {
	if c.operator {
		return ""
	}
	return c.account.Name()
}

type handler func(w http.ResponseWriter, r *http.Request, c caller)

// plain makes a handler of one that does not ask who calls.
func plain(f http.HandlerFunc) handler {
	return func(w http.ResponseWriter, r *http.Request, _ caller) { f(w, r) }
}

// as lets only a known key through.
func (a *API) as(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := a.callerOf(r)
		if !ok {
			a.scheduler.Metrics().Counter("callers_refused").Inc(1)
			Problem{Status: http.StatusUnauthorized, Detail: "show a client account's key as a bearer token"}.write(w, time.Now())
			return
		}
		h(w, r, c)
	}
}

// asOperator lets only an operator's key through.
func (a *API) asOperator(h handler) http.HandlerFunc {
	return a.as(func(w http.ResponseWriter, r *http.Request, c caller) {
		if !c.operator {
			Problem{Status: http.StatusForbidden, Detail: "only an operator's key may do this"}.write(w, time.Now())
			return
		}
		h(w, r, c)
	})
}

// callerOf finds the account whose key the request shows. The operator's key of
// the settings lets the first configuration in and ends with that: if it stayed
// valid, an operator whose account was taken out of the text could still act.
func (a *API) callerOf(r *http.Request) (caller, bool) {
	key, ok := credential.Bearer(r.Header.Get("Authorization"))
	if !ok {
		return caller{}, false
	}
	a.scheduler.AwaitCatalog(r.Context())
	config := a.inForce.config(a.scheduler.Catalog())
	c := caller{config: config}
	account, found := key.Account(config)
	if found {
		c.account, c.operator = account, account.Operator()
	}
	if config == nil && key.Matches(a.settings.Load().OperatorKeyHash()) {
		c.operator, found = true, true
	}
	return c, found
}

// hostBody names the host that answers.
type hostBody struct {
	Host string `json:"host"`
}

func (a *API) health(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, hostBody{a.settings.Load().PeerAddress()})
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.scheduler.Ready() {
		Problem{Status: http.StatusServiceUnavailable, Detail: "stopping, without a configuration, or nothing can be stored"}.write(w, time.Now())
		return
	}
	reply(w, http.StatusOK, hostBody{a.settings.Load().PeerAddress()})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that has gone needs no answer
}

// read parses a body; it answers bad input and returns false.
func (a *API) read(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		return true
	}
	a.scheduler.Metrics().Counter("callers_bad_input").Inc(1)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		Problem{Status: http.StatusRequestEntityTooLarge, Detail: fmt.Sprintf("body: more than %d bytes", large.Limit)}.write(w, time.Now())
		return false
	}
	Problem{Status: http.StatusBadRequest, Detail: "body: " + err.Error()}.write(w, time.Now())
	return false
}

// unavailable answers that neither the leader nor the store could be asked.
func unavailable(w http.ResponseWriter, err error) {
	now := time.Now()
	status := http.StatusServiceUnavailable
	if errors.Is(err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	Problem{Status: status, Detail: err.Error(), RetryAfter: now.Add(time.Second)}.write(w, now)
}
