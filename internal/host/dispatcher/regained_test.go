package dispatcher

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
)

// outageStore is a store and a roster that do not answer while they are down: what is asked
// meanwhile is lost.
type outageStore struct {
	*rows.Table
	mu     sync.Mutex
	down   bool
	up     chan struct{}
	listed []time.Time
	saved  []time.Time
}

func newOutageStore() *outageStore { return &outageStore{Table: rows.New(0), up: make(chan struct{})} }

func (o *outageStore) set(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
	if !down {
		close(o.up)
		o.up = make(chan struct{})
	}
}

func (o *outageStore) recovered() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.up
}

// call waits for ever if the store is down; else it notes the time.
func (o *outageStore) call(ctx context.Context, at *[]time.Time) error {
	o.mu.Lock()
	down := o.down
	if !down {
		*at = append(*at, time.Now())
	}
	o.mu.Unlock()
	if !down {
		return nil
	}
	<-ctx.Done()
	return store.ErrOutcomeUnknown
}

// lists returns when lists were given.
func (o *outageStore) lists() []time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.listed)
}

// saves returns when transactions were made.
func (o *outageStore) saves() []time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.saved)
}

func (o *outageStore) Targets(ctx context.Context) ([]roster.Target, error) {
	return nil, o.call(ctx, &o.listed)
}

func (o *outageStore) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	if err := o.call(ctx, &o.saved); err != nil {
		return store.Result{}, err
	}
	return o.Table.Commit(ctx, tx)
}

// The store does not answer for five seconds. The call for the list of targets that was
// on its way when it came back was waited for until its time-out, and nothing was placed
// by the old list meanwhile: all work that had gathered started up to two seconds late.
func TestListIsReadAtOnceWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOutageStore()
		d := New(s, &orderCounter{}, s, dispatch.DefaultBounds(), logr.Discard(), WithClock(time.Now), WithRecovered(s.recovered))
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		go func() { _ = d.Lead(ctx, leader.NewTerm(1, time.Now()), true) }()
		time.Sleep(3 * time.Second)
		s.set(true)
		time.Sleep(5 * time.Second)
		before := len(s.lists())
		s.set(false)
		back := time.Now()
		time.Sleep(time.Second)
		lists := s.lists()
		is.True(len(lists) > before)
		is.True(lists[before].Sub(back) < 50*time.Millisecond)
		<-ctx.Done()
		time.Sleep(time.Second)
	})
}

// The same for progress: what was decided is started, and what has ended is told, once
// it is saved.
func TestSaveIsMadeAgainAtOnceWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOutageStore()
		o := newLeadership(s, &orderCounter{}, time.Now(), time.Now())
		o.recovered = s.recovered
		c := dispatch.Save{Part: partOf(), Rows: []dispatch.SaveRow{{Job: someJob, Value: []byte("{}")}}}
		o.fences[c.Part] = s.Put(fenceKey(c.Part), []byte("7"))
		s.set(true)
		go o.save(c)
		time.Sleep(1500 * time.Millisecond)
		s.set(false)
		synctest.Wait()
		is.Equal(len(s.saves()), 1)
		is.True(s.Get(ProgressKey(c.Part, someJob)).Version > 0)
	})
}

// A store loses answers: the list that was asked for never comes. The next one is asked
// for soon, and not after the longest time that a call may take.
func TestLostListIsAskedForAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOutageStore()
		d := New(s, &orderCounter{}, s, dispatch.DefaultBounds(), logr.Discard(), WithClock(time.Now))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		go func() { _ = d.Lead(ctx, leader.NewTerm(1, time.Now()), true) }()
		time.Sleep(2500 * time.Millisecond)
		s.set(true)
		time.Sleep(600 * time.Millisecond) // one list is lost in it
		before := len(s.lists())
		s.set(false)
		time.Sleep(1200 * time.Millisecond)
		lists := s.lists()
		is.True(len(lists) > before)
		is.True(lists[before].Sub(lists[before-1]) <= d.bounds.ListAge)
		<-ctx.Done()
		time.Sleep(time.Second)
	})
}
