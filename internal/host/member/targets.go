package member

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Backoff towards hosts that do not answer.
const (
	firstTry = BeatEvery
	lastTry  = 8 * time.Second // also the time after which a healed cut is noticed
)

// attempt is the backoff towards one silent address.
type attempt struct {
	count int
	next  time.Time // not sent to before
}

// Targets returns the hosts that are to be sent a heartbeat now, sorted by
// address. It begins a new interval: call it every BeatEvery, send each of them
// the Beat for it, and report with Unreachable where that failed.
//
// Within the zone these are all hosts that are not dead. To another zone only
// the delegate sends, every CrossEvery, to the delegate of that zone. Dead
// hosts and seeds that were never heard of are tried with backoff.
func (t *Table) Targets(now time.Time) []Host {
	t.tick(now)
	t.seq++
	t.forget(now)
	t.passing = t.pass(now)
	hosts := t.zoneTargets(now)
	for _, zone := range t.zones(t.self.Zone) {
		hosts = append(hosts, t.crossTargets(zone, now)...)
	}
	for _, s := range t.unheardSeeds("") {
		if t.tryNow(s.Address, now) {
			hosts = append(hosts, s)
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Address < hosts[j].Address })
	return hosts
}

func (t *Table) zoneTargets(now time.Time) []Host {
	var hosts []Host
	for address, e := range t.peers {
		if e.Zone == t.self.Zone && (t.state(e, now) != Dead || t.tryNow(address, now)) {
			hosts = append(hosts, e.Host)
		}
	}
	for _, s := range t.unheardSeeds(t.self.Zone) {
		if t.tryNow(s.Address, now) {
			hosts = append(hosts, s)
		}
	}
	return hosts
}

func (t *Table) crossTargets(zone string, now time.Time) []Host {
	mine, ok := t.Delegate(t.self.Zone, zone, now)
	if !ok || mine.Address != t.self.Address {
		return nil
	}
	if theirs, ok := t.Delegate(zone, t.self.Zone, now); ok {
		if !t.cross(zone, now) {
			return nil
		}
		return []Host{theirs}
	}
	var hosts []Host
	for address, e := range t.peers {
		if e.Zone == zone && t.tryNow(address, now) {
			hosts = append(hosts, e.Host)
		}
	}
	for _, s := range t.unheardSeeds(zone) {
		if t.tryNow(s.Address, now) {
			hosts = append(hosts, s)
		}
	}
	return hosts
}

// crossing is this host's heartbeats to another zone while it is the delegate.
type crossing struct {
	next    time.Time // not sent to before
	count   int
	changed time.Time // when something changed in the own zone
	digest  bool      // the newest heartbeat carries a digest
}

// cross reports whether a heartbeat to another zone is due, and decides whether
// it carries a digest: often while something changed, else now and then.
func (t *Table) cross(zone string, now time.Time) bool {
	c, ok := t.crosses[zone]
	if !ok {
		c = &crossing{}
		t.crosses[zone] = c
	}
	if now.Before(c.next) {
		return false
	}
	c.next = now.Add(CrossEvery - BeatEvery/2) // the calls are not exact
	c.digest = c.count%DigestEvery == 0 || now.Sub(c.changed) <= CrossEvery
	c.count++
	return true
}

// zoneChanged notes a change of a host, which is told to other zones if the host
// is of the own one.
func (t *Table) zoneChanged(zone string, now time.Time) {
	if zone != t.self.Zone {
		return
	}
	for _, c := range t.crosses {
		c.changed = now
	}
}

// zones returns the known zones but one, sorted.
func (t *Table) zones(but string) []string {
	set := map[string]bool{t.self.Zone: true}
	for _, e := range t.peers {
		set[e.Zone] = true
	}
	for _, s := range t.seeds {
		set[s.Zone] = true
	}
	delete(set, but)
	delete(set, "")
	return slices.Sorted(maps.Keys(set))
}

// unheardSeeds returns the seeds given with the zone that nothing is known of.
func (t *Table) unheardSeeds(zone string) []Host {
	var seeds []Host
	for _, s := range t.seeds {
		if _, heard := t.peers[s.Address]; !heard && s.Zone == zone && s.Address != t.self.Address {
			seeds = append(seeds, s)
		}
	}
	return seeds
}

// tryNow reports whether a silent address is due, and if so puts its next turn
// off: doubled each time up to lastTry, with jitter that is a function of the
// two addresses, so that hosts that started together do not call together.
func (t *Table) tryNow(address string, now time.Time) bool {
	a := t.tries[address]
	if now.Before(a.next) {
		return false
	}
	wait := min(firstTry<<min(a.count, 10), lastTry)
	seed := xxhash.Sum64String(t.self.Address + " " + address)
	jitter := rand.New(rand.NewPCG(seed, uint64(a.count))).Int64N(int64(wait)/2 + 1)
	t.tries[address] = attempt{count: a.count + 1, next: now.Add(wait/2 + time.Duration(jitter))}
	return true
}
