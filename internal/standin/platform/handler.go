package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/standin/body"
)

// Faults is what the stand-in does wrong.
type Faults struct {
	Down        bool  `json:"down"`        // refuses everything with 503
	SlowMillis  int64 `json:"slowMillis"`  // answers late
	LoseAnswers bool  `json:"loseAnswers"` // makes the write, then cuts the connection
}

// Server serves a Store over HTTP.
type Server struct {
	store  *Store
	mu     sync.Mutex
	faults Faults
}

// NewServer returns a server of the store without faults.
func NewServer(s *Store) *Server { return &Server{store: s} }

// SetFaults changes what the stand-in does wrong.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handler returns the HTTP surface.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/faults", s.putFaults).Methods(http.MethodPut)
	api := r.PathPrefix("/v1").Subrouter()
	api.Use(s.faulty)
	api.HandleFunc("/row", s.getRow).Methods(http.MethodGet)
	api.HandleFunc("/rows", s.listRows).Methods(http.MethodGet)
	api.HandleFunc("/writes", s.apply).Methods(http.MethodPost)
	api.HandleFunc("/object", s.putObject).Methods(http.MethodPut)
	api.HandleFunc("/object", s.getObject).Methods(http.MethodGet)
	api.HandleFunc("/targets", s.targets).Methods(http.MethodGet)
	api.HandleFunc("/targets", s.register).Methods(http.MethodPost)
	return r
}

func (s *Server) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if f.SlowMillis > 0 {
			time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
		}
		if f.LoseAnswers && r.Method != http.MethodGet {
			next.ServeHTTP(nowhere{}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// nowhere swallows an answer that is to be lost.
type nowhere struct{}

func (nowhere) Header() http.Header         { return http.Header{} }
func (nowhere) Write(b []byte) (int, error) { return len(b), nil }
func (nowhere) WriteHeader(int)             {}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !body.Read(w, r, &f) {
		return
	}
	s.SetFaults(f)
	body.Reply(w, f)
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	row, _ := s.store.Get(r.Context(), r.URL.Query().Get("key"))
	body.Reply(w, row)
}

func (s *Server) listRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit: "+err.Error(), http.StatusBadRequest)
		return
	}
	rows, _ := s.store.List(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	body.Reply(w, rows)
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	var writes []table.Write
	if !body.Read(w, r, &writes) {
		return
	}
	results, _ := s.store.Apply(r.Context(), writes)
	answers := make([]struct {
		Row      table.Row `json:"row"`
		Conflict bool      `json:"conflict,omitempty"`
	}, len(results))
	for i, res := range results {
		answers[i].Row = res.Row
		answers[i].Conflict = errors.Is(res.Err, table.ErrConflict)
	}
	body.Reply(w, answers)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	var in []byte
	if !body.Read(w, r, &in) {
		return
	}
	_ = s.store.PutObject(r.Context(), r.URL.Query().Get("key"), in)
	body.Reply(w, struct{}{})
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	object, err := s.store.GetObject(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	body.Reply(w, object)
}

func (s *Server) targets(w http.ResponseWriter, r *http.Request) {
	ts, _ := s.store.Targets(r.Context())
	list, err := json.Marshal(ts)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(list), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(list)
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var ts []table.Target
	if !body.Read(w, r, &ts) {
		return
	}
	s.store.Register(ts...)
	body.Reply(w, struct{}{})
}
