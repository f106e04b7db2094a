package site

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Net is the network from the hosts to each other, to the workers and to the
// platform. It can be cut between any two addresses: open connections break and
// new ones are not made. It is safe for use by several goroutines.
type Net struct {
	mu    sync.Mutex
	cuts  map[[2]string]bool // from a host's peer address to an address
	conns map[net.Conn][2]string
}

// NewNet returns a network without cuts.
func NewNet() *Net { return &Net{cuts: map[[2]string]bool{}, conns: map[net.Conn][2]string{}} }

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
		n.conns[c] = way
		return &watched{Conn: c, net: n}, nil
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

// watched forgets a connection that is closed.
type watched struct {
	net.Conn
	net *Net
}

// Close closes the connection.
func (w *watched) Close() error {
	w.net.mu.Lock()
	defer w.net.mu.Unlock()
	delete(w.net.conns, w.Conn)
	return w.Conn.Close()
}
