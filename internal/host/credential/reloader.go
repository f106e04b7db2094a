package credential

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"sync"
)

// ErrorHandler is called with the reason why replaced files cannot be used, not again
// while the reason and the content of the files stay the same. It must not use the
// certificate that it is called for, whose lock is held.
type ErrorHandler func(error)

// reloader holds the value parsed from the current content of files. It is safe for
// concurrent use.
type reloader[T any] struct {
	names   []string
	parse   func(contents [][]byte) (T, error)
	onError ErrorHandler // never nil

	mu          sync.Mutex
	contents    [][]byte // parsed last, successfully or not
	lastReadErr string   // read error that was reported last
	value       T        // of the newest usable content
}

// newReloader returns a reloader that has read the files once. An error of this first read
// is returned; later ones are passed to onError.
func newReloader[T any](onError ErrorHandler, parse func([][]byte) (T, error), names ...string) (*reloader[T], error) {
	if onError == nil {
		onError = func(error) {}
	}
	r := &reloader[T]{names: names, parse: parse, onError: onError}
	contents, err := r.read()
	if err != nil {
		return nil, err
	}
	r.contents = contents
	r.value, err = r.parse(contents)
	if err != nil {
		return nil, fmt.Errorf("use %v: %w", names, err)
	}
	return r, nil
}

// read returns the contents of all files, in the order of their names.
func (r *reloader[T]) read() ([][]byte, error) {
	contents := make([][]byte, 0, len(r.names))
	for _, name := range r.names {
		body, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("read credential: %w", err)
		}
		contents = append(contents, body)
	}
	return contents, nil
}

// current returns the value of the current content.
//
// It compares contents and not modification times: a second replacement within the
// granularity of that time would be missed. An incomplete replacement (a new certificate
// with the old key, a file that is truncated or briefly missing) fails to be read or
// parsed. The previous value then stays in use, and the files are read again at the next
// handshake.
func (r *reloader[T]) current() T {
	r.mu.Lock()
	defer r.mu.Unlock()
	contents, err := r.read()
	if err != nil {
		if err.Error() != r.lastReadErr {
			r.lastReadErr = err.Error()
			r.onError(err)
		}
		return r.value
	}
	r.lastReadErr = ""
	if slices.EqualFunc(contents, r.contents, bytes.Equal) {
		return r.value
	}
	r.contents = contents
	value, err := r.parse(contents)
	if err != nil {
		r.onError(fmt.Errorf("use replaced %v: %w", r.names, err))
		return r.value
	}
	r.value = value
	return value
}
