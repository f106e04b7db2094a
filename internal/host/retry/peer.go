package retry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sony/gobreaker/v2"
)

// Defaults of what is kept for each peer.
const (
	Share    = 0.2             // retries per first try
	Burst    = 10.0            // retries that may be saved up
	Failures = 5               // in a row that open the circuit
	Rest     = 2 * time.Second // for which an open circuit stays open
	maxPeers = 4096            // peers remembered, so that old ones cost no memory
)

// peer is what is kept of one peer or dependency: its retry budget and circuit.
type peer struct {
	share, burst float64
	circuit      *gobreaker.CircuitBreaker[struct{}]
	rest         time.Duration

	mu     sync.Mutex
	saved  float64 // retries that may be made, between 0 and burst
	opened time.Time
}

func (c *Caller) peer(name string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.peers[name]; ok {
		return p
	}
	if len(c.peers) >= maxPeers {
		clear(c.peers)
	}
	p := &peer{share: c.share, burst: c.burst, saved: c.burst, rest: c.rest}
	p.circuit = gobreaker.NewCircuitBreaker[struct{}](gobreaker.Settings{
		Name: name, Timeout: c.rest, IsSuccessful: healthy,
		ReadyToTrip: func(n gobreaker.Counts) bool { return n.ConsecutiveFailures >= c.trip },
		OnStateChange: func(_ string, _, to gobreaker.State) {
			if to == gobreaker.StateOpen {
				p.open()
			}
		},
	})
	c.peers[name] = p
	return p
}

// healthy reports whether an error shows that the peer works: it refused for
// good, or said when to come back, or the caller itself gave up.
func healthy(err error) bool {
	var permanent *backoff.PermanentError
	var later *LaterError
	return err == nil || errors.As(err, &permanent) || errors.As(err, &later) || errors.Is(err, context.Canceled)
}

// call calls the peer unless its circuit is open.
func (p *peer) call(op func() error) error {
	_, err := p.circuit.Execute(func() (struct{}, error) { return struct{}{}, op() })
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return fmt.Errorf("%w: %w", ErrOpen, &LaterError{At: p.closes(), Err: err})
	}
	return err
}

func (p *peer) open() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened = time.Now()
}

// closes returns when the circuit lets a call through again.
func (p *peer) closes() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.opened.Add(p.rest + time.Millisecond) // a call passes after the rest, not at its end
	if now := time.Now(); at.Before(now) {
		at = now.Add(p.rest) // a call is on its way that decides
	}
	return at
}

// firstTry earns a share of a retry.
func (p *peer) firstTry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved = min(p.saved+p.share, p.burst)
}

// retry spends one retry; it reports whether there was one. Without the bound
// every caller of a peer that is down multiplies its load by the tries, and the
// peer falls again as soon as it is back.
func (p *peer) retry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.saved < 1 {
		return false
	}
	p.saved--
	return true
}

// Available reports whether a peer would be called now, without calling it.
func (c *Caller) Available(peer string) bool {
	return c.peer(peer).circuit.State() != gobreaker.StateOpen
}
