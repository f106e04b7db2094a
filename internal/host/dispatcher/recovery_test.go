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

// outageStore is a store and a roster that do not answer while down is set: reads of the
// target list and commits made during that time are lost. It records when the others were
// answered.
type outageStore struct {
	*rows.Table
	mu     sync.Mutex
	down   bool
	up     chan struct{}
	listed []time.Time
	saved  []time.Time
}

func newOutageStore() *outageStore { return &outageStore{Table: rows.New(0), up: make(chan struct{})} }

// setDown begins or ends an outage. Its end closes the channel of recovered.
func (o *outageStore) setDown(down bool) {
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

// call blocks until the context ends if the store is down; else it records the time.
func (o *outageStore) call(ctx context.Context, times *[]time.Time) error {
	o.mu.Lock()
	down := o.down
	if !down {
		*times = append(*times, time.Now())
	}
	o.mu.Unlock()
	if !down {
		return nil
	}
	<-ctx.Done()
	return store.ErrOutcomeUnknown
}

// lists returns when lists were returned.
func (o *outageStore) lists() []time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.listed)
}

// saves returns when transactions were committed.
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

// The store does not answer for five seconds. The target list must be read within 50 ms of
// its recovery. Waiting for the read that is in flight then, until the timeout, would delay
// all pending work by up to two seconds, as the old list is too old to place by.
func TestListIsReadAtOnceWhenStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOutageStore()
		d := New(s, &orderCounter{}, s, dispatch.DefaultBounds(), logr.Discard(), WithClock(time.Now), WithRecovered(s.recovered))
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		go func() { _ = d.Lead(ctx, leader.NewTerm(1, time.Now()), leader.Predecessors{}) }()
		time.Sleep(3 * time.Second)
		s.setDown(true)
		time.Sleep(5 * time.Second)
		before := len(s.lists())
		s.setDown(false)
		recoveredAt := time.Now()
		time.Sleep(time.Second)
		lists := s.lists()
		is.True(len(lists) > before)
		is.True(lists[before].Sub(recoveredAt) < 50*time.Millisecond)
		<-ctx.Done()
		time.Sleep(time.Second)
	})
}

// A save of progress is in flight when the store recovers. It must be repeated at once and
// take effect once: starts are sent and ends are shown to clients only after the save.
func TestSaveIsRepeatedAtOnceWhenStoreRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOutageStore()
		l := newLeadership(s, &orderCounter{}, time.Now(), time.Now())
		l.recovered = s.recovered
		c := dispatch.Save{Partition: somePartition(), Rows: []dispatch.SaveRow{{Job: someJob, Value: []byte("{}")}}}
		l.fences[c.Partition] = s.Put(fenceKey(c.Partition), []byte("7"))
		s.setDown(true)
		go l.save(c)
		time.Sleep(1500 * time.Millisecond)
		s.setDown(false)
		synctest.Wait()
		is.Equal(len(s.saves()), 1)
		is.True(s.Get(ProgressKey(c.Partition, someJob)).Version > 0)
	})
}

// The store loses the answer to a read of the target list. The list is read again soon,
// and not after storeTimeout.
func TestLostListIsReadAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newOutageStore()
		d := New(s, &orderCounter{}, s, dispatch.DefaultBounds(), logr.Discard(), WithClock(time.Now))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		go func() { _ = d.Lead(ctx, leader.NewTerm(1, time.Now()), leader.Predecessors{}) }()
		time.Sleep(2500 * time.Millisecond)
		s.setDown(true)
		time.Sleep(600 * time.Millisecond) // one list is lost in it
		before := len(s.lists())
		s.setDown(false)
		time.Sleep(1200 * time.Millisecond)
		lists := s.lists()
		is.True(len(lists) > before)
		is.True(lists[before].Sub(lists[before-1]) <= d.bounds.MaxListAge)
		<-ctx.Done()
		time.Sleep(time.Second)
	})
}
