package dispatcher

import (
	"context"
	"time"

	"guavaglade.example/guavaglade/internal/work/dispatch"
)

// Timing of a handover. The present leader may be out of reach, or not lead yet.
const (
	handoverTimeout    = 20 * time.Second
	handoverRetryDelay = 300 * time.Millisecond
)

// handOver passes what an ended term has left to the present leader, and repeats that until it
// succeeds or the timeout has passed.
func (d *Dispatcher) handOver(ctx context.Context, term int64, h dispatch.Handover) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for {
		err := d.passOn(ctx, h)
		if err == nil {
			d.log.Info("handed over", "term", term, "ends", len(h.Ends), "lapsed", len(h.Lapsed))
			return
		}
		if ctx.Err() != nil {
			d.log.Info("not handed over", "term", term, "ends", len(h.Ends), "lapsed", len(h.Lapsed), "error", err.Error())
			return
		}
		sleep(ctx, handoverRetryDelay)
	}
}

// AcceptHandover applies what an earlier leader has passed on.
func (d *Dispatcher) AcceptHandover(ctx context.Context, h dispatch.Handover) error {
	return d.onLoop(ctx, func(m *dispatch.Machine, now time.Time) { m.ApplyHandover(h, now) })
}
