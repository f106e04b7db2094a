package table

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform. They are wrapped with the step and the peer.
var (
	// ErrConflict says that the row's version was not the expected one; the
	// write did not take effect.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable says that the platform refused or was not reached before
	// anything was sent; the write did not take effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknown says that no answer came; the write may have taken effect.
	ErrUnknown = errors.New("outcome of the write not known")
)

// AnyVersion as the expected version of a write stands for whatever is there.
const AnyVersion int64 = -1

// Row is a row of the table. A row with version 0 is not there.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
}

// Write is one conditional write.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Expect int64  `json:"expect"`           // version the row must have; 0: it must not be there
	Delete bool   `json:"delete,omitempty"` // take the row out
}

// Result tells what became of one write of a group.
type Result struct {
	Row Row   // the row as it is after the write or, on a conflict, as it was found
	Err error // nil, or wraps ErrConflict
}

// Table is the platform's table. Every method gives the write's or read's
// error with the step and the peer.
type Table interface {
	// Get returns the row, with version 0 if it is not there.
	Get(ctx context.Context, key string) (Row, error)
	// List returns at most limit rows whose keys begin with prefix and come
	// after the key after, sorted by key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Apply makes a group of writes, each with a condition of its own, and
	// returns a result for each. An error of the call itself is for them all.
	Apply(ctx context.Context, writes []Write) ([]Result, error)
}

// Objects is the platform's object store.
type Objects interface {
	PutObject(ctx context.Context, key string, body []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// Target is a worker as the platform's lagging list shows it.
type Target struct {
	ID           string    `json:"id"`
	Address      string    `json:"address"` // IP:port
	Zone         string    `json:"zone"`
	Rack         string    `json:"rack"`
	Accelerators int       `json:"accelerators"`
	Cores        int       `json:"cores"`
	Memory       int       `json:"memory"` // MB
	Slots        int       `json:"slots"`
	Leaving      bool      `json:"leaving,omitempty"`
	AsOf         time.Time `json:"asOf"`
}

// Hosts is the platform's lagging list of live and leaving hosts.
type Hosts interface {
	Targets(ctx context.Context) ([]Target, error)
}

// Platform is all that the platform gives.
type Platform interface {
	Table
	Objects
	Hosts
}
