package ledger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
)

func testJob(request string, opts ...job.Option) job.Job {
	shape, err := cell.NewShape(1, 1, 1, 1024, "")
	if err != nil {
		panic(err)
	}
	opts = append([]job.Option{
		job.WithKind("plan"), job.WithRequest(request), job.SubmittedAt(time.Unix(0, 0), "10.0.0.1:7000", "a"), job.WithInput([]byte("input")),
	}, opts...)
	j, err := job.New(job.NewID("salon", request), "salon", "refill", shape, opts...)
	if err != nil {
		panic(err)
	}
	return j
}

func succeeded(j job.Job, attempt int, answer string) job.Outcome {
	return job.Outcome{Job: j.ID(), Attempt: attempt, State: job.Succeeded, Answer: job.NewAnswer([]byte(answer))}
}

// failing returns faults one after the other, then none.
func failing(fs ...fault) func() fault {
	return func() fault {
		if len(fs) == 0 {
			return none
		}
		f := fs[0]
		fs = fs[1:]
		return f
	}
}

// The platform takes a claim, loses the answer and goes down. The host must neither
// start the job nor call it not run before it knows, must say so before its
// caller's deadline and not later, and must know its own claim afterwards.
func TestClaimNotKnownThenSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, j := newFake(), testJob("r")
		l, lease := New(f, "host1"), target.Lease{Job: j.ID(), Attempt: 1}
		f.fault = failing(lostAfter, down, down, down, down, down, down, down, down, down)
		f.stale = func(int) int { return 0 }
		f.history[claimKey(j.ID())] = []table.Row{{}} // reads lag behind the claim
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		won, err := l.Claim(ctx, lease)
		is.True(errors.Is(err, table.ErrUnknown))
		is.True(!won)
		is.NoErr(ctx.Err()) // said before the deadline
		f.fault, f.stale = nil, nil
		won, err = l.Claim(t.Context(), lease)
		is.NoErr(err)
		is.True(won)
		won, err = New(f, "host1").Claim(t.Context(), lease) // another process that calls itself the same
		is.NoErr(err)
		is.True(!won)
	})
}

// A claim's first write is lost on its way, the second one takes effect, and
// then the first one arrives.
func TestLateWriteChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, j := newFake(), testJob("r")
		l := New(f, "host1")
		f.fault = failing(late)
		won, err := l.Claim(t.Context(), target.Lease{Job: j.ID(), Attempt: 1})
		is.NoErr(err)
		is.True(won)
		is.NoErr(l.Record(t.Context(), j, succeeded(j, 1, "answer")))
		f.settle()
		o, ok, err := l.Outcome(t.Context(), j.ID())
		is.NoErr(err)
		is.True(ok)
		is.Equal(string(o.Answer.Body()), "answer")
	})
}

// A placer was paused while a second one ran the next attempt. Its report comes
// late, doubled, and crossed with the newer one's.
func TestOutcomesAreFenced(t *testing.T) {
	is := is.New(t)
	f, j := newFake(), testJob("r", job.Repeatable(true), job.Long(true))
	one, two := New(f, "host1"), New(f, "host2")
	is.NoErr(one.Admit(t.Context(), j))
	for i, l := range []*Ledger{one, two} {
		c, err := l.ClaimJob(t.Context(), j, i+1)
		is.NoErr(err)
		is.True(c.Won)
	}
	c, err := one.ClaimJob(t.Context(), j, 2) // both want the next attempt
	is.NoErr(err)
	is.True(!c.Won)
	is.Equal(c.Attempt, 2)
	failed := job.Outcome{Job: j.ID(), Attempt: 1, State: job.Failed}
	is.True(errors.Is(one.Record(t.Context(), j, failed), ErrFenced))
	is.NoErr(two.Record(t.Context(), j, succeeded(j, 2, "right")))
	is.True(errors.Is(one.Record(t.Context(), j, failed), ErrFenced))
	is.NoErr(two.Record(t.Context(), j, succeeded(j, 2, "right"))) // doubled
	is.True(errors.Is(two.Record(t.Context(), j, succeeded(j, 2, "other")), ErrFenced))
	c, err = one.ClaimJob(t.Context(), j, 3)
	is.NoErr(err)
	is.True(!c.Won && c.Ended)
	left, err := one.Unfinished(t.Context(), "a")
	is.NoErr(err)
	is.Equal(len(left), 0)
}

