package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Times of a removal.
const (
	// WriteLife is the time after which a write that was decided upon, and whose
	// answer was lost, is taken not to take effect any more. The clocks of hosts
	// are taken to differ by less.
	WriteLife = time.Minute
	// decisionLife is how long after a row was listed it is still written to.
	decisionLife = WriteLife / 3
	// removeUntil is the age of a mark up to which its maker removes the record.
	removeUntil = 3 * WriteLife / 2
	// takeOver is the age of a mark from which another one may replace it.
	takeOver = 3 * WriteLife
)

// mark is a record that this host has marked to be removed.
type mark struct {
	row  table.Row // as the mark left it
	id   job.ID
	zone string    // of the job's own row, empty for none
	at   time.Time // when it was marked
}

// Swept is what one call of Sweep did.
type Swept struct {
	Looked  int  // records looked at
	Removed int  // records removed
	Passed  int  // rows that could not be read; they were reported
	Round   bool // the last record was reached; the next call begins anew
}

// Sweep removes the records of jobs that ended longer ago than they are kept,
// with what is left of their job rows, and the texts of old configurations. It
// looks at no more than limit records and goes on there at the next call, which
// is to come within half of WriteLife. Any host may sweep, also several at once.
//
// A request id may be used again as soon as its record is gone, and the new row
// then begins at version 1 like the removed one did. A write that was decided on
// the old row, by a sweeper that was paused, must not hit the new one. So a
// sweeper first marks the record, which ends all other use of it. It removes
// exactly the version that its own mark made, once, and not before WriteLife has
// passed, when whatever others decided on the unmarked record is void. A mark
// that is left over is replaced by another one when its maker can remove it no
// more. Seen without the wait: a second sweeper's mark on a new record.
func (l *Ledger) Sweep(ctx context.Context, limit int) (Swept, error) {
	l.sweeping.Lock()
	defer l.sweeping.Unlock()
	s := Swept{Removed: l.removeMarked(ctx)}
	listed := l.now()
	rows, err := l.table.List(ctx, claimPrefix, l.sweptTo, limit)
	if err != nil {
		return s, fmt.Errorf("sweep: %w", err)
	}
	for _, row := range rows {
		if l.now().Sub(listed) >= decisionLife {
			return s, nil // this host was paused, or the platform is slow
		}
		s.Looked++
		if err := l.markRow(ctx, row); err != nil {
			s.Passed++
			l.report(row.Key, err)
		}
		l.sweptTo = row.Key
	}
	if s.Round = len(rows) < limit; s.Round {
		l.sweptTo = ""
		if err := l.sweepBodies(ctx, limit); err != nil {
			return s, fmt.Errorf("sweep: %w", err)
		}
	}
	return s, nil
}

// markRow marks a record if it is to be removed.
func (l *Ledger) markRow(ctx context.Context, row table.Row) error {
	r, err := parse(row)
	if err != nil {
		return err
	}
	now := l.now()
	marked := !r.Swept.IsZero() && now.Sub(r.Swept) < takeOver
	if r.Until.IsZero() || now.Before(r.Until) || marked {
		return nil
	}
	id := job.ID(strings.TrimPrefix(row.Key, claimPrefix))
	if r.Zone != "" && r.Outcome == nil && !r.Refused {
		left, err := l.table.Get(ctx, jobKey(r.Zone, id))
		if err != nil || left.Version > 0 {
			return err // the job is not finished, however old it is
		}
	}
	r.Swept, r.By, r.Nonce = now.UTC(), l.self, l.nonce()
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	res, err := l.table.Apply(ctx, []table.Write{{Key: row.Key, Value: value, Expect: row.Version}})
	if err != nil || errors.Is(res[0].Err, table.ErrConflict) {
		return err // another host was faster
	}
	l.marks = append(l.marks, mark{row: res[0].Row, id: id, zone: r.Zone, at: now})
	return res[0].Err
}

// removeMarked removes the records that this host has marked for long enough,
// and returns how many. Each is tried once: after a failure the mark is left
// over.
func (l *Ledger) removeMarked(ctx context.Context) int {
	removed := 0
	var rest []mark
	for _, m := range l.marks {
		age := l.now().Sub(m.at)
		if age < WriteLife {
			rest = append(rest, m)
			continue
		}
		if age < removeUntil && l.removeRecord(ctx, m) {
			removed++
		}
	}
	l.marks = rest
	return removed
}

// removeRecord removes the job's own row first: while the record is marked no
// new one can be written.
func (l *Ledger) removeRecord(ctx context.Context, m mark) bool {
	if m.zone != "" && l.removeJob(ctx, m.zone, m.id) != nil {
		return false
	}
	res, err := l.table.Apply(ctx, []table.Write{{Key: m.row.Key, Delete: true, Expect: m.row.Version}})
	return err == nil && res[0].Err == nil
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
