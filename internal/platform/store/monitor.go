package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Parameters of a Monitor.
const (
	// downAfterFailures is the number of consecutive failures after which the store
	// counts as down: a single one may be a connection that was reset.
	downAfterFailures = 2
	// defaultIdleTime is the time without an answer after which a host probes the store, so
	// that an outage is detected by a probe and not by clients' requests.
	defaultIdleTime = 900 * time.Millisecond
	// downProbeInterval is the time between probes while the store fails. It bounds how
	// long clients are still refused after the store has recovered.
	downProbeInterval = 250 * time.Millisecond
	// probeTimeout is three times the latency of a probe on a store that is 50 times as
	// slow as usual.
	probeTimeout = 700 * time.Millisecond
	// latencyWeight is the weight of the newest call in the moving average of latency,
	// which follows a store that turns slow within a few calls.
	latencyWeight = 0.3
)

// Monitor wraps a store and detects outages from the outcomes of calls and from
// probes. A host that knows of an outage can refuse requests at once, instead of
// having each client wait for the same timeout.
type Monitor struct {
	Store
	probeKey   Key // read by probes
	mu         sync.Mutex
	failures   int           // consecutive failed calls
	lastAnswer time.Time     // of the last answered call
	latency    time.Duration // moving average over answered calls
	wentDown   chan struct{} // holds a value when the store has just gone down
	recovered  chan struct{} // closed at the next recovery
	onChange   func(up bool, err error)
	idleTime   func() time.Duration // time without an answer after which the store is probed
}

// MonitorOption sets one property of a new monitor.
type MonitorOption func(*Monitor)

// WithIdleTime sets the function that returns after which time without an answer the store is
// probed, by default 900 ms. It may return another time on each call.
func WithIdleTime(f func() time.Duration) MonitorOption {
	return func(m *Monitor) { m.idleTime = f }
}

// NewMonitor returns a monitor of a store, which counts as up at first. Probes read
// probeKey, but only while Run runs. onChange is called when the store goes down or comes
// up, in the call whose outcome shows it and with that call's error; it must not block.
func NewMonitor(s Store, probeKey Key, onChange func(up bool, err error), opts ...MonitorOption) *Monitor {
	m := &Monitor{
		Store: s, probeKey: probeKey, wentDown: make(chan struct{}, 1), recovered: make(chan struct{}), onChange: onChange,
		idleTime: func() time.Duration { return defaultIdleTime },
	}
	for _, o := range opts {
		o(m)
	}
	return m
}

// Up reports whether the store counts as up for this host.
func (m *Monitor) Up() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failures < downAfterFailures
}

// LastAnswer returns when the store last answered a call, the zero time before the first
// answer.
func (m *Monitor) LastAnswer() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastAnswer
}

// Recovered returns a channel that is closed at the next recovery of the store, which must
// first go down for that. A call that was in flight during an outage may hang until its
// timeout; its caller can use the channel to retry earlier.
func (m *Monitor) Recovered() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recovered
}

// TypicalLatency returns the moving average of the latency of answered calls; 0 if there
// was none. Calls of Changes are not included.
func (m *Monitor) TypicalLatency() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latency
}

// Run probes the store when no call was answered for a while, and at once when the
// store goes down: a store that only loses the answers to writes comes up again by
// that probe. It returns when the context ends.
func (m *Monitor) Run(ctx context.Context) {
	for wait := m.idleTime(); ; wait = m.untilNextProbe() {
		select {
		case <-ctx.Done():
			return
		case <-m.wentDown:
		case <-time.After(wait):
		}
		if m.probeDue() {
			m.probe(ctx)
		}
	}
}

// probe reads the probe key until a read is answered, at most downAfterFailures times. The
// reads count as calls, so they also change whether the store is up.
func (m *Monitor) probe(ctx context.Context) {
	for range downAfterFailures {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		_, err := Get(probeCtx, m, m.probeKey)
		cancel()
		if err == nil {
			return
		}
	}
}

// probeDue reports whether a call has failed or none was answered for a while.
func (m *Monitor) probeDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.failures > 0 || time.Since(m.lastAnswer) >= m.idleTime()
}

// untilNextProbe returns how long to wait until the next probe may be due.
func (m *Monitor) untilNextProbe() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failures > 0 {
		return downProbeInterval
	}
	return max(m.idleTime()-time.Since(m.lastAnswer), downProbeInterval)
}

// observe records the outcome of a call. If the store goes down or comes up by it, it
// wakes Run or closes the channel of Recovered, and calls onChange. Conflicts, refusals and
// compacted history are answers; a call that its caller cancelled is ignored. A zero start
// leaves the latency as it is: the duration of a call that waits for changes is not the
// store's latency.
func (m *Monitor) observe(ctx context.Context, start time.Time, err error) {
	failed := errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrRefused) || errors.Is(err, ErrOutcomeUnknown)
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	m.mu.Lock()
	wasUp := m.failures < downAfterFailures
	if failed {
		m.failures++
	} else {
		m.failures, m.lastAnswer = 0, time.Now()
		if !start.IsZero() {
			m.latency += time.Duration(latencyWeight * float64(time.Since(start)-m.latency))
		}
	}
	up := m.failures < downAfterFailures
	if up && !wasUp {
		close(m.recovered)
		m.recovered = make(chan struct{})
	}
	m.mu.Unlock()
	if wasUp && !up {
		select {
		case m.wentDown <- struct{}{}:
		default: // already signalled
		}
	}
	if up != wasUp {
		m.onChange(up, err)
	}
}

// Commit implements Store.
func (m *Monitor) Commit(ctx context.Context, tx Tx) (Result, error) {
	start := time.Now()
	res, err := m.Store.Commit(ctx, tx)
	m.observe(ctx, start, err)
	return res, err
}

// Read implements Store.
func (m *Monitor) Read(ctx context.Context, r Range) (Page, error) {
	start := time.Now()
	page, err := m.Store.Read(ctx, r)
	m.observe(ctx, start, err)
	return page, err
}

// Changes implements Store.
func (m *Monitor) Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error) {
	page, err := m.Store.Changes(ctx, table, after, wait)
	m.observe(ctx, time.Time{}, err)
	return page, err
}
