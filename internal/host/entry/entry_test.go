package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
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
	storeCost = 5 * time.Millisecond
	someJob   = graph.JobID("00000000000000aa")
)

var errNoLeader = errors.New("no leader")

// fakeLeader is a leader that takes a while to hear, or is gone.
type fakeLeader struct {
	latency    time.Duration
	gone       bool
	notLeading atomic.Int32 // so many calls find nobody who leads
	notified   atomic.Int32 // calls that reached it
	cancelled  map[graph.JobID]bool
	known      map[graph.JobID]view.JobStatus
}

func (l *fakeLeader) notify(ctx context.Context) error {
	if l.gone {
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
	l.cancelled[id] = true
	return nil
}

func (l *fakeLeader) State(_ context.Context, id graph.JobID) (view.JobStatus, bool, error) {
	if l.gone {
		return view.JobStatus{}, false, errNoLeader
	}
	t, known := l.known[id]
	return t, known, nil
}

func (l *fakeLeader) Pending(context.Context, string) (int, error) { return 0, nil }

// fakeRelay is a relay without peers.
type fakeRelay struct{ err error }

func (a fakeRelay) RelaySubmit(context.Context, *graph.Job) error          { return a.err }
func (a fakeRelay) RelayCancel(context.Context, graph.JobID, Caller) error { return a.err }

type rig struct {
	table  *rows.Table
	link   *rows.Link
	leader *fakeLeader
	entry  *Entry
}

func newRig(peer error) *rig {
	t := rows.New(storeCost)
	l := rows.NewLink(t, rand.New(rand.NewPCG(1, 2)))
	r := &rig{table: t, link: l, leader: &fakeLeader{cancelled: map[graph.JobID]bool{}, known: map[graph.JobID]view.JobStatus{}}}
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

// A job is stored while one leader hands over to the next: the host asks one that leads no
// more. The next one heard of the job by its scan only, up to a second later, and an urgent
// job had lost half of its slack.
func TestNextLeaderIsToldOfAJobFromATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(nil)
		r.leader.notLeading.Store(3)
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		time.Sleep(300 * time.Millisecond)
		is.Equal(r.leader.notified.Load(), int32(1))
		time.Sleep(2 * time.Second)
		is.Equal(r.leader.notified.Load(), int32(1)) // and not again
	})
}

// A client cancels a job at one host and reads it at another one, which asks the
// leader. If the answer to the cancelling went out before the leader had heard of
// it, the client would read that the job still runs.
func TestCancelIsKnownToTheLeaderWhenAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(nil)
		r.leader.latency = 30 * time.Millisecond
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		is.NoErr(r.entry.Cancel(ctx, someJob, kiosks))
		is.True(r.leader.cancelled[someJob])
	})
}

// A leader that has gone does not hold up the answer to a cancelling: it is
// stored, and the next leader reads it.
func TestCancelWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(nil)
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		synctest.Wait() // the leader has heard of the job
		r.leader.gone = true
		began := time.Now()
		is.NoErr(r.entry.Cancel(ctx, someJob, kiosks))
		is.True(time.Since(began) < cancelNotifyWait+10*storeCost)
		told, err := r.entry.State(ctx, someJob, kiosks)
		is.NoErr(err)
		is.Equal(told.State, progress.Cancelled)
		time.Sleep(notifyTimeout) // the leader is given up on
	})
}

// Another account's job is as one that is not there, and stays as it is.
func TestOthersJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(nil)
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		_, err := r.entry.State(ctx, someJob, Caller{Account: "salons"})
		is.True(errors.Is(err, ErrNoJob))
		is.True(errors.Is(r.entry.Cancel(ctx, someJob, Caller{Account: "salons"}), ErrNoJob))
		told, err := r.entry.State(ctx, someJob, Caller{Operator: true})
		is.NoErr(err)
		is.Equal(told.State, progress.Queued)
		_, err = r.entry.State(ctx, "00000000000000bb", kiosks)
		is.True(errors.Is(err, ErrNoJob))
	})
}

// The store loses the answer to a write that took effect. The client is told that
// the job was taken: a refusal would not be true.
func TestSubmitSettlesALostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(ErrNotAccepted)
		r.link.Set(rows.Trouble{Lose: 1})
		err := r.entry.Submit(ctx, job(someJob, "kiosks"))
		is.True(r.table.Get(dispatcher.JobKey(partitionOf(someJob), someJob)).Version > 0) // it took effect
		is.True(!errors.Is(err, ErrNotAccepted))
	})
}

// The leader answers that it does not know a job, and the store is away. The error that
// operators read says both.
func TestStateErrorNamesBothWays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(ErrNotAccepted)
		r.link.Set(rows.Trouble{Refuse: true})
		_, err := r.entry.State(ctx, someJob, kiosks)
		is.True(errors.Is(err, ErrUnavailable))
		is.True(strings.Contains(err.Error(), errLeaderUnknownJob.Error()))
		is.True(!strings.Contains(err.Error(), "%!"))
	})
}

