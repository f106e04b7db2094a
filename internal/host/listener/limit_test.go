package listener_test

import (
	"net"
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/listener"
)

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestLimitRefusesAtOnce tells of a caller that opens one connection too many:
// it is closed at once, and the next one after a close is served.
func TestLimitRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	refused := make(chan struct{}, 1)
	l := listener.Limit(inner, 1, func() { refused <- struct{}{} })
	defer l.Close()
	accepted := make(chan net.Conn)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- c
		}
	}()
	first := dial(t, l)
	defer first.Close()
	served := <-accepted

	second := dial(t, l)
	defer second.Close()
	<-refused
	_, err = second.Read(make([]byte, 1))
	is.True(err != nil) // closed, not kept waiting
	is.Equal(l.Open(), 1)

	is.NoErr(served.Close())
	_ = served.Close() // counts once
	is.Equal(l.Open(), 0)
	third := dial(t, l)
	defer third.Close()
	is.NoErr((<-accepted).Close())
	is.NoErr(l.Close())
	_, open := <-accepted
	is.True(!open)
}
