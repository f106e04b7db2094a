package server

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"guavaglade.example/guavaglade/internal/platform/ledger"
	"guavaglade.example/guavaglade/internal/work/placer"
)

func compareZones(a, b string) int { return strings.Compare(a, b) }

// pollConfiguration reads the current version from the platform.
func (n *Node) pollConfiguration(ctx context.Context, _ time.Time) {
	n.spawn(func() {
		bounded, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		c, err := n.ledger.Current(bounded)
		if err != nil {
			n.log.V(1).Info("configuration", "step", "poll", "error", err.Error())
			return
		}
		n.post(ctx, func() { n.offer(ctx, c.Version, c.Body, n.settings.Platform(), time.Now()) })
	})
}

// fetchConfiguration asks a peer that has a newer version for its text.
func (n *Node) fetchConfiguration(ctx context.Context, id string) {
	n.spawn(func() {
		var c ledger.Config
		if err := n.call(ctx, id, "config.get", struct{}{}, &c); err != nil {
			n.log.Info("configuration", "step", "fetch", "peer", id, "error", err.Error())
			return
		}
		n.post(ctx, func() { n.offer(ctx, c.Version, c.Body, id, time.Now()) })
	})
}

func (n *Node) offer(ctx context.Context, version int64, body []byte, from string, now time.Time) {
	newer, err := n.config.Offer(version, body, now)
	if err != nil {
		n.metrics.Counter("configuration_refused").Inc(1)
		n.log.Error(err, "configuration", "step", "offer", "peer", from, "version", version)
		return
	}
	if !newer {
		return
	}
	n.log.Info("configuration", "step", "inForce", "version", version, "peer", from)
	n.metrics.Gauge("configuration_version").Update(float64(version))
	if n.placer != nil {
		n.stepPlacer(ctx, placer.Configured{Config: n.config.Config(), Version: version}, now)
	}
	n.beat(ctx, now)
}

// Configuration returns the version and text in force on this host.
func (n *Node) Configuration(ctx context.Context) (version int64, body []byte, since time.Time, err error) {
	err = n.ask(ctx, func() { version, body, since = n.config.Version(), n.config.Body(), n.config.Since() })
	return version, body, since, err
}

// Change makes a text current if base is the current version, and puts it in
// force on this host at once. The error wraps ledger.ErrBase on a race, with
// the configuration that is current.
func (n *Node) Change(ctx context.Context, base int64, change string, body []byte) (ledger.Config, error) {
	bounded, cancel := context.WithTimeout(ctx, 2*callTime)
	defer cancel()
	c, err := n.ledger.Change(bounded, base, change, body)
	if err != nil && !errors.Is(err, ledger.ErrBase) {
		return c, fmt.Errorf("change %s: %w", change, err)
	}
	if c.Version > 0 {
		n.post(ctx, func() { n.offer(context.WithoutCancel(ctx), c.Version, c.Body, "operator", time.Now()) })
	}
	return c, err
}
