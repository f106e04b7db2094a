package admission

import (
	"errors"
	"net"
	"os"
	"time"
)

// Memory that a received byte can take. Both are upper bounds, for heads that consist of fields
// of a few bytes and for bodies that consist of numbers of one digit.
const (
	headByteCost = 32
	bodyByteCost = 16
	// messageByteCost is that of a byte in a JSON decoder, whose buffer doubles, with the copy
	// of it that is passed on.
	messageByteCost = 4
	// readAhead is the size of the buffer in which the library may hold the next request.
	readAhead = 4 << 10
	// retained is what a decoded request is charged, in bytes.
	retained = 16 << 10
)

// phase is what a connection waits for.
type phase int

const (
	awaiting  phase = iota // the first byte of the next message
	receiving              // the rest of a message
)

// Conn is a connection that a gate has admitted. Its methods may be called on nil, which stands
// for a connection that no gate has admitted.
type Conn struct {
	net.Conn
	gate *Gate
	// The fields below are guarded by the gate's lock.
	phase      phase
	since      time.Time // when the phase began
	deadline   time.Time // of reading, in this phase; zero: none
	evicted    reason    // empty: not evicted
	byteCost   int64     // charged for each byte received
	owed       int64     // bytes, what the message that is being received costs
	charged    int64     // bytes, at least forCalls
	forCalls   int64     // bytes, what calls in progress are charged
	inProgress int       // requests or calls that are being handled
	writing    time.Time // when the write in progress began; zero: none
	closed     bool
}

// Of returns the admitted connection below a connection, such as one of TLS; nil: none.
func Of(c net.Conn) *Conn {
	for {
		switch x := c.(type) {
		case *Conn:
			return x
		case interface{ NetConn() net.Conn }:
			c = x.NetConn()
		default:
			return nil
		}
	}
}

// Read implements net.Conn. It returns what it has read once the connection is charged for it,
// and an error that wraps ErrRefused if the connection is refused.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if refused := c.received(int64(n)); refused != nil {
			return 0, refused
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if why := c.expired(); why != "" {
			return n, refusal{why}
		}
	}
	return n, err
}

// Write implements net.Conn. It fails if the peer does not take the bytes in time: a message in
// progress would otherwise never end.
func (c *Conn) Write(p []byte) (int, error) {
	now := time.Now()
	if err := c.Conn.SetWriteDeadline(deadline(now, c.gate.writeTimeout)); err != nil {
		return 0, err
	}
	c.setWriting(now)
	defer c.setWriting(time.Time{})
	return c.Conn.Write(p)
}

// setWriting notes when a write began, or the zero time at its end.
func (c *Conn) setWriting(t time.Time) {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.writing = t
}

// CloseWrite closes the writing side, if the connection has one. The library does so before it
// closes a connection on which a request was not read whole, so that its answer is not lost.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// received charges the connection for bytes of a message.
func (c *Conn) received(n int64) error {
	g := c.gate
	g.mu.Lock()
	if c.phase == awaiting {
		c.owed = 0
		c.enter(receiving, g.timeouts().Header)
	}
	c.owed += n * c.byteCost
	more := c.owed - (c.charged - c.forCalls)
	g.mu.Unlock()
	if more <= 0 {
		return nil
	}
	return g.reserve(c, more)
}

// expired returns why the connection is refused after a deadline has passed; empty: it is not,
// as between two messages.
func (c *Conn) expired() reason {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.evicted != "" || c.phase == awaiting || c.deadline.IsZero() || time.Now().Before(c.deadline) {
		return c.evicted
	}
	c.gate.refusals.add(reasonTimeout, remoteIP(c))
	return reasonTimeout
}

// enter begins a phase with a timeout.
func (c *Conn) enter(p phase, timeout time.Duration) {
	c.phase, c.since = p, time.Now()
	if c.evicted == "" {
		c.setDeadline(deadline(c.since, timeout))
	}
}

// setDeadline sets the deadline of the phase.
func (c *Conn) setDeadline(t time.Time) {
	c.deadline = t
	_ = c.Conn.SetReadDeadline(t) // it fails only on a closed connection
}

// SetReadDeadline implements net.Conn. The deadline of the phase stays in force.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.deadline.IsZero() && (t.IsZero() || c.deadline.Before(t)) {
		t = c.deadline
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn, like SetReadDeadline.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	g := c.gate
	g.mu.Lock()
	if !c.closed {
		c.closed = true
		delete(g.conns, c)
		g.sockets.Closed()
		if c.evicted != "" {
			g.closing--
		}
		if c.inProgress > 0 {
			g.serving--
		}
		g.release(c, c.charged)
	}
	g.mu.Unlock()
	return c.Conn.Close()
}

// EndMessage notes that a whole message was received, and that the next one is awaited. What
// the largest message was charged stays, since a decoder keeps its buffer.
func (c *Conn) EndMessage() {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.enter(awaiting, c.gate.timeouts().Idle)
}

// BeginCall charges the connection for a call in progress. It waits like a read, and its error
// wraps ErrRefused. EndCall must be called with the same cost in bytes if there is no error.
func (c *Conn) BeginCall(cost int64) error {
	if c == nil {
		return nil
	}
	if err := c.gate.reserve(c, cost); err != nil {
		return err
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	c.forCalls += cost
	c.begin()
	return nil
}

// EndCall ends the charge for a call.
func (c *Conn) EndCall(cost int64) {
	if c == nil {
		return
	}
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.closed {
		return
	}
	c.end()
	c.forCalls -= cost
	c.gate.release(c, cost)
}

// begin counts a request or call in progress.
func (c *Conn) begin() {
	if c.inProgress++; c.inProgress == 1 && !c.closed {
		c.gate.serving++
	}
}

// end ends the count of a request or call in progress.
func (c *Conn) end() {
	if c.inProgress--; c.inProgress == 0 {
		c.since = time.Now()
		if !c.closed {
			c.gate.serving--
		}
	}
}

// endHead notes that the head of a request was received. The time of the request still counts
// from its first byte.
func (c *Conn) endHead() {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed || c.evicted != "" {
		return
	}
	now := time.Now()
	if c.phase == awaiting { // the library had read the head together with the request before
		c.phase, c.since, c.owed = receiving, now, readAhead*headByteCost
		c.charged += c.owed
		g.used += c.owed
	}
	c.byteCost = bodyByteCost
	c.setDeadline(deadline(now, g.timeouts().Body))
}

// endRequest notes that a request was received whole. It is in progress until endResponse.
func (c *Conn) endRequest() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.phase == receiving && c.evicted == "" {
		c.enter(awaiting, 0)
	}
	if c.inProgress == 0 {
		c.begin()
	}
}

// decoded reduces the charge of a request to what is kept of it.
func (c *Conn) decoded() {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if !c.closed && c.charged > retained {
		c.gate.release(c, c.charged-retained)
	}
}

// endResponse notes that a request was answered, and that the next one is awaited.
func (c *Conn) endResponse() {
	g := c.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.closed {
		return
	}
	if c.inProgress > 0 {
		c.end()
	}
	g.release(c, c.charged)
	c.byteCost = g.byteCost
	c.enter(awaiting, g.timeouts().Idle)
}
