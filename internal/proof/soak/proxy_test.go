package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the connections through it.
type mode int

// Modes of a proxy. What is cut is held, as a network would send it again, and
// passes when the cut is over; a connection made meanwhile hangs.
const (
	passes mode = iota
	delays
	resets
	cutsThere // nothing gets to the far end
	cutsBack  // nothing comes back: what was asked for is done and not answered
	silences  // neither
)

var modes = []mode{delays, resets, cutsThere, cutsBack, silences}

func (m mode) String() string {
	return [...]string{"passes", "delays", "resets", "cutsThere", "cutsBack", "silences"}[m]
}

// delay of each piece of data: fifty times a round trip on an ordinary day.
const delay = 50 * time.Millisecond

// proxy passes connections on to an address.
type proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	mode     mode
	changed  *sync.Cond
	open     map[net.Conn]bool
	closed   bool
}

// newProxy opens a proxy at a free port of the IP.
func newProxy(ip, to string) (*proxy, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: to, open: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the mode.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == resets {
		p.resetAll()
	}
	p.changed.Broadcast()
}

// resetAll closes all connections at once, with what they hold.
func (p *proxy) resetAll() {
	for c := range p.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a reset in place of an orderly end
		}
		_ = c.Close()
	}
	clear(p.open)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.resetAll()
	p.changed.Broadcast()
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.connect(near)
	}
}

func (p *proxy) connect(near net.Conn) {
	if !p.keep(near) {
		return
	}
	far, err := net.Dial("tcp", p.to)
	if err != nil || !p.keep(far) {
		p.drop(near)
		return
	}
	go p.pass(near, far, cutsThere)
	p.pass(far, near, cutsBack)
}

// keep notes a connection; it refuses those that come while connections are reset.
func (p *proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.mode == resets {
		_ = c.Close()
		return false
	}
	p.open[c] = true
	return true
}

func (p *proxy) drop(cs ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range cs {
		_ = c.Close()
		delete(p.open, c)
	}
}

// pass copies one direction, which the mode given cuts.
func (p *proxy) pass(from, to net.Conn, cut mode) {
	defer p.drop(from, to)
	piece := make([]byte, 32<<10)
	for {
		n, err := from.Read(piece)
		if n > 0 {
			p.hold(cut)
			if _, err := to.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				p.hold(cut)
			}
			return
		}
	}
}

// hold waits as long as the mode keeps data of a direction back.
func (p *proxy) hold(cut mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == delays {
		p.mu.Unlock()
		time.Sleep(delay)
		p.mu.Lock()
	}
	for !p.closed && (p.mode == cut || p.mode == silences) {
		p.changed.Wait()
	}
}
