package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Errors of a Store. They are wrapped with the step and the peer.
var (
	// ErrConflict means that a row did not have its expected version; nothing was
	// written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable means that the store refused the call, or was not reached
	// before anything was sent; nothing was written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrRefused means that the store does not take the call as it is, such as a row that is too
	// large. It is an ErrUnavailable, but says that the store serves this host.
	ErrRefused = fmt.Errorf("call refused: %w", ErrUnavailable)
	// ErrOutcomeUnknown means that no answer came; a write may have taken effect,
	// or may still take effect later.
	ErrOutcomeUnknown = errors.New("outcome not known")
	// ErrCompacted means that the feed no longer holds the requested changes.
	ErrCompacted = errors.New("history not available")
)

// Limits of one transaction.
const (
	MaxEntries = 100     // expected, put and removed rows in total
	MaxBytes   = 1 << 20 // size of the call
)

// Key names a row.
type Key struct {
	Table     string
	Partition string // may be empty
	Name      string
}

// Row is a row of a range or a change of a feed.
type Row struct {
	Key     Key
	Value   []byte
	Version int64 // 0: the row does not exist
	Removed bool  // in a feed: the change removed the row
}

// Expect is a precondition of a transaction.
type Expect struct {
	Key     Key
	Version int64 // that the row must have; 0: it must not exist
}

// Put is a row to write.
type Put struct {
	Key   Key
	Value []byte
}

// Tx is a transaction. All keys are in one partition.
type Tx struct {
	Expect []Expect
	Put    []Put
	Remove []Key
}

// Result is the result of a transaction.
type Result struct {
	Version int64 // of the written rows
	Rows    []Row // on a conflict: the expected rows that exist
	Now     int64 // as of Page
}

// Range selects the rows of a partition whose names are in [From, To).
type Range struct {
	Table, Partition string
	From, To         string // empty: no bound
	Limit            int    // 0: up to the store's own limit
}

// Page is a page of rows or of changes.
type Page struct {
	Rows    []Row // of a range in order of names, of a feed in order of changes
	More    bool  // of a range: more rows follow
	Version int64 // current version of the store
	Now     int64 // the store's steady clock, in milliseconds; 0: not given
}

// Store is the platform's table store.
type Store interface {
	// Commit applies the transaction. On ErrConflict the result holds the expected rows
	// that exist, as they are now.
	Commit(ctx context.Context, tx Tx) (Result, error)
	// Read returns a page of rows, consistent as of one version.
	Read(ctx context.Context, r Range) (Page, error)
	// Changes returns the changes of a table, in all partitions, after a version. It
	// waits up to wait for the first one and returns an empty page if none came. It
	// returns ErrCompacted if the changes are no longer available.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// ReadAll reads all pages of a range, from the first, and returns their rows as one. Each
// page is consistent only in itself. The version is that of the first page, so a feed that
// continues from it misses nothing.
func ReadAll(ctx context.Context, s Store, r Range) (Page, error) {
	var all Page
	for first := true; ; first = false {
		page, err := s.Read(ctx, r)
		if err != nil {
			return Page{}, err
		}
		if first {
			all.Version = page.Version
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		r.From = page.Rows[len(page.Rows)-1].Key.Name + "\x00"
	}
}

// Get returns the row of a key, with version 0 and no value if it does not exist.
func Get(ctx context.Context, s Store, k Key) (Row, error) {
	page, err := s.Read(ctx, Range{Table: k.Table, Partition: k.Partition, From: k.Name, To: k.Name + "\x00", Limit: 1})
	if err != nil {
		return Row{}, err
	}
	if len(page.Rows) == 0 {
		return Row{Key: k}, nil
	}
	return page.Rows[0], nil
}
