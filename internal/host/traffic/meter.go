package traffic

import (
	"context"
	"net"

	"github.com/uber-go/tally/v4"
)

// Dial makes a connection, as net.Dialer's DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Meter counts what passes through connections of one kind. The zero Meter is
// not valid: make meters with New.
type Meter struct {
	in  tally.Counter // bytes read
	out tally.Counter // bytes written
}

// New returns a meter that counts as traffic_bytes, tagged with whom the
// connections lead to and the way, in or out.
func New(s tally.Scope, with string) Meter {
	counter := func(way string) tally.Counter {
		return s.Tagged(map[string]string{"with": with, "way": way}).Counter("traffic_bytes")
	}
	return Meter{in: counter("in"), out: counter("out")}
}

// Dial returns d with its connections counted. If d is nil, it dials as usual.
func (m Meter) Dial(d Dial) Dial {
	if d == nil {
		d = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, meter: m}, nil
	}
}

// Listener returns l with the connections that it accepts counted.
func (m Meter) Listener(l net.Listener) net.Listener { return &listener{Listener: l, meter: m} }

type listener struct {
	net.Listener
	meter Meter
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, meter: l.meter}, nil
}

type conn struct {
	net.Conn
	meter Meter
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.out.Inc(int64(n))
	return n, err
}
