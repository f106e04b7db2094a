package ledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/proof/seeded"
	"guavaglade.example/guavaglade/internal/work/job"
)

// race is several hosts' ledgers over one table. Any call of one host may be
// interrupted, before it reaches the table, by calls of others.
type race struct {
	t       *rapid.T
	table   *fakeTable
	ledgers []*Ledger
	jobs    []job.Job
	depth   int

	won     map[target.Lease]map[int]bool // hosts that won
	refused map[job.ID]bool
	attempt map[job.ID]int // newest seen in the record; never falls
	ended   map[job.ID]job.Outcome
}

func newRace(t *rapid.T) *race {
	r := &race{
		t: t, table: newFake(), won: map[target.Lease]map[int]bool{}, refused: map[job.ID]bool{},
		attempt: map[job.ID]int{}, ended: map[job.ID]job.Outcome{},
	}
	nonces := 0
	nonce := func() string { nonces++; return fmt.Sprint("n", nonces) }
	for i := range 3 {
		l := New(r.table, fmt.Sprintf("host%d", i), WithNonces(nonce))
		l.sleep = func(context.Context, time.Duration) error {
			if rapid.IntRange(0, 3).Draw(t, "deadline?") == 0 {
				return context.DeadlineExceeded
			}
			return nil
		}
		r.ledgers = append(r.ledgers, l)
	}
	r.jobs = []job.Job{testJob("once"), testJob("again", job.Repeatable(true), job.Long(true))}
	faulty := rapid.IntRange(0, 60).Draw(t, "faulty%")
	r.table.fault = func() fault {
		if rapid.IntRange(0, 99).Draw(t, "fault?") >= faulty {
			return none
		}
		return fault(rapid.IntRange(1, int(faults)-1).Draw(t, "fault"))
	}
	r.table.stale = func(n int) int { return rapid.IntRange(max(0, n-3), n-1).Draw(t, "state read") }
	r.table.before = func(context.Context, int) {
		if r.depth < 3 && rapid.IntRange(0, 5).Draw(t, "interrupt?") == 0 {
			r.step()
		}
	}
	return r
}

// step lets one host do one thing.
func (r *race) step() {
	r.depth++
	defer func() { r.depth-- }()
	host := rapid.IntRange(0, len(r.ledgers)-1).Draw(r.t, "host")
	j := rapid.SampledFrom(r.jobs).Draw(r.t, "job")
	attempt := rapid.IntRange(1, 3).Draw(r.t, "attempt")
	ctx := context.Background()
	switch rapid.IntRange(0, 4).Draw(r.t, "what") {
	case 0, 1:
		r.claim(ctx, host, j, attempt)
	case 2:
		if ok, err := r.ledgers[host].Refuse(ctx, j.ID()); err == nil && ok {
			r.refused[j.ID()] = true
		}
	case 3:
		// Only who won an attempt reports on it.
		if r.won[target.Lease{Job: j.ID(), Attempt: attempt}][host] {
			r.record(ctx, host, j, job.Outcome{Job: j.ID(), Attempt: attempt, State: job.Succeeded})
		}
	case 4:
		// A host knows the attempts that it won and may have started itself, and
		// says nothing of the kind then (trace of -rapid.seed=1418772, where the
		// same host won attempt 1 and said it of attempt 2).
		if attempt--; !r.hasWon(host, j) {
			r.record(ctx, host, j, job.Outcome{Job: j.ID(), Attempt: attempt, State: job.NotRun})
		}
	}
	r.check()
}

func (r *race) hasWon(host int, j job.Job) bool {
	for lease, hosts := range r.won {
		if lease.Job == j.ID() && hosts[host] {
			return true
		}
	}
	return false
}

func (r *race) claim(ctx context.Context, host int, j job.Job, attempt int) {
	c, err := r.ledgers[host].ClaimJob(ctx, j, attempt)
	if err != nil || !c.Won {
		return
	}
	lease := target.Lease{Job: j.ID(), Attempt: attempt}
	if r.won[lease] == nil {
		r.won[lease] = map[int]bool{}
	}
	r.won[lease][host] = true
}

func (r *race) record(ctx context.Context, host int, j job.Job, o job.Outcome) {
	if err := r.ledgers[host].Record(ctx, j, o); err == nil && o.State == job.NotRun {
		r.refused[j.ID()] = true
	}
}

