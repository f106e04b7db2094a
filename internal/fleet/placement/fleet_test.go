package placement_test

import (
	"fmt"
	"time"

	"guavaglade.example/guavaglade/internal/fleet/cell"
	"guavaglade.example/guavaglade/internal/fleet/guarantee"
	"guavaglade.example/guavaglade/internal/fleet/placement"
)

// pick returns a number from 0 to n-1.
type pick func(n int) int

// fleet drives a zone at random and keeps its own books of it.
type fleet struct {
	pick       pick
	zone       *placement.Zone
	planned    bool
	workers    map[string]cell.Worker // those in the zone
	away       []cell.Worker
	barred     map[string]bool
	guarantees []guarantee.Guarantee
	owners     []string
	serial     int
	now        time.Time
}

func newFleet(p pick, opts ...placement.Option) *fleet {
	policies := []placement.Policy{placement.Cells{}, placement.BestFit{}, placement.FirstFit{}}
	f := &fleet{
		pick: p, planned: len(opts) == 0, zone: placement.NewZone(policies[p(len(policies))], opts...),
		workers: map[string]cell.Worker{}, barred: map[string]bool{}, now: time.Unix(1000, 0),
	}
	for i := range 2 + p(4) {
		w, err := cell.NewWorker(fmt.Sprintf("w%d", i), "z", fmt.Sprintf("r%d", p(2)), []int{0, 1, 2, 4, 4}[p(5)], 2+p(4), 4+p(4), 1+p(4))
		if err != nil {
			panic(err)
		}
		f.workers[w.ID()] = w
		f.zone.AddWorker(w)
	}
	return f
}

func (f *fleet) shape() cell.Shape {
	adjacency := []cell.Adjacency{cell.Any, cell.SameRack, cell.SameWorker}[f.pick(3)]
	s, err := cell.NewShape(1+f.pick(3), f.pick(3), f.pick(2), f.pick(3), adjacency)
	if err != nil {
		panic(err)
	}
	return s
}

func (f *fleet) account() string { return []string{"a", "b"}[f.pick(2)] }

func (f *fleet) draw() []guarantee.Guarantee {
	var gs []guarantee.Guarantee
	for range f.pick(4) {
		g, err := guarantee.New(f.account(), f.shape(), 1+f.pick(2))
		if err != nil {
			panic(err)
		}
		gs = append(gs, g)
	}
	return gs
}

// step does one thing at random and says what.
func (f *fleet) step() string {
	f.now = f.now.Add(time.Second)
	switch f.pick(14) {
	case 0:
		return f.configure()
	case 1:
		return f.lose()
	case 2:
		return f.comeBack()
	case 3:
		return f.bar()
	case 4, 5:
		return f.free()
	case 6:
		return f.reclaim()
	case 7:
		return f.checkpoint()
	case 8:
		return f.adopt()
	case 9:
		return f.grab()
	default:
		return f.take()
	}
}

func (f *fleet) request() placement.Request {
	f.serial++
	r := placement.Request{
		Owner: fmt.Sprintf("j%d", f.serial), Account: f.account(), Shape: f.shape(),
		Guaranteed: f.pick(2) == 0, Stoppable: f.pick(2) == 0, Urgent: f.pick(6) == 0,
		Weights: placement.Weights{Completion: 0.5, Fragmentation: float64(f.pick(2))},
	}
	if r.Guaranteed && len(f.guarantees) > 0 {
		g := f.guarantees[f.pick(len(f.guarantees))]
		r.Account, r.Shape = g.Account(), g.Shape()
	}
	return r
}

func (f *fleet) take() string {
	r := f.request()
	a, ok := f.zone.Place(r)
	if !ok {
		return fmt.Sprintf("no place for %+v", r)
	}
	f.mustTake(r, a)
	return fmt.Sprintf("take %+v at %v", r, a)
}

// mustTake takes a place that the zone gave; it must not be refused.
func (f *fleet) mustTake(r placement.Request, a cell.Assignment) {
	if err := f.tryTake(r, a); err != nil {
		panic(fmt.Sprintf("place %v for %+v given and refused: %v", a, r, err))
	}
}

// tryTake takes a place; if it is not refused, no guarantee may be put at risk.
func (f *fleet) tryTake(r placement.Request, a cell.Assignment) error {
	before := f.risks()
	if err := f.zone.Take(r, a, f.now); err != nil {
		return err
	}
	if f.planned && f.risks() > before {
		panic(fmt.Sprintf("place %v for %+v puts guarantees at risk: %v", a, r, f.zone.AtRisk()))
	}
	f.owners = append(f.owners, r.Owner)
	return nil
}

func (f *fleet) risks() int {
	n := 0
	for _, g := range f.zone.AtRisk() {
		n += g.Count()
	}
	return n
}

// adopt books a gang that runs already, wherever there is room.
func (f *fleet) adopt() string {
	r := f.request()
	a, ok := placement.FirstFit{}.Choose(cell.NewView(f.zone.Inventory()), r)
	if !ok {
		return "nothing to adopt"
	}
	if err := f.zone.Adopt(r, a, f.now); err != nil {
		panic(err)
	}
	f.owners = append(f.owners, r.Owner)
	return fmt.Sprintf("adopt %+v at %v", r, a)
}

