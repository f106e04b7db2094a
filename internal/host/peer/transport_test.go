package peer_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/peer"
)

// testListener is an in-memory listener. Its method dial connects to it.
type testListener struct {
	accepted chan net.Conn
	closed   chan struct{}
	failures chan error // that Accept returns first
	dials    int        // connections made
}

func newTestListener() *testListener {
	return &testListener{accepted: make(chan net.Conn), closed: make(chan struct{}), failures: make(chan error, 100)}
}

// Accept implements net.Listener.
func (l *testListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.failures:
		return nil, err
	default:
	}
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *testListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener.
func (l *testListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// dial implements peer.DialFunc. It waits until the connection is accepted.
func (l *testListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		l.dials++
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// withTransport calls f with a transport that is connected to another one, on which h
// answers the calls.
func withTransport(t *testing.T, h peer.Handler, f func(ctx context.Context, is *is.I, l *testListener, from *peer.Transport)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newTestListener()
		to := peer.New(h, nil, nil, logr.Discard())
		served := make(chan error, 1)
		go func() { served <- to.Serve(l) }()
		from := peer.New(h, nil, l.dial, logr.Discard())
		f(t.Context(), is, l, from)
		from.Close()
		to.Close()
		is.NoErr(l.Close())
		time.Sleep(2 * time.Minute)                 // let slow handlers end
		is.True(errors.Is(<-served, net.ErrClosed)) // ended by Close, and not before
	})
}

const address = "127.0.0.1:1"

// testHandler answers "fast" at once, "slow" after a second and "never" after a minute.
func testHandler(ctx context.Context, method string, _ json.RawMessage) (any, error) {
	switch method {
	case "slow":
		time.Sleep(time.Second)
	case "never":
		time.Sleep(time.Minute)
	}
	return method, ctx.Err()
}

// A leader with thousands of targets has reached its limit of open files, so accept fails
// when the next host connects. The process must not exit for that, which would end the
// term.
func TestAcceptErrorsDoNotEndServe(t *testing.T) {
	withTransport(t, testHandler, func(ctx context.Context, is *is.I, l *testListener, from *peer.Transport) {
		for range 3 {
			l.failures <- &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
		}
		time.Sleep(time.Second)
		var out string
		is.NoErr(from.Call(ctx, address, "fast", nil, &out))
		is.Equal(out, "fast")
	})
}

// A leader with an overloaded CPU answers some calls too late. If each host closed its
// connection for that, with all other calls on it, and dialed again, the leader's load would
// grow. So the connection stays open if another answer arrived during the call.
func TestTimeoutKeepsConnectionInUse(t *testing.T) {
	withTransport(t, testHandler, func(ctx context.Context, is *is.I, l *testListener, from *peer.Transport) {
		other := make(chan error, 1)
		go func() { other <- from.Call(ctx, address, "slow", nil, nil) }()
		synctest.Wait()
		short, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		go func() {
			time.Sleep(200 * time.Millisecond)
			_ = from.Call(short, address, "fast", nil, nil) // an answer arrives during the other call
		}()
		err := from.Call(short, address, "never", nil, nil)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.NoErr(<-other) // not interrupted
		is.NoErr(from.Call(ctx, address, "fast", nil, nil))
		is.Equal(l.dials, 1)
	})
}

// If a firewall drops all packets of a connection, neither end detects it. The host must
// dial again after a timeout, instead of sending further calls on that connection.
func TestTimeoutOnSilentConnectionRedials(t *testing.T) {
	withTransport(t, testHandler, func(ctx context.Context, is *is.I, l *testListener, from *peer.Transport) {
		is.NoErr(from.Call(ctx, address, "fast", nil, nil))
		short, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		time.Sleep(time.Millisecond)
		err := from.Call(short, address, "never", nil, nil)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.NoErr(from.Call(ctx, address, "fast", nil, nil))
		is.Equal(l.dials, 2)
	})
}

// A peer refuses calls. The errors count as its answers, the one for an unknown method can be
// recognized, and the connection stays open.
func TestErrorsOfAnsweredCalls(t *testing.T) {
	refusing := func(_ context.Context, method string, _ json.RawMessage) (any, error) {
		if method == "odd" {
			return nil, peer.ErrNoMethod
		}
		return nil, peer.ErrBadParams
	}
	withTransport(t, refusing, func(ctx context.Context, is *is.I, l *testListener, from *peer.Transport) {
		err := from.Call(ctx, address, "odd", nil, nil)
		is.True(errors.Is(err, peer.ErrNoMethod))
		is.True(peer.Answered(err))
		err = from.Call(ctx, address, "known", 1, nil)
		is.True(peer.Answered(err))
		is.True(!errors.Is(err, peer.ErrUnreached))
		is.Equal(l.dials, 1) // an error from the peer does not close the connection
	})
}

// A peer refuses the connection. The error says that the call was not sent.
func TestErrorOfUnreachedPeer(t *testing.T) {
	is := is.New(t)
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	transport := peer.New(testHandler, nil, refused, logr.Discard())
	err := transport.Call(t.Context(), address, "fast", nil, nil)
	is.True(errors.Is(err, peer.ErrUnreached))
	is.True(!peer.Answered(err))
}
