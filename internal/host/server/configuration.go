package server

import (
	"context"
	"errors"
	"time"

	"guavaglade.example/guavaglade/internal/config/inforce"
	"guavaglade.example/guavaglade/internal/platform/ledger"
	"guavaglade.example/guavaglade/internal/report/burn"
	"guavaglade.example/guavaglade/internal/work/placer"
)

// pollConfiguration reads the number of the current version from the platform,
// and its text if it is newer than the one in force.
func (n *Node) pollConfiguration(ctx context.Context, _ time.Time) {
	held := n.config.Version()
	n.spawn(func() {
		bounded, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		version, err := n.ledger.CurrentVersion(bounded)
		if err == nil && version <= held {
			return
		}
		var c ledger.Config
		if err == nil {
			c, err = n.ledger.Current(bounded)
		}
		if err != nil {
			n.log.V(1).Info("configuration", "step", "poll", "error", err.Error())
			return
		}
		n.post(ctx, func() { n.offer(ctx, c, n.settings.Platform(), time.Now()) })
	})
}

// followConfiguration asks a host that announces a newer version for its text,
// so that a zone cut off from the platform but not from its peers gets it too.
func (n *Node) followConfiguration(ctx context.Context, now time.Time) {
	v, from, ok := n.members.NewestConfig(now)
	if !ok || v.Number <= n.fetching || !n.config.Wants(v.Number, now) {
		return
	}
	n.fetching = v.Number
	id := idOf(from)
	n.spawn(func() {
		defer n.post(ctx, func() { n.fetching = 0 })
		var c ledger.Config
		if err := n.call(ctx, id, "config.get", struct{}{}, &c); err != nil {
			n.log.Info("configuration", "step", "fetch", "peer", id, "error", err.Error())
			return
		}
		n.post(ctx, func() { n.offer(ctx, c, id, time.Now()) })
	})
}

func (n *Node) offer(ctx context.Context, c ledger.Config, from string, now time.Time) {
	newer, err := n.config.Put(inforce.Text{Version: c.Version, Change: c.Change, Body: c.Body}, now)
	if err != nil {
		n.metrics.Counter("configuration_refused").Inc(1)
		n.log.Error(err, "configuration", "step", "offer", "peer", from, "version", c.Version)
		return
	}
	if !newer {
		return
	}
	n.log.Info("configuration", "step", "inForce", "version", c.Version, "peer", from)
	n.burn.SetObjectives(burn.ObjectivesOf(n.config.Config()))
	n.metrics.Gauge("configuration_version").Update(float64(c.Version))
	if n.placer != nil {
		n.stepPlacer(ctx, placer.Configured{Config: n.config.Config(), Version: c.Version}, now)
	}
	n.announce()
}

// InForceText returns the configuration in force on this host, and since when.
func (n *Node) InForceText(ctx context.Context) (c ledger.Config, since time.Time, err error) {
	err = n.ask(ctx, func() {
		c = ledger.Config{Version: n.config.Version(), Change: n.config.Change(), Body: n.config.Body()}
		since = n.config.Since()
	})
	return c, since, err
}

// Change makes a text current if base is the current version, and puts it in
// force on this host at once. The error wraps ledger.ErrBase on a race, with
// the configuration that is current.
func (n *Node) Change(ctx context.Context, base int64, change string, body []byte) (ledger.Config, error) {
	bounded, cancel := context.WithTimeout(ctx, 2*callTime)
	defer cancel()
	c, err := n.ledger.Change(bounded, base, change, body)
	if err != nil && !errors.Is(err, ledger.ErrBase) {
		return c, err
	}
	if len(c.Body) > 0 {
		n.post(ctx, func() { n.offer(context.WithoutCancel(ctx), c, "operator", time.Now()) })
	}
	return c, err
}
