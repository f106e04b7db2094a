package machine

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/platform/ledger"
	"guavaglade.example/guavaglade/internal/platform/table"
)

// platform is the platform's table on the virtual clock. The ledgers run whole
// within one call; down, slow and lost answers are drawn around it.
type platform struct {
	node
	w        *world
	rows     map[string]table.Row
	down     int // outages in force
	slow     int
	losing   int             // of 100 writes, answers lost after they took effect
	loseNow  bool            // the answer to the write under way gets lost
	versions []ledger.Config // every configuration that was current
}

var _ table.Table = (*platform)(nil)

func newPlatform(w *world) *platform {
	return &platform{node: node{"platform", "platform"}, w: w, rows: map[string]table.Row{}}
}

// Get returns a row.
func (p *platform) Get(_ context.Context, key string) (table.Row, error) {
	r := p.rows[key]
	r.Key = key
	return r, nil
}

// List returns rows by prefix.
func (p *platform) List(_ context.Context, prefix, after string, limit int) ([]table.Row, error) {
	var rows []table.Row
	for k, r := range p.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

// Apply makes conditional writes; the answer may get lost after them.
func (p *platform) Apply(_ context.Context, writes []table.Write) ([]table.Result, error) {
	results := make([]table.Result, 0, len(writes))
	for _, wr := range writes {
		row := p.rows[wr.Key]
		row.Key = wr.Key
		if wr.Expect != table.AnyVersion && wr.Expect != row.Version {
			results = append(results, table.Result{Row: row, Err: table.ErrConflict})
			continue
		}
		row = table.Row{Key: wr.Key, Value: wr.Value, Version: row.Version + 1}
		p.rows[wr.Key] = row
		if wr.Delete {
			delete(p.rows, wr.Key)
		}
		results = append(results, table.Result{Row: row})
	}
	if p.loseNow {
		return nil, fmt.Errorf("apply: %w", table.ErrUnknown)
	}
	return results, nil
}

// ask runs do against the table for a host. do gets an error if the platform
// cannot be reached, and runs on the host if it is alive then. Every question is
// answered once, since ledger and host are one process.
func (p *platform) ask(h *host, do func(err error) (reply func())) {
	fail := func() {
		reply := do(fmt.Errorf("ask: %w", table.ErrUnavailable))
		p.w.after(time.Second, h.guard(reply))
	}
	if !p.w.reachable(h.node, p.node) || p.down > 0 {
		fail()
		return
	}
	wait := p.w.delay()
	if p.slow > 0 {
		wait += time.Duration(p.w.rnd.Int64N(int64(3 * time.Second)))
	}
	p.w.after(wait, func() {
		if p.down > 0 {
			fail()
			return
		}
		p.loseNow = p.w.chance(p.losing)
		reply := do(nil)
		p.loseNow = false
		p.w.after(wait, h.guard(reply))
	})
}
