package deployment

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// network is the network between the hosts, in memory.
type network struct {
	mu           sync.Mutex
	listeners    map[string]*listener     // by address
	disconnected map[[2]string]bool       // by linkKey
	conns        map[[2]string][]net.Conn // by linkKey, both ends of each
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, disconnected: map[[2]string]bool{}, conns: map[[2]string][]net.Conn{}}
}

// listener accepts connections to one host.
type listener struct {
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (address) Network() string  { return "memory" }
func (a address) String() string { return string(a) }

// listen opens a listener in place of an earlier one at the address.
func (n *network) listen(at string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: at, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[at] = l
	return l
}

// linkKey returns the key of the link between two hosts, the same for both directions.
func linkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// dial returns the dial function of the host at an address. A dial to a disconnected host
// waits until its context ends; one to a host that does not listen is refused.
func (n *network) dial(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		n.mu.Lock()
		l, disconnected := n.listeners[to], n.disconnected[linkKey(from, to)]
		n.mu.Unlock()
		if disconnected {
			<-ctx.Done()
			return nil, fmt.Errorf("dial %s: %w", to, ctx.Err())
		}
		if l == nil {
			return nil, fmt.Errorf("dial %s: %w", to, syscall.ECONNREFUSED)
		}
		client, server := net.Pipe()
		select {
		case l.accept <- server:
		case <-l.closed:
			return nil, fmt.Errorf("dial %s: %w", to, syscall.ECONNREFUSED)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[linkKey(from, to)] = append(n.conns[linkKey(from, to)], client, server)
		return client, nil
	}
}

// setDisconnected disconnects two hosts, which breaks their connections, or connects
// them again.
func (n *network) setDisconnected(a, b string, disconnected bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disconnected[linkKey(a, b)] = disconnected
	if disconnected {
		for _, c := range n.conns[linkKey(a, b)] {
			_ = c.Close()
		}
		delete(n.conns, linkKey(a, b))
	}
}
