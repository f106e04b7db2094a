package admission

import (
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

const (
	// grace is the time in which a message may arrive before its connection is closed for want
	// of memory. Callers within the limits need a fraction of it, also on the narrowest link.
	grace = time.Second
	// smallMessage is the charge up to which a connection may use all of the memory, in bytes.
	// Larger ones leave largeShare of it, so that they cannot keep out ordinary requests.
	smallMessage = 256 << 10
	largeShare   = 4
	// closingShare is the share of the connections that may be closing beyond their number.
	closingShare = 8
)

// Timeouts bound how long a connection may take; 0: not bounded.
type Timeouts struct {
	Header time.Duration // for the head of a request, or a whole message of a peer
	Body   time.Duration // for the body of a request
	Idle   time.Duration // between two messages
}

// Gate admits the connections to one listener. It is safe for concurrent use.
type Gate struct {
	name         string
	budget       Budget
	timeouts     func() Timeouts
	headerBytes  func() int
	writeTimeout time.Duration
	byteCost     int64 // charged for each byte at the start of a message
	maxRequests  int   // requests that may be in progress at once
	sockets      *Sockets
	metrics      tally.Scope
	refusals     *refusals
	mu           sync.Mutex
	conns        map[*Conn]struct{}
	closing      int           // of conns, evicted and not closed yet
	serving      int           // of conns, with a message in progress
	used         int64         // bytes, the sum over conns of what they are charged
	waiting      int           // reservations that wait for memory
	changed      chan struct{} // closed when memory is released or a connection evicted
	open         tally.Gauge
	memory       tally.Gauge
}

// Option sets one property of a new gate.
type Option func(*Gate)

// WithTimeouts sets the function that returns the timeouts, which is called for each message.
// The default is 10 s for a head or a message, 10 s for a body, and none between two messages.
func WithTimeouts(f func() Timeouts) Option { return func(g *Gate) { g.timeouts = f } }

// WithHeaderBytes sets the function that returns the largest size of a request's head in bytes,
// 0 for headerCeiling. It is called for each request.
func WithHeaderBytes(f func() int) Option { return func(g *Gate) { g.headerBytes = f } }

// WithWriteTimeout sets the time within which a peer must take what is written to it at once.
// The default is 10 s.
func WithWriteTimeout(d time.Duration) Option { return func(g *Gate) { g.writeTimeout = d } }

// WithMaxRequests sets the number of requests that may be in progress at once. The default is
// three quarters of the connections; the rest is for requests that are being received.
func WithMaxRequests(n int) Option { return func(g *Gate) { g.maxRequests = n } }

// WithSockets sets the count of sockets that the gate shares with others.
func WithSockets(s *Sockets) Option { return func(g *Gate) { g.sockets = s } }

// WithMetrics sets the scope of the metrics.
func WithMetrics(scope tally.Scope) Option { return func(g *Gate) { g.metrics = scope } }

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(g *Gate) { g.refusals.log = log } }

// withMessages sets the cost of a byte for messages that are not HTTP requests.
func withMessages() Option { return func(g *Gate) { g.byteCost = messageByteCost } }

// New returns a gate for connections that carry HTTP requests. Its name stands in logs and
// metrics.
func New(name string, b Budget, opts ...Option) *Gate {
	const timeout = 10 * time.Second
	g := &Gate{
		name: name, budget: b, maxRequests: b.connections - b.connections/4, writeTimeout: timeout, byteCost: headByteCost, metrics: tally.NoopScope,
		timeouts: func() Timeouts { return Timeouts{Header: timeout, Body: timeout} }, headerBytes: func() int { return 0 },
		refusals: newRefusals(name, logr.Discard()), conns: map[*Conn]struct{}{}, changed: make(chan struct{}),
	}
	for _, o := range opts {
		o(g)
	}
	g.metrics = g.metrics.Tagged(map[string]string{"listener": name})
	g.open, g.memory = g.metrics.Gauge("connections"), g.metrics.Gauge("message_memory_bytes")
	g.refusals.metrics = g.metrics
	return g
}

// NewForPeers returns a gate for connections that carry calls of other hosts.
func NewForPeers(name string, b Budget, opts ...Option) *Gate {
	return New(name, b, append(opts, withMessages())...)
}

// Listener returns a listener whose connections the gate has admitted. It closes those that it
// refuses.
func (g *Gate) Listener(l net.Listener) net.Listener { return listener{l, g} }

// listener implements net.Listener.
type listener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection that the gate admits.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if admitted := l.gate.admit(c); admitted != nil {
			return admitted, nil
		}
		_ = c.Close()
	}
}

