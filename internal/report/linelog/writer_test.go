package linelog_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/report/linelog"
)

// gatedWriter blocks until its gate is closed.
type gatedWriter struct {
	mu      sync.Mutex
	gate    chan struct{}
	written bytes.Buffer
}

func (s *gatedWriter) Write(b []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(b)
}

// When the log collector stops reading, the program must not block: lines beyond the
// buffer are dropped, and a line in their place gives their number.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &gatedWriter{gate: make(chan struct{})}
		w := linelog.New(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const many = 10 * linelog.MaxPending / 1024
		began := time.Now()
		for range many {
			_, err := w.Write(line)
			is.NoErr(err)
		}
		is.Equal(time.Since(began), time.Duration(0)) // it never blocked
		dropped := w.Dropped()
		is.Equal(dropped, int64(many-linelog.MaxPending/1024))
		close(out.gate)
		w.Close()
		is.Equal(strings.Count(out.written.String(), "xxx\n"), linelog.MaxPending/1024)
		is.True(strings.Contains(out.written.String(), "log lines dropped"))
	})
}

// A program that logs without end must not fill the log collector's disk. At most MaxRate
// is written per second, in whole lines; the rest is counted.
func TestRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &gatedWriter{gate: make(chan struct{})}
		close(out.gate) // it never blocks
		w := linelog.New(out)
		line := []byte(strings.Repeat("x", 99) + "\n")
		const seconds = 5
		written := 0
		for range seconds * 1000 {
			for range 20 { // 2 MB a second
				_, _ = w.Write(line) // it never fails
				written++
			}
			time.Sleep(time.Millisecond)
		}
		synctest.Wait()
		out.mu.Lock()
		lines := strings.Split(strings.TrimSuffix(out.written.String(), "\n"), "\n")
		size := out.written.Len()
		out.mu.Unlock()
		is.True(size <= seconds*linelog.MaxRate*11/10)
		is.True(size >= seconds*linelog.MaxRate*8/10)
		dropped := 0
		for _, l := range lines {
			var n int
			if _, err := fmt.Sscanf(l, "level=WARN msg=\"log lines dropped\" lines=%d", &n); err == nil {
				dropped += n
				continue
			}
			is.Equal(len(l), 99) // whole
		}
		is.True(dropped > 0)
		is.True(int64(dropped) <= w.Dropped())
		w.Close()
		is.True(written > len(lines))
	})
}

// Close writes all pending lines, in order.
func TestCloseWritesPendingLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := linelog.New(&out)
	for _, l := range []string{"one\n", "two\n", "three\n"} {
		_, _ = w.Write([]byte(l)) // it never fails
	}
	w.Close()
	is.Equal(out.String(), "one\ntwo\nthree\n")
}
