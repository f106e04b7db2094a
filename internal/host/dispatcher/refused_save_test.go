package dispatcher

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
)

// failingStore loses the answer to its first commit, which does not take effect, and fails the others.
type failingStore struct {
	*rows.Table
	commits int
	err     error
}

func (s *failingStore) Commit(ctx context.Context, _ store.Tx) (store.Result, error) {
	if s.commits++; s.commits == 1 {
		<-ctx.Done()
		return store.Result{}, store.ErrOutcomeUnknown
	}
	return store.Result{}, s.err
}

// The answer to a save is lost, and then the store does not take it: it refuses a row, and says so or not.
// If the save were repeated as it is until it succeeds, no job of the partition would be saved any
// more. The log names the job whose row is refused.
func TestSaveThatStoreDoesNotTakeIsGivenBack(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		within time.Duration
		log    string
	}{
		"refused":     {store.ErrRefused, time.Second, `"store refuses progress"`},
		"unavailable": {store.ErrUnavailable, 3 * time.Second, `"progress not saved"`},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &failingStore{Table: rows.New(0), err: c.err}
				l := newLeadership(s, &orderCounter{}, time.Now(), time.Now())
				var lines []string
				l.log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{Verbosity: 1})
				l.machine = dispatch.New(7, l.bounds)
				began := time.Now()
				l.save(dispatch.Save{Partition: somePartition(), Rows: []dispatch.SaveRow{{Job: someJob, Value: []byte("{}")}}})
				is.True(time.Since(began) < c.within)
				is.Equal(len(l.events), 1)
				(<-l.events)(time.Now())
				last := lines[len(lines)-1]
				is.True(strings.Contains(last, c.log))
				is.Equal(strings.Contains(last, string(someJob)), c.err == store.ErrRefused)
			})
		})
	}
}
