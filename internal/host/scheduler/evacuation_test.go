package scheduler_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/host/boottime"
	"guavaglade.example/guavaglade/internal/platform/store"
)

func evacuationKey(zone string) store.Key {
	return store.Key{Table: configKey.Table, Name: "away/" + zone}
}

// evacuatedZone returns the zone that the row with the key evacuates.
func evacuatedZone(k store.Key) (zone string, ok bool) { return strings.CutPrefix(k.Name, "away/") }

// evacuated returns a condition for until: exactly these zones are evacuated.
func (r *running) evacuated(zones ...string) func() bool {
	return func() bool { return slices.Equal(r.Evacuations().Zones, zones) }
}

// Operators evacuate zones by rows beside the configuration, restore one and evacuate it
// again, while the configuration changes and the store compacts its change feed. The host
// follows the rows each time, and no other change makes it lose an evacuated zone.
func TestEvacuationsAreFollowed(t *testing.T) {
	is := is.New(t)
	r := start(t)
	r.table.Put(evacuationKey("leon"), []byte("{}"))
	r.table.Put(configKey, []byte("1"))
	r.until(t, "leon", r.evacuated("leon"))
	r.table.Put(evacuationKey("celaya"), nil) // the value does not matter
	r.until(t, "both", r.evacuated("celaya", "leon"))
	r.table.Put(configKey, []byte("2"))
	r.table.Remove(evacuationKey("leon"))
	r.until(t, "celaya alone", r.evacuated("celaya"))
	is.Equal(r.Catalog().Version(), int64(2))
	r.table.Compact()
	r.table.Put(evacuationKey("leon"), []byte("{}"))
	r.until(t, "both again", r.evacuated("celaya", "leon"))
	r.table.Remove(evacuationKey("celaya"))
	r.table.Remove(evacuationKey("leon"))
	r.until(t, "none", r.evacuated())
	r.stop()
	is.NoErr(<-r.ended)
}

// The store refuses a host for a while, and a zone is evacuated in that time. What the host
// read before must not count as current until the store serves it again.
func TestEvacuationsOfAHostRefusedByTheStore(t *testing.T) {
	is := is.New(t)
	r := start(t)
	r.table.Put(configKey, []byte("1"))
	r.until(t, "a first reading", func() bool { return !r.Evacuations().AsOf.IsZero() })
	r.refuse(true)
	r.until(t, "the store lost", func() bool { return r.logged("store lost") })
	refusedAt := boottime.Now()
	r.table.Put(evacuationKey("leon"), []byte("{}"))
	is.True(!r.Evacuations().AsOf.After(refusedAt))
	r.refuse(false)
	r.until(t, "leon", r.evacuated("leon"))
	r.until(t, "a later reading", func() bool { return r.Evacuations().AsOf.After(refusedAt) })
	r.stop()
	is.NoErr(<-r.ended)
}
