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

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	mu   sync.Mutex
	let  chan struct{}
	took bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.took.Write(b)
}

// Whoever collects the logs stops reading. The program goes on as if nothing were:
// lines beyond the bound are left out, and counted where they would have stood.
func TestOutputStandsStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuck{let: make(chan struct{})}
		w := linelog.New(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const many = 10 * linelog.MaxPending / 1024
		began := time.Now()
		for range many {
			_, err := w.Write(line)
			is.NoErr(err)
		}
		is.Equal(time.Since(began), time.Duration(0)) // it never waited
		dropped := w.Dropped()
		is.Equal(dropped, int64(many-linelog.MaxPending/1024))
		close(out.let)
		w.Close()
		is.Equal(strings.Count(out.took.String(), "xxx\n"), linelog.MaxPending/1024)
		is.True(strings.Contains(out.took.String(), "log lines left out"))
	})
}

// A program that logs without end would fill the disk of whoever collects the logs.
// Each second holds Rate at the most, in whole lines; what does not fit is counted.
func TestRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuck{let: make(chan struct{})}
		close(out.let) // it takes everything at once
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
		told := strings.Split(strings.TrimSuffix(out.took.String(), "\n"), "\n")
		size := out.took.Len()
		out.mu.Unlock()
		is.True(size <= seconds*linelog.MaxRate*11/10)
		is.True(size >= seconds*linelog.MaxRate*8/10)
		left := 0
		for _, l := range told {
			var n int
			if _, err := fmt.Sscanf(l, "level=WARN msg=\"log lines left out\" lines=%d", &n); err == nil {
				left += n
				continue
			}
			is.Equal(len(l), 99) // whole
		}
		is.True(left > 0)
		is.True(int64(left) <= w.Dropped())
		w.Close()
		is.True(written > len(told))
	})
}

// What was written is there when the writer is closed, in its order.
func TestCloseWritesWhatWaits(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := linelog.New(&out)
	for _, l := range []string{"one\n", "two\n", "three\n"} {
		_, _ = w.Write([]byte(l)) // it never fails
	}
	w.Close()
	is.Equal(out.String(), "one\ntwo\nthree\n")
}
