package scheduler

import (
	"context"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/evacuation"
	"guavaglade.example/guavaglade/internal/platform/store"
)

// Timeouts of following the stored configuration.
const (
	// minFeedWait is how long a read of the change feed waits for a change at least. A dead
	// connection is detected after the wait and feedMargin; a new configuration must be
	// in force within two seconds.
	minFeedWait    = 600 * time.Millisecond
	maxFeedWait    = 3 * time.Second
	feedMargin     = 500 * time.Millisecond // several times the latency of a slow store
	feedSlack      = 300 * time.Millisecond // for reading and applying the rows after a failed feed
	idleSlack      = 100 * time.Millisecond // beyond the feed's wait, after which its answer shows that the store is up
	minReadTimeout = 600 * time.Millisecond // of the full read after a failed feed; doubles on each failure
	maxReadTimeout = 3 * time.Second
	feedRetryPause = 150 * time.Millisecond
)

// feedWait returns how long a read of the change feed waits. Every host follows the feed, so
// its calls grow with the hosts. While the leader reports, which also detects an outage or a
// newer configuration, a read may wait for as long as it can be lost and the configuration
// still be in force in time.
func (s *Scheduler) feedWait() time.Duration {
	if !s.endpoint.LeaderReports() {
		return minFeedWait
	}
	return s.longFeedWait
}

// longFeedWait returns the longest wait of a read of the feed after which a lost
// configuration can be read within the time in which it has to be in force.
func longFeedWait(applyTime time.Duration) time.Duration {
	return min(max(minFeedWait, applyTime-feedMargin-minReadTimeout-feedSlack), maxFeedWait)
}

// idleTime returns the time without an answer of the store after which it is probed. A host
// whose watch of the leader fails reads the leader row at once, which is a probe as well.
func (s *Scheduler) idleTime() time.Duration { return s.feedWait() + idleSlack }

// followConfig keeps the configuration and the zones evacuated by rows up to date from the
// store until the context ends. It reads the rows once, then follows the change feed, and
// reads the rows again after a failure. While the store does not serve this host, peers send
// the configuration.
func (s *Scheduler) followConfig(ctx context.Context) {
	version := int64(-1) // of the table as last read; below 0: read the row
	readTimeout := minReadTimeout
	for ctx.Err() == nil {
		after := version
		interrupted, err := store.RunUntilRecovered(ctx, s.store.Recovered(), func(ctx context.Context) (err error) {
			if after < 0 {
				version, err = s.readConfig(ctx, readTimeout)
			} else {
				version, err = s.awaitConfig(ctx, after)
			}
			return err
		})
		switch {
		case interrupted:
			version = -1
			continue
		case after < 0:
			readTimeout = min(2*readTimeout, maxReadTimeout) // a host short of CPU time needs longer
		default:
			readTimeout = minReadTimeout
		}
		if err != nil && ctx.Err() == nil {
			s.log.V(1).Info("configuration not read", "error", err.Error())
			time.Sleep(feedRetryPause)
		}
	}
}

// readConfig reads the row of the configuration and, if EvacuatedZone is set, all rows of its
// partition. It applies them and returns the version after which the change feed continues.
func (s *Scheduler) readConfig(ctx context.Context, timeout time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	k := s.config.Key
	rows := store.Range{Table: k.Table, Partition: k.Partition, From: k.Name, To: k.Name + "\x00"}
	if s.config.EvacuatedZone != nil {
		rows.From, rows.To = "", "" // rows of evacuated zones are in the same partition
	}
	asOf := s.freshness.clock()
	page, err := store.ReadAll(ctx, s.store, rows)
	if err != nil {
		return -1, err
	}
	var zones []string
	for _, r := range page.Rows {
		if zone, ok := s.evacuatedZone(r.Key); ok {
			zones = append(zones, zone)
		} else if r.Key == k {
			s.offerRow(r)
		}
	}
	if s.zones.Replace(zones, asOf) {
		s.logEvacuations()
	}
	s.freshness.confirm()
	return page.Version, nil
}

// awaitConfig waits up to the feed's wait for changes of the configuration and the evacuated zones
// after a version, applies them and returns the version after which to go on. An answer
// without changes confirms the configuration as well.
func (s *Scheduler) awaitConfig(ctx context.Context, after int64) (int64, error) {
	wait := s.feedWait()
	ctx, cancel := context.WithTimeout(ctx, wait+feedMargin)
	defer cancel()
	asOf := s.freshness.clock()
	page, err := s.store.Changes(ctx, s.config.Key.Table, after, wait)
	if err != nil {
		return -1, err
	}
	var changes []evacuation.Change
	for _, r := range page.Rows {
		if zone, ok := s.evacuatedZone(r.Key); ok {
			changes = append(changes, evacuation.Change{Zone: zone, Evacuated: !r.Removed})
		} else if r.Key == s.config.Key && !r.Removed {
			s.offerRow(r)
		}
	}
	if s.zones.Apply(changes, asOf) {
		s.logEvacuations()
	}
	s.freshness.confirm()
	return max(page.Version, after), nil
}

// evacuatedZone returns the zone that a row evacuates, if it is a row of an evacuation.
func (s *Scheduler) evacuatedZone(k store.Key) (zone string, ok bool) {
	if s.config.EvacuatedZone == nil {
		return "", false
	}
	return s.config.EvacuatedZone(k)
}

func (s *Scheduler) logEvacuations() {
	s.log.Info("evacuations in force", "host", s.identity.Name, "zones", s.Evacuations().Zones)
}

// Evacuations returns the zones that operators have evacuated, in the configuration or
// by separate rows. AsOf is when the rows were last read or confirmed.
func (s *Scheduler) Evacuations() evacuation.Status {
	return s.zones.Current().With(s.keeper.Current().Evacuated()...)
}

// offerRow applies a stored configuration if it is newer than the one in force. One that
// cannot be decoded is logged and ignored.
func (s *Scheduler) offerRow(r store.Row) {
	ok, err := s.keeper.Offer(r.Value)
	if err != nil {
		s.log.Info("configuration ignored", "row", r.Version, "error", err.Error())
		return
	}
	if ok {
		s.log.Info("configuration in force", "version", s.keeper.Version(), "from", "store", "row", r.Version)
	}
}