// check fails the test if a promise is broken.
func (r *race) check() {
	for _, j := range r.jobs {
		attempts := 0
		for lease, hosts := range r.won {
			if lease.Job != j.ID() {
				continue
			}
			attempts++
			if len(hosts) > 1 {
				r.t.Fatalf("%s was won by %d hosts", lease, len(hosts))
			}
		}
		if attempts > 1 && !j.Repeatable() {
			r.t.Fatalf("%s may not be repeated and %d attempts of it were won", j.ID(), attempts)
		}
		if attempts > 0 && r.refused[j.ID()] {
			r.t.Fatalf("%s was won and was said not to have run", j.ID())
		}
		r.checkRecord(j)
	}
}

func (r *race) checkRecord(j job.Job) {
	rec, err := parse(r.table.rows[claimKey(j.ID())])
	if err != nil {
		r.t.Fatal(err)
	}
	if rec.Attempt < r.attempt[j.ID()] {
		r.t.Fatalf("%s: attempt %d replaced %d", j.ID(), rec.Attempt, r.attempt[j.ID()])
	}
	r.attempt[j.ID()] = rec.Attempt
	before, had := r.ended[j.ID()]
	if had && (rec.Outcome == nil || rec.Outcome.State != before.State || rec.Outcome.Attempt != before.Attempt) {
		r.t.Fatalf("%s: outcome %+v replaced %+v", j.ID(), rec.Outcome, before)
	}
	if rec.Outcome != nil {
		r.ended[j.ID()] = *rec.Outcome
	}
}

// Three hosts claim, refuse and record the same jobs at once, while the platform
// is down, loses answers before and after the write, lets writes arrive late and
// shows old rows. A user would see a billed order run twice, be told "not run"
// of one that ran, or see an answer replaced by an older one.
//
// Seen failing, each guard alone removed: the tests of Refused, of Outcome and of
// rounds in claimable; "found.Attempt > 0" in Refuse; the comparison of attempts
// and the rule of notRun in outcomeFits; the condition of the write in update;
// mine in Ledger.write always true; the host's name in place of the nonce.
func TestAtMostOnce(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		r := newRace(t)
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			r.step()
			if rapid.IntRange(0, 3).Draw(t, "late writes arrive?") == 0 {
				r.table.settle()
				r.check()
			}
		}
		r.table.settle()
		r.check()
	})
}

// Operators and their automation race with changes while answers are lost and
// reads are old. A user would see a change that was accepted disappear, one that
// was refused come into force, or two texts under one number.
//
// Seen failing without Expect in the write of the current row, and with the base
// compared before the change id is looked for.
func TestChangesRace(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		r := newRace(t)
		r.table.before = nil
		accepted := map[string]int64{}
		for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
			change := fmt.Sprint("c", rapid.IntRange(0, i).Draw(t, "id"))
			base := int64(rapid.IntRange(0, i).Draw(t, "base"))
			l := r.ledgers[rapid.IntRange(0, 2).Draw(t, "host")]
			c, err := l.Change(context.Background(), base, change, []byte("text of "+change))
			if v, ok := accepted[change]; ok && err == nil && c.Version != v {
				t.Fatalf("change %s was accepted as %d and as %d", change, v, c.Version)
			}
			if err == nil {
				accepted[change] = c.Version
			}
			if i%4 == 0 {
				r.table.settle()
			}
		}
		r.table.settle()
		checkChanges(t, r.table, accepted)
	})
}

func checkChanges(t *rapid.T, f *fakeTable, accepted map[string]int64) {
	versions := map[int64]applied{}
	for i, row := range f.history[currentKey] {
		c, err := parseCurrent(row)
		if err != nil || c.Version != int64(i+1) || row.Version != c.Version {
			t.Fatalf("row %d is version %d, %v", i+1, c.Version, err)
		}
		versions[c.Version] = c.applied
		if got := digestOf(f.history[bodyKey(c.applied)][0].Value); got != c.Digest {
			t.Fatalf("version %d became current without its text", c.Version)
		}
	}
	for change, v := range accepted {
		if versions[v].Change != change {
			t.Fatalf("change %s was accepted as %d, which is %q", change, v, versions[v].Change)
		}
	}
}
