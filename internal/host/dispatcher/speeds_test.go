package dispatcher

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/config/catalog"
	"guavaglade.example/guavaglade/internal/fleet/roster"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/standin/rows"
	"guavaglade.example/guavaglade/internal/work/dispatch"
)

// A leader that was replaced must not overwrite the speeds that its successor has written.
func TestSpeedsAreWrittenUnderFence(t *testing.T) {
	is := is.New(t)
	table, now := rows.New(0), time.Unix(1000, 0)
	l := newLeadership(table, &orderCounter{}, now, now)
	l.machine = dispatch.New(7, dispatch.DefaultBounds(), dispatch.WithSpeeds())
	l.fences[speedsPartition] = table.Put(fenceKey(speedsPartition), []byte("7"))
	c := dispatch.SaveSpeeds{Service: "s", Value: []byte("{}")}
	l.saveSpeeds(c)
	is.Equal(string(table.Get(SpeedsKey("s")).Value), "{}")
	(<-l.events)(now)
	is.True(!l.machine.Superseded())
	table.Put(fenceKey(speedsPartition), []byte("8"))
	l.saveSpeeds(dispatch.SaveSpeeds{Service: "s", Value: []byte("other"), Version: table.Get(SpeedsKey("s")).Version})
	is.Equal(string(table.Get(SpeedsKey("s")).Value), "{}")
	(<-l.events)(now)
	is.True(l.machine.Superseded())
}

// A save whose answer was lost has taken effect: the next one is refused, and must not end the term. From
// then on the machine knows the version, or speeds would never be saved again.
func TestSpeedsAfterConflict(t *testing.T) {
	is := is.New(t)
	table, now := rows.New(0), time.Unix(1000, 0)
	l := newLeadership(table, &orderCounter{}, now, now)
	l.machine = dispatch.New(7, dispatch.DefaultBounds(), dispatch.WithSpeeds())
	l.fences[speedsPartition] = table.Put(fenceKey(speedsPartition), []byte("7"))
	table.Put(SpeedsKey("s"), []byte("saved"))
	l.saveSpeeds(dispatch.SaveSpeeds{Service: "s", Value: []byte("{}")})
	is.Equal(string(table.Get(SpeedsKey("s")).Value), "saved")
	(<-l.events)(now)
	is.True(!l.machine.Superseded())
}

// silentSpeeds is a store that does not answer reads of the rows of speeds while silent is set.
type silentSpeeds struct {
	*rows.Table
	silent bool
}

func (s *silentSpeeds) Read(ctx context.Context, r store.Range) (store.Page, error) {
	if s.silent && r.Table == speedsTable {
		<-ctx.Done()
		return store.Page{}, store.ErrOutcomeUnknown
	}
	return s.Table.Read(ctx, r)
}

func (s *silentSpeeds) Targets(context.Context) ([]roster.Target, error) {
	return nil, nil
}

// learningKeeper returns a keeper of a configuration in which service s learns speeds.
func learningKeeper(t *testing.T) *catalog.Keeper {
	k := catalog.NewKeeper(func([]byte) (*catalog.Catalog, error) {
		return catalog.New(1, nil, nil, []catalog.Service{{Name: "s", LearnsSpeeds: true}}, catalog.Limits{}), nil
	})
	if _, err := k.Offer([]byte("{}")); err != nil {
		t.Fatal(err)
	}
	return k
}

// leadFor serves a term for some time on a store and returns the log.
func leadFor(t *testing.T, s *silentSpeeds, span time.Duration) string {
	var mu sync.Mutex
	var lines []string
	log := funcr.New(func(_, args string) {
		mu.Lock()
		defer mu.Unlock()
		lines = append(lines, args)
	}, funcr.Options{})
	d := New(s, &orderCounter{}, s, dispatch.DefaultBounds(), log, WithClock(time.Now), WithCatalog(learningKeeper(t)))
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	_ = d.Lead(ctx, leader.NewTerm(1, time.Now()), leader.Predecessors{})
	time.Sleep(time.Minute) // calls to targets end
	mu.Lock()
	defer mu.Unlock()
	return strings.Join(lines, "\n")
}

const rowOfSpeeds = `{"v":1,"savedAt":1,"spread":0.3,"noise":0.2,"targets":{"t1@10":[-700,50]}}`

// Speeds are an aid only: a store that does not answer the read of their rows must not delay placement.
func TestPlacementDoesNotAwaitSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &silentSpeeds{Table: rows.New(0), silent: true}
		log := leadFor(t, s, time.Second)
		is.True(strings.Contains(log, `"placement enabled"`))
		is.True(!strings.Contains(log, `"target speeds restored"`))
	})
}

// Speeds must be known when the first work of a term is placed.
func TestSpeedsAreRestoredBeforePlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &silentSpeeds{Table: rows.New(0)}
		s.Put(SpeedsKey("s"), []byte(rowOfSpeeds))
		log := leadFor(t, s, time.Second)
		restored, enabled := strings.Index(log, `"target speeds restored"`), strings.Index(log, `"placement enabled"`)
		is.True(restored >= 0)
		is.True(restored < enabled)
	})
}

// A row that cannot be decoded is logged, and the leader begins without speeds.
func TestMalformedSpeedsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &silentSpeeds{Table: rows.New(0)}
		s.Put(SpeedsKey("s"), []byte("{"))
		log := leadFor(t, s, time.Second)
		is.True(strings.Contains(log, "malformed row ignored"))
		is.True(strings.Contains(log, `"placement enabled"`))
		is.Equal(string(s.Get(SpeedsKey("s")).Value), "{")
	})
}
