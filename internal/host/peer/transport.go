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

	"guavaglade.example/guavaglade/internal/host/admission"
)

// Timeouts of connection setup.
const (
	DialTimeout      = 500 * time.Millisecond // on the dialing side, including the TLS handshake
	HandshakeTimeout = 2 * time.Second        // of the TLS handshake on the accepting side
	// AcceptRetryDelay is the pause after a failed accept. A process that has reached its
	// limit of open files gets some back when calls end, most of which take a few
	// milliseconds.
	AcceptRetryDelay = 50 * time.Millisecond
)

// ErrBadParams is wrapped by the error of a handler that refuses the parameters of a call.
var ErrBadParams = errors.New("bad parameters")

// ErrNoMethod is wrapped by the error of a handler that does not know a method, as on a
// host of an older version.
var ErrNoMethod = errors.New("method not known")

// ErrUnreached is wrapped by the error of a call that was not sent because no connection
// could be established.
var ErrUnreached = errors.New("peer not reached")

// Handler answers a call with the given JSON parameters. The result is sent as JSON. It
// must be safe for concurrent use.
type Handler func(ctx context.Context, method string, params json.RawMessage) (any, error)

// ClientTLS returns the TLS configuration for one connection to a peer at IP:port.
type ClientTLS func(address string) (*tls.Config, error)

// DialFunc opens a connection, as the method DialContext of net.Dialer does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Transport holds the connections of one host to its peers. It is safe for concurrent use.
type Transport struct {
	handler   Handler
	log       logr.Logger
	dialTCP   DialFunc
	clientTLS ClientTLS // nil for plain TCP
	mu        sync.Mutex
	conns     map[string]*clientConn // dialed by this host, by address
	closed    bool
	accepted  map[*jsonrpc2.Conn]bool // dialed by peers
}

// New returns a transport that passes incoming calls to h. If clientTLS is nil, it dials
// plain TCP. If dial is nil, it uses a net.Dialer.
func New(h Handler, clientTLS ClientTLS, dial DialFunc, log logr.Logger) *Transport {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Transport{handler: h, log: log, dialTCP: dial, clientTLS: clientTLS, conns: map[string]*clientConn{}, accepted: map[*jsonrpc2.Conn]bool{}}
}

// Serve answers the calls of peers that connect to the listener. It returns when the
// listener is closed, with the listener's error. Other accept errors are logged, and
// Serve goes on: at the limit of open files the process would otherwise exit, and on a
// leader that ends all its reports and leases.
func (t *Transport) Serve(l net.Listener) error {
	failures := 0 // since the last accepted connection
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			failures = 0
			go t.serveConn(c)
		case errors.Is(err, net.ErrClosed):
			return fmt.Errorf("accept peers on %s: %w", l.Addr(), err)
		default:
			if failures++; failures == 1 {
				t.log.Info("peer connection not accepted", "step", "accept", "address", l.Addr().String(), "error", err.Error())
			}
			time.Sleep(AcceptRetryDelay)
		}
	}
}

// serveConn answers the calls on one connection. The TLS handshake has a deadline, since a
// peer that never completes it would otherwise occupy the connection forever.
func (t *Transport) serveConn(c net.Conn) {
	if tlsConn, ok := c.(*tls.Conn); ok {
		ctx, cancel := context.WithTimeout(context.Background(), HandshakeTimeout)
		defer cancel()
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			t.log.V(1).Info("peer handshake failed", "step", "handshake", "peer", c.RemoteAddr().String(), "error", err.Error())
			_ = c.Close()
			return
		}
	}
	conn := t.newConn(newMessageStream(c), admission.Of(c))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = conn.Close()
		return
	}
	t.accepted[conn] = true
	go func() {
		<-conn.DisconnectNotify()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.accepted, conn)
	}()
}

// newConn starts JSON-RPC on a stream. Calls that arrive on it are charged to the admitted
// connection, which may be nil.
func (t *Transport) newConn(s jsonrpc2.ObjectStream, admitted *admission.Conn, opts ...jsonrpc2.ConnOpt) *jsonrpc2.Conn {
	opts = append(opts, jsonrpc2.SetLogger(rpcLogger{t.log}))
	return jsonrpc2.NewConn(context.Background(), s, callHandler{t.rpcHandler(), admitted}, opts...)
}

// callHandler runs each call in its own goroutine. It accepts none, and so reads no further
// messages, while the calls in progress use up the memory for them.
type callHandler struct {
	next     jsonrpc2.Handler
	admitted *admission.Conn
}