// Two placers that do not know of each other try the same round, with numbers
// that differ. Only one of them may start it.
//
// Seen failing with the attempts compared instead of their rounds.
func TestOneClaimOfARound(t *testing.T) {
	is := is.New(t)
	f, j := newFake(), testJob("r", job.Repeatable(true), job.Long(true))
	rounds := WithRounds(func(attempt int) int { return attempt / 100 })
	for _, attempt := range []int{101, 102, 201, 103} {
		c, err := New(f, fmt.Sprint("host", attempt), rounds).ClaimJob(t.Context(), j, attempt)
		is.NoErr(err)
		is.Equal(c.Won, attempt%100 == 1) // the first of each round
	}
}

// A caller sends its request again, through another host and zone, and another
// caller's request by mistake under the same id.
func TestAdmitIsIdempotent(t *testing.T) {
	is := is.New(t)
	f, j := newFake(), testJob("r", job.Long(true))
	l := New(f, "host1")
	is.NoErr(l.Admit(t.Context(), j))
	again := testJob("r", job.Long(true), job.SubmittedAt(time.Unix(9, 0), "10.0.0.2:7000", "a"), job.Urgent(true))
	is.NoErr(New(f, "host2").Admit(t.Context(), again))
	err := l.Admit(t.Context(), testJob("r", job.WithInput([]byte("another"))))
	is.True(errors.Is(err, ErrOtherRequest))
	_, err = l.ClaimJob(t.Context(), testJob("r", job.WithInput([]byte("another"))), 1)
	is.True(errors.Is(err, ErrOtherRequest))
	var elsewhere *OtherZoneError
	err = l.Admit(t.Context(), testJob("r", job.SubmittedAt(time.Unix(9, 0), "10.0.0.3:7000", "b")))
	is.True(errors.As(err, &elsewhere))
	is.Equal(elsewhere.Zone, "a")
	other := testJob("r", job.WithInput([]byte("another")))
	is.True(errors.Is(l.Record(t.Context(), other, succeeded(other, 1, "x")), ErrFenced)) // crossed
	is.NoErr(l.Record(t.Context(), j, succeeded(j, 1, "x")))
	is.True(errors.Is(l.Admit(t.Context(), j), ErrEnded))
	is.True(errors.Is(l.Admit(t.Context(), other), ErrOtherRequest))
}

// A claim is not known. The host gives it up and records that the job did not
// run; then the claim is asked for once more, and an old row that is read shows
// it as won. It must not be. Found by TestAtMostOnce with -rapid.seed=20261322.
//
// Seen failing without the call of giveUp.
func TestGivenUpClaimIsNotWon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, j := newFake(), testJob("r")
		l, lease := New(f, "host1"), target.Lease{Job: j.ID(), Attempt: 2}
		f.fault = failing(lostAfter, down, down, down, down)
		f.stale = func(int) int { return 0 }
		f.history[claimKey(j.ID())] = []table.Row{{}}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := l.Claim(ctx, lease)
		is.True(errors.Is(err, table.ErrUnknown))
		f.fault, f.stale = nil, nil
		is.NoErr(l.Record(t.Context(), j, job.Outcome{Job: j.ID(), Attempt: 2, State: job.NotRun}))
		f.stale = func(int) int { return 1 } // the claim's row
		won, err := l.Claim(t.Context(), lease)
		is.NoErr(err)
		is.True(!won)
	})
}

// A placer asks for a claim while an outcome "not run" of the same host is on its
// way to the platform.
//
// Seen failing without givingUp.
func TestNoClaimWhileNotRunIsRecorded(t *testing.T) {
	is := is.New(t)
	f, j := newFake(), testJob("r")
	l, won := New(f, "host1"), false
	f.before = func(ctx context.Context, writes int) {
		if writes > 0 {
			f.before = nil
			var err error
			won, err = l.Claim(ctx, target.Lease{Job: j.ID(), Attempt: 1})
			is.NoErr(err)
		}
	}
	is.NoErr(l.Record(t.Context(), j, job.Outcome{Job: j.ID(), Attempt: 1, State: job.NotRun}))
	is.True(!won)
}

