package deployment

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// wires is the network between the hosts, in memory.
type wires struct {
	mu    sync.Mutex
	ends  map[string]*end // by address
	cut   map[[2]string]bool
	conns map[[2]string][]net.Conn
}

func newWires() *wires {
	return &wires{ends: map[string]*end{}, cut: map[[2]string]bool{}, conns: map[[2]string][]net.Conn{}}
}

// end is a host's listener.
type end struct {
	address string
	accept  chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (e *end) Accept() (net.Conn, error) {
	select {
	case c := <-e.accept:
		return c, nil
	case <-e.closed:
		return nil, net.ErrClosed
	}
}

func (e *end) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

func (e *end) Addr() net.Addr { return address(e.address) }

type address string

func (address) Network() string  { return "memory" }
func (a address) String() string { return string(a) }

func (w *wires) listen(at string) *end {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := &end{address: at, accept: make(chan net.Conn), closed: make(chan struct{})}
	w.ends[at] = e
	return e
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// dial returns how the host at an address dials.
func (w *wires) dial(from string) func(ctx context.Context, network, to string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		w.mu.Lock()
		e, cut := w.ends[to], w.cut[pair(from, to)]
		w.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, fmt.Errorf("dial %s: %w", to, ctx.Err())
		}
		if e == nil {
			return nil, fmt.Errorf("dial %s: %w", to, syscall.ECONNREFUSED)
		}
		near, far := net.Pipe()
		select {
		case e.accept <- far:
		case <-e.closed:
			return nil, fmt.Errorf("dial %s: %w", to, syscall.ECONNREFUSED)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.conns[pair(from, to)] = append(w.conns[pair(from, to)], near, far)
		return near, nil
	}
}

// set cuts two hosts off from each other, or connects them again. Connections
// break at a cut.
func (w *wires) set(a, b string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[pair(a, b)] = cut
	if cut {
		for _, c := range w.conns[pair(a, b)] {
			_ = c.Close()
		}
		delete(w.conns, pair(a, b))
	}
}
