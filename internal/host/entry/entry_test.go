package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/dispatcher"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/report/view"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/progress"
)

const (
	storeLatency = 5 * time.Millisecond
	someJob      = graph.JobID("00000000000000aa")
)

var errNoLeader = errors.New("no leader")

// fakeLeader is a leader that answers notifications after latency, or nothing while it is
// unreachable.
type fakeLeader struct {
	latency     time.Duration
	unreachable bool
	notLeading  atomic.Int32 // number of calls that fail with ErrNotLeading
	notified    atomic.Int32 // notifications that arrived
	mu          sync.Mutex   // guards cancelled, which several hosts notify
	cancelled   map[graph.JobID]bool
	known       map[graph.JobID]view.JobStatus
}

// notify counts a notification, unless the leader is unreachable or does not lead.
func (l *fakeLeader) notify(ctx context.Context) error {
	if l.unreachable {
		<-ctx.Done()
		return errNoLeader
	}
	if l.notLeading.Add(-1) >= 0 {
		return dispatcher.ErrNotLeading
	}
	time.Sleep(l.latency)
	l.notified.Add(1)
	return nil
}

func (l *fakeLeader) Submitted(ctx context.Context, _ *graph.Job) error { return l.notify(ctx) }

func (l *fakeLeader) Cancelled(ctx context.Context, id graph.JobID) error {
	if err := l.notify(ctx); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cancelled[id] = true
	return nil
}

func (l *fakeLeader) Status(_ context.Context, id graph.JobID) (view.JobStatus, bool, error) {
	if l.unreachable {
		return view.JobStatus{}, false, errNoLeader
	}
	t, known := l.known[id]
	return t, known, nil
}

func (l *fakeLeader) Pending(context.Context, string) (int, error) { return 0, nil }

// fakeRelay is a relay whose calls return err.
type fakeRelay struct{ err error }

func (r fakeRelay) RelaySubmit(context.Context, *graph.Job) error          { return r.err }
func (r fakeRelay) RelayCancel(context.Context, graph.JobID, Caller) error { return r.err }

type fixture struct {
	table  *rows.Table
	link   *rows.Link
	leader *fakeLeader
	entry  *Entry
}

// newFixture returns an entry over a store without faults, whose relay returns the error
// peer. The store's faults are random by a fixed seed.
func newFixture(peer error) *fixture {
	t := rows.New(storeLatency)
	l := rows.NewLink(t, rand.New(rand.NewPCG(1, 2)))
	r := &fixture{table: t, link: l, leader: &fakeLeader{cancelled: map[graph.JobID]bool{}, known: map[graph.JobID]view.JobStatus{}}}
	r.entry = New(store.NewMonitor(l, dispatcher.JobKey(0, someJob), func(bool, error) {}), r.leader, fakeRelay{peer}, logr.Discard())
	return r
}

func job(id graph.JobID, account string) *graph.Job {
	return &graph.Job{
		ID: id, Queue: "q", Account: account, Service: "s", MaxAttempts: 1,
		Steps: []graph.Step{{Count: 1, Needs: graph.Resources{CPU: 100}, Estimate: time.Second}},
	}
}

var (
	ctx    = context.Background()
	kiosks = Caller{Account: "kiosks"}
)

// A job is stored during a takeover, and the host notifies a host that does not lead any
// more. If the notification were not repeated, the next leader would find the job only by
// its scan, up to a second later: half of the slack of an urgent job.
func TestNextLeaderIsNotifiedOfJobFromTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(nil)
		r.leader.notLeading.Store(3)
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		time.Sleep(300 * time.Millisecond)
		is.Equal(r.leader.notified.Load(), int32(1))
		time.Sleep(2 * time.Second)
		is.Equal(r.leader.notified.Load(), int32(1)) // and not again
	})
}

// A client cancels a job at one host and reads its state at another, which asks the
// leader. If the cancellation were answered before the leader is notified, the client
// would read that the job still runs.
func TestCancelIsKnownToLeaderWhenAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(nil)
		r.leader.latency = 30 * time.Millisecond
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		is.NoErr(r.entry.Cancel(ctx, someJob, kiosks))
		is.True(r.leader.cancelled[someJob])
	})
}

// A missing leader does not hold up the answer to a cancellation: it is stored, and the
// next leader reads it.
func TestCancelWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(nil)
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		synctest.Wait() // until the leader is notified of the job
		r.leader.unreachable = true
		began := time.Now()
		is.NoErr(r.entry.Cancel(ctx, someJob, kiosks))
		is.True(time.Since(began) < cancelNotifyWait+10*storeLatency)
		status, err := r.entry.Status(ctx, someJob, kiosks)
		is.NoErr(err)
		is.Equal(status.State, progress.Cancelled)
		time.Sleep(notifyTimeout) // the notification is given up
	})
}

// To a caller, another account's job looks as if it did not exist, and it cannot be
// cancelled. An operator can read it.
func TestJobsOfOtherAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(nil)
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		_, err := r.entry.Status(ctx, someJob, Caller{Account: "salons"})
		is.True(errors.Is(err, ErrNoJob))
		is.True(errors.Is(r.entry.Cancel(ctx, someJob, Caller{Account: "salons"}), ErrNoJob))
		status, err := r.entry.Status(ctx, someJob, Caller{Operator: true})
		is.NoErr(err)
		is.Equal(status.State, progress.Queued)
		_, err = r.entry.Status(ctx, "00000000000000bb", kiosks)
		is.True(errors.Is(err, ErrNoJob))
	})
}

