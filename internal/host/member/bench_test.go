package member

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// sizes are hosts, in zones of at most 8: one zone, one zone, 3 zones, 7 zones.
var sizes = []int{3, 8, 24, 56}

const perZone = 8

func forSizes(b *testing.B, run func(b *testing.B, z *zones)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			z := newZones(b, n, perZone)
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
