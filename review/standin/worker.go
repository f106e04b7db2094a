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

// Times of workers, as the settings give them.
const (
	heartbeat   = 1500 * time.Millisecond
	longestHold = 6 * time.Second
	stopTime    = 150 * time.Millisecond // at most stopMs, 400 ms
	entryLife   = 3 * heartbeat
	startupTime = 20 * time.Millisecond
	// Tasks with this much work or more last: they are at work after lastingStartup.
	lastingWork    = time.Hour
	lastingStartup = 300 * time.Millisecond
)

// taskRun is a run of a task on a worker.
type taskRun struct {
	task    string
	run     int
	work    time.Duration
	began   time.Time
	stopped bool
}

// endedRun is a row of the list of ends.
type endedRun struct {
	number int
	task   string
	run    int
	how    string
}

// worker is one life of a worker.
type worker struct {
	mu       sync.Mutex
	fleet    *fleet
	name     string // of the machine, the same in each life
	id       string
	life     int
	zone     string
	labels   []string
	address  string
	listener net.Listener
	server   *http.Server
	began    time.Time
	token    int64
	leaseEnd time.Time
	runs     map[string]*taskRun // by task
	ends     []endedRun
	lastEnd  int
	barred   map[string]int // highest run that was stopped or has ended, by task
	changed  chan struct{}  // closed and replaced at each end
	dead     bool
	dark     chan struct{} // closed when the worker has crashed without a sign: its connections are silent
	seq      int
}

// fleet is all workers of the deployment.
type fleet struct {
	mu      sync.Mutex
	store   *store
	rec     *record
	service string
	workers map[string]*worker // by machine; dead ones stay until they start again
	gone    map[string]time.Time
	// history of all runs, for the verdicts
	starts   []startEvent
	running  map[string]int // runs that are at work now, by task
	done     map[string]int // runs that ended done, by task
	failures map[string]int // runs that ended failed, by task
	stop     chan struct{}
}

// startEvent is a start that a worker has begun.
type startEvent struct {
	at     time.Time
	task   string
	run    int
	worker string
	token  int64
}

func newFleet(s *store, rec *record, service string) *fleet {
	f := &fleet{store: s, rec: rec, service: service, workers: map[string]*worker{}, gone: map[string]time.Time{}, running: map[string]int{}, done: map[string]int{}, failures: map[string]int{}, stop: make(chan struct{})}
	go f.beat()
	return f
}

// beat writes the entries of all workers that are up, and removes those of workers that are silent for too long.
func (f *fleet) beat() {
	for n := 0; ; n++ {
		select {
		case <-f.stop:
			return
		case <-time.After(heartbeat / 10):
		}
		f.mu.Lock()
		var due []*worker
		i := 0
		for _, w := range f.workers {
			if !w.dead && (len(w.name)+int(w.name[len(w.name)-1]))%10 == n%10 {
				due = append(due, w)
			}
			i++
		}
		for id, at := range f.gone {
			if time.Since(at) >= entryLife {
				f.store.drop("servers", id)
				delete(f.gone, id)
			}
		}
		f.mu.Unlock()
		for _, w := range due {
			w.register()
		}
	}
}

// close ends all workers.
func (f *fleet) close() {
	close(f.stop)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if w.server != nil {
			_ = w.server.Close()
		}
	}
}

// launch starts a worker on a machine, for the first time or again. It keeps its address and gets a new id.
func (f *fleet) launch(name, zone string, labels []string) error {
	f.mu.Lock()
	before := f.workers[name]
	f.mu.Unlock()
	life, address := 1, "127.0.0.1:0"
	if before != nil {
		life, address = before.life+1, before.address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w := &worker{
		fleet: f, name: name, id: fmt.Sprintf("w-%s-%d", name, life), life: life, zone: zone, labels: labels, address: l.Addr().String(),
		listener: l, began: time.Now(), runs: map[string]*taskRun{}, barred: map[string]int{}, changed: make(chan struct{}), dark: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.serveStart)
	mux.HandleFunc("POST /run-stop", w.serveStop)
	mux.HandleFunc("POST /hold", w.serveHold)
	mux.HandleFunc("POST /pace", w.servePace)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: w.silentOnceDark(mux)}
	f.mu.Lock()
	f.workers[name] = w
	f.mu.Unlock()
	go func() { _ = w.server.Serve(l) }()
	go w.watchLease()
	w.register()
	return nil
}

