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
	// Successors returns hosts that watch this one and that have read the
	// leader row just now, by address, the most powerful first. least bounds the
	// power of those that count.
	Successors(ctx context.Context, least float64) []string
	// Rank returns how many hosts the last leader knew that come before this one,
	// and whether one of them has so many times its power.
	Rank(muchMore float64) (rank int, outpowered bool)
	// HandOver asks the host at an address to take the row over, and reports
	// whether it did.
	HandOver(ctx context.Context, address string, r Row, version int64) bool
}

// Lead is what a host does while it leads. It returns when the context ends, or
// earlier when it finds that a newer term has begun. clean tells that no other
// leader can have given an order since the row was taken over.
type Lead func(ctx context.Context, t *Term, clean bool) error

// Term is one time of leadership of this host.
type Term struct {
	number int64
	over   chan struct{} // closed when it ends
	mu     sync.Mutex
	wrote  time.Time // when the last write that took effect was sent
}

// Number returns the term, the fencing token of its orders.
func (t *Term) Number() int64 { return t.number }

// Over returns a channel that is closed when the term ends.
func (t *Term) Over() <-chan struct{} { return t.over }

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
	store     store.Store
	peer      Peer
	lead      Lead
	own       Row // term 0; holder and address of this host
	clock     steady.Clock
	draw      func(n int64) int64 // a random number from 0 up to n
	power     float64             // cores that this host has
	log       logr.Logger
	mu        sync.Mutex
	seen      Row
	version   int64         // of the row as seen
	changed   time.Time     // when this host first saw that version
	term      *Term         // nil while another host leads
	following bool          // another host leads, and this one could
	handed    chan handed   // terms that a leader handed over
	lookTook  time.Duration // what the last look at the row took
}

// Option sets one property of a new election.
type Option func(*Election)

// WithClock sets the clock by which leases are measured, by default the
// system's.
func WithClock(c steady.Clock) Option { return func(e *Election) { e.clock = c } }

// WithDraw sets what returns a random number from 0 up to n, by default that of
// math/rand.
func WithDraw(draw func(n int64) int64) Option { return func(e *Election) { e.draw = draw } }

// WithPower sets how many cores the host has; of hosts of unlike power the most
// powerful leads.
func WithPower(cores float64) Option { return func(e *Election) { e.power = cores } }

// New returns an election for the host with the name and the address for peers.
func New(s store.Store, p Peer, lead Lead, holder, address string, log logr.Logger, opts ...Option) *Election {
	e := &Election{store: s, peer: p, lead: lead, own: Row{Holder: holder, Address: address}, clock: steady.Now, draw: rand.Int64N, log: log, handed: make(chan handed)}
	for _, o := range opts {
		o(e)
	}
	return e
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
		e.setFollowing(true)
		following, stop := context.WithCancel(ctx)
		ripe := make(chan bool, 1)
		go func() { ripe <- e.follow(following) }()
		select {
		case h := <-e.handed:
			stop()
			<-ripe
			e.setFollowing(false)
			e.serve(ctx, h.term, h.row, h.version, true)
		case takes := <-ripe:
			e.setFollowing(false)
			if takes && ctx.Err() == nil {
				e.takeOver(ctx)
			}
		}
		stop()
	}
}

func (e *Election) setFollowing(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.following = on
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
	if err := e.Look(ctx); err != nil {
		e.log.V(1).Info("leader row not read", "error", err.Error())
		// Time during which the store does not answer does not count against
		// the leader: it cannot write its row either.
		e.restart()
		e.pause(ctx, Look)
		return false
	}
	if e.ripe() {
		return true
	}
	if now := e.Leader(); now.Term == row.Term && now.Holder == row.Holder {
		e.pause(ctx, Look)
	}
	return false
}

// pause waits between half and one and a half of d, so that hosts which lost the
// leader together do not ask together again and again.
func (e *Election) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d/2 + time.Duration(e.draw(int64(d)))):
	}
}

// Look reads the leader row.
func (e *Election) Look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	began := e.clock()
	found, err := store.Get(ctx, e.store, RowKey)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.lookTook = e.clock().Sub(began)
	e.mu.Unlock()
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
		e.changed = e.clock()
	}
	e.seen, e.version = r, version
}

// stands reports whether the row has not changed for Lease.
func (e *Election) stands() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock().Sub(e.changed) >= Lease
}

// restart begins to count anew how long the row stands still.
func (e *Election) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changed = e.clock()
}

// slowFactor is how many times what a look takes is added to the lease: a
// renewal is a transaction, which takes up to three times as long as a look.
const slowFactor = 4

// ripe reports whether the row may be taken over.
func (e *Election) ripe() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	// A store that is slow for this host is slow for the leader's writes, too.
	patience := Lease + slowFactor*e.lookTook
	if _, outpowered := e.peer.Rank(muchMore); outpowered {
		patience += outpoweredWait
	}
	return e.seen.over(e.own) || e.clock().Sub(e.changed) >= patience
}

// Figures of choosing among hosts of unlike power.
const (
	// rankDelay is how long a host lets each more powerful one go first: a row is
	// taken within two round trips to the store.
	rankDelay = 60 * time.Millisecond
	// mostRank bounds the wait where many more powerful hosts are lost together.
	mostRank = 10
	// outpoweredWait is how much longer a host waits that is much weaker than
	// another one: that one looks at the row as often as this.
	outpoweredWait = time.Second
	// muchMore is how many times more powerful another host must be for a leader
	// to hand over to it: that costs a tenth of a second without orders.
	muchMore = 1.5
	// yieldEvery is the time between two looks for such a host.
	yieldEvery = 2 * time.Second
)

