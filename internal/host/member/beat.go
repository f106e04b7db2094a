package member

import (
	"errors"
	"fmt"
	"net/netip"
	"sort"
	"time"
)

// Bounds of a heartbeat.
const (
	// MaxPassed is how many sightings of other zones' hosts a heartbeat within
	// the zone carries at most.
	MaxPassed = 8
	// MaxDigest is how many hosts of its zone a delegate's heartbeat carries.
	MaxDigest = 64
	// FullEvery is how many heartbeats to a peer in the zone there are to a full
	// one; the others say only what changes often.
	FullEvery = 10
	// FullFor is for how long heartbeats are full after something new is said,
	// or to a peer that is new.
	FullFor = 2*BeatEvery + BeatEvery/2
	// DigestEvery is how many heartbeats to another zone there are to one with
	// a digest, if nothing changed in the zone.
	DigestEvery = 3
)

// ErrBeat says that a heartbeat is malformed; nothing of it was taken.
var ErrBeat = errors.New("malformed heartbeat")

// Version is the configuration that a host has in force.
type Version struct {
	Number int64     `json:"number"`         // 0 for none
	Since  time.Time `json:"since,omitzero"` // by that host's clock
}

// Load is what the placer of a zone says of the zone's room, for spill-over.
// The zero Load is that of a host that is no placer.
type Load struct {
	Waiting int `json:"waiting,omitempty"` // jobs in the queue
	Free    int `json:"free,omitempty"`    // accelerators that hold nothing
	Largest int `json:"largest,omitempty"` // accelerators of the largest gang that fits now
}

// Sighting is a host as its heartbeat number Seq showed it.
type Sighting struct {
	Host
	Seq    int64   `json:"seq"` // rises with each heartbeat of the incarnation
	Config Version `json:"config,omitzero"`
	Load   Load    `json:"load,omitzero"`
}

// newer reports whether s is of a later heartbeat than o. A sighting without a
// number is later than all of its incarnation.
func (s Sighting) newer(o Sighting) bool {
	if s.Incarnation != o.Incarnation {
		return s.Incarnation > o.Incarnation
	}
	return s.Seq == 0 || s.Seq > o.Seq
}

// sameButSeq reports whether nothing but the number differs.
func (s Sighting) sameButSeq(o Sighting) bool {
	s.Seq = o.Seq
	return s == o
}

// Beat is a heartbeat. Fields that a reader does not know are to be ignored.
//
// A brief one names no zone: its sender is as it was in its last full one, but
// for the number and the configuration version.
type Beat struct {
	From          Host       `json:"from"`
	Seq           int64      `json:"seq"`
	ConfigVersion int64      `json:"configVersion"`
	ConfigSince   time.Time  `json:"configSince,omitzero"`
	Load          Load       `json:"load,omitzero"`
	Hosts         []Sighting `json:"hosts,omitempty"` // never the sender itself
}

func (b Beat) sighting() Sighting {
	return Sighting{
		Host: b.From, Seq: b.Seq, Load: b.Load,
		Config: Version{Number: b.ConfigVersion, Since: b.ConfigSince},
	}
}

func (b Beat) check() error {
	if _, err := netip.ParseAddrPort(b.From.Address); err != nil {
		return fmt.Errorf("%w: host address %q: %w", ErrBeat, b.From.Address, err)
	}
	if len(b.Hosts) > MaxDigest {
		return fmt.Errorf("%w: from %s: %d hosts, at most %d", ErrBeat, b.From.Address, len(b.Hosts), MaxDigest)
	}
	for _, s := range b.Hosts {
		if err := s.check(); err != nil {
			return fmt.Errorf("%w: from %s: %w", ErrBeat, b.From.Address, err)
		}
	}
	return nil
}

func (t *Table) sighting() Sighting {
	return Sighting{Host: t.self, Seq: t.seq, Config: t.config, Load: t.load}
}

// Beat returns the heartbeat for one of the hosts that Targets returned last.
func (t *Table) Beat(to Host, now time.Time) Beat {
	b := Beat{
		From: t.self, Seq: t.seq, Load: t.load,
		ConfigVersion: t.config.Number, ConfigSince: t.config.Since,
	}
	switch to.Zone {
	case t.self.Zone:
		b.Hosts = t.passing
	case "": // a seed: its zone is not known
	default:
		if c := t.crosses[to.Zone]; c == nil || c.digest {
			b.Hosts = t.digest(now)
		}
	}
	if t.brief(to, now) {
		b.From = Host{Address: t.self.Address, Incarnation: t.self.Incarnation}
		b.ConfigSince, b.Load = time.Time{}, Load{}
	}
	return b
}

// brief reports whether a heartbeat to a peer may be brief: the peer has had
// time to hear a full one since it started and since something new was said.
// One that missed those hears the next full one.
func (t *Table) brief(to Host, now time.Time) bool {
	e, ok := t.peers[to.Address]
	return ok && e.Zone == t.self.Zone && t.seq%FullEvery != 0 &&
		now.Sub(e.since) >= FullFor && now.Sub(t.changed) >= FullFor
}

