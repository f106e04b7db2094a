package entry

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/cancellation"
	"guavaglade.example/guavaglade/internal/work/graph"
)

// A submission under a cancelled id is refused as such at any host, and accepted as a new job when the
// cancellation has expired.
func TestSubmissionOfCancelledID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrNotAccepted)
		is.True(errors.Is(r.entry.Cancel(ctx, someJob, kiosks), ErrNoJob))
		is.True(errors.Is(r.submit(job(someJob, "kiosks")), ErrCancelled))
		is.True(errors.Is(r.addHost(5).submit(job(someJob, "kiosks")), ErrCancelled))
		time.Sleep(2 * time.Minute)
		is.True(errors.Is(r.submit(job(someJob, "kiosks")), ErrCancelled))
		time.Sleep(retentionSlack)
		is.NoErr(r.submit(job(someJob, "kiosks")))
		is.True(r.runs(someJob))
		set, err := cancellation.Decode(r.table.Get(dispatcher.CancelledSetKey(partitionOf(someJob), someJob)).Value)
		is.NoErr(err)
		is.Equal(set.Len(), 0) // no host finds a cancellation beside the job
	})
}

// A repeated cancellation holds as long as the first: it is stored again before that one expires.
func TestRepeatedCancellationHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrNotAccepted)
		is.True(errors.Is(r.entry.Cancel(ctx, someJob, kiosks), ErrNoJob))
		time.Sleep(2 * time.Minute)
		is.True(errors.Is(r.entry.Cancel(ctx, someJob, kiosks), ErrNoJob))
		time.Sleep(2 * time.Minute)
		is.True(errors.Is(r.submit(job(someJob, "kiosks")), ErrCancelled))
	})
}

// A cancellation at a public queue, which needs no key, leaves the jobs of other queues.
func TestCancellationAtPublicQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrNotAccepted)
		anyone := Caller{Operator: true, Queue: "open"}
		is.True(errors.Is(r.entry.Cancel(ctx, someJob, anyone), ErrNoJob))
		is.NoErr(r.submit(job(someJob, "kiosks")))
		is.True(errors.Is(r.entry.Cancel(ctx, "00000000000000ab", anyone), ErrNoJob))
		open := job("00000000000000ab", "kiosks")
		open.Queue = "open"
		is.True(errors.Is(r.submit(open), ErrCancelled))
	})
}

// Guards against a cancellation, performed late, of a job whose rows were removed meanwhile: it would
// cancel the next job of the id.
func TestLateCancellationOfForgottenJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrOutcomeUnknown)
		is.NoErr(r.submit(job(someJob, "kiosks")))
		r.link.SetFaults(rows.Faults{LateWrites: 1, LateBy: time.Minute})
		is.True(r.entry.Cancel(ctx, someJob, kiosks) != nil)
		r.table.Remove(dispatcher.JobKey(partitionOf(someJob), someJob))
		is.NoErr(r.addHost(5).submit(job(someJob, "kiosks")))
		time.Sleep(2 * time.Minute)
		is.True(r.runs(someJob))
	})
}

// Guards against a submission that a peer has sent long ago, and that arrives when a cancellation of
// the job has expired.
func TestOldSubmissionIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrNotAccepted)
		old := job(someJob, "kiosks")
		old.AcceptedAt = time.Now().Add(-2 * time.Minute).UnixMilli()
		is.True(errors.Is(r.entry.SubmitHere(ctx, old), ErrNotAccepted))
		is.True(!r.runs(someJob))
	})
}

// Guards against a host that goes on with a submission after a suspension, in which a cancellation of the
// job may have been answered and have expired.
func TestSubmissionEndsWithSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrOutcomeUnknown)
		var suspended atomic.Int64
		WithClock(func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) })(r.entry)
		r.link.SetFaults(rows.Faults{LateWrites: 1, LateBy: time.Hour})
		submitted := make(chan error)
		go func() { submitted <- r.submit(job(someJob, "kiosks")) }()
		time.Sleep(50 * time.Millisecond)
		suspended.Store(int64(5 * time.Minute))
		r.link.SetFaults(rows.Faults{})
		is.True(errors.Is(<-submitted, ErrOutcomeUnknown))
		is.True(!r.runs(someJob))
	})
}

// Guards against a store that is filled, or whose write rate is used up, by cancellations of unknown jobs
// of one account: another account's are stored, and so is a job.
func TestCancellationsOfUnknownJobsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrNotAccepted)
		calls, answered, refused := r.link.Calls(), 0, 0
		const n, seconds = 4000, 40
		for i := range n {
			switch err := r.entry.Cancel(ctx, graph.JobID(fmt.Sprintf("%016x", i)), kiosks); {
			case errors.Is(err, ErrNoJob):
				answered++
			case errors.Is(err, ErrTooManyCancellations):
				refused++
			}
			time.Sleep(seconds*time.Second/n - storeLatency)
		}
		is.Equal(answered+refused, n)
		rate := cancelShare * defaultStoreWrites / assumedHosts * scopeShare // a second
		is.True(float64(answered) >= rate*seconds)
		is.True(float64(r.link.Calls()-calls-n) <= rate*(seconds+cancelBurst.Seconds())+1) // n reads
		is.True(errors.Is(r.entry.Cancel(ctx, someJob, Caller{Account: "salons"}), ErrNoJob))
		is.NoErr(r.submit(job(someJob, "kiosks")))
	})
}

// Guards against a row of cancellations that is filled by ids of any length, which no job can have.
func TestCancellationOfImpossibleID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrNotAccepted)
		calls := r.link.Calls()
		for _, id := range []graph.JobID{"", "nothing", graph.JobID(strings.Repeat("a", 10000))} {
			is.True(errors.Is(r.entry.Cancel(ctx, id, kiosks), ErrNoJob))
		}
		is.Equal(r.link.Calls(), calls)
	})
}

// A row of cancellations that another writer has written is an empty one, and so is one that it has
// removed.
func TestMalformedCancellations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrNotAccepted)
		key := dispatcher.CancelledSetKey(partitionOf(someJob), someJob)
		for _, value := range []string{"", "{", `[{"job":7}]`, strings.Repeat("[", 100)} {
			r.table.Put(key, []byte(value))
			is.True(errors.Is(r.entry.Cancel(ctx, someJob, kiosks), ErrNoJob))
			is.True(errors.Is(r.submit(job(someJob, "kiosks")), ErrCancelled))
			time.Sleep(time.Second)
		}
		r.table.Remove(key)
		is.NoErr(r.submit(job(someJob, "kiosks")))
	})
}

// Guards against requests that wait behind cancellations in a store that has turned slow.
func TestCancellationsAreFewerOnSlowStore(t *testing.T) {
	is := is.New(t)
	count := func(latency time.Duration) (n int) {
		l := newCancelLimit()
		for now := time.Unix(0, 0); now.Before(time.Unix(100, 0)); now = now.Add(10 * time.Millisecond) {
			if l.allow(cancellation.All(), latency, now) {
				n++
			}
		}
		return n
	}
	usual, slow := count(5*time.Millisecond), count(100*time.Millisecond)
	is.True(usual > 180 && usual < 200)       // a quarter of a tenth of 600 a second, of 8 hosts
	is.True(slow > usual/6 && slow < usual/4) // a fifth
}
