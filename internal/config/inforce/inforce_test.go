package inforce

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/proof/seeded"
)

var morning = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func textOf(version int64) []byte {
	return fmt.Appendf(nil, "[service s%d]\n", version)
}

// The platform answers with older versions, peers that were paused or restarted
// pass theirs on, texts come damaged, for newer hosts, or with another body. A
// user would see limits or keys come back that an operator had taken away.
//
// Seen failing without the comparison of versions in Put, and without that of
// bodies.
func TestVersionNeverFalls(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		var k Keeper
		now := morning
		highest := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "offers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
			version := rapid.Int64Range(-1, 12).Draw(t, "version")
			body, kind := textOf(version), rapid.SampledFrom([]string{"good", "good", "other", "newer"}).Draw(t, "kind")
			switch kind {
			case "other":
				body = []byte("[service another]\n")
			case "newer":
				body = []byte("[hologram x]\n")
			}
			taken, err := k.Put(Text{Version: version, Body: body}, now)
			if want := version > highest && kind != "newer"; taken != want {
				t.Fatalf("version %d over %d, %s: taken %v, want %v", version, highest, kind, taken, want)
			}
			if taken {
				highest = version
				continue
			}
			same := version == highest && highest > 0 && string(body) != string(k.Body())
			if same != errors.Is(err, ErrConflicting) || (version > highest) != errors.Is(err, ErrUnreadable) {
				t.Fatalf("version %d over %d, %s: %v", version, highest, kind, err)
			}
			if err != nil && k.Fault() == nil || k.Version() != highest {
				t.Fatalf("version %d in force, want %d; fault %v", k.Version(), highest, k.Fault())
			}
		}
	})
}

// A host of this version meets a text for the next one: it keeps its own, does
// not fetch the text again with each heartbeat, and takes the next that it can
// read.
func TestUnreadableIsNotFetchedAgainAndAgain(t *testing.T) {
	is := is.New(t)
	var k Keeper
	_, err := k.Put(Text{Version: 4, Change: "c4", Body: textOf(4)}, morning)
	is.NoErr(err)
	is.True(k.Wants(5, morning))
	is.True(!k.Wants(4, morning))
	_, err = k.Offer(5, []byte("[hologram x]\n"), morning)
	is.True(errors.Is(err, ErrUnreadable))
	is.Equal(k.Version(), int64(4))
	is.Equal(k.Change(), "c4")
	is.True(!k.Wants(5, morning.Add(RetryUnreadable-1)))
	is.True(k.Wants(5, morning.Add(RetryUnreadable)))
	is.True(k.Wants(6, morning))
	taken, err := k.Offer(6, textOf(6), morning)
	is.NoErr(err)
	is.True(taken)
	is.NoErr(k.Fault())
	is.Equal(k.Counts(), Counts{Taken: 2, Unreadable: 1})
}

func TestView(t *testing.T) {
	is := is.New(t)
	v := NewView()
	at := func(s int) time.Time { return morning.Add(time.Duration(s) * time.Second) }
	v.Note(Entry{Zone: "b", Host: "h3", Version: 7, Since: at(1), Heard: at(5)})
	v.Note(Entry{Zone: "a", Host: "h2", Version: 8, Since: at(3), Heard: at(5)})
	v.Note(Entry{Zone: "a", Host: "h1", Version: 8, Since: at(4), Heard: at(5)})
	v.Note(Entry{Zone: "a", Host: "h1", Version: 7, Since: at(1), Heard: at(4)}) // came late
	zones := v.Zones()
	is.Equal(len(zones), 2)
	is.Equal(zones[0].Name, "a")
	is.Equal(zones[0].Oldest, int64(8))
	is.Equal(zones[0].Since, at(4)) // on both since then
	is.Equal(zones[0].Hosts[0].Host, "h1")
	is.Equal(v.Everywhere(), int64(7))
	v.Note(Entry{Zone: "a", Host: "h2", Version: 8, Since: at(3), Heard: at(9)})
	v.Forget(at(6))
	is.Equal(v.Everywhere(), int64(8))
	is.Equal(len(v.Zones()), 1)
}
