package dispatcher

import (
	"context"
	"fmt"
	"sync"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/dispatch"
)

// errWithdrawn is returned for a start that was not sent, since it was withdrawn or its run was stopped
// while it waited for its turn.
var errWithdrawn = fmt.Errorf("withdrawn while it waited: %w", order.ErrWithheld)

// waitingStarts holds the starts that wait to be sent. A stop withdraws the start of its run: sent
// after the stop, it could still be executed long after the stop was decided. So does a change of its
// target by which it would not be decided now. The zero value is empty. It is safe for concurrent use.
type waitingStarts struct {
	mu    sync.Mutex
	byRun map[startKey]*waitingStart
}

// startKey identifies a run on a target.
type startKey struct {
	target string
	run    order.Run
}

// waitingStart is a start that waits to be sent.
type waitingStart struct {
	of     *waitingStarts
	key    startKey
	ctx    context.Context // ends when the start is withdrawn
	cancel context.CancelFunc
}

// add adds a start, which waits until its take is called or a context ends.
func (s *waitingStarts) add(ctx context.Context, c dispatch.Start) *waitingStart {
	w := &waitingStart{of: s, key: startKey{c.Target.ID, c.Order.Run}}
	w.ctx, w.cancel = context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRun == nil {
		s.byRun = map[startKey]*waitingStart{}
	}
	s.byRun[w.key] = w
	return w
}

// withdraw withdraws the start of a run, if one waits.
func (s *waitingStarts) withdraw(target string, r order.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.byRun[startKey{target, r}]; w != nil {
		delete(s.byRun, w.key)
		w.cancel()
	}
}

// end removes the start, if it still waits.
func (w *waitingStart) end() {
	w.take()
	w.cancel()
}

// take ends the wait of a start, and reports whether it may be sent: false if it was withdrawn.
func (w *waitingStart) take() bool {
	w.of.mu.Lock()
	defer w.of.mu.Unlock()
	if w.of.byRun[w.key] != w {
		return false
	}
	delete(w.of.byRun, w.key)
	return true
}