// Handle implements jsonrpc2.Handler. It closes the connection if the call is refused.
func (h callHandler) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	cost := callCharge(r)
	if err := h.admitted.BeginCall(cost); err != nil {
		_ = c.Close()
		return
	}
	go func() {
		defer h.admitted.EndCall(cost)
		h.next.Handle(ctx, c, r)
	}()
}

// rpcLogger logs each message of the JSON-RPC library as one line of keys and values.
type rpcLogger struct{ log logr.Logger }

// Printf implements jsonrpc2.Logger.
func (l rpcLogger) Printf(format string, args ...any) {
	l.log.V(1).Info("peer connection", "step", "rpc", "text", fmt.Sprintf(format, args...))
}

// rpcHandler returns a handler that answers each call.
func (t *Transport) rpcHandler() jsonrpc2.Handler {
	handle := func(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
		var params json.RawMessage
		if r.Params != nil {
			params = *r.Params
		}
		res, err := t.handler(ctx, r.Method, params)
		return res, rpcError(err)
	}
	return jsonrpc2.HandlerWithError(handle).SuppressErrClosed()
}

// rpcError returns the JSON-RPC error for an error of the handler, with a code that tells an
// unknown method and bad parameters from all others.
func rpcError(err error) error {
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

// Call sends a call to the peer at IP:port and decodes its answer into result, or discards it
// if result is nil. It returns when the context ends. The error wraps ErrUnreached if no
// connection was established, and ErrNoMethod if the peer does not know the method. Unless
// Answered holds or the call was not sent, the peer may have executed it.
func (t *Transport) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := t.conn(ctx, address)
	if err != nil {
		return fmt.Errorf("%s: peer %s: %w", method, address, err)
	}
	sent := time.Now()
	err = conn.Call(ctx, method, params, result)
	if err == nil {
		return nil
	}
	var answer *jsonrpc2.Error
	if errors.As(err, &answer) {
		if answer.Code == jsonrpc2.CodeMethodNotFound {
			err = fmt.Errorf("%w: %w", ErrNoMethod, err)
		}
		return fmt.Errorf("%s: peer %s: %w", method, address, err)
	}
	if !errors.Is(err, context.Canceled) && !conn.receivedSince(sent) {
		t.drop(address, conn)
	}
	return fmt.Errorf("%s: peer %s: %w", method, address, err)
}

// Answered reports whether an error of Call is the peer's own answer, and not an error of
// the connection.
func Answered(err error) bool {
	var answer *jsonrpc2.Error
	return errors.As(err, &answer)
}

// Notify sends a notification to the peer at IP:port and waits for no answer. It is meant
// for messages that are repeated anyway. The error is nil if the notification was sent.
func (t *Transport) Notify(ctx context.Context, address, method string, params any) error {
	conn, err := t.conn(ctx, address)
	if err != nil {
		return fmt.Errorf("%s: peer %s: %w", method, address, err)
	}
	if err := conn.Notify(ctx, method, params); err != nil {
		t.drop(address, conn)
		return fmt.Errorf("%s: peer %s: %w", method, address, err)
	}
	return nil
}

// conn returns the connection to the address, or dials if there is none or it was closed.
func (t *Transport) conn(ctx context.Context, address string) (*clientConn, error) {
	t.mu.Lock()
	conn, ok := t.conns[address]
	t.mu.Unlock()
	if ok {
		select {
		case <-conn.DisconnectNotify():
		default:
			return conn, nil
		}
	}
	return t.dial(ctx, address)
}

// dial opens a connection to the address. If another call has opened one in the meantime,
// it returns that one.
func (t *Transport) dial(ctx context.Context, address string) (*clientConn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	c, err := t.dialNet(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: dial: %w", ErrUnreached, err)
	}
	conn := t.newClientConn(c)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	if other, ok := t.conns[address]; ok {
		select {
		case <-other.DisconnectNotify():
		default:
			_ = conn.Close()
			return other, nil
		}
	}
	t.conns[address] = conn
	return conn, nil
}

// dialNet opens a TCP connection, and does the TLS handshake if TLS is configured.
func (t *Transport) dialNet(ctx context.Context, address string) (net.Conn, error) {
	c, err := t.dialTCP(ctx, "tcp", address)
	if err != nil || t.clientTLS == nil {
		return c, err
	}
	config, err := t.clientTLS(address)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	tlsConn := tls.Client(c, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return tlsConn, nil
}

// drop closes a connection that this host dialed, so that the next call dials again.
func (t *Transport) drop(address string, conn *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] == conn {
		delete(t.conns, address)
	}
	_ = conn.Close()
}

// Close closes all connections, and prevents new ones. Calls in progress fail. The listener
// of Serve stays open.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, c := range t.conns {
		_ = c.Close()
	}
	for c := range t.accepted {
		_ = c.Close()
	}
}
