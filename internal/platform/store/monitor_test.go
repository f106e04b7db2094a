package store_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/standin/rows"
)

const cost = 5 * time.Millisecond

var (
	ctx  = context.Background()
	key  = store.Key{Table: "t", Partition: "p", Name: "n"}
	full = store.Range{Table: "t", Partition: "p"}
)

type watched struct {
	*store.Monitor
	link    *rows.Link
	changes []bool
}

func newWatched() *watched {
	w := &watched{link: rows.NewLink(rows.New(cost), rand.New(rand.NewPCG(1, 1)))}
	w.Monitor = store.NewMonitor(w.link, key, func(up bool, _ error) { w.changes = append(w.changes, up) })
	return w
}

// follow has the gauge ask by itself until the function that it returns is called.
func (w *watched) follow() (end func()) {
	following, end := context.WithCancel(ctx)
	go w.Run(following)
	return end
}

func (w *watched) read() error {
	_, err := w.Read(ctx, full)
	return err
}

// One call that fails may be a connection that was reset; two in a row are a store
// that does not serve this host. One that goes well ends that.
func TestGaugeFollowsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWatched()
		w.link.Set(rows.Trouble{Refuse: true})
		is.True(w.read() != nil)
		is.True(w.Up())
		is.True(w.read() != nil)
		is.True(!w.Up())
		w.link.Set(rows.Trouble{})
		is.NoErr(w.read())
		is.True(w.Up())
		is.Equal(w.changes, []bool{false, true})
	})
}

// A conflict is an answer. A call that its caller gave up on says nothing of the
// store: a host whose clients leave would find its store down.
func TestGaugeKnowsWhatIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWatched()
		conflict := store.Tx{Expect: []store.Expect{{Key: key, Version: 7}}, Put: []store.Put{{Key: key, Value: []byte("x")}}}
		w.link.Set(rows.Trouble{Silent: true})
		for range 5 {
			left, cancel := context.WithCancel(ctx)
			time.AfterFunc(time.Second, cancel)
			_, err := w.Read(left, full)
			is.True(err != nil)
		}
		is.True(w.Up())
		w.link.Set(rows.Trouble{})
		for range 5 {
			_, err := w.Commit(ctx, conflict)
			is.True(errors.Is(err, store.ErrConflict))
		}
		is.True(w.Up())
	})
}

// Nobody calls a store that has gone silent. The host asks by itself, and knows
// within a few seconds; when the store is back, within one.
func TestGaugeAsksWhenItIsQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWatched()
		defer w.follow()()
		time.Sleep(10 * time.Second)
		is.True(w.Up())
		is.True(w.link.Calls() <= 12) // about one a second
		w.link.Set(rows.Trouble{Silent: true})
		time.Sleep(2500 * time.Millisecond)
		is.True(!w.Up())
		w.link.Set(rows.Trouble{})
		time.Sleep(time.Second)
		is.True(w.Up())
	})
}

// A store that loses the answers to writes answers questions: it does not count as
// down for longer than one of them takes.
func TestGaugeOverALossyStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWatched()
		defer w.follow()()
		w.link.Set(rows.Trouble{Lose: 1})
		for range 3 {
			_, err := w.Commit(ctx, store.Tx{Put: []store.Put{{Key: key, Value: []byte("x")}}})
			is.True(errors.Is(err, store.ErrOutcomeUnknown))
		}
		time.Sleep(3 * cost)
		is.True(w.Up())
	})
}

// What calls usually take follows a store that turns slow within a few calls.
func TestUsual(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWatched()
		is.Equal(w.TypicalLatency(), time.Duration(0))
		for range 20 {
			is.NoErr(w.read())
		}
		is.True(w.TypicalLatency() < 2*cost)
		w.link.Set(rows.Trouble{Slow: 300 * time.Millisecond})
		for range 5 {
			is.NoErr(w.read())
		}
		is.True(w.TypicalLatency() > 200*time.Millisecond)
	})
}
