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

// Limits of a page, as on the platform.
const (
	pageRows  = 500
	pageBytes = 1 << 20
)

// Table is the state of the store. It is safe for concurrent use.
type Table struct {
	mu               sync.Mutex
	rows             map[store.Key]store.Row
	version          int64
	changes          []store.Row   // since the last compaction, in order
	compactedThrough int64         // version up to which changes were dropped
	changed          chan struct{} // closed at each change
	latency          time.Duration // of each transaction and read
}

// New returns an empty table. Each transaction and each read takes the latency.
func New(latency time.Duration) *Table {
	return &Table{rows: map[store.Key]store.Row{}, changed: make(chan struct{}), latency: latency}
}

// Commit implements store.Store.
func (t *Table) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	if err := validate(tx); err != nil {
		return store.Result{}, fmt.Errorf("stand-in store: %w: %w", store.ErrRefused, err)
	}
	if err := sleep(ctx, t.latency); err != nil {
		return store.Result{}, fmt.Errorf("stand-in store: %w: %w", store.ErrOutcomeUnknown, err)
	}
	return t.commit(tx)
}

// validate returns an error for a transaction that the platform refuses.
func validate(tx store.Tx) error {
	n := len(tx.Expect) + len(tx.Put) + len(tx.Remove)
	if n > store.MaxEntries {
		return fmt.Errorf("%d entries", n)
	}
	bytes, partitions := 0, map[string]bool{}
	for _, e := range tx.Expect {
		partitions[e.Key.Partition] = true
	}
	for _, p := range tx.Put {
		partitions[p.Key.Partition] = true
		bytes += len(p.Value)
	}
	for _, k := range tx.Remove {
		partitions[k.Partition] = true
	}
	if bytes > store.MaxBytes || len(partitions) > 1 {
		return fmt.Errorf("%d bytes in %d partitions", bytes, len(partitions))
	}
	return nil
}

// commit applies a transaction, without latency or limits, and wakes all calls of
// Changes. On a conflict it changes nothing and returns the current rows.
func (t *Table) commit(tx store.Tx) (store.Result, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var current []store.Row
	conflict := false
	for _, e := range tx.Expect {
		r := t.rows[e.Key]
		if r.Version != 0 {
			current = append(current, r)
		}
		conflict = conflict || r.Version != e.Version
	}
	if conflict {
		return store.Result{Version: t.version, Rows: current, Now: now()}, fmt.Errorf("stand-in store: %w", store.ErrConflict)
	}
	t.version++
	for _, p := range tx.Put {
		r := store.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: t.version}
		t.rows[p.Key] = r
		t.changes = append(t.changes, r)
	}
	for _, k := range tx.Remove {
		if _, ok := t.rows[k]; ok {
			delete(t.rows, k)
			t.changes = append(t.changes, store.Row{Key: k, Version: t.version, Removed: true})
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return store.Result{Version: t.version, Now: now()}, nil
}

// Put writes a row on behalf of a writer outside the system, without latency or limits,
// and returns the new version.
func (t *Table) Put(k store.Key, value []byte) int64 {
	res, err := t.commit(store.Tx{Put: []store.Put{{Key: k, Value: value}}})
	if err != nil {
		return 0 // cannot happen without a condition
	}
	return res.Version
}

// Remove removes a row on behalf of a writer outside the system, without latency.
func (t *Table) Remove(k store.Key) {
	_, _ = t.commit(store.Tx{Remove: []store.Key{k}}) // cannot fail without a condition
}

// Get returns a row, with version 0 if it does not exist.
func (t *Table) Get(k store.Key) store.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[k]
}

// Read implements store.Store.
func (t *Table) Read(ctx context.Context, r store.Range) (store.Page, error) {
	if err := sleep(ctx, t.latency); err != nil {
		return store.Page{}, fmt.Errorf("stand-in store: %w: %w", store.ErrOutcomeUnknown, err)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	page := store.Page{Version: t.version, Now: now()}
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
	if err := sleep(ctx, t.latency); err != nil {
		return store.Page{}, fmt.Errorf("stand-in store: %w: %w", store.ErrOutcomeUnknown, err)
	}
	timeout := time.After(wait)
	for {
		page, changed, err := t.changesSince(table, after)
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

// changesSince returns the changes of a table after a version, and a channel that is
// closed at the store's next change. It fails if some of them may have been compacted.
func (t *Table) changesSince(table string, after int64) (store.Page, chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.compactedThrough {
		return store.Page{}, nil, fmt.Errorf("stand-in store: %w", store.ErrCompacted)
	}
	page := store.Page{Version: t.version, Now: now()}
	for _, r := range t.changes {
		if r.Version > after && r.Key.Table == table {
			page.Rows = append(page.Rows, r)
		}
	}
	return page, t.changed, nil
}

// Compact drops the history of changes. Changes then fails with store.ErrCompacted for
// every version before the current one.
func (t *Table) Compact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.compactedThrough, t.changes = t.version, nil
}

// now returns the store's clock, in milliseconds.
func now() int64 { return time.Now().UnixMilli() }

// sleep waits for the duration. It returns the context's error if the context ends
// first.
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
