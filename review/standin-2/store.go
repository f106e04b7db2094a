package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Latencies and limits of the store, as the platform's pages give them.
const (
	readTime   = 4 * time.Millisecond
	txTime     = 8 * time.Millisecond
	pageRows   = 500
	pageBytes  = 1 << 20
	maxEntries = 100
	maxValue   = 65536 // of a value in base64
)

type rowKey struct{ Table, Part, Key string }

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"schemaVersion"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) key() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// store is the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version int64
	changed chan struct{}
	started time.Time
	parts   sync.Map // part name to its *sync.Mutex: a part commits one transaction at a time
	// late reports whether the answer to a transaction with these puts is lost, and how much
	// later the transaction is performed; nil: none is.
	late      func(puts []row) (time.Duration, bool)
	writes    int // calls of /rows-tx
	lostCalls int // of which the answers were lost
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now()}
}

// serve listens on a free port of the address and returns IP:port.
func (s *store) serve(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return l.Addr().String(), nil
}

// put writes a row on behalf of the operator or a worker.
func (s *store) put(k rowKey, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: k.Table, Part: k.Part, Key: k.Key, Value: value}}, nil)
}

// remove drops a row on behalf of a worker.
func (s *store) remove(k rowKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[k]; ok {
		s.apply(nil, []row{{Table: k.Table, Part: k.Part, Key: k.Key}})
	}
}

// apply writes rows under one new version. The caller holds the lock.
func (s *store) apply(puts, removes []row) {
	s.version++
	for _, r := range puts {
		r.Version, r.Tombstone = s.version, false
		s.rows[r.key()] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		if _, ok := s.rows[r.key()]; !ok {
			continue
		}
		delete(s.rows, r.key())
		s.history = append(s.history, row{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Tombstone: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect, Puts, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Expect)+len(in.Puts)+len(in.Remove) > maxEntries {
		http.Error(w, "malformed or too large", http.StatusBadRequest)
		return
	}
	part := ""
	for _, list := range [][]row{in.Expect, in.Puts, in.Remove} {
		for _, x := range list {
			part = x.Part
		}
	}
	for _, p := range in.Puts {
		if p.Table == "op" || p.Table == "servers" {
			http.Error(w, "not writable", http.StatusForbidden)
			return
		}
		if (len(p.Value)+2)/3*4 > maxValue {
			http.Error(w, "row too large", http.StatusRequestEntityTooLarge)
			return
		}
	}
	s.mu.Lock()
	s.writes++
	if s.late != nil {
		if after, lost := s.late(in.Puts); lost {
			s.lostCalls++
			s.mu.Unlock()
			time.AfterFunc(after, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				if _, conflict := s.compare(in.Expect); !conflict {
					s.apply(in.Puts, in.Remove)
				}
			})
			<-r.Context().Done() // the connection delivers nothing further
			return
		}
	}
	s.mu.Unlock()
	m, _ := s.parts.LoadOrStore(part, &sync.Mutex{})
	m.(*sync.Mutex).Lock()
	defer m.(*sync.Mutex).Unlock()
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, conflict := s.compare(in.Expect); conflict {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.apply(in.Puts, in.Remove)
	s.answer(w, http.StatusOK, []row{}, false)
}

// compare returns the expected rows as they are now, and whether one differs. The caller holds
// the lock.
func (s *store) compare(expect []row) (current []row, conflict bool) {
	current = []row{}
	for _, e := range expect {
		now, ok := s.rows[e.key()]
		if ok {
			current = append(current, now)
		}
		conflict = conflict || now.Version != e.Version
	}
	return current, conflict
}

// answer writes a page. The caller holds the lock.
func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "morePages": more, "schemaVersion": s.version, "nowMs": time.Since(s.started).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	time.Sleep(readTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for k, x := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	size := 0
	for i, x := range found {
		if size += len(x.Value); i == limit || i > 0 && size > pageBytes {
			s.answer(w, http.StatusOK, found[:i], true)
			return
		}
	}
	s.answer(w, http.StatusOK, found, false)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	if err1 != nil || err2 != nil || wait < 0 || wait > 30000 {
		http.Error(w, "invalid after or waitMs", http.StatusBadRequest)
		return
	}
	time.Sleep(readTime)
	until := time.After(time.Duration(wait) * time.Millisecond)
	for over := wait == 0; ; {
		s.mu.Lock()
		found := []row{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		for _, x := range s.history[first:] {
			if x.Table == q.Get("table") {
				found = append(found, x)
			}
		}
		if over || len(found) > 0 {
			s.answer(w, http.StatusOK, found, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
