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

// wire is a listener and the way to it, without a network.
type wire struct {
	accepted chan net.Conn
	closed   chan struct{}
	failures chan error // returned by Accept before any connection
	dials    int
}

func newWire() *wire {
	return &wire{accepted: make(chan net.Conn), closed: make(chan struct{}), failures: make(chan error, 100)}
}

// Accept implements net.Listener.
func (w *wire) Accept() (net.Conn, error) {
	select {
	case err := <-w.failures:
		return nil, err
	default:
	}
	select {
	case c := <-w.accepted:
		return c, nil
	case <-w.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (w *wire) Close() error {
	close(w.closed)
	return nil
}

// Addr implements net.Listener.
func (w *wire) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (w *wire) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case w.accepted <- far:
		w.dials++
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pair runs f with a net that reaches another, whose calls h answers.
func pair(t *testing.T, h peer.Handler, f func(ctx context.Context, is *is.I, w *wire, from *peer.Net)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWire()
		to := peer.New(h, nil, nil, logr.Discard())
		served := make(chan error, 1)
		go func() { served <- to.Serve(w) }()
		from := peer.New(h, nil, w.dial, logr.Discard())
		f(t.Context(), is, w, from)
		from.Close()
		to.Close()
		is.NoErr(w.Close())
		time.Sleep(2 * time.Minute)                 // handlers that never answered in time end, too
		is.True(errors.Is(<-served, net.ErrClosed)) // it ended by the closing, and not before
	})
}

const there = "127.0.0.1:1"

// answering answers "fast" at once and "slow" after a second; "never" hangs.
func answering(ctx context.Context, method string, _ json.RawMessage) (any, error) {
	switch method {
	case "slow":
		time.Sleep(time.Second)
	case "never":
		time.Sleep(time.Minute)
	}
	return method, ctx.Err()
}

// A leader with thousands of targets had as many files open as it may. The next
// host that dialled made its listener fail, its process ended by that, and the
// term with it.
func TestTooManyOpenFilesDoNotEndTheService(t *testing.T) {
	pair(t, answering, func(life context.Context, is *is.I, w *wire, from *peer.Net) {
		for range 3 {
			w.failures <- &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
		}
		time.Sleep(time.Second)
		var out string
		is.NoErr(from.Call(life, there, "fast", nil, &out))
		is.Equal(out, "fast")
	})
}

// A leader that had more to do than its processor allows answered some calls too
// late. Each host closed its connection for that, with all other calls on it, and
// dialled anew: the leader then had more to do.
func TestOneLateAnswerDoesNotCostTheConnection(t *testing.T) {
	pair(t, answering, func(life context.Context, is *is.I, w *wire, from *peer.Net) {
		other := make(chan error, 1)
		go func() { other <- from.Call(life, there, "slow", nil, nil) }()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(life, 400*time.Millisecond)
		defer cancel()
		go func() {
			time.Sleep(200 * time.Millisecond)
			_ = from.Call(ctx, there, "fast", nil, nil) // the peer is heard meanwhile
		}()
		err := from.Call(ctx, there, "never", nil, nil)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.NoErr(<-other) // not cut
		is.NoErr(from.Call(life, there, "fast", nil, nil))
		is.Equal(w.dials, 1)
	})
}

// A firewall that drops all packets of a connection leaves both ends believing in
// it. The host must dial again, and not send call after call into it.
func TestSilentConnectionIsDialledAnew(t *testing.T) {
	pair(t, answering, func(life context.Context, is *is.I, w *wire, from *peer.Net) {
		is.NoErr(from.Call(life, there, "fast", nil, nil))
		ctx, cancel := context.WithTimeout(life, 400*time.Millisecond)
		defer cancel()
		time.Sleep(time.Millisecond)
		err := from.Call(ctx, there, "never", nil, nil)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.NoErr(from.Call(life, there, "fast", nil, nil))
		is.Equal(w.dials, 2)
	})
}

func TestErrorsTellWhoAnswered(t *testing.T) {
	refusing := func(_ context.Context, method string, _ json.RawMessage) (any, error) {
		if method == "odd" {
			return nil, peer.ErrNoMethod
		}
		return nil, peer.ErrBadParams
	}
	pair(t, refusing, func(life context.Context, is *is.I, w *wire, from *peer.Net) {
		err := from.Call(life, there, "odd", nil, nil)
		is.True(errors.Is(err, peer.ErrNoMethod))
		is.True(peer.Answered(err))
		err = from.Call(life, there, "known", 1, nil)
		is.True(peer.Answered(err))
		is.True(!errors.Is(err, peer.ErrUnreached))
		is.Equal(w.dials, 1) // an answer is no reason to dial again
	})
}

func TestUnreachedPeerIsSaidToBe(t *testing.T) {
	is := is.New(t)
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	n := peer.New(answering, nil, refused, logr.Discard())
	err := n.Call(t.Context(), there, "fast", nil, nil)
	is.True(errors.Is(err, peer.ErrUnreached))
	is.True(!peer.Answered(err))
}
