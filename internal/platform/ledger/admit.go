package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
)

// pageSize is how many rows are listed at once.
const pageSize = 500

// contentOf returns the digest of what the caller asked for: the same for the
// same request on every host, whenever and wherever it is submitted again. What
// the configuration adds is left out, since it may change between two tries.
func contentOf(j job.Job) string {
	shape := j.Shape()
	if j.Kind() != "" {
		shape = cell.Shape{}
	}
	body, err := json.Marshal(struct {
		Account, Service, Kind, Request string
		Shape                           cell.Shape
		Input                           []byte
	}{j.Account(), j.Service(), j.Kind(), j.Request(), shape, j.Input()})
	if err != nil {
		return "" // strings and bytes always marshal
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16])
}

// OtherZoneError says that the same request was admitted in another zone, which
// will answer it.
type OtherZoneError struct{ Zone string }

// Error names the zone.
func (e *OtherZoneError) Error() string { return "job was admitted in zone " + e.Zone }

// Admit writes the record and the row of a durable job. It is idempotent: the
// same request again is no error. The error wraps ErrOtherRequest if the id
// stands for another request, ErrEnded if the job has an outcome, and is an
// *OtherZoneError if the job was admitted in another zone; then nothing was
// written.
//
// The record comes first: a host that dies between the two writes leaves a
// record that starts nothing, and the request tried again completes it.
func (l *Ledger) Admit(ctx context.Context, j job.Job) error {
	content := contentOf(j)
	_, _, err := l.update(ctx, j.ID(), l.nonce(), func(found record) (*record, error) {
		switch {
		case found.Content != "" && found.Content != content:
			return nil, ErrOtherRequest
		case found.Outcome != nil || found.Refused || !found.Swept.IsZero():
			return nil, ErrEnded
		case found.Zone != "" && found.Zone != j.Zone():
			return nil, &OtherZoneError{Zone: found.Zone}
		case found.Zone != "":
			return nil, nil
		}
		found.Content, found.Zone = content, j.Zone()
		found.Until = l.now().Add(ClaimKeep).UTC()
		return &found, nil
	})
	if err != nil {
		return fmt.Errorf("admit %s: %w", j.ID(), err)
	}
	if err := l.writeJob(ctx, j, content); err != nil {
		return fmt.Errorf("admit %s: %w", j.ID(), err)
	}
	return nil
}

func (l *Ledger) writeJob(ctx context.Context, j job.Job, content string) error {
	value, err := json.Marshal(j)
	if err != nil {
		return err
	}
	same := func(value []byte) bool {
		var found job.Job
		return json.Unmarshal(value, &found) == nil && contentOf(found) == content
	}
	ok, _, err := l.write(ctx, table.Write{Key: jobKey(j.Zone(), j.ID()), Value: value}, same)
	if err != nil {
		return fmt.Errorf("write the job: %w", err)
	}
	if !ok {
		return ErrOtherRequest
	}
	return nil
}

// removeJob takes a job's row out. It is done for good only if err is nil; a
// row that stays is removed by Sweep with its record.
func (l *Ledger) removeJob(ctx context.Context, zone string, id job.ID) error {
	w := table.Write{Key: jobKey(zone, id), Delete: true, Expect: table.AnyVersion}
	if _, err := l.table.Apply(ctx, []table.Write{w}); err != nil {
		return fmt.Errorf("remove the job's row: %w", err)
	}
	return nil
}

// Unfinished returns the durable jobs of a zone that have no outcome. Rows that
// cannot be read, such as a newer version's, are passed over and reported.
func (l *Ledger) Unfinished(ctx context.Context, zone string) ([]job.Job, error) {
	jobs, _, err := l.UnfinishedRows(ctx, zone)
	return jobs, err
}

// UnfinishedRows is Unfinished with the count of the rows passed over.
func (l *Ledger) UnfinishedRows(ctx context.Context, zone string) (jobs []job.Job, passed int, err error) {
	after := ""
	for {
		rows, err := l.table.List(ctx, jobPrefix+zone+"/", after, pageSize)
		if err != nil {
			return nil, passed, fmt.Errorf("list unfinished jobs of %s: %w", zone, err)
		}
		for _, r := range rows {
			after = r.Key
			var j job.Job
			if err := json.Unmarshal(r.Value, &j); err != nil {
				passed++
				l.report(r.Key, err)
				continue
			}
			jobs = append(jobs, j)
		}
		if len(rows) < pageSize {
			return jobs, passed, nil
		}
	}
}
