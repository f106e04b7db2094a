package linelog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds of what is kept and written.
const (
	// Pending is how many bytes may wait for the output: a second of the
	// highest rate.
	Pending = 256 << 10
	// Flush is the time between two writes to the output. One write for many
	// lines costs a small part of a write for each.
	Flush = 100 * time.Millisecond
)

// Writer is an io.Writer whose Write never blocks. Each Write is one line.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	buf     []byte
	spare   []byte
	dropped int64 // since the last line that said so
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
	if len(w.buf)+len(line) > Pending {
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
	tick := time.NewTicker(Flush)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.flush()
		case <-w.stop:
			w.flush()
			return
		}
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	buf, dropped := w.buf, w.dropped
	w.buf, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		buf = fmt.Appendf(buf, "level=WARN msg=\"log lines left out\" lines=%d\n", dropped)
	}
	if len(buf) > 0 {
		_, _ = w.out.Write(buf) // where logs cannot be written there is nobody to tell
	}
	w.mu.Lock()
	w.spare = buf
	w.mu.Unlock()
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}
