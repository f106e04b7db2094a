package linelog

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of what is buffered and written.
const (
	// MaxRate is the maximum output in bytes per second. The leader of 350 targets logs up
	// to 100 KB/s.
	MaxRate = 256 << 10
	// MaxPending is the size of the buffer in bytes: one second at MaxRate.
	MaxPending = MaxRate
	// FlushInterval is the time between two writes to the output. One write for many
	// lines costs much less than a write for each.
	FlushInterval = 100 * time.Millisecond
)

// Writer is an io.Writer whose Write never blocks. Each Write must be one line with its
// line end.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	buf     []byte // pending lines
	chunk   []byte // being written; used only by the writing goroutine
	dropped int64  // since the last line that reported it
	total   int64  // dropped since the start
	stop    chan struct{}
	done    chan struct{}
}

// New returns a writer to out. The caller must call Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line, or drops it if the buffer is full. It never fails.
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

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// run flushes at most MaxRate until Close, then everything that is pending.
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

// flush writes pending lines up to the one that reaches limit bytes, and a line with the
// number of those dropped since the last flush, if any. Errors of the output are
// ignored.
func (w *Writer) flush(limit int) {
	w.mu.Lock()
	n := wholeLines(w.buf, limit)
	w.chunk = append(w.chunk[:0], w.buf[:n]...)
	w.buf = append(w.buf[:0], w.buf[n:]...)
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		w.chunk = fmt.Appendf(w.chunk, "level=WARN msg=\"log lines dropped\" lines=%d\n", dropped)
	}
	if len(w.chunk) > 0 {
		_, _ = w.out.Write(w.chunk) // the error cannot be logged
	}
}

// wholeLines returns the length of the lines up to the one that reaches limit bytes.
func wholeLines(lines []byte, limit int) int {
	if len(lines) <= limit {
		return len(lines)
	}
	if end := bytes.IndexByte(lines[limit:], '\n'); end >= 0 {
		return limit + end + 1
	}
	return len(lines)
}

// Close writes the pending lines and stops the writer. It blocks while the output does.
// It must be called once; lines written afterwards are lost.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}
