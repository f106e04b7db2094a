package fleet

import (
	"errors"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/standin/body"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Server puts one Worker behind HTTP with the real clock.
type Server struct {
	mu      sync.Mutex
	worker  *Worker
	changed chan struct{} // closed and replaced at each change
	last    int64         // change number when changed was last replaced
	timer   *time.Timer
}

// NewServer returns a server of the worker.
func NewServer(w *Worker) *Server {
	s := &Server{worker: w, changed: make(chan struct{})}
	s.timer = time.AfterFunc(time.Hour, func() { s.with(func(w *Worker, now time.Time) { w.Advance(now) }) })
	return s
}

// With runs f on the worker, alone.
func (s *Server) With(f func(w *Worker)) {
	s.with(func(w *Worker, _ time.Time) { f(w) })
}

func (s *Server) with(f func(w *Worker, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.worker, time.Now())
	if s.worker.Change() != s.last {
		s.last = s.worker.Change()
		close(s.changed)
		s.changed = make(chan struct{})
	}
	if next := s.worker.Next(); !next.IsZero() {
		s.timer.Reset(max(0, time.Until(next)) + time.Millisecond)
	}
}

// Handler returns the HTTP surface of the worker.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/hold", s.hold).Methods(http.MethodPost)
	r.HandleFunc("/v1/start", s.start).Methods(http.MethodPost)
	r.HandleFunc("/v1/renew", s.renew).Methods(http.MethodPost)
	r.HandleFunc("/v1/stop", s.stop).Methods(http.MethodPost)
	r.HandleFunc("/v1/throttle", s.throttle).Methods(http.MethodPost)
	r.HandleFunc("/v1/faults", s.faults).Methods(http.MethodPut)
	r.HandleFunc("/v1/starts", s.starts).Methods(http.MethodGet)
	return r
}

func (s *Server) hold(w http.ResponseWriter, r *http.Request) {
	var in struct {
		target.Hold
		TTLMillis int64 `json:"ttlMillis"`
	}
	if !body.Read(w, r, &in) {
		return
	}
	s.answer(w, func(k *Worker, now time.Time) error { return k.Hold(in.Hold, millis(in.TTLMillis), now) })
}

func (s *Server) start(w http.ResponseWriter, r *http.Request) {
	var l target.Lease
	if !body.Read(w, r, &l) {
		return
	}
	s.answer(w, func(k *Worker, now time.Time) error { return k.Start(l, now) })
}

func (s *Server) stop(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Lease       target.Lease `json:"lease"`
		Checkpoint  bool         `json:"checkpoint"`
		GraceMillis int64        `json:"graceMillis"`
	}
	if !body.Read(w, r, &in) {
		return
	}
	s.answer(w, func(k *Worker, now time.Time) error {
		return k.Stop(in.Lease, in.Checkpoint, millis(in.GraceMillis), now)
	})
}

func (s *Server) throttle(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Lease target.Lease `json:"lease"`
	}
	if !body.Read(w, r, &in) {
		return
	}
	s.answer(w, func(*Worker, time.Time) error { return nil })
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Leases     []target.Lease `json:"leases"`
		TTLMillis  int64          `json:"ttlMillis"`
		Since      int64          `json:"since"`
		WaitMillis int64          `json:"waitMillis"`
	}
	if !body.Read(w, r, &in) {
		return
	}
	until := time.After(millis(in.WaitMillis))
	for {
		var rep target.Report
		var changed chan struct{}
		s.with(func(k *Worker, now time.Time) {
			rep = k.Renew(in.Leases, millis(in.TTLMillis), in.Since, now)
		})
		s.mu.Lock()
		changed = s.changed
		s.mu.Unlock()
		if len(rep.Tasks) > 0 || len(rep.Lapsed) > 0 || in.WaitMillis == 0 {
			body.Reply(w, rep)
			return
		}
		// The leases were renewed above; while waiting only changes count.
		in.Leases = nil
		select {
		case <-changed:
		case <-until:
			in.WaitMillis = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) faults(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Leaving bool `json:"leaving"`
		Failing bool `json:"failing"`
	}
	if !body.Read(w, r, &in) {
		return
	}
	s.With(func(k *Worker) {
		k.SetLeaving(in.Leaving)
		k.SetFailing(in.Failing)
	})
	body.Reply(w, in)
}

func (s *Server) starts(w http.ResponseWriter, _ *http.Request) {
	var starts map[job.ID]int
	s.With(func(k *Worker) { starts = maps.Clone(k.starts) })
	body.Reply(w, starts)
}

func (s *Server) answer(w http.ResponseWriter, f func(k *Worker, now time.Time) error) {
	var err error
	s.with(func(k *Worker, now time.Time) { err = f(k, now) })
	switch {
	case err == nil:
		body.Reply(w, struct{}{})
	case errors.Is(err, target.ErrLapsed):
		http.Error(w, err.Error(), http.StatusGone)
	default:
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// Starts returns how often members of the job were started on the worker.
func (s *Server) Starts(id job.ID) int {
	n := 0
	s.With(func(w *Worker) { n = w.Starts(id) })
	return n
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
