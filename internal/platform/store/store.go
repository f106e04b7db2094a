package store

import (
	"context"
	"errors"
	"time"
)

// Errors of the store. They are wrapped with the step and the peer.
var (
	// ErrConflict says that an expected version was another one; nothing was
	// written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable says that the store refused or was not reached before
	// anything was sent; nothing was written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrOutcomeUnknown says that no answer came; a write may have taken effect, and
	// may still take effect.
	ErrOutcomeUnknown = errors.New("outcome not known")
	// ErrCompacted says that the feed no longer has the changes asked for.
	ErrCompacted = errors.New("history not available")
)

// Bounds of one transaction.
const (
	MaxEntries = 100     // expected, put and removed rows together
	MaxBytes   = 1 << 20 // of the call
)

// Key names a row.
type Key struct {
	Table     string
	Partition string // may be empty
	Name      string
}

// Row is a row as it was read.
type Row struct {
	Key     Key
	Value   []byte
	Version int64 // 0: not there
	Removed bool  // in a feed: the change took the row out
}

// Expect is a condition of a transaction.
type Expect struct {
	Key     Key
	Version int64 // that the row must have; 0: it must not be there
}

// Put is a row to write.
type Put struct {
	Key   Key
	Value []byte
}

// Tx is a transaction. All keys are in one part.
type Tx struct {
	Expect []Expect
	Put    []Put
	Remove []Key
}

// Result is the answer to a transaction.
type Result struct {
	Version int64 // given to the written rows
	Rows    []Row // on a conflict: the expected rows that are there
}

// Range is what to read: names from From on and before To.
type Range struct {
	Table, Partition string
	From, To         string // empty: no bound
	Limit            int    // 0: as many as the store gives
}

// Page is an answer about rows.
type Page struct {
	Rows    []Row // by name for a range, in order of change for a feed
	More    bool  // of a range: more rows follow
	Version int64 // newest version of the store
}

// Store is the platform's table of rows.
type Store interface {
	// Commit makes the transaction. On ErrConflict the result has the rows as
	// they are.
	Commit(ctx context.Context, tx Tx) (Result, error)
	// Read returns a page of rows as of one moment.
	Read(ctx context.Context, r Range) (Page, error)
	// Changes returns what changed in a table after a version, waiting at most
	// so long for the first change. It returns ErrCompacted if that is no longer
	// known.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

// ReadAll reads a range to its end. The rows are as of the moments of its pages.
// The version is that of the first page, so a feed that goes on from it misses
// nothing.
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

// Get returns one row, with version 0 if it is not there.
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
