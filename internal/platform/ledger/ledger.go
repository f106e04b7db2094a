package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
)

// ErrBase says that a configuration was based on another version than the
// current one.
var ErrBase = errors.New("not based on the current version")

// Ledger reads and writes the rows of one host.
type Ledger struct {
	table table.Table
	self  string // address and incarnation of this host; unique in time
}

// New returns the ledger of a host.
func New(t table.Table, self string) *Ledger { return &Ledger{table: t, self: self} }

type claimRow struct {
	Attempt int    `json:"attempt"`
	By      string `json:"by"`
	Refused bool   `json:"refused,omitempty"`
}

// Claim tries to win the right to start the attempt. Won is true only if this
// host's write is the row. An error means that it is not known or did not
// happen; nothing may be started then.
func (l *Ledger) Claim(ctx context.Context, lease target.Lease) (won bool, err error) {
	return l.claim(ctx, lease.Job, claimRow{Attempt: lease.Attempt, By: l.self})
}

// Refuse tries to win the right to say that the job never ran and never will.
func (l *Ledger) Refuse(ctx context.Context, id job.ID) (won bool, err error) {
	return l.claim(ctx, id, claimRow{By: l.self, Refused: true})
}

func (l *Ledger) claim(ctx context.Context, id job.ID, want claimRow) (bool, error) {
	value, err := json.Marshal(want)
	if err != nil {
		return false, fmt.Errorf("claim %s: %w", id, err)
	}
	res, err := l.table.Apply(ctx, []table.Write{{Key: "claims/" + string(id), Value: value}})
	if err != nil {
		return false, fmt.Errorf("claim %s: %w", id, err)
	}
	if res[0].Err == nil {
		return true, nil
	}
	var found claimRow
	if err := json.Unmarshal(res[0].Row.Value, &found); err != nil {
		return false, fmt.Errorf("claim %s: read the row back: %w", id, err)
	}
	return found == want, nil
}

// Admit writes the row of a durable job.
func (l *Ledger) Admit(ctx context.Context, j job.Job) error {
	value, err := json.Marshal(j)
	if err != nil {
		return fmt.Errorf("admit %s: %w", j.ID(), err)
	}
	_, err = l.table.Apply(ctx, []table.Write{{Key: "jobs/" + j.Zone() + "/" + string(j.ID()), Value: value}})
	if err != nil {
		return fmt.Errorf("admit %s: %w", j.ID(), err)
	}
	return nil
}

// Record writes the outcome of a job and takes its job row out.
func (l *Ledger) Record(ctx context.Context, j job.Job, o job.Outcome) error {
	value, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("record %s: %w", o.Job, err)
	}
	writes := []table.Write{
		{Key: "outcomes/" + string(o.Job), Value: value},
		{Key: "jobs/" + j.Zone() + "/" + string(o.Job), Delete: true, Expect: table.AnyVersion},
	}
	if _, err := l.table.Apply(ctx, writes); err != nil {
		return fmt.Errorf("record %s: %w", o.Job, err)
	}
	return nil
}

// Outcome reads the outcome of a job; ok is false if none is written.
func (l *Ledger) Outcome(ctx context.Context, id job.ID) (o job.Outcome, ok bool, err error) {
	row, err := l.table.Get(ctx, "outcomes/"+string(id))
	if err != nil {
		return job.Outcome{}, false, fmt.Errorf("read outcome of %s: %w", id, err)
	}
	if row.Version == 0 {
		return job.Outcome{}, false, nil
	}
	if err := json.Unmarshal(row.Value, &o); err != nil {
		return job.Outcome{}, false, fmt.Errorf("read outcome of %s: %w", id, err)
	}
	return o, true, nil
}

// Unfinished returns the durable jobs of a zone that have no outcome.
func (l *Ledger) Unfinished(ctx context.Context, zone string) ([]job.Job, error) {
	rows, err := l.table.List(ctx, "jobs/"+zone+"/", "", 10000)
	if err != nil {
		return nil, fmt.Errorf("list unfinished jobs of %s: %w", zone, err)
	}
	jobs := make([]job.Job, 0, len(rows))
	for _, r := range rows {
		var j job.Job
		if err := json.Unmarshal(r.Value, &j); err != nil {
			return nil, fmt.Errorf("list unfinished jobs of %s: row %s: %w", zone, r.Key, err)
		}
		jobs = append(jobs, j)
	}
	return jobs, nil
}

// Config is a version of the configuration as it is stored.
type Config struct {
	Version int64  `json:"version"`
	Change  string `json:"change"` // the operator's change id
	Body    []byte `json:"body"`
}

// Current reads the version that is current; version 0 if there is none.
func (l *Ledger) Current(ctx context.Context) (Config, error) {
	row, err := l.table.Get(ctx, "config/current")
	if err != nil {
		return Config{}, fmt.Errorf("read current configuration: %w", err)
	}
	if row.Version == 0 {
		return Config{}, nil
	}
	var c Config
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return Config{}, fmt.Errorf("read current configuration: %w", err)
	}
	return c, nil
}

// Change makes the text current if base is the current version. It returns the
// configuration that is current afterwards; the error wraps ErrBase if another
// change came first. The same change id given again is no error.
func (l *Ledger) Change(ctx context.Context, base int64, change string, body []byte) (Config, error) {
	c := Config{Version: base + 1, Change: change, Body: body}
	value, err := json.Marshal(c)
	if err != nil {
		return Config{}, fmt.Errorf("change configuration: %w", err)
	}
	res, err := l.table.Apply(ctx, []table.Write{{Key: "config/current", Value: value, Expect: base}})
	if err != nil {
		return Config{}, fmt.Errorf("change configuration: %w", err)
	}
	if res[0].Err == nil {
		return c, nil
	}
	var found Config
	if res[0].Row.Version > 0 {
		if err := json.Unmarshal(res[0].Row.Value, &found); err != nil {
			return Config{}, fmt.Errorf("change configuration: %w", err)
		}
	}
	if found.Change == change {
		return found, nil
	}
	return found, fmt.Errorf("change configuration: base %s, current %s: %w",
		strconv.FormatInt(base, 10), strconv.FormatInt(found.Version, 10), ErrBase)
}
