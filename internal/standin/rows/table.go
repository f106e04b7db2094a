package rows

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/platform/store"
)

// Limits of the table, as the platform has them.
const (
	pageRows  = 500
	pageBytes = 1 << 20
)

// Table is the stand-in's state, safe for several goroutines.
type Table struct {
	mu      sync.Mutex
	rows    map[store.Key]store.Row
	version int64
	feed    []store.Row   // all changes since the history begins, in order
	oldest  int64         // changes up to it are no longer known
	changed chan struct{} // closed at each change
	cost    time.Duration // of a transaction
}

// New returns an empty table. Each transaction and reading takes cost.
func New(cost time.Duration) *Table {
	return &Table{rows: map[store.Key]store.Row{}, changed: make(chan struct{}), cost: cost}
}

// Commit implements store.Store.
func (t *Table) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	if err := check(tx); err != nil {
		return store.Result{}, fmt.Errorf("stand-in store: %w: %w", store.ErrUnavailable, err)
	}
	if err := sleep(ctx, t.cost); err != nil {
		return store.Result{}, fmt.Errorf("stand-in store: %w: %w", store.ErrOutcomeUnknown, err)
	}
	return t.commit(tx)
}

// check refuses what the platform refuses.
func check(tx store.Tx) error {
	n := len(tx.Expect) + len(tx.Put) + len(tx.Remove)
	if n > store.MaxEntries {
		return fmt.Errorf("%d entries", n)
	}
	bytes, parts := 0, map[string]bool{}
	for _, e := range tx.Expect {
		parts[e.Key.Partition] = true
	}
	for _, p := range tx.Put {
		parts[p.Key.Partition] = true
		bytes += len(p.Value)
	}
	for _, k := range tx.Remove {
		parts[k.Partition] = true
	}
	if bytes > store.MaxBytes || len(parts) > 1 {
		return fmt.Errorf("%d bytes in %d parts", bytes, len(parts))
	}
	return nil
}

func (t *Table) commit(tx store.Tx) (store.Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var there []store.Row
	conflict := false
	for _, e := range tx.Expect {
		r := t.rows[e.Key]
		if r.Version != 0 {
			there = append(there, r)
		}
		conflict = conflict || r.Version != e.Version
	}
	if conflict {
		return store.Result{Version: t.version, Rows: there}, fmt.Errorf("stand-in store: %w", store.ErrConflict)
	}
	t.version++
	for _, p := range tx.Put {
		r := store.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: t.version}
		t.rows[p.Key] = r
		t.feed = append(t.feed, r)
	}
	for _, k := range tx.Remove {
		if _, ok := t.rows[k]; ok {
			delete(t.rows, k)
			t.feed = append(t.feed, store.Row{Key: k, Version: t.version, Removed: true})
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return store.Result{Version: t.version}, nil
}

// Put writes a row as another writer than the system would.
func (t *Table) Put(k store.Key, value []byte) int64 {
	res, err := t.commit(store.Tx{Put: []store.Put{{Key: k, Value: value}}})
	if err != nil {
		return 0 // cannot happen: there is no condition
	}
	return res.Version
}

// Remove takes a row out as another writer than the system would.
func (t *Table) Remove(k store.Key) {
	_, _ = t.commit(store.Tx{Remove: []store.Key{k}}) // without a condition it cannot fail
}

// Get returns a row, with version 0 if it is not there.
func (t *Table) Get(k store.Key) store.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[k]
}

// Read implements store.Store.
func (t *Table) Read(ctx context.Context, r store.Range) (store.Page, error) {
	if err := sleep(ctx, t.cost); err != nil {
		return store.Page{}, fmt.Errorf("stand-in store: %w: %w", store.ErrOutcomeUnknown, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	page := store.Page{Version: t.version}
	for k, row := range t.rows {
		if k.Table == r.Table && k.Partition == r.Partition && k.Name >= r.From && (r.To == "" || k.Name < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b store.Row) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	limit, bytes := pageRows, 0
	if r.Limit > 0 {
		limit = min(limit, r.Limit)
	}
	for i, row := range page.Rows {
		bytes += len(row.Value)
		if i == limit || (bytes > pageBytes && i > 0) {
			page.Rows, page.More = page.Rows[:i], true
			break
		}
	}
	return page, nil
}

// Changes implements store.Store.
func (t *Table) Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Page, error) {
	if err := sleep(ctx, t.cost); err != nil {
		return store.Page{}, fmt.Errorf("stand-in store: %w: %w", store.ErrOutcomeUnknown, err)
	}
	timeout := time.After(wait)
	for {
		page, changed, err := t.since(table, after)
		if err != nil || len(page.Rows) > 0 || wait == 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return store.Page{}, fmt.Errorf("stand-in store: %w: %w", store.ErrOutcomeUnknown, ctx.Err())
		}
	}
}

func (t *Table) since(table string, after int64) (store.Page, chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.oldest {
		return store.Page{}, nil, fmt.Errorf("stand-in store: %w", store.ErrCompacted)
	}
	page := store.Page{Version: t.version}
	for _, r := range t.feed {
		if r.Version > after && r.Key.Table == table {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, t.changed, nil
}

// Forget drops the history.
func (t *Table) Forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.oldest, t.feed = t.version, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
