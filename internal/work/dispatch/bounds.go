package dispatch

import "time"

// Bounds are the parameters of a deployment on which decisions depend. DefaultBounds
// has values for a small deployment.
type Bounds struct {
	Lease       time.Duration // longest lease that a target grants
	MaxStopTime time.Duration // longest time that a target takes to stop a run
	GangTimeout time.Duration // how long a gang's members wait for the others
	RestoreTime time.Duration // time that a run takes to restore a checkpoint before it works
	// RemoteSlowdown is the factor by which a task away from its data's rack, or a gang
	// that wants one rack but runs on several, takes longer.
	RemoteSlowdown float64
	ReclaimTime    time.Duration // time within which guaranteed work must begin
	Retention      time.Duration // how long clients can query the state of an ended job
	DrainTime      time.Duration // time after which a draining target gets no work
	Partitions     int           // number of partitions over which jobs are spread
	Heartbeat      time.Duration // interval at which targets write their entries in the list; 0: not known, no entry is stale
	MaxListAge     time.Duration // greatest age of the list of targets for placement; 0: no limit
	// EvacuateTime is how long work may still start in a zone after its evacuation; 0: no
	// limit.
	EvacuateTime time.Duration
	// MaxEvacuationAge is the greatest age of the evacuation status for starts; 0: no
	// limit.
	MaxEvacuationAge time.Duration
}

// maxGrantedLease bounds the leases that a leader grants. The work of a target that is lost without a sign waits
// for them, also where targets would grant longer ones; a target that is cut off for longer loses its runs.
const maxGrantedLease = 6 * time.Second

// GrantedLease returns the longest lease that a leader grants.
func (b Bounds) GrantedLease() time.Duration { return min(b.Lease, maxGrantedLease) }

// DefaultBounds returns bounds for tests and small deployments.
func DefaultBounds() Bounds {
	return Bounds{
		Lease: 6 * time.Second, MaxStopTime: 400 * time.Millisecond, GangTimeout: 3 * time.Second,
		RestoreTime: 100 * time.Millisecond, RemoteSlowdown: 3,
		ReclaimTime: 2900 * time.Millisecond, DrainTime: 2 * time.Second, EvacuateTime: 5 * time.Second, Retention: 120 * time.Second, Partitions: 4,
	}
}

const (
	// maxPollWait is how long a poll waits for an end. It is the longest wait that
	// targets allow, so a busy target without ends costs one call every two seconds.
	maxPollWait = 2 * time.Second
	// clockDrift is the fraction by which a target's clock may run slow.
	clockDrift = 0.02
	// leaseSlack is added to the time at which a lease is taken to have lapsed. It covers
	// the rounding of the target's clock to milliseconds and the latency of the order.
	leaseSlack = 100 * time.Millisecond
	// orderRetryInterval is the time after which an unanswered order is sent again. It
	// allows for a TCP retransmission and is a tenth of the default GangTimeout.
	orderRetryInterval = 300 * time.Millisecond
	// startValidity is how long after it was sent a start may be executed: its deadline is no
	// later, and polls renew the lease. It is long enough for a poll to be lost and another
	// one answered, and shorter than the time after which nothing may start any more for a
	// job that was cancelled or shown as completed.
	startValidity = 2800 * time.Millisecond
	// maxStartsSent is how often an unanswered start is sent before its run is given up.
	// With orderRetryInterval, that takes well under GangTimeout.
	maxStartsSent = 3
	// pollRetryPause is the pause before a target that did not report is polled again.
	pollRetryPause = 300 * time.Millisecond
	// saveRetryPause is the pause after the store refused a save.
	saveRetryPause = 200 * time.Millisecond
)
