package scheduler

import (
	"context"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/evacuation"
	"guavaglade.example/guavaglade/internal/platform/store"
)

// Figures of following the configuration.
const (
	// feedWait is how long a feed waits for a change. A connection that is silent
	// for good shows after feedWait and feedExtra; the configuration must be in
	// force within two seconds.
	feedWait  = 600 * time.Millisecond
	feedExtra = 500 * time.Millisecond // some times what a slow store takes
	readTime  = 600 * time.Millisecond // the same, for the reading after a failed feed; twice as long after each one that failed
	longRead  = 3 * time.Second        // at most so long
	feedPause = 150 * time.Millisecond // between two tries
)

// followConfig keeps the configuration up to date from the store. Where the store
// does not serve this host, it comes from peers.
func (s *Scheduler) followConfig(ctx context.Context) {
	version := int64(-1) // of the store; below 0: read the row
	patience := readTime
	for ctx.Err() == nil {
		known := version
		cut, err := store.RunUntilRecovered(ctx, s.store.Recovered(), func(ctx context.Context) (err error) {
			if known < 0 {
				version, err = s.readConfig(ctx, patience)
			} else {
				version, err = s.awaitConfig(ctx, known)
			}
			return err
		})
		switch {
		case cut:
			version = -1
			continue
		case known < 0:
			patience = min(2*patience, longRead) // a host that is short of processor time needs longer
		default:
			patience = readTime
		}
		if err != nil && ctx.Err() == nil {
			s.log.V(1).Info("configuration not read", "error", err.Error())
			time.Sleep(feedPause)
		}
	}
}

func (s *Scheduler) readConfig(ctx context.Context, patience time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	k := s.config.Key
	rows := store.Range{Table: k.Table, Partition: k.Partition, From: k.Name, To: k.Name + "\x00"}
	if s.config.Evacuated != nil {
		rows.From, rows.To = "", "" // the evacuated zones stand beside it
	}
	asked := s.currency.clock()
	page, err := store.ReadAll(ctx, s.store, rows)
	if err != nil {
		return -1, err
	}
	var zones []string
	for _, r := range page.Rows {
		if zone, ok := s.evacuatedBy(r.Key); ok {
			zones = append(zones, zone)
		} else if r.Key == k {
			s.offer(r)
		}
	}
	if s.zones.Replace(zones, asked) {
		s.tellZones()
	}
	s.currency.confirm()
	return page.Version, nil
}

func (s *Scheduler) awaitConfig(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedExtra)
	defer cancel()
	asked := s.currency.clock()
	page, err := s.store.Changes(ctx, s.config.Key.Table, after, feedWait)
	if err != nil {
		return -1, err
	}
	var changes []evacuation.Change
	for _, r := range page.Rows {
		if zone, ok := s.evacuatedBy(r.Key); ok {
			changes = append(changes, evacuation.Change{Zone: zone, Evacuated: !r.Removed})
		} else if r.Key == s.config.Key && !r.Removed {
			s.offer(r)
		}
	}
	if s.zones.Apply(changes, asked) {
		s.tellZones()
	}
	s.currency.confirm()
	return max(page.Version, after), nil
}

// evacuatedBy returns the zone that a row evacuates, if it is such a row.
func (s *Scheduler) evacuatedBy(k store.Key) (zone string, ok bool) {
	if s.config.Evacuated == nil {
		return "", false
	}
	return s.config.Evacuated(k)
}

func (s *Scheduler) tellZones() {
	s.log.Info("evacuations in force", "host", s.identity.Name, "zones", s.Evacuations().Zones)
}

// Evacuations returns the zones that operators evacuate, by the configuration or by
// rows of their own.
func (s *Scheduler) Evacuations() evacuation.Status {
	return s.zones.Current().With(s.keeper.Current().Evacuated()...)
}

// offer takes a stored configuration; one that cannot be read is passed over, and
// the one in force stays.
func (s *Scheduler) offer(r store.Row) {
	ok, err := s.keeper.Offer(r.Value)
	if err != nil {
		s.log.Info("configuration ignored", "row", r.Version, "error", err.Error())
		return
	}
	if ok {
		s.log.Info("configuration in force", "version", s.keeper.Version(), "from", "store", "row", r.Version)
	}
}
