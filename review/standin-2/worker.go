package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the workers, as a small deployment has them.
const (
	heartbeat   = 1500 * time.Millisecond
	holdMax     = 6 * time.Second
	stopTime    = 200 * time.Millisecond // stopMs is 400
	gangTimeout = 3 * time.Second
	startup     = 300 * time.Millisecond // of a task that lasts
	maxEnds     = 500
	checkpoints = 2 * time.Second
)

// step is a step of a job, as the client sends it. Fields that are zero are left out.
type step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	MemMB         int    `json:"memMb,omitempty"`
	GPU           int    `json:"gpu,omitempty"`
	EstimatedMS   int    `json:"estimatedMs,omitempty"`
	After         []int  `json:"after,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	MayMiss       int    `json:"mayMiss,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMS      int    `json:"targetMs,omitempty"`
	Fills         bool   `json:"fills,omitempty"`

	work time.Duration // of a task
}

// run is one run of a task on a worker.
type run struct {
	task    string
	number  int
	step    *step
	worker  *worker
	started time.Time
	active  time.Time // when it began to work; zero: it waits for its gang
	stopAt  time.Time // zero: it is not stopped
	worked  time.Duration
	share   int // of full speed, in percent
}

// tail returns the tail of the response times of a task that serves, in milliseconds: that of its own
// load and what the tasks that fill beside it add.
func (x *run) tail(load float64) float64 {
	for _, y := range x.worker.runs {
		if y.step.Fills && !y.active.IsZero() {
			load += tailPerPercent * float64(y.share)
		}
	}
	return load
}

// tailPerPercent is what a task that fills adds to the tail of a task beside it, in milliseconds
// for each percent of its speed.
const tailPerPercent = 1.2

// gangOf names the gang's run, for all members the same.
func (x *run) gangOf() string {
	return x.task[:strings.LastIndexByte(x.task, '.')] + "#" + strconv.Itoa(x.number)
}

func (x *run) percent(now time.Time) int {
	switch {
	case x.active.IsZero():
		return 0
	case x.step.LongRunning:
		return min(100, int(100*now.Sub(x.active)/startup))
	}
	return min(99, int(100*x.worked/x.step.work))
}

// worker is one life of a machine.
type worker struct {
	id, address, zone, rack string
	kind                    string
	began                   time.Time
	runs                    map[string]*run // by task and number
	ended                   [][]any
	ends                    int64
	stopped                 map[string]int // highest run of a task that was stopped or has ended
	token                   int64
	leaseEnd                int64 // on its clock
	seq                     int
	server                  *http.Server
}

func (w *worker) clock(now time.Time) int64 { return now.Sub(w.began).Milliseconds() + 1000 }

func runName(task string, number int) string { return task + "#" + strconv.Itoa(number) }

// fleet holds all workers under one lock.
type fleet struct {
	mu      sync.Mutex
	store   *store
	service string
	workers []*worker
	jobs    map[string][]*step
	starts  map[string]time.Time // first start of a task
	changed chan struct{}
	log     *record
	breach  []string
	lives   int         // of machines that have crashed
	orders  []time.Time // when workers got orders
	load    float64     // the tail of tasks that serve, in milliseconds, with nothing beside them
	// latePace reports whether a pace order is left unanswered, and how much later it is carried
	// out; nil: none is.
	latePace func(o *order) (time.Duration, bool)
}

func newFleet(s *store, log *record) *fleet {
	return &fleet{store: s, service: "huvo11a", jobs: map[string][]*step{}, starts: map[string]time.Time{}, changed: make(chan struct{}), log: log}
}

// launch starts racks of eight workers each.
func (f *fleet) launch(racks int, zones []string) error {
	for r := range racks {
		for i := range 8 {
			w := &worker{kind: "a", id: fmt.Sprintf("i-%02d%02d7f3a", r, i), address: "127.0.0.1:0", zone: zones[r%len(zones)], rack: fmt.Sprintf("r1-%d", r)}
			if r == 0 && i == 0 {
				w.kind = "b" // the only one of its kind
			}
			if err := f.launchOne(w); err != nil {
				return err
			}
		}
	}
	go f.beat()
	go f.tick()
	return nil
}

