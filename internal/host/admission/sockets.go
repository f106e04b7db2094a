package admission

import "sync/atomic"

// Sockets counts the open sockets of a process that share its limit of files. A nil Sockets
// counts nothing and is never full. It is safe for concurrent use.
type Sockets struct {
	limit int64 // positive
	open  atomic.Int64
}

// reservedFiles are the files that are not for sockets, and ownSockets the sockets that are not
// counted: listeners and connections to the store and to other hosts.
const (
	reservedFiles = 200
	ownSockets    = 64
)

// NewSockets returns a count for a process that may open a number of files, of which 200 are
// reserved for others than sockets; 0: DefaultFiles.
func NewSockets(files int) *Sockets {
	if files <= 0 {
		files = DefaultFiles
	}
	return &Sockets{limit: int64(max(files-reservedFiles-ownSockets, minConnections))}
}

// Opened counts a socket.
func (s *Sockets) Opened() {
	if s != nil {
		s.open.Add(1)
	}
}

// Closed ends the count of a socket.
func (s *Sockets) Closed() {
	if s != nil {
		s.open.Add(-1)
	}
}

// Full reports whether no socket should be opened.
func (s *Sockets) Full() bool { return s != nil && s.open.Load() >= s.limit }
