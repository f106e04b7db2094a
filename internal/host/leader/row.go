package leader

import (
	"encoding/json"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/platform/store"
)

// Intervals and timeouts of the election.
const (
	// RenewInterval is the time between two writes of the row by the leader. Two
	// writes a second are a small part of the store's capacity.
	RenewInterval = 500 * time.Millisecond
	// Lease is how long the row must be unchanged before it may be taken over. It
	// allows for two lost or late renewals.
	Lease = 1300 * time.Millisecond
	// Grace is how long a leader that cannot write its row keeps sending orders at most. Most
	// outages of the store are shorter.
	Grace = 10 * time.Second
	// minActing is how long a leader keeps sending orders without its row at least, however short
	// the leases on targets are. Most takeovers and short outages are over by then.
	minActing = 5 * time.Second
	// ReadInterval is the time between two reads of the row by a host whose calls to
	// the leader are not answered.
	ReadInterval = 300 * time.Millisecond
	// storeTimeout bounds a read or write of the row, and reading it back.
	storeTimeout = 1500 * time.Millisecond
	// minWriteTimeout and writeTimeoutFactor bound the write alone: a multiple of what calls to
	// the store take, with a minimum. A leader that waited longer for an answer that is lost
	// would be replaced before its next attempt.
	minWriteTimeout    = 400 * time.Millisecond
	writeTimeoutFactor = 8
)

// RowKey is the key of the leader row.
var RowKey = store.Key{Table: "leader", Name: "leader"}

// Row is the content of the leader row.
type Row struct {
	Term      int64  `json:"term"`
	Holder    string `json:"holder"`            // host name with incarnation; empty after a resignation
	Address   string `json:"address,omitempty"` // of the holder, for peers
	Heartbeat int64  `json:"beat"`              // incremented by each attempt to renew it
	// Leases is in milliseconds. No lease that the holder or an earlier leader grants lasts for longer
	// than that after the row was written, or after an answer of the holder has arrived at the host that
	// takes the row over. 0: not known, the row is of an earlier version.
	Leases int64 `json:"leases,omitempty"`
	// Limited is set if neither the holder nor an earlier leader that may still act grants a lease
	// beyond Grace after the row was written.
	Limited bool `json:"limited,omitempty"`
}

func (r Row) leases() time.Duration { return time.Duration(r.Leases) * time.Millisecond }

func (r Row) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		return nil // unreachable: every value of the type can be encoded as JSON
	}
	return b
}

// DecodeRow decodes the value of a leader row. An empty value yields a row with
// term 0.
func DecodeRow(value []byte) (Row, error) {
	if len(value) == 0 {
		return Row{}, nil
	}
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, fmt.Errorf("decode leader row: %w", err)
	}
	return r, nil
}

// vacant reports whether the row's holder can no longer send orders: it resigned, or
// own is a later process at its address.
func (r Row) vacant(own Row) bool { return r.Holder == "" || r.Address == own.Address }
