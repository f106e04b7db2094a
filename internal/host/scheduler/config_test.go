package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Hosts that follow the change feed with short waits call the store more often the more hosts
// there are. A wait may be as long as a feed can be lost, detected and replaced by a read of
// the rows before the configuration has to be in force.
func TestFeedWaitsAsLongAsTheConfigurationMayTake(t *testing.T) {
	is := is.New(t)
	for applyTime, want := range map[time.Duration]time.Duration{
		time.Second:     minFeedWait,
		2 * time.Second: minFeedWait,
		3 * time.Second: 1600 * time.Millisecond,
		5 * time.Second: maxFeedWait,
		9 * time.Second: maxFeedWait,
	} {
		wait := longFeedWait(applyTime)
		is.Equal(wait, want)
		is.True(applyTime < 2*time.Second || wait+feedMargin+minReadTimeout < applyTime)
	}
}