// admit returns the admitted connection, or nil if it is refused. If there are too many, it
// evicts another one. Refusing the newest would keep out ordinary callers for as long as stalled
// connections stay open.
func (g *Gate) admit(c net.Conn) *Conn {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns)-g.closing >= g.budget.connections || g.sockets.Full() {
		victim := g.idlest(now)
		if victim == nil || g.closing > g.budget.connections/closingShare {
			g.refusals.add(reasonConnections, remoteIP(c))
			return nil
		}
		g.evict(victim, reasonConnections)
	}
	admitted := &Conn{Conn: c, gate: g, phase: receiving, since: now, byteCost: g.byteCost}
	g.conns[admitted] = struct{}{}
	g.sockets.Opened()
	admitted.setDeadline(deadline(now, g.timeouts().Header))
	g.report()
	return admitted
}

// idlest returns the connection to evict for a new one: one whose peer does not take its answer,
// else that which has sent part of a message for longest, if for longer than grace, else the one
// that has been idle for longest, else the former; nil if a message is in progress on each.
func (g *Gate) idlest(now time.Time) *Conn {
	if unread := g.unread(now); unread != nil {
		return unread
	}
	stalled := g.oldest(func(c *Conn) bool { return c.phase == receiving })
	if stalled != nil && now.Sub(stalled.since) >= grace {
		return stalled
	}
	if idle := g.oldest(func(c *Conn) bool { return c.phase == awaiting }); idle != nil {
		return idle
	}
	return stalled
}

// unread returns a connection whose peer has not taken an answer for longer than grace, nil if
// there is none.
func (g *Gate) unread(now time.Time) *Conn {
	for c := range g.conns {
		if c.evicted == "" && !c.writing.IsZero() && now.Sub(c.writing) >= grace {
			return c
		}
	}
	return nil
}

// oldest returns the connection without a message in progress that has been in its phase for
// longest, of those that match.
func (g *Gate) oldest(match func(*Conn) bool) *Conn {
	var oldest *Conn
	for c := range g.conns {
		if c.evicted == "" && c.inProgress == 0 && match(c) && (oldest == nil || c.since.Before(oldest.since)) {
			oldest = c
		}
	}
	return oldest
}

// evict makes the next read of a connection and a write that lasts fail, after which its server
// closes it.
func (g *Gate) evict(c *Conn, why reason) {
	c.evicted = why
	g.closing++
	now := time.Now()
	c.setDeadline(now)
	if !c.writing.IsZero() {
		_ = c.Conn.SetWriteDeadline(now) // it fails only on a closed connection
	}
	g.refusals.add(why, remoteIP(c))
	g.notify()
}

// reserve charges a connection. While the memory is used up, it evicts connections that have
// stalled for longer than grace, and waits. It fails once the connection is evicted itself, or at
// the deadline of its message.
func (g *Gate) reserve(c *Conn, bytes int64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	for {
		switch {
		case c.closed:
			return net.ErrClosed
		case c.evicted != "":
			return refusal{c.evicted}
		}
		if g.fits(c, bytes) {
			c.charged += bytes
			g.used += bytes
			g.report()
			return nil
		}
		now := time.Now()
		if !c.deadline.IsZero() && !now.Before(c.deadline) {
			g.refusals.add(reasonMemory, remoteIP(c))
			return refusal{reasonMemory}
		}
		wait := grace
		if v := g.oldest(func(v *Conn) bool { return v != c && v.charged > 0 }); v != nil {
			if wait = grace - now.Sub(v.since); wait <= 0 {
				g.evict(v, reasonMemory)
				wait = grace // until it is closed
			}
		}
		if !c.deadline.IsZero() {
			wait = min(wait, c.deadline.Sub(now))
		}
		g.await(wait)
	}
}

// fits reports whether a connection may be charged for more bytes. A message that is the only
// one always fits.
func (g *Gate) fits(c *Conn, bytes int64) bool {
	limit := g.budget.memory
	if c.charged+bytes > smallMessage {
		limit = g.budget.largest()
	}
	return g.used+bytes <= limit || g.used == c.charged
}

// await releases the lock until memory is released or the time has passed.
func (g *Gate) await(d time.Duration) {
	changed := g.changed
	g.waiting++
	g.mu.Unlock()
	timer := time.NewTimer(d)
	select {
	case <-changed:
	case <-timer.C:
	}
	timer.Stop()
	g.mu.Lock()
	g.waiting--
}

// release ends the charge of a connection for a number of bytes.
func (g *Gate) release(c *Conn, bytes int64) {
	c.charged -= bytes
	g.used -= bytes
	g.notify()
	g.report()
}

// notify wakes those that wait for memory.
func (g *Gate) notify() {
	if g.waiting == 0 {
		return
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// report updates the gauges.
func (g *Gate) report() {
	g.open.Update(float64(len(g.conns)))
	g.memory.Update(float64(g.used))
}

// deadline returns the time after a duration, zero for none.
func deadline(from time.Time, d time.Duration) time.Time {
	if d <= 0 {
		return time.Time{}
	}
	return from.Add(d)
}
