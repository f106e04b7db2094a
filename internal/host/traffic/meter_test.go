package traffic_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"guavaglade.example/guavaglade/internal/host/traffic"
)

func TestMeterCountsBothWays(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	served := traffic.New(scope, "callers")
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := served.Listener(plain)
	defer func() { _ = l.Close() }()
	done := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, err = io.CopyN(c, c, 5)
			_ = c.Close()
		}
		done <- err
	}()
	c, err := traffic.New(scope, "peers").Dial(nil)(context.Background(), "tcp", l.Addr().String())
	is.NoErr(err)
	_, err = c.Write([]byte("hello"))
	is.NoErr(err)
	back, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(back), "hello")
	is.NoErr(<-done)
	counts := map[string]int64{}
	for _, v := range scope.Snapshot().Counters() {
		counts[v.Tags()["with"]+" "+v.Tags()["way"]] = v.Value()
	}
	is.Equal(counts, map[string]int64{"callers in": 5, "callers out": 5, "peers in": 5, "peers out": 5})
}