// A host claims the first attempt of a repeatable job and may have started it. A
// second one takes the next attempt, starts nothing and says that the job did
// not run. Found while TestAtMostOnce's trace of -rapid.seed=1418772 was read.
//
// Seen failing without Several.
func TestNotRunNeedsAllAttempts(t *testing.T) {
	is := is.New(t)
	f, j := newFake(), testJob("r", job.Repeatable(true), job.Long(true))
	one, two := New(f, "host1"), New(f, "host2")
	for i, l := range []*Ledger{one, two} {
		c, err := l.ClaimJob(t.Context(), j, i+1)
		is.NoErr(err)
		is.True(c.Won)
	}
	notRun := job.Outcome{Job: j.ID(), Attempt: 2, State: job.NotRun}
	is.True(errors.Is(two.Record(t.Context(), j, notRun), ErrFenced))
	is.NoErr(two.Record(t.Context(), j, job.Outcome{Job: j.ID(), Attempt: 2, State: job.Lost}))
}

// A job was said not to have run, and then a report comes that it ran.
func TestRefusalStands(t *testing.T) {
	is := is.New(t)
	l, j := New(newFake(), "host1"), testJob("r")
	ok, err := l.Refuse(t.Context(), j.ID())
	is.NoErr(err)
	is.True(ok)
	is.True(errors.Is(l.Record(t.Context(), j, succeeded(j, 1, "x")), ErrFenced))
	ok, err = New(l.table, "host2").Refuse(t.Context(), j.ID()) // true for every host
	is.NoErr(err)
	is.True(ok)
}

// A zone has more unfinished jobs than a page holds, and one row that this
// version cannot read. An adopter must get all the others.
func TestUnfinishedPassesOverBadRows(t *testing.T) {
	is := is.New(t)
	f := newFake()
	var reported []string
	l := New(f, "host1", WithReport(func(key string, _ error) { reported = append(reported, key) }))
	for i := range pageSize + 20 {
		is.NoErr(l.Admit(t.Context(), testJob(fmt.Sprintf("r%04d", i), job.Long(true))))
	}
	f.write(table.Write{Key: "jobs/a/bad", Value: []byte("{")})
	jobs, passed, err := l.UnfinishedRows(t.Context(), "a")
	is.NoErr(err)
	is.Equal(len(jobs), pageSize+20)
	is.Equal(passed, 1)
	is.Equal(reported, []string{"jobs/a/bad"})
}

// A large answer comes back damaged from the object store. It must not be
// passed on as the answer.
func TestLargeAnswers(t *testing.T) {
	is := is.New(t)
	f, j := newFake(), testJob("r")
	l := New(f, "host1", WithObjects(f))
	large := string(bytes.Repeat([]byte("x"), LargeAnswer+1))
	is.NoErr(l.Record(t.Context(), j, succeeded(j, 1, large)))
	is.True(len(f.rows[claimKey(j.ID())].Value) < 2000)
	o, ok, err := l.Outcome(t.Context(), j.ID())
	is.NoErr(err)
	is.True(ok && o.Answer.Whole())
	is.Equal(string(o.Answer.Body()), large)
	for key, body := range f.objs {
		f.objs[key] = body[:len(body)-1]
	}
	_, _, err = l.Outcome(t.Context(), j.ID())
	is.True(errors.Is(err, ErrDigest))
}