// launchOne starts one life of a machine at its address.
func (f *fleet) launchOne(w *worker) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.address, w.began, w.runs, w.stopped = l.Addr().String(), time.Now(), map[string]*run{}, map[string]int{}
	mux := http.NewServeMux()
	for path, serve := range map[string]func(*worker, *order, time.Time) (int, any){
		"/run-start": f.start, "/run-stop": f.stop, "/pace": f.pace,
	} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, q *http.Request) { f.order(rw, q, w, serve) })
	}
	mux.HandleFunc("POST /hold", func(rw http.ResponseWriter, q *http.Request) { f.hold(rw, q, w) })
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	return nil
}

// beat writes the workers' registrations.
func (f *fleet) beat() {
	for ; ; time.Sleep(heartbeat) {
		f.mu.Lock()
		for _, w := range f.workers {
			f.register(w, time.Now())
		}
		f.mu.Unlock()
	}
}

// register writes the registration of a worker. The caller holds the lock.
func (f *fleet) register(w *worker, now time.Time) {
	w.seq++
	value, _ := json.Marshal(map[string]any{
		"service": f.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": 64000, "memMb": 262144, "gpu": 8}, "labels": []string{w.kind, w.rack}, "clockMs": w.clock(now), "seq": w.seq,
	})
	f.store.put(rowKey{"servers", "", w.id}, value)
}

// tick ends runs that are done, stopped or without a lease.
func (f *fleet) tick() {
	for last := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		now := time.Now()
		passed := now.Sub(last)
		last = now
		for _, w := range f.workers {
			for _, x := range w.sorted() {
				if w.runs[runName(x.task, x.number)] != x {
					continue // it has ended with its gang
				}
				if !x.active.IsZero() {
					x.worked += passed * time.Duration(x.share) / 100
				}
				switch {
				case w.clock(now) >= w.leaseEnd:
					f.end(x, "lapsed", now)
				case !x.stopAt.IsZero() && now.After(x.stopAt):
					f.end(x, "stopped", now)
				case x.active.IsZero() && now.Sub(x.started) >= gangTimeout:
					f.end(x, "alone", now)
				case !x.active.IsZero() && !x.step.LongRunning && x.worked >= x.step.work:
					f.end(x, "done", now)
				}
			}
		}
		f.mu.Unlock()
	}
}

func (w *worker) sorted() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, x := range w.runs {
		list = append(list, x)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].task < list[j].task })
	return list
}

// end ends a run and, with it, the other members of its gang. The caller holds the lock.
func (f *fleet) end(x *run, how string, now time.Time) {
	f.endOne(x, how)
	if x.step.Gang {
		others := "broken"
		if how == "done" {
			others = how
		}
		for _, w := range f.workers {
			for _, y := range w.sorted() {
				if y.step.Gang && y.gangOf() == x.gangOf() {
					f.endOne(y, others)
				}
			}
		}
	}
	close(f.changed)
	f.changed = make(chan struct{})
	_ = now
}

func (f *fleet) endOne(x *run, how string) {
	w := x.worker
	delete(w.runs, runName(x.task, x.number))
	w.ends++
	w.ended = append(w.ended, []any{w.ends, x.task, x.number, how, ""})
	w.stopped[x.task] = max(w.stopped[x.task], x.number)
	f.log.line("worker %s: %s run %d ended %s", w.id, x.task, x.number, how)
}

// order is the body of any order.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Token    int64  `json:"fencingToken"`
	Acked    int64  `json:"ackedThrough"`
	Percent  int    `json:"percent"`
	WaitMS   int64  `json:"waitMs"`
}

