package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

func init() { cases["pending"] = playPending }

const (
	visibleTime = 3 * time.Second // visible_ms
	waitingJobs = 12
)

// playPending has a rack lost without a sign, hands in jobs whose data is there, kills the leader, and asks for
// the number of pending jobs. KILL=0 in the environment leaves the kill alone out.
func playPending(d *deployment) int {
	if d.trouble {
		d.rec.say("rack r1-2 is lost without a sign: 8 of 48 workers")
		for i := range 8 {
			d.darken(workerName(2, i))
		}
	}
	accepted := map[string]time.Time{}
	for i := range waitingJobs {
		id := fmt.Sprintf("9e0d0000000000%02x", i)
		if !d.submit(id, job("work 2s", step{Count: 2, CPU: 5600, Memory: 29000, GPU: 1, Estimate: 2000, Affinity: "r1-2"}), 3*time.Second) {
			return notRun
		}
		accepted[id] = time.Now()
	}
	d.rec.say("%d jobs accepted", len(accepted))
	time.Sleep(1500 * time.Millisecond)
	if d.trouble && os.Getenv("KILL") != "0" {
		d.signal(d.leader(), syscall.SIGKILL)
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	verdict := held
	for range 8 {
		time.Sleep(time.Second)
		for _, h := range d.hosts {
			asked := time.Now()
			status, text, err := d.callAt(h, http.MethodGet, "", nil, 3*time.Second)
			if err != nil || status != http.StatusOK {
				continue
			}
			var body struct {
				Pending int `json:"pending"`
			}
			_ = json.Unmarshal([]byte(text), &body)
			waiting := 0
			for id, at := range accepted {
				if asked.Sub(at) > visibleTime+2*time.Second && len(d.startsOf(id)) == 0 {
					waiting++
				}
			}
			if 2*body.Pending < waiting {
				d.rec.say("host %s: pending %d, but %d jobs that were accepted over 5 s before have not begun", h.name, body.Pending, waiting)
				verdict = broken
			}
		}
	}
	for id := range accepted {
		s, _ := d.state(id)
		d.rec.say("job %s: %s, %d starts", id, s, len(d.startsOf(id)))
	}
	return verdict
}
