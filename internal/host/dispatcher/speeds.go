package dispatcher

import (
	"context"
	"errors"
	"time"

	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/work/dispatch"
)

// The rows of speeds are in one partition, so that the fence row of that partition covers them.
const (
	speedsTable     = "speeds"
	speedsPartition = 0
)

// SpeedsKey returns the key of the row with the speeds of a service's targets.
func SpeedsKey(service string) store.Key {
	return store.Key{Table: speedsTable, Partition: fenceKey(speedsPartition).Partition, Name: service}
}

// learnSpeeds passes to the machine of which services speeds are learned, and reads the rows of earlier
// leaders if there is one more. The read is not waited for.
func (l *leadership) learnSpeeds(services map[string]bool) {
	l.machine.SetLearnedSpeeds(services)
	more := false
	for name := range services {
		more = more || !l.speedServices[name]
	}
	l.speedServices = services
	if more {
		l.spawn(l.readSpeeds)
	}
}

// readSpeeds reads the rows of speeds until the store answers or the term ends, and passes them to the
// main loop.
func (l *leadership) readSpeeds() {
	for attempt := 0; l.ctx.Err() == nil; attempt++ {
		rows, err := l.tryReadSpeeds()
		if err == nil {
			select {
			case l.speedRows <- rows:
			case <-l.ctx.Done():
			}
			return
		}
		if attempt == 0 {
			l.log.Info("target speeds not read", "error", err.Error())
		}
		sleep(l.ctx, storeRetryDelay)
	}
}

func (l *leadership) tryReadSpeeds() ([]dispatch.SpeedsRow, error) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	page, err := store.ReadAll(ctx, l.store, store.Range{Table: speedsTable, Partition: fenceKey(speedsPartition).Partition})
	if err != nil {
		return nil, err
	}
	rows := make([]dispatch.SpeedsRow, 0, len(page.Rows))
	for _, r := range page.Rows {
		rows = append(rows, dispatch.SpeedsRow{Service: r.Key.Name, Value: r.Value, Version: r.Version})
	}
	return rows, nil
}

// restoreSpeeds passes rows of speeds to the machine.
func (l *leadership) restoreSpeeds(rows []dispatch.SpeedsRow) {
	for _, err := range l.machine.RestoreSpeeds(rows, l.clock()) {
		l.log.Info("malformed row ignored", "table", speedsTable, "error", err.Error())
	}
}

// restoreSpeedsIfRead passes the rows of speeds to the machine if they have been read.
func (l *leadership) restoreSpeedsIfRead() {
	select {
	case rows := <-l.speedRows:
		l.restoreSpeeds(rows)
	default:
	}
}

// saveSpeeds writes a row of speeds, unless the fence row or the row itself has changed. If it has, the
// machine is told its version. If the outcome is not known, the machine repeats the save, and a conflict
// shows then whether it took effect.
func (l *leadership) saveSpeeds(c dispatch.SaveSpeeds) {
	fence, row := store.Expect{Key: fenceKey(speedsPartition), Version: l.fences[speedsPartition]}, store.Expect{Key: SpeedsKey(c.Service), Version: c.Version}
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	res, err := l.store.Commit(ctx, store.Tx{Expect: []store.Expect{fence, row}, Put: []store.Put{{Key: row.Key, Value: c.Value}}})
	switch {
	case err == nil:
		l.post(func(now time.Time) { l.machine.SpeedsSaved(c.Service, res.Version, now) })
		return
	case errors.Is(err, store.ErrConflict):
		stored := map[store.Key]int64{}
		for _, r := range res.Rows {
			stored[r.Key] = r.Version
		}
		if stored[fence.Key] != fence.Version {
			l.log.Info("deposed", "step", "save speeds", "part", speedsPartition, "term", l.term.Number())
			l.post(func(time.Time) { l.machine.MarkSuperseded() })
			return
		}
		l.post(func(now time.Time) { l.machine.SpeedsNotSaved(c.Service, stored[row.Key], now) })
		return
	}
	l.log.V(1).Info("target speeds not saved", "service", c.Service, "error", err.Error())
	l.post(func(now time.Time) { l.machine.SpeedsNotSaved(c.Service, c.Version, now) })
}

// updateSpeedMetrics updates the gauges of the targets' speeds.
func (l *leadership) updateSpeedMetrics() {
	for service, c := range l.machine.Speeds() {
		scope := l.metrics.Tagged(map[string]string{"service": service})
		scope.Gauge("target_speed_spread").Update(c.Spread)
		scope.Gauge("targets_fast").Update(float64(c.Fast))
		scope.Gauge("targets_slow").Update(float64(c.Slow))
	}
}
