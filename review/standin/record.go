package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to the file of a case, with the time since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now()}, nil
}

// line writes one line.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes one line and prints it.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
