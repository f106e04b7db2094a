package credential

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"sync"
)

// Report is told why replaced files cannot be used. It is called once for each
// content of the files.
type Report func(error)

// files gives the value made of the present content of some files. It is safe
// for use by several goroutines.
type files[T any] struct {
	names  []string
	parse  func(bodies [][]byte) (T, error)
	report Report // never nil

	mu     sync.Mutex
	bodies [][]byte // content that was tried last
	failed string   // error of reading that was reported last
	value  T        // of the newest content that could be used
}

// newFiles reads the files for the first time, when an error is final.
func newFiles[T any](report Report, parse func([][]byte) (T, error), names ...string) (*files[T], error) {
	if report == nil {
		report = func(error) {}
	}
	f := &files[T]{names: names, parse: parse, report: report}
	bodies, err := f.read()
	if err != nil {
		return nil, err
	}
	f.bodies = bodies
	f.value, err = f.parse(bodies)
	if err != nil {
		return nil, fmt.Errorf("use %v: %w", names, err)
	}
	return f, nil
}

func (f *files[T]) read() ([][]byte, error) {
	bodies := make([][]byte, 0, len(f.names))
	for _, name := range f.names {
		body, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("read credential: %w", err)
		}
		bodies = append(bodies, body)
	}
	return bodies, nil
}

// current returns the value of the present content.
//
// It compares the content and not the time of change: a file that is replaced
// twice within the granularity of that time would go unseen. It guards against
// a replacement caught half done (a new certificate beside the old key, a file
// that is cut short or gone for a moment), which shows as an error of reading
// or parsing: the value before it stays in use, and since the files are looked
// at again with the next handshake, the whole replacement is taken then.
func (f *files[T]) current() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	bodies, err := f.read()
	if err != nil {
		if err.Error() != f.failed {
			f.failed = err.Error()
			f.report(err)
		}
		return f.value
	}
	f.failed = ""
	if slices.EqualFunc(bodies, f.bodies, bytes.Equal) {
		return f.value
	}
	f.bodies = bodies
	value, err := f.parse(bodies)
	if err != nil {
		f.report(fmt.Errorf("use replaced %v: %w", f.names, err))
		return f.value
	}
	f.value = value
	return value
}
