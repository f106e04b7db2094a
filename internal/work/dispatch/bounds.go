package dispatch

import "time"

// Bounds are the figures of a deployment that decisions depend on. Each has a
// default that suits a small deployment.
type Bounds struct {
	Lease          time.Duration // longest lease that a target grants
	MaxStopTime    time.Duration // a target takes at most so long to stop a run
	GangTimeout    time.Duration // members wait so long for the others
	RestoreTime    time.Duration // a run that resumes from a checkpoint works from then on
	RemoteSlowdown float64       // a task away from its data, or a gang on several racks, takes so many times as long
	ReclaimTime    time.Duration // within it, guaranteed work has begun
	Retention      time.Duration // how long the state of an ended job is known
	DrainTime      time.Duration // a target that leaves gets no work after it
	Parts          int           // parts over which jobs are spread
	MaxListAge     time.Duration // nothing is placed by a list of targets that is older; 0: no limit
	// EvacuateTime is how long after a zone was evacuated work may still start there; 0: not bounded.
	EvacuateTime time.Duration
	// MaxEvacuationAge bounds the age of what is known of evacuations when work starts; 0: no limit.
	MaxEvacuationAge time.Duration
}

// DefaultBounds returns bounds for trials.
func DefaultBounds() Bounds {
	return Bounds{
		Lease: 6 * time.Second, MaxStopTime: 400 * time.Millisecond, GangTimeout: 3 * time.Second,
		RestoreTime: 100 * time.Millisecond, RemoteSlowdown: 3,
		ReclaimTime: 2900 * time.Millisecond, DrainTime: 2 * time.Second, EvacuateTime: 5 * time.Second, Retention: 120 * time.Second, Parts: 4,
	}
}

const (
	// maxPollWait is how long a report waits for an end: the longest that targets
	// allow, so that a busy target without ends costs one call in two seconds.
	maxPollWait = 2 * time.Second
	// clockDrift is the share by which a target's clock may be slow.
	clockDrift = 0.02
	// leaseSlack is added to the time after which a lease is believed over, for
	// the whole milliseconds of the target's clock and the way there.
	leaseSlack = 100 * time.Millisecond
	// orderRetryInterval is the time from an order to the next try if it got no answer:
	// long enough for a lost packet to be sent again by TCP, and a tenth of the
	// time that gangs wait.
	orderRetryInterval = 300 * time.Millisecond
	// maxStartsSent is how often a start without an answer is sent before the run
	// is given up: with retryOrder well under the time that gangs wait.
	maxStartsSent = 3
	// pollRetryPause is the pause before a target that did not report is asked again.
	pollRetryPause = 300 * time.Millisecond
	// saveRetryPause is the pause after the store refused a save.
	saveRetryPause = 200 * time.Millisecond
)
