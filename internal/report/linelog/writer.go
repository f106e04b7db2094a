package linelog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of what is kept and written.
const (
	// MaxRate is how many bytes a second are written at most: the leader of 350 targets
	// writes 100 KB in its worst seconds.
	MaxRate = 256 << 10
	// MaxPending is how many bytes may wait for the output: a second of Rate.
	MaxPending = MaxRate
	// FlushInterval is the time between two writes to the output. One write for many
	// lines costs a small part of a write for each.
	FlushInterval = 100 * time.Millisecond
)

// Writer is an io.Writer whose Write never blocks. Each Write is one line.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	buf     []byte // lines that wait
	chunk   []byte // what is being written; only the goroutine that writes uses it
	dropped int64  // since the last line that said so
	total   int64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a writer to out. Close must be called at the end.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line, or leaves it out if too much waits. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buf)+len(line) > MaxPending {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.buf = append(w.buf, line...)
	return len(line), nil
}

// Dropped returns how many lines were left out so far.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

func (w *Writer) run() {
	defer close(w.done)
	tick := time.NewTicker(FlushInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.flush(int(MaxRate * FlushInterval / time.Second))
		case <-w.stop:
			w.flush(MaxPending)
			return
		}
	}
}

// flush writes the lines that wait, about so many bytes of them at most.
func (w *Writer) flush(most int) {
	w.mu.Lock()
	n := wholeLines(w.buf, most)
	w.chunk = append(w.chunk[:0], w.buf[:n]...)
	w.buf = append(w.buf[:0], w.buf[n:]...)
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		w.chunk = fmt.Appendf(w.chunk, "level=WARN msg=\"log lines left out\" lines=%d\n", dropped)
	}
	if len(w.chunk) > 0 {
		_, _ = w.out.Write(w.chunk) // where logs cannot be written there is nobody to tell
	}
}

// wholeLines returns the length of the lines that begin in the first most bytes.
func wholeLines(lines []byte, most int) int {
	if len(lines) <= most {
		return len(lines)
	}
	if end := bytes.IndexByte(lines[most:], '\n'); end >= 0 {
		return most + end + 1
	}
	return len(lines)
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}
