package dispatch

import (
	"time"

	"guavaglade.example/guavaglade/internal/fleet/order"
	"guavaglade.example/guavaglade/internal/work/graph"
	"guavaglade.example/guavaglade/internal/work/stages"
)

// phase is the state of a run in its life cycle.
type phase int

const (
	awaitingCapacity phase = iota // placed, but its target has no free capacity yet
	recorded                      // holds capacity; its start is sent once the placement is saved
	starting                      // a start was sent
	running                       // on its target
	stopping                      // to be stopped, whether or not the stop was answered
	unconfirmed                   // recorded by an earlier leader; its target has not reported yet
)

// run is a run of a task on a target, from its placement until it can no longer exist.
type run struct {
	order.Run
	task            *task
	target          *target
	charge          graph.Resources // what it takes of the target's capacity
	phase           phase
	placedAt        time.Time
	recordedAt      time.Time    // when it was recorded
	recordRev       int64        // revision of the job's progress that records it
	firstSentAt     time.Time    // when its first start was sent in this term
	sentAt          time.Time    // when the last order was sent
	startsSent      int          // number of starts sent
	unanswered      int          // number of starts sent that have not been answered
	startsExpireAt  time.Time    // when the target refuses all of them as late; zero: not known
	startsExpired   bool         // that time has passed
	sentToSilent    bool         // its target had not answered for long when the first start was sent
	orderPending    bool         // an order is outstanding
	orderAnsweredAt time.Time    // when the target answered the start or the stop; zero: neither
	endDueAt        time.Time    // when the run should have ended, once its target has accepted or refused its stop; zero: not known
	resumedFrom     string       // checkpoint that the start carried
	checkpoint      string       // newest checkpoint reported
	checkpointAt    time.Time    // when that was first reported
	ticket          string       // advice ticket that the start carries
	paceShare       int          // share of full speed that a best-effort run is allowed, in percent
	gauge           int          // order.Running.Gauge as last reported: tail latency in ms of a serving task
	percent         int          // progress last reported
	reportedAt      time.Time    // when the progress was last reported
	progressedAt    time.Time    // when the progress last changed
	progressedAfter time.Time    // report before the one that showed that change; zero: not known
	stalled         bool         // it was found stalled since the progress last changed
	hasStalled      bool         // it was found stalled at any time
	firstProgressAt time.Time    // when progress above 0 was first reported; zero: none yet
	firstPercent    int          // progress reported then
	beganAt         time.Time    // when it was first known to be on the target; zero: it is not known to have begun
	endCause        stages.Cause // why it ends otherwise than as done; none: it does not, or that is not known yet
	provedHealthy   bool         // it has worked long enough to be evidence of its target's health
	sentTo          int64        // incarnation of the target to which it was or will be sent, or that reported it; 0: unknown
	reported        bool         // that incarnation has reported it
	blamed          bool         // it was lost with an earlier incarnation, and is only waited for since
}
