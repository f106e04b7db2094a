package dispatch

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"guavaglade.example/guavaglade/internal/fleet/speed"
	"guavaglade.example/guavaglade/internal/proof/seeded"
)

// speedsStore holds the row of speeds of a simulation.
type speedsStore struct {
	row   SpeedsRow
	saves []time.Time // when a save was issued
	away  bool        // saves fail
}

// keepSpeeds has the simulation learn speeds, and save them to a store that holds a row already if its
// version is not 0.
func (d *simulation) keepSpeeds(s *speedsStore) []error {
	WithSpeeds()(d.m)
	var rows []SpeedsRow
	if s.row.Version != 0 {
		rows = append(rows, s.row)
	}
	ignored := d.m.RestoreSpeeds(rows, d.now)
	d.dropCommand = func(c Command) bool {
		if save, ok := c.(SaveSpeeds); ok {
			d.saveSpeeds(s, save)
		}
		return false
	}
	return ignored
}

func (d *simulation) saveSpeeds(s *speedsStore, c SaveSpeeds) {
	s.saves = append(s.saves, d.now)
	d.after(saveTime, func() {
		if s.away || c.Version != s.row.Version {
			d.m.SpeedsNotSaved(c.Service, s.row.Version, d.now)
			return
		}
		s.row = SpeedsRow{Service: c.Service, Value: c.Value, Version: s.row.Version + 5}
		d.m.SpeedsSaved(c.Service, s.row.Version, d.now)
	})
}

// knowsKinds reports whether the machine knows exactly which targets are fast.
func (d *simulation) knowsKinds() bool {
	for _, x := range d.m.sortedTargets {
		if x.speed.Fast() != isFast(x) || x.speed.Slow() {
			return false
		}
	}
	return true
}

// A new leader would place urgent work anywhere, and take slower targets for stragglers, until it has
// learned the speeds again, which takes a minute under load and longer without.
func TestSpeedsAreKnownAfterTakeover(t *testing.T) {
	is := is.New(t)
	d, s := newTwoKinds(t, false), &speedsStore{}
	is.Equal(len(d.keepSpeeds(s)), 0)
	d.learnSpeeds()
	is.True(d.knowsKinds())
	is.True(len(s.saves) > 0)
	for i := 1; i < len(s.saves); i++ {
		is.True(s.saves[i].Sub(s.saves[i-1]) >= speedsSaveInterval)
	}
	d.changeLeader()
	is.Equal(len(d.keepSpeeds(s)), 0)
	is.True(d.knowsKinds())
	id := d.submit(0, 2*time.Second, urgentGang(5, 2))
	d.run(500 * time.Millisecond)
	fast, others := d.fastOnes(id)
	is.Equal(fast, 5)
	is.Equal(others, 0)
	d.submitTasks(20 * time.Second)
	d.run(25 * time.Second)
	is.Equal(d.logged("it runs slowly"), 0)
	is.True(d.knowsKinds())
}

// A store that is away must hold up nothing, and must not be called more often than otherwise. What was
// learned meanwhile is saved once it is back.
func TestSpeedsWithStoreAway(t *testing.T) {
	is := is.New(t)
	d, s := newTwoKinds(t, false), &speedsStore{away: true}
	d.keepSpeeds(s)
	d.learnSpeeds()
	is.True(d.knowsKinds())
	before := len(s.saves)
	d.run(10 * time.Second)
	is.True(len(s.saves) > before+2)
	is.True(len(s.saves) <= before+6)
	is.Equal(s.row.Version, int64(0))
	s.away = false
	d.run(4 * time.Second)
	is.True(s.row.Version > 0)
	before = len(s.saves)
	d.run(60 * time.Second) // nothing has changed
	is.Equal(len(s.saves), before)
}

// A leader whose rows were not read yet does not know the version of its row, and must not write it.
func TestSpeedsAreNotSavedBeforeTheyAreRead(t *testing.T) {
	is := is.New(t)
	d, s := newTwoKinds(t, false), &speedsStore{}
	d.keepSpeeds(s)
	d.m.speeds.restored = false
	d.learnSpeeds()
	is.True(d.knowsKinds())
	is.Equal(len(s.saves), 0)
}

