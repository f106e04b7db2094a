package admission

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
)

// pipes is a listener of connections in memory.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (p pipes) Close() error   { return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// connect returns the client's end of a new connection, whose answers it reads all the time.
func (p pipes) connect(t *testing.T) (c net.Conn, answer func() string) {
	c, server := net.Pipe()
	t.Cleanup(func() { _ = c.Close() })
	p <- server
	read := make(chan string, 1)
	go func() {
		b, _ := io.ReadAll(c)
		read <- string(b)
	}()
	return c, func() string { return <-read }
}

// serve serves a gate's connections with a handler that reads the whole body and then waits.
func serve(t *testing.T, g *Gate, work time.Duration) pipes {
	refuse := func(w http.ResponseWriter, status int, detail string) { http.Error(w, detail, status) }
	s := g.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			refuse(w, http.StatusServiceUnavailable, err.Error())
			return
		}
		Decoded(r)
		time.Sleep(work)
	}), refuse)
	l := make(pipes)
	go func() { _ = s.Serve(g.Listener(l)) }()
	t.Cleanup(func() {
		close(l)
		_ = s.Close()
	})
	return l
}

const post = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4000\r\n\r\n"

// send sends a text, and ignores that the host has closed the connection.
func send(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// Guards against stalled requests that keep ordinary callers out, and against an answer to them
// that does not say that they have not run.
func TestStalledRequestsGiveWay(t *testing.T) {
	for name, b := range map[string]Budget{
		"memory":      {connections: 100, memory: 200 << 10},
		"connections": {connections: 3, memory: 100 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				l := serve(t, New("test", b), 0)
				var stalled []func() string
				for range 3 {
					c, answer := l.connect(t)
					send(c, post+strings.Repeat("a", 3999))
					stalled = append(stalled, answer)
				}
				time.Sleep(2 * grace)
				c, answer := l.connect(t)
				send(c, post+strings.Repeat("a", 4000))
				is.True(strings.HasPrefix(answer(), "HTTP/1.1 200 "))
				first := stalled[0]()
				is.True(strings.HasPrefix(first, "HTTP/1.1 503 "))
				is.True(strings.Contains(first, ErrRefused.Error()))
			})
		})
	}
}

// Guards against a request in progress, which may run, that is broken off for a new connection.
func TestRequestsInProgressAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := serve(t, New("test", Budget{connections: 4, memory: 1 << 20}), time.Minute)
		var answers []func() string
		for range 4 {
			c, answer := l.connect(t)
			send(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
			answers = append(answers, answer)
			time.Sleep(2 * grace)
		}
		_, refused := l.connect(t)
		is.Equal(refused(), "")
		for _, a := range answers[:3] {
			is.True(strings.HasPrefix(a(), "HTTP/1.1 200 "))
		}
		is.True(strings.HasPrefix(answers[3](), "HTTP/1.1 503 ")) // one connection is left for new requests
	})
}

// Guards against timeouts and the limit of a head that are read from the configuration and not
// applied.
func TestTimeoutsAndHeaderLimitApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timeouts := func() Timeouts {
			return Timeouts{Header: 3 * time.Second, Body: 5 * time.Second, Idle: 15 * time.Second}
		}
		l := serve(t, New("test", Budget{connections: 10, memory: 1 << 20}, WithTimeouts(timeouts), WithHeaderBytes(func() int { return 100 })), 0)
		for _, x := range []struct {
			sent, answer string
			after        time.Duration
		}{
			{"", "", 3 * time.Second},
			{"GET / HTTP/1.1\r\n", "", 3 * time.Second},
			{post + "a", "HTTP/1.1 503 ", 5 * time.Second},
			{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "HTTP/1.1 200 ", 15 * time.Second},
			{"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 100) + "\r\n\r\n", "HTTP/1.1 431 ", 0},
		} {
			began := time.Now()
			c, answer := l.connect(t)
			send(c, x.sent)
			is.True(strings.HasPrefix(answer(), x.answer))
			is.Equal(time.Since(began), x.after)
		}
	})
}

// Guards against charges that are not released, which would refuse all callers in the end.
func TestChargesAreReleased(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		newGate := rapid.SampledFrom([]func(string, Budget, ...Option) *Gate{New, NewForPeers}).Draw(t, "gate")
		g := newGate("test", Budget{connections: 4, memory: 1 << 20})
		var conns []*Conn
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(conns) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				near, _ := net.Pipe()
				if c := g.admit(near); c != nil {
					conns = append(conns, c)
				}
				continue
			}
			c := conns[rapid.IntRange(0, len(conns)-1).Draw(t, "conn")]
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				if err := c.received(rapid.Int64Range(1, 4096).Draw(t, "bytes")); err != nil && !errors.Is(err, ErrRefused) && !errors.Is(err, net.ErrClosed) {
					t.Fatal(err)
				}
			case 1:
				c.endHead()
			case 2:
				c.endRequest()
			case 3:
				c.decoded()
			case 4:
				c.endResponse()
			case 5:
				c.EndMessage()
			case 6:
				if c.BeginCall(5000) == nil {
					c.EndCall(5000)
				}
			case 7:
				_ = c.Close()
			}
			var used int64
			serving := 0
			for c := range g.conns {
				used += c.charged
				if c.inProgress > 0 {
					serving++
				}
			}
			if used != g.used || serving != g.serving {
				t.Fatalf("charged %d in all, connections %d; serving %d, connections %d", g.used, used, g.serving, serving)
			}
		}
		for _, c := range conns {
			_ = c.Close()
		}
		if g.used != 0 || g.serving != 0 || g.closing != 0 || len(g.conns) != 0 {
			t.Fatalf("left: %d bytes, %d serving, %d closing, %d connections", g.used, g.serving, g.closing, len(g.conns))
		}
	})
}
