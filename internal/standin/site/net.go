package site

import (
	"context"
	"fmt"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Net is the network from the hosts to each other, to the workers and to the
// platform. It can be cut between any two addresses: open connections break and
// new ones are not made. It is safe for use by several goroutines.
type Net struct {
	mu     sync.Mutex
	cuts   map[[2]string]bool // from a host's peer address to an address
	conns  map[net.Conn][2]string
	meters map[[2]string]*atomic.Int64 // bytes by way
}

// NewNet returns a network without cuts.
func NewNet() *Net {
	return &Net{cuts: map[[2]string]bool{}, conns: map[net.Conn][2]string{}, meters: map[[2]string]*atomic.Int64{}}
}

// Accepted is the far end of all connections that a host was called on.
const Accepted = "accepted"

// Traffic returns the bytes that the host with the peer address has sent and
// received since its start, by the address at the far end; connections that its
// peers have made are together under Accepted.
func (n *Net) Traffic(host string) map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := map[string]int64{}
	for way, m := range n.meters {
		if way[0] == host {
			all[way[1]] = m.Load()
		}
	}
	return all
}

// watch has the network know a connection; the caller holds the mutex.
func (n *Net) watch(c net.Conn, way [2]string) net.Conn {
	n.conns[c] = way
	m, ok := n.meters[way]
	if !ok {
		m = new(atomic.Int64)
		n.meters[way] = m
	}
	return &watched{Conn: c, net: n, bytes: m}
}

// DialFrom returns how the host with the peer address reaches others.
func (n *Net) DialFrom(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		way := [2]string{from, to}
		if n.cut(way) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: fmt.Errorf("no way from %s to %s", from, to)}
		}
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, to)
		if err != nil {
			return nil, err
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.watch(c, way), nil
	}
}

func (n *Net) cut(way [2]string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[way]
}

// Cut cuts the ways between a host and the addresses, in both directions.
func (n *Net) Cut(host string, others ...string) { n.set(true, host, others) }

// Heal makes the ways whole again.
func (n *Net) Heal(host string, others ...string) { n.set(false, host, others) }

func (n *Net) set(cut bool, host string, others []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range others {
		n.cuts[[2]string{host, o}] = cut
		n.cuts[[2]string{o, host}] = cut
	}
	for c, way := range n.conns {
		if n.cuts[way] {
			_ = c.Close()
			delete(n.conns, c)
		}
	}
}

// watched counts what passes and forgets a connection that is closed.
type watched struct {
	net.Conn
	net   *Net
	bytes *atomic.Int64 // read and written
}

// Read reads and counts.
func (w *watched) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	w.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (w *watched) Write(b []byte) (int, error) {
	n, err := w.Conn.Write(b)
	w.bytes.Add(int64(n))
	return n, err
}

// Close closes the connection.
func (w *watched) Close() error {
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	delete(w.net.conns, w.Conn)
	return w.Conn.Close()
}

// outlet is one host's side of the network: it ends with the host.
type outlet struct {
	net  *Net
	host string
	mu   sync.Mutex
	dead bool
	own  map[net.Conn]bool
}

func newOutlet(n *Net, host string) *outlet {
	return &outlet{net: n, host: host, own: map[net.Conn]bool{}}
}

// dial makes a connection unless the host is dead.
func (o *outlet) dial(ctx context.Context, network, to string) (net.Conn, error) {
	c, err := o.net.DialFrom(o.host)(ctx, network, to)
	if err != nil {
		return nil, err
	}
	return c, o.keep(c)
}

func (o *outlet) keep(c net.Conn) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dead {
		_ = c.Close()
		return net.ErrClosed
	}
	o.own[c] = true
	return nil
}

// kill breaks all connections and lets no new ones be made.
func (o *outlet) kill() {
	o.mu.Lock()
	o.dead = true
	own := maps.Clone(o.own)
	o.mu.Unlock()
	for c := range own {
		_ = c.Close()
	}
}

// inlet is a host's listener whose connections break with the host. Those of
// peers are counted.
type inlet struct {
	net.Listener
	outlet *outlet
	count  bool
}

// Accept returns the next connection.
func (i *inlet) Accept() (net.Conn, error) {
	c, err := i.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if i.count {
		i.outlet.net.mu.Lock()
		c = i.outlet.net.watch(c, [2]string{i.outlet.host, Accepted})
		i.outlet.net.mu.Unlock()
	}
	if err := i.outlet.keep(c); err != nil {
		return nil, err
	}
	return c, nil
}
