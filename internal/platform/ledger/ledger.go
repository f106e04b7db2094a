package ledger

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Defaults of a ledger.
const (
	// Keep is how long the record of an ended job stays. A request id may be
	// used again for another request after that, not before.
	Keep = 24 * time.Hour
	// ClaimKeep is how long a record stays that shows no outcome and belongs to
	// no durable job.
	ClaimKeep = 7 * 24 * time.Hour
	// LargeAnswer is the length in bytes above which an answer goes to the
	// object store.
	LargeAnswer = 16 << 10
)

const (
	maxRounds    = 16   // conditional writes of one call that may lose a race
	maxUnsettled = 4096 // claims remembered that are not known
)

// Errors of the ledger. They are wrapped with the step and the job.
var (
	// ErrBase says that a configuration was based on another version than the
	// current one.
	ErrBase = errors.New("not based on the current version")
	// ErrOtherChange says that a change id was used before for another text.
	ErrOtherChange = errors.New("change id was used for another text")
	// ErrOtherRequest says that a request id was used before for another request.
	ErrOtherRequest = errors.New("request id was used for another request")
	// ErrEnded says that the job has an outcome already.
	ErrEnded = errors.New("job has ended")
	// ErrFenced says that a newer attempt or another outcome stands; the report
	// was dropped.
	ErrFenced = errors.New("fenced by what is recorded")
	// ErrContended says that other writers came first again and again.
	ErrContended = errors.New("lost the race for the row too often")
	// ErrDigest says that a body is not the one that was recorded.
	ErrDigest = errors.New("body does not match its digest")
	// ErrRow says that a row cannot be read.
	ErrRow = errors.New("row cannot be read")
)

// Ledger reads and writes the rows of one host. It is safe for use by several
// goroutines.
type Ledger struct {
	table   table.Table
	objects table.Objects // nil: large answers stay in their row
	self    string        // address and incarnation of this host; unique in time
	now     func() time.Time
	nonce   func() string         // unique for ever
	round   func(attempt int) int // never falls from an attempt to a later one
	keep    time.Duration
	large   int
	report  func(key string, err error)
	sleep   func(ctx context.Context, d time.Duration) error // between tries

	mu       sync.Mutex
	claims   map[target.Lease]*pendingClaim // being made, or not known
	givingUp map[job.ID]int                 // calls that say "not run" of the job now

	sweeping sync.Mutex // held by the one that sweeps; guards the two below
	sweptTo  string     // key after which the next Sweep begins
	marks    []mark     // made by this host, to be removed
}

// Option sets a property of a new ledger.
type Option func(*Ledger)

// WithObjects sends answers above LargeAnswer to the object store.
func WithObjects(o table.Objects) Option { return func(l *Ledger) { l.objects = o } }

// WithClock sets the clock, by default time.Now. It dates what is stored and
// does not bound waits.
func WithClock(now func() time.Time) Option { return func(l *Ledger) { l.now = now } }

// WithNonces sets the source of nonces, by default random UUIDs.
func WithNonces(next func() string) Option { return func(l *Ledger) { l.nonce = next } }

// WithRounds says which attempts exclude each other. Placers that do not know of
// each other number their attempts so that no two are alike; those of the same
// round are then the same attempt, of which only one may be claimed. By default
// each attempt is a round.
func WithRounds(of func(attempt int) int) Option { return func(l *Ledger) { l.round = of } }

// WithKeep sets how long records of ended jobs stay, by default Keep.
func WithKeep(d time.Duration) Option { return func(l *Ledger) { l.keep = d } }

// WithReport is told of each row that cannot be read and is passed over.
func WithReport(report func(key string, err error)) Option {
	return func(l *Ledger) { l.report = report }
}

// New returns the ledger of a host.
func New(t table.Table, self string, opts ...Option) *Ledger {
	l := &Ledger{
		table: t, self: self, now: time.Now, nonce: uuid.NewString, keep: Keep, large: LargeAnswer,
		round:  func(attempt int) int { return attempt },
		report: func(string, error) {}, sleep: sleep, claims: map[target.Lease]*pendingClaim{},
		givingUp: map[job.ID]int{},
	}
	for _, o := range opts {
		o(l)
	}
	return l
}

// write makes one conditional write and settles it if its answer is lost. It
// reports whether the row is this write's; if not, found is the row that stands
// in the way. Mine recognises this write's value, and must not recognise any
// other write's that decides otherwise.
//
// Settling by writing again is safe: both writes have the same condition, so at
// most one of them takes effect, also if the first one is still on its way; and
// a conflict shows the row as it is, where a read may show an older one.
func (l *Ledger) write(ctx context.Context, w table.Write, mine func([]byte) bool) (ok bool, found table.Row, err error) {
	pauses := l.pauses()
	unknown := false
	for {
		res, err := l.table.Apply(ctx, []table.Write{w})
		if err == nil {
			r := res[0]
			if r.Err == nil || errors.Is(r.Err, table.ErrConflict) && mine(r.Row.Value) {
				return true, r.Row, nil
			}
			if errors.Is(r.Err, table.ErrConflict) {
				return false, r.Row, nil
			}
			return false, table.Row{}, r.Err
		}
		// An answer that says neither that the write was refused nor that it
		// was done leaves it open, and so does a refusal of a second try.
		unknown = unknown || !errors.Is(err, table.ErrUnavailable) && !errors.Is(err, table.ErrConflict)
		if !unknown {
			return false, table.Row{}, err
		}
		if pauses.wait(ctx) != nil {
			return false, table.Row{}, notKnown(err)
		}
		if row, err := l.table.Get(ctx, w.Key); err == nil && row.Version > 0 && mine(row.Value) {
			return true, row, nil
		}
	}
}

func notKnown(err error) error {
	if errors.Is(err, table.ErrUnknown) {
		return err
	}
	return fmt.Errorf("%w: %w", table.ErrUnknown, err)
}

// pauses are the waits between the tries to settle a write.
type pauses struct {
	next  *backoff.ExponentialBackOff
	sleep func(ctx context.Context, d time.Duration) error
}

func (l *Ledger) pauses() pauses {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.Multiplier = 2
	b.MaxInterval = time.Second
	return pauses{next: b, sleep: l.sleep}
}

func (p pauses) wait(ctx context.Context) error { return p.sleep(ctx, p.next.NextBackOff()) }

// sleep waits. It fails at once if the context would end first: whoever waits
// gets the answer "not known" when that is certain, not later.
func sleep(ctx context.Context, d time.Duration) error {
	if until, ok := ctx.Deadline(); ok && time.Until(until) <= d {
		return context.DeadlineExceeded
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
