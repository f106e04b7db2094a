package member

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
)

var morning = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func host(i int, zone string, incarnation int64) Host {
	return Host{Address: address(i), Zone: zone, Incarnation: incarnation, Protocol: 1}
}

// Heartbeats come late, doubled, crossed or not at all, and hosts are replaced
// at their addresses meanwhile. A user would see two placers for good, or work
// sent to a process that is gone. The views must be equal as soon as the newest
// heartbeat of each host has come, whatever came before it and after it, and
// equal views must name the same placer and keepers.
//
// Seen failing without the check of the incarnation in Sighting.newer, and
// without that of the number.
func TestViewsConverge(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "hosts")
		var beats []Beat
		newest := map[string]Beat{}
		for i := range n {
			for inc := range rapid.IntRange(1, 3).Draw(t, "incarnations") {
				for seq := range rapid.IntRange(1, 4).Draw(t, "beats") {
					b := Beat{From: host(i, "a", int64(inc+1)), Seq: int64(seq + 1), ConfigVersion: int64(10*inc + seq)}
					beats = append(beats, b)
					newest[b.From.Address] = b
				}
			}
		}
		views := []*Table{New(host(100, "a", 1)), New(host(101, "a", 1)), New(host(102, "a", 1))}
		for _, v := range views {
			b := Beat{From: v.self, Seq: 1}
			beats, newest[v.self.Address] = append(beats, b), b
		}
		for _, v := range views {
			hearAll(t, v, beats, newest)
			for address, b := range newest {
				e, ok := v.peers[address]
				if ok && (e.Incarnation != b.From.Incarnation || e.Seq != b.Seq || e.Config.Number != b.ConfigVersion) {
					t.Fatalf("%s sees %+v, newest heartbeat is %+v", v.self.Address, e.Sighting, b)
				}
			}
			for _, key := range []string{"placer/a", "keeper/w1", "keeper/w2", "keeper/w3"} {
				first, _ := views[0].pick("a", key, morning)
				if got, ok := v.pick("a", key, morning); !ok || got != first || len(v.Live("a", morning)) != n+3 {
					t.Fatalf("%s: %s is %s of %d, another host: %s", v.self.Address, key, got.Address, len(v.Live("a", morning)), first.Address)
				}
			}
		}
	})
}

// hearAll gives a view the heartbeats in any order, some twice, some never, the
// newest of each host at least once.
func hearAll(t *rapid.T, v *Table, beats []Beat, newest map[string]Beat) {
	order := rapid.Permutation(beats).Draw(t, "order")
	highest := map[string]int64{}
	for _, b := range order {
		last := newest[b.From.Address]
		times := rapid.IntRange(0, 2).Draw(t, "times")
		if b.From.Incarnation == last.From.Incarnation && b.Seq == last.Seq {
			times = max(times, 1)
		}
		for range times {
			if _, err := v.Hear(b, morning); err != nil {
				t.Fatal(err)
			}
			highest[b.From.Address] = max(highest[b.From.Address], b.From.Incarnation)
			if e, ok := v.peers[b.From.Address]; ok && e.Incarnation != highest[b.From.Address] {
				t.Fatalf("incarnation %d won over %d at %s", e.Incarnation, highest[b.From.Address], b.From.Address)
			}
		}
	}
}

// Three zones of four hosts start from seeds, one is cut off, one host is
// killed, the cut heals. Every running host must see the zone's hosts alike each
// time, and only one host of a zone may send to another zone.
func TestZonesFindEachOther(t *testing.T) {
	z := newZones(t, 12, 4)
	z.run(15 * time.Second)
	for _, zone := range []string{"zone1", "zone2", "zone3"} {
		z.agree(zone, 4)
	}
	z.cut["zone3"] = true
	z.paused[address(9)] = true // of zone3
	z.run(ForeignDeadAfter + 5*time.Second)
	if got := len(z.tables[0].Live("zone3", z.now)); got != 0 {
		t.Fatalf("%d hosts of the zone cut off are live for another zone", got)
	}
	if got := len(z.tables[8].Live("zone3", z.now)); got != 3 {
		t.Fatalf("%d hosts live within the zone cut off, want 3", got)
	}
	z.cut["zone3"] = false
	z.run(30 * time.Second)
	z.agree("zone3", 3)
	clear(z.crossed)
	z.run(30 * time.Second)
	for pair, senders := range z.crossed {
		if len(senders) != 1 {
			t.Fatalf("%d hosts send from %s, want one delegate", len(senders), pair)
		}
	}
	if len(z.crossed) != 6 {
		t.Fatalf("heartbeats between %d pairs of zones, want 6", len(z.crossed))
	}
}