// Records of ended jobs go after their time, unfinished jobs never. A second
// sweeper that was paused after it listed the old records must not hit the one
// of a request that uses the id again, although its version is the same.
//
// Seen failing without the test of decisionLife in Sweep, and, when records were
// removed as soon as they were marked, with the first version of Sweep.
func TestSweep(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	clock := WithClock(func() time.Time { return now })
	f, first, old, open := newFake(), testJob("first"), testJob("old", job.Long(true)), testJob("open", job.Long(true))
	l, slow := New(f, "host1", clock), New(f, "host2", clock)
	is.NoErr(l.Admit(t.Context(), open))
	is.NoErr(l.Record(t.Context(), first, succeeded(first, 1, "x")))
	is.NoErr(l.Record(t.Context(), old, succeeded(old, 1, "x")))
	sweep := func(l *Ledger) int {
		s, err := l.Sweep(t.Context(), 10)
		is.NoErr(err)
		return s.Removed
	}
	now = now.Add(Keep - time.Second)
	is.Equal(sweep(l)+sweep(l), 0)
	is.Equal(len(l.marks), 0)
	now = now.Add(ClaimKeep)
	f.before = func(_ context.Context, writes int) {
		if writes == 0 {
			return // the slow sweeper has listed the records and writes to the first
		}
		f.before = nil
		is.Equal(sweep(l), 0) // marks
		now = now.Add(WriteLife)
		is.Equal(sweep(l), 2)
		is.NoErr(l.Admit(t.Context(), old)) // the id is used again
	}
	is.Equal(sweep(slow), 0)
	is.Equal(len(slow.marks), 0)
	now = now.Add(WriteLife)
	is.Equal(sweep(slow), 0)
	jobs, err := l.Unfinished(t.Context(), "a")
	is.NoErr(err)
	is.Equal(len(jobs), 2)
	is.Equal(f.rows[claimKey(old.ID())].Version, int64(1))
}

// An operator's change became current, its answer was lost, and another change
// came after it. Asked again, with the same id, it must count as accepted; with
// another text it must be refused.
func TestChangeSettledByItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake()
		l := New(f, "host1")
		lost := 0
		f.fault = func() fault { // from the write of the current row on
			if lost++; lost == 1 {
				return none
			}
			return lostAfter
		}
		f.stale = func(int) int { return 0 }
		f.history[currentKey] = []table.Row{{}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := l.Change(ctx, 0, "first", []byte("one"))
		is.True(errors.Is(err, table.ErrUnknown))
		f.fault, f.stale = nil, nil
		_, err = l.Change(t.Context(), 1, "second", []byte("two"))
		is.NoErr(err)
		c, err := l.Change(t.Context(), 0, "first", []byte("one"))
		is.NoErr(err)
		is.Equal(c.Version, int64(1))
		v, ok, err := l.Changed(t.Context(), "first")
		is.NoErr(err)
		is.True(ok && v == 1)
		_, err = l.Change(t.Context(), 0, "first", []byte("uno"))
		is.True(errors.Is(err, ErrOtherChange))
		c, err = l.Change(t.Context(), 1, "third", []byte("three"))
		is.True(errors.Is(err, ErrBase))
		is.Equal(string(c.Body), "two")
		c, err = l.Current(t.Context())
		is.NoErr(err)
		is.Equal(c, Config{Version: 2, Change: "second", Body: []byte("two")})
	})
}

// Automation changes the text many times an hour: the newest texts stay, older
// ones go, and so does the text of a change that lost its race.
func TestOldTextsGo(t *testing.T) {
	is := is.New(t)
	f := newFake()
	l := New(f, "host1")
	is.NoErr(l.writeBody(t.Context(), applied{Version: 1, Change: "lost", Digest: digestOf([]byte("x"))}, []byte("x")))
	for i := range int64(20) {
		_, err := l.Change(t.Context(), i, fmt.Sprint("c", i), fmt.Append(nil, "text ", i))
		is.NoErr(err)
	}
	_, err := l.Sweep(t.Context(), 10)
	is.NoErr(err)
	texts, err := f.List(t.Context(), bodyPrefix, "", 100)
	is.NoErr(err)
	is.Equal(len(texts), KeepBodies)
	c, err := l.Current(t.Context())
	is.NoErr(err)
	is.Equal(string(c.Body), "text 19")
	v, ok, err := l.Changed(t.Context(), "c10")
	is.NoErr(err)
	is.True(ok)
	is.Equal(v, int64(11))
}
