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

// Limits and times of the store, as PROTOCOL.md and the settings give them.
const (
	txTime      = 8 * time.Millisecond
	readTime    = 4 * time.Millisecond
	maxRowBytes = 65536
	maxPageRows = 500
	maxPageSize = 1 << 20
	maxEntries  = 100
)

// wireRow is a row on the wire.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schemaVersion"`
	Dropped bool   `json:"tombstone,omitempty"`
}

type rowKey struct{ table, part, key string }

func (r wireRow) rowKey() rowKey { return rowKey{r.Table, r.Part, r.Key} }

// transaction is the body of a rows-tx call.
type transaction struct {
	Expect []wireRow `json:"expect"`
	Puts   []wireRow `json:"puts"`
	Remove []wireRow `json:"remove"`
}

// fate is what happens to a transaction.
type fate struct {
	lost bool          // it gets no answer
	late time.Duration // it is performed that much later, if its condition still holds
}

// store is the platform's metadata store: linearizable rows with conditional transactions and a feed.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]wireRow
	log     []wireRow // all changes, in order of their versions
	version int64
	changed chan struct{} // closed and replaced at each change
	began   time.Time
	address string
	server  *http.Server
	rec     *record
	// fateOf decides on the fate of a transaction of a host; nil: all are performed and answered.
	fateOf func(tx transaction) fate
}

func openStore(rec *record) (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rows: map[rowKey]wireRow{}, changed: make(chan struct{}), began: time.Now(), address: l.Addr().String(), rec: rec}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	mux.HandleFunc("GET /rows-parts", s.serveParts)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// setFate replaces the function that decides on the fate of transactions.
func (s *store) setFate(f func(tx transaction) fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fateOf = f
}

// apply performs a transaction if its conditions hold.
func (s *store) apply(tx transaction) (version int64, done bool, current []wireRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	for _, e := range tx.Expect {
		r, found := s.rows[e.rowKey()]
		if found {
			current = append(current, r)
		}
		if r.Version != e.Version {
			failed = true
		}
	}
	if failed {
		return s.version, false, current
	}
	s.version++
	for _, p := range tx.Puts {
		p.Version, p.Dropped = s.version, false
		s.rows[p.rowKey()] = p
		s.log = append(s.log, p)
	}
	for _, r := range tx.Remove {
		if _, found := s.rows[r.rowKey()]; found {
			delete(s.rows, r.rowKey())
			s.log = append(s.log, wireRow{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Dropped: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, true, nil
}

// put writes a row of the operator or a worker.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(transaction{Puts: []wireRow{{Table: table, Key: key, Value: b}}})
}

func (s *store) drop(table, key string) {
	s.apply(transaction{Remove: []wireRow{{Table: table, Key: key}}})
}

// get returns the value of a row, nil if there is none.
func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].Value
}

// find returns the row with a key in any part of a table.
func (s *store) find(table, key string) (wireRow, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, r := range s.rows {
		if k.table == table && k.key == key {
			return r, true
		}
	}
	return wireRow{}, false
}

func (s *store) answer(w http.ResponseWriter, status int, rows []wireRow, more bool, version int64) {
	if rows == nil {
		rows = []wireRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "morePages": more, "schemaVersion": version, "nowMs": time.Since(s.began).Milliseconds()})
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPageSize)).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(tx.Expect)+len(tx.Puts)+len(tx.Remove) > maxEntries {
		http.Error(w, "too many entries", http.StatusBadRequest)
		return
	}
	for _, p := range tx.Puts {
		if len(p.Value) > maxRowBytes {
			http.Error(w, "row too large", http.StatusRequestEntityTooLarge)
			return
		}
		if p.Table == "op" || p.Table == "servers" {
			http.Error(w, "not writable", http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	f := fate{}
	if s.fateOf != nil {
		f = s.fateOf(tx)
	}
	s.mu.Unlock()
	if f.lost {
		go func() {
			time.Sleep(max(f.late, txTime))
			_, done, _ := s.apply(tx)
			s.rec.line("store: write without an answer of %s performed: %t", describe(tx), done)
		}()
		<-r.Context().Done() // the connection delivers nothing further
		return
	}
	time.Sleep(txTime)
	version, ok, current := s.apply(tx)
	if !ok {
		s.answer(w, http.StatusPreconditionFailed, current, false, version)
		return
	}
	s.answer(w, http.StatusOK, nil, false, version)
}

// describe names the rows that a transaction writes.
func describe(tx transaction) string {
	text := ""
	for _, p := range tx.Puts {
		text += " " + p.Table + "/" + p.Key
	}
	return text
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(readTime)
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	var rows []wireRow
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("target") == "" || k.key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more, size := false, 0
	for i, row := range rows {
		size += len(row.Value)*4/3 + 200
		if i >= limit || i > 0 && size > maxPageSize {
			rows, more = rows[:i], true
			break
		}
	}
	s.answer(w, http.StatusOK, rows, more, version)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil || wait < 0 || wait > 30000 {
		http.Error(w, "bad query", http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(readTime)
	for {
		s.mu.Lock()
		var rows []wireRow
		from := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > after })
		for _, row := range s.log[from:] {
			if row.Table == q.Get("table") {
				rows = append(rows, row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found := map[string]bool{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("table") && k.part > r.URL.Query().Get("after") {
			found[k.part] = true
		}
	}
	version := s.version
	s.mu.Unlock()
	parts := []string{}
	for p := range found {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": parts, "morePages": false, "schemaVersion": version})
}
