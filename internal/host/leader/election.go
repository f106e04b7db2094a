package leader

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"guavaglade.example/guavaglade/internal/host/boottime"
	"guavaglade.example/guavaglade/internal/platform/store"
)

// Peers calls the other hosts.
type Peers interface {
	// Watch asks the host at an address whether it still leads in a term, and returns the
	// leader row that the host knows. A leader answers after a delay. The call fails if the
	// host's process is gone, or if it does not lead and knows of no newer term.
	Watch(ctx context.Context, address string, w Watch) (Answer, error)
	// Candidates returns the addresses of hosts with at least minCores cores that
	// watch this host and have just read the leader row, ordered by cores, largest
	// first.
	Candidates(ctx context.Context, minCores float64) []string
	// Rank returns how many of the hosts that the last leader listed precede this
	// one, and whether the largest of them has at least ratio times this host's cores.
	Rank(ratio float64) (rank int, muchLarger bool)
	// TransferLeadership asks the host at an address to take over the row r at the
	// given version, and reports whether it did.
	TransferLeadership(ctx context.Context, address string, r Row, version int64) bool
}

// Watch is what a host tells a leader that it watches.
type Watch struct {
	Term int64 // of the leader, as the host knows
	// Mark is that of the leader's last answer; 0: there was none. The leader may act for longer since that
	// answer has arrived: if the host takes over, it awaits leases for as long from its arrival on.
	Mark int64
}

// Answer is the answer to a watch.
type Answer struct {
	Row  Row
	Mark int64 // time of the answer on the leader's clock, in a unit of its own; 0: the host does not lead
}

// Lead is called when a term of this host begins. It returns when the context ends, or
// earlier if it finds that a newer term has begun. earlier says until when leaders of earlier
// terms may act.
type Lead func(ctx context.Context, t *Term, earlier Predecessors) error

// Election follows the leader row, and leads while this host holds it.
type Election struct {
	store       store.Store
	peers       Peers
	lead        Lead
	own         Row // term 0, with the holder and address of this host
	clock       boottime.Clock
	randN       func(n int64) int64  // a random number in [0, n)
	latency     func() time.Duration // how long calls to the store take
	cores       float64              // of this host
	lease       time.Duration        // longest that a target grants
	acting      time.Duration        // for which a leader may act without the store or a word from its watchers
	startedAt   time.Time            // marks count from then
	log         logr.Logger
	mu          sync.Mutex
	row         Row       // leader row as last read, written or reported by a peer
	version     int64     // of row in the store; 0 if a peer reported the row
	contact     contact   // with the leader that the row names
	changedAt   time.Time // when this host first saw the row, or last reset the lease
	mark        int64     // in the last answer of the leader of markTerm
	markTerm    int64
	storeDownAt time.Time     // when the store last became unavailable to this host
	term        *Term         // nil while another host leads
	following   bool          // another host leads, and this one could
	transfers   chan transfer // terms that a leader transferred to this host
	readTime    time.Duration // duration of the last successful read of the row
}

// Option sets one property of a new election.
type Option func(*Election)

// WithClock sets the clock that measures leases. The default is the system's boot-time
// clock.
func WithClock(c boottime.Clock) Option { return func(e *Election) { e.clock = c } }

// WithRandom sets the source of random numbers in [0, n). The default is that of
// math/rand.
func WithRandom(randN func(n int64) int64) Option { return func(e *Election) { e.randN = randN } }

// WithCores sets the number of cores of this host. Hosts with more cores take precedence
// in leading.
func WithCores(cores float64) Option { return func(e *Election) { e.cores = cores } }

// WithStoreLatency sets the function that returns how long calls to the store take. Without it,
// they are taken to be slow.
func WithStoreLatency(f func() time.Duration) Option { return func(e *Election) { e.latency = f } }

// WithLease sets the longest lease that a leader grants, and the longest that a target does, which leaders of
// earlier versions grant. The default of both is Grace.
func WithLease(granted, longest time.Duration) Option {
	return func(e *Election) { e.lease, e.acting = longest, min(max(granted, minActing), Grace) }
}

// New returns an election for the host with the given holder name and address for
// peers.
func New(s store.Store, p Peers, lead Lead, holder, address string, log logr.Logger, opts ...Option) *Election {
	e := &Election{store: s, peers: p, lead: lead, own: Row{Holder: holder, Address: address}, clock: boottime.Now, randN: rand.Int64N, log: log, transfers: make(chan transfer), latency: func() time.Duration { return storeTimeout }, lease: Grace, acting: Grace}
	for _, o := range opts {
		o(e)
	}
	e.startedAt = e.clock()
	return e
}

// Watched records that the host at an address watches this one, if this one leads in the term that
// the watch names.
func (e *Election) Watched(address string, w Watch) {
	t, now := e.OwnTerm(), e.clock()
	if t == nil || t.number != w.Term {
		return
	}
	answeredAt := time.Time{}
	if at := e.startedAt.Add(time.Duration(w.Mark) * time.Millisecond); w.Mark > 0 && !at.After(now) {
		answeredAt = at
	}
	t.watched(address, answeredAt, now)
}

// Mark returns the Answer.Mark of an answer that is sent now.
func (e *Election) Mark() int64 { return max(e.clock().Sub(e.startedAt).Milliseconds(), 1) }

// Leader returns the last known leader row. Its holder is empty if no leader is known.
func (e *Election) Leader() Row {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.row
}

// OwnTerm returns the term of this host while it leads, and nil otherwise.
func (e *Election) OwnTerm() *Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.term
}

// Run takes part in the election until the context ends. A leader resigns then, and Run
// returns after that.
func (e *Election) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.setFollowing(true)
		following, stop := context.WithCancel(ctx)
		followed := make(chan bool, 1)
		go func() { followed <- e.follow(following) }()
		select {
		case t := <-e.transfers:
			stop()
			<-followed
			e.setFollowing(false)
			e.serveTerm(ctx, t.term, t.row, t.version, t.earlier)
		case takeOver := <-followed:
			e.setFollowing(false)
			if takeOver && ctx.Err() == nil {
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
