package entry

import (
	"context"
	"sync"
	"time"

	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/work/cancellation"
)

// cancelledSet is a row of cancellations of jobs that are not stored, as it was at some time.
type cancelledSet struct {
	version int64 // 0: the row was not there yet
	set     cancellation.Set
}

// decodeCancelledSet returns the set of a row. A missing row is an empty set, and so is a malformed one,
// which another writer must have written.
func decodeCancelledSet(r store.Row) cancelledSet {
	set, _ := cancellation.Decode(r.Value)
	return cancelledSet{version: r.Version, set: set}
}

// cancelledSets holds the sets that the store has returned to this host. A set may be out of date; a
// transaction that expects its version then fails, and its conflict returns the row as it is.
type cancelledSets struct {
	mu   sync.Mutex
	sets map[store.Key]cancelledSet // at most dispatcher.Partitions times cancellation.Sets
}

func newCancelledSets() *cancelledSets {
	return &cancelledSets{sets: map[store.Key]cancelledSet{}}
}

// get returns the last known set of a row.
func (c *cancelledSets) get(k store.Key) cancelledSet {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sets[k]
}

// observe records a row as the store has returned it, and returns its set. A row that is older than the
// known one, from an answer that was overtaken, costs a conflict.
func (c *cancelledSets) observe(r store.Row) cancelledSet {
	observed := decodeCancelledSet(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sets[r.Key] = observed
	return observed
}

// observeAmong records the row of a key, which is missing if it is not among the rows that the store has
// returned, and returns its set.
func (c *cancelledSets) observeAmong(k store.Key, rows []store.Row) cancelledSet {
	for _, r := range rows {
		if r.Key == k {
			return c.observe(r)
		}
	}
	return c.observe(store.Row{Key: k})
}

// observePut records the set that a transaction of this host has put, if it has, with its version.
func (c *cancelledSets) observePut(tx store.Tx, version int64) {
	for _, p := range tx.Put {
		if dispatcher.IsCancelledSet(p.Key) {
			c.observe(store.Row{Key: p.Key, Value: p.Value, Version: version})
		}
	}
}

// readCancelledSet reads a row of cancellations, and the store's clock in milliseconds.
func (e *Entry) readCancelledSet(ctx context.Context, k store.Key) (cancelledSet, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	page, err := e.store.Read(ctx, store.Range{Table: k.Table, Partition: k.Partition, From: k.Name, To: k.Name + "\x00", Limit: 1})
	if err != nil {
		return cancelledSet{}, 0, err
	}
	return e.cancelled.observeAmong(k, page.Rows), clockOf(page), nil
}

// cancelledUntil returns the deadline of a cancellation that is stored at a time, both in milliseconds
// on the store's clock.
func (e *Entry) cancelledUntil(now int64) int64 { return now + e.retention.Milliseconds() }

// clockOf returns the store's clock, in milliseconds, or the time of day if the store gives none.
func clockOf(p store.Page) int64 {
	if p.Now == 0 {
		return time.Now().UnixMilli()
	}
	return p.Now
}
