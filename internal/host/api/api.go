package api

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"guavaglade.example/guavaglade/internal/config/text"
	"guavaglade.example/guavaglade/internal/host/admission"
	"guavaglade.example/guavaglade/internal/host/credential"
	"guavaglade.example/guavaglade/internal/host/scheduler"
	"guavaglade.example/guavaglade/internal/host/settings"
	"guavaglade.example/guavaglade/internal/report/metrics"
	"guavaglade.example/guavaglade/internal/work/progress"
)

// API serves the HTTP API of one host.
type API struct {
	scheduler   *scheduler.Scheduler
	settings    atomic.Pointer[settings.Settings]
	metrics     http.Handler // serves /metrics; may be nil
	configCache *configCache
}

// New returns the API of a scheduler. If metricsHandler is nil, /metrics is not served.
func New(s *scheduler.Scheduler, initial settings.Settings, metricsHandler http.Handler) *API {
	a := &API{scheduler: s, metrics: metricsHandler, configCache: &configCache{}}
	a.settings.Store(&initial)
	return a
}

// SetSettings replaces the settings, for later requests.
func (a *API) SetSettings(s settings.Settings) { a.settings.Store(&s) }

// Handler returns the handler of all paths. It limits the size of each request's body as
// the settings say.
func (a *API) Handler() http.Handler {
	router := a.router()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, int64(a.settings.Load().MaxBodyBytes()))
		router.ServeHTTP(w, r)
	})
}

// router returns the routes. All paths under /v1 require a client account's key, some of
// them an operator's.
func (a *API) router() *mux.Router {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", a.health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", a.ready).Methods(http.MethodGet)
	if a.metrics != nil {
		r.Handle("/metrics", a.metrics).Methods(http.MethodGet)
	}
	views := Views{a.scheduler}
	v1 := r.PathPrefix("/v1").Subrouter()
	v1.HandleFunc("/jobs", a.authenticated(a.submit)).Methods(http.MethodPost)
	v1.HandleFunc("/jobs", a.authenticated(a.list)).Methods(http.MethodGet)
	v1.HandleFunc("/jobs/{id}", a.authenticated(a.get)).Methods(http.MethodGet)
	v1.HandleFunc("/jobs/{id}", a.authenticated(a.cancel)).Methods(http.MethodDelete)
	v1.HandleFunc("/jobs/{id}/explain", a.authenticated(a.explain)).Methods(http.MethodGet)
	v1.HandleFunc("/configuration", a.operatorOnly(a.getConfiguration)).Methods(http.MethodGet)
	v1.HandleFunc("/configuration", a.operatorOnly(a.putConfiguration)).Methods(http.MethodPut)
	v1.HandleFunc("/inforce", a.operatorOnly(ignoreCaller(views.inForce))).Methods(http.MethodGet)
	v1.HandleFunc("/fleet", a.operatorOnly(ignoreCaller(views.fleet))).Methods(http.MethodGet)
	v1.HandleFunc("/burn", a.operatorOnly(ignoreCaller(views.burn))).Methods(http.MethodGet)
	v1.HandleFunc("/guarantees", a.authenticated(a.guarantees)).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(noSuchPath)
	addMethodNotAllowed(r)
	r.Use(a.instrument)
	return r
}

func noSuchPath(w http.ResponseWriter, r *http.Request) {
	Problem{Status: http.StatusNotFound, Detail: "no such path: " + r.URL.Path}.write(w, time.Now())
}

// instrument records the count and the latency of requests, by route and status.
// Requests for unknown paths are not recorded. During a planned stop it also asks
// clients to close their connections.
func (a *API) instrument(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.scheduler.Stopping() {
			w.Header().Set("Connection", "close")
		}
		start := time.Now()
		recorder := &statusRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, r)
		route, _ := mux.CurrentRoute(r).GetPathTemplate()
		scope := a.scheduler.Metrics().Tagged(map[string]string{"route": route, "method": r.Method})
		scope.Histogram("request_seconds", metrics.LatencyBuckets).RecordDuration(time.Since(start))
		scope.Tagged(map[string]string{"status": strconv.Itoa(recorder.status)}).Counter("requests_total").Inc(1)
	})
}

// statusRecorder records the status that is written.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader records and writes the status.
func (w *statusRecorder) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// caller is the authenticated sender of a request.
type caller struct {
	account  text.Account // zero for the operator's key of the settings
	operator bool
	config   *text.Config // in force when the key was checked; nil: none
}

