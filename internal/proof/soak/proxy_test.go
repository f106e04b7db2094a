package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

// Modes of a proxy. Data that is held is forwarded when the mode ends, as a network
// would retransmit it; connections made in that time hang.
const (
	modePass mode = iota
	modeDelay
	modeReset        // connections are reset, and new ones closed
	modeHoldRequests // nothing reaches the server
	modeHoldAnswers  // nothing reaches the client: requests are executed and not answered
	modeHoldAll      // in both directions
)

var modes = []mode{modeDelay, modeReset, modeHoldRequests, modeHoldAnswers, modeHoldAll}

func (m mode) String() string {
	return [...]string{"passes", "delays", "resets", "cutsThere", "cutsBack", "silences"}[m]
}

// chunkDelay is the delay of each chunk of data: fifty times a usual round trip.
const chunkDelay = 50 * time.Millisecond

// proxy forwards connections to an address, as its mode says.
type proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	mode     mode
	changed  *sync.Cond
	conns    map[net.Conn]bool // open, of both sides
	closed   bool
}

// newProxy opens a proxy on a free port of the IP.
func newProxy(ip, to string) (*proxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, conns: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode. modeReset also resets the connections that are open.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		p.resetAll()
	}
	p.changed.Broadcast()
}

// resetAll resets all connections and discards the data that they hold. The caller holds the
// mutex.
func (p *proxy) resetAll() {
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with a reset instead of a FIN
		}
		_ = c.Close()
	}
	clear(p.conns)
}

// close stops listening and resets all connections.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.resetAll()
	p.changed.Broadcast()
}

// accept accepts connections until the listener is closed.
func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.connect(client)
	}
}

// connect opens a connection to the address and forwards data in both directions until one
// end is closed. If it cannot connect, it closes the client's connection.
func (p *proxy) connect(client net.Conn) {
	if !p.track(client) {
		return
	}
	server, err := net.Dial("tcp", p.to)
	if err != nil || !p.track(server) {
		p.closeConns(client)
		return
	}
	go p.forward(client, server, modeHoldRequests)
	p.forward(server, client, modeHoldAnswers)
}

// track records a connection. While connections are reset, or if the proxy is closed, it
// closes the connection instead and returns false.
func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == modeReset {
		_ = c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) closeConns(cs ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		_ = c.Close()
		delete(p.conns, c)
	}
}

// forward copies one direction of a connection, and closes both sides at its end. The mode held
// stops this direction.
func (p *proxy) forward(from, to net.Conn, held mode) {
	defer p.closeConns(from, to)
	chunk := make([]byte, 32<<10)
	for {
		n, err := from.Read(chunk)
		if n > 0 {
			p.waitToSend(held)
			if _, err := to.Write(chunk[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				p.waitToSend(held)
			}
			return
		}
	}
}

// waitToSend waits while the mode delays or holds the data of a direction.
func (p *proxy) waitToSend(held mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == modeDelay {
		p.mu.Unlock()
		time.Sleep(chunkDelay)
		p.mu.Lock()
	}
	for !p.closed && (p.mode == held || p.mode == modeHoldAll) {
		p.changed.Wait()
	}
}
