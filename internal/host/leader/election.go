package leader

import (
	"context"
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
	changed   time.Time     // when this host first saw that version, or began to count anew
	lostAt    time.Time     // when the store ceased to serve this host last
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
