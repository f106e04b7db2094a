package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
)

// lateStore does not answer its first commits, which take effect after lateBy.
type lateStore struct {
	*rows.Table
	late   int
	lateBy time.Duration
}

func (s *lateStore) Commit(ctx context.Context, tx store.Tx) (store.Result, error) {
	if s.late == 0 {
		return s.Table.Commit(ctx, tx)
	}
	s.late--
	time.AfterFunc(s.lateBy, func() { _, _ = s.Table.Commit(context.Background(), tx) })
	<-ctx.Done()
	return store.Result{}, store.ErrOutcomeUnknown
}

// The store answers in 5 ms, but two writes of a fence row are done seconds later and not answered. The
// next leader must not wait for each until its timeout: nothing is started meanwhile, and the writes can
// take effect only once.
func TestOverdueFenceIsWrittenAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &lateStore{Table: rows.New(5 * time.Millisecond), late: 2, lateBy: 5 * time.Second}
		began := time.Now()
		version, err := writeFence(t.Context(), s, 0, 7, newLeadership(s, &orderCounter{}, time.Now(), time.Now()).writeTimeout)
		is.NoErr(err)
		is.True(version > 0)
		is.True(time.Since(began) < 1500*time.Millisecond)
		time.Sleep(10 * time.Second)
		is.Equal(s.Get(fenceKey(0)).Version, version)
	})
}

// The store answers in 5 ms, but two saves are done seconds later and not answered. The save must be
// repeated soon: the starts of all jobs in the partition wait for it.
func TestOverdueSaveIsRepeatedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &lateStore{Table: rows.New(5 * time.Millisecond), lateBy: 5 * time.Second}
		l := newLeadership(s, &orderCounter{}, time.Now(), time.Now())
		c := dispatch.Save{Partition: somePartition(), Rows: []dispatch.SaveRow{{Job: someJob, Value: []byte("{}")}}}
		l.fences[c.Partition] = s.Put(fenceKey(c.Partition), []byte("7"))
		s.late = 2
		began := time.Now()
		l.save(c)
		is.True(s.Get(ProgressKey(c.Partition, someJob)).Version > 0)
		is.True(time.Since(began) < 1500*time.Millisecond)
		time.Sleep(10 * time.Second)
	})
}