// accountFilter returns the account whose jobs the caller may list, or "" for all.
func (c caller) accountFilter() string {
	if c.operator {
		return ""
	}
	return c.account.Name()
}

// handler serves a request of an authenticated caller.
type handler func(w http.ResponseWriter, r *http.Request, c caller)

// ignoreCaller adapts a handler that does not depend on the caller.
func ignoreCaller(f http.HandlerFunc) handler {
	return func(w http.ResponseWriter, r *http.Request, _ caller) { f(w, r) }
}

// authenticated refuses requests without a known key with status 401, and counts them.
func (a *API) authenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := a.authenticate(r)
		if !ok {
			a.scheduler.Metrics().Counter("callers_refused").Inc(1)
			Problem{Status: http.StatusUnauthorized, Detail: "missing or unknown key; send a client account's key as a bearer token"}.write(w, time.Now())
			return
		}
		h(w, r, c)
	}
}

// operatorOnly refuses requests without an operator's key, like authenticated, or with
// status 403 if they have another account's key.
func (a *API) operatorOnly(h handler) http.HandlerFunc {
	return a.authenticated(func(w http.ResponseWriter, r *http.Request, c caller) {
		if !c.operator {
			Problem{Status: http.StatusForbidden, Detail: "only an operator's key may do this"}.write(w, time.Now())
			return
		}
		h(w, r, c)
	})
}

// authenticate returns the caller whose key the request carries. It waits briefly if the
// configuration in force may be outdated. The operator's key of the settings is valid
// only until the first configuration is in force: if it stayed valid, an operator whose
// account was removed from the text could still act.
func (a *API) authenticate(r *http.Request) (caller, bool) {
	key, ok := credential.Bearer(r.Header.Get("Authorization"))
	if !ok {
		return caller{}, false
	}
	a.scheduler.AwaitCatalog(r.Context())
	config := a.configCache.config(a.scheduler.Catalog())
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

// hostBody is a body that names the answering host.
type hostBody struct {
	Host string `json:"host"`
}

// health answers as long as the process serves requests.
func (a *API) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, hostBody{a.settings.Load().PeerAddress()})
}

// ready answers with status 503 while clients should be sent to another host.
func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.scheduler.Ready() {
		Problem{Status: http.StatusServiceUnavailable, Detail: "not ready: stopping, without a configuration, or unable to store jobs"}.write(w, time.Now())
		return
	}
	writeJSON(w, http.StatusOK, hostBody{a.settings.Load().PeerAddress()})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}

// decodeBody decodes a request's body. On invalid input, which includes unknown fields,
// it counts the request, writes the error and returns false, as for a body that the host has
// refused to receive.
func (a *API) decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body) // the request counts as received at the end of its body
	}
	if err == nil {
		admission.Decoded(r)
		return true
	}
	if errors.Is(err, admission.ErrRefused) {
		Refuse(w, http.StatusServiceUnavailable, err.Error())
		return false
	}
	a.scheduler.Metrics().Counter("callers_bad_input").Inc(1)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		Problem{Status: http.StatusRequestEntityTooLarge, Detail: fmt.Sprintf("body: more than %d bytes", tooLarge.Limit)}.write(w, time.Now())
		return false
	}
	Problem{Status: http.StatusBadRequest, Detail: "body: " + err.Error()}.write(w, time.Now())
	return false
}

// Refuse answers a request that has not run: the host refused to receive or to handle it. It
// closes the connection.
func Refuse(w http.ResponseWriter, status int, detail string) {
	now := time.Now()
	p := Problem{Status: status, Detail: detail, State: string(progress.NotRun)}
	if status == http.StatusServiceUnavailable {
		p.Type, p.RetryAfter = "notAccepted", now.Add(retryDelay)
	}
	w.Header().Set("Connection", "close")
	p.write(w, now)
}

// writeUnavailable writes the error of a request that needed the leader or the store and
// reached neither: status 504 if the deadline has passed, otherwise 503.
func writeUnavailable(w http.ResponseWriter, err error) {
	now := time.Now()
	status := http.StatusServiceUnavailable
	if errors.Is(err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	Problem{Status: status, Detail: err.Error(), RetryAfter: now.Add(time.Second)}.write(w, now)
}
