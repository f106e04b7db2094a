package failure_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/server"
	"guavaglade.example/guavaglade/internal/standin/fleet"
)

// view returns what the placer of the first zone knows.
func (s *scene) view() server.ZoneView {
	views, err := s.operator(0).Fleet(s.ctx)
	for _, v := range views {
		if err == nil && v.Zone == s.Hosts()[0].Zone() {
			return v
		}
	}
	return server.ZoneView{}
}

// TestLeavingWorker tells of a worker that the platform's list shows as leaving.
// From when its placer knows, it is asked for nothing more, though it would take
// it; what runs there goes on to its end.
func TestLeavingWorker(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := open(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		each(32, func(i int) { s.succeeds(0, "quick", fmt.Sprint("before-", i), 2500) })
	}()
	s.until("a full zone", func() bool { return s.free() == 0 })
	leaving := s.Fleet().Targets()[0]
	leaving.Leaving = true
	s.Store().Register(leaving)
	s.until("the placer knows that the worker leaves", func() bool {
		return slices.ContainsFunc(s.view().Workers, func(w server.WorkerView) bool { return w.ID == leaving.ID && w.Leaving }) ||
			len(s.view().Workers) == len(s.workers())-1
	})
	held := s.holds(leaving.ID)
	each(60, func(i int) { s.succeeds(0, "quick", fmt.Sprint("after-", i), 10) })
	<-done
	is.Equal(s.holds(leaving.ID), held)
}

// TestFailingWorker tells of a worker that fails whatever it starts. Callers get
// their answers from other workers, and after a few failures the worker is asked
// for nothing more.
func TestFailingWorker(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := open(t)
	bad := s.workers()[0]
	s.Fleet().Server(bad).With(func(w *fleet.Worker) { w.SetFailing(true) })
	for i := 0; !slices.Contains(s.view().Quarantined, bad) && i < 20; i++ {
		each(16, func(j int) { s.succeeds(0, "quick", fmt.Sprint("try-", i, "-", j), 10) })
	}
	is.True(slices.Contains(s.view().Quarantined, bad))
	held := s.holds(bad)
	each(24, func(i int) { s.succeeds(0, "quick", fmt.Sprint("after-", i), 10) })
	is.Equal(s.holds(bad), held)
}

// TestTruncatedAnswer tells of answers that come without their last bytes from
// the worker. The caller is never given one: it is asked for again until it is
// whole.
func TestTruncatedAnswer(t *testing.T) {
	t.Parallel()
	s := open(t)
	const spoiled = 2
	for _, id := range s.workers() {
		s.Fleet().Server(id).With(func(w *fleet.Worker) { w.SetTruncating(spoiled) })
	}
	each(8, func(i int) { s.succeeds(0, "quick", fmt.Sprint("cut-", i), 10) })
	left := 0
	for _, id := range s.workers() {
		s.Fleet().Server(id).With(func(w *fleet.Worker) { left += w.Truncating() })
	}
	if left == spoiled*len(s.workers()) {
		t.Error("no answer was cut short")
	}
}
