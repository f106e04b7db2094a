package platform

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"

	"guavaglade.example/guavaglade/internal/platform/table"
)

// Store is a table.Platform in memory, safe for use by several goroutines.
type Store struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	objects map[string][]byte
	targets map[string]table.Target
	writes  int // conditional writes seen, for reports
}

var _ table.Platform = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[string]table.Row{}, objects: map[string][]byte{}, targets: map[string]table.Target{}}
}

// Get returns the row, with version 0 if it is not there.
func (s *Store) Get(_ context.Context, key string) (table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.rows[key]
	row.Key = key
	return row, nil
}

// List returns at most limit rows with the prefix after a key, sorted by key.
func (s *Store) List(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []table.Row{}
	for k, r := range s.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if limit > 0 && len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

// Apply makes each write whose condition holds.
func (s *Store) Apply(_ context.Context, writes []table.Write) ([]table.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	results := make([]table.Result, len(writes))
	for i, w := range writes {
		results[i] = s.apply(w)
	}
	return results, nil
}

func (s *Store) apply(w table.Write) table.Result {
	s.writes++
	old := s.rows[w.Key]
	old.Key = w.Key
	if w.Expect != table.AnyVersion && w.Expect != old.Version {
		return table.Result{Row: old, Err: fmt.Errorf("write %s: version %d: %w", w.Key, old.Version, table.ErrConflict)}
	}
	if w.Delete {
		delete(s.rows, w.Key)
		return table.Result{Row: table.Row{Key: w.Key}}
	}
	row := table.Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Version: old.Version + 1}
	s.rows[w.Key] = row
	return table.Result{Row: row}
}

// PutObject stores a body under a key.
func (s *Store) PutObject(_ context.Context, key string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = append([]byte(nil), body...)
	return nil
}

// GetObject returns the body under a key.
func (s *Store) GetObject(_ context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[key]
	if !ok {
		return nil, fmt.Errorf("get object %s: not there", key)
	}
	return body, nil
}

// Targets returns the list of workers, sorted by id.
func (s *Store) Targets(_ context.Context) ([]table.Target, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ts := []table.Target{}
	for _, t := range s.targets {
		ts = append(ts, t)
	}
	sort.Slice(ts, func(i, j int) bool { return ts[i].ID < ts[j].ID })
	return ts, nil
}

// Register puts workers on the list, or changes what it says of them.
func (s *Store) Register(ts ...table.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range ts {
		s.targets[t.ID] = t
	}
}

// Writes returns how many writes were asked for so far.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}
