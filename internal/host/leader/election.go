package leader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/host/steady"
	"guavaglade.example/guavaglade/internal/platform/store"
)

// Peer asks the leader whether it still leads. The call is answered after a
// while, or fails when the leader's process has gone.
type Peer interface {
	Watch(ctx context.Context, address string, term int64) (Row, error)
}

// Lead is what a host does while it leads. It returns when the context ends, or
// earlier when it finds that a newer term has begun. clean tells that no other
// leader can have given an order since the row was taken over.
type Lead func(ctx context.Context, t *Term, clean bool) error

// Term is one time of leadership of this host.
type Term struct {
	number int64
	mu     sync.Mutex
	wrote  time.Time // when the last write that took effect was sent
}

// Number returns the term, the fencing token of its orders.
func (t *Term) Number() int64 { return t.number }

// Valid reports whether the leader may still give orders.
func (t *Term) Valid(now time.Time) bool { return now.Sub(t.written()) < Grace }

// Fresh reports whether the row was written so lately that nobody can have
// taken it over.
func (t *Term) Fresh(now time.Time) bool { return now.Sub(t.written()) < Lease }

func (t *Term) written() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wrote
}

func (t *Term) write(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wrote = at
}

// Election follows the leader row and leads when it is this host's turn.
type Election struct {
	store   store.Store
	peer    Peer
	lead    Lead
	own     Row // term 0; holder and address of this host
	log     logr.Logger
	mu      sync.Mutex
	seen    Row
	version int64     // of the row as seen
	changed time.Time // when this host first saw that version
	term    *Term     // nil while another host leads
}

// New returns an election for the host with the name and the address for peers.
func New(s store.Store, p Peer, lead Lead, holder, address string, log logr.Logger) *Election {
	return &Election{store: s, peer: p, lead: lead, own: Row{Holder: holder, Address: address}, log: log}
}

// Leader returns the leader as last seen; its holder is empty if none is known.
func (e *Election) Leader() Row {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen
}

// Own returns this host's term while it leads, else nil.
func (e *Election) Own() *Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term
}

// Run takes part until the context ends; a leader resigns then.
func (e *Election) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if e.follow(ctx) {
			e.takeOver(ctx)
		}
	}
}

// follow watches the leader, and reports whether its row may be taken over.
func (e *Election) follow(ctx context.Context) bool {
	row := e.Leader()
	if row.Holder != "" && row.Address != e.own.Address {
		next, err := e.peer.Watch(ctx, row.Address, row.Term)
		if err == nil {
			e.note(next, 0)
			if !e.stands() {
				return false
			}
		} else {
			e.log.V(1).Info("leader does not answer", "leader", row.Holder, "term", row.Term, "error", err.Error())
		}
	}
	if ctx.Err() != nil {
		return false
	}
	if err := e.look(ctx); err != nil {
		e.log.V(1).Info("leader row not read", "error", err.Error())
		// Time during which the store does not answer does not count against
		// the leader: it cannot write its row either.
		e.restart()
		pause(ctx, Look)
		return false
	}
	if e.ripe() {
		return true
	}
	if now := e.Leader(); now.Term == row.Term && now.Holder == row.Holder {
		pause(ctx, Look)
	}
	return false
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d/2 + time.Duration(rand.Int64N(int64(d)))):
	}
}

// look reads the leader row.
func (e *Election) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	found, err := store.Get(ctx, e.store, RowKey)
	if err != nil {
		return err
	}
	row, err := DecodeRow(found.Value)
	if err != nil {
		e.log.Error(err, "leader row", "step", "read", "version", found.Version)
	}
	e.note(row, found.Version)
	return nil
}

// note takes in the row as seen; version 0 stands for one told by the leader.
func (e *Election) note(r Row, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Term < e.seen.Term {
		return
	}
	if r.Term > e.seen.Term || r.Holder != e.seen.Holder {
		e.log.Info("leader", "holder", r.Holder, "term", r.Term, "address", r.Address)
	}
	if r != e.seen {
		e.changed = steady.Now()
	}
	e.seen, e.version = r, version
}

// stands reports whether the row has not changed for Lease.
func (e *Election) stands() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return steady.Now().Sub(e.changed) >= Lease
}

