package admission

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/uber-go/tally/v4"
)

// ErrRefused is wrapped by the error of reading a request that is refused before it was received
// whole. It has not run and will not.
var ErrRefused = errors.New("not accepted: the request was not received whole")

// reason is why a connection or request is refused. It is a label of metrics.
type reason string

const (
	reasonConnections reason = "connections" // too many are open
	reasonMemory      reason = "memory"      // the messages of others use it up
	reasonTimeout     reason = "timeout"     // the message did not arrive in time
	reasonHeader      reason = "header"      // the head is too large
	reasonBusy        reason = "busy"        // too many requests are in progress
)

// refusal is the error of reading from a refused connection. To the library it is a timeout, on
// which it closes the connection without an answer to an incomplete head.
type refusal struct{ why reason }

// Error implements error.
func (r refusal) Error() string {
	switch r.why {
	case reasonTimeout:
		return ErrRefused.Error() + " in time"
	case reasonMemory:
		return ErrRefused.Error() + ", and the host has no memory for it"
	default:
		return ErrRefused.Error() + ", and the host has no connection for it"
	}
}

// Unwrap returns ErrRefused.
func (r refusal) Unwrap() error { return ErrRefused }

// Timeout implements net.Error.
func (r refusal) Timeout() bool { return true }

// Temporary implements net.Error.
func (r refusal) Temporary() bool { return false }

const (
	// refusalInterval is the time over which refusals are logged in one line for each reason.
	refusalInterval = time.Second
	// maxPeers is the number of peers that are told apart in that time.
	maxPeers = 64
)

// refusals counts refusals and logs them, at most one line for each reason and interval.
type refusals struct {
	listener string
	log      logr.Logger
	metrics  tally.Scope
	mu       sync.Mutex
	pending  map[reason]*refusedPeers // since the last line
}

// refusedPeers are the refusals for one reason.
type refusedPeers struct {
	count  int
	byPeer map[string]int // by IP, at most maxPeers
}

// newRefusals returns counts for a listener without metrics.
func newRefusals(listener string, log logr.Logger) *refusals {
	return &refusals{listener: listener, log: log, metrics: tally.NoopScope, pending: map[reason]*refusedPeers{}}
}

// add counts a refusal of a peer.
func (r *refusals) add(why reason, peer string) {
	r.metrics.Tagged(map[string]string{"reason": string(why)}).Counter("refused_total").Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pending[why]
	if !ok {
		p = &refusedPeers{byPeer: map[string]int{}}
		r.pending[why] = p
		time.AfterFunc(refusalInterval, func() { r.flush(why) })
	}
	p.count++
	if _, ok := p.byPeer[peer]; ok || len(p.byPeer) < maxPeers {
		p.byPeer[peer]++
	}
}

// flush logs the refusals for a reason since the last line, with the peer that has the most.
func (r *refusals) flush(why reason) {
	r.mu.Lock()
	p := r.pending[why]
	delete(r.pending, why)
	r.mu.Unlock()
	most := ""
	for peer, n := range p.byPeer {
		if most == "" || n > p.byPeer[most] || n == p.byPeer[most] && peer < most {
			most = peer
		}
	}
	r.log.Info("refused", "listener", r.listener, "reason", string(why), "count", p.count, "peers", len(p.byPeer), "mostBy", most, "ofThem", p.byPeer[most])
}

// remoteIP returns the IP of a connection's other end.
func remoteIP(c net.Conn) string {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.IP.String()
	}
	return ""
}
