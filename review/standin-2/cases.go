package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	urgentPrefix = "/pufi791/"
	batchPrefix  = "/pule252/"
	openPrefix   = "/lohu930/"
	reclaimTime  = 2900 * time.Millisecond
)

var usualQueues = []queue{
	{name: "r-urgent", prefix: urgentPrefix, priority: 0, objectiveMS: 250},
	{name: "r-batch", prefix: batchPrefix, priority: 2, objectiveMS: 3000},
}

// usualTenants are guaranteed 240 of the fleet's 384 accelerators.
var usualTenants = []tenant{{"norte", []string{"key-norte"}, 96}, {"sur", []string{"key-sur"}, 144}}

func init() {
	cases["lasting"] = func(s *site, trouble bool) (int, string, error) {
		return reclaim(s, trouble, batchPrefix, &step{CPU: 26000, MemMB: 75000, GPU: 8, EstimatedMS: 60000, LongRunning: true, work: time.Hour})
	}
	cases["urgent"] = func(s *site, trouble bool) (int, string, error) {
		return reclaim(s, trouble, urgentPrefix, &step{CPU: 7500, MemMB: 39000, GPU: 8, EstimatedMS: 60000, work: time.Minute})
	}
}

// reclaim has tenant sur take the idle accelerators with large jobs, and tenant norte hand in an
// urgent job within its guarantee.
func reclaim(s *site, trouble bool, prefix string, shape *step) (int, string, error) {
	s.configure(usualQueues, usualTenants)
	if err := s.awaitReady(15 * time.Second); err != nil {
		return failed, "", err
	}
	time.Sleep(4 * time.Second) // the machines have been in touch for contactMs
	jobs := 2
	if trouble {
		jobs = 4
	}
	var borrowed []string
	for range jobs {
		large := *shape
		large.Count = 12
		id, _, err := s.submit(prefix, "key-sur", []*step{&large}, nil)
		if err != nil {
			return failed, "", err
		}
		borrowed = append(borrowed, id)
		time.Sleep(650 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	for _, id := range borrowed {
		if n, _ := s.fleet.begun(id); n != 12 {
			return failed, "", fmt.Errorf("job %s of sur has begun %d of 12 tasks", id, n)
		}
	}
	s.log.line("sur's jobs have begun; %d accelerators are idle", s.fleet.freeGPUs())
	id, acked, err := s.submit(urgentPrefix, "key-norte", []*step{{Count: 4, CPU: 7500, MemMB: 39000, GPU: 8, EstimatedMS: 2500, work: 2500 * time.Millisecond}}, nil)
	if err != nil {
		return failed, "", err
	}
	time.Sleep(time.Until(acked.Add(reclaimTime)))
	n, last := s.fleet.begun(id)
	s.log.line("reclaimMs after the acknowledgement %d of 4 tasks of norte's job %s have begun", n, id)
	if n == 4 {
		return held, fmt.Sprintf("norte's job began %v after its acknowledgement", last.Sub(acked)), nil
	}
	for range 10 {
		time.Sleep(2 * time.Second)
		s.call(s.anyHost(), http.MethodGet, urgentPrefix+id, "key-norte", nil)
	}
	n, _ = s.fleet.begun(id)
	return broken, fmt.Sprintf("RECLAIM: norte needs 32 of its 96 guaranteed accelerators; %d of 4 tasks had begun %v after the acknowledgement", n, time.Since(acked).Round(time.Second)), nil
}

func init() { cases["starved"] = starved }

// lastingWait is when the rule is broken: for 3 s, from 6 s after the last run.
const lastingWait = 9 * time.Second

// starved has a large urgent gang wait for capacity, while a task that lasts has to be
// started again.
func starved(s *site, trouble bool) (int, string, error) {
	s.configure(usualQueues, usualTenants)
	if err := s.awaitReady(15 * time.Second); err != nil {
		return failed, "", err
	}
	time.Sleep(4 * time.Second)
	full := &step{Count: 18, CPU: 26000, MemMB: 75000, GPU: 8, EstimatedMS: 90000, work: 90 * time.Second}
	half := &step{Count: 30, CPU: 40000, MemMB: 75000, GPU: 4, EstimatedMS: 90000, work: 90 * time.Second}
	for _, x := range []*step{full, half} {
		id, _, err := s.submit(batchPrefix, "key-sur", []*step{x}, nil)
		if err != nil {
			return failed, "", err
		}
		time.Sleep(2 * time.Second)
		if n, _ := s.fleet.begun(id); n != x.Count {
			return failed, "", fmt.Errorf("job %s has begun %d of %d tasks", id, n, x.Count)
		}
	}
	lasting, _, err := s.submit(batchPrefix, "key-norte", []*step{{Count: 1, CPU: 2000, MemMB: 8000, GPU: 1, EstimatedMS: 1000, LongRunning: true, work: time.Hour}}, nil)
	if err != nil {
		return failed, "", err
	}
	time.Sleep(24 * time.Second)
	if s.fleet.running(lasting) != 1 {
		return failed, "", fmt.Errorf("the lasting task does not run")
	}
	if trouble {
		gang := &step{Count: 30, CPU: 7500, MemMB: 39000, GPU: 8, EstimatedMS: 5000, Gang: true, work: 5 * time.Second}
		if _, _, err := s.submit(urgentPrefix, "key-sur", []*step{gang}, nil); err != nil {
			return failed, "", err
		}
	}
	time.Sleep(2 * time.Second)
	s.log.line("%d accelerators are idle", s.fleet.freeGPUs())
	s.fleet.fail(lasting)
	ended := time.Now()
	for time.Since(ended) < 20*time.Second {
		time.Sleep(100 * time.Millisecond)
		if s.fleet.running(lasting) == 1 {
			break
		}
	}
	waited := time.Since(ended).Round(100 * time.Millisecond)
	if waited > lastingWait {
		return broken, fmt.Sprintf("LOST: the task that lasts was not started again for %v, though capacity for it was idle many times over", waited), nil
	}
	return held, fmt.Sprintf("the task that lasts was started again after %v", waited), nil
}

func init() { cases["unasked"] = unasked }

// Bounds of the rules on cancelled jobs: cancel_ms and stopMs.
const (
	cancelTime = 3 * time.Second
	stopBound  = 400 * time.Millisecond
)

// unasked has a client hand a job in while the store loses the answers to the writes of its row and
// performs them later. The client gives the job up and cancels it.
func unasked(s *site, trouble bool) (int, string, error) {
	s.configure(usualQueues, usualTenants)
	if err := s.awaitReady(15 * time.Second); err != nil {
		return failed, "", err
	}
	time.Sleep(4 * time.Second)
	end := make(chan struct{})
	defer close(end)
	go s.background(end)
	time.Sleep(2 * time.Second)

	id := s.newID()
	steps := []*step{{Count: 5, CPU: 26000, MemMB: 75000, GPU: 2, EstimatedMS: 8500, work: 8500 * time.Millisecond}}
	s.fleet.mu.Lock()
	s.fleet.jobs[id] = steps
	s.fleet.mu.Unlock()
	s.store.mu.Lock()
	s.store.writes, s.store.lostCalls = 0, 0
	if trouble {
		s.store.late = func(puts []row) (time.Duration, bool) {
			for _, p := range puts {
				if p.Table == "jobs" && p.Key == id {
					return 5900 * time.Millisecond, true
				}
			}
			return 0, false
		}
	}
	s.store.mu.Unlock()
	s.call(s.anyHost(), http.MethodPost, batchPrefix+id, "key-norte", map[string]any{"spec": "review", "steps": steps})
	s.store.mu.Lock()
	s.store.late = nil
	s.log.line("the store has lost the answers of %d of %d writes; it loses none from now on", s.store.lostCalls, s.store.writes)
	s.store.mu.Unlock()
	var acked time.Time
	for acked.IsZero() {
		status, _ := s.call(s.anyHost(), http.MethodDelete, batchPrefix+id, "key-norte", nil)
		switch {
		case status/100 == 2 || status == http.StatusGone:
			acked = time.Now()
		case time.Since(s.log.began) > 60*time.Second:
			return failed, "", fmt.Errorf("the cancelling is not acknowledged")
		}
	}
	runsOn := time.Duration(0) // how long after the acknowledgement a task was last seen at work
	for time.Since(acked) < 14*time.Second {
		time.Sleep(20 * time.Millisecond)
		if s.fleet.running(id) > 0 {
			runsOn = time.Since(acked).Round(10 * time.Millisecond)
		}
	}
	s.call(s.anyHost(), http.MethodGet, batchPrefix+id, "key-norte", nil)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	late := 0
	for task, at := range s.fleet.starts {
		if task[:16] == id && at.After(acked.Add(cancelTime)) {
			late++
		}
	}
	if late > 0 || runsOn > cancelTime+stopBound {
		return broken, fmt.Sprintf("UNASKED: %d tasks were started over cancel_ms after the job's cancelling was acknowledged, and tasks worked until %v after it", late, runsOn), nil
	}
	return held, fmt.Sprintf("no task was started over cancel_ms after the acknowledgement, and none worked %v after it", runsOn), nil
}

// background hands small jobs in until the channel is closed.
func (s *site) background(end <-chan struct{}) {
	for {
		select {
		case <-end:
			return
		case <-time.After(120 * time.Millisecond):
			go func() {
				_, _, _ = s.submit(urgentPrefix, "key-sur", []*step{{Count: 3, CPU: 7500, MemMB: 39000, GPU: 1, EstimatedMS: 2500, work: 2500 * time.Millisecond}}, nil)
			}()
		}
	}
}

func init() { cases["harm"] = harm }

// harmTime is harmMs.
const harmTime = 4 * time.Second

// harm has a task that fills work beside one that serves. An order that speeds it up is left
// unanswered and carried out later, after the order that stopped it when the load has risen.
func harm(s *site, trouble bool) (int, string, error) {
	s.fleet.load = 30
	s.configure(usualQueues, usualTenants)
	if err := s.awaitReady(15 * time.Second); err != nil {
		return failed, "", err
	}
	time.Sleep(4 * time.Second)
	serving := &step{Count: 1, CPU: 20000, MemMB: 39000, GPU: 1, EstimatedMS: 1000, LongRunning: true, Requirements: "b", Image: "serve", TargetMS: 100, work: time.Hour}
	filling := &step{Count: 1, CPU: 40000, MemMB: 39000, EstimatedMS: 600000, Requirements: "b", Image: "fill", Fills: true, work: 10 * time.Minute}
	servingID, _, err := s.submit(batchPrefix, "key-norte", []*step{serving}, nil)
	if err != nil {
		return failed, "", err
	}
	time.Sleep(time.Second)
	end := make(chan struct{})
	defer close(end)
	go s.background(end)
	var lateAt time.Time // when the late order is carried out
	s.fleet.mu.Lock()
	if trouble {
		s.fleet.latePace = func(o *order) (time.Duration, bool) {
			if o.Percent != 30 || !lateAt.IsZero() {
				return 0, false
			}
			const after = 10 * time.Second
			lateAt = time.Now().Add(after)
			return after, true
		}
	}
	s.fleet.mu.Unlock()
	fillingID, _, err := s.submit(batchPrefix, "key-sur", []*step{filling}, nil)
	if err != nil {
		return failed, "", err
	}
	time.Sleep(8 * time.Second)
	s.fleet.mu.Lock()
	if trouble && lateAt.IsZero() {
		s.fleet.mu.Unlock()
		return failed, "", fmt.Errorf("no order to speed up to 30 %% was sent")
	}
	if lateAt.IsZero() {
		lateAt = time.Now()
	}
	s.fleet.load = 80
	s.log.line("the load of the task that serves has risen: its tail is 80 ms with nothing beside it")
	s.fleet.mu.Unlock()
	s.fleet.mu.Lock()
	if trouble {
		s.log.line("one of %d orders in 5.5 s was left unanswered", s.fleet.ordersIn(lateAt.Add(-10*time.Second), 5500*time.Millisecond))
	}
	s.fleet.mu.Unlock()
	calm := lateAt.Add(4 * time.Second) // more than contactMs after the late order
	longest, over := time.Duration(0), time.Time{}
	for last := ""; time.Since(calm) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		tail, share := s.fleet.serves(servingID, fillingID)
		if text := fmt.Sprintf("tail %.0f ms of 100, the task that fills works at %d %%", tail, share); text != last {
			s.log.line("%s", text)
			last = text
		}
		switch {
		case now.Before(calm):
		case tail <= 100 || share == 0:
			over = time.Time{}
		case over.IsZero():
			over = now
		default:
			longest = max(longest, now.Sub(over))
		}
	}
	if longest >= harmTime {
		return broken, fmt.Sprintf("HARM: the task that serves was over its targetMs for %v on end by what fills beside it", longest.Round(100*time.Millisecond)), nil
	}
	return held, fmt.Sprintf("the task that serves was over its targetMs for %v on end at most", longest.Round(100*time.Millisecond)), nil
}

// serves returns the tail of the task that serves, and at which share the task that fills works.
func (f *fleet) serves(serving, filling string) (tail float64, share int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for _, x := range w.runs {
			switch x.task[:16] {
			case serving:
				tail = x.tail(f.load)
			case filling:
				share = x.share
			}
		}
	}
	return tail, share
}