// grab takes any place that nobody holds. The zone may refuse it.
func (f *fleet) grab() string {
	r := f.request()
	a, ok := placement.FirstFit{}.Choose(cell.NewView(f.zone.Inventory()), r)
	if !ok || f.tryTake(r, a) != nil {
		return fmt.Sprintf("no grab for %+v at %v", r, a)
	}
	return fmt.Sprintf("grab %+v at %v", r, a)
}

func (f *fleet) free() string {
	if len(f.owners) == 0 {
		return "nothing to free"
	}
	return f.drop(f.pick(len(f.owners)))
}

func (f *fleet) drop(i int) string {
	owner := f.owners[i]
	f.zone.Free(owner)
	f.owners = append(f.owners[:i:i], f.owners[i+1:]...)
	return "free " + owner
}

func (f *fleet) reclaim() string {
	r := f.request()
	a, victims, ok := f.zone.Reclaim(r, f.now)
	if !ok {
		return fmt.Sprintf("no reclaim for %+v", r)
	}
	for _, v := range victims {
		h, held := f.zone.Holder(v)
		if !held || !h.Request.Stoppable || h.Claims {
			panic(fmt.Sprintf("victim %+v must not be stopped", h))
		}
		for i, o := range f.owners {
			if o == v {
				f.drop(i)
				break
			}
		}
	}
	f.mustTake(r, a)
	return fmt.Sprintf("reclaim for %+v from %v at %v", r, victims, a)
}

func (f *fleet) configure() string {
	gs := f.draw()
	if err := f.zone.SetGuarantees(gs); err != nil {
		return err.Error()
	}
	f.guarantees = gs
	return fmt.Sprint("guarantees ", gs)
}

func (f *fleet) lose() string {
	if len(f.workers) < 2 {
		return "no worker to lose"
	}
	w := f.ids()[f.pick(len(f.workers))]
	f.away = append(f.away, f.workers[w])
	delete(f.workers, w)
	delete(f.barred, w)
	f.zone.RemoveWorker(w)
	return "lose " + w
}

func (f *fleet) comeBack() string {
	if len(f.away) == 0 {
		return "no worker away"
	}
	w := f.away[0]
	f.away = f.away[1:]
	f.workers[w.ID()] = w
	f.zone.AddWorker(w)
	return "back " + w.ID()
}

func (f *fleet) bar() string {
	w := f.ids()[f.pick(len(f.workers))]
	f.barred[w] = !f.barred[w]
	f.zone.Bar(w, f.barred[w])
	return fmt.Sprint("bar ", w, f.barred[w])
}

func (f *fleet) checkpoint() string {
	if len(f.owners) == 0 {
		return "nothing to checkpoint"
	}
	f.zone.Checkpointed(f.owners[f.pick(len(f.owners))], f.now)
	return "checkpoint"
}

// ids returns the present workers in the zone's order.
func (f *fleet) ids() []string {
	var ids []string
	for _, w := range f.zone.Inventory().Workers() {
		ids = append(ids, w.ID())
	}
	return ids
}

// bins returns what the holders that keep reports true for leave of the
// workers, and an error if more is given out than a worker has.
func (f *fleet) bins(keep func(placement.Holder) bool) ([]bin, error) {
	at := map[string]int{}
	var bins []bin
	used := make([]uint64, len(f.workers))
	for _, id := range f.ids() {
		w := f.workers[id]
		at[id] = len(bins)
		bins = append(bins, bin{w.Rack(), w.Accelerators(), w.Cores(), w.Memory(), w.Slots()})
	}
	for _, o := range f.owners {
		h, _ := f.zone.Holder(o)
		if !keep(h) {
			continue
		}
		s := h.Request.Shape
		for _, g := range h.Assignment {
			i, ok := at[g.Worker]
			if !ok {
				continue
			}
			b := &bins[i]
			b.accelerators -= g.Count()
			b.cores -= s.Cores()
			b.memory -= s.Memory()
			b.slots--
			if used[i]&g.Accelerators != 0 || g.Count() != s.Accelerators() || min(b.accelerators, b.cores, b.memory, b.slots) < 0 {
				return nil, fmt.Errorf("%s has more of %s than there is: %+v", o, g.Worker, *b)
			}
			used[i] |= g.Accelerators
		}
	}
	for id := range f.barred {
		if i, ok := at[id]; ok && f.barred[id] {
			bins[i] = bin{rack: bins[i].rack}
		}
	}
	return bins, nil
}

// unclaimed returns the guaranteed gangs, by account, that nobody claims.
func (f *fleet) unclaimed() map[guarantee.Guarantee]int {
	left := map[guarantee.Guarantee]int{}
	for _, g := range f.guarantees {
		left[kind(g.Account(), g.Shape())] += g.Count()
	}
	for _, o := range f.owners {
		if h, _ := f.zone.Holder(o); h.Claims {
			left[kind(h.Request.Account, h.Guarantee)]--
		}
	}
	return left
}

func kind(account string, s cell.Shape) guarantee.Guarantee {
	g, err := guarantee.New(account, s, 1)
	if err != nil {
		panic(err)
	}
	return g
}