// The store loses the answer to a write that took effect. The submission must not fail
// with ErrNotAccepted, since the job is stored.
func TestSubmitSettlesLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrNotAccepted)
		r.link.SetFaults(rows.Faults{LostAnswers: 1})
		err := r.entry.Submit(ctx, job(someJob, "kiosks"))
		is.True(r.table.Get(dispatcher.JobKey(partitionOf(someJob), someJob)).Version > 0) // it took effect
		is.True(!errors.Is(err, ErrNotAccepted))
	})
}

// The leader does not know a job, and the store is unavailable. The error that operators
// read names both.
func TestStatusErrorNamesBothCauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrNotAccepted)
		r.link.SetFaults(rows.Faults{Refuse: true})
		_, err := r.entry.Status(ctx, someJob, kiosks)
		is.True(errors.Is(err, ErrUnavailable))
		is.True(strings.Contains(err.Error(), errLeaderUnknownJob.Error()))
		is.True(!strings.Contains(err.Error(), "%!"))
	})
}

// The store applies each write and loses most of the answers, at random by a fixed seed. A
// submission neither waits for a timeout nor fails with ErrOutcomeUnknown: the write is
// repeated soon, and the conflict shows that it took effect.
func TestSubmitOverLossyStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrNotAccepted)
		r.link.SetFaults(rows.Faults{LostAnswers: 0.6})
		for i := range 50 {
			began := time.Now()
			is.NoErr(r.entry.Submit(ctx, job(graph.JobID(fmt.Sprintf("%016x", i)), "kiosks")))
			is.True(time.Since(began) < 5*minOverdue)
		}
	})
}

// A client with a short deadline is answered while it still has time to try another host.
func TestSubmitLeavesClientTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrNotAccepted)
		r.link.SetFaults(rows.Faults{Unresponsive: true})
		shortCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		began := time.Now()
		err := r.entry.Submit(shortCtx, job(someJob, "kiosks"))
		is.True(errors.Is(err, ErrOutcomeUnknown))
		is.True(time.Since(began) <= 200*time.Millisecond)
	})
}

// The store is two hundred times slower than usual, and each partition applies one write
// at a time. A call that is given up would be repeated by another host and by the client,
// and all of these would wait in the same queue: every second request would fail with
// ErrOutcomeUnknown, without end. So the call in flight is waited for, no peer is called, and
// a client whose time is too short gets ErrOutcomeUnknown before its deadline.
func TestSlowStoreIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(errors.New("a peer was called"))
		r.link.SetFaults(rows.Faults{Latency: time.Second})
		_, _ = r.entry.store.Read(ctx, store.Range{Table: "any"}) // so that the host measures the latency
		slowCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		began := time.Now()
		is.NoErr(r.entry.Submit(slowCtx, job(someJob, "kiosks")))
		is.True(time.Since(began) < 1500*time.Millisecond)
		r.link.SetFaults(rows.Faults{Latency: 5 * time.Second})
		slowerCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		began = time.Now()
		err := r.entry.Submit(slowerCtx, job("00000000000000ab", "kiosks"))
		is.True(errors.Is(err, ErrOutcomeUnknown))
		is.True(time.Since(began) < 2700*time.Millisecond) // before the client's deadline
		time.Sleep(10 * time.Second)
	})
}

// The store does not answer at all. The host detects this by its probes and refuses
// requests at once; it accepts them again soon after the store recovers.
func TestUnresponsiveStoreIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(ErrNotAccepted)
		running, end := context.WithCancel(ctx)
		defer end()
		go r.entry.store.Run(running)
		time.Sleep(5 * time.Second)
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		r.link.SetFaults(rows.Faults{Unresponsive: true})
		time.Sleep(2500 * time.Millisecond)
		began := time.Now()
		err := r.entry.Submit(ctx, job("00000000000000cc", "kiosks"))
		is.True(errors.Is(err, ErrNotAccepted))
		is.Equal(time.Since(began), time.Duration(0))
		r.link.SetFaults(rows.Faults{})
		time.Sleep(1200 * time.Millisecond)
		is.NoErr(r.entry.Submit(ctx, job("00000000000000cc", "kiosks")))
	})
}

// A refusal by the store is final if no earlier attempt can still take effect and no peer
// could store the job either.
func TestSubmitRefused(t *testing.T) {
	for name, c := range map[string]struct{ peer, want error }{
		"peer refuses":               {ErrNotAccepted, ErrNotAccepted},
		"peer stores the job":        {nil, nil},
		"peer does not know outcome": {ErrOutcomeUnknown, ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newFixture(c.peer)
				r.link.SetFaults(rows.Faults{Refuse: true})
				err := r.entry.Submit(ctx, job(someJob, "kiosks"))
				is.True(errors.Is(err, c.want))
				is.Equal(errors.Is(err, ErrNotAccepted), c.want == ErrNotAccepted)
				is.Equal(r.table.Get(dispatcher.JobKey(partitionOf(someJob), someJob)).Version, int64(0))
			})
		})
	}
}

// A repeated request, at any host, is the same job: it is accepted, and not stored
// twice.
func TestSubmitAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newFixture(nil)
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		before := r.table.Get(dispatcher.JobKey(partitionOf(someJob), someJob)).Version
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		is.Equal(r.table.Get(dispatcher.JobKey(partitionOf(someJob), someJob)).Version, before)
	})
}

// Without an answer of the leader, clients see the state of a job by its rows: a saved final
// state, or else the cancellation, or else whether it has started.
func TestStateOf(t *testing.T) {
	is := is.New(t)
	is.Equal(stateOf(progress.Completed, true, true), progress.Completed) // a later cancellation has no effect
	is.Equal(stateOf(progress.Queued, true, true), progress.Cancelled)
	is.Equal(stateOf(progress.Queued, true, false), progress.Running)
	is.Equal(stateOf(progress.Queued, false, false), progress.Queued)
}