func init() { cases["reserved"] = reserved }

// reserved has a large urgent gang beyond its tenant's guarantee wait for capacity, while another
// tenant hands in a small urgent job within its own.
func reserved(s *site, trouble bool) (int, string, error) {
	s.configure(usualQueues, usualTenants)
	if err := s.awaitReady(15 * time.Second); err != nil {
		return failed, "", err
	}
	time.Sleep(4 * time.Second)
	for range 2 { // three racks each
		full := &step{Count: 24, CPU: 26000, MemMB: 75000, GPU: 8, EstimatedMS: 90000, work: 90 * time.Second}
		id, _, err := s.submit(batchPrefix, "key-sur", []*step{full}, nil)
		if err != nil {
			return failed, "", err
		}
		time.Sleep(2 * time.Second)
		if n, _ := s.fleet.begun(id); n != full.Count {
			return failed, "", fmt.Errorf("job %s has begun %d of %d tasks", id, n, full.Count)
		}
	}
	time.Sleep(24 * time.Second)
	if trouble {
		gang := &step{Count: 21, CPU: 7500, MemMB: 39000, GPU: 8, EstimatedMS: 5000, Gang: true, work: 5 * time.Second}
		if _, _, err := s.submit(urgentPrefix, "key-sur", []*step{gang}, nil); err != nil {
			return failed, "", err
		}
		time.Sleep(2 * time.Second)
	}
	id, acked, err := s.submit(urgentPrefix, "key-norte", []*step{{Count: 8, CPU: 7500, MemMB: 39000, GPU: 8, EstimatedMS: 2500, Requirements: "r1-4", work: 2500 * time.Millisecond}}, nil)
	if err != nil {
		return failed, "", err
	}
	time.Sleep(time.Until(acked.Add(reclaimTime)))
	n, _ := s.fleet.begun(id)
	s.log.line("reclaimMs after the acknowledgement %d of 8 tasks of norte's job %s have begun", n, id)
	inTime := n == 8
	for range 150 {
		if n, _ = s.fleet.begun(id); n == 8 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	_, last := s.fleet.begun(id)
	switch {
	case inTime:
		return held, fmt.Sprintf("norte's job began %v after its acknowledgement", last.Sub(acked).Round(10*time.Millisecond)), nil
	case n == 8:
		return broken, fmt.Sprintf("RECLAIM: norte's job began %v after its acknowledgement", last.Sub(acked).Round(10*time.Millisecond)), nil
	}
	return broken, fmt.Sprintf("RECLAIM: norte needs 64 of its 96 guaranteed accelerators; %d of 8 tasks had begun %v after the acknowledgement", n, time.Since(acked).Round(time.Second)), nil
}

func init() { cases["public"] = public }

// public has a caller without a key read and cancel a tenant's job by way of a queue that is public.
func public(s *site, trouble bool) (int, string, error) {
	queues := append([]queue{{name: "r-open", prefix: openPrefix, priority: 2, objectiveMS: 3000, public: trouble}}, usualQueues...)
	s.configure(queues, usualTenants)
	if err := s.awaitReady(15 * time.Second); err != nil {
		return failed, "", err
	}
	time.Sleep(4 * time.Second)
	id, _, err := s.submit(batchPrefix, "key-norte", []*step{{Count: 1, CPU: 2000, MemMB: 8000, GPU: 1, EstimatedMS: 60000, work: time.Minute}}, nil)
	if err != nil {
		return failed, "", err
	}
	time.Sleep(time.Second)
	s.call(s.anyHost(), http.MethodGet, batchPrefix+id, "", nil)
	read, _ := s.call(s.anyHost(), http.MethodGet, openPrefix+id, "", nil)
	cancelled, _ := s.call(s.anyHost(), http.MethodDelete, openPrefix+id, "", nil)
	time.Sleep(2 * time.Second)
	_, state := s.call(s.anyHost(), http.MethodGet, batchPrefix+id, "key-norte", nil)
	if read == http.StatusOK || cancelled == http.StatusOK {
		return broken, fmt.Sprintf("a caller without a key: GET %d, DELETE %d; norte's job is shown as %s", read, cancelled, state), nil
	}
	return held, fmt.Sprintf("a caller without a key: GET %d, DELETE %d; norte's job is shown as %s", read, cancelled, state), nil
}