// A placer is killed. Its zone must name another within 2 s, and one within 1 s
// of the next silent interval if the connection broke as well.
func TestTakeover(t *testing.T) {
	for _, broken := range []bool{false, true} {
		z := newZones(t, 5, 5)
		z.run(5 * time.Second)
		old, _ := z.tables[0].Placer("zone1", z.now)
		z.paused[old.Address] = true
		killed := z.now
		for _, v := range z.tables {
			if broken {
				v.Unreachable(old.Address)
			}
		}
		next := old
		for next == old && z.now.Sub(killed) < DeadAfter {
			z.run(BeatEvery)
			for _, v := range z.tables {
				if v.self != old {
					next, _ = v.Placer("zone1", z.now)
				}
			}
		}
		want := SuspectAfter
		if broken {
			want = 2 * BeatEvery
		}
		if took := z.now.Sub(killed); took > want {
			t.Errorf("connection broken %v: took %v, want %v", broken, took, want)
		}
	}
}

// A host is stopped for 10 s, as by a suspended machine, and goes on. All its
// peers look dead, since it heard nobody, and it would place and renew for the
// whole zone beside the true placer. It must not act before it has listened.
//
// Seen failing without the test of staleUntil, and without that of the gap.
func TestPausedHostDoesNotAct(t *testing.T) {
	is := is.New(t)
	z := newZones(t, 4, 4)
	is.True(z.tables[0].Stale(z.now)) // has not listened yet
	z.run(5 * time.Second)
	for _, v := range z.tables {
		is.True(!v.Stale(z.now))
	}
	paused := z.tables[1]
	z.paused[paused.self.Address] = true
	z.run(10 * time.Second)
	is.True(paused.Stale(z.now)) // before its first tick
	is.True(!paused.Places(z.now))
	z.paused[paused.self.Address] = false
	for range 4 {
		z.beat(paused) // alone: others have not sent yet
		is.True(!paused.Places(z.now))
		is.True(!paused.Keeps("w1", z.now))
		z.run(BeatEvery)
	}
	z.run(SuspectAfter)
	is.True(!paused.Stale(z.now))
	z.agree("zone1", 4)
}

// The platform's list lags: it shows a killed host as live for a while, and one
// that was just replaced as gone. It may hasten the end of a silent host; it
// must not revive one, nor end one whose heartbeats come.
//
// Seen failing with listedGone alone as the condition in Table.state.
func TestListHastensOnly(t *testing.T) {
	is := is.New(t)
	v := New(host(0, "a", 1))
	v.Heard(host(1, "a", 1), morning)
	gone := []Listed{{Address: address(1), Leaving: true}}
	here := []Listed{{Address: address(1)}}
	v.List(here, morning)
	v.List(gone, morning.Add(time.Second))
	state := func(after time.Duration) State {
		s, _ := v.State(address(1), morning.Add(after))
		return s
	}
	is.Equal(state(900*time.Millisecond), Alive) // its heartbeats come
	is.Equal(state(2*BeatEvery), Dead)           // silent and listed as gone
	v.List(here, morning)                        // an older list comes late
	is.Equal(state(2*BeatEvery), Dead)
	v.List(here, morning.Add(2*time.Second))
	is.Equal(state(2*BeatEvery), Alive)
	is.Equal(state(SuspectAfter), Suspect) // listed as live, but silent
	is.Equal(state(DeadAfter), Dead)
	v.Heard(host(1, "a", 2), morning.Add(DeadAfter))
	is.Equal(state(DeadAfter), Alive)
}

// A process is replaced at its address while an old heartbeat of it is still on
// its way. Only a long silence makes the older number a clock that went back.
func TestReplacedHost(t *testing.T) {
	is := is.New(t)
	v := New(host(0, "a", 1))
	is.True(v.Heard(host(1, "a", 5), morning))
	is.True(!v.Heard(host(1, "a", 4), morning.Add(time.Second)))
	is.True(!v.Heard(host(1, "a", 4), morning.Add(ReuseAfter-time.Second)))
	is.True(v.Heard(host(1, "a", 4), morning.Add(ReuseAfter)))
	is.True(!v.Heard(host(0, "a", 9), morning)) // its own address
}