// crash ends a worker at once, with all that runs there. Its connections break.
func (f *fleet) crash(name string) {
	f.mu.Lock()
	w := f.workers[name]
	f.mu.Unlock()
	w.mu.Lock()
	w.dead = true
	tasks := []string{}
	for _, r := range w.runs {
		tasks = append(tasks, fmt.Sprintf("%s run %d after %.1f s", r.task, r.run, time.Since(r.began).Seconds()))
		f.ended(r.task, "crash")
	}
	w.runs = map[string]*taskRun{}
	w.mu.Unlock()
	_ = w.server.Close()
	f.mu.Lock()
	f.gone[w.id] = time.Now()
	f.mu.Unlock()
	f.rec.line("worker %s crashed; ran there: %s", w.id, strings.Join(tasks, ", "))
}

// darken ends a worker at once without a sign, for good: all that runs there is gone, and its connections stay
// open and silent.
func (f *fleet) darken(name string) {
	f.mu.Lock()
	w := f.workers[name]
	f.gone[w.id] = time.Now()
	f.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for _, r := range w.runs {
		f.ended(r.task, "crash")
	}
	w.runs = map[string]*taskRun{}
	close(w.dark)
	f.rec.line("worker %s is gone without a sign", w.id)
}

// silentOnceDark passes calls on until the worker has gone dark; those that come later, and those that wait
// then, get no answer.
func (w *worker) silentOnceDark(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		select {
		case <-w.dark:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		default:
		}
		next.ServeHTTP(rw, r)
		select {
		case <-w.dark:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		default:
		}
	})
}

// began and ended keep what runs now.
func (f *fleet) began(w *worker, r *taskRun, token int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, startEvent{time.Now(), r.task, r.run, w.id, token})
	f.running[r.task]++
}

func (f *fleet) ended(task, how string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[task]--
	switch how {
	case "done":
		f.done[task]++
	case "failed":
		f.failures[task]++
	}
}

// atWork returns how many tasks run, in all and of one job.
func (f *fleet) atWork(job string) (all, ofJob int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, n := range f.running {
		all += n
		if strings.HasPrefix(task, job+".") {
			ofJob += n
		}
	}
	return all, ofJob
}

// startsOf returns the starts of a job's tasks.
func (f *fleet) startsOf(job string) []startEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []startEvent
	for _, s := range f.starts {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, s)
		}
	}
	return list
}

// failuresOf returns how many runs of a job's tasks have ended failed.
func (f *fleet) failuresOf(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for task, k := range f.failures {
		if strings.HasPrefix(task, job+".") {
			n += k
		}
	}
	return n
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1 }

// register writes the worker's entry.
func (w *worker) register() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.seq++
	entry := map[string]any{
		"service": w.fleet.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"seq": w.seq, "clockMs": w.clock(), "capacity": map[string]int{"cpu": 64000, "memMb": 262144, "gpu": 8}, "labels": w.labels, "machine": "m-" + w.name,
	}
	w.mu.Unlock()
	w.fleet.store.put("servers", w.id, entry)
}