// accept decodes an order and checks its incarnation and token. If it refuses the order, it
// answers it and returns nil. The caller holds the lock.
func (f *fleet) accept(rw http.ResponseWriter, q *http.Request, w *worker, now time.Time) *order {
	o := &order{}
	switch {
	case json.NewDecoder(q.Body).Decode(o) != nil:
		reply(rw, http.StatusBadRequest, map[string]any{"clockMs": w.clock(now)})
	case q.Header.Get("X-Expect-Instance") != "" && q.Header.Get("X-Expect-Instance") != w.id:
		reply(rw, http.StatusMisdirectedRequest, map[string]any{"clockMs": w.clock(now)})
	case o.Token < w.token:
		reply(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(now), "reason": "fence"})
	default:
		w.token = o.Token
		f.orders = append(f.orders, now)
		return o
	}
	return nil
}

// ordersIn returns how many orders workers got in a time. The caller holds the lock.
func (f *fleet) ordersIn(from time.Time, d time.Duration) int {
	n := 0
	for _, at := range f.orders {
		if !at.Before(from) && at.Before(from.Add(d)) {
			n++
		}
	}
	return n
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (f *fleet) order(rw http.ResponseWriter, q *http.Request, w *worker, serve func(*worker, *order, time.Time) (int, any)) {
	f.mu.Lock()
	now := time.Now()
	o := f.accept(rw, q, w, now)
	if o == nil {
		f.mu.Unlock()
		return
	}
	status, body := serve(w, o, now)
	f.mu.Unlock()
	if status == 0 { // no answer
		<-q.Context().Done()
		return
	}
	reply(rw, status, body)
}

// extend moves the lease on. It never becomes shorter.
func (w *worker) extend(deadline int64, now time.Time) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock(now)+holdMax.Milliseconds()))
}

func (f *fleet) start(w *worker, o *order, now time.Time) (int, any) {
	clock := w.clock(now)
	refuse := func(reason string) (int, any) {
		return http.StatusConflict, map[string]any{"clockMs": clock, "reason": reason}
	}
	id, steps := o.Task[:16], f.jobs[o.Task[:16]]
	parts := strings.Split(o.Task, ".")
	n, err := strconv.Atoi(parts[2])
	switch {
	case steps == nil || err != nil || n >= len(steps):
		f.breach = append(f.breach, "UNASKED "+o.Task+" of "+id)
		return http.StatusBadRequest, map[string]any{"clockMs": clock}
	case o.Deadline <= clock:
		return refuse("late")
	}
	w.extend(o.Deadline, now)
	name := runName(o.Task, o.Run)
	switch {
	case w.runs[name] != nil:
		return http.StatusOK, map[string]any{"clockMs": clock}
	case o.Run <= w.stopped[o.Task]:
		return refuse("old")
	}
	x := &run{task: o.Task, number: o.Run, step: steps[n], worker: w, started: now, share: 100}
	w.runs[name] = x
	if _, ok := f.starts[o.Task]; !ok {
		f.starts[o.Task] = now
	}
	f.log.line("worker %s: start %s run %d token %d", w.id, o.Task, o.Run, o.Token)
	f.check(x)
	if !x.step.Gang {
		x.active = now
	} else {
		f.joinGang(x, now)
	}
	return http.StatusOK, map[string]any{"clockMs": clock}
}

// check records starts that exceed the worker's capacity or begin a second run of a task.
func (f *fleet) check(x *run) {
	cpu, mem, gpu := 0, 0, 0
	for _, y := range x.worker.runs {
		if !y.step.Fills {
			cpu += y.step.CPU
		}
		mem, gpu = mem+y.step.MemMB, gpu+y.step.GPU
	}
	if cpu > 64000 || mem > 262144 || gpu > 8 {
		f.breach = append(f.breach, "LIMIT "+x.task+" on "+x.worker.id)
	}
	for _, w := range f.workers {
		for _, y := range w.runs {
			if y != x && y.task == x.task {
				f.breach = append(f.breach, "TWICE "+x.task+" on "+w.id+" and "+x.worker.id)
			}
		}
	}
}

