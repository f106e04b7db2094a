package scheduler_test

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"guavaglade.example/guavaglade/internal/config/catalog"
	"guavaglade.example/guavaglade/internal/host/leader"
	"guavaglade.example/guavaglade/internal/host/scheduler"
	"guavaglade.example/guavaglade/internal/platform/store"
	"guavaglade.example/guavaglade/internal/standin/pool"
	"guavaglade.example/guavaglade/internal/standin/rows"
)

var configKey = store.Key{Table: "config", Name: "text"}

// decode decodes a configuration that consists of its version only.
func decode(stored []byte) (*catalog.Catalog, error) {
	n, err := strconv.ParseInt(string(stored), 10, 64)
	if err != nil {
		return nil, err
	}
	return catalog.New(n, nil, nil, nil, catalog.Limits{}), nil
}

// running is a scheduler that runs in a test.
type running struct {
	*scheduler.Scheduler
	table    *rows.Table
	link     *rows.Link
	peers    net.Listener
	stop     context.CancelFunc
	ended    chan error
	drained  chan bool // what Stopping said when drain was called
	mu       sync.Mutex
	logLines []string
}

// start runs a scheduler over a table of its own and without targets, with a planned stop
// that waits 10 ms for the load balancer.
func start(t *testing.T) *running {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	rnd := rand.New(rand.NewPCG(1, 1))
	shared := pool.Share(ctx, pool.New(pool.DefaultBounds()))
	r := &running{table: rows.New(0), peers: l, stop: cancel, ended: make(chan error, 1), drained: make(chan bool, 1)}
	log := funcr.New(func(_, line string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.logLines = append(r.logLines, line)
	}, funcr.Options{})
	r.link = rows.NewLink(r.table, rnd)
	ports := scheduler.Ports{Store: r.link, Transport: pool.NewTransport(shared, 0, rnd), Roster: shared}
	id := scheduler.Identity{Name: "leon-1", Zone: "leon", PeerAddress: l.Addr().String()}
	r.Scheduler = scheduler.New(id, ports, scheduler.Configuration{Key: configKey, Decode: decode, EvacuatedZone: evacuatedZone}, log, scheduler.WithUnreadyTime(10*time.Millisecond))
	go func() {
		r.ended <- r.Run(ctx, l, func(context.Context) { r.drained <- r.Stopping() })
	}()
	return r
}

// refuse has the store refuse the host, or serve it again.
func (r *running) refuse(on bool) { r.link.SetFaults(rows.Faults{Refuse: on}) }

// until waits for a condition to become true, for at most 20 s.
func (r *running) until(t *testing.T, what string, f func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for !f() {
		if ctx.Err() != nil {
			t.Fatalf("not seen: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// logged reports whether the log so far contains a text.
func (r *running) logged(part string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Contains(strings.Join(r.logLines, "\n"), part)
}

// A host starts before the first configuration is applied. It knows no queue and would
// refuse every request, so the load balancer must not send it any.
func TestNotReadyBeforeAConfigurationIsInForce(t *testing.T) {
	is := is.New(t)
	r := start(t)
	r.until(t, "a leader", func() bool { return r.logged("leading") })
	is.True(!r.Ready())
	r.table.Put(configKey, []byte("1"))
	r.until(t, "readiness", r.Ready)
	is.Equal(r.Catalog().Version(), int64(1))
	r.stop()
	is.NoErr(<-r.ended)
}

// Another writer replaces the configuration by a row that cannot be decoded, then by one
// of an older version. The configuration in force stays, the cause is logged, and the
// next valid one is applied.
func TestMalformedConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	r := start(t)
	r.table.Put(configKey, []byte("5"))
	r.until(t, "version 5", func() bool { return r.Catalog().Version() == 5 })
	r.table.Put(configKey, []byte("{nonsense"))
	r.until(t, "the log line", func() bool { return r.logged("configuration ignored") })
	is.Equal(r.Catalog().Version(), int64(5))
	r.table.Put(configKey, []byte("4"))
	r.table.Put(configKey, []byte("6"))
	r.until(t, "version 6", func() bool { return r.Catalog().Version() == 6 })
	r.stop()
	is.NoErr(<-r.ended)
}

// In a planned stop a host reports that it is not ready before it drains, resigns by
// clearing the holder in the leader row, and returns no error.
func TestPlannedStopResignsLeadership(t *testing.T) {
	is := is.New(t)
	r := start(t)
	r.table.Put(configKey, []byte("1"))
	r.until(t, "a leader", func() bool { return r.logged("leading") })
	r.stop()
	is.True(<-r.drained) // it was not ready when it drained
	is.NoErr(<-r.ended)
	is.True(!r.Ready())
	row, err := leader.DecodeRow(r.table.Get(leader.RowKey).Value)
	is.NoErr(err)
	is.Equal(row.Holder, "")
	is.Equal(row.Term, int64(1)) // the next leader increments it
}

// The listener for peers fails. A host that no peer can reach must not keep running: it
// stops and returns the cause.
func TestLostListenerStopsTheHost(t *testing.T) {
	is := is.New(t)
	r := start(t)
	is.NoErr(r.peers.Close())
	err := <-r.ended
	is.True(strings.Contains(err.Error(), "host leon-1: serve peers"))
}
