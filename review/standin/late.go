package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["late"] = playLate }

// Bounds of the deployment and doses of the disruption.
const (
	cancelTime  = 3 * time.Second         // cancel_ms
	contactTime = 3 * time.Second         // contactMs
	lostWindow  = 2 * time.Second         // platform_lost: for_s, at most 4.5 s
	lostShare   = 0.35                    // platform_lost: x
	lateBy      = 5800 * time.Millisecond // platform_lost, late: 1 to 6 s later
)

// playLate has a client hand in a job while answers of the store are lost, and cancel it.
func playLate(d *deployment) int {
	const id = "1a7e000000000001"
	writes, lost := 0, 0
	if d.trouble {
		d.rec.say("the store loses answers from now on, and performs these writes %v later", lateBy)
		d.platform.store.setFate(func(tx transaction) fate {
			writes++
			for _, p := range tx.Puts {
				if p.Table == "jobs" && p.Key == id {
					lost++
					return fate{lost: true, late: lateBy}
				}
			}
			return fate{}
		})
	}
	began := time.Now()
	stop := make(chan struct{})
	go func() { // other clients
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(150 * time.Millisecond):
			}
			other := "0e000000000000" + string("0123456789abcdef"[i/16%16]) + string("0123456789abcdef"[i%16])
			go d.callAt(d.hosts[i%len(d.hosts)], http.MethodPost, other, job("work 500ms", step{Count: 2, CPU: 1000, Memory: 1000, GPU: 1, Estimate: 500}), 3*time.Second)
		}
	}()
	status, text, err := d.callAt(d.hosts[0], http.MethodPost, id, job("work 1s", step{Count: 3, CPU: 7500, Memory: 39000, GPU: 1, Estimate: 1000}), 3*time.Second)
	d.rec.say("POST: %d %s %v", status, strings.TrimSpace(text), err)
	status, text, err = d.callAt(d.hosts[0], http.MethodDelete, id, nil, 3*time.Second)
	cancelled := time.Now()
	if err != nil || status/100 != 2 && status != http.StatusGone {
		d.rec.say("the cancelling was not acknowledged: %d %v", status, err)
		return notRun
	}
	d.rec.say("DELETE at the same host: %d %s %v", status, strings.TrimSpace(text), err)
	state, answer := d.state(id)
	d.rec.say("GET: %d %s", answer, state)
	time.Sleep(max(lostWindow-time.Since(began), 0))
	d.platform.store.setFate(nil)
	ended := time.Now()
	if d.trouble {
		d.rec.say("the store loses no more answers: %d of %d writes of hosts were lost", lost, writes)
		if float64(lost) > lostShare*float64(writes) {
			return notRun // beyond the largest dose
		}
	}
	close(stop)
	time.Sleep(lateBy + 6*time.Second)
	verdict := held
	for _, s := range d.startsOf(id) {
		d.rec.say("task %s run %d began on %s %.1f s after the cancelling was acknowledged, %.1f s after the end of the disruption", s.task, s.run, s.worker, s.at.Sub(cancelled).Seconds(), s.at.Sub(ended).Seconds())
		// The core is stable from contactMs after the end of the disruption on.
		if s.at.Sub(cancelled) > cancelTime && s.at.Sub(ended) > contactTime {
			verdict = broken
		}
	}
	return verdict
}