// joinGang has the gang work once all its members are there.
func (f *fleet) joinGang(x *run, now time.Time) {
	var members []*run
	for _, w := range f.workers {
		for _, y := range w.runs {
			if y.step.Gang && y.gangOf() == x.gangOf() {
				members = append(members, y)
			}
		}
	}
	if len(members) < x.step.Count {
		return
	}
	for _, y := range members {
		y.active = now
	}
}

func (f *fleet) stop(w *worker, o *order, now time.Time) (int, any) {
	if x := w.runs[runName(o.Task, o.Run)]; x != nil {
		if x.stopAt.IsZero() {
			x.stopAt = now.Add(stopTime)
			f.log.line("worker %s: stop %s run %d", w.id, o.Task, o.Run)
		}
	} else {
		w.stopped[o.Task] = max(w.stopped[o.Task], o.Run)
	}
	return http.StatusOK, map[string]any{"clockMs": w.clock(now)}
}

// pace sets the share of a run, or leaves the order unanswered and carries it out late.
func (f *fleet) pace(w *worker, o *order, now time.Time) (int, any) {
	if f.latePace != nil {
		if after, late := f.latePace(o); late {
			f.log.line("worker %s: pace %s run %d to %d %% is left unanswered", w.id, o.Task, o.Run, o.Percent)
			time.AfterFunc(after, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if o.Token >= w.token {
					f.setPace(w, o, "late")
				}
			})
			return 0, nil
		}
	}
	f.setPace(w, o, "now")
	return http.StatusOK, map[string]any{"clockMs": w.clock(now)}
}

func (f *fleet) setPace(w *worker, o *order, when string) {
	if x := w.runs[runName(o.Task, o.Run)]; x != nil {
		x.share = o.Percent
		f.log.line("worker %s: pace %s run %d to %d %% is carried out %s", w.id, o.Task, o.Run, o.Percent, when)
	}
}

func (f *fleet) hold(rw http.ResponseWriter, q *http.Request, w *worker) {
	f.mu.Lock()
	now := time.Now()
	o := f.accept(rw, q, w, now)
	if o == nil {
		f.mu.Unlock()
		return
	}
	w.extend(o.Deadline, now)
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= o.Acked {
		w.ended = w.ended[1:]
	}
	until := time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for waiting := o.WaitMS > 0; waiting && len(w.ended) == 0; {
		changed := f.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-q.Context().Done():
			return
		}
		f.mu.Lock()
	}
	now = time.Now()
	running := [][]any{}
	for _, x := range w.sorted() {
		gauge := x.step.CPU * x.share / 100
		if x.step.TargetMS > 0 {
			gauge = int(x.tail(f.load))
		}
		running = append(running, []any{x.task, x.number, "", x.percent(now), gauge})
	}
	ended := append([][]any{}, w.ended[:min(len(w.ended), maxEnds)]...)
	clock := w.clock(now)
	f.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{"clockMs": clock, "running": running, "ended": ended})
}

// running returns how many tasks of a job are on workers.
func (f *fleet) running(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	tasks := map[string]bool{}
	for _, w := range f.workers {
		for _, x := range w.runs {
			if strings.HasPrefix(x.task, id+".") {
				tasks[x.task] = true
			}
		}
	}
	return len(tasks)
}

// begun returns how many tasks of a job's first step have begun, and when the last of them did.
func (f *fleet) begun(id string) (n int, last time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, at := range f.starts {
		if strings.HasPrefix(task, id+".0.0.") {
			n++
			if at.After(last) {
				last = at
			}
		}
	}
	return n, last
}

// freeGPUs returns how many accelerators no run takes.
func (f *fleet) freeGPUs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		n += 8
		for _, x := range w.runs {
			n -= x.step.GPU
		}
	}
	return n
}

// fail ends all runs of a job as failed.
func (f *fleet) fail(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for _, x := range w.sorted() {
			if strings.HasPrefix(x.task, id+".") {
				f.end(x, "failed", time.Now())
			}
		}
	}
}
