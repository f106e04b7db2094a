package ticket

import (
	"crypto/hmac"
	"fmt"
	"io"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/target"
	"guavaglade.example/guavaglade/internal/work/job"
)

// Bounds of a book.
const (
	// KeepFor is how long a spent ticket is remembered at least, so that its
	// job can still ask for the leave to start.
	KeepFor  = 15 * time.Minute
	Capacity = 10000 // spent tickets remembered, unless set otherwise
	keySize  = 32    // bytes
)

// Book issues and spends the tickets of one incarnation of a host. Make it with
// New. It is not safe for use by several goroutines.
type Book struct {
	host        string
	incarnation int64
	key         []byte // never leaves the process
	capacity    int
	last        int64            // serial issued last
	spent       map[int64]*spent // by serial; at most capacity
	sweepAt     time.Time        // when the oldest spent ticket can be forgotten
}

type spent struct {
	job    job.ID
	start  target.Lease // the attempt that has leave to start; zero before
	by     string       // the placer that has it
	forget time.Time    // never before the ticket's deadline
}

// Option sets one property of a new book.
type Option func(*Book)

// WithCapacity bounds how many spent tickets are remembered.
func WithCapacity(n int) Option { return func(b *Book) { b.capacity = n } }

// New returns the book of a host's incarnation. The key is read from random,
// which must be a source that cannot be guessed.
func New(host string, incarnation int64, random io.Reader, opts ...Option) (*Book, error) {
	b := &Book{
		host: host, incarnation: incarnation, key: make([]byte, keySize),
		capacity: Capacity, spent: map[int64]*spent{},
	}
	if _, err := io.ReadFull(random, b.key); err != nil {
		return nil, fmt.Errorf("make the key of tickets: %w", err)
	}
	for _, o := range opts {
		o(b)
	}
	return b, nil
}

// Issue returns the text of a new ticket that the account may spend before the
// deadline.
func (b *Book) Issue(account string, deadline time.Time) (string, error) {
	b.last++
	return Ticket{b.host, b.incarnation, b.last, account, deadline}.sign(b.key)
}

// Spend binds the ticket to the account's job. fresh is false if the same job
// spent it before: its state is then to be told, and nothing is to be started.
// The error wraps one of this package's and says that nothing was spent; the
// request is then refused as not run.
func (b *Book) Spend(text, account string, id job.ID, now time.Time) (fresh bool, err error) {
	t, err := b.check(text, account)
	if err != nil {
		return false, err
	}
	if s, ok := b.spent[t.serial]; ok {
		if s.job != id {
			return false, fmt.Errorf("spend ticket %d for %s: %w", t.serial, id, ErrSpent)
		}
		return false, nil
	}
	if !now.Before(t.deadline) {
		return false, fmt.Errorf("spend ticket %d for %s: %w", t.serial, id, ErrExpired)
	}
	b.sweep(now)
	if len(b.spent) >= b.capacity {
		return false, fmt.Errorf("spend ticket %d for %s: %w", t.serial, id, ErrFull)
	}
	s := &spent{job: id, forget: t.deadline}
	if keep := now.Add(KeepFor); keep.After(s.forget) {
		s.forget = keep
	}
	b.spent[t.serial] = s
	return true, nil
}

// Claim gives one attempt of one placer leave to start the job that spent the
// ticket. It answers true again to the same attempt and placer, and false to
// every other, so that two placers cannot both start it.
func (b *Book) Claim(text string, l target.Lease, by string) (won bool, err error) {
	t, err := b.verify(text)
	if err != nil {
		return false, err
	}
	s, ok := b.spent[t.serial]
	if !ok || s.job != l.Job {
		return false, nil
	}
	if s.by == "" {
		s.start, s.by = l, by
	}
	return s.start == l && s.by == by, nil
}

// Spent returns how many spent tickets are remembered.
func (b *Book) Spent() int { return len(b.spent) }

func (b *Book) check(text, account string) (Ticket, error) {
	t, err := b.verify(text)
	if err != nil {
		return Ticket{}, err
	}
	if t.account != account {
		return Ticket{}, fmt.Errorf("spend ticket %d for account %s: %w", t.serial, account, ErrForged)
	}
	return t, nil
}

// verify checks who issued the ticket and its signature. An earlier incarnation
// had another key; it is told apart, since its ticket was honest and is dead.
func (b *Book) verify(text string) (Ticket, error) {
	t, payload, signature, err := split(text)
	if err != nil {
		return Ticket{}, err
	}
	if t.host != b.host || t.incarnation != b.incarnation {
		return Ticket{}, fmt.Errorf("ticket of %s, incarnation %d: %w", t.host, t.incarnation, ErrElsewhere)
	}
	if !hmac.Equal(signature, mac(b.key, payload)) {
		return Ticket{}, fmt.Errorf("ticket of %s: signature: %w", t.host, ErrForged)
	}
	return t, nil
}

// sweep forgets what may be forgotten. It looks through the book only when
// something in it is due.
func (b *Book) sweep(now time.Time) {
	if now.Before(b.sweepAt) {
		return
	}
	b.sweepAt = now.Add(KeepFor)
	for serial, s := range b.spent {
		if !now.Before(s.forget) {
			delete(b.spent, serial)
		} else if s.forget.Before(b.sweepAt) {
			b.sweepAt = s.forget
		}
	}
}
