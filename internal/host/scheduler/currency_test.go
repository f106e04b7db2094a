package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A host's process stands still for three seconds, in which a queue is taken out and
// another added. Two requests wait for it. The one that was sent later was refused by
// the old configuration and the other served by the new one, which the host read a
// moment after it woke.
func TestRequestsWaitForTheConfigurationAfterAStandstill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCurrency(time.Now)
		took := func(ctx context.Context) time.Duration {
			began := time.Now()
			c.await(ctx)
			return time.Since(began)
		}
		time.Sleep(knownFor - time.Millisecond)
		is.Equal(took(t.Context()), time.Duration(0)) // known well enough
		c.confirm()
		time.Sleep(3 * time.Second) // nothing runs
		go func() {
			time.Sleep(5 * time.Millisecond)
			c.confirm()
		}()
		is.Equal(took(t.Context()), 5*time.Millisecond)
		is.Equal(took(t.Context()), time.Duration(0))

		time.Sleep(3 * time.Second)
		is.Equal(took(t.Context()), confirmTime) // the store does not answer: served by what is known
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		is.Equal(took(ctx), 10*time.Millisecond) // nobody waits for the answer any more
	})
}
