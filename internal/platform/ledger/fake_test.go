package ledger

import (
	"bytes"
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"

	"guavaglade.example/guavaglade/internal/platform/table"
)

// fault is what befalls a call to the platform.
type fault int

const (
	none      fault = iota
	down            // refused, nothing sent
	lostAfter       // took effect, no answer
	lostOnWay       // did not take effect, no answer
	late            // no answer; takes effect when settle is called
	faults
)

// fakeTable is the platform's table in memory.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]table.Row
	history map[string][]table.Row // every state of a row, oldest first
	delayed []table.Write
	applies int
	written int

	fault  func() fault                     // of the next write; nil: none
	stale  func(n int) int                  // which of n states a read shows; nil: the newest
	before func(ctx context.Context, n int) // runs before each call, unlocked
	objs   map[string][]byte
}

func newFake() *fakeTable {
	return &fakeTable{rows: map[string]table.Row{}, history: map[string][]table.Row{}, objs: map[string][]byte{}}
}

func (f *fakeTable) enter(ctx context.Context, writes int) error {
	if f.before != nil {
		f.before(ctx, writes)
	}
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", table.ErrUnavailable, ctx.Err())
	}
	return nil
}

func (f *fakeTable) Get(ctx context.Context, key string) (table.Row, error) {
	if err := f.enter(ctx, 0); err != nil {
		return table.Row{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if states := f.history[key]; f.stale != nil && len(states) > 0 {
		return states[f.stale(len(states))], nil
	}
	return f.rows[key], nil
}

func (f *fakeTable) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := f.enter(ctx, 0); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []table.Row
	for key, r := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after && r.Version > 0 {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(len(rows), limit)], nil
}

func (f *fakeTable) Apply(ctx context.Context, writes []table.Write) ([]table.Result, error) {
	if err := f.enter(ctx, len(writes)); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applies++
	what := none
	if f.fault != nil {
		what = f.fault()
	}
	switch what {
	case down:
		return nil, fmt.Errorf("apply: %w", table.ErrUnavailable)
	case lostOnWay:
		return nil, fmt.Errorf("apply: %w", table.ErrUnknown)
	case late:
		f.delayed = append(f.delayed, writes...)
		return nil, fmt.Errorf("apply: %w", table.ErrUnknown)
	default:
	}
	results := make([]table.Result, 0, len(writes))
	for _, w := range writes {
		results = append(results, f.write(w))
	}
	if what == lostAfter {
		return nil, fmt.Errorf("apply: %w", table.ErrUnknown)
	}
	return results, nil
}

func (f *fakeTable) write(w table.Write) table.Result {
	f.written++
	row := f.rows[w.Key]
	if w.Expect != table.AnyVersion && w.Expect != row.Version {
		return table.Result{Row: row, Err: fmt.Errorf("%s: %w", w.Key, table.ErrConflict)}
	}
	row = table.Row{Key: w.Key, Value: bytes.Clone(w.Value), Version: row.Version + 1}
	if w.Delete {
		row = table.Row{}
	}
	f.rows[w.Key] = row
	f.history[w.Key] = append(f.history[w.Key], row)
	return table.Result{Row: row}
}

// settle lets the writes that were on their way arrive.
func (f *fakeTable) settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.delayed {
		f.write(w)
	}
	f.delayed = nil
}

func (f *fakeTable) PutObject(_ context.Context, key string, body []byte) error {
	f.objs[key] = bytes.Clone(body)
	return nil
}

func (f *fakeTable) GetObject(_ context.Context, key string) ([]byte, error) {
	return f.objs[key], nil
}
