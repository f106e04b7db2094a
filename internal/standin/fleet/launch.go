package fleet

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/platform/table"
)

// Fleet is a set of stand-in workers that serve.
type Fleet struct {
	servers map[string]*Server // by worker id
	targets []table.Target
	https   []*http.Server
}

// Launch serves each worker on a port of its own at the IP, from the first
// port on; a first port of 0 takes whatever is free.
func Launch(ip string, first int, workers []cell.Worker) (*Fleet, error) {
	f := &Fleet{servers: map[string]*Server{}}
	for i, w := range workers {
		port := 0
		if first > 0 {
			port = first + i
		}
		if err := f.serve(fmt.Sprintf("%s:%d", ip, port), w); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) serve(address string, w cell.Worker) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("serve worker %s: %w", w.ID(), err)
	}
	s := NewServer(NewWorker(w))
	h := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second}
	f.servers[w.ID()] = s
	f.https = append(f.https, h)
	f.targets = append(f.targets, table.Target{
		ID: w.ID(), Address: l.Addr().String(), Zone: w.Zone(), Rack: w.Rack(), Accelerators: w.Accelerators(),
		Cores: w.Cores(), Memory: w.Memory(), Slots: w.Slots(), AsOf: time.Now(),
	})
	go func() {
		if err := h.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			return
		}
	}()
	return nil
}

// Targets returns the workers as the platform lists them.
func (f *Fleet) Targets() []table.Target { return f.targets }

// Server returns the server of a worker, nil if it is not known.
func (f *Fleet) Server(id string) *Server { return f.servers[id] }

// Close ends all workers at once.
func (f *Fleet) Close() {
	for _, h := range f.https {
		_ = h.Close()
	}
}

// Sizes describes the workers of a stand-in fleet.
type Sizes struct {
	Zones        []string
	Count        int // workers of all zones together
	PerRack      int
	Accelerators int // of each worker
	Cores        int
	Memory       int // MB
	Slots        int
}

// Workers returns workers of the sizes, dealt out over the zones in turn.
func (s Sizes) Workers() ([]cell.Worker, error) {
	if len(s.Zones) == 0 || s.PerRack < 1 {
		return nil, fmt.Errorf("fleet: %d zones, %d workers to a rack", len(s.Zones), s.PerRack)
	}
	var ws []cell.Worker
	for i := range s.Count {
		zone, n := s.Zones[i%len(s.Zones)], i/len(s.Zones)
		id := fmt.Sprintf("%s-w%02d", zone, n)
		rack := fmt.Sprintf("%s-r%d", zone, n/s.PerRack)
		w, err := cell.NewWorker(id, zone, rack, s.Accelerators, s.Cores, s.Memory, s.Slots)
		if err != nil {
			return nil, err
		}
		ws = append(ws, w)
	}
	return ws, nil
}
