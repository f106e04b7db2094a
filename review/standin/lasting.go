package main

import (
	"time"
)

func init() { cases["lasting"] = playLasting }

const (
	crashes  = 5                // of one worker of 48
	downTime = time.Second      // of the worker, each time
	upTime   = 4 * time.Second  // of the task before the next crash
	ownedBy  = 6 * time.Second  // LOST: a lasting task is owed from 6 s after its last run
	calmTime = 20 * time.Second // watched after the last crash
)

// playLasting hands in a job that lasts and needs the one worker of kind b, crashes that worker a few times, and
// watches whether the job's task is started again.
func playLasting(d *deployment) int {
	const id = "1a57000000000001"
	name := workerName(2, 3)
	lasting := step{Count: 1, CPU: 8000, Memory: 32000, GPU: 1, Estimate: 1000, Requirements: "b", LongRunning: true}
	if !d.submit(id, job("work 2h", lasting), 3*time.Second) || !d.awaitAtWork(id, 3*time.Second) {
		d.rec.say("the lasting job did not begin")
		return notRun
	}
	for i := range crashes {
		time.Sleep(upTime)
		if !d.trouble {
			continue
		}
		d.rec.say("crash %d of worker %s", i+1, name)
		d.crash(name)
		time.Sleep(downTime)
		if err := d.launch(name, zones[2], []string{"b", "r1-2"}); err != nil {
			d.rec.say("%v", err)
			return notRun
		}
		if i < crashes-1 && !d.awaitAtWork(id, 10*time.Second) {
			s, _ := d.state(id)
			d.rec.say("the task was not started again within 10 s; state %s", s)
			break
		}
	}
	calm := time.Now()
	d.rec.say("no worker crashes any more; all 48 are up")
	last := time.Now()
	verdict := held
	for time.Since(calm) < calmTime {
		if _, n := d.atWork(id); n > 0 {
			last = time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	s, status := d.state(id)
	all, _ := d.atWork("")
	d.rec.say("state %q (answer %d), %d starts, %d ends as failed, %d tasks run on all workers", s, status, len(d.startsOf(id)), d.failuresOf(id), all)
	if time.Since(last) > ownedBy+idleTime {
		d.rec.say("LOST: the task that lasts has not run for %.1f s, on a calm fleet with all workers free", time.Since(last).Seconds())
		verdict = broken
	}
	if s == "failed" || s == "cancelled" {
		d.rec.say("LOST: the job is shown as %s; no run of it ended as failed, and nobody cancelled it", s)
		verdict = broken
	}
	return verdict
}

// awaitAtWork waits until a task of the job runs.
func (d *deployment) awaitAtWork(id string, within time.Duration) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if _, n := d.atWork(id); n > 0 {
			return true
		}
	}
	return false
}
