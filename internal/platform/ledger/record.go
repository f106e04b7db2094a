package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
)

const (
	claimPrefix = "claims/"
	jobPrefix   = "jobs/"
)

func claimKey(id job.ID) string { return claimPrefix + string(id) }

func jobKey(zone string, id job.ID) string { return jobPrefix + zone + "/" + string(id) }

// record is the row that decides about a job. The zero record is that of a job
// that nothing is written of.
type record struct {
	Attempt int          `json:"attempt"`           // newest attempt that may start; 0 for none
	By      string       `json:"by"`                // host that wrote the row last
	Nonce   string       `json:"nonce"`             // of that write; never empty in a row
	Several bool         `json:"several,omitempty"` // more than one host has claimed an attempt
	Refused bool         `json:"refused,omitempty"` // never set with an attempt above 0
	Content string       `json:"content,omitempty"` // digest of the request, if it was admitted
	Zone    string       `json:"zone,omitempty"`    // of the job's own row, if it was admitted
	Outcome *job.Outcome `json:"outcome,omitempty"` // without the body if Object is set
	Object  string       `json:"object,omitempty"`  // key of the answer's body
	Until   time.Time    `json:"until,omitzero"`    // removed after that; zero for never
	Swept   time.Time    `json:"swept,omitzero"`    // when its removal began
}

func parse(row table.Row) (record, error) {
	if row.Version == 0 {
		return record{}, nil
	}
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, fmt.Errorf("%w: %s: %w", ErrRow, row.Key, err)
	}
	return r, nil
}

func hasNonce(nonce string) func([]byte) bool {
	return func(value []byte) bool {
		var r struct {
			Nonce string `json:"nonce"`
		}
		return json.Unmarshal(value, &r) == nil && r.Nonce == nonce
	}
}

// decision is what a rule makes of the record that it is shown: the record to
// put in its place, or nil to leave it as it is.
type decision func(found record) (want *record, err error)

// update puts a job's record through a decision until its write takes effect or
// the decision leaves the record as it is. It returns the record that stands,
// and whether it was written by this call.
//
// The first look may show an older row; the write then fails on its condition
// and the decision is made again from the row in its way.
func (l *Ledger) update(ctx context.Context, id job.ID, nonce string, decide decision) (record, bool, error) {
	row, err := l.table.Get(ctx, claimKey(id))
	if err != nil {
		return record{}, false, fmt.Errorf("read the record: %w", err)
	}
	for range maxRounds {
		found, err := parse(row)
		if err != nil {
			return record{}, false, err
		}
		want, err := decide(found)
		if err != nil || want == nil {
			return found, false, err
		}
		want.By, want.Nonce = l.self, nonce
		value, err := json.Marshal(want)
		if err != nil {
			return found, false, err
		}
		w := table.Write{Key: claimKey(id), Value: value, Expect: row.Version}
		ok, now, err := l.write(ctx, w, hasNonce(nonce))
		if err != nil {
			return found, false, fmt.Errorf("write the record: %w", err)
		}
		if ok {
			return *want, true, nil
		}
		row = now
	}
	return record{}, false, fmt.Errorf("%w: %w", ErrContended, table.ErrUnavailable)
}
