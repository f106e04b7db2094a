package machine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"guavaglade.example/guavaglade/internal/config/inforce"
	"guavaglade.example/guavaglade/internal/host/intake"
	"guavaglade.example/guavaglade/internal/host/member"
	"guavaglade.example/guavaglade/internal/host/ticket"
	"guavaglade.example/guavaglade/internal/platform/ledger"
	"guavaglade.example/guavaglade/internal/platform/table"
	"guavaglade.example/guavaglade/internal/work/placer"
)

// Times of a host's shell.
const (
	tickEvery = 250 * time.Millisecond
	pollEvery = time.Second
	callTime  = 2 * time.Second
	leavingIn = 3 * time.Second // a worker that is leaving gets nothing new after that
)

// host is a shell around the real machines of one host: it carries messages and
// decides nothing.
type host struct {
	node
	w           *world
	inc         int64
	alive       bool
	pausedUntil time.Time
	table       *member.Table
	entry       *intake.Machine
	placer      *placer.Machine // nil until it first is the zone's placer
	term        int             // times that it began to place
	given       map[string]bool // jobs that were given, by placer
	config      *inforce.Keeper
	ledger      *ledger.Ledger
	book        *ticket.Book
	polled      time.Time
	version     int64                // highest that was in force in this incarnation
	toldLeaving map[string]time.Time // since when its placer is told so, by source and worker
}

func newHost(w *world, zone string, i int) *host {
	return &host{node: node{fmt.Sprintf("10.0.%d.%d:7000", zone[0]-'a', i+1), zone}, w: w}
}

func (h *host) id() string { return h.idOf(h.inc) }

func (h *host) idOf(inc int64) string { return fmt.Sprintf("%s#%d", h.name, inc) }

func (h *host) self() member.Host {
	return member.Host{Address: h.name, Zone: h.zone, Incarnation: h.inc, Protocol: 1}
}

// begin starts a new incarnation that knows nothing.
func (h *host) begin() {
	h.inc++
	h.alive, h.pausedUntil, h.version, h.placer = true, time.Time{}, 0, nil
	h.table, h.entry, h.config = member.New(h.self()), intake.New(h.zone), &inforce.Keeper{}
	h.ledger = ledger.New(h.w.platform, h.id())
	h.toldLeaving, h.given = map[string]time.Time{}, map[string]bool{}
	book, err := ticket.New(h.name, h.inc, rand.NewChaCha8([32]byte{byte(h.inc), h.name[5], h.name[7]}))
	if err != nil {
		panic(err)
	}
	h.book = book
	h.tick()
}

func (h *host) kill() { h.alive = false }

// guard returns do for this incarnation: not done by a later one, and after the
// pause if the host is paused.
func (h *host) guard(do func()) func() {
	inc := h.inc
	var run func()
	run = func() {
		switch {
		case !h.alive || h.inc != inc:
		case h.w.now.Before(h.pausedUntil):
			h.w.at(h.pausedUntil, run)
		default:
			do()
		}
	}
	return run
}

// call sends a request to another host.
func (h *host) call(to *host, do func() func(), silent func()) {
	h.w.call(h.node, to.node, callTime, func() func() {
		if !to.alive || h.w.now.Before(to.pausedUntil) {
			return nil
		}
		return wrap(h, do())
	}, h.guard(silent))
}

func wrap(h *host, reply func()) func() {
	if reply == nil {
		return nil
	}
	return h.guard(reply)
}

func (h *host) tick() {
	h.w.after(tickEvery, h.guard(h.tick))
	placers := map[string]string{}
	for _, zone := range []string{"a", "b"} {
		if p, ok := h.table.Placer(zone, h.w.now); ok {
			placers[zone] = fmt.Sprintf("%s#%d", p.Address, p.Incarnation)
		}
	}
	switch mine := placers[h.zone] == h.id(); {
	case mine && h.placer == nil:
		h.place()
	case mine && h.placer.Draining() || !mine && h.w.drop && h.placer != nil && h.placer.Settled():
		h.placer = nil
	case !mine && h.w.drop && h.placer != nil:
		h.placer.Drain()
	}
	h.enter(intake.PlacersSeen{Placers: placers})
	h.enter(intake.Ticked{})
	h.step(placer.Ticked{})
	if !h.w.now.Before(h.polled.Add(pollEvery)) {
		h.polled = h.w.now
		h.poll()
	}
}

