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

const callLatency = 5 * time.Millisecond

var (
	ctx        = context.Background()
	key        = store.Key{Table: "t", Partition: "p", Name: "n"}
	wholeRange = store.Range{Table: "t", Partition: "p"}
)

// monitored is a monitor of a simulated store.
type monitored struct {
	*store.Monitor
	link    *rows.Link // injects faults
	changes []bool     // whether the store was up, at each call of onChange
}

// newMonitored returns a monitor that does not probe yet, of a store without faults.
func newMonitored() *monitored {
	w := &monitored{link: rows.NewLink(rows.New(callLatency), rand.New(rand.NewPCG(1, 1)))}
	w.Monitor = store.NewMonitor(w.link, key, func(up bool, _ error) { w.changes = append(w.changes, up) })
	return w
}

// runProbes lets the monitor probe until the returned function is called.
func (w *monitored) runProbes() (end func()) {
	running, end := context.WithCancel(ctx)
	go w.Run(running)
	return end
}

func (w *monitored) read() error {
	_, err := w.Read(ctx, wholeRange)
	return err
}

// A single failed call may be a connection that was reset; after two in a row the
// store counts as down, until a call is answered.
func TestMonitorDownAfterTwoFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMonitored()
		w.link.SetFaults(rows.Faults{Refuse: true})
		is.True(w.read() != nil)
		is.True(w.Up())
		is.True(w.read() != nil)
		is.True(!w.Up())
		w.link.SetFaults(rows.Faults{})
		is.NoErr(w.read())
		is.True(w.Up())
		is.Equal(w.changes, []bool{false, true})
	})
}

// Conflicts are answers, and calls that their callers cancel are no failures:
// otherwise clients that disconnect would make a host count its store as down.
func TestMonitorIgnoresConflictsAndCancelledCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMonitored()
		conflict := store.Tx{Expect: []store.Expect{{Key: key, Version: 7}}, Put: []store.Put{{Key: key, Value: []byte("x")}}}
		w.link.SetFaults(rows.Faults{Unresponsive: true})
		for range 5 {
			abandoned, cancel := context.WithCancel(ctx)
			time.AfterFunc(time.Second, cancel)
			_, err := w.Read(abandoned, wholeRange)
			is.True(err != nil)
		}
		is.True(w.Up())
		w.link.SetFaults(rows.Faults{})
		for range 5 {
			_, err := w.Commit(ctx, conflict)
			is.True(errors.Is(err, store.ErrConflict))
		}
		is.True(w.Up())
	})
}

// Without calls, a store that stops answering is detected by probes within 2.5 s, and
// its recovery within 1 s.
func TestMonitorProbesIdleStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMonitored()
		defer w.runProbes()()
		time.Sleep(10 * time.Second)
		is.True(w.Up())
		is.True(w.link.Calls() <= 12) // about one a second
		w.link.SetFaults(rows.Faults{Unresponsive: true})
		time.Sleep(2500 * time.Millisecond)
		is.True(!w.Up())
		w.link.SetFaults(rows.Faults{})
		time.Sleep(time.Second)
		is.True(w.Up())
	})
}

// A store that loses the answers to writes still answers probes: it does not count as
// down for longer than one probe takes.
func TestMonitorStaysUpWhenAnswersAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMonitored()
		defer w.runProbes()()
		w.link.SetFaults(rows.Faults{LostAnswers: 1})
		for range 3 {
			_, err := w.Commit(ctx, store.Tx{Put: []store.Put{{Key: key, Value: []byte("x")}}})
			is.True(errors.Is(err, store.ErrOutcomeUnknown))
		}
		time.Sleep(3 * callLatency)
		is.True(w.Up())
	})
}

// The typical latency follows a store that turns slow within a few calls.
func TestTypicalLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMonitored()
		is.Equal(w.TypicalLatency(), time.Duration(0))
		for range 20 {
			is.NoErr(w.read())
		}
		is.True(w.TypicalLatency() < 2*callLatency)
		w.link.SetFaults(rows.Faults{Latency: 300 * time.Millisecond})
		for range 5 {
			is.NoErr(w.read())
		}
		is.True(w.TypicalLatency() > 200*time.Millisecond)
	})
}

// The store refuses a row that is too large, again and again. Its answers show that it serves this host: if they
// counted as an outage, the host would refuse requests, and a leader would resign.
func TestMonitorStaysUpWhileStoreRefusesRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newMonitored()
		large := store.Tx{Put: []store.Put{{Key: key, Value: make([]byte, store.MaxBytes+1)}}}
		for range 5 {
			_, err := w.Commit(ctx, large)
			is.True(errors.Is(err, store.ErrRefused))
			is.True(errors.Is(err, store.ErrUnavailable))
		}
		is.True(w.Up())
		is.Equal(len(w.changes), 0)
	})
}