// A row that the machine cannot use is ignored as a whole, and is kept until there is something to write.
func TestUnusableRowsOfSpeeds(t *testing.T) {
	for name, value := range map[string]string{
		"empty":     "",
		"malformed": `{"v":1,"targets":`,
		"no form":   `{"spread":0.3,"noise":0.2,"targets":{"r0-0#1":[-700,50]}}`,
		"later":     `{"v":2,"spread":0.3,"noise":0.2,"targets":"in another form"}`,
		"figures":   `{"v":1,"savedAt":1,"spread":0.3,"noise":0.2,"targets":{"r0-0#1":[-700000,50]}}`,
		"deviation": `{"v":1,"savedAt":1,"spread":0.3,"noise":0.2,"targets":{"r0-0#1":[-700,0]}}`,
		"noise":     `{"v":1,"savedAt":1,"spread":0.3,"noise":0,"targets":{"r0-0#1":[-700,50]}}`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, s := newTwoKinds(t, false), &speedsStore{row: SpeedsRow{Service: "s", Value: []byte(value), Version: 3}}
			ignored := d.keepSpeeds(s)
			is.Equal(len(ignored), 1)
			is.Equal(errors.Is(ignored[0], errLaterForm), name == "later")
			is.Equal(d.m.Speeds()["s"], SpeedCounts{})
			d.run(5 * time.Second)
			is.Equal(len(s.saves), 0)
			d.learnSpeeds()
			is.True(d.knowsKinds())
			is.True(s.row.Version > 3) // it was overwritten
		})
	}
}

// A target that was replaced while nobody led may be another machine under the same id.
func TestSpeedsOfOtherIncarnations(t *testing.T) {
	is := is.New(t)
	d := newTwoKinds(t, false)
	x := d.m.sortedTargets[0]
	row := func(startedAt int64) SpeedsRow {
		value, err := encodeSpeeds(speed.Snapshot{Spread: 0.3, Noise: 0.2, Targets: []speed.Known{
			{Target: speed.Target{ID: x.ID, StartedAt: startedAt}, Log: -0.7, Deviation: 0.05},
		}}, d.m.wallMS(d.now))
		is.NoErr(err)
		return SpeedsRow{Service: "s", Value: value, Version: 3}
	}
	WithSpeeds()(d.m)
	is.Equal(len(d.m.RestoreSpeeds([]SpeedsRow{row(x.incarnation + 1)}, d.now)), 0)
	is.Equal(d.m.Speeds()["s"], SpeedCounts{})
	is.Equal(x.speedLevel, 0)
	d.m.RestoreSpeeds([]SpeedsRow{row(x.incarnation)}, d.now)
	is.True(x.speed.Fast())
	is.Equal(d.m.Speeds()["s"].Fast, 1)
	d.m.SetLearnedSpeeds(nil) // WithSpeeds holds for all services
	is.True(x.speed.Fast())
	d.m.speeds.all = false
	d.m.SetLearnedSpeeds(map[string]bool{"other": true})
	is.True(!x.speed.Fast())
	is.Equal(len(d.m.Speeds()), 0)
}

// The store refuses rows above its limit, and one of 6,000 targets would be: those that differ from the
// others must be kept.
func TestRowOfSpeedsIsBounded(t *testing.T) {
	is := is.New(t)
	s := speed.Snapshot{Spread: 0.3, Noise: 0.2}
	for i := range 6000 {
		k := speed.Known{Target: speed.Target{ID: fmt.Sprintf("worker-%05d.zone-1", i), StartedAt: 1764812345678}, Log: 0.01, Deviation: 0.05}
		if i%20 == 0 {
			k.Log, k.Deviation = -0.7, 0.1
		}
		s.Targets = append(s.Targets, k)
	}
	s.Sort()
	value, err := encodeSpeeds(s, 1764812345678)
	is.NoErr(err)
	is.True(len(value) <= maxSpeedsRow)
	is.True(len(value) > maxSpeedsRow*3/4)
	read, _, err := decodeSpeeds(value)
	is.NoErr(err)
	fast := 0
	for _, k := range read.Targets {
		if k.Log < -0.5 {
			fast++
		}
	}
	is.Equal(fast, 300)
}

// What a row holds must be what the next leader reads, whatever the targets are called.
func TestRowOfSpeedsRoundTrip(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		s := speed.Snapshot{Spread: float64(rapid.IntRange(0, 3000).Draw(t, "spread")) / milli, Noise: float64(rapid.IntRange(1, 2000).Draw(t, "noise")) / milli}
		ids := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z0-9#.]{1,12}`), 0, 20, rapid.ID).Draw(t, "ids")
		for _, id := range ids {
			s.Targets = append(s.Targets, speed.Known{
				Target: speed.Target{ID: id, StartedAt: rapid.Int64Range(0, 1<<50).Draw(t, "start")},
				Log:    float64(rapid.IntRange(-2000, 2000).Draw(t, "log")) / milli, Deviation: float64(rapid.IntRange(1, 900).Draw(t, "deviation")) / milli,
			})
		}
		s.Sort()
		value, err := encodeSpeeds(s, 77)
		if err != nil {
			t.Fatal(err)
		}
		read, at, err := decodeSpeeds(value)
		if err != nil || at != 77 || fmt.Sprint(read) != fmt.Sprint(s) {
			t.Fatalf("%v: read %v, want %v", err, read, s)
		}
		if strings.Contains(string(value), "\n") {
			t.Fatalf("value %q has several lines", value)
		}
	})
}