// A brief heartbeat says that its sender is as before. One of a process that
// replaced the known one, or of an unknown one, says nothing yet.
func TestBriefBeats(t *testing.T) {
	is := is.New(t)
	v := New(host(0, "a", 1))
	brief := func(incarnation, seq int64) bool {
		b := Beat{From: Host{Address: address(1), Incarnation: incarnation}, Seq: seq, ConfigVersion: seq}
		taken, err := v.Hear(b, morning)
		is.NoErr(err)
		return taken
	}
	is.True(!brief(1, 1))
	is.True(v.Heard(host(1, "a", 1), morning))
	is.True(brief(1, 2))
	is.True(!brief(1, 2))
	is.True(!brief(2, 3))
	is.Equal(v.peers[address(1)].Incarnation, int64(1))
	is.Equal(v.peers[address(1)].Zone, "a")
	is.Equal(v.peers[address(1)].Config.Number, int64(2))
}

// A leaving host hands over: from then on it has no duty in any view.
func TestLeavingHostHandsOver(t *testing.T) {
	z := newZones(t, 4, 4)
	z.run(5 * time.Second)
	old, _ := z.tables[0].Placer("zone1", z.now)
	leaving := z.table(old.Address)
	leaving.Leave()
	next, ok := leaving.Placer("zone1", z.now)
	if !ok || next == old {
		t.Fatalf("hands over to %v, %v", next, ok)
	}
	z.beat(leaving)
	z.agree("zone1", 3)
	if got := z.tables[0].Sharing(z.now); got != 4 {
		t.Fatalf("budget shared by %d hosts, want 4: a leaving one still writes", got)
	}
}

// Most of the seeds are addresses that no host uses any more. They must cost
// little, and a host that appears at one must still be found.
func TestSilentSeedsCostLittle(t *testing.T) {
	z := newZones(t, 1, 1)
	v := z.tables[0]
	for i := range 20 {
		v.seeds = append(v.seeds, Host{Address: address(100 + i)})
	}
	z.run(2 * time.Minute)
	sent := z.sent[v.self.Address]
	if perSeed := float64(sent) / 20; perSeed > 30 || perSeed < 10 {
		t.Fatalf("%g heartbeats to each silent seed in 2 min, want 10 to 30 of 240 intervals", perSeed)
	}
	late := New(host(100, "zone1", 1))
	z.tables = append(z.tables, late)
	z.run(lastTry + time.Second)
	z.agree("zone1", 2)
}

// Hosts of the next version send fields that this one does not know.
func TestBeatFromOtherVersions(t *testing.T) {
	is := is.New(t)
	v := New(host(0, "a", 1), WithMethods(map[string]int{"job.move": 2}))
	var b Beat
	next := `{"from":{"address":"10.0.0.2:7000","zone":"a","incarnation":3,"protocol":2,"colour":"red"},"seq":1,"mood":{"x":[1]}}`
	is.NoErr(json.Unmarshal([]byte(next), &b))
	taken, err := v.Hear(b, morning)
	is.NoErr(err)
	is.True(taken)
	is.True(v.Speaks(b.From, "job.move"))
	is.True(!v.Speaks(host(3, "a", 1), "job.move"))
	is.True(v.Speaks(host(3, "a", 1), "member.beat"))
}

func TestMalformedBeats(t *testing.T) {
	good := host(1, "a", 1)
	many := make([]Sighting, MaxDigest+1)
	for name, b := range map[string]Beat{
		"no address":     {From: Host{Zone: "a"}},
		"host name":      {From: Host{Address: "example.net:7000", Zone: "a"}},
		"no zone":        {From: good, Hosts: []Sighting{{Host: Host{Address: address(2)}}}},
		"too many hosts": {From: good, Hosts: many},
		"bad digest":     {From: good, Hosts: []Sighting{{Host: Host{Address: "x"}}}},
	} {
		v := New(host(0, "a", 1))
		if _, err := v.Hear(b, morning); !errors.Is(err, ErrBeat) || len(v.peers) != 0 {
			t.Errorf("%s: error %v, %d hosts taken", name, err, len(v.peers))
		}
	}
}

// A host is cut off from one peer of its zone while others still hear that one.
// Hearsay within the zone must not keep it alive.
func TestHearsayKeepsNobodyAlive(t *testing.T) {
	is := is.New(t)
	v := New(host(0, "a", 1))
	hearsay := Sighting{Host: host(2, "a", 1), Seq: 9}
	_, err := v.Hear(Beat{From: host(1, "a", 1), Seq: 1, Hosts: []Sighting{hearsay}}, morning)
	is.NoErr(err)
	_, known := v.State(address(2), morning)
	is.True(!known)
}
