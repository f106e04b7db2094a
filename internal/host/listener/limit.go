package listener

import (
	"net"
	"sync"
	"sync/atomic"
)

// Limited is a listener with at most a number of connections open at once.
type Limited struct {
	net.Listener
	most    int64
	open    atomic.Int64
	refused func() // called for each connection that is refused; never nil
}

// Limit returns a listener that gives out at most most connections of l at
// once. One that comes beyond is closed at once and reported to refused, which
// may be nil.
//
// It guards against callers that open connections without end, which shows as
// memory and file descriptors that run out, for the peers' connections too. The
// connection is closed and not kept waiting, so that the balancer tries another
// host at once.
func Limit(l net.Listener, most int, refused func()) *Limited {
	if refused == nil {
		refused = func() {}
	}
	return &Limited{Listener: l, most: int64(most), refused: refused}
}

// Accept returns the next connection within the limit.
func (l *Limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &counted{Conn: c, done: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
		l.refused()
	}
}

// Open returns how many connections are open.
func (l *Limited) Open() int { return int(l.open.Load()) }

// counted is a connection that is counted until it is closed.
type counted struct {
	net.Conn
	once sync.Once
	done func()
}

// Close closes the connection and lets another one in.
func (c *counted) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.done)
	return err
}