// letFirst lets more powerful hosts go first, and reports whether the row may
// still be taken over then.
func (e *Election) letFirst(ctx context.Context) bool {
	rank, _ := e.peer.Rank(muchMore)
	rank = min(rank, mostRank)
	if rank == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(rank) * rankDelay):
	}
	return e.Look(ctx) == nil && e.ripe()
}

// takeOver tries to take the row, and leads if that succeeds.
func (e *Election) takeOver(ctx context.Context) {
	if !e.letFirst(ctx) {
		return
	}
	e.mu.Lock()
	before, version := e.seen, e.version
	e.mu.Unlock()
	if t, next, version, err := e.take(ctx, before, version); err == nil {
		e.serve(ctx, t, next, version, before.over(next))
		return
	}
	e.pause(ctx, Look/4)
}

// take raises the term of a row as it was seen and puts this host into it.
func (e *Election) take(ctx context.Context, before Row, version int64) (*Term, Row, int64, error) {
	next := e.own
	next.Term, next.Beat = before.Term+1, 1
	sent := e.clock()
	version, err := e.write(ctx, next, version)
	if err != nil {
		e.log.Info("leader row not taken", "term", next.Term, "error", err.Error())
		return nil, Row{}, 0, err
	}
	t := &Term{number: next.Term, wrote: sent, over: make(chan struct{})}
	e.begin(next, version, t)
	e.log.Info("leading", "term", next.Term, "before", before.Holder, "power", e.power)
	return t, next, version, nil
}

// Succeed takes the row over from a leader that has ceased to give orders and
// asks for it. It reports whether that succeeded.
func (e *Election) Succeed(ctx context.Context, r Row, version int64) bool {
	e.mu.Lock()
	wanted := e.term == nil && e.following && r.Term >= e.seen.Term
	e.mu.Unlock()
	if !wanted {
		return false
	}
	t, next, version, err := e.take(ctx, r, version)
	if err != nil {
		return false
	}
	select {
	case e.handed <- handed{t, next, version}:
		return true
	case <-time.After(callTime): // it ends, or took the row over by itself meanwhile
		return false
	}
}

// handed is a term that a leader handed over to this host.
type handed struct {
	term    *Term
	row     Row
	version int64
}

func (e *Election) begin(r Row, version int64, t *Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen, e.version, e.term, e.changed = r, version, t, e.clock()
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
	lost := make(chan error, 1)
	go func() {
		var err error
		version, err = e.keep(leading, t, &r, version)
		lost <- err
	}()
	done := make(chan error, 1)
	go func() { done <- e.lead(leading, t, clean) }()
	var err error
	select {
	case err = <-done:
		end()
		<-lost
	case err = <-lost:
		end()
		<-done
	}
	e.mu.Lock()
	e.term = nil
	e.mu.Unlock()
	close(t.over)
	e.log.Info("no longer leading", "term", t.number, "reason", fmt.Sprint(err))
	e.resign(ctx, r, version)
}

// errYield ends a term for the sake of a more powerful host.
var errYield = errors.New("a much more powerful host could lead")

// keep renews the row until the context or the term ends. It changes the row
// and returns its version as last written.
func (e *Election) keep(ctx context.Context, t *Term, r *Row, version int64) (int64, error) {
	tick := time.NewTicker(Renew)
	defer tick.Stop()
	yield := time.NewTicker(yieldEvery)
	defer yield.Stop()
	for {
		select {
		case <-ctx.Done():
			return version, ctx.Err()
		case <-yield.C:
			if e.power > 0 && len(e.peer.Successors(ctx, e.power*muchMore)) > 0 {
				return version, errYield
			}
		case <-tick.C:
			now, err := e.renew(ctx, t, r, version)
			if err != nil {
				return version, err
			}
			version = now
		}
	}
}

// renew writes the row again. An error says that the term has ended.
func (e *Election) renew(ctx context.Context, t *Term, r *Row, version int64) (int64, error) {
	sent := e.clock()
	next := *r
	next.Beat++
	v, err := e.write(ctx, next, version)
	if err == nil {
		*r = next
		t.write(sent)
		e.begin(next, v, t)
		return v, nil
	}
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	if seen := e.Leader(); seen.Term > t.number || (seen.Term == t.number && seen.Holder != r.Holder) {
		return 0, fmt.Errorf("term %d has begun: %w", seen.Term, err)
	}
	if !t.Valid(e.clock()) {
		return 0, fmt.Errorf("row not written for %s: %w", Grace, err)
	}
	if e.clock().Sub(t.written()) > Renew+Renew/2 && len(e.peer.Successors(ctx, 0)) > 0 {
		return version, fmt.Errorf("the store turns this host away and serves others: %w", err)
	}
	e.log.V(1).Info("leader row not renewed", "term", t.number, "error", err.Error())
	e.mu.Lock()
	found := e.version // read back, perhaps: an earlier lost write may have taken effect
	e.mu.Unlock()
	return max(version, found), nil
}

// resign has a peer take the row over, or gives it back, so that another host
// leads at once.
func (e *Election) resign(ctx context.Context, r Row, version int64) {
	if seen := e.Leader(); seen.Term > r.Term {
		return
	}
	ctx = context.WithoutCancel(ctx)
	for _, address := range e.peer.Successors(ctx, 0) {
		if e.peer.HandOver(ctx, address, r, version) {
			e.log.Info("handed over", "term", r.Term, "to", address)
			return
		}
	}
	gone := Row{Term: r.Term, Beat: r.Beat + 1}
	if _, err := e.write(ctx, gone, version); err != nil {
		e.log.V(1).Info("leader row not given back", "term", r.Term, "error", err.Error())
	}
	e.note(gone, 0)
}
