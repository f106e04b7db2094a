package entry

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"guavaglade.example/guavaglade/internal/work/cancellation"
)

// Limits of the calls that store cancellations of jobs that are not stored.
const (
	// cancelShare is their share of the store's write calls, of all hosts together.
	cancelShare = 0.1
	// scopeShare is the share of them that one account, public queue or the operators may use.
	scopeShare = 0.25
	// cancelBurst is how much of the rate may be saved up, and minCancelBurst how many calls may at least.
	cancelBurst    = 2 * time.Second
	minCancelBurst = 2
	// usualStoreLatency is the latency up to which the store takes its full rate. The rate of a slower
	// one is taken to be lower by as many times as its calls take longer.
	usualStoreLatency = 20 * time.Millisecond
	// defaultStoreWrites is the write rate of the smallest store of the deployments, a second.
	defaultStoreWrites = 600
	// assumedHosts is taken for the number of hosts until a leader has reported it.
	assumedHosts = 8
	// maxLimitedScopes bounds the scopes that are limited one by one. All are forgotten beyond it.
	maxLimitedScopes = 1024
)

// cancelLimit limits the calls of this host that store cancellations of jobs that are not stored:
// clients may make any number of these, and other requests need the store's writes.
type cancelLimit struct {
	storeWrites float64    // a second, from all hosts
	hosts       func() int // 0: not known
	mu          sync.Mutex
	total       *rate.Limiter
	byScope     map[cancellation.Scope]*rate.Limiter // at most maxLimitedScopes
}

func newCancelLimit() *cancelLimit {
	return &cancelLimit{
		storeWrites: defaultStoreWrites, hosts: func() int { return 0 },
		total: rate.NewLimiter(0, minCancelBurst), byScope: map[cancellation.Scope]*rate.Limiter{},
	}
}

// allow reports whether a call for a scope may be made now, on a store with a latency.
func (l *cancelLimit) allow(scope cancellation.Scope, latency time.Duration, now time.Time) bool {
	hosts := l.hosts()
	if hosts <= 0 {
		hosts = assumedHosts
	}
	slowness := max(1, float64(latency)/float64(usualStoreLatency))
	perSecond := cancelShare * l.storeWrites / float64(hosts) / slowness
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.byScope[scope]
	if own == nil {
		if len(l.byScope) >= maxLimitedScopes {
			clear(l.byScope)
		}
		own = rate.NewLimiter(0, minCancelBurst)
		l.byScope[scope] = own
	}
	setRate(l.total, perSecond, now)
	setRate(own, scopeShare*perSecond, now)
	if own.TokensAt(now) < 1 || l.total.TokensAt(now) < 1 {
		return false
	}
	return own.AllowN(now, 1) && l.total.AllowN(now, 1)
}

// setRate sets the rate of a limiter, a second, and a burst of cancelBurst.
func setRate(l *rate.Limiter, perSecond float64, now time.Time) {
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, max(minCancelBurst, int(perSecond*cancelBurst.Seconds())))
}
