package member

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// sizes are hosts and hosts of a zone: one zone that grows, then more zones.
var sizes = [][2]int{{3, 3}, {8, 8}, {16, 16}, {24, 8}, {56, 8}}

func forSizes(b *testing.B, run func(b *testing.B, z *zones)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d/perZone=%d", n[0], n[1]), func(b *testing.B) {
			z := newZones(b, n[0], n[1])
			z.run(30 * time.Second)
			run(b, z)
		})
	}
}

// BenchmarkBeat reports the bytes of a heartbeat within a zone and between
// zones, and the time to make, write, read and take one.
func BenchmarkBeat(b *testing.B) {
	forSizes(b, func(b *testing.B, z *zones) {
		from, to := z.tables[0], z.tables[1]
		b.ReportAllocs()
		for b.Loop() {
			from.Targets(z.now)
			body, err := json.Marshal(from.Beat(to.self, z.now))
			if err != nil {
				b.Fatal(err)
			}
			var beat Beat
			if err := json.Unmarshal(body, &beat); err != nil {
				b.Fatal(err)
			}
			if _, err := to.Hear(beat, z.now); err != nil {
				b.Fatal(err)
			}
		}
		z.run(30 * time.Second)
		from.seq, from.passing = FullEvery+1, nil
		b.ReportMetric(size(b, from.Beat(to.self, z.now)), "B/brief")
		from.seq = FullEvery
		b.ReportMetric(size(b, from.Beat(to.self, z.now)), "B/full")
		b.ReportMetric(size(b, from.Beat(Host{Zone: "elsewhere"}, z.now)), "B/digest")
	})
}

func size(b *testing.B, beat Beat) float64 {
	b.Helper()
	body, err := json.Marshal(beat)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(body))
}

// BenchmarkTraffic reports the bytes of heartbeats a host sends and receives a
// second, without framing, and the heartbeats it sends, over a minute in which
// two configuration versions come into force.
func BenchmarkTraffic(b *testing.B) {
	forSizes(b, func(b *testing.B, z *zones) {
		const minute = 60
		for b.Loop() {
			clear(z.bytes)
			clear(z.sent)
			for version := range 2 {
				for _, t := range z.tables {
					load := Load{}
					if t.Places(z.now) {
						load = Load{Waiting: 12, Free: 40, Largest: 16}
					}
					t.Announce(Version{Number: int64(2301 + version), Since: z.now}, load)
				}
				z.run(minute / 2 * time.Second)
			}
		}
		most, sum, beats := 0, 0, 0
		for _, t := range z.tables {
			n := z.bytes[t.self.Address]
			most, sum, beats = max(most, n), sum+n, beats+z.sent[t.self.Address]
		}
		hosts := float64(len(z.tables))
		b.ReportMetric(float64(sum)/hosts/minute, "B/s-mean")
		b.ReportMetric(float64(most)/minute, "B/s-most")
		b.ReportMetric(float64(beats)/hosts/minute, "beats/s")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/hosts/minute, "ns/s-of-host")
	})
}

// BenchmarkChoice reports the time of naming a keeper while nothing changes,
// and of the first naming after a change.
func BenchmarkChoice(b *testing.B) {
	forSizes(b, func(b *testing.B, z *zones) {
		t := z.tables[0]
		workers := make([]string, 920)
		for i := range workers {
			workers[i] = fmt.Sprintf("worker%03d", i)
		}
		b.Run("kept", func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				t.Keeper("zone1", workers[i%len(workers)], z.now)
				i++
			}
		})
		b.Run("changed", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				t.forgetPicks()
				t.Placer("zone1", z.now)
			}
		})
	})
}

// BenchmarkSpread reports the time from one host's putting a version in force
// to the last host's, by heartbeats alone, as in zones cut off from the
// platform. A host fetches a version in the interval in which it hears of it.
func BenchmarkSpread(b *testing.B) {
	forSizes(b, func(b *testing.B, z *zones) {
		worst := time.Duration(0)
		version := int64(3000)
		for b.Loop() {
			version++
			start := z.now
			z.tables[int(version)%len(z.tables)].Announce(Version{Number: version, Since: z.now}, Load{})
			for done := false; !done; {
				z.run(BeatEvery)
				done = true
				for _, t := range z.tables {
					if v, _, ok := t.NewestConfig(z.now); ok {
						t.Announce(Version{Number: v.Number, Since: z.now}, Load{})
					}
					done = done && t.config.Number == version
				}
			}
			worst = max(worst, z.now.Sub(start))
		}
		b.ReportMetric(worst.Seconds(), "s-worst")
	})
}

// BenchmarkView reports the memory of a view of so many hosts.
func BenchmarkView(b *testing.B) {
	forSizes(b, func(b *testing.B, z *zones) {
		b.ReportAllocs()
		for b.Loop() {
			t := New(z.tables[0].self)
			for i := range len(z.tables) {
				t.Heard(Host{Address: address(i), Zone: "zone1", Incarnation: 1}, z.now)
			}
		}
	})
}
