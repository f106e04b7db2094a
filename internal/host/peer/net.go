package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/sourcegraph/jsonrpc2"
)

// Bounds of the making of a connection.
const (
	DialTime      = 500 * time.Millisecond // on the side that dials
	HandshakeTime = 2 * time.Second        // of TLS, on the other side
	// AcceptPause is the pause after a connection that could not be accepted: a
	// process that has too many files open gets some back when calls end, most of
	// which take a few milliseconds.
	AcceptPause = 50 * time.Millisecond
)

// ErrBadParams is wrapped by a handler that refuses what it was sent.
var ErrBadParams = errors.New("bad parameters")

// ErrNoMethod is wrapped by a handler that does not know a method, as a host
// of an older version does.
var ErrNoMethod = errors.New("method not known")

// ErrUnreached is wrapped by the error of a call that was not sent, since no
// connection was to be had.
var ErrUnreached = errors.New("peer not reached")

// Handler answers a call. params is the call's JSON; the result is sent as
// JSON. It is called by several goroutines at once.
type Handler func(ctx context.Context, method string, params json.RawMessage) (any, error)

// Client returns the TLS configuration for one connection to a peer at IP:port.
type Client func(address string) (*tls.Config, error)

// Dial makes a connection, as net.Dialer's DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Net is one host's connections to its peers, safe for several goroutines.
type Net struct {
	handler Handler
	log     logr.Logger
	dialTCP Dial
	tls     Client // of outgoing connections; nil for plain TCP
	mu      sync.Mutex
	conns   map[string]*link // by address
	closed  bool
	served  map[*jsonrpc2.Conn]bool
}

// New returns a net whose incoming calls go to h. If client is nil, it dials
// plain TCP; if dial is nil, it dials as usual.
func New(h Handler, client Client, dial Dial, log logr.Logger) *Net {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Net{handler: h, log: log, dialTCP: dial, tls: client, conns: map[string]*link{}, served: map[*jsonrpc2.Conn]bool{}}
}

// Serve answers the calls of peers that connect to the listener until it is
// closed, and returns the listener's error then. A connection that cannot be
// accepted for another reason is left out: a process that has as many files open
// as it may would otherwise end, and with a leader all its reports and leases.
func (n *Net) Serve(l net.Listener) error {
	failed := 0 // since the last connection
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			failed = 0
			go n.serve(c)
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept peers on %s: %w", l.Addr(), err)
		default:
			if failed++; failed == 1 {
				n.log.Info("peer", "step", "accept", "address", l.Addr().String(), "error", err.Error())
			}
			time.Sleep(AcceptPause)
		}
	}
}

// serve answers one connection. A peer that connects and never completes the
// handshake would hold its connection for ever; so the handshake has a deadline.
func (n *Net) serve(c net.Conn) {
	if secured, ok := c.(*tls.Conn); ok {
		ctx, cancel := context.WithTimeout(context.Background(), HandshakeTime)
		defer cancel()
		if err := secured.HandshakeContext(ctx); err != nil {
			n.log.V(1).Info("peer", "step", "handshake", "peer", c.RemoteAddr().String(), "error", err.Error())
			_ = c.Close()
			return
		}
	}
	conn := n.open(c)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = conn.Close()
		return
	}
	n.served[conn] = true
	go func() {
		<-conn.DisconnectNotify()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.served, conn)
	}()
}

// open begins JSON-RPC on a connection.
func (n *Net) open(c net.Conn, opts ...jsonrpc2.ConnOpt) *jsonrpc2.Conn {
	opts = append(opts, jsonrpc2.SetLogger(printer{n.log}))
	return jsonrpc2.NewConn(context.Background(), jsonrpc2.NewPlainObjectStream(c), n.incoming(), opts...)
}

// printer logs what the library has to say as one key=value line.
type printer struct{ log logr.Logger }

// Printf implements the library's logger.
func (p printer) Printf(format string, args ...any) {
	p.log.V(1).Info("peer", "step", "rpc", "text", fmt.Sprintf(format, args...))
}

func (n *Net) incoming() jsonrpc2.Handler {
	answer := func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		var params json.RawMessage
		if r.Params != nil {
			params = *r.Params
		}
		res, err := n.handler(ctx, r.Method, params)
		return res, wireError(err)
	}
	return jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(answer).SuppressErrClosed())
}

func wireError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, ErrNoMethod):
		return &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: err.Error()}
	case errors.Is(err, ErrBadParams):
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	default:
		return &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
	}
}

// Call asks a peer at IP:port and reads its answer into result; a nil result
// drops it. The call ends with the context.
func (n *Net) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := n.conn(ctx, address)
	if err != nil {
		return fmt.Errorf("%s: peer %s: %w", method, address, err)
	}
	sent := time.Now()
	err = conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var answered *jsonrpc2.Error
	if errors.As(err, &answered) {
		if answered.Code == jsonrpc2.CodeMethodNotFound {
			err = fmt.Errorf("%w: %w", ErrNoMethod, err)
		}
		return fmt.Errorf("%s: peer %s: %w", method, address, err)
	}
	if !errors.Is(err, context.Canceled) && !conn.heardSince(sent) {
		n.drop(address, conn)
	}
	return fmt.Errorf("%s: peer %s: %w", method, address, err)
}

// Answered reports whether an error of Call is the peer's own answer, and not
// that of a connection.
func Answered(err error) bool {
	var answered *jsonrpc2.Error
	return errors.As(err, &answered)
}

// Notify tells a peer at IP:port something and waits for no answer: for what is
// said again soon anyway. The error is nil if it was sent.
func (n *Net) Notify(ctx context.Context, address, method string, params any) error {
	conn, err := n.conn(ctx, address)
	if err != nil {
		return fmt.Errorf("%s: peer %s: %w", method, address, err)
	}
	if err := conn.Notify(ctx, method, params); err != nil {
		n.drop(address, conn)
		return fmt.Errorf("%s: peer %s: %w", method, address, err)
	}
	return nil
}

func (n *Net) conn(ctx context.Context, address string) (*link, error) {
	n.mu.Lock()
	conn, ok := n.conns[address]
	n.mu.Unlock()
	if ok {
		select {
		case <-conn.DisconnectNotify():
		default:
			return conn, nil
		}
	}
	return n.dial(ctx, address)
}

func (n *Net) dial(ctx context.Context, address string) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTime)
	defer cancel()
	c, err := n.dialNet(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: dial: %w", ErrUnreached, err)
	}
	conn := n.newLink(c)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	if other, ok := n.conns[address]; ok {
		select {
		case <-other.DisconnectNotify():
		default:
			_ = conn.Close()
			return other, nil
		}
	}
	n.conns[address] = conn
	return conn, nil
}

func (n *Net) dialNet(ctx context.Context, address string) (net.Conn, error) {
	c, err := n.dialTCP(ctx, "tcp", address)
	if err != nil || n.tls == nil {
		return c, err
	}
	config, err := n.tls(address)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	secured := tls.Client(c, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return secured, nil
}

func (n *Net) drop(address string, conn *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[address] == conn {
		delete(n.conns, address)
	}
	_ = conn.Close()
}

// Close ends all connections. Calls in progress fail.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, c := range n.conns {
		_ = c.Close()
	}
	for c := range n.served {
		_ = c.Close()
	}
}