// The store takes each write and loses most of the answers. A client is not told to
// wait for a time-out or that nothing is known: the write is made again at once, and
// the conflict says that it took effect.
func TestSubmitOverALossyStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(ErrNotAccepted)
		r.link.Set(rows.Trouble{Lose: 0.6})
		for i := range 50 {
			began := time.Now()
			is.NoErr(r.entry.Submit(ctx, job(graph.JobID(fmt.Sprintf("%016x", i)), "kiosks")))
			is.True(time.Since(began) < 5*minOverdue)
		}
	})
}

// A client that has little time left is answered while it can still ask another
// host.
func TestSubmitLeavesTheClientTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(ErrNotAccepted)
		r.link.Set(rows.Trouble{Silent: true})
		hurried, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		began := time.Now()
		err := r.entry.Submit(hurried, job(someJob, "kiosks"))
		is.True(errors.Is(err, ErrOutcomeUnknown))
		is.True(time.Since(began) <= 200*time.Millisecond)
	})
}

// The store has become two hundred times slower, and each part takes one write at a
// time. A call that is given up on is made again by another host, and by the client, and
// each of these waits in the same line: users would see every second request answered
// with "not known", and no end of it. So the one call that is on its way is waited for.
func TestSlowStoreIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(errors.New("a peer was asked"))
		r.link.Set(rows.Trouble{Slow: time.Second})
		_, _ = r.entry.store.Read(ctx, store.Range{Table: "any"}) // so that the host knows
		patient, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		began := time.Now()
		is.NoErr(r.entry.Submit(patient, job(someJob, "kiosks")))
		is.True(time.Since(began) < 1500*time.Millisecond)
		r.link.Set(rows.Trouble{Slow: 5 * time.Second})
		impatient, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		began = time.Now()
		err := r.entry.Submit(impatient, job("00000000000000ab", "kiosks"))
		is.True(errors.Is(err, ErrOutcomeUnknown))
		is.True(time.Since(began) < 2700*time.Millisecond) // in time for the client
		time.Sleep(10 * time.Second)
	})
}

// The store does not answer at all. The host finds that out by itself, and refuses
// requests at once then; it takes them soon after the store is back.
func TestSilentStoreIsFoundOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(ErrNotAccepted)
		following, end := context.WithCancel(ctx)
		defer end()
		go r.entry.store.Run(following)
		time.Sleep(5 * time.Second)
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		r.link.Set(rows.Trouble{Silent: true})
		time.Sleep(2500 * time.Millisecond)
		began := time.Now()
		err := r.entry.Submit(ctx, job("00000000000000cc", "kiosks"))
		is.True(errors.Is(err, ErrNotAccepted))
		is.Equal(time.Since(began), time.Duration(0))
		r.link.Set(rows.Trouble{})
		time.Sleep(1200 * time.Millisecond)
		is.NoErr(r.entry.Submit(ctx, job("00000000000000cc", "kiosks")))
	})
}

// A refusal by the store is final if no earlier try may still take effect and the
// peers could not store the job either.
func TestSubmitRefused(t *testing.T) {
	for name, c := range map[string]struct{ peer, want error }{
		"nobody stores":       {ErrNotAccepted, ErrNotAccepted},
		"the peer stored it":  {nil, nil},
		"the peer cannot say": {ErrOutcomeUnknown, ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRig(c.peer)
				r.link.Set(rows.Trouble{Refuse: true})
				err := r.entry.Submit(ctx, job(someJob, "kiosks"))
				is.True(errors.Is(err, c.want))
				is.Equal(errors.Is(err, ErrNotAccepted), c.want == ErrNotAccepted)
				is.Equal(r.table.Get(dispatcher.JobKey(partitionOf(someJob), someJob)).Version, int64(0))
			})
		})
	}
}

// The same request again, at any host, is the same job: it is taken, not stored
// twice.
func TestSubmitAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRig(nil)
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		before := r.table.Get(dispatcher.JobKey(partitionOf(someJob), someJob)).Version
		is.NoErr(r.entry.Submit(ctx, job(someJob, "kiosks")))
		is.Equal(r.table.Get(dispatcher.JobKey(partitionOf(someJob), someJob)).Version, before)
	})
}

// What the rows of a job say is told when no leader answers.
func TestStateOf(t *testing.T) {
	is := is.New(t)
	is.Equal(stateOf(progress.Completed, true, true), progress.Completed) // a cancelling that came later changes nothing
	is.Equal(stateOf(progress.Queued, true, true), progress.Cancelled)
	is.Equal(stateOf(progress.Queued, true, false), progress.Running)
	is.Equal(stateOf(progress.Queued, false, false), progress.Queued)
}
