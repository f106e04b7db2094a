package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["restore"] = playRestore }

const (
	schedules   = 12                            // recurring jobs
	occurrences = 8640                          // every 15 minutes for 90 days
	finishTime  = 14 * time.Second              // finish_s
	idleTime    = 3 * time.Second               // LOST: for 3 s nothing runs though there is capacity
	everyMS     = int64(15 * time.Minute / 1e6) // between two occurrences
	// LOST counts while under half of the capacity is in use: 48 workers of 8 accelerators, one a task at least.
	halfCapacity = 48 * 8 / 2
	lateJobs     = 5 // handed in after the leader was killed
	jobInterval  = time.Second
)

// playRestore hands in recurring jobs, cancels them, kills the leader and hands in other jobs.
func playRestore(d *deployment) int {
	for i := range schedules {
		id := fmt.Sprintf("5c4ed00000000%03x", i)
		body := job("work 1s", step{Count: 16, CPU: 5600, Memory: 29000, GPU: 1, Estimate: 1000})
		body["startAtMs"], body["intervalMs"], body["repeatCount"] = time.Now().UnixMilli()+everyMS, everyMS, occurrences
		if !d.submit(id, body, 10*time.Second) {
			d.rec.say("recurring job %s not accepted", id)
			return notRun
		}
	}
	d.rec.say("%d recurring jobs accepted: 16 tasks, %d times each, the first in 15 minutes", schedules, occurrences)
	time.Sleep(2 * time.Second)
	for i := range schedules {
		if !d.cancel(fmt.Sprintf("5c4ed00000000%03x", i), 4*time.Second) {
			d.rec.say("cancellation not acknowledged")
			return notRun
		}
	}
	d.rec.say("all of them cancelled, acknowledged")
	time.Sleep(2 * time.Second)
	victim := d.leader()
	if d.trouble {
		d.signal(victim, syscall.SIGKILL)
	}
	var ids []string
	for i := range lateJobs {
		time.Sleep(jobInterval)
		id := fmt.Sprintf("10b0000000000%03x", i)
		if !d.submit(id, job("work 1s", step{Count: 3, CPU: 7500, Memory: 39000, GPU: 1, Estimate: 1000}), 10*time.Second) {
			d.rec.say("job %s not accepted", id)
			continue
		}
		ids = append(ids, id)
	}
	d.rec.say("%d jobs accepted after that; the traffic ends", len(ids))
	time.Sleep(finishTime)
	return d.judgeRestore(ids)
}

// judgeRestore applies LOST, and Fault, finish_s after the end of the traffic.
func (d *deployment) judgeRestore(ids []string) int {
	verdict := held
	for _, id := range ids {
		state, status := d.state(id)
		if state == "completed" {
			d.rec.say("job %s: completed", id)
			continue
		}
		idleSince := time.Now()
		for time.Since(idleSince) < idleTime+500*time.Millisecond {
			if _, n := d.atWork(id); n > 0 {
				idleSince = time.Time{}
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		state, status = d.state(id)
		all, _ := d.atWork(id)
		if !idleSince.IsZero() && state != "completed" && all < halfCapacity {
			d.rec.say("LOST: job %s, accepted: state %q (answer %d), %d starts in all; nothing of it ran for %v, while %d tasks run on all 48 workers", id, state, status, len(d.startsOf(id)), idleTime, all)
			verdict = broken
		}
	}
	ended := 0
	for _, h := range d.hosts {
		d.rec.say("host %s: %d processes ended by themselves, peak %d MB of %d MB", h.name, h.ownEnds, h.peakMB, memoryMB)
		if h.ownEnds >= 3 {
			ended++
		}
	}
	if ended >= 2 {
		d.rec.say("Fault: on %d of %d machines processes ended by themselves three times or more", ended, len(d.hosts))
		verdict = broken
	}
	return verdict
}
