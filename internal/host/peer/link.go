package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// link is a connection that this host made, and when the peer was last heard on
// it.
type link struct {
	*jsonrpc2.Conn
	heard atomic.Pointer[time.Time] // nil: never
}

// newLink begins JSON-RPC on a connection that this host made.
func (n *Net) newLink(c net.Conn) *link {
	l := &link{}
	l.Conn = n.open(c, jsonrpc2.OnRecv(func(*jsonrpc2.Request, *jsonrpc2.Response) {
		now := time.Now()
		l.heard.Store(&now)
	}))
	return l
}

// heardSince reports whether the peer said anything after a time. A call that
// got no answer on such a connection says that the peer is slow, and not that the
// connection is lost. Closing it would fail all other calls in progress and have
// every host of an overloaded leader dial anew, which costs the leader more than
// the calls did.
func (l *link) heardSince(t time.Time) bool {
	at := l.heard.Load()
	return at != nil && at.After(t)
}
