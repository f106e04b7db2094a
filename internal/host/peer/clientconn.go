package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// clientConn is a connection that this host dialed. It records when a message last arrived.
type clientConn struct {
	*jsonrpc2.Conn
	lastReceived atomic.Pointer[time.Time] // nil: never
}

// newClientConn starts JSON-RPC on a connection that this host dialed.
func (t *Transport) newClientConn(c net.Conn) *clientConn {
	conn := &clientConn{}
	conn.Conn = t.newConn(jsonrpc2.NewPlainObjectStream(c), nil, jsonrpc2.OnRecv(func(*jsonrpc2.Request, *jsonrpc2.Response) {
		now := time.Now()
		conn.lastReceived.Store(&now)
	}))
	return conn
}

// receivedSince reports whether a message arrived after the given time. If so, a call that
// got no answer means that the peer is slow, and not that the connection is lost. Closing
// the connection would fail all other calls in progress and make every host of an
// overloaded leader dial again, which costs the leader more than the calls did.
func (c *clientConn) receivedSince(t time.Time) bool {
	at := c.lastReceived.Load()
	return at != nil && at.After(t)
}
