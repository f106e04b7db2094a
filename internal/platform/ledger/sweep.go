package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
)

// WriteLife is the time after which a write that was sent, and whose answer was
// lost, is taken not to take effect any more.
const WriteLife = time.Minute

// Swept is what one call of Sweep did.
type Swept struct {
	Looked  int  // records looked at
	Removed int  // records removed
	Passed  int  // rows that could not be read; they were reported
	Round   bool // the last record was reached; the next call begins anew
}

// Sweep removes the records of jobs that ended longer ago than they are kept,
// with what is left of their job rows, and the texts of old configurations. It
// looks at no more than limit records and goes on there at the next call. Any
// host may sweep, also several at once.
//
// A request id may be used again as soon as its record is gone, and the row
// then begins at version 1 like the removed one did. A removal that was decided
// on the old row must not hit the new one. So a sweeper first marks the record,
// which ends all other use of it, and then removes exactly the version that its
// own mark made. A mark that is left over is taken over after WriteLife, by a
// mark of its own, when no older removal can be on its way any more.
func (l *Ledger) Sweep(ctx context.Context, limit int) (Swept, error) {
	l.mu.Lock()
	after := l.sweptTo
	l.mu.Unlock()
	rows, err := l.table.List(ctx, claimPrefix, after, limit)
	if err != nil {
		return Swept{}, fmt.Errorf("sweep: %w", err)
	}
	var s Swept
	for _, row := range rows {
		s.Looked++
		removed, err := l.sweepRow(ctx, row)
		if err != nil {
			s.Passed++
			l.report(row.Key, err)
		}
		if removed {
			s.Removed++
		}
		after = row.Key
	}
	if s.Round = len(rows) < limit; s.Round {
		after = ""
		if err := l.sweepBodies(ctx, limit); err != nil {
			return s, fmt.Errorf("sweep: %w", err)
		}
	}
	l.mu.Lock()
	l.sweptTo = after
	l.mu.Unlock()
	return s, nil
}

func (l *Ledger) sweepRow(ctx context.Context, row table.Row) (bool, error) {
	r, err := parse(row)
	if err != nil {
		return false, err
	}
	now := l.now()
	id := job.ID(strings.TrimPrefix(row.Key, claimPrefix))
	if r.Until.IsZero() || now.Before(r.Until) || now.Sub(r.Swept) < WriteLife {
		return false, nil
	}
	if r.Zone != "" && r.Outcome == nil && !r.Refused {
		left, err := l.table.Get(ctx, jobKey(r.Zone, id))
		if err != nil || left.Version > 0 {
			return false, err // the job is not finished, however old it is
		}
	}
	r.Swept, r.By, r.Nonce = now.UTC(), l.self, l.nonce()
	value, err := json.Marshal(r)
	if err != nil {
		return false, err
	}
	res, err := l.table.Apply(ctx, []table.Write{{Key: row.Key, Value: value, Expect: row.Version}})
	if err != nil || res[0].Err != nil {
		return false, err // somebody else uses or removes it, or the next round will
	}
	if r.Zone != "" {
		if err := l.removeJob(ctx, r.Zone, id); err != nil {
			return false, err
		}
	}
	res, err = l.table.Apply(ctx, []table.Write{{Key: row.Key, Delete: true, Expect: res[0].Row.Version}})
	return err == nil && res[0].Err == nil, err
}

// sweepBodies removes texts of versions that are no longer kept.
func (l *Ledger) sweepBodies(ctx context.Context, limit int) error {
	c, err := l.current(ctx)
	if err != nil {
		return err
	}
	rows, err := l.table.List(ctx, bodyPrefix, "", limit)
	if err != nil {
		return err
	}
	oldest := fmt.Sprintf("%s%012d/", bodyPrefix, max(0, c.Version-KeepBodies+1))
	for _, row := range rows {
		if row.Key >= oldest {
			return nil
		}
		w := table.Write{Key: row.Key, Delete: true, Expect: row.Version}
		if _, err := l.table.Apply(ctx, []table.Write{w}); err != nil {
			return err
		}
	}
	return nil
}
