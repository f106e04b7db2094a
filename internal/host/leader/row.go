package leader

import (
	"encoding/json"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/platform/store"
)

// Figures of leadership.
const (
	// Renew is the time between two writes of the row. Two writes a second are
	// a small part of what the store takes.
	Renew = 500 * time.Millisecond
	// Lease is how long the row stands still before it may be taken over: two
	// renewals may be lost or late.
	Lease = 1300 * time.Millisecond
	// Grace is how long a leader that cannot write its row goes on giving
	// orders: most outages of the store are shorter.
	Grace = 10 * time.Second
	// Look is the time between two looks at the row by a host that does not
	// hear from the leader.
	Look = 300 * time.Millisecond
	// callTime bounds a call to the store about the row.
	callTime = 1500 * time.Millisecond
)

// RowKey is the key of the leader row.
var RowKey = store.Key{Table: "leader", Name: "leader"}

// Row is what the leader row says.
type Row struct {
	Term    int64  `json:"term"`
	Holder  string `json:"holder"`            // host name with incarnation; empty after a resignation
	Address string `json:"address,omitempty"` // where peers reach the holder
	Beat    int64  `json:"beat"`              // rises with each renewal
}

func (r Row) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		return nil // cannot happen: the type has no value that JSON cannot hold
	}
	return b
}

// DecodeRow reads the value of a leader row; no value is a row with term 0.
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

// over reports whether the row's holder cannot give orders any more: it
// resigned, or own is a later process at its address.
func (r Row) over(own Row) bool { return r.Holder == "" || r.Address == own.Address }