// watchLease ends everything that runs when the lease has expired.
func (w *worker) watchLease() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		if time.Now().After(w.leaseEnd) {
			for _, r := range w.runs {
				w.end(r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end lists the end of a run. The caller holds the lock.
func (w *worker) end(r *taskRun, how string) {
	if w.runs[r.task] != r || w.dead {
		return
	}
	delete(w.runs, r.task)
	w.lastEnd++
	w.ends = append(w.ends, endedRun{w.lastEnd, r.task, r.run, how})
	w.barred[r.task] = max(w.barred[r.task], r.run)
	close(w.changed)
	w.changed = make(chan struct{})
	w.fleet.ended(r.task, how)
	w.fleet.rec.line("worker %s: %s run %d ended %s", w.id, r.task, r.run, how)
}

// orderBody is the body of any call.
type orderBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Token    int64  `json:"fencingToken"`
	Acked    int    `json:"ackedThrough"`
	Wait     int    `json:"waitMs"`
	Percent  int    `json:"percent"`
}

func (w *worker) answer(rw http.ResponseWriter, status int, reason string, more map[string]any) {
	body := map[string]any{"clockMs": w.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	for k, v := range more {
		body[k] = v
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// accept reads a call and checks the incarnation and the fencing token. If it returns true, the caller
// holds the lock.
func (w *worker) accept(rw http.ResponseWriter, r *http.Request, in *orderBody) bool {
	if err := json.NewDecoder(r.Body).Decode(in); err != nil {
		w.answer(rw, http.StatusBadRequest, "", nil)
		return false
	}
	w.mu.Lock()
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		w.mu.Unlock()
		w.answer(rw, http.StatusMisdirectedRequest, "", nil)
		return false
	}
	if in.Token < w.token {
		w.mu.Unlock()
		w.answer(rw, http.StatusConflict, "fence", nil)
		return false
	}
	w.token = in.Token
	return true
}

// renew applies a deadline. The caller holds the lock.
func (w *worker) renew(deadline int64) {
	if deadline <= 0 {
		return
	}
	end := w.began.Add(time.Duration(deadline) * time.Millisecond)
	if limit := time.Now().Add(longestHold); end.After(limit) {
		end = limit
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func (w *worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var in orderBody
	if !w.accept(rw, r, &in) {
		return
	}
	defer w.mu.Unlock()
	if old := w.runs[in.Task]; old != nil && old.run == in.Run {
		w.renew(in.Deadline)
		w.answer(rw, http.StatusOK, "", nil)
		return
	}
	if in.Deadline <= w.clock() {
		w.answer(rw, http.StatusConflict, "late", nil)
		return
	}
	w.renew(in.Deadline)
	if in.Run <= w.barred[in.Task] || w.runs[in.Task] != nil {
		w.answer(rw, http.StatusConflict, "old", nil)
		return
	}
	work, err := time.ParseDuration(strings.TrimPrefix(in.Spec, "work "))
	if err != nil {
		w.answer(rw, http.StatusBadRequest, "", nil)
		return
	}
	run := &taskRun{task: in.Task, run: in.Run, work: work, began: time.Now()}
	w.runs[in.Task] = run
	w.fleet.began(w, run, in.Token)
	w.fleet.rec.line("worker %s: start %s run %d token %d", w.id, in.Task, in.Run, in.Token)
	time.AfterFunc(work+startupTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.end(run, "done")
	})
	w.answer(rw, http.StatusOK, "", nil)
}

func (w *worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	var in orderBody
	if !w.accept(rw, r, &in) {
		return
	}
	defer w.mu.Unlock()
	w.barred[in.Task] = max(w.barred[in.Task], in.Run)
	if run := w.runs[in.Task]; run != nil && run.run == in.Run && !run.stopped {
		run.stopped = true
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(run, "stopped")
		})
	}
	w.answer(rw, http.StatusOK, "", nil)
}

func (w *worker) servePace(rw http.ResponseWriter, r *http.Request) {
	var in orderBody
	if !w.accept(rw, r, &in) {
		return
	}
	defer w.mu.Unlock()
	w.answer(rw, http.StatusOK, "", nil)
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	var in orderBody
	if !w.accept(rw, r, &in) {
		return
	}
	for len(w.ends) > 0 && w.ends[0].number <= in.Acked {
		w.ends = w.ends[1:]
	}
	w.renew(in.Deadline)
	timeout := time.After(time.Duration(min(in.Wait, 2000)) * time.Millisecond)
	for len(w.ends) == 0 && in.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			in.Wait = 0
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range w.runs {
		percent := int(100 * time.Since(x.began) / max(x.work, 1))
		percent = min(percent, 99)
		if x.work >= lastingWork && time.Since(x.began) >= lastingStartup {
			percent = 100
		}
		running = append(running, []any{x.task, x.run, "", percent, 1000})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	for i, x := range w.ends {
		if i == 500 {
			break
		}
		ended = append(ended, []any{x.number, x.task, x.run, x.how, ""})
	}
	w.mu.Unlock()
	w.answer(rw, http.StatusOK, "", map[string]any{"running": running, "ended": ended})
}

// workerName names the machine at an index of a rack.
func workerName(rack, index int) string { return strconv.Itoa(rack) + "x" + strconv.Itoa(index) }
