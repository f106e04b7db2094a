package station

import (
	"context"
	"time"

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
func (s *Station) followConfig(ctx context.Context) {
	version := int64(-1) // of the store; below 0: read the row
	patience := readTime
	for ctx.Err() == nil {
		var err error
		if version < 0 {
			version, err = s.readConfig(ctx, patience)
			patience = min(2*patience, longRead) // a host that is short of processor time needs longer
		} else {
			patience = readTime
			version, err = s.awaitConfig(ctx, version)
		}
		if err != nil && ctx.Err() == nil {
			s.log.V(1).Info("configuration not read", "error", err.Error())
			time.Sleep(feedPause)
		}
	}
}

func (s *Station) readConfig(ctx context.Context, patience time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	k := s.config.Key
	page, err := s.store.Read(ctx, store.Range{Table: k.Table, Part: k.Part, From: k.Name, To: k.Name + "\x00"})
	if err != nil {
		return -1, err
	}
	for _, r := range page.Rows {
		s.offer(r)
	}
	s.currency.confirm()
	return page.Version, nil
}

func (s *Station) awaitConfig(ctx context.Context, after int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedExtra)
	defer cancel()
	page, err := s.store.Changes(ctx, s.config.Key.Table, after, feedWait)
	if err != nil {
		return -1, err
	}
	for _, r := range page.Rows {
		if r.Key == s.config.Key && !r.Removed {
			s.offer(r)
		}
	}
	s.currency.confirm()
	return max(page.Version, after), nil
}

// offer takes a stored configuration; one that cannot be read is passed over, and
// the one in force stays.
func (s *Station) offer(r store.Row) {
	ok, err := s.keeper.Offer(r.Value)
	if err != nil {
		s.log.Info("configuration ignored", "row", r.Version, "error", err.Error())
		return
	}
	if ok {
		s.log.Info("configuration in force", "version", s.keeper.Version(), "from", "store", "row", r.Version)
	}
}
