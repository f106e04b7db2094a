package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A host's process is paused for three seconds, while one queue is removed and another
// added. Two requests arrive during the pause. Without waiting, the process could refuse
// the later one by the old configuration and serve the earlier one by the new one, which
// it reads a moment after it resumes. A request waits until the store confirms the
// configuration, for maxConfirmWait at most, or until its client gives up.
func TestRequestsWaitForConfigurationAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFreshness(time.Now, minFeedWait)
		took := func(ctx context.Context) time.Duration {
			began := time.Now()
			f.await(ctx)
			return time.Since(began)
		}
		time.Sleep(minFeedWait + freshSlack - time.Millisecond)
		is.Equal(took(t.Context()), time.Duration(0)) // still fresh
		f.confirm()
		time.Sleep(3 * time.Second) // the process is paused
		go func() {
			time.Sleep(5 * time.Millisecond)
			f.confirm()
		}()
		is.Equal(took(t.Context()), 5*time.Millisecond)
		is.Equal(took(t.Context()), time.Duration(0))

		time.Sleep(3 * time.Second)
		is.Equal(took(t.Context()), maxConfirmWait) // no answer: served by the old configuration
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		is.Equal(took(ctx), 10*time.Millisecond) // the client gave up
	})
}