// restart begins to count anew how long the row stands still.
func (e *Election) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changed = steady.Now()
}

// ripe reports whether the row may be taken over.
func (e *Election) ripe() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen.over(e.own) || steady.Now().Sub(e.changed) >= Lease
}

// takeOver tries to take the row, and leads if that succeeds.
func (e *Election) takeOver(ctx context.Context) {
	e.mu.Lock()
	next := e.own
	next.Term, next.Beat = e.seen.Term+1, 1
	version, before := e.version, e.seen
	e.mu.Unlock()
	sent := steady.Now()
	version, err := e.write(ctx, next, version)
	if err != nil {
		e.log.Info("leader row not taken", "term", next.Term, "error", err.Error())
		pause(ctx, Look/4)
		return
	}
	term := &Term{number: next.Term, wrote: sent}
	e.begin(next, version, term)
	e.log.Info("leading", "term", next.Term, "before", before.Holder)
	e.serve(ctx, term, next, version, before.over(next))
}

func (e *Election) begin(r Row, version int64, t *Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen, e.version, e.term, e.changed = r, version, t, steady.Now()
}

// write writes the row over the version and settles a lost answer by reading it
// back. It returns the row's version.
func (e *Election) write(ctx context.Context, r Row, version int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	res, err := e.store.Commit(ctx, store.Tx{
		Expect: []store.Expect{{Key: RowKey, Version: version}},
		Put:    []store.Put{{Key: RowKey, Value: r.encode()}},
	})
	if err == nil {
		return res.Version, nil
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
		return 0, err
	}
	found, readErr := store.Get(ctx, e.store, RowKey)
	if readErr != nil {
		return 0, fmt.Errorf("%w; read back: %w", err, readErr)
	}
	there, decodeErr := DecodeRow(found.Value)
	if decodeErr == nil && there == r {
		return found.Version, nil
	}
	e.note(there, found.Version)
	return 0, err
}

// serve leads and renews the row until the term ends.
func (e *Election) serve(ctx context.Context, t *Term, r Row, version int64, clean bool) {
	leading, end := context.WithCancel(ctx)
	defer end()
	done := make(chan error, 1)
	go func() { done <- e.lead(leading, t, clean) }()
	tick := time.NewTicker(Renew)
	defer tick.Stop()
	var err error
	for running := true; running; {
		select {
		case err = <-done:
			running = false
		case <-tick.C:
			if version, err = e.renew(ctx, t, &r, version); err != nil {
				end()
				<-done
				running = false
			}
		}
	}
	e.mu.Lock()
	e.term = nil
	e.mu.Unlock()
	e.log.Info("no longer leading", "term", t.number, "reason", fmt.Sprint(err))
	e.resign(ctx, r, version)
}

// renew writes the row again. An error says that the term has ended.
func (e *Election) renew(ctx context.Context, t *Term, r *Row, version int64) (int64, error) {
	sent := steady.Now()
	next := *r
	next.Beat++
	v, err := e.write(ctx, next, version)
	if err == nil {
		*r = next
		t.write(sent)
		e.begin(next, v, t)
		return v, nil
	}
	if seen := e.Leader(); seen.Term > t.number || (seen.Term == t.number && seen.Holder != r.Holder) {
		return 0, fmt.Errorf("term %d has begun: %w", seen.Term, err)
	}
	if !t.Valid(steady.Now()) {
		return 0, fmt.Errorf("row not written for %s: %w", Grace, err)
	}
	e.log.V(1).Info("leader row not renewed", "term", t.number, "error", err.Error())
	e.mu.Lock()
	found := e.version // read back, perhaps: an earlier lost write may have taken effect
	e.mu.Unlock()
	return max(version, found), nil
}

// resign gives the row back, so that another host leads at once.
func (e *Election) resign(ctx context.Context, r Row, version int64) {
	ctx = context.WithoutCancel(ctx)
	gone := Row{Term: r.Term, Beat: r.Beat + 1}
	if _, err := e.write(ctx, gone, version); err != nil {
		e.log.V(1).Info("leader row not given back", "term", r.Term, "error", err.Error())
	}
	e.note(gone, 0)
}