func (h *host) place() {
	h.term++
	identity := fmt.Sprintf("%s/%d", h.id(), h.term)
	h.placer = placer.New(h.zone, nil, placer.WithIdentity(identity), placer.WithRand(rand.New(rand.NewPCG(h.w.rnd.Uint64(), 1))))
	h.w.logf("%s places for zone %s", h.id(), h.zone)
	if h.config.Config() != nil {
		h.step(placer.Configured{Config: h.config.Config(), Version: h.config.Version()})
	}
}

// poll sends heartbeats and asks the platform for configuration and targets.
func (h *host) poll() {
	self, version, body := h.self(), h.config.Version(), h.config.Body()
	for _, to := range h.w.hosts {
		if to == h {
			continue
		}
		h.w.send(h.node, to.node, func() {
			to.guard(func() {
				to.table.Heard(self, h.w.now)
				to.offer(version, body)
			})()
		})
	}
	h.w.platform.ask(h, func(err error) func() {
		if err != nil {
			return func() {}
		}
		c := h.w.platform.current(h.ledger)
		var targets []table.Target
		for _, k := range h.w.workers {
			targets = append(targets, k.listed())
		}
		return func() {
			h.offer(c.Version, c.Body)
			h.targets(targets)
		}
	})
}

// current reads the configuration; one time in ten an older one than the
// newest, as a replica that lags would give.
func (p *platform) current(l *ledger.Ledger) ledger.Config {
	if len(p.versions) > 0 && p.w.chance(10) {
		return p.versions[p.w.rnd.IntN(len(p.versions))]
	}
	c, err := l.Current(context.Background())
	if err != nil {
		return ledger.Config{}
	}
	return c
}

// offer puts a version in force and checks that it never falls.
func (h *host) offer(version int64, body []byte) {
	if version == 0 {
		return
	}
	if h.w.broken.forgetVersion {
		h.config = &inforce.Keeper{}
	}
	changed, err := h.config.Offer(version, body, h.w.now)
	if err != nil {
		h.w.violate("config", "%v", err)
	}
	if h.config.Version() < h.version {
		h.w.violate("versionFalls", "%s had version %d in force and now %d", h.id(), h.version, h.config.Version())
	}
	h.version = h.config.Version()
	if changed {
		h.step(placer.Configured{Config: h.config.Config(), Version: version})
	}
}

func (h *host) targets(ts []table.Target) {
	for i := range ts {
		h.hearLeaving("list "+ts[i].ID, ts[i].Leaving)
		ts[i].Leaving = ts[i].Leaving && !h.w.broken.ignoreLeaving
	}
	h.step(placer.TargetsListed{Targets: ts})
}

// hearLeaving notes since when the placer was told by a source that a worker is
// leaving.
func (h *host) hearLeaving(source string, leaving bool) {
	if _, ok := h.toldLeaving[source]; !leaving {
		delete(h.toldLeaving, source)
	} else if !ok && h.placer != nil {
		h.toldLeaving[source] = h.w.now
	}
}

// enter steps the entry's machine.
func (h *host) enter(ev intake.Event) {
	for _, c := range h.entry.Step(ev, h.w.now) {
		switch c := c.(type) {
		case intake.Give:
			h.give(c)
		case intake.CancelAt:
			if to := h.w.hostOf(c.Placer); to != nil {
				h.w.send(h.node, to.node, to.guard(func() { to.step(placer.CancelAsked{Job: c.Job}) }))
			}
		case intake.Finish:
			h.w.finished(h, c)
		}
	}
}

func (h *host) give(c intake.Give) {
	to, key := h.w.hostOf(c.Placer), c.Placer+" "+string(c.Job.ID())
	if to == nil || h.w.broken.giveOnce && h.given[key] {
		return
	}
	h.given[key] = true
	h.call(to, func() func() {
		if to.placer == nil {
			return nil
		}
		to.step(placer.Submitted{Job: c.Job})
		return func() { h.enter(intake.Taken{Job: c.Job.ID(), Placer: c.Placer}) }
	}, func() {})
}

// hostOf returns the host of an address with incarnation if that one lives.
func (w *world) hostOf(id string) *host {
	for _, h := range w.hosts {
		if h.alive && h.id() == id {
			return h
		}
	}
	return nil
}