// fill completes a brief heartbeat; ok is false if its sender is not known.
func (t *Table) fill(b Beat) (full Beat, ok bool) {
	if b.From.Zone != "" {
		return b, true
	}
	e, ok := t.peers[b.From.Address]
	if !ok || e.Incarnation != b.From.Incarnation {
		return b, false
	}
	b.From, b.Load = e.Host, e.Load
	if b.ConfigVersion == e.Config.Number {
		b.ConfigSince = e.Config.Since
	}
	return b, true
}

// digest returns the hosts of the own zone that are not dead.
func (t *Table) digest(now time.Time) []Sighting {
	var ss []Sighting
	for _, e := range t.peers {
		if e.Zone == t.self.Zone && t.state(e, now) == Alive {
			ss = append(ss, e.Sighting)
		}
	}
	sort.Slice(ss, func(i, j int) bool { return ss[i].Address < ss[j].Address })
	return ss[:min(len(ss), MaxDigest)]
}

// pass chooses the other zones' hosts that this interval's heartbeats carry:
// those that a host of their own zone told of directly, changed ones first,
// then those not passed on for RefreshEvery.
func (t *Table) pass(now time.Time) []Sighting {
	var due []*entry
	for _, e := range t.peers {
		fresh := e.Zone != t.self.Zone && now.Sub(e.direct) < RefreshEvery
		if fresh && (e.changed || now.Sub(e.passed) >= RefreshEvery) {
			due = append(due, e)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		if due[i].changed != due[j].changed {
			return due[i].changed
		}
		if !due[i].passed.Equal(due[j].passed) {
			return due[i].passed.Before(due[j].passed)
		}
		return due[i].Address < due[j].Address
	})
	due = due[:min(len(due), MaxPassed)]
	ss := make([]Sighting, 0, len(due))
	for _, e := range due {
		e.passed, e.changed = now, false
		ss = append(ss, e.Sighting)
	}
	return ss
}

// Hear takes in a heartbeat. It reports whether the sender's part was new: one
// that was doubled, delayed or of an older incarnation is dropped, and so is a
// brief one of an unknown host. The error
// wraps ErrBeat if the heartbeat is malformed; then nothing of it is taken.
func (t *Table) Hear(b Beat, now time.Time) (bool, error) {
	if err := b.check(); err != nil {
		return false, err
	}
	b, ok := t.fill(b)
	if !ok || b.From.Address == t.self.Address {
		return false, nil
	}
	foreign := b.From.Zone != t.self.Zone
	fresh := t.learn(b.sighting(), foreign, now)
	for _, s := range b.Hosts {
		// A digest speaks for the hosts of its sender's zone; hosts of the own
		// zone count only by heartbeats of their own, else a host that is cut
		// off would be kept alive by hearsay.
		ownDigest := foreign && s.Zone == b.From.Zone
		passedOn := !foreign && s.Zone != t.self.Zone
		if s.Address != t.self.Address && (ownDigest || passedOn) {
			t.learn(s, ownDigest, now)
		}
	}
	return fresh, nil
}

// Heard notes a bare heartbeat without a number. One of an older incarnation
// than the newest known at its address is dropped; it reports whether the
// heartbeat was taken.
func (t *Table) Heard(h Host, now time.Time) bool {
	if h.Address == t.self.Address {
		return false
	}
	return t.learn(Sighting{Host: h}, h.Zone != t.self.Zone, now)
}

// learn takes a sighting if it is newer than what is known. Direct says that it
// comes from a host of the sighted host's own zone, which is not this one.
func (t *Table) learn(s Sighting, direct bool, now time.Time) bool {
	e, ok := t.peers[s.Address]
	if !ok {
		if len(t.peers) >= MaxHosts {
			return false
		}
		e = &entry{}
		t.peers[s.Address] = e
	}
	// An older incarnation: the process that sent it was replaced at its
	// address, and its heartbeat was delayed. Taking it would send its work to
	// a process that has never heard of it. Only after a long silence is the
	// older number taken for a clock that went back.
	reused := ok && now.Sub(e.heard) >= ReuseAfter
	if ok && !s.newer(e.Sighting) && (!reused || s.Incarnation == e.Incarnation) {
		return false
	}
	if s.Host != e.Host || t.state(e, now) != Alive {
		t.forgetPicks()
	}
	if !ok || !s.sameButSeq(e.Sighting) {
		e.changed = true
		t.zoneChanged(s.Zone, now)
	}
	if !ok || s.Incarnation != e.Incarnation {
		e.since = now
	}
	if s.Seq == 0 && s.Incarnation == e.Incarnation {
		s.Seq = e.Seq
	}
	e.Sighting, e.heard, e.unreachable = s, now, false
	if direct {
		e.direct = now
	}
	delete(t.tries, s.Address)
	return true
}
